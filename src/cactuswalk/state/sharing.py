"""Which submissions the owner's cell holds, and how cells cede slots to each other.

Entries that know different cells could send one key to two owners, and both would
start it. An owner therefore refuses submissions that its own record does not hold.
The argument is in docs/design/cells.md.
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
from cactuswalk.state.owner import Cession, OwnerState, Phase, ShareFit

__all__ = [
    "plan_record",
    "is_held_here",
    "maintain_shares",
    "on_ask_share",
    "on_ceded",
    "on_partner_read",
    "on_service_read",
    "on_service_swapped",
    "on_spare",
    "redirect_unheld",
]

# A cell without a share starts with the first interval. One that has its share looks
# for new cells with growing intervals up to the second: 0.033 reads a second for
# each cell and service that it shares (docs/design/cells.md).
LOOKUP_WAIT_SECONDS = 2.0
MAX_LOOKUP_WAIT_SECONDS = 60.0
# Growth of a cell's worker slots since the last plan that brings an early lookup.
GROWTH_FACTOR = 1.25
# A cell keeps its share while its workers are absent for less than this. Upstreams
# restart in seconds, and ceded slots return only on request.
WORKER_ABSENCE_SECONDS = 10.0
# Added to the margins of callers' and entries' clocks, so that no key that may
# already have been accepted is ceded.
CESSION_SLACK_SECONDS = 1.0


def is_held_here(state: OwnerState, job: Job, now: float) -> bool:
    """Tell whether this cell holds a submission for any outcome of a swap."""
    return all(
        holds_submission(record.holdings, job.service, job.submission, job.created_ms)
        for record in (state.record, _without_ceded(state, now))
    )


def _without_ceded(state: OwnerState, now: float) -> CellRecord:
    """Return the record without the slots that are being ceded.

    The swap may have taken effect although its reply was lost. Keys of those slots
    would be served both here and by the cell that has accepted the slots.
    """
    return state.record if state.sharing.cession is None else plan_record(state, now)


def redirect_unheld(state: OwnerState, sender: str, submit: Submit, now: float) -> None:
    """Redirect a submission to the cell that may hold it; nothing of it ran here."""
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


def maintain_shares(state: OwnerState, now: float) -> None:
    """Register for the services of this cell's workers, and balance the shares."""
    if state.phase is not Phase.SERVING or state.handing_over or state.deposed:
        return
    _count_workers(state, now)
    held = {one.service for one in state.record.holdings if not one.until_ms}
    for service in sorted(held | state.sharing.workers.keys()):
        _schedule_lookup(state, service, now)
        if now >= state.sharing.next_at[service]:
            _look_up_partners(state, service, now)
    _notify_ceded(state, now)


def _schedule_lookup(state: OwnerState, service: str, now: float) -> None:
    """Schedule an early lookup when the cell's share stops fitting its workers."""
    plans, workers = state.sharing, state.sharing.workers.get(service, 0)
    is_mismatched = _has_mismatch(state, service)
    before = plans.share_fit.get(service)
    if before is None:
        # Takeovers come in bursts; only a cell with a mismatch asks at once.
        later = (
            0.0 if is_mismatched else MAX_LOOKUP_WAIT_SECONDS * state.generator.random()
        )
        plans.next_at[service] = now + later
    elif (
        is_mismatched > before.is_mismatched or workers > GROWTH_FACTOR * before.workers
    ):
        plans.next_at[service] = min(plans.next_at[service], now + LOOKUP_WAIT_SECONDS)
    elif is_mismatched == before.is_mismatched:
        return
    plans.wait[service] = LOOKUP_WAIT_SECONDS
    plans.share_fit[service] = ShareFit(is_mismatched, workers)


def _count_workers(state: OwnerState, now: float) -> None:
    """Count worker slots by service; absent workers count for a grace period."""
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
        if now - state.sharing.seen_at[service] > WORKER_ABSENCE_SECONDS:
            del state.sharing.workers[service]


def _has_mismatch(state: OwnerState, service: str) -> bool:
    """Tell whether the cell has workers without slots, or slots without workers."""
    holds_some = count_open_slots(state.record.holdings, service) > 0
    return holds_some != (service in state.sharing.workers)


def _look_up_partners(state: OwnerState, service: str, now: float) -> None:
    """Read the cells of a service, and then one of them, with growing intervals."""
    wait = state.sharing.wait[service]
    if not _has_mismatch(state, service):
        wait = MAX_LOOKUP_WAIT_SECONDS
    # Jitter, because whole cells start at one moment and would call together.
    state.sharing.next_at[service] = now + wait * state.generator.uniform(0.75, 1.25)
    state.sharing.wait[service] = min(2 * wait, MAX_LOOKUP_WAIT_SECONDS)
    holds_all = count_open_slots(state.record.holdings, service) == SLOT_COUNT
    if holds_all and service in state.sharing.workers:
        # There is nothing to ask for; cells with a mismatch ask this one.
        return
    state.effects.append(ReadKey(service_key(service)))


def on_service_read(state: OwnerState, event: KeyRead, now: float) -> None:
    """Handle the record of a service, which lists its cells."""
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
        # The cell that created the key holds all slots. The record is read back, so
        # that a swap whose reply was lost counts too.
        state.sharing.founding.add(service)
    if state.cell not in record.cells:
        cells = [*record.cells, state.cell]
        _write_service(state, service, cells, record.founder, event.revision)
    partners = [cell for cell in record.cells if cell != state.cell]
    state.sharing.partners[service] = partners
    if partners:
        lookups = state.sharing.lookups.get(service, 0)
        state.sharing.lookups[service] = lookups + 1
        state.effects.append(ReadKey(cell_key(partners[lookups % len(partners)])))


def _write_service(
    state: OwnerState, service: str, cells: list[str], founder: str, revision: int
) -> None:
    write_id = f"{state.generator.getrandbits(64):016x}"
    value = msgspec.json.encode(ServiceRecord(founder, cells, write_id))
    state.effects.append(SwapKey(service_key(service), revision, value, write_id))


def on_service_swapped(state: OwnerState, event: KeySwapped, now: float) -> None:
    """Handle the outcome of a swap of a service's record by reading it back."""
    if event.outcome is not SwapOutcome.UNKNOWN:
        state.sharing.next_at[event.key.removeprefix(service_key(""))] = now


def on_partner_read(state: OwnerState, event: KeyRead, now: float) -> None:
    """Handle another cell's record: request, offer or hand over slots."""
    if not event.known or event.value is None or state.phase is not Phase.SERVING:
        return
    record = msgspec.json.decode(event.value, type=CellRecord)
    _accept_ceded(state, record)
    address = record.owner.address
    if not address:
        return
    _send_ceded(state, record)
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
    """Handle the offer of a cell that has slots of a service but no workers."""
    workers = state.sharing.workers.get(spare.service, 0)
    if state.phase is Phase.SERVING and workers:
        mine = count_open_slots(state.record.holdings, spare.service)
        state.send(sender, SlotRequest(state.cell, spare.service, mine, workers))


def on_ask_share(state: OwnerState, sender: str, ask: SlotRequest, now: float) -> None:
    """Handle another cell's request for some of the slots held here."""
    busy = state.pending is not None or state.handing_over or state.deposed
    if state.phase is not Phase.SERVING or busy or ask.cell == state.cell:
        return
    holdings = state.record.holdings
    mine = count_open_slots(holdings, ask.service)
    workers = state.sharing.workers.get(ask.service, 0)
    # Slots ceded to the asking cell that it has not accepted yet count as its own.
    theirs = ask.open_slots + sum(
        one.last - one.first + 1
        for one in _ceded_holdings(state)
        if one.ceded_to == ask.cell and one.service == ask.service
        if not _is_taken(state, one)
    )
    count = sharing.slots_to_cede(mine, workers, theirs, ask.worker_slots)
    if count <= 0:
        return
    ahead = (
        state.timing.clock_margin + state.timing.entry_margin + CESSION_SLACK_SECONDS
    )
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
    """Return the latest birth of the keys known here."""
    names = {record.submission for record in state.recovered.all()}
    births = [read_creation_ms(name.rpartition("/")[2]) or 0 for name in names]
    return max([state.sharing.latest_birth_ms, *births])


def _notify_ceded(state: OwnerState, now: float) -> None:
    """Notify cells of cessions until accepted; meanwhile nobody holds the slots."""
    if now < state.sharing.notify_at:
        return
    waiting = {
        one.ceded_to for one in _ceded_holdings(state) if not _is_taken(state, one)
    }
    if waiting:
        state.sharing.notify_at = now + LOOKUP_WAIT_SECONDS
        state.effects += [ReadKey(cell_key(cell)) for cell in sorted(waiting)]


def _ceded_holdings(state: OwnerState) -> list[Holding]:
    return [one for one in state.record.holdings if one.serial]


def _is_taken(state: OwnerState, one: Holding) -> bool:
    return one.serial <= state.sharing.taken_by.get(one.ceded_to, 0)


def _send_ceded(state: OwnerState, record: CellRecord) -> None:
    """Send a cell the slots ceded to it, unless its own record shows them."""
    life = f"{state.cell}/{state.record.identity}"
    state.sharing.taken_by[record.cell] = record.taken.get(life, 0)
    ceded = [
        one
        for one in _ceded_holdings(state)
        if one.ceded_to == record.cell and not _is_taken(state, one)
    ]
    if ceded:
        message = CededSlots(state.cell, life, ceded)
        state.send(record.owner.address, message)


def _accept_ceded(state: OwnerState, record: CellRecord) -> None:
    """Accept slots from another cell's record, since its owner may be gone."""
    life = f"{record.cell}/{record.identity}"
    after = state.record.taken.get(life, 0)
    ceded = [one for one in record.holdings if one.ceded_to == state.cell]
    if state.pending is None and any(one.serial > after for one in ceded):
        state.sharing.taking = CededSlots(record.cell, life, ceded)


def on_ceded(state: OwnerState, sender: str, ceded: CededSlots, now: float) -> None:
    """Handle slots ceded to this cell; the ceding cell's record confirms them."""
    if state.phase is not Phase.SERVING or state.pending is not None:
        return
    if any(one.ceded_to != state.cell for one in ceded.holdings):
        return
    state.sharing.taking = ceded


def plan_record(state: OwnerState, now: float) -> CellRecord:
    """Return the record with the planned foundings, cession and acceptance."""
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
