"""Talk to the operators' interface of an entry, by HTTP."""

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

# The entry itself asks the key-value service for up to 10 s before it says
# that it got no answer; a client that gave up earlier would not hear that.
TIMEOUT_SECONDS = 15.0
CONNECT_SECONDS = 2.0

# How often `--wait` asks. A change takes some tens of milliseconds to spread.
POLL_SECONDS = 0.1

# A change whose reply was lost is sent again this often, under its write id.
CHANGE_ATTEMPTS = 3

# Documented in docs/operations/handbook.md; scripts act on them.
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
    """An entry has answered with a problem.

    :param fields: of the problem, see ``http.operators_problems``.
    """

    def __init__(self, fields: dict[str, object]) -> None:
        message = str(fields.get("detail", "the entry gave no reason"))
        super().__init__(message, str(fields.get("remedy", "")))
        self.fields = fields
        self.code = str(fields.get("code", "internal"))
        wrong_request = 400 <= int(fields.get("status", 500)) < 500
        self.exit_code = EXIT_CODES.get(self.code, 2 if wrong_request else 1)


class EntryUnreachableError(CactuswalkError):
    """No entry could be reached; nothing was asked of any."""

    code = "entry_unreachable"
    exit_code = 9


class ReplyLostError(CactuswalkError):
    """An entry was asked for a change, and its reply never came."""

    code = "outcome_unknown"
    exit_code = 6


class NotInForceError(CactuswalkError):
    """A revision was accepted, and is not in force everywhere in time."""

    code = "not_in_force"
    exit_code = 8


class Reply(msgspec.Struct):
    """An entry's answer."""

    status: int
    fields: dict[str, object]


class EntryClient:
    """A client of the entries that an operator has named.

    :param endpoints: base addresses; the next is asked if one can't be reached.
    :param certificate: file of the authority that signed the entries'
        certificates; empty for the system's own authorities.
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

        :raises EntryProblemError: as that entry has answered.
        """
        failures = []
        for endpoint in self.endpoints:
            try:
                return await self._send("GET", endpoint, path, query or {}, {}, None)
            except (aiohttp.ClientError, TimeoutError) as error:
                failures.append(describe(endpoint, error))
        raise unreachable(failures)

    async def read_each(self, path: str, query: dict[str, str]) -> list[Reply]:
        """Read from every entry that was named; each must answer."""
        replies = []
        for endpoint in self.endpoints:
            try:
                replies.append(await self._send("GET", endpoint, path, query, {}, None))
            except (aiohttp.ClientError, TimeoutError) as error:
                raise unreachable([describe(endpoint, error)]) from error
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
        """Ask for a change; one whose reply is lost is sent again.

        The write id makes that safe: whichever copy comes first is made, and
        the others are told so.

        :param expected: revision that the change builds on; 0 for a new object.
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
                failures.append(describe(endpoint, error))
        if not sent or dry_run:
            raise unreachable(failures)
        raise ReplyLostError(
            f"no reply came to the write {write_id}: {'; '.join(failures)}",
            "Run the same command again; what has been written is then shown.",
        )

    async def act(self, path: str, query: dict[str, str]) -> Reply:
        """Have an entry do what does no more harm when it is done again."""
        failures = []
        for endpoint in self.endpoints:
            try:
                return await self._send("POST", endpoint, path, query, {}, None)
            except (aiohttp.ClientError, TimeoutError) as error:
                failures.append(describe(endpoint, error))
        raise unreachable(failures)

    async def wait(
        self, revision: int, seconds: float, tell: Callable[[dict], None]
    ) -> dict[str, object]:
        """Wait until a revision is in force on every node that is known.

        :param tell: called with each new count.
        :raises NotInForceError: if that takes longer than ``seconds``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        last: dict[str, object] = {}
        while True:
            query = {"revision": str(revision)}
            replies = await self.read_each("/operator/in-force", query)
            counts = worst([reply.fields for reply in replies])
            if counts != last:
                tell(counts)
            last = counts
            if counts["everywhere"]:
                return counts
            if loop.time() >= deadline:
                raise NotInForceError(
                    f"revision {revision} is in force on {counts['nodes_in_force']} "
                    f"of {counts['nodes']} nodes after {seconds:g} s",
                    "It is accepted and goes on spreading: `cactuswalk wait "
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
            fields = fields_of(await response.read(), response.status)
        if response.status >= 400:
            raise EntryProblemError(fields)
        return Reply(response.status, fields)


def fields_of(data: bytes, status: int) -> dict[str, object]:
    """Return the JSON of an answer; a balancer's own pages are no JSON."""
    try:
        return msgspec.json.decode(data, type=dict[str, object])
    except msgspec.MsgspecError as error:
        raise EntryProblemError(
            {
                "status": status,
                "code": "no_entry",
                "detail": f"the answer (status {status}) is not an entry's: {error}",
                "remedy": "Name the operators' address of an entry with --endpoint.",
            }
        ) from error


def worst(replies: list[dict[str, object]]) -> dict[str, object]:
    """Return the counts of the entry that knows of the fewest nodes in force."""
    chosen = min(replies, key=lambda one: one["nodes_in_force"] - one["nodes"])
    everywhere = all(
        one["entry_in_force"] and one["nodes_in_force"] == one["nodes"]
        for one in replies
    )
    return {
        "revision": chosen["revision"],
        "nodes": chosen["nodes"],
        "nodes_in_force": chosen["nodes_in_force"],
        "entries": len(replies),
        "entries_in_force": sum(bool(one["entry_in_force"]) for one in replies),
        "everywhere": everywhere,
    }


def describe(endpoint: str, error: Exception) -> str:
    """Return what went wrong with an endpoint."""
    return f"{endpoint}: {error or type(error).__name__}"


def unreachable(failures: list[str]) -> EntryUnreachableError:
    """Return the error for entries that gave no answer."""
    return EntryUnreachableError(
        f"no entry answered: {'; '.join(failures)}",
        "Check the address with --endpoint and that the entry runs; nothing was "
        "changed.",
    )


def run(action: Awaitable[Result]) -> Result:
    """Run one command's conversation on a loop of its own."""
    return uvloop.run(action)
