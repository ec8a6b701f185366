"""Client for the worker on the same host."""

import asyncio
import collections.abc

import aiohttp
import msgspec
import yarl

from cactuswalk.dispatch.agentevents import (
    AgentEvent,
    EndedRow,
    PollAnswered,
    PollFailed,
    RunEnd,
    RunningRow,
    StartAnswered,
    StartVerdict,
    StopAnswered,
)
from cactuswalk.dispatch.bounds import CALL_TIMEOUT_SECONDS
from cactuswalk.dispatch.effects import PollWorker, StartTask, StopTask
from cactuswalk.platform.names import format_task_name, parse_task_name

__all__ = ["WorkerClient"]

START_PATH = "/v1/run-start"
STOP_PATH = "/v1/run-stop"
POLL_PATH = "/v1/hold"

# Names the expected incarnation of the worker, which the platform calls an instance.
# Another incarnation refuses the call with 421.
INSTANCE_HEADER = "X-Expected-Instance"
MISDIRECTED_REQUEST = 421

# For concurrent starts, and one more for polls. Opening a connection has a cost.
MAX_CONNECTIONS = 6
# Idle connections are kept this long, unless the worker closes them earlier.
KEEPALIVE_SECONDS = 300.0

START_REFUSALS = {
    "old": StartVerdict.SUPERSEDED,
    "fence": StartVerdict.FENCED,
    "late": StartVerdict.LATE,
    "room": StartVerdict.NO_ROOM,
}

# The platform's ends for gangs ("broken", "alone") are not listed and count as lapsed:
# the run is over, but not by its own fault.
RUN_ENDS = {"done": RunEnd.DONE, "failed": RunEnd.FAILED, "stopped": RunEnd.STOPPED}


class Reply(msgspec.Struct):
    """The fields of all the worker's responses; ``clock_ms`` is its monotonic clock."""

    clock_ms: float | None = None
    reason: str = ""
    running: list[list] = []
    finished: list[list] = []


_decoder = msgspec.json.Decoder(Reply)


class WorkerCallError(Exception):
    """A call got no usable response.

    :param refused: the connection was refused, so nothing was sent.
    """

    def __init__(self, refused: bool) -> None:
        super().__init__()
        self.refused = refused


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
        self.session: aiohttp.ClientSession | None = None
        self.urls = {
            path: yarl.URL(f"http://{address}{path}")
            for path in (START_PATH, STOP_PATH, POLL_PATH)
        }
        # By worker, its clock minus the agent's clock.
        self.clock_offsets_ms: dict[str, float] = {}

    async def start(self, effect: StartTask) -> AgentEvent:
        """Start a task, unless its lease has passed before the call is sent."""
        if self.clock() >= effect.lease_until:
            return StartAnswered(effect.worker, effect.handle, StartVerdict.LATE)
        body = {
            "task": format_task_name(effect.key),
            "run": effect.run,
            "spec": effect.spec,
            "deadline_ms": self._worker_deadline_ms(effect.worker, effect.lease_until),
            "fencing_token": effect.token,
        }
        try:
            status, reply = await self._call(
                START_PATH, effect.worker, body, CALL_TIMEOUT_SECONDS
            )
        except WorkerCallError as error:
            verdict = StartVerdict.GONE if error.refused else StartVerdict.UNKNOWN
            return StartAnswered(effect.worker, effect.handle, verdict)
        verdict = _decode_verdict(status, reply.reason)
        return StartAnswered(effect.worker, effect.handle, verdict)

    async def stop(self, effect: StopTask) -> AgentEvent:
        """Stop a run, or forbid its start."""
        body = {
            "task": format_task_name(effect.key),
            "run": effect.run,
            "fencing_token": effect.token,
        }
        try:
            status, _ = await self._call(
                STOP_PATH, effect.worker, body, CALL_TIMEOUT_SECONDS
            )
        except WorkerCallError:
            return StopAnswered(effect.worker, effect.handle, False)
        return StopAnswered(effect.worker, effect.handle, status == 200)

    async def poll(self, effect: PollWorker) -> AgentEvent:
        """Renew the lease, and list the running and ended runs."""
        sent_at = self.clock()
        body = {
            "fencing_token": effect.token,
            "last_seen": effect.acknowledged,
            "wait_ms": effect.wait_ms,
        }
        if effect.lease_until and effect.worker in self.clock_offsets_ms:
            body["deadline_ms"] = self._worker_deadline_ms(
                effect.worker, effect.lease_until
            )
        timeout_seconds = CALL_TIMEOUT_SECONDS + effect.wait_ms / 1000
        try:
            status, reply = await self._call(
                POLL_PATH, effect.worker, body, timeout_seconds
            )
        except WorkerCallError as error:
            return PollFailed(effect.worker, False, error.refused, effect.is_check)
        if status != 200:
            fenced = reply.reason == "fence"
            return PollFailed(
                effect.worker, fenced, status == MISDIRECTED_REQUEST, effect.is_check
            )
        return PollAnswered(
            effect.worker,
            sent_at,
            [_decode_running(row) for row in reply.running],
            [_decode_ended(row) for row in reply.finished],
            effect.acknowledged,
            effect.is_check,
        )

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    def _worker_deadline_ms(self, worker: str, lease_until: float) -> int:
        """Return the end of a lease on the worker's clock, in milliseconds."""
        return int(lease_until * 1000 + self.clock_offsets_ms.get(worker, 0.0))

    async def _call(
        self, path: str, worker: str, body: dict, timeout_seconds: float
    ) -> tuple[int, Reply]:
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_SECONDS
            )
            # Without cookies and a session timeout, which cost time in every call.
            self.session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        url = self.urls[path]
        headers = {INSTANCE_HEADER: worker, "Content-Type": "application/json"}
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self.session.post(
                    url, data=msgspec.json.encode(body), headers=headers
                ) as response:
                    data = await response.read()
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            raise WorkerCallError(refused) from error
        except (aiohttp.ClientError, OSError) as error:
            raise WorkerCallError(False) from error
        reply = _decode_reply(data)
        if reply.clock_ms is not None and response.status != MISDIRECTED_REQUEST:
            # The worker read its clock before its response arrived, so that a lease
            # computed from this offset ends early rather than late.
            self.clock_offsets_ms[worker] = reply.clock_ms - self.clock() * 1000
        return response.status, reply


def _decode_reply(data: bytes) -> Reply:
    if not data:
        return Reply()
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WorkerCallError(False) from error


def _decode_verdict(status: int, reason: str) -> StartVerdict:
    if status == 200:
        return StartVerdict.STARTED
    if status == 409:
        return START_REFUSALS.get(reason, StartVerdict.INVALID)
    if status in (429, 503):
        return StartVerdict.UNHEALTHY
    if status == MISDIRECTED_REQUEST:
        return StartVerdict.GONE
    return StartVerdict.INVALID if status == 400 else StartVerdict.UNKNOWN


def _decode_running(row: list) -> RunningRow:
    return RunningRow(parse_task_name(row[0]), row[0], row[1], row[3])


def _decode_ended(row: list) -> EndedRow:
    number, name, run, how, _ = row
    return EndedRow(
        number, parse_task_name(name), run, RUN_ENDS.get(how, RunEnd.LAPSED)
    )
