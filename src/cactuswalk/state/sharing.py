"""Which submissions the owner's cell holds, and how slots pass between cells.

What goes wrong without it: entries that know different cells send one key to two
owners, and both start it. An owner therefore refuses what its own record does not
hold. The argument is in docs/design/cells.md.
"""

import msgspec

from cactuswalk.decisions import sharing
from cactuswalk.messages import CededSlots, NotHeld, SlotOffer, SlotRequest, Submit
from cactuswalk.model import CellRecord, Job, ServiceRecord, read_creation_ms
from cactuswalk.model.cell import cell_key
from cactuswalk.model.holding import (
    SLOT_COUNT,
    Holding,
    count_open_slots,
    find_next_holder,
    holds_submission,
    service_key,
)
from cactuswalk.state.effects import ReadKey, SwapKey
from cactuswalk.state.events import KeyRead, KeySwapped, SwapOutcome
from cactuswalk.state.owner import Cession, Fitted, OwnerState, Phase

__all__ = [
    "changed",
    "holds",
    "keep_sharing",
    "on_ask_share",
    "on_ceded",
    "on_partner_read",
    "on_service_read",
    "on_service_swapped",
    "on_spare",
    "refuse_unheld",
]

# A cell without a share asks this often; one that has its share looks for new
# cells ever more seldom, up to the last: 0.033 reads a second for each cell and
# service that it shares (docs/design/cells.md).
ASK_AFTER = 2.0
MAXIMUM_WAIT = 60.0
# A cell whose workers have grown by this much since asks again soon.
GROWN = 1.25
# Workers that are away for less keep their cell's share: upstreams restart in
# seconds, and slots that were ceded come back only by being asked for.
EMPTY_AFTER = 10.0
# Beyond the margins of callers' and entries' clocks, so that no key that could
# have been accepted already is ceded.
CESSION_SLACK = 1.0


def holds(state: OwnerState, job: Job, now: float) -> bool:
    """Tell whether a submission falls to this cell, whatever becomes of a swap."""
    return all(
        holds_submission(record.holdings, job.service, job.submission, job.created_ms)
        for record in (state.record, _without_ceded(state, now))
    )


def _without_ceded(state: OwnerState, now: float) -> CellRecord:
    """Return the record without what is about to be ceded.

    The swap may have taken effect though its reply was lost. Served here still,
    keys of those slots would be served again by the cell that has taken them.
    """
    return state.record if state.sharing.cession is None else changed(state, now)


def refuse_unheld(state: OwnerState, sender: str, submit: Submit, now: float) -> None:
    """Send a submission to the cell that may hold it; nothing of it ran here."""
    job = submit.job
    record = _without_ceded(state, now)
    cell = find_next_holder(
        record.holdings, job.service, job.submission, job.created_ms
    )
    if not cell:
        partners = state.sharing.partners.get(job.service, [])
        cell = partners[0] if partners else ""
    state.count("submit.not_held")
    message = NotHeld(
        state.cell, state.record.epoch, job.submission, submit.attempt, cell
    )
    state.send(sender, message)


def keep_sharing(state: OwnerState, now: float) -> None:
    """Take part in the services of this cell's workers, and level the shares."""
    if state.phase is not Phase.SERVING or state.handing_over or state.deposed:
        return
    _note_workers(state, now)
    held = {one.service for one in state.record.holdings if not one.until_ms}
    for service in sorted(held | state.sharing.workers.keys()):
        _plan_look(state, service, now)
        if now >= state.sharing.next_at[service]:
            _look_round(state, service, now)
    _push_ceded(state, now)


def _plan_look(state: OwnerState, service: str, now: float) -> None:
    """Look round soon when the cell's share stops fitting its workers."""
    plans, workers = state.sharing, state.sharing.workers.get(service, 0)
    badly_off = _is_badly_off(state, service)
    before = plans.fitted.get(service)
    if before is None:
        # Takeovers come in waves; only a cell that lacks something asks at once.
        later = 0.0 if badly_off else MAXIMUM_WAIT * state.generator.random()
        plans.next_at[service] = now + later
    elif badly_off > before.badly_off or workers > GROWN * before.workers:
        plans.next_at[service] = min(plans.next_at[service], now + ASK_AFTER)
    elif badly_off == before.badly_off:
        return
    plans.wait[service] = ASK_AFTER
    plans.fitted[service] = Fitted(badly_off, workers)


def _note_workers(state: OwnerState, now: float) -> None:
    """Count the worker slots of each service; one that is gone counts a while."""
    present: dict[str, int] = {}
    for peer in state.peers.values():
        worker = peer.in_force
        if worker is None or peer.drained or peer.leaving or not worker.ready:
            continue
        slots = present.get(worker.service, 0) + worker.capacity.slots
        present[worker.service] = slots
    for service, slots in present.items():
        state.sharing.workers[service] = slots
        state.sharing.seen_at[service] = now
    for service in list(state.sharing.workers):
        if now - state.sharing.seen_at[service] > EMPTY_AFTER:
            del state.sharing.workers[service]


def _is_badly_off(state: OwnerState, service: str) -> bool:
    """Tell whether the cell has workers without slots, or slots without workers."""
    holds_some = count_open_slots(state.record.holdings, service) > 0
    return holds_some != (service in state.sharing.workers)


def _look_round(state: OwnerState, service: str, now: float) -> None:
    """Read who takes part in a service, ever less often, and then one of them."""
    wait = state.sharing.wait[service]
    if not _is_badly_off(state, service):
        wait = MAXIMUM_WAIT
    # Whole cells start at one moment; spread, they don't all call at once.
    state.sharing.next_at[service] = now + wait * state.generator.uniform(0.75, 1.25)
    state.sharing.wait[service] = min(2 * wait, MAXIMUM_WAIT)
    holds_all = count_open_slots(state.record.holdings, service) == SLOT_COUNT
    if holds_all and service in state.sharing.workers:
        # There is nothing to ask for; a cell that lacks something asks here.
        return
    state.effects.append(ReadKey(service_key(service)))


def on_service_read(state: OwnerState, event: KeyRead, now: float) -> None:
    """The record of a service was read: who takes part in it."""
    service = event.key.removeprefix(service_key(""))
    if not event.known or state.phase is not Phase.SERVING:
        return
    life = f"{state.cell}/{state.record.identity}"
    if event.value is None:
        _write_service(state, service, [state.cell], life, 0)
        return
    record = msgspec.json.decode(event.value, type=ServiceRecord)
    holds_some = any(one.service == service for one in state.record.holdings)
    if record.founder == life and not holds_some:
        # The one who created the key holds all; read back, so that a swap whose
        # reply was lost counts as well.
        state.sharing.founding.add(service)
    if state.cell not in record.cells:
        cells = [*record.cells, state.cell]
        _write_service(state, service, cells, record.founder, event.revision)
    partners = [cell for cell in record.cells if cell != state.cell]
    state.sharing.partners[service] = partners
    if partners:
        turn = state.sharing.turn.get(service, 0)
        state.sharing.turn[service] = turn + 1
        state.effects.append(ReadKey(cell_key(partners[turn % len(partners)])))


def _write_service(
    state: OwnerState, service: str, cells: list[str], founder: str, revision: int
) -> None:
    write_id = f"{state.generator.getrandbits(64):016x}"
    value = msgspec.json.encode(ServiceRecord(founder, cells, write_id))
    state.effects.append(SwapKey(service_key(service), revision, value, write_id))


def on_service_swapped(state: OwnerState, event: KeySwapped, now: float) -> None:
    """A swap of a service's record has ended; only what is read back counts."""
    if event.outcome is not SwapOutcome.UNKNOWN:
        state.sharing.next_at[event.key.removeprefix(service_key(""))] = now


def on_partner_read(state: OwnerState, event: KeyRead, now: float) -> None:
    """Another cell's record was read: ask it, or offer, or hand over what is its."""
    if not event.known or event.value is None or state.phase is not Phase.SERVING:
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    _take_ceded(state, record)
    address = record.owner.address
    if not address:
        return
    _hand_ceded(state, record)
    for service, cells in state.sharing.partners.items():
        if record.cell not in cells:
            continue
        mine = count_open_slots(state.record.holdings, service)
        workers = state.sharing.workers.get(service, 0)
        if workers and count_open_slots(record.holdings, service):
            state.send(address, SlotRequest(state.cell, service, mine, workers))
        elif not workers and mine:
            state.send(address, SlotOffer(state.cell, service))


def on_spare(state: OwnerState, sender: str, spare: SlotOffer, now: float) -> None:
    """A cell without workers of a service wants to be asked for its share."""
    workers = state.sharing.workers.get(spare.service, 0)
    if state.phase is Phase.SERVING and workers:
        mine = count_open_slots(state.record.holdings, spare.service)
        state.send(sender, SlotRequest(state.cell, spare.service, mine, workers))


def on_ask_share(state: OwnerState, sender: str, ask: SlotRequest, now: float) -> None:
    """Another cell wants some of the slots held here."""
    busy = state.pending is not None or state.handing_over or state.deposed
    if state.phase is not Phase.SERVING or busy or ask.cell == state.cell:
        return
    holdings = state.record.holdings
    mine = count_open_slots(holdings, ask.service)
    workers = state.sharing.workers.get(ask.service, 0)
    # What the asking cell has been given and has not taken yet counts as its own.
    theirs = ask.open_slots + sum(
        one.last - one.first + 1
        for one in _ceded(state)
        if one.ceded_to == ask.cell and one.service == ask.service
        if not _is_taken(state, one)
    )
    count = sharing.slots_to_cede(mine, workers, theirs, ask.worker_slots)
    if count <= 0:
        return
    ahead = state.timing.clock_margin + state.timing.entry_margin + CESSION_SLACK
    from_ms = sharing.cession_begins_ms(
        holdings,
        ask.service,
        now * 1000 + state.wall_ms,
        _latest_birth_ms(state),
        int(ahead * 1000),
    )
    state.sharing.cession = Cession(ask.service, ask.cell, count, from_ms)
    state.log("cedes slots", service=ask.service, to=ask.cell, slots=count)


def _latest_birth_ms(state: OwnerState) -> int:
    """Return the latest birth of a key that is known here."""
    names = {record.submission for record in state.recovered.all()}
    births = [read_creation_ms(name.rpartition("/")[2]) or 0 for name in names]
    return max([state.sharing.latest_birth_ms, *births])


def _push_ceded(state: OwnerState, now: float) -> None:
    """See to it that ceded slots are taken; until then nobody holds them."""
    if now < state.sharing.push_at:
        return
    waiting = {one.ceded_to for one in _ceded(state) if not _is_taken(state, one)}
    if waiting:
        state.sharing.push_at = now + ASK_AFTER
        state.effects += [ReadKey(cell_key(cell)) for cell in sorted(waiting)]


def _ceded(state: OwnerState) -> list[Holding]:
    return [one for one in state.record.holdings if one.serial]


def _is_taken(state: OwnerState, one: Holding) -> bool:
    return one.serial <= state.sharing.taken_by.get(one.ceded_to, 0)


def _hand_ceded(state: OwnerState, record: CellRecord) -> None:
    """Tell a cell what was ceded to it, unless its own record shows it."""
    life = f"{state.cell}/{state.record.identity}"
    state.sharing.taken_by[record.cell] = record.taken.get(life, 0)
    ceded = [
        one
        for one in _ceded(state)
        if one.ceded_to == record.cell and not _is_taken(state, one)
    ]
    if ceded:
        message = CededSlots(state.cell, life, ceded)
        state.send(record.owner.address, message)


def _take_ceded(state: OwnerState, record: CellRecord) -> None:
    """Take what another cell's record cedes to this one; its owner may be gone."""
    life = f"{record.cell}/{record.identity}"
    after = state.record.taken.get(life, 0)
    ceded = [one for one in record.holdings if one.ceded_to == state.cell]
    if state.pending is None and any(one.serial > after for one in ceded):
        state.sharing.taking = CededSlots(record.cell, life, ceded)


def on_ceded(state: OwnerState, sender: str, ceded: CededSlots, now: float) -> None:
    """Slots were ceded to this cell; the giver's record says so already."""
    if state.phase is not Phase.SERVING or state.pending is not None:
        return
    if any(one.ceded_to != state.cell for one in ceded.holdings):
        return
    state.sharing.taking = ceded


def changed(state: OwnerState, now: float) -> CellRecord:
    """Return the record with what this cell is about to hold, cede and take."""
    record, plans = state.record, state.sharing
    holdings, taken = record.holdings, dict(record.taken)
    founded = list(record.founded)
    for service in sorted(plans.founding - set(founded)):
        founded.append(service)
        holdings = [*holdings, Holding(service, 0, SLOT_COUNT - 1, 0)]
    if plans.taking is not None:
        life, ceded = plans.taking.cell_identity, plans.taking.holdings
        after = taken.get(life, 0)
        holdings = sharing.take(holdings, plans.taking.cell, ceded, after)
        taken[life] = max([after, *(one.serial for one in ceded)])
    if plans.cession is not None:
        one = plans.cession
        holdings = sharing.cede(holdings, one.service, one.to, one.count, one.from_ms)
    if holdings != record.holdings:
        kept_ms = (now - state.timing.retention) * 1000 + state.wall_ms
        holdings = sharing.without_superseded(holdings, kept_ms)
    return msgspec.structs.replace(
        record, holdings=holdings, taken=taken, founded=founded
    )
