"""Queues: the service that a request belongs to, and its service level."""

import msgspec

__all__ = ["Queue", "Queues"]


class Queue(msgspec.Struct, frozen=True):
    """One route of the configuration.

    :param host: compared with the request's host, without regard to case.
    :param prefix: of the path; the longest match is chosen.
    :param priority: 0 is the most urgent.
    :param attempts: number of failed runs of one task that fail its job.
    :param stretch: a job is on time within this multiple of its run time,
    :param allowance_ms: plus this.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    allowance_ms: int


class Queues:
    """All queues of one version of the configuration."""

    def __init__(self, version: int, queues: list[Queue], body_bytes: int) -> None:
        self.version = version
        self.body_bytes = body_bytes
        self.by_name = {queue.name: queue for queue in queues}
        self.by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, or None if there is none."""
        bare = host.split(":")[0].lower()
        for queue in self.by_host.get(bare, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
