"""Fields that every log line has, shared by the writer and readers of logs."""

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
