"""Steps for faults of real processes under load."""

import time

from behave import given, then, when

from features.process_faults_load import (
    MAX_WAIT_S,
    Load,
    find_faults,
    find_idempotent_submissions,
    find_owner,
    send_request,
    small_cluster,
)
from tools.processes import wait_until

# An owner's standing lasts 1 s, and a takeover waits for twice that.
BEYOND_STANDING_S = 4.0


def add_clean_up(context, clean_up):
    context.clean_ups = [*getattr(context, "clean_ups", []), clean_up]


def start_cluster(context, **options):
    """Start a deployment, and wait until each entry serves requests."""
    context.cluster = small_cluster(**options)
    add_clean_up(context, context.cluster.close)
    context.cluster.__enter__()
    context.cluster.wait_ready()
    wait_served(context.cluster)


def wait_served(cluster):
    for entry in range(len(cluster.entry_names)):
        wait_until(
            lambda entry=entry: send_request(cluster, entry).outcome == "answered",
            MAX_WAIT_S,
            f"an answer through entry {entry + 1}",
        )


def list_processes(context, who):
    """Return the names of the processes that a scenario's words stand for."""
    cluster = context.cluster
    owner = find_owner(cluster)
    other = next(name for name in cluster.workers if name != owner)
    return {
        "the owner's agent": [f"agent-{owner}"],
        "the owner's host": [f"agent-{owner}", f"upstream-{owner}"],
        "another agent": [f"agent-{other}"],
        "another agent's host": [f"agent-{other}", f"upstream-{other}"],
        "an upstream": [f"upstream-{other}"],
        "an entry": ["entry-1"],
        "the key-value service": ["keyvalue"],
        "every agent": [f"agent-{name}" for name in cluster.workers],
        "three of five hosts, the owner's too": [
            f"{kind}-{name}"
            for name in [owner, *(one for one in cluster.workers if one != owner)][:3]
            for kind in ("agent", "upstream")
        ],
        "all hosts of the cell": [
            f"{kind}-{name}"
            for name in cluster.workers
            for kind in ("agent", "upstream")
        ],
    }[who]


@given("a cell of five workers under load from two entries")
def step_cell(context):
    start_cluster(context)
    context.load = Load(context.cluster)
    context.load.start()
    context.load.wait_answered(15)


@given("a cell of five workers under load from two entries, behind network proxies")
def step_cell_network(context):
    start_cluster(context, network=True)
    context.load = Load(context.cluster)
    context.load.start()
    context.load.wait_answered(15)


@when("messages to {who} are {fault} for longer than an owner's standing")
def step_links(context, who, fault):
    faults = {
        "lost": {"broken": True},
        "stalled": {"stalled": True},
        "late": {"late_ms": 300},
    }[fault]
    context.cluster.set_link_faults(list_processes(context, who), **faults)
    time.sleep(BEYOND_STANDING_S)
    context.cluster.clear_link_faults()


def list_owner_lines(cluster, sentence=""):
    """Return the log lines that owners wrote, by agent."""
    message = f'"message":"owner: {sentence}'
    logs = [cluster[f"agent-{name}"].log for name in cluster.workers]
    return [
        f"{log.name}: {line}"
        for log in logs
        for line in log.read_text(encoding="utf-8").splitlines()
        if message in line
    ]


@when("the fault kills {who}")
def step_kill(context, who):
    if "served_before_faults" not in context:
        context.served_before_faults = list_owner_lines(context.cluster, "serves")
    context.killed = list_processes(context, who)
    for name in context.killed:
        context.cluster[name].kill()


@when("the fault freezes {who} for longer than an owner's standing")
def step_freeze(context, who):
    names = list_processes(context, who)
    for name in names:
        context.cluster[name].freeze()
    time.sleep(BEYOND_STANDING_S)
    for name in names:
        context.cluster[name].unfreeze()


@when("the load gets {count:d} more answers")
def step_more(context, count):
    context.load.wait_answered(count)


@when("the killed processes are started again")
def step_restart(context):
    for name in context.killed:
        context.cluster.restart(name)


@when("the key-value service is {fault} during the following faults")
def step_keyvalue(context, fault):
    faults = {
        "down": {"down": True},
        "slow": {"slow_ms": 300},
        "losing replies": {"lose_reply": 3},
    }[fault]
    context.cluster.set_keyvalue_faults(**faults)


@when("the fault lasts {seconds:d} seconds more")
def step_lasts(context, seconds):
    time.sleep(seconds)


@when("the key-value service recovers")
def step_keyvalue_recovers(context):
    context.cluster.clear_keyvalue_faults()


@then("no agent has begun to serve the cell since the first fault")
def step_one_owner(context):
    served = list_owner_lines(context.cluster, "serves")
    assert context.served_before_faults, "nobody served the cell before the faults"
    assert served == context.served_before_faults, "\n".join(
        list_owner_lines(context.cluster)
    )


@then("a new request is told that there is no owner")
def step_no_owner(context):
    sent = send_request(context.cluster)
    assert sent.code == "no_owner", sent


@then("each entry serves a new request after the faults")
def step_resumes(context):
    wait_served(context.cluster)


@then("every caller of the load got one correct and complete answer")
def step_check_answers(context):
    sent = context.load.finish()
    context.idempotent = find_idempotent_submissions(sent)
    found = find_faults(sent, context.cluster, context.idempotent)
    outcomes = {}
    for one in sent:
        result = one.code or one.outcome
        outcomes[result] = outcomes.get(result, 0) + 1
    print(f"{len(sent)} answers: {outcomes}, {context.load.disconnects} sent again")
    assert not found, found[:10]
    assert outcomes["answered"] >= 15, outcomes


@then("by the upstreams' records no task of the load started twice")
def step_once(context):
    # An idempotent request whose worker failed may be retried.
    repeated_starts = {
        task: count
        for task, count in context.cluster.starts().items()
        if count > 1 and task[0] not in context.idempotent
    }
    assert not repeated_starts, repeated_starts
