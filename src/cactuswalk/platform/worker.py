"""Client for the worker on the same host."""

import asyncio
import collections.abc
import sys

import msgspec

from cactuswalk.dispatch.agentevents import (
    AgentEvent,
    PollAnswered,
    PollFailed,
    StartAnswered,
    StartVerdict,
    StopAnswered,
)
from cactuswalk.dispatch.bounds import CALL_TIMEOUT_SECONDS
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.dispatch.incarnations import join_incarnation, split_incarnation
from cactuswalk.platform.names import format_task_name
from cactuswalk.platform.workerclock import (
    ClockReading,
    convert_to_worker_ms,
    is_fresh,
    take_later,
)
from cactuswalk.platform.workerconnections import WorkerCallError, WorkerConnections
from cactuswalk.platform.workerreplies import (
    MISDIRECTED_REQUEST,
    Reply,
    decode_reply,
    decode_runs,
    decode_verdict,
)

__all__ = ["WorkerClient"]

START_PATH = "/v1/run-start"
STOP_PATH = "/v1/run-stop"
POLL_PATH = "/v1/hold"

# Names the expected worker, which the platform calls an instance. Another one refuses
# the call with MISDIRECTED_REQUEST. One that has restarted under its name carries it
# out, which shows in the response's ``born`` alone.
INSTANCE_HEADER = "X-Expected-Instance"

# For concurrent starts; opening a connection has a cost. Stops and polls have
# connections of their own without a limit: of stops that wait behind calls without an
# answer, the same ones time out unsent each time, and their runs go on. There are no
# more of them at once than runs, and two polls.
MAX_START_CONNECTIONS = 6
NO_LIMIT = sys.maxsize


class WorkerClient:
    """Client with the connections to one worker's address.

    :param address: ``ip:port``.
    :param clock: the agent's clock, in seconds.
    """

    def __init__(
        self, address: str, clock: collections.abc.Callable[[], float]
    ) -> None:
        self.address = address
        self.clock = clock
        self.start_connections = WorkerConnections(address, MAX_START_CONNECTIONS)
        self.connections = WorkerConnections(address, NO_LIMIT)
        # By worker, the reading of its clock with which leases are converted, and the
        # call in progress that only reads its clock.
        self.readings: dict[str, ClockReading] = {}
        self.clock_calls: dict[str, asyncio.Task[StartVerdict]] = {}

    async def start(self, effect: StartTask) -> AgentEvent:
        """Start a task, unless its lease has passed before the call is sent."""
        refusal = await self._refresh_reading(effect.worker, effect.token)
        if refusal is None and self.clock() >= effect.lease_until:
            refusal = StartVerdict.LATE
        if refusal is not None:
            return StartAnswered(effect.worker, effect.handle, refusal)
        body = {
            "task": format_task_name(effect.key),
            "run": effect.run,
            "spec": effect.spec,
            "deadline_ms": convert_to_worker_ms(
                self.readings[effect.worker], effect.lease_until
            ),
            "fencing_token": effect.token,
        }
        try:
            status, reply = await self._call(
                START_PATH, effect.worker, body, CALL_TIMEOUT_SECONDS
            )
        except WorkerCallError as error:
            refused = error.refused
            verdict = StartVerdict.UNREACHED if refused else StartVerdict.UNKNOWN
            return StartAnswered(effect.worker, effect.handle, verdict)
        if find_other_incarnation(effect.worker, status, reply):
            # A poll will find out what became of it.
            return StartAnswered(effect.worker, effect.handle, StartVerdict.UNKNOWN)
        verdict = decode_verdict(status, reply.reason)
        return StartAnswered(effect.worker, effect.handle, verdict)

    async def stop(self, effect: StopTask) -> AgentEvent:
        """Stop a run, or forbid its start."""
        body = {
            "task": format_task_name(effect.key),
            "run": effect.run,
            "fencing_token": effect.token,
        }
        try:
            status, reply = await self._call(
                STOP_PATH, effect.worker, body, CALL_TIMEOUT_SECONDS
            )
        except WorkerCallError:
            return StopAnswered(effect.worker, effect.handle, False)
        other = find_other_incarnation(effect.worker, status, reply)
        return StopAnswered(effect.worker, effect.handle, status == 200 and not other)

    async def poll(self, effect: PollWorker) -> AgentEvent:
        """Renew the lease, and list the running and ended runs."""
        sent_at = self.clock()
        body = {
            "fencing_token": effect.token,
            "last_seen": effect.acknowledged,
            "wait_ms": effect.wait_ms,
        }
        if effect.lease_until and effect.worker in self.readings:
            body["deadline_ms"] = convert_to_worker_ms(
                self.readings[effect.worker], effect.lease_until
            )
        timeout_seconds = CALL_TIMEOUT_SECONDS + effect.wait_ms / 1000
        try:
            status, reply = await self._call(
                POLL_PATH, effect.worker, body, timeout_seconds
            )
        except WorkerCallError as error:
            return PollFailed(
                effect.worker, False, False, effect.is_check, error.refused
            )
        return interpret_poll(effect, sent_at, status, reply)

    async def close(self) -> None:
        """Close the connections."""
        for call in list(self.clock_calls.values()):
            call.cancel()
        self.start_connections.close()
        self.connections.close()

    def record_heartbeat(self, worker: str, clock_ms: float | None) -> None:
        """Record the worker's clock from a heartbeat, which may have been delayed."""
        if clock_ms is not None:
            now = self.clock()
            self.readings[worker] = take_later(
                self.readings.get(worker), ClockReading(clock_ms, now), now
            )

    async def _refresh_reading(self, worker: str, token: int) -> StartVerdict | None:
        """Have a fresh reading of a worker's clock; return why there is none."""
        if is_fresh(self.readings.get(worker), self.clock()):
            return None
        call = self.clock_calls.get(worker)
        if call is None:
            call = asyncio.create_task(self._read_clock(worker, token))
            self.clock_calls[worker] = call
            call.add_done_callback(lambda _: self.clock_calls.pop(worker))
        refusal = await asyncio.shield(call)
        return None if is_fresh(self.readings.get(worker), self.clock()) else refusal

    async def _read_clock(self, worker: str, token: int) -> StartVerdict:
        """Make a poll that only reads the clock; return the refusal if it doesn't."""
        body = {"fencing_token": token, "last_seen": 0, "wait_ms": 0}
        try:
            status, _ = await self._call(POLL_PATH, worker, body, CALL_TIMEOUT_SECONDS)
        except WorkerCallError as error:
            return StartVerdict.UNREACHED if error.refused else StartVerdict.LATE
        return StartVerdict.GONE if status == MISDIRECTED_REQUEST else StartVerdict.LATE

    async def _call(
        self, path: str, worker: str, body: dict, timeout_seconds: float
    ) -> tuple[int, Reply]:
        is_start = path == START_PATH
        connections = self.start_connections if is_start else self.connections
        request = self._format_request(path, worker, msgspec.json.encode(body))
        status, data = await connections.call(request, timeout_seconds)
        try:
            reply = decode_reply(data)
        except ValueError as error:
            raise WorkerCallError(False) from error
        if reply.clock_ms is not None and status != MISDIRECTED_REQUEST:
            sender = find_other_incarnation(worker, status, reply) or worker
            self.readings[sender] = ClockReading(reply.clock_ms, self.clock())
        return status, reply

    def _format_request(self, path: str, worker: str, data: bytes) -> bytes:
        name, _ = split_incarnation(worker)
        if not name.isprintable():
            # It would end its header.
            raise WorkerCallError(False)
        head = (
            f"POST {path} HTTP/1.1\r\n"
            f"Host: {self.address}\r\n"
            f"{INSTANCE_HEADER}: {name}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        return head.encode() + data


def find_other_incarnation(worker: str, status: int, reply: Reply) -> str:
    """Return the identifier of the incarnation that answered, if it is another one.

    :param worker: the one that was called; another name's response tells only that.
    """
    if reply.born is msgspec.UNSET or status == MISDIRECTED_REQUEST:
        return ""
    name, born = split_incarnation(worker)
    return "" if reply.born == born else join_incarnation(name, reply.born)


def interpret_poll(
    effect: PollWorker, sent_at: float, status: int, reply: Reply
) -> PollAnswered | PollFailed:
    """Return the event for a response to a poll."""
    other = find_other_incarnation(effect.worker, status, reply)
    if other:
        return PollFailed(
            effect.worker,
            False,
            False,
            effect.is_check,
            answered_by=other,
            sent_at=sent_at,
        )
    if status != 200:
        fenced, gone = reply.reason == "fence", status == MISDIRECTED_REQUEST
        return PollFailed(effect.worker, fenced, gone, effect.is_check)
    _, born = split_incarnation(effect.worker)
    try:
        if born is not None and reply.born is msgspec.UNSET:
            raise ValueError("it doesn't tell which incarnation has sent it")
        running, ended = decode_runs(reply)
    except ValueError:
        return PollFailed(effect.worker, False, False, effect.is_check)
    acknowledged = effect.acknowledged
    return PollAnswered(
        effect.worker, sent_at, running, ended, acknowledged, effect.is_check
    )
