"""Steps for the effect of the configuration on workers."""

import hypothesis.strategies as st
from behave import given, then, when
from hypothesis import given as generate, settings

from cactuswalk.http.operators_changes import ChangeRequest
from cactuswalk.messages import ConfigurationUpdate, StoredObject
from cactuswalk.model import Announcement, Capacity, matches, parse_selector
from cactuswalk.model.configuration import (
    Service,
    WorkerEntry,
    check_object,
    encode_object,
    object_key,
)
from cactuswalk.state.configuration import Replica, view_worker
from features.configuration_fakes import Cluster, drive


def put(replica, value):
    revision = replica.revision + 1
    stored = StoredObject(object_key(value), revision, encode_object(value))
    replica.update(ConfigurationUpdate(revision - 1, revision, [stored]))


@given("a configuration in which gold workers serve routes")
def step_gold(context):
    context.replica = Replica()
    put(context.replica, Service(name="routes", selector="tier=gold"))


@then("a configured worker serves as follows")
def step_serves(context):
    for number, row in enumerate(context.table):
        name = f"w{number}"
        tier = row["operators' tier"]
        labels = {"tier": tier} if tier else {}
        drained = row["drained"] == "yes"
        put(context.replica, WorkerEntry(name=name, labels=labels, drained=drained))
        announced = {"tier": row["announced tier"]}
        announcement = Announcement(name, "routes", "dc", "r1", announced, Capacity(8))
        view = view_worker(context.replica, announcement)
        assert view.may_serve == (row["serves"] == "yes"), row
        assert view.drained == (row["drained there"] == "yes"), row
        assert bool(view.reason) == (view.drained or not view.may_serve), row
        assert announcement.labels == announced


WORD = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,12}", fullmatch=True)
LABELS = st.dictionaries(WORD, WORD | st.just(""), max_size=4)


@st.composite
def selectors(draw):
    """Draw a valid selector."""
    requirements = []
    for _ in range(draw(st.integers(0, 3))):
        label, values = draw(WORD), draw(st.lists(WORD, min_size=1, max_size=3))
        listed = ", ".join(values)
        forms = (label, f"!{label}", f"{label}={values[0]}", f"{label} != {values[0]}")
        sets = (f"{label} in ({listed})", f"{label} notin ({listed})")
        requirements.append(draw(st.sampled_from(forms + sets)))
    return ", ".join(requirements)


@when("Hypothesis writes labels and selectors to the service and back")
def step_round_trip(context):
    context.round_trips = 0

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @generate(LABELS, selectors())
    def write(labels, selector):
        data = {"kind": "service", "name": "s", "labels": labels, "selector": selector}
        wanted = check_object(data)
        cluster = Cluster(owners=1, agents=1)
        request = ChangeRequest(
            *("service/s", 0, "id1", "ana", 1, "replace"), lambda before: wanted
        )
        drive(cluster.changes[0].apply(request))
        cluster.settle(rounds=2)
        found = cluster.nodes["agent0.0"].replica.get("service", "s")
        assert (found.labels, found.selector) == (labels, selector)
        expected = matches(parse_selector(selector), labels)
        assert matches(parse_selector(found.selector), found.labels) == expected
        context.round_trips += 1

    write()


@then("each is read back unchanged and selects the same workers")
def step_came_back(context):
    assert context.round_trips >= 200, context.round_trips
