"""How long entries and agents keep the record of a start."""

from cactuswalk.settings.converters import integer
from cactuswalk.settings.reader import Reader

__all__ = ["read_retention_seconds"]

# Callers resubmit within seconds after a lost answer; ten minutes also cover a person
# who submits again after a phone call.
DEFAULT_RETENTION_SECONDS = 600


def read_retention_seconds(reader: Reader) -> int:
    """Read the retention window, which must be the same for all processes.

    An entry with a longer window than the agents would ask for records that they have
    already dropped, and conclude that the task was never started.
    """
    reader.allow_section("retention")
    return reader.get(
        "retention", "seconds", integer(30, 86_400), DEFAULT_RETENTION_SECONDS
    )
