"""Steps for the distribution of the configuration."""

import functools
import itertools

import hypothesis.strategies as st
from behave import given, then, when
from hypothesis import HealthCheck, Phase, given as generate, settings

from cactuswalk.errors import CactuswalkError, InvariantError
from cactuswalk.http.operators_changes import ChangeRequest
from cactuswalk.http.operators_errors import (
    ConflictError,
    OutcomeUnknownError,
    ServiceUnavailableError,
)
from cactuswalk.messages import (
    ConfigurationOffer,
    ConfigurationUpdate,
    StoredObject,
)
from cactuswalk.model.configuration import WorkerEntry
from cactuswalk.state.configuration import Replica, count_by_state, count_in_force
from features.configuration_fakes import Cluster, drive

ACTIONS = (
    *("change", "change", "step", "step", "step", "watch", "watch", "deliver"),
    *("deliver", "deliver", "repeat", "drop", "remember", "stale_list", "away"),
    *("back", "back", "lose_reply", "lose_request", "restart", "round", "tick"),
)


class AppliesOlder(Replica):
    """A replica without the check for older objects."""

    __slots__ = ()

    def is_newer(self, stored):
        return stored != self.objects.get(stored.key)


class SkipsGaps(Replica):
    """A replica without the check for missing changes."""

    __slots__ = ()

    def update(self, update):
        update.since = 0
        return super().update(update)


class Race:
    """A run of operators, faults and messages in an order chosen by Hypothesis."""

    def __init__(self, make_replica):
        self.cluster = Cluster(make_replica)
        self.numbers = itertools.count(1)
        self.pending = []
        self.accepted = []
        self.refused = []
        self.old = None
        self.replaced = False

    def change(self, first, second):
        """Prepare an operator's change of a worker at an entry; nothing is sent yet."""
        index = first % 2
        entry = self.cluster.entries[index]
        name = f"w{second % 3}"
        number = next(self.numbers)
        held = entry.replica.objects.get(f"worker/{name}")
        expected = held.revision if held and held.value else 0

        def make(before):
            if before is not None and first % 5 == 0:
                return None
            return WorkerEntry(name=name, labels={"n": str(number)})

        request = ChangeRequest(
            *(f"worker/{name}", expected, f"id{number}", f"operator{index}"),
            *(number, "replace", make),
        )
        coroutine = self.cluster.changes[index].apply(request)
        self.pending.append((entry, request, coroutine))

    def step(self, first, second):
        """Advance one operator's request by some calls of the service."""
        if not self.pending:
            return
        chosen = self.pending[first % len(self.pending)]
        _, request, coroutine = chosen
        try:
            for _ in range(1 + second):
                coroutine.send(None)
            return
        except StopIteration as done:
            if done.value.written:
                self.accepted.append(done.value)
        except (ConflictError, ServiceUnavailableError):
            self.refused.append(request.write_id)
        except OutcomeUnknownError:
            pass
        except InvariantError:
            raise
        except CactuswalkError:
            self.refused.append(request.write_id)
        self.pending.remove(chosen)

    def deliver(self, first, second):
        self.cluster.deliver(first)

    def repeat(self, first, second):
        self.cluster.deliver(first, keep=True)

    def drop(self, first, second):
        if self.cluster.in_flight:
            self.cluster.in_flight.pop(first % len(self.cluster.in_flight))

    def watch(self, first, second):
        self.cluster.watch(self.cluster.entries[first % 2], 1 + second % 2)

    def remember(self, first, second):
        self.old = self.cluster.snapshot()

    def stale_list(self, first, second):
        """Restart a watch from an outdated list, as if its reply was delayed."""
        if self.old is not None and not self.cluster.service.unavailable:
            self.cluster.list(self.cluster.entries[first % 2], self.old)

    def away(self, first, second):
        self.cluster.service.unavailable = True

    def back(self, first, second):
        self.cluster.service.unavailable = False

    def lose_reply(self, first, second):
        self.cluster.service.lose_reply = True

    def lose_request(self, first, second):
        self.cluster.service.lose_request = True

    def restart(self, first, second):
        nodes = list(self.cluster.nodes.values())
        node = nodes[first % len(nodes)]
        self.cluster.restart(node)
        for one in [one for one in self.pending if one[0] is node]:
            one[2].close()
            self.pending.remove(one)
        self.replaced = True

    def round(self, first, second):
        """Send the pings or reports of a node."""
        nodes = list(self.cluster.nodes.values())
        node = nodes[first % len(nodes)]
        self.cluster.send(node, node.make_offers())

    def tick(self, first, second):
        self.cluster.now += 0.05 * (1 + second)
        for node in self.cluster.nodes.values():
            self.cluster.send(node, node.tick(self.cluster.now))

    def finish(self):
        """Complete all requests and deliver all messages, first without the service."""
        while self.pending:
            self.step(0, 0)
        self.cluster.service.unavailable = True
        self.cluster.settle()
        # A change known only to a replaced process is lost until the service is back.
        if not self.replaced:
            self.check_accepted()
        self.cluster.service.unavailable = False
        self.cluster.settle()
        self.check_accepted()
        self.check_written()

    def check_accepted(self):
        for one in self.accepted:
            for node in self.cluster.nodes.values():
                assert node.replica.holds(one.revision), (node.name, one.revision)

    def check_written(self):
        """Check that nodes hold what the service holds, and no refused change."""
        service = self.cluster.service
        values = [value.decode() for _, value, _ in service.log]
        for write_id in self.refused:
            assert not any(f'"{write_id}"' in value for value in values), write_id
        update = self.cluster.keys.update(0, service.entries(""))
        expected = {one.key: one for one in update.objects}
        for node in self.cluster.nodes.values():
            assert node.replica.objects == expected, node.name


def run_races(make_replica, examples):
    """Run races; return the error of the first that fails, and the counts."""
    counts = {"accepted": 0, "refused": 0}
    action = st.tuples(st.sampled_from(ACTIONS), st.integers(0, 40), st.integers(0, 5))

    @settings(
        *(),
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    @generate(st.lists(action, min_size=60, max_size=150))
    def race(actions):
        run = Race(make_replica)
        for name, first, second in actions:
            getattr(run, name)(first, second)
        run.finish()
        counts["accepted"] += len(run.accepted)
        counts["refused"] += len(run.refused)

    try:
        race()
    except (AssertionError, InvariantError) as error:
        return error, counts
    return None, counts


@when("Hypothesis runs configuration races on correct replicas")
def step_correct(context):
    context.race_error, context.race_counts = run_races(Replica, 250)


@when("Hypothesis runs configuration races on replicas that take lower revisions")
def step_lower(context):
    context.race_error, _ = run_races(AppliesOlder, 300)


@when("Hypothesis runs configuration races on replicas that skip gaps")
def step_gaps(context):
    context.race_error, _ = run_races(SkipsGaps, 300)


@then("each accepted change is in force on every node and no node reverted")
def step_in_force(context):
    assert context.race_error is None, context.race_error
    assert context.race_counts["accepted"] > 100, context.race_counts


@then("no refused change was written")
def step_not_written(context):
    assert context.race_counts["refused"] > 50, context.race_counts


@then("the configuration races fail")
def step_races_fail(context):
    assert context.race_error is not None


def request_of(number, expected, who="ana", name="w1"):
    """Return a change that gives a worker a label with a number."""
    after = WorkerEntry(name=name, labels={"n": str(number)})
    return ChangeRequest(
        *(f"worker/{name}", expected, f"id{number}", who, number, "replace"),
        lambda before: after,
    )


def outcome(coroutine):
    """Return the result of a change: its acceptance or the error."""
    try:
        return drive(coroutine)
    except CactuswalkError as error:
        return error


@given("a configuration cluster with one accepted change")
def step_cluster(context):
    context.cluster = Cluster()
    context.make = functools.partial(
        lambda cluster, entry, request: outcome(cluster.changes[entry].apply(request)),
        context.cluster,
    )
    context.first = context.make(0, request_of(1, 0))
    context.cluster.settle()


def check_everywhere(cluster, *revisions):
    for node in cluster.nodes.values():
        for revision in revisions:
            assert node.replica.holds(revision), (node.name, revision)


@when("the service becomes unavailable just after another change is accepted")
def step_away_after(context):
    context.second = context.make(1, request_of(2, 0, name="w2"))
    context.cluster.service.unavailable = True
    context.cluster.settle()


@then("both changes are in force on every node without the service")
def step_both(context):
    revisions = (context.first.revision, context.second.revision)
    check_everywhere(context.cluster, *revisions)
    for node in context.cluster.nodes.values():
        assert node.replica.get("worker", "w2").labels == {"n": "2"}


@when("the service becomes unavailable and an entry and an agent are replaced")
def step_replaced(context):
    context.cluster.service.unavailable = True
    for name in ("entry0", "agent1.0"):
        context.cluster.restart(context.cluster.nodes[name])
    context.cluster.settle()


@then("the replaced nodes hold the change")
@then("every node still holds the change")
def step_still(context):
    check_everywhere(context.cluster, context.first.revision)
    for node in context.cluster.nodes.values():
        number = str(context.first.revision)
        assert node.replica.get("worker", "w1").labels == {"n": number}


@when("the service comes back empty")
def step_empty(context):
    context.first = context.make(0, request_of(2, 1))
    context.cluster.settle()
    context.cluster.service.lose_data()
    for entry in context.cluster.entries:
        context.cluster.list(entry)
    context.cluster.settle()


@then('a further change is refused with "{code}" and not written')
def step_refused(context, code):
    refused = context.make(0, request_of(3, context.first.revision))
    assert refused.code == code, refused
    assert context.cluster.service.log == []


@when("the service applies a change, loses its reply and becomes unavailable")
def step_lost_reply(context):
    service = context.cluster.service
    service.lose_reply = True
    coroutine = context.cluster.changes[0].apply(request_of(2, 1))
    for _ in range(4):
        coroutine.send(None)
    service.unavailable = True
    context.second = outcome(coroutine)


@then("the configuration change's outcome is unknown")
def step_unknown(context):
    assert isinstance(context.second, OutcomeUnknownError), context.second


@then("repeated with the same write id it is accepted once, at its first revision")
def step_repeated(context):
    context.cluster.service.unavailable = False
    again = context.make(1, request_of(2, 1))
    assert (again.revision, again.written) == (2, True), again
    assert len(context.cluster.service.log) == 2


@when("two operators change it on the same revision")
def step_two(context):
    changes = context.cluster.changes
    first = changes[0].apply(request_of(2, 1, "ana"))
    second = changes[1].apply(request_of(3, 1, "ion"))
    for _ in range(3):
        first.send(None)
        second.send(None)
    context.second = [outcome(second), outcome(first)]


@then("one is accepted and the other is told who won and at which revision")
def step_told(context):
    won, lost = context.second
    assert won.written, won
    assert isinstance(lost, ConflictError), lost
    assert (lost.who, lost.revision) == ("ion", won.revision)
    assert "ion" in lost.message and lost.remedy


@when("an entry and an owner each hold a change that the other lacks")
def step_each_lacks(context):
    cluster = context.cluster
    names = ("entry0", "owner0")
    nodes = [cluster.nodes[name] for name in names]
    for number, node in enumerate(nodes):
        stored = StoredObject(f"team/t{number}", 10 + number, b"")
        node.replica.update(ConfigurationUpdate(0, 0, [stored], [10 + number]))
    # Each has already sent a request that is not answered yet.
    for number, node in enumerate(nodes):
        other = 11 - number
        assert node.sync.request_if_behind("agent0.0", 0, cluster.now, [other])
    offers = [(names[1 - i], nodes[i].replica.offer()) for i in range(2)]
    context.exchanged = 0
    while offers and context.exchanged < 100:
        to, offer = offers.pop()
        context.exchanged += 1
        sender = names[1 - names.index(to)]
        sends = cluster.nodes[to].sync.on_offer(sender, offer, cluster.now)
        offers += [
            (one.address, one.message)
            for one in sends
            if isinstance(one.message, ConfigurationOffer)
        ]


@then("they exchange fewer than 20 messages before an answer comes")
def step_few(context):
    assert context.exchanged < 20, context.exchanged


@when("one agent of a cell has not received a second change")
def step_one_behind(context):
    cluster = context.cluster
    context.second = context.make(0, request_of(2, 0, name="w2"))
    late = cluster.nodes["agent0.1"]
    state = (late.replica.revision, set(late.replica.ahead))
    cluster.settle()
    cells = []
    for owner in ("owner0", "owner1"):
        nodes = [
            node
            for name, node in cluster.nodes.items()
            if owner[-1] == name[5] and name not in ("entry0", "entry1")
        ]
        states = [(one.replica.revision, one.replica.ahead) for one in nodes]
        if owner == "owner0":
            states[nodes.index(late)] = state
        cells.append(count_by_state(states))
    context.in_force = count_in_force(context.second.revision, cells)


@then("the second change is in force on one node fewer than all")
def step_count(context):
    one = context.in_force
    assert (one.nodes, one.nodes_in_force) == (6, 5), one
    assert one.lowest == context.first.revision, one
