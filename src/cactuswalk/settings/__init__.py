"""INI settings; a start reports all mistakes of a file at once."""

from cactuswalk.settings.agent import AgentSettings, load_agent
from cactuswalk.settings.dispatch import (
    DispatchAgentSettings,
    DispatchEntrySettings,
    load_dispatch_agent,
    load_dispatch_entry,
)
from cactuswalk.settings.entry import (
    CallerIdentity,
    EntrySettings,
    LimitSettings,
    load_entry,
)
from cactuswalk.settings.reader import InvalidSettingsError, Mistake
from cactuswalk.settings.shared import (
    CurveSettings,
    HttpSettings,
    KeyValueSettings,
    LogSettings,
    StatsdSettings,
)

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
