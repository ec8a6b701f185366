"""The agent's calls to the upstream beside it.

A call is sent at most once. ``NOT_SENT`` is said only where no connection was
there to carry a byte of it; whatever else is no whole answer is ``UNCERTAIN``,
since the upstream may have done the work.
"""

import time
from types import SimpleNamespace
from urllib.parse import quote

import aiohttp
from yarl import URL

from cactuswalk.state.effects import CallUpstream, StopUpstream
from cactuswalk.state.events import UpstreamAnswered, UpstreamOutcome

__all__ = ["MAXIMUM_ANSWER_BYTES", "UpstreamClient"]

# The brief's guard: 64 connections to an upstream, until it announces its own.
DEFAULT_CONNECTIONS = 64

# An answer travels through three processes of 64 MB each; the platform's own
# largest value is a megabyte. Four leave room and bound what an agent holds.
MAXIMUM_ANSWER_BYTES = 4 << 20

# Told to the owner as the status of an answer above the limit: the work is
# done, but its answer can't be delivered whole.
ANSWER_TOO_LARGE_STATUS = 502

# A stop is a wish; the call itself tells how the task ended.
STOP_TIMEOUT_SECONDS = 2.0


class AnswerTooLargeError(Exception):
    """The upstream's answer is above the limit."""


class AnswerUnboundedError(Exception):
    """An answer without a length: one that is cut short would look whole."""


class UpstreamClient:
    """Calls to one upstream, each on a connection of its own.

    A call beyond the announced connections is not sent. A stop is, since it
    must not wait for what it is to end.

    Connections are not reused. On a reused one, an upstream that had closed it
    a moment ago leaves open whether a request arrived, and an upstream that
    answers twice leaves the second answer to be read by the next request.
    """

    def __init__(self) -> None:
        self.url: URL | None = None
        self.connections = DEFAULT_CONNECTIONS
        self.in_flight = 0
        self.session: aiohttp.ClientSession | None = None

    def set_upstream(self, port: int, connections: int) -> None:
        """Send calls to this port of the loopback from now on."""
        self.url = URL.build(scheme="http", host="127.0.0.1", port=port)
        self.connections = connections

    async def open(self) -> None:
        """Make the session; needs the running loop."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_note_connection)
        trace.on_connection_reuseconn.append(_note_connection)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Close the session, and with it what is still in flight."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def call(self, effect: CallUpstream) -> UpstreamAnswered:
        """Run a task at the upstream and return what became of the call."""
        began = time.monotonic()
        trace = SimpleNamespace(connected=False)
        outcome, status, body = UpstreamOutcome.UNCERTAIN, 0, b""
        self.in_flight += 1
        try:
            status, body = await self._post(effect, trace)
            outcome = UpstreamOutcome.ANSWERED
        except AnswerTooLargeError as error:
            outcome = UpstreamOutcome.ANSWERED
            status, body = ANSWER_TOO_LARGE_STATUS, str(error).encode()
        except (
            aiohttp.ClientError,
            AnswerUnboundedError,
            OSError,
            TimeoutError,
            ValueError,
        ):
            if not trace.connected:
                outcome = UpstreamOutcome.NOT_SENT
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
        if self.url is None or self.session is None:
            return False
        path = f"/tasks/{quote(effect.submission, safe='')}/{effect.index}/stop"
        url = URL(f"{self.url.origin()}{path}", encoded=True)
        headers = {"Cactuswalk-Attempt": str(effect.attempt)}
        timeout = aiohttp.ClientTimeout(total=STOP_TIMEOUT_SECONDS)
        try:
            async with self.session.post(
                url,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=SimpleNamespace(connected=False),
            ) as response:
                return response.status < 300
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _post(
        self, effect: CallUpstream, trace: SimpleNamespace
    ) -> tuple[int, bytes]:
        if self.url is None or self.session is None:
            raise aiohttp.ClientConnectionError("no upstream has announced itself")
        if self.in_flight > self.connections:
            raise aiohttp.ClientConnectionError("every connection is in use")
        headers = {
            "Content-Type": "application/json",
            "Cactuswalk-Submission": effect.submission,
            "Cactuswalk-Task": str(effect.index),
            "Cactuswalk-Attempt": str(effect.attempt),
            "Cactuswalk-Service": effect.service,
            "Cactuswalk-Deadline-Ms": str(effect.timeout_ms),
        }
        # Redirects are off: following one would send the request again.
        async with self.session.post(
            self.url / "tasks",
            data=effect.task.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=max(effect.timeout_ms, 1) / 1000),
            allow_redirects=False,
            trace_request_ctx=trace,
        ) as response:
            return response.status, await _read_whole(response)


async def _note_connection(session, context, parameters) -> None:
    context.trace_request_ctx.connected = True


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; aiohttp raises if it is shorter than announced."""
    length = response.content_length
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if length is None and not chunked and response.status not in (204, 304):
        raise AnswerUnboundedError
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAXIMUM_ANSWER_BYTES:
            raise AnswerTooLargeError(
                f"the answer is above {MAXIMUM_ANSWER_BYTES} bytes"
            )
    return bytes(body)
