"""Health and readiness endpoints for load balancers and monitoring."""

from collections.abc import Callable

from aiohttp import web

__all__ = ["add_health_routes"]


def add_health_routes(
    application: web.Application, not_ready: Callable[[], list[str]]
) -> None:
    """Add ``/health`` (the process responds) and ``/ready`` (it accepts work).

    :param not_ready: returns the reasons why it doesn't accept work; empty if it does.
    """

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"status": "alive"})

    async def ready(request: web.Request) -> web.Response:
        reasons = not_ready()
        status = 503 if reasons else 200
        return web.json_response(
            {"ready": not reasons, "reasons": reasons}, status=status
        )

    application.router.add_get("/health", health)
    application.router.add_get("/ready", ready)
