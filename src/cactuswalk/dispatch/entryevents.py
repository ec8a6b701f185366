"""The events that an entry's reducer handles."""

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
    "StoreAnswered",
    "Tick",
    "WaiterLeft",
]


class JobArrived(msgspec.Struct):
    """A caller submits a job and waits for its end.

    :param waiter: identifies the caller's connection.
    :param wait_seconds: the caller's timeout.
    """

    waiter: int
    queue: Queue
    request: JobRequest
    wait_seconds: float


class WaiterLeft(msgspec.Struct):
    """A caller has disconnected."""

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
    """The entries that the platform's store lists now."""

    members: list[Member]


class EvacuationsRead(msgspec.Struct):
    """The evacuations that the platform's store lists now."""

    evacuations: Evacuations


class StoreAnswered(msgspec.Struct):
    """The platform's store has answered this entry's watch, with changes or without."""


class StopRequested(msgspec.Struct):
    """This process was asked to stop."""


class Tick(msgspec.Struct):
    """The periodic timer has fired."""


EntryEvent = (
    JobArrived
    | WaiterLeft
    | JobCancelled
    | Received
    | ConfigurationRead
    | EntriesListed
    | EvacuationsRead
    | StoreAnswered
    | StopRequested
    | Tick
)
