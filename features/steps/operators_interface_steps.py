"""Steps that send HTTP requests to the operators' interface."""

import asyncio
import json
import uuid

import aiohttp
import hypothesis.strategies as st
from behave import given, then, when
from hypothesis import HealthCheck, Phase, given as generate, settings

from cactuswalk.http.operators_store import ConfigurationKeys
from features.configuration_fakes import drive
from features.operators_server import OTHER_TOKEN, TOKEN

PATH = "/operator/objects/team/rebuild"


def ask(context, method, path, token=TOKEN, body=None, **headers):
    """Send one request; store and return its status, fields and headers."""

    async def talk():
        sent = {name.replace("_", "-"): text for name, text in headers.items()}
        if token is not None:
            sent["Authorization"] = f"Bearer {token}"
        data = body if isinstance(body, bytes) or body is None else json.dumps(body)
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, context.server.endpoint + path, data=data, headers=sent
            ) as response,
        ):
            fields = json.loads(await response.read())
            return response.status, fields, response.headers

    answer = asyncio.run(talk())
    context.answers = [*getattr(context, "answers", []), answer]
    return answer


def team(**fields):
    return {"kind": "team", "name": "rebuild", **fields}


@given("a team object at revision 1 over the operators' interface")
def step_team(context):
    status, fields, _ = ask(context, "PUT", PATH, body=team(), If_None_Match="*")
    assert (status, fields["revision"]) == (201, 1), fields
    context.answers = []


@when("ana and ion each replace the team object on revision 1")
def step_two(context):
    ask(context, "PUT", PATH, TOKEN, team(weight=2), If_Match='"1"')
    ask(context, "PUT", PATH, OTHER_TOKEN, team(weight=3), If_Match='"1"')


@then("the operators' interface answers {codes}")
def step_answers(context, codes):
    expected = [int(code) for code in codes.replace("and", ",").split(",") if code]
    statuses = [status for status, _, _ in context.answers]
    assert statuses == expected, context.answers


@then("the second operator gets a conflict with ana, revision 2 and a remedy")
def step_conflict(context):
    _, fields, headers = context.answers[-1]
    assert headers["Content-Type"] == "application/problem+json"
    assert (fields["who"], fields["revision"]) == ("ana", 2), fields
    assert "ana" in fields["detail"] and "on the new revision" in fields["remedy"]


@when("the team object is replaced without a precondition")
def step_without(context):
    ask(context, "PUT", PATH, body=team(weight=2))


@when("the labels of the team object are patched on revision 1")
def step_patch(context):
    body = {"labels": {"tier": "gold", "gone": None}}
    ask(context, "PATCH", PATH, body=body, If_Match='"1"')


@then("the team object has the patched labels and the entity tag of revision 2")
def step_patched(context):
    _, fields, headers = ask(context, "GET", PATH)
    assert fields["object"]["labels"] == {"tier": "gold"}, fields
    assert headers["ETag"] == '"2"'


@when("the team object is created again, deleted and then replaced on revision 1")
def step_anew(context):
    ask(context, "PUT", PATH, body=team(weight=2), If_None_Match="*")
    ask(context, "DELETE", PATH, If_Match='"1"')
    ask(context, "PUT", PATH, body=team(weight=2), If_Match='"1"')


@when("each path of the operators' interface is requested without a valid token")
def step_no_token(context):
    paths = ("objects", "objects/team/a", "objects/team/a/history", "status")
    for path in (*paths, "explain", "in-force?revision=1"):
        for token in (None, "", "guessed", TOKEN + "x"):
            ask(context, "GET", f"/operator/{path}", token)
    for method in ("PUT", "PATCH", "DELETE"):
        ask(context, method, PATH, "guessed", team(), If_None_Match="*")
    ask(context, "GET", "/operator/status", None, Authorization=f"Basic {TOKEN}")


@then("every operators' request without a token was answered 401 with a problem")
def step_all_401(context):
    assert len(context.answers) == 28, len(context.answers)
    for status, fields, headers in context.answers:
        assert (status, fields["code"]) == (401, "unauthorized"), fields
        assert headers["WWW-Authenticate"] == "Bearer"
    assert context.server.service.log == []


def fuzzed():
    """Return a strategy for almost valid objects and for random bytes."""
    odd = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=6,
    )
    word = st.from_regex(r"[a-z]{1,8}", fullmatch=True)
    labels = st.dictionaries(word, word, max_size=3)
    fields = {
        "labels": odd | labels,
        "weight": odd | st.integers(-1, 2000),
        "maximum_running": odd | st.integers(-1, 10),
        "selector": odd,
    }
    nearly = st.fixed_dictionaries(
        {"kind": st.just("team"), "name": st.just("rebuild")}, optional=fields
    )
    return st.binary(max_size=30) | nearly.map(lambda one: json.dumps(one).encode())


@when("Hypothesis sends fuzzed objects to the operators' interface")
def step_fuzz(context):
    seen = context.fuzzed = {"stored": 0, "refused": 0}

    @settings(
        max_examples=150,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @generate(fuzzed())
    def send(data):
        context.server.service.lose_data()
        context.server.replica.__init__()
        context.answers = []
        status, fields, _ = ask(context, "PUT", PATH, body=data, If_None_Match="*")
        if status == 422:
            assert fields["mistakes"] and all(
                one["field"] and one["remedy"] for one in fields["mistakes"]
            ), fields
            assert context.server.service.log == []
            seen["refused"] += 1
            return
        assert status == 201, (status, fields, data)
        _, read, _ = ask(context, "GET", PATH)
        _, fresh, _ = ask(context, "GET", f"{PATH}?fresh=1")
        assert read["object"] == fresh["object"] == fields["object"]
        given_fields = json.loads(data)
        assert read["object"] == read["object"] | given_fields
        seen["stored"] += 1

    send()


@then("every fuzzed object was refused with its mistakes or stored as it is read")
def step_fuzzed(context):
    assert context.fuzzed["stored"] > 10, context.fuzzed
    assert context.fuzzed["refused"] > 50, context.fuzzed


@when("a key that is not an object is written into the fake service")
def step_garbage(context):
    ask(context, "PUT", PATH, body=team(), If_None_Match="*")
    context.server.service.put("config/team/odd", b"{")
    context.answers = []
    ask(context, "GET", "/operator/objects/team/odd?fresh=1")


@then("the operators' interface returns 500 and the key for it")
def step_garbage_named(context):
    status, fields, _ = context.answers[0]
    assert (status, fields["code"]) == (500, "unreadable_value"), fields
    assert "team/odd" in fields["detail"]


@then("the other objects of the operators are still read from the service")
def step_others(context):
    keys = ConfigurationKeys(context.server.service)
    _, listed = drive(context.server.service.list(keys.prefix))
    update = keys.update(0, listed)
    assert [one.key for one in update.objects] == ["team/rebuild"]
    assert "team/odd" in keys.unreadable


@when("an operator changes a team object 30 times over the operators' interface")
def step_thirty(context):
    context.write_ids = [str(uuid.UUID(int=number)) for number in range(30)]
    ask(context, "PUT", PATH, body=team(), If_None_Match="*")
    for number, write_id in enumerate(context.write_ids):
        body = team(weight=number + 2)
        condition = f'"{number + 1}"'
        ask(context, "PUT", PATH, body=body, If_Match=condition, Write_Id=write_id)


@then("its history holds the last 20 changes with their revisions")
def step_history(context):
    _, fields, _ = ask(context, "GET", f"{PATH}/history")
    revisions = [one["revision"] for one in fields["history"]]
    assert revisions == list(range(31, 11, -1)), revisions


@then("a repeated write of these is recognised and not applied again")
def step_recognised(context):
    for number in (29, 20, 12):
        status, fields, _ = ask(
            *(context, "PUT", PATH, TOKEN, team(weight=5)),
            If_Match='"1"',
            Write_Id=context.write_ids[number],
        )
        assert (status, fields["revision"]) == (200, number + 2), fields
    assert len(context.server.service.log) == 31
