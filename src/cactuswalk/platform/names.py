"""The platform's names for what this product calls otherwise."""

from cactuswalk.dispatch.job import TaskKey

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATORS_PREFIX",
    "SETTINGS_VARIABLE",
    "parse_evacuated_data_centre",
    "parse_task_name",
    "format_task_name",
]

# Names the file with a process's settings.
SETTINGS_VARIABLE = "CACTUSWALK_BOOT"

# Where the operator's newest configuration lies in the store.
CONFIGURATION_KEY = "op/config"

# All that the operator writes lies below it.
OPERATORS_PREFIX = "op/"

# Followed by a data centre's name: it is evacuated for as long as the key is there.
EVACUATION_PREFIX = "op/evacuate/"

# The second part of a task's name numbers a job's repetitions; without any, 0.
FIRST_REPETITION = "0"


def parse_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a key asks to evacuate, or None if it doesn't."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX) or None


def format_task_name(key: TaskKey) -> str:
    """Return a task's name as workers know it."""
    return f"{key.job}.{FIRST_REPETITION}.{key.step}.{key.index}"


def parse_task_name(name: str) -> TaskKey | None:
    """Return the task of a name, or None if it isn't of this product's making."""
    parts = name.split(".")
    if len(parts) != 4 or parts[1] != FIRST_REPETITION:
        return None
    try:
        return TaskKey(parts[0], int(parts[2]), int(parts[3]))
    except ValueError:
        return None
