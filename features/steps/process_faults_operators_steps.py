"""Steps for the operators' command against real processes."""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.process_faults_load import MAX_WAIT_S, find_owner, small_cluster
from features.steps.process_faults_steps import add_clean_up, wait_served
from tools.cluster import OPERATOR, token_of
from tools.processes import ROOT, wait_until

CONFLICT = 4


def start_command(cluster, entry, *arguments):
    command = [sys.executable, "-m", "cactuswalk.commands.operator"]
    command += ["--endpoint", cluster.operator_url(entry - 1)]
    command += ["--token", token_of(OPERATOR), *arguments, "--json"]
    return subprocess.Popen(
        command,
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT / 'src'}"},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_command(cluster, entry, *arguments, given=""):
    """Run the command; return its exit status, its output as JSON, and stderr."""
    process = start_command(cluster, entry, *arguments)
    out, error = process.communicate(given, timeout=MAX_WAIT_S)
    return process.returncode, json.loads(out) if out.strip() else {}, error


def get_worker(cluster, entry, worker):
    status, found, error = run_command(cluster, entry, "get", "worker", worker)
    assert status in (0, 3), error
    return found[0]["object"] if status == 0 else {}


def submit(cluster, entry, selector=""):
    """Send a request; return the status and the decoded body of its response."""
    headers = {"Authorization": f"Bearer {token_of('labuta')}"}
    if selector:
        headers["Cactuswalk-Selector"] = selector
    url = f"{cluster.entry_url(entry - 1)}/v1/services/booking/requests"
    body = {"work": "operators", "duration_ms": 100}
    status, answer = cluster.request("POST", url, body, headers, MAX_WAIT_S)
    return status, json.loads(answer)


def collect_workers(cluster, entry, count, selector=""):
    """Send ``count`` requests at once and return the worker that ran each of them."""
    with ThreadPoolExecutor(count) as pool:
        replies = list(
            pool.map(lambda _: submit(cluster, entry, selector), range(count))
        )
    assert all(status == 200 for status, _ in replies), replies
    return [answer["worker"] for _, answer in replies]


@given("a cell of three workers and two entries for operators")
def step_cell(context):
    context.cluster = small_cluster(3)
    add_clean_up(context, context.cluster.close)
    context.cluster.__enter__()
    context.cluster.wait_ready()
    wait_served(context.cluster)
    wait_until(
        lambda: set(collect_workers(context.cluster, 1, 12)) == {"w1", "w2", "w3"},
        MAX_WAIT_S,
        "work on each worker",
    )


@when('an operator runs "{words}" through entry {entry:d}')
def step_run(context, words, entry):
    status, output, error = run_command(context.cluster, entry, *words.split())
    assert status == 0, error
    context.revision = output["results"][0]["revision"]


@when("an operator drains a worker other than the owner's through entry {entry:d}")
def step_drain_other(context, entry):
    # By design, a cell gets no new owner while the key-value service is down.
    owner = find_owner(context.cluster)
    drain(context, entry, min(set(context.cluster.workers) - {owner}))


@when("an operator drains the owner's worker through entry {entry:d}")
def step_drain_owner(context, entry):
    drain(context, entry, find_owner(context.cluster))


def drain(context, entry, worker):
    context.drained = worker
    step_run(context, f"drain {worker}", entry)


@when("an operator applies worker {worker} with the label {label} through entry 1")
def step_apply(context, worker, label):
    key, value = label.split("=")
    given = json.dumps({"kind": "worker", "name": worker, "labels": {key: value}})
    status, _, error = run_command(
        context.cluster, 1, "apply", "-f", "-", "--wait", "30", given=given
    )
    assert status == 0, error


@then("entry {entry:d} shows worker {worker} with the label {label}")
def step_label(context, entry, worker, label):
    key, value = label.split("=")
    # The command waits for entry 1 and the nodes; entry 2 has its own watch.
    wait_until(
        lambda: (
            get_worker(context.cluster, entry, worker).get("labels", {}).get(key)
            == value
        ),
        MAX_WAIT_S,
        f"the label at entry {entry}",
    )


@then("entry {entry:d} eventually shows the drained worker as drained")
def step_drained_one(context, entry):
    step_drained(context, entry, context.drained)


@then("entry {entry:d} shows worker {worker} as drained")
def step_drained(context, entry, worker):
    def drained():
        try:
            return get_worker(context.cluster, entry, worker).get("drained")
        except AssertionError:
            # An entry that has just been started doesn't accept connections yet.
            return False

    wait_until(drained, MAX_WAIT_S, f"the drain at entry {entry}")


@then("of {count:d} requests through entry {entry:d} none runs on the drained worker")
def step_none_drained(context, count, entry):
    step_none(context, count, entry, context.drained)


@then("of {count:d} requests through entry {entry:d} none runs on w2")
def step_none_w2(context, count, entry):
    step_none(context, count, entry, "w2")


def step_none(context, count, entry, worker):
    wait_until(
        lambda: submit(context.cluster, entry)[0] == 200, MAX_WAIT_S, "an answer"
    )
    before = count_starts(context.cluster, worker)
    workers = collect_workers(context.cluster, entry, count)
    assert worker not in workers, workers
    assert count_starts(context.cluster, worker) == before


def count_starts(cluster, worker):
    records = cluster.records()
    return sum(one["event"] == "start" and one["worker"] == worker for one in records)


@then('of {count:d} requests for "{selector}" through entry {entry:d} all run on {on}')
def step_all(context, count, selector, entry, on):
    workers = collect_workers(context.cluster, entry, count, selector)
    assert set(workers) == {on}, workers


@then('a request for "{selector}" through entry {entry:d} is refused as not run')
def step_refused(context, selector, entry):
    status, answer = submit(context.cluster, entry, selector)
    assert status >= 400, answer
    assert answer["outcome"] == "not_run", answer


@then(
    "requests through entry {entry:d} are eventually refused as not run, "
    "and none has run"
)
def step_refused_outage(context, entry):
    def refused():
        before = len(context.cluster.starts())
        status, answer = submit(context.cluster, entry)
        if status == 200 or answer["outcome"] != "not_run":
            # Sent to the old owner before its failure was detected.
            return False
        assert answer["code"] == "no_owner", answer
        assert len(context.cluster.starts()) == before
        return True

    wait_until(refused, MAX_WAIT_S, "a refusal")


@then("requests through entry {entry:d} are eventually answered")
def step_answered(context, entry):
    wait_until(
        lambda: submit(context.cluster, entry)[0] == 200, MAX_WAIT_S, "an answer"
    )


@then("requests through entry {entry:d} eventually run on {worker}")
def step_lands(context, entry, worker):
    wait_until(
        lambda: worker in collect_workers(context.cluster, entry, 12),
        MAX_WAIT_S,
        f"work on {worker}",
    )


@when("the operators' key-value service goes down at once")
def step_down(context):
    context.cluster.set_keyvalue_faults(down=True)


@when("the operators' key-value service comes back")
def step_back(context):
    context.cluster.clear_keyvalue_faults()


@then("the accepted change of the drained worker is put in force by every agent")
def step_by_agents(context):
    """Check the agents' logs, independently of what an entry reports."""

    def has_logged(name):
        log = context.cluster[f"agent-{name}"].log.read_text(encoding="utf-8")
        return any(
            "put changes in force" in line and f"worker/{context.drained}" in line
            for line in log.splitlines()
        )

    for name in context.cluster.workers:
        wait_until(
            lambda name=name: has_logged(name), MAX_WAIT_S, f"the change at {name}"
        )


@then("the accepted change comes into force on every node")
def step_in_force(context):
    status, output, error = run_command(
        context.cluster, 1, "wait", str(context.revision), "--timeout", "50"
    )
    assert status == 0, error
    assert output["nodes_in_force"] == output["nodes"] > 0, output


@when("entry 2 and the drained worker's agent are killed and restarted")
def step_restart(context):
    names = ("entry-2", f"agent-{context.drained}")
    for name in names:
        context.cluster[name].kill()
    for name in names:
        context.cluster.restart(name)


@when("two operators label worker w1 at the same moment until one loses")
def step_race(context):
    context.races = []
    end = time.monotonic() + MAX_WAIT_S
    # Delays each call, so that both commands read before either writes.
    context.cluster.set_keyvalue_faults(slow_ms=300)
    while not any(CONFLICT in (one[0] for one in race) for race in context.races):
        assert time.monotonic() < end, context.races
        number = len(context.races)
        processes = [
            start_command(
                context.cluster, entry, *f"label worker w1 by=o{entry}-{number}".split()
            )
            for entry in (1, 2)
        ]
        race = []
        for process in processes:
            out, error = process.communicate(timeout=MAX_WAIT_S)
            race.append((process.returncode, json.loads(out), error))
        context.races.append(race)
    context.cluster.clear_keyvalue_faults()


@then("each race had one winner, and the loser was told the conflict and its remedy")
def step_winner(context):
    for race in context.races:
        statuses = sorted(one[0] for one in race)
        assert statuses in ([0, 0], [0, CONFLICT]), race
        revisions = [one[1]["results"][0]["revision"] for one in race if one[0] == 0]
        assert len(set(revisions)) == len(revisions), race
    loser = next(one for one in context.races[-1] if one[0] == CONFLICT)
    assert "Remedy" in loser[2], loser
    assert OPERATOR in loser[2], loser


@then("both entries show the label of the last winner")
def step_last(context):
    labels = {}
    for number, race in enumerate(context.races):
        for entry, (status, output, _) in enumerate(race, 1):
            if status == 0:
                labels[output["results"][0]["revision"]] = f"o{entry}-{number}"
    last = labels[max(labels)]
    for entry in (1, 2):
        wait_until(
            lambda entry=entry: (
                get_worker(context.cluster, entry, "w1")["labels"]["by"] == last
            ),
            MAX_WAIT_S,
            f"the winner's label at entry {entry}",
        )
