"""HTTP client of the operators' interface of entries."""

import asyncio
import ssl
import uuid
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import msgspec
import uvloop

from cactuswalk.errors import CactuswalkError

__all__ = [
    "EntryClient",
    "EntryProblemError",
    "EntryUnreachableError",
    "NotInForceError",
    "Reply",
    "run",
]

# An entry waits up to 10 s for the key-value service before it reports that it got no
# answer; a client with a shorter timeout would not receive that report.
TIMEOUT_SECONDS = 15.0
CONNECT_SECONDS = 2.0

# Interval of `--wait`. A change takes some tens of milliseconds to spread.
POLL_SECONDS = 0.1

# Number of times that a change without a reply is sent, with one write id.
CHANGE_ATTEMPTS = 3

# Documented in docs/operations/handbook.md; scripts depend on them.
EXIT_CODES = {
    "not_found": 3,
    "conflict": 4,
    "not_written": 5,
    "service_went_back": 5,
    "outcome_unknown": 6,
    "unauthorized": 7,
}

Result = TypeVar("Result")


class EntryProblemError(CactuswalkError):
    """An entry has answered with a problem document.

    :param fields: of the document, see ``http.operators_problems``.
    """

    def __init__(self, fields: dict[str, object]) -> None:
        message = str(fields.get("detail", "the entry gave no reason"))
        super().__init__(message, str(fields.get("remedy", "")))
        self.fields = fields
        self.code = str(fields.get("code", "internal"))
        wrong_request = 400 <= int(fields.get("status", 500)) < 500
        self.exit_code = EXIT_CODES.get(self.code, 2 if wrong_request else 1)


class EntryUnreachableError(CactuswalkError):
    """No entry could be reached, so that no request was made."""

    code = "entry_unreachable"
    exit_code = 9


class ReplyLostError(CactuswalkError):
    """A change was sent to an entry, and no reply arrived."""

    code = "outcome_unknown"
    exit_code = 6


class NotInForceError(CactuswalkError):
    """A revision was accepted, but is not in force everywhere in time."""

    code = "not_in_force"
    exit_code = 8


class Reply(msgspec.Struct):
    """The response of an entry."""

    status: int
    fields: dict[str, object]


class EntryClient:
    """A client of the entries that an operator has configured.

    :param endpoints: base URLs; the next is tried if one can't be reached.
    :param certificate: file of the authority that signed the entries' certificates;
        empty for the authorities of the system.
    """

    __slots__ = ("endpoints", "token", "certificate", "session")

    def __init__(self, endpoints: list[str], token: str, certificate: str = "") -> None:
        self.endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self.token = token
        self.certificate = certificate
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "EntryClient":
        """Open the client's connections."""
        context = True
        if self.certificate:
            context = ssl.create_default_context(cafile=self.certificate)
        self.session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {self.token}"},
            timeout=aiohttp.ClientTimeout(TIMEOUT_SECONDS, connect=CONNECT_SECONDS),
            connector=aiohttp.TCPConnector(ssl=context),
        )
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close the client's connections."""
        await self.session.close()

    async def read(self, path: str, query: dict[str, str] | None = None) -> Reply:
        """Read from the first entry that answers.

        :raises EntryProblemError: if that entry answers with a problem.
        """
        failures = []
        for endpoint in self.endpoints:
            try:
                return await self._send("GET", endpoint, path, query or {}, {}, None)
            except (aiohttp.ClientError, TimeoutError) as error:
                failures.append(format_failure(endpoint, error))
        raise make_unreachable_error(failures)

    async def read_each(self, path: str, query: dict[str, str]) -> list[Reply]:
        """Read from every configured entry; each must answer."""
        replies = []
        for endpoint in self.endpoints:
            try:
                replies.append(await self._send("GET", endpoint, path, query, {}, None))
            except (aiohttp.ClientError, TimeoutError) as error:
                raise make_unreachable_error(
                    [format_failure(endpoint, error)]
                ) from error
        return replies

    async def change(
        self,
        method: str,
        path: str,
        expected: int,
        body: object = None,
        write_id: str = "",
        dry_run: bool = False,
    ) -> Reply:
        """Request a change; it is sent again if its reply is lost.

        The write id makes that safe: the copy that arrives first is written, and the
        others get its result.

        :param expected: revision on which the change is based; 0 for a new object.
        """
        write_id = write_id or str(uuid.uuid4())
        condition = (
            {"If-Match": f'"{expected}"'} if expected else {"If-None-Match": "*"}
        )
        headers = condition | {"Write-Id": write_id}
        query = {"dry_run": "1"} if dry_run else {}
        failures = []
        sent = False
        for endpoint in (self.endpoints * CHANGE_ATTEMPTS)[
            : max(CHANGE_ATTEMPTS, len(self.endpoints))
        ]:
            try:
                return await self._send(method, endpoint, path, query, headers, body)
            except (aiohttp.ClientError, TimeoutError) as error:
                sent = sent or not isinstance(error, aiohttp.ClientConnectorError)
                failures.append(format_failure(endpoint, error))
        if not sent or dry_run:
            raise make_unreachable_error(failures)
        raise ReplyLostError(
            f"no reply to the write {write_id}: {'; '.join(failures)}",
            "Run the same command again; it then shows what has been written.",
        )

    async def post(self, path: str, query: dict[str, str]) -> Reply:
        """Send an idempotent POST request to the first entry that answers."""
        failures = []
        for endpoint in self.endpoints:
            try:
                return await self._send("POST", endpoint, path, query, {}, None)
            except (aiohttp.ClientError, TimeoutError) as error:
                failures.append(format_failure(endpoint, error))
        raise make_unreachable_error(failures)

    async def wait(
        self, revision: int, seconds: float, show_progress: Callable[[dict], None]
    ) -> dict[str, object]:
        """Wait until a revision is in force on every known node.

        :param show_progress: called with the counts when they change.
        :raises NotInForceError: if that takes longer than ``seconds``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        last: dict[str, object] = {}
        while True:
            query = {"revision": str(revision)}
            replies = await self.read_each("/operator/in-force", query)
            counts = merge_counts([reply.fields for reply in replies])
            if counts != last:
                show_progress(counts)
            last = counts
            if counts["everywhere"]:
                return counts
            if loop.time() >= deadline:
                raise NotInForceError(
                    f"revision {revision} is in force on {counts['nodes_in_force']} "
                    f"of {counts['nodes']} nodes after {seconds:g} s",
                    "It was accepted and is still spreading: `cactuswalk wait "
                    f"{revision}`, and `cactuswalk status` for the nodes.",
                )
            await asyncio.sleep(min(POLL_SECONDS, max(0.0, deadline - loop.time())))

    async def _send(
        self,
        method: str,
        endpoint: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: object,
    ) -> Reply:
        data = None if body is None else msgspec.json.encode(body)
        async with self.session.request(
            method, endpoint + path, params=query, headers=headers, data=data
        ) as response:
            fields = decode_fields(await response.read(), response.status)
        if response.status >= 400:
            raise EntryProblemError(fields)
        return Reply(response.status, fields)


def decode_fields(data: bytes, status: int) -> dict[str, object]:
    """Return the JSON of a response; a balancer's own error pages are not JSON."""
    try:
        return msgspec.json.decode(data, type=dict[str, object])
    except msgspec.MsgspecError as error:
        raise EntryProblemError(
            {
                "status": status,
                "code": "no_entry",
                "detail": f"the answer (status {status}) is not from an entry: {error}",
                "remedy": "Give the operators' address of an entry with --endpoint.",
            }
        ) from error


def merge_counts(replies: list[dict[str, object]]) -> dict[str, object]:
    """Return the counts of the entry that misses the most nodes, over all replies."""
    chosen = min(replies, key=lambda counts: counts["nodes_in_force"] - counts["nodes"])
    everywhere = all(
        counts["entry_in_force"] and counts["nodes_in_force"] == counts["nodes"]
        for counts in replies
    )
    return {
        "revision": chosen["revision"],
        "nodes": chosen["nodes"],
        "nodes_in_force": chosen["nodes_in_force"],
        "entries": len(replies),
        "entries_in_force": sum(bool(counts["entry_in_force"]) for counts in replies),
        "everywhere": everywhere,
    }


def format_failure(endpoint: str, error: Exception) -> str:
    """Return the text for a failed endpoint."""
    return f"{endpoint}: {error or type(error).__name__}"


def make_unreachable_error(failures: list[str]) -> EntryUnreachableError:
    """Return the error for endpoints that all failed."""
    return EntryUnreachableError(
        f"no entry answered: {'; '.join(failures)}",
        "Check the address with --endpoint and that the entry runs; nothing was "
        "changed.",
    )


def run(action: Awaitable[Result]) -> Result:
    """Run the requests of a command on a new event loop."""
    return uvloop.run(action)
