"""The fields that each log line has of its own, for who writes and who reads them."""

__all__ = ["LINE_FIELDS"]

LINE_FIELDS = frozenset(
    {
        "level",
        "message",
        "message_type",
        "part",
        "process",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)
