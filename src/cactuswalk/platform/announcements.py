"""HTTP handler for the worker on the same host: heartbeats and deregistration."""

from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from cactuswalk.dispatch.agentevents import Announced, Departed
from cactuswalk.platform.callers import json_response
from cactuswalk.platform.heartbeats import (
    INSTANCES_PATH,
    MalformedHeartbeatError,
    read_heartbeat,
)

__all__ = ["AnnouncementHandler"]


class AnnouncementHandler:
    """Turns a worker's heartbeats and deregistration into events.

    :param service: that the worker must belong to, empty for any.
    :param on_event: called with each event.
    :param on_malformed: called with the error of each rejected heartbeat.
    """

    def __init__(
        self,
        service: str,
        on_event: Callable[[object], None],
        on_malformed: Callable[[MalformedHeartbeatError], None],
    ) -> None:
        self.service = service
        self.on_event = on_event
        self.on_malformed = on_malformed

    async def handle(self, request: BaseRequest) -> Response:
        """Handle one request."""
        if not request.path.startswith(INSTANCES_PATH):
            return json_response(404, {})
        identifier = request.path[len(INSTANCES_PATH) :]
        if request.method == "DELETE":
            self.on_event(Departed(identifier))
            return json_response(200, {})
        try:
            worker = read_heartbeat(identifier, await request.read(), self.service)
        except MalformedHeartbeatError as error:
            self.on_malformed(error)
            return json_response(400, {"code": error.code, "reason": error.show()})
        self.on_event(Announced(worker))
        return json_response(200, {})
