"""Steps for job templates that callers refer to."""

from behave import given, then, when

from cactuswalk.model.configuration import JobTemplate
from features.callers_support import assert_problem, post


@given(
    'the job template "{name}" of "{service}" that declares {took:d} ms and {mb:d} MB'
)
def step_template(context, name, service, took, mb):
    context.entry.templates[name] = JobTemplate(
        name=name,
        service=service,
        selector="size=large",
        duration_ms=took,
        memory_mb=mb,
    )


def by_template(context, body, service, name, **more):
    headers = {"Cactuswalk-Template": name} | more
    post(context, service, body.encode(), headers)


@when('a caller posts {body} to "{service}" by the template "{name}"')
def step_post(context, body, service, name):
    by_template(context, body, service, name)


@when(
    'a caller that declares {took:d} ms for "{selector}" posts {body} to "{service}" '
    'by the template "{name}"'
)
def step_post_more(context, took, selector, body, service, name):
    more = {"Cactuswalk-Duration-Ms": str(took), "Cactuswalk-Selector": selector}
    by_template(context, body, service, name, **more)


@when('a caller posts {body} to "{service}" without a template')
def step_post_plain(context, body, service):
    post(context, service, body.encode())


@when('the operators raise the template "{name}" to {mb:d} MB')
def step_raise(context, name, mb):
    context.entry.templates[name].memory_mb = mb


@then(
    "the entry was given a task of {took:d} ms and {mb:d} MB with the selector "
    '"{selector}"'
)
def step_given(context, took, mb, selector):
    job = context.entry.events[-1].job
    assert (job.tasks[0].duration_ms, job.tasks[0].memory_mb) == (took, mb), job
    assert job.selector == selector, job


@then("both submissions have the same fingerprint")
def step_same(context):
    first, second = (event.job for event in context.entry.events)
    assert first.fingerprint == second.fingerprint
    assert first.tasks[0].memory_mb != second.tasks[0].memory_mb


@then("the last submission has another fingerprint")
def step_other(context):
    fingerprints = [event.job.fingerprint for event in context.entry.events]
    assert fingerprints[-1] not in fingerprints[:-1]


@then(
    'the caller gets the problem "{code}" with status {status:d} and outcome '
    '"{outcome}"'
)
def step_problem(context, code, status, outcome):
    assert_problem(context, code, status, outcome)


@then("the entry was given nothing")
def step_nothing(context):
    assert not context.entry.events, context.entry.events
