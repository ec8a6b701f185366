"""The platform's names on the wire, and conversions to the project's terms."""

import functools

from cactuswalk.dispatch.job import TaskKey

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATIONS_PREFIX",
    "OPERATORS_PREFIX",
    "SETTINGS_VARIABLE",
    "parse_evacuated_data_centre",
    "parse_task_name",
    "format_task_name",
]

# The environment variable with the path of a process's settings file.
SETTINGS_VARIABLE = "CACTUSWALK_BOOT"

# The key of the operator's current configuration in the store.
CONFIGURATION_KEY = "op/config"

# The prefix of all keys that the operator writes.
OPERATORS_PREFIX = "op/"

# Followed by a data centre's name, which is evacuated while the key exists.
EVACUATIONS_PREFIX = "op/evacuate/"

# The second part of a task's name is the repetition of its job, 0 without any.
FIRST_REPETITION = "0"


def parse_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a key evacuates, or None for another key."""
    if not key.startswith(EVACUATIONS_PREFIX):
        return None
    return key.removeprefix(EVACUATIONS_PREFIX) or None


def format_task_name(key: TaskKey) -> str:
    """Return a task's name on the wire."""
    return f"{key.job}.{FIRST_REPETITION}.{key.step}.{key.index}"


# Each poll lists the names of all runs again.
@functools.lru_cache(maxsize=1024)
def parse_task_name(name: str) -> TaskKey | None:
    """Return the task with a name, or None if this product made no such name."""
    parts = name.split(".")
    if len(parts) != 4 or parts[1] != FIRST_REPETITION:
        return None
    try:
        return TaskKey(parts[0], int(parts[2]), int(parts[3]))
    except ValueError:
        return None
