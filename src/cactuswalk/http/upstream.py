"""The agent's calls to the upstream beside it.

A call is sent at most once. ``NOT_SENT`` is said only where no connection was
there to carry a byte of it; whatever else is no whole answer is ``UNCERTAIN``,
since the upstream may have done the work.
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

# The brief's guard: 64 connections to an upstream, until it announces its own.
DEFAULT_CONNECTIONS = 64

# An answer travels through three processes of 64 MB each; the platform's own
# largest value is a megabyte. Four leave room and bound what an agent holds.
MAX_ANSWER_BYTES = 4 << 20

# Told to the owner as the status of an answer above the limit: the work is
# done, but its answer can't be delivered whole.
ANSWER_TOO_LARGE_STATUS = 502

# Below the time after which common servers close an idle connection (two seconds
# and more): on one that the upstream is just closing, whether a request arrived
# stays open, and its outcome is uncertain for nothing.
MAX_IDLE_SECONDS = 1.0

# A stop is a wish; the call itself tells how the task ended.
STOP_TIMEOUT_SECONDS = 2.0


class CallError(CactuswalkError):
    """A call of an upstream that is not made, or whose answer doesn't count."""

    code = "upstream_call"


class NotConnectedError(CallError):
    """The call is not made; nothing of it has left."""

    code = "upstream_not_connected"


class AnswerTooLargeError(CallError):
    """The upstream's answer is above the limit."""

    code = "upstream_answer_too_large"


class AnswerLengthMissingError(CallError):
    """An answer without a length: one that is cut short would look whole."""

    code = "upstream_answer_unbounded"


class AnswerMismatchError(CallError):
    """An answer that does not name the request that it was read for."""

    code = "upstream_answer_mixed_up"


class UpstreamClient:
    """Calls to one upstream.

    A call beyond the announced connections is not sent. A stop is, since it
    must not wait for what it is to end.

    An upstream that answers twice leaves its second answer on the connection,
    where the next request would read it as its own. So connections are reused
    only where the upstream repeats the request's headers in its answer, and
    that is checked. Otherwise each call has a connection of its own, at 1.2 ms of
    the agent's processor time a call instead of 0.5 ms (trial on a busy machine).

    :ivar on_refused: called when nobody listens at the upstream's port any more.
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
        """Send calls to this port of the loopback from now on.

        :param echoes: its answers repeat the headers that name the request.
        """
        self.echoes = echoes
        self.url = URL.build(scheme="http", host="127.0.0.1", port=port)
        self.tasks_url = self.url / "tasks"
        self.connections = connections

    async def open(self) -> None:
        """Make the sessions; needs the running loop."""
        self.single_use_session = _make_session(
            _TrackingConnector(limit=0, force_close=True)
        )
        self.pooled_session = _make_session(
            _TrackingConnector(limit=0, keepalive_timeout=MAX_IDLE_SECONDS)
        )

    async def close(self) -> None:
        """Close the sessions, and with them what is still in flight."""
        for session in (self.single_use_session, self.pooled_session):
            if session is not None:
                await session.close()
        self.single_use_session = self.pooled_session = None

    async def call(self, effect: CallUpstream) -> UpstreamAnswered:
        """Run a task at the upstream and return what became of the call."""
        began, url = time.monotonic(), self.url
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
            # What was sent to an earlier port says nothing of the present one.
            if _is_connection_refused(error) and url == self.url:
                self.on_refused()
            logger.warning(
                "task %d of %s is %s at the upstream: %r",
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
            elapsed_ms=round((time.monotonic() - began) * 1000),
        )

    async def stop(self, effect: StopUpstream) -> bool:
        """Ask the upstream to stop a task; return whether it took the wish."""
        return await self._send_control(effect, "stop", None)

    async def steer(self, effect: ControlUpstream) -> bool:
        """Ask it to throttle or save a task; return whether it took the wish."""
        wish = {"factor": effect.factor}
        return await self._send_control(effect, effect.action.value, wish)

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
                "no upstream has announced itself",
                "Have the upstream announce itself; see docs/upstreams.md.",
            )
        if self.in_flight > self.connections:
            raise NotConnectedError(
                f"all {self.connections} connections are in use",
                "Have the upstream announce more connections than slots.",
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
        # Redirects are off: following one would send the request again.
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
    """Do nothing: nobody wants to know."""


def _is_connection_refused(error: Exception) -> bool:
    """Tell whether nobody listened at the port.

    An upstream that was killed can't withdraw. Without this it would be given
    work, which it can't begin, until its announcement expires.
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
    """Whether a call has had a connection that could carry a byte of it."""

    __slots__ = ("made",)

    def __init__(self) -> None:
        self.made = False


# Of the call that runs in this context; each call is a task with a context of its
# own. aiohttp's traces would tell the same, at a tenth of a call's processor time.
_connection: contextvars.ContextVar[_ConnectionState] = contextvars.ContextVar(
    "connection"
)


class _TrackingConnector(aiohttp.TCPConnector):
    """Notes on the call that it now has a connection; nothing is sent before."""

    async def connect(self, *arguments, **options) -> aiohttp.connector.Connection:
        """Return a connection, new or reused."""
        made = await super().connect(*arguments, **options)
        _connection.get(_ConnectionState()).made = True
        return made


def _check_echo(
    response: aiohttp.ClientResponse, expected_echo: dict[str, str]
) -> None:
    """Raise, and close the connection, unless the answer names its request."""
    for name, value in expected_echo.items():
        if response.headers.get(name) != value:
            # What else comes on this connection is some other request's too.
            response.close()
            raise AnswerMismatchError(
                f"{name} is {response.headers.get(name)} in the answer to {value}",
                "Repeat the request's headers in the answer, or announce no echoes.",
            )


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; aiohttp raises if it is shorter than announced."""
    length = response.content_length
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if length is None and not chunked and response.status not in (204, 304):
        raise AnswerLengthMissingError(
            "the answer has no length",
            "Have the upstream send Content-Length or chunks.",
        )
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(
                f"the answer is above {MAX_ANSWER_BYTES} bytes",
                "Have the upstream answer less, such as where to fetch the rest.",
            )
    return bytes(body)
