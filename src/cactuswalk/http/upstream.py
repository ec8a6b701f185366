"""Calls from the agent to the upstream on its host.

A call is sent at most once. Its outcome is ``NOT_SENT`` only if there was no
connection that could have carried a byte of it. Any other call without a complete
answer is ``UNCERTAIN``, since the upstream may have done the work.
"""

import contextvars
import logging
import time
from collections.abc import Callable
from urllib.parse import quote

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from cactuswalk.errors import CactuswalkError
from cactuswalk.state.effects import CallUpstream, ControlUpstream, StopUpstream
from cactuswalk.state.events import UpstreamAnswered, UpstreamOutcome

__all__ = ["MAX_ANSWER_BYTES", "UpstreamClient"]

logger = logging.getLogger(__name__)

# Required limit of connections to an upstream, until it announces its own.
DEFAULT_CONNECTIONS = 64

# An answer passes through three processes of 64 MB each, and the platform's largest
# value is 1 MB. 4 MB leave headroom and bound the memory of an agent.
MAX_ANSWER_BYTES = 4 << 20

# Status reported to the owner for an answer above the limit: the work is done, but
# its answer can't be delivered completely.
ANSWER_TOO_LARGE_STATUS = 502

# Below the idle timeout of common servers (two seconds or more): if a request is sent
# on a connection that the upstream is just closing, it is unknown whether it arrived,
# and its outcome is needlessly uncertain.
MAX_IDLE_SECONDS = 1.0

# A stop is best effort; the call itself returns how the task ended.
STOP_TIMEOUT_SECONDS = 2.0


class CallError(CactuswalkError):
    """The call was not made, or its answer is invalid."""

    code = "upstream_call"


class NotConnectedError(CallError):
    """The call was not made; nothing was sent."""

    code = "upstream_not_connected"


class AnswerTooLargeError(CallError):
    """The answer exceeds ``MAX_ANSWER_BYTES``."""

    code = "upstream_answer_too_large"


class AnswerLengthMissingError(CallError):
    """The answer has no declared length, so truncation can't be detected."""

    code = "upstream_answer_unbounded"


class AnswerMismatchError(CallError):
    """The answer does not identify the request that it was read for."""

    code = "upstream_answer_mixed_up"


class UpstreamClient:
    """Client of one upstream.

    A call beyond the announced number of connections is not sent. A stop is always
    sent, since it must not wait for the call that it ends.

    If an upstream answers twice, the next request on the connection would read the
    second answer as its own. Connections are therefore reused only if the upstream
    repeats the request's headers in its answer, which is checked. Otherwise each
    call has its own connection, which costs 1.2 ms of the agent's CPU time per call
    instead of 0.5 ms (trial on a busy machine).

    :ivar on_refused: called when the upstream's port refuses a connection.
    """

    def __init__(self) -> None:
        self.url: URL | None = None
        self.tasks_url: URL | None = None
        self.connections = DEFAULT_CONNECTIONS
        self.in_flight = 0
        self.echoes = False
        self.on_refused: Callable[[], None] = _do_nothing
        self.single_use_session: aiohttp.ClientSession | None = None
        self.pooled_session: aiohttp.ClientSession | None = None

    def set_upstream(self, port: int, connections: int, echoes: bool = False) -> None:
        """Set the loopback port that later calls are sent to.

        :param connections: maximum number of concurrent calls.
        :param echoes: answers repeat the headers that identify the request.
        """
        self.echoes = echoes
        self.url = URL.build(scheme="http", host="127.0.0.1", port=port)
        self.tasks_url = self.url / "tasks"
        self.connections = connections

    async def open(self) -> None:
        """Create the sessions; requires a running event loop."""
        self.single_use_session = _make_session(
            _TrackingConnector(limit=0, force_close=True)
        )
        self.pooled_session = _make_session(
            _TrackingConnector(limit=0, keepalive_timeout=MAX_IDLE_SECONDS)
        )

    async def close(self) -> None:
        """Close the sessions, which aborts calls in flight."""
        for session in (self.single_use_session, self.pooled_session):
            if session is not None:
                await session.close()
        self.single_use_session = self.pooled_session = None

    async def call(self, effect: CallUpstream) -> UpstreamAnswered:
        """Run a task at the upstream and return the outcome of the call."""
        started_at, url = time.monotonic(), self.url
        connection = _ConnectionState()
        _connection.set(connection)
        outcome, status, body = UpstreamOutcome.UNCERTAIN, 0, b""
        self.in_flight += 1
        try:
            status, body = await self._post(effect)
            outcome = UpstreamOutcome.ANSWERED
        except AnswerTooLargeError as error:
            outcome = UpstreamOutcome.ANSWERED
            status, body = ANSWER_TOO_LARGE_STATUS, str(error).encode()
        except (
            aiohttp.ClientError,
            CallError,
            OSError,
            TimeoutError,
            ValueError,
        ) as error:
            if not connection.made:
                outcome = UpstreamOutcome.NOT_SENT
            # A refusal by an earlier port says nothing about the current one.
            if _is_connection_refused(error) and url == self.url:
                self.on_refused()
            logger.warning(
                "upstream call for task %d of %s failed (%s): %r",
                effect.index,
                effect.submission,
                outcome.value,
                error,
            )
        finally:
            self.in_flight -= 1
        return UpstreamAnswered(
            submission=effect.submission,
            index=effect.index,
            attempt=effect.attempt,
            outcome=outcome,
            status=status,
            body=body,
            elapsed_ms=round((time.monotonic() - started_at) * 1000),
        )

    async def stop(self, effect: StopUpstream) -> bool:
        """Ask the upstream to stop a task; return whether it accepted the request."""
        return await self._send_control(effect, "stop", None)

    async def steer(self, effect: ControlUpstream) -> bool:
        """Ask it to throttle or save a task; return whether it accepted the request."""
        body = {"factor": effect.factor}
        return await self._send_control(effect, effect.action.value, body)

    async def _send_control(
        self, effect: StopUpstream | ControlUpstream, action: str, body: dict | None
    ) -> bool:
        if self.url is None or self.single_use_session is None:
            return False
        path = f"/tasks/{quote(effect.submission, safe='')}/{effect.index}/{action}"
        url = URL(f"{self.url.origin()}{path}", encoded=True)
        headers = {"Cactuswalk-Attempt": str(effect.attempt)}
        timeout = aiohttp.ClientTimeout(total=STOP_TIMEOUT_SECONDS)
        try:
            async with self.single_use_session.post(
                url,
                json=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return response.status < 300
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _post(self, effect: CallUpstream) -> tuple[int, bytes]:
        if self.url is None or self.single_use_session is None:
            raise NotConnectedError(
                "no upstream is announced",
                "Let the upstream announce itself; see docs/upstreams.md.",
            )
        if self.in_flight > self.connections:
            raise NotConnectedError(
                f"all {self.connections} connections are in use",
                "Let the upstream announce more connections than slots.",
            )
        session, expected_echo = self.single_use_session, {}
        identity = {
            "Cactuswalk-Submission": effect.submission,
            "Cactuswalk-Task": str(effect.index),
            "Cactuswalk-Attempt": str(effect.attempt),
        }
        if self.echoes:
            session, expected_echo = self.pooled_session, identity
        headers = CIMultiDict(identity)
        headers["Content-Type"] = "application/json"
        headers["Cactuswalk-Service"] = effect.service
        headers["Cactuswalk-Deadline-Ms"] = str(effect.timeout_ms)
        # Redirects are not followed, since that would send the request again.
        async with session.post(
            self.tasks_url,
            data=effect.task.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=max(effect.timeout_ms, 1) / 1000),
            allow_redirects=False,
        ) as response:
            _check_echo(response, expected_echo)
            return response.status, await _read_whole(response)


def _do_nothing() -> None:
    """Default of ``on_refused``."""


def _is_connection_refused(error: Exception) -> bool:
    """Return whether the port refused the connection.

    A killed upstream can't withdraw. Without this check it would be sent work, which
    it can't start, until its announcement expires.
    """
    refused = isinstance(error, aiohttp.ClientConnectorError)
    return refused and isinstance(error.os_error, ConnectionRefusedError)


def _make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )


class _ConnectionState:
    """Whether a call had a connection that could have carried a byte of it."""

    __slots__ = ("made",)

    def __init__(self) -> None:
        self.made = False


# State of the call in the current context; each call is a task with its own context.
# aiohttp's traces would show the same, but cost a tenth of a call's CPU time.
_connection: contextvars.ContextVar[_ConnectionState] = contextvars.ContextVar(
    "connection"
)


class _TrackingConnector(aiohttp.TCPConnector):
    """Records in the call's state that it has a connection; nothing is sent before."""

    async def connect(self, *arguments, **options) -> aiohttp.connector.Connection:
        """Return a connection, new or reused."""
        made = await super().connect(*arguments, **options)
        _connection.get(_ConnectionState()).made = True
        return made


def _check_echo(
    response: aiohttp.ClientResponse, expected_echo: dict[str, str]
) -> None:
    """Raise and close the connection unless the answer identifies its request."""
    for name, value in expected_echo.items():
        if response.headers.get(name) != value:
            # Further answers on this connection would be mismatched as well.
            response.close()
            raise AnswerMismatchError(
                f"{name} is {response.headers.get(name)} in the answer to {value}",
                "Let the upstream repeat the request's headers or not announce echoes.",
            )


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    """Return the complete body; aiohttp raises if it is shorter than declared."""
    length = response.content_length
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if length is None and not chunked and response.status not in (204, 304):
        raise AnswerLengthMissingError(
            "the answer has no declared length",
            "Let the upstream send Content-Length or chunked encoding.",
        )
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes",
                "Let the upstream return less, such as a reference to the data.",
            )
    return bytes(body)
