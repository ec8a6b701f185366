"""Decisions under load, without network, clock or randomness of their own."""

from cactuswalk.decisions.fairness import Quota
from cactuswalk.decisions.guard import GuardAction, Usage, judge_usage
from cactuswalk.decisions.scheduler import Scheduler
from cactuswalk.decisions.tasks import Assignment, Explanation, QueuedTask, Shed

__all__ = [
    "Assignment",
    "Explanation",
    "GuardAction",
    "QueuedTask",
    "Quota",
    "Scheduler",
    "Shed",
    "Usage",
    "judge_usage",
]
