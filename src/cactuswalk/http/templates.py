"""Job templates that operators define and callers refer to by name.

A template supplies defaults for what a caller leaves out; values of the caller take
precedence. Selectors are combined instead: both have to match, since otherwise a
caller could place work where the operators of the template don't want it.
"""

from collections.abc import Callable

from aiohttp import web

from cactuswalk.http.headers import make_problem_error, read_single_header
from cactuswalk.http.problems import InputCode
from cactuswalk.model import Job
from cactuswalk.model.configuration import JobTemplate
from cactuswalk.settings.converters import NAME_REMEDY, is_name

__all__ = ["FindTemplate", "apply_template", "read_template"]

# Maps a name to the template in force on this entry, None if there is none.
FindTemplate = Callable[[str], JobTemplate | None]


def read_template(
    request: web.Request, service: str, find: FindTemplate
) -> JobTemplate | None:
    """Return the template that a request refers to, None if there is no reference.

    :raises ProblemError: if its name is invalid, or if it is not in force on this
        entry or is for another service.
    """
    name = read_single_header(request, "Cactuswalk-Template")
    if name is None:
        return None
    if not is_name(name):
        raise make_problem_error(
            InputCode.INVALID_HEADER,
            "Cactuswalk-Template is not a valid name",
            NAME_REMEDY,
        )
    template = find(name)
    if template is None:
        raise make_problem_error(
            InputCode.NO_SUCH_TEMPLATE, f"template {name} is not in force on this entry"
        )
    if template.service not in ("", service):
        detail = f"template {name} is for {template.service}, not for {service}"
        raise make_problem_error(InputCode.NO_SUCH_TEMPLATE, detail)
    return template


def apply_template(job: Job, template: JobTemplate) -> None:
    """Fill in unset values of a job from a template and combine the selectors."""
    selectors = (template.selector, job.selector)
    job.selector = ",".join(one for one in selectors if one)
    for task in job.tasks:
        task.duration_ms = task.duration_ms or template.duration_ms
        task.memory_mb = task.memory_mb or template.memory_mb
        task.accelerators = task.accelerators or template.accelerators
