"""What the brief names: jobs, tasks, workers, outcomes, and their identifiers."""

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
    birth_ms,
    digest,
    mint,
    submission_name,
)
from cactuswalk.model.job import Job, TaskSpec
from cactuswalk.model.selector import (
    Requirement,
    Selector,
    SelectorError,
    matches,
    parse,
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
    "birth_ms",
    "digest",
    "matches",
    "mint",
    "parse",
    "submission_name",
    "worker_labels",
]
