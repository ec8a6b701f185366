"""What happens to an entry, as data."""

import msgspec

from cactuswalk.dispatch.evacuation import Evacuations
from cactuswalk.dispatch.job import JobRequest
from cactuswalk.dispatch.membership import Member
from cactuswalk.dispatch.messages import Message
from cactuswalk.dispatch.routing import Queue, Queues

__all__ = [
    "ConfigurationRead",
    "EntriesListed",
    "EntryEvent",
    "EvacuationsRead",
    "JobArrived",
    "JobCancelled",
    "Received",
    "StopRequested",
    "Tick",
    "WaiterLeft",
]


class JobArrived(msgspec.Struct):
    """A caller hands a job in and waits for its end.

    :param waiter: names the caller's connection.
    :param wait_seconds: how long the caller waits.
    """

    waiter: int
    queue: Queue
    request: JobRequest
    wait_seconds: float


class WaiterLeft(msgspec.Struct):
    """A caller waits no more."""

    waiter: int
    job: str


class JobCancelled(msgspec.Struct):
    """A caller cancels a job."""

    job: str


class Received(msgspec.Struct):
    """A message from another process."""

    sender: str
    message: Message


class ConfigurationRead(msgspec.Struct):
    """A version of the configuration, from the platform or another entry."""

    queues: Queues


class EntriesListed(msgspec.Struct):
    """The entries as the platform has them now."""

    members: list[Member]


class EvacuationsRead(msgspec.Struct):
    """The evacuations as the platform has them now."""

    evacuations: Evacuations


class StopRequested(msgspec.Struct):
    """This process is to end."""


class Tick(msgspec.Struct):
    """Time has passed."""


EntryEvent = (
    JobArrived
    | WaiterLeft
    | JobCancelled
    | Received
    | ConfigurationRead
    | EntriesListed
    | EvacuationsRead
    | StopRequested
    | Tick
)
