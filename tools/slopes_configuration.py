"""Slopes of the configuration by its objects and its changes."""

from cactuswalk.messages import ConfigurationUpdate, Envelope, StoredObject, encode
from cactuswalk.model.configuration import WorkerEntry, encode_object
from cactuswalk.state.configuration import Replica
from tools.metered import allocated_by, processor_seconds
from tools.series import Point, Series

__all__ = ["configuration_series"]

OBJECTS = (500, 1000, 2000, 4000)
CHANGES = (1, 4, 16, 64)

ADDRESS = "tcp://10.10.0.4:7000"


def configuration_series() -> list[Series]:
    """Return all series of the configuration, not measured yet."""
    return [
        Series("configuration by objects", "objects", OBJECTS, by_objects),
        Series("an update by changes", "changes", CHANGES, by_changes),
    ]


def stored(number: int, revision: int) -> StoredObject:
    """Return a worker's entry as the service holds it, with four labels."""
    name = f"inverness-{number}"
    labels = {
        "depot": "inverness",
        "rack": f"rack-{number // 3}",
        "tier": "support",
        "serves": "route-planning",
    }
    value = encode_object(WorkerEntry(name=name, labels=labels))
    return StoredObject(f"worker/{name}", revision, value)


def update_of(objects: int) -> ConfigurationUpdate:
    """Return an update of so many objects."""
    changed = [stored(number, number + 1) for number in range(objects)]
    return ConfigurationUpdate(0, objects, changed)


def replica_of(objects: int) -> Replica:
    """Return a node's copy of so many objects, its own strings included."""
    replica = Replica()
    replica.update(update_of(objects))
    return replica


def by_objects(objects: int) -> Point:
    """Hold so many objects, and send the whole copy to a node that has none."""
    point = Point()
    point.time("state bytes", allocated_by(lambda: replica_of(objects)))
    replica = replica_of(objects)
    frame = encode(Envelope(ADDRESS, [replica.since(0)]))
    point.count("bytes of a whole copy", len(frame))
    update, fresh = update_of(objects), Replica()
    point.time("apply ms", processor_seconds(lambda: fresh.update(update)) * 1000)
    return point


def by_changes(changes: int) -> Point:
    """Send so many changes to a node in one update."""
    point = Point()
    frame = encode(Envelope(ADDRESS, [update_of(changes)]))
    point.count("bytes", len(frame))
    return point
