"""Domain model: jobs, tasks, workers, outcomes, and their identifiers."""

from cactuswalk.model.answer import (
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
    TaskState,
)
from cactuswalk.model.cell import CellRecord, Member
from cactuswalk.model.holding import Holding, ServiceRecord
from cactuswalk.model.identifier import (
    compute_digest,
    format_submission_name,
    generate_identifier,
    read_creation_ms,
)
from cactuswalk.model.job import Job, TaskSpec
from cactuswalk.model.selector import (
    Requirement,
    Selector,
    SelectorError,
    matches,
    parse_selector,
    worker_labels,
)
from cactuswalk.model.worker import Announcement, Capacity

__all__ = [
    "Announcement",
    "Capacity",
    "CellRecord",
    "Holding",
    "Job",
    "Member",
    "Outcome",
    "Refusal",
    "RefusalCode",
    "Requirement",
    "Selector",
    "SelectorError",
    "ServiceRecord",
    "TaskOutcome",
    "TaskResult",
    "TaskSpec",
    "TaskState",
    "read_creation_ms",
    "compute_digest",
    "matches",
    "generate_identifier",
    "parse_selector",
    "format_submission_name",
    "worker_labels",
]
