"""The agent's HTTP on the loopback, where the upstream announces itself."""

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

# An upstream renews its announcement twice a second; after three missed ones it is
# taken for gone. The goal is two seconds from its death to the last start that is
# sent to it: the rest is left for the word to reach the owner. A renewal costs
# about 0.3 ms of processor time at both ends, on the loopback.
RENEWAL_INTERVAL_MS = 500
ANNOUNCEMENT_TTL_SECONDS = 1.75

# An announcement is a few hundred bytes.
MAX_ANNOUNCEMENT_BYTES = 64 << 10


# As names in settings: they go into selectors, metric names and logs.
_Name = Annotated[str, msgspec.Meta(pattern=r"^[^\W_][\w-]{0,62}$")]


class AnnounceBody(msgspec.Struct, forbid_unknown_fields=True):
    """What an upstream says of itself.

    :param port: where it takes tasks, on the loopback.
    :param ready: False to get no new work and still renew.
    :param echoes: its answers repeat ``Cactuswalk-Submission``, ``-Task`` and
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
    """What one running task uses, named by the headers of its request.

    :param checkpoints: it can be saved and go on later.
    """

    submission: Annotated[str, msgspec.Meta(min_length=1, max_length=512)]
    task: Annotated[int, msgspec.Meta(ge=0)]
    attempt: Annotated[int, msgspec.Meta(ge=0)]
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
    checkpoints: bool = False


class UsageBody(msgspec.Struct, forbid_unknown_fields=True):
    """What an upstream reports about once a second: all tasks that it runs."""

    tasks: list[TaskUsageBody]


class UpstreamPresence:
    """What is known of the upstream beside this agent.

    :param on_event: told of each change, never of a mere renewal.
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
        """Take an announcement or its renewal."""
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
        """Take the upstream for leaving or gone.

        Its address is kept: what it still runs has to be stopped there.
        """
        self.cancel_expiry()
        if self.body is None:
            return
        self.body = None
        self.on_event(Announced(None))

    def cancel_expiry(self) -> None:
        """Forget the timer."""
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
            self.expiry_timer = None

    def _announcement(self, body: AnnounceBody) -> Announcement:
        # The agent's own labels win: an upstream can't move itself to where a
        # selector lets more work land.
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

    :param client: is told where the upstream takes tasks.
    :param on_event: called in the loop with each ``Announced`` and ``UsageReported``.
    :param not_ready: the reasons why this agent is not ready; none if it is.
    :param ttl_seconds: without a renewal, until the upstream is gone.
    """
    presence = UpstreamPresence(settings, client, on_event, ttl_seconds)
    decoder = msgspec.json.Decoder(AnnounceBody)
    usage_decoder = msgspec.json.Decoder(UsageBody)

    async def announce(request: web.Request) -> web.Response:
        try:
            body = decoder.decode(await request.read())
        except (msgspec.MsgspecError, RecursionError) as error:
            problem = Problem(
                InputCode.MALFORMED_ANNOUNCEMENT, f"not an announcement: {error}"
            )
            return problem_response(problem)
        presence.announce(body)
        return web.json_response({"renew_within_ms": RENEWAL_INTERVAL_MS})

    async def report_usage(request: web.Request) -> web.Response:
        try:
            body = usage_decoder.decode(await request.read())
        except (msgspec.MsgspecError, RecursionError) as error:
            problem = Problem(
                InputCode.MALFORMED_USAGE, f"not a report of use: {error}"
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
