"""Convert replies to HTTP responses: a complete answer or a problem."""

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

    :raises InvariantError: if the reply is not the complete answer to this job.
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
    """Raise ``InvariantError`` unless the reply has all tasks, in order, all done.

    Guards against delivering another caller's answer or a partial one, such as a
    route without its last stop. No known path leads to such a reply.
    """
    indexes = [result.index for result in reply.results]
    done = all(result.outcome is TaskOutcome.DONE for result in reply.results)
    expected_indexes = list(range(len(job.tasks)))
    if reply.submission == job.submission and indexes == expected_indexes and done:
        return
    raise InvariantError(
        f"the answer to {job.submission} is incomplete or mismatched: it is for "
        f"{reply.submission} and has {len(indexes)} of {len(expected_indexes)} tasks",
        "Report this as a bug, with the logs of the entry and of the owner.",
    )


def describe_problem(
    key: str, outcome: Outcome, results: list[TaskResult], refusal: Refusal | None
) -> Problem:
    """Return the problem that explains why there is no answer.

    Task bodies are left out, so that a partial answer can't be taken for a
    complete one.
    """
    if refusal is not None:
        problem = make_refusal_problem(outcome, refusal)
    elif outcome is Outcome.FAILED:
        problem = Problem(
            RefusalCode.UPSTREAM_FAILED.value, "a task of the job failed", outcome
        )
    else:
        problem = Problem(InputCode.INTERNAL.value, "the owner gave no reason", outcome)
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
    """Return the complete answer to a job as a JSON-encodable object."""
    return {
        "submission": key,
        "outcome": Outcome.ANSWERED.value,
        "results": [describe_result(result) for result in results],
    }


def describe_result(result: TaskResult) -> dict[str, object]:
    """Return one result; its body is embedded as JSON if valid, else as base64."""
    described: dict[str, object] = {"index": result.index, "status": result.status}
    try:
        result.body.decode("utf-8")
        described["body"] = msgspec.json.decode(result.body, type=msgspec.Raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        described["body_base64"] = base64.b64encode(result.body).decode()
    return described


def describe_state(key: str, state: JobState) -> dict[str, object]:
    """Return the state of a submission as a JSON-encodable object."""
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
    """Return the upstream's response unchanged."""
    status = result.status if 200 <= result.status < 600 else 200
    if status in (204, 304):
        return web.Response(status=status, headers=headers)
    return web.Response(
        status=status,
        body=result.body,
        content_type="application/json",
        headers=headers,
    )
