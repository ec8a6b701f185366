"""HTTP interface of the agent on loopback, where the upstream announces itself."""

import asyncio
from collections.abc import Callable
from typing import Annotated

import msgspec
from aiohttp import web

from cactuswalk.http.health import add_health_routes
from cactuswalk.http.middleware import problem_middleware
from cactuswalk.http.problems import InputCode, Problem, problem_response
from cactuswalk.http.upstream import UpstreamClient
from cactuswalk.model import Announcement, Capacity
from cactuswalk.settings import AgentSettings
from cactuswalk.state.events import Announced, TaskUsage, UsageReported

__all__ = ["AnnounceBody", "UsageBody", "make_announce_application"]

# An upstream renews its announcement every 500 ms; after three missed renewals it is
# considered gone. The goal is at most two seconds from its death to the last start
# sent to it; the remaining 250 ms are for the owner to learn of it. A renewal costs
# about 0.3 ms of CPU time on both ends together, on loopback.
RENEWAL_INTERVAL_MS = 500
ANNOUNCEMENT_TTL_SECONDS = 1.75

# A typical announcement is a few hundred bytes.
MAX_ANNOUNCEMENT_BYTES = 64 << 10


# Same pattern as names in settings: used in selectors, metric names and logs.
_Name = Annotated[str, msgspec.Meta(pattern=r"^[^\W_][\w-]{0,62}$")]


class AnnounceBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an upstream's announcement.

    :param port: loopback port on which the upstream accepts tasks.
    :param ready: False to receive no new work while still renewing.
    :param echoes: responses repeat ``Cactuswalk-Submission``, ``-Task`` and
        ``-Attempt``, so that connections can be reused.
    """

    service: _Name
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    labels: dict[_Name, _Name] = {}
    ready: bool = True
    echoes: bool = False


class TaskUsageBody(msgspec.Struct, forbid_unknown_fields=True):
    """Memory use of one running task, identified by the headers of its request.

    :param checkpoints: the task can be saved and resumed later.
    """

    submission: Annotated[str, msgspec.Meta(min_length=1, max_length=512)]
    task: Annotated[int, msgspec.Meta(ge=0)]
    attempt: Annotated[int, msgspec.Meta(ge=0)]
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
    checkpoints: bool = False


class UsageBody(msgspec.Struct, forbid_unknown_fields=True):
    """Usage report of all running tasks, sent by an upstream about once a second."""

    tasks: list[TaskUsageBody]


class UpstreamPresence:
    """Tracks the presence of the upstream on this agent's host.

    :param on_event: called on each change, not on a renewal without changes.
    """

    def __init__(
        self,
        settings: AgentSettings,
        client: UpstreamClient,
        on_event: Callable[[Announced], None],
        ttl_seconds: float,
    ) -> None:
        self.ttl_seconds = ttl_seconds
        self.settings = settings
        self.client = client
        self.on_event = on_event
        self.body: AnnounceBody | None = None
        self.serial = 0
        self.expiry_timer: asyncio.TimerHandle | None = None
        client.on_refused = self.withdraw

    def announce(self, body: AnnounceBody) -> None:
        """Process an announcement or its renewal."""
        self.cancel_expiry()
        loop = asyncio.get_running_loop()
        self.expiry_timer = loop.call_later(self.ttl_seconds, self.withdraw)
        if body == self.body:
            return
        self.body = body
        self.serial += 1
        self.client.set_upstream(body.port, body.connections, body.echoes)
        self.on_event(Announced(self._announcement(body)))

    def withdraw(self) -> None:
        """Mark the upstream as withdrawn or gone.

        Its address is kept, since tasks that it still runs may have to be stopped.
        """
        self.cancel_expiry()
        if self.body is None:
            return
        self.body = None
        self.on_event(Announced(None))

    def cancel_expiry(self) -> None:
        """Cancel the expiry timer if one is set."""
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
            self.expiry_timer = None

    def _announcement(self, body: AnnounceBody) -> Announcement:
        # The agent's own labels take precedence: an upstream must not override
        # them to match selectors that would send it more work.
        return Announcement(
            worker=self.settings.worker,
            service=body.service,
            data_centre=self.settings.data_centre,
            rack=self.settings.rack,
            labels={**body.labels, **self.settings.labels},
            capacity=Capacity(
                slots=body.slots,
                connections=body.connections,
                memory_mb=body.memory_mb,
                accelerators=body.accelerators,
            ),
            ready=body.ready,
            serial=self.serial,
        )


def make_announce_application(
    settings: AgentSettings,
    client: UpstreamClient,
    on_event: Callable[[Announced | UsageReported], None],
    not_ready: Callable[[], list[str]],
    ttl_seconds: float = ANNOUNCEMENT_TTL_SECONDS,
) -> web.Application:
    """Return the HTTP application of an agent.

    :param client: receives the port on which the upstream accepts tasks.
    :param on_event: called in the event loop with each ``Announced`` and
        ``UsageReported``.
    :param not_ready: returns the reasons why this agent is not ready; empty if it is.
    :param ttl_seconds: time without a renewal after which the upstream is
        considered gone.
    """
    presence = UpstreamPresence(settings, client, on_event, ttl_seconds)
    decoder = msgspec.json.Decoder(AnnounceBody)
    usage_decoder = msgspec.json.Decoder(UsageBody)

    async def announce(request: web.Request) -> web.Response:
        try:
            body = decoder.decode(await request.read())
        except (msgspec.MsgspecError, RecursionError) as error:
            problem = Problem(
                InputCode.MALFORMED_ANNOUNCEMENT,
                f"the body is not a valid announcement: {error}",
            )
            return problem_response(problem)
        presence.announce(body)
        return web.json_response({"renew_within_ms": RENEWAL_INTERVAL_MS})

    async def report_usage(request: web.Request) -> web.Response:
        try:
            body = usage_decoder.decode(await request.read())
        except (msgspec.MsgspecError, RecursionError) as error:
            problem = Problem(
                InputCode.MALFORMED_USAGE,
                f"the body is not a valid usage report: {error}",
            )
            return problem_response(problem)
        if settings.guard:
            on_event(UsageReported([_usage_of(task) for task in body.tasks]))
        return web.json_response({"guarded": settings.guard})

    async def withdraw(request: web.Request) -> web.Response:
        presence.withdraw()
        return web.Response(status=204)

    async def on_cleanup(application: web.Application) -> None:
        presence.cancel_expiry()

    application = web.Application(
        client_max_size=MAX_ANNOUNCEMENT_BYTES, middlewares=[problem_middleware]
    )
    application.router.add_post("/announce", announce)
    application.router.add_post("/usage", report_usage)
    application.router.add_delete("/announce", withdraw)
    application.on_cleanup.append(on_cleanup)
    add_health_routes(application, not_ready)
    return application


def _usage_of(task: TaskUsageBody) -> TaskUsage:
    return TaskUsage(
        task.submission, task.task, task.attempt, task.memory_mb, task.checkpoints
    )
