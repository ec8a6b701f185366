"""How long the record of a start is kept, at entries and agents alike."""

from cactuswalk.settings.converters import integer
from cactuswalk.settings.reader import Reader

__all__ = ["read_retention_seconds"]

# Callers resubmit within seconds of a lost answer; ten minutes leaves room for
# a person who presses the button again after a call.
DEFAULT_RETENTION_SECONDS = 600


def read_retention_seconds(reader: Reader) -> int:
    """Read the retention window, which must be the same everywhere.

    An entry with a longer window than the agents would ask for answers that
    they have dropped, and take their silence for "never started".
    """
    reader.allow_section("retention")
    return reader.get(
        "retention", "seconds", integer(30, 86_400), DEFAULT_RETENTION_SECONDS
    )
