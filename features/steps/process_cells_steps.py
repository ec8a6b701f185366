"""Steps for one service on two cells of real processes."""

import json

from behave import given, then

from features.process_faults_load import MAX_WAIT_S, Load
from features.steps.process_faults_steps import add_clean_up, wait_served
from tools.cluster import OPERATOR, Cluster, Worker, token_of
from tools.processes import wait_until
from tools.workloads import LABUTA

CELLS = ("north", "south")
WORKERS_PER_CELL = 3


def read_shares(cluster: Cluster) -> dict[str, int]:
    """Return the slots that each cell holds, by the first entry's status."""
    _, body = cluster.request(
        "GET",
        f"{cluster.operator_url(0)}/operator/status",
        headers={"Authorization": f"Bearer {token_of(OPERATOR)}"},
    )
    cells = json.loads(body)["cells"]
    held = {one["cell"]: one["holds"].partition("/")[0] for one in cells}
    return {cell: int(text) for cell, text in held.items() if text.isdigit()}


def wait_shared(cluster: Cluster) -> None:
    def shared() -> bool:
        shares = read_shares(cluster)
        return len(shares) == len(CELLS) and all(shares.values())

    wait_until(shared, MAX_WAIT_S, "a share for each cell")


@given("two cells of three workers each under load from two entries")
def step_cells(context):
    workers = [
        Worker(f"{cell}-{number}", LABUTA[0], slots=4, cell=cell)
        for cell in CELLS
        for number in range(WORKERS_PER_CELL)
    ]
    context.cluster = Cluster(2, workers)
    add_clean_up(context, context.cluster.close)
    context.cluster.__enter__()
    context.cluster.wait_ready()
    wait_served(context.cluster)
    context.load = Load(context.cluster)
    context.load.start()
    context.load.wait_answered(15)
    wait_shared(context.cluster)


@then("status shows that both cells hold a share of the service")
def step_shared(context):
    wait_shared(context.cluster)


@then("workers of both cells have run tasks of the load")
def step_both_ran(context):
    ran = set()
    for worker in context.cluster.workers:
        path = context.cluster._record_path(worker)
        if path.exists() and '"start"' in path.read_text(encoding="utf-8"):
            ran.add(worker.partition("-")[0])
    assert ran == set(CELLS), ran
