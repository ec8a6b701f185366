"""Job templates of the operators, as callers name them.

A template says what callers leave out. What a caller gives goes before it, but for
selectors: both have to hold, or a caller could move its work to where the operators
of the template did not want it.
"""

from collections.abc import Callable

from aiohttp import web

from cactuswalk.http.headers import make_problem_error, read_single_header
from cactuswalk.http.problems import InputCode
from cactuswalk.model import Job
from cactuswalk.model.configuration import JobTemplate
from cactuswalk.settings.converters import NAME_REMEDY, is_name

__all__ = ["FindTemplate", "apply_template", "read_template"]

# (name) -> the template that is in force here, None if there is none
FindTemplate = Callable[[str], JobTemplate | None]


def read_template(
    request: web.Request, service: str, find: FindTemplate
) -> JobTemplate | None:
    """Return the template that a caller names, None if it names none.

    :raises ProblemError: if it is not in force here, or for another service.
    """
    name = read_single_header(request, "Cactuswalk-Template")
    if name is None:
        return None
    if not is_name(name):
        raise make_problem_error(
            InputCode.INVALID_HEADER, "Cactuswalk-Template is no name", NAME_REMEDY
        )
    template = find(name)
    if template is None:
        raise make_problem_error(
            InputCode.NO_SUCH_TEMPLATE, f"no template {name} is in force here"
        )
    if template.service not in ("", service):
        detail = f"template {name} is for {template.service}, not for {service}"
        raise make_problem_error(InputCode.NO_SUCH_TEMPLATE, detail)
    return template


def apply_template(job: Job, template: JobTemplate) -> None:
    """Put what a template says where a caller has said nothing."""
    selectors = (template.selector, job.selector)
    job.selector = ",".join(one for one in selectors if one)
    for task in job.tasks:
        task.duration_ms = task.duration_ms or template.duration_ms
        task.memory_mb = task.memory_mb or template.memory_mb
        task.accelerators = task.accelerators or template.accelerators
