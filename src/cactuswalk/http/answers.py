"""Turn replies into HTTP responses: a whole answer, or the truth about it."""

import base64

import msgspec
from aiohttp import web

from cactuswalk.errors import InvariantError
from cactuswalk.http.problems import (
    InputCode,
    Problem,
    make_refusal_problem,
    problem_response,
)
from cactuswalk.messages import JobState
from cactuswalk.model import (
    Job,
    Outcome,
    Refusal,
    RefusalCode,
    TaskOutcome,
    TaskResult,
)
from cactuswalk.state.effects import Reply

__all__ = ["answer_submission", "describe_state"]


def answer_submission(job: Job, reply: Reply) -> web.Response:
    """Return the response to the caller of a submission.

    :raises InvariantError: if the reply is not the whole answer to this job.
    """
    key = job.submission.partition("/")[2]
    headers = {
        "Cactuswalk-Submission": key,
        "Cactuswalk-Outcome": reply.outcome.value,
    }
    if reply.outcome is not Outcome.ANSWERED:
        problem = describe_problem(key, reply.outcome, reply.results, reply.refusal)
        if not job.request:
            problem.upstream_status = 0
        return problem_response(problem, headers)
    check_complete(job, reply)
    if job.request:
        return _pass_answer_on(reply.results[0], headers)
    body = msgspec.json.encode(describe_answer(key, reply.results))
    return web.Response(body=body, content_type="application/json", headers=headers)


def check_complete(job: Job, reply: Reply) -> None:
    """Raise unless the reply has a result of every task, in order, all done.

    A mixed-up or partial answer would give one caller another's seat or a
    route without its last stop. Nothing should let one come this far.
    """
    places = [result.index for result in reply.results]
    done = all(result.outcome is TaskOutcome.DONE for result in reply.results)
    wanted = list(range(len(job.tasks)))
    if reply.submission == job.submission and places == wanted and done:
        return
    raise InvariantError(
        f"the answer to {job.submission} is not whole: {reply.submission}, "
        f"{len(places)} of {len(wanted)} tasks",
        "Report this with the entry's and the owner's logs.",
    )


def describe_problem(
    key: str, outcome: Outcome, results: list[TaskResult], refusal: Refusal | None
) -> Problem:
    """Return the problem that tells why there is no answer.

    Bodies are left out: part of an answer must not pass for one.
    """
    if refusal is not None:
        problem = make_refusal_problem(outcome, refusal)
    elif outcome is Outcome.FAILED:
        problem = Problem(RefusalCode.UPSTREAM_FAILED.value, "a task failed", outcome)
    else:
        problem = Problem(InputCode.INTERNAL.value, "no reason was given", outcome)
    problem.submission = key
    if len(results) == 1:
        problem.upstream_status = results[0].status
    problem.tasks = [
        {
            "index": result.index,
            "outcome": result.outcome.value,
            "status": result.status,
            "reason": result.reason,
        }
        for result in results
    ]
    return problem


def describe_answer(key: str, results: list[TaskResult]) -> dict[str, object]:
    """Return the whole answer to a job, to be encoded as JSON."""
    return {
        "submission": key,
        "outcome": Outcome.ANSWERED.value,
        "results": [describe_result(result) for result in results],
    }


def describe_result(result: TaskResult) -> dict[str, object]:
    """Return one result: its body as JSON if it is, else as base64."""
    described: dict[str, object] = {"index": result.index, "status": result.status}
    try:
        result.body.decode("utf-8")
        described["body"] = msgspec.json.decode(result.body, type=msgspec.Raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        described["body_base64"] = base64.b64encode(result.body).decode()
    return described


def describe_state(key: str, state: JobState) -> dict[str, object]:
    """Return where a submission stands, to be encoded as JSON."""
    described: dict[str, object] = {
        "submission": key,
        "state": _state_name(state),
        "tasks": {
            "total": state.total,
            "queued": state.queued,
            "running": state.running,
            "finished": state.finished,
        },
    }
    answer = state.answer
    if answer is None:
        return described
    if answer.outcome is Outcome.ANSWERED:
        described["answer"] = describe_answer(key, answer.results)
        return described
    problem = describe_problem(key, answer.outcome, answer.results, answer.refusal)
    response = problem_response(problem)
    described["answer"] = msgspec.Raw(response.body)
    return described


def _state_name(state: JobState) -> str:
    if state.answer is not None:
        return "finished"
    return "running" if state.running or state.finished else "queued"


def _pass_answer_on(result: TaskResult, headers: dict[str, str]) -> web.Response:
    """Pass the upstream's answer on as it is."""
    status = result.status if 200 <= result.status < 600 else 200
    if status in (204, 304):
        return web.Response(status=status, headers=headers)
    return web.Response(
        status=status,
        body=result.body,
        content_type="application/json",
        headers=headers,
    )
