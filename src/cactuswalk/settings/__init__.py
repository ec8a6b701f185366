"""INI settings; a start reports all mistakes of a file at once.

The names below are loaded when they are first used: a dispatch program doesn't need
the settings of the other programs, and after a power failure callers wait until it has
loaded.
"""

import importlib

__all__ = [
    "AgentSettings",
    "CallerIdentity",
    "CurveSettings",
    "DispatchAgentSettings",
    "DispatchEntrySettings",
    "EntrySettings",
    "HttpSettings",
    "InvalidSettingsError",
    "KeyValueSettings",
    "LimitSettings",
    "LogSettings",
    "Mistake",
    "StatsdSettings",
    "load_agent",
    "load_dispatch_agent",
    "load_dispatch_entry",
    "load_entry",
]

# By module, the names that it provides.
MODULES = {
    "agent": ("AgentSettings", "load_agent"),
    "dispatch": (
        "DispatchAgentSettings",
        "DispatchEntrySettings",
        "load_dispatch_agent",
        "load_dispatch_entry",
    ),
    "entry": ("CallerIdentity", "EntrySettings", "LimitSettings", "load_entry"),
    "reader": ("InvalidSettingsError", "Mistake"),
    "shared": (
        "CurveSettings",
        "HttpSettings",
        "KeyValueSettings",
        "LogSettings",
        "StatsdSettings",
    ),
}


def __getattr__(name: str) -> object:
    """Load the module that provides a name.

    :raises AttributeError: if none does.
    """
    for module, names in MODULES.items():
        if name in names:
            loaded = importlib.import_module(f"cactuswalk.settings.{module}")
            return getattr(loaded, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
