"""The reducer of an entry, which connects callers with the owners of cells.

An entry keeps no state that an answer depends on, only who waits for a submission
and where it was sent. A resubmission can therefore go to any other entry.
"""

import random
from collections.abc import Callable, Sequence

from cactuswalk.messages import (
    Answer,
    CellReport,
    ConfigurationOffer,
    ConfigurationRequest,
    ConfigurationUpdate,
    Explanation,
    JobState,
    LastContactRequest,
    NotHeld,
    NotOwner,
)
from cactuswalk.state.callers import (
    on_caller_cancelled,
    on_caller_disconnected,
    on_caller_submitted,
)
from cactuswalk.state.cellviews import (
    on_heard,
    on_not_owner,
    on_offer,
    on_read,
    on_report,
    on_update,
    refresh_view,
    sync_configuration,
)
from cactuswalk.state.configuration import ConfigurationSync, Replica
from cactuswalk.state.effects import (
    Effect,
)
from cactuswalk.state.entryview import (
    CellView,
    EntryState,
)
from cactuswalk.state.events import (
    CallerCancelled,
    CallerDisconnected,
    CallerQueried,
    CallerSubmitted,
    ConfigurationChanged,
    Event,
    ExplainRequested,
    KeyRead,
    Received,
    StopRequested,
    Tick,
)
from cactuswalk.state.moving import on_not_held, retry_cell_choice
from cactuswalk.state.questions import (
    expire_requests,
    on_caller_queried,
    on_explain_requested,
    on_explained,
    on_requested_state,
)
from cactuswalk.state.timing import Timing
from cactuswalk.state.waiting import maintain_pending, on_answer, on_job_state

__all__ = ["EntryState", "handle_entry", "new_entry"]


def new_entry(
    address: str,
    cells: list[str],
    timing: Timing,
    generator: random.Random,
    wall_ms: float,
    peers: Sequence[str] = (),
) -> EntryState:
    """Return the initial state of an entry."""
    sync = ConfigurationSync(Replica())
    state = EntryState(address, timing, generator, wall_ms, sync, list(peers))
    state.attempt = generator.getrandbits(40)
    state.cells = {cell: CellView(cell) for cell in cells}
    return state


def handle_entry(state: EntryState, event: Event, now: float) -> list[Effect]:
    """Handle one event and return the resulting effects."""
    if isinstance(event, Received):
        handle_message = _ON_MESSAGE.get(type(event.message))
        if handle_message is not None:
            handle_message(state, event.sender, event.message, now)
    else:
        handle_event = _ON_EVENT.get(type(event))
        if handle_event is not None:
            handle_event(state, event, now)
    effects, state.effects = state.effects, []
    return effects


def _on_tick(state: EntryState, event: Tick, now: float) -> None:
    busy = {pending.cell for pending in state.pending.values()}
    for view in state.cells.values():
        refresh_view(state, view, view.cell in busy, now)
    sync_configuration(state, now)
    for pending in list(state.pending.values()):
        retry_cell_choice(state, pending, now)
        maintain_pending(state, pending, now)
    expire_requests(state, now)


def _on_stop_requested(state: EntryState, event: StopRequested, now: float) -> None:
    state.stopping = True


def _on_configuration_changed(
    state: EntryState, event: ConfigurationChanged, now: float
) -> None:
    on_update(state, "", event.update, now)


def _on_job_state(
    state: EntryState, sender: str, message: JobState, now: float
) -> None:
    if message.request:
        on_requested_state(state, message)
    else:
        on_job_state(state, message, now)


def _on_request(
    state: EntryState, sender: str, message: ConfigurationRequest, now: float
) -> None:
    state.effects += state.sync.on_request(sender, message)


_ON_EVENT: dict[type, Callable] = {
    CallerSubmitted: on_caller_submitted,
    CallerCancelled: on_caller_cancelled,
    CallerQueried: on_caller_queried,
    CallerDisconnected: on_caller_disconnected,
    ExplainRequested: on_explain_requested,
    ConfigurationChanged: _on_configuration_changed,
    KeyRead: on_read,
    StopRequested: _on_stop_requested,
    Tick: _on_tick,
}
_ON_MESSAGE: dict[type, Callable] = {
    Answer: on_answer,
    CellReport: on_report,
    NotOwner: on_not_owner,
    NotHeld: on_not_held,
    LastContactRequest: on_heard,
    JobState: _on_job_state,
    Explanation: on_explained,
    ConfigurationOffer: on_offer,
    ConfigurationRequest: _on_request,
    ConfigurationUpdate: on_update,
}
