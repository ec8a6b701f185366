"""Compare ways to bind tasks to workers, on the same arrivals in one run.

Prints a markdown table and writes a plot. Run it as
``python -m tools.policies --seconds 60 --seeds 3``.
"""

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import matplotlib
import msgspec

from tools.measures import Report
from tools.policies_late import LateBinding, LateBindingWithQuotas
from tools.policies_models import POLICIES, Bench
from tools.policies_workload import DEPLOYMENTS, arrivals

__all__ = ["main"]

LOADS = (0.30, 0.60, 0.80, 0.95, 1.20, 1.50)
ALL_POLICIES: list[type[Bench]] = [*POLICIES, LateBinding, LateBindingWithQuotas]


class Run(msgspec.Struct, frozen=True):
    """One policy on one deployment, at one load, with one seed."""

    deployment: str
    load: float
    policy: int
    seed: int
    seconds: float


def measure(run: Run) -> tuple[Run, Report]:
    """Run one policy and return its figures."""
    deployment = DEPLOYMENTS[run.deployment]
    bench = ALL_POLICIES[run.policy](deployment, run.seconds, run.seed)
    requests = arrivals(deployment, run.load, run.seconds, run.seed)
    measures = bench.run(requests)
    return run, measures.report(deployment.total_slots, run.seconds)


def mean(reports: list[Report], field: str) -> float:
    """Return the mean of a figure over the seeds."""
    return statistics.fmean(getattr(report, field) for report in reports)


def table(results: dict[tuple, list[Report]], deployment: str) -> list[str]:
    """Return the lines of a markdown table, means over the seeds."""
    lines = [
        "| load | policy | job p50 | job p99 | job p99.9 | task p99 | answered "
        "| refused | failed | useful | waste |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for load in LOADS:
        for number, policy in enumerate(ALL_POLICIES):
            reports = results[deployment, load, number]
            offered = mean(reports, "offered")
            lines.append(
                f"| {load:.0%} | {policy.name} "
                f"| {mean(reports, 'job_p50'):.3f} | {mean(reports, 'job_p99'):.2f} "
                f"| {mean(reports, 'job_p999'):.1f} | {mean(reports, 'task_p99'):.2f} "
                f"| {mean(reports, 'answered') / offered:.2%} "
                f"| {mean(reports, 'refused') / offered:.2%} "
                f"| {mean(reports, 'failed') / offered:.2%} "
                f"| {mean(reports, 'useful'):.3f} | {mean(reports, 'waste'):.3f} |"
            )
    return lines


def plot(results: dict[tuple, list[Report]], path: Path) -> None:
    """Draw slowdown and useful throughput over the load."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    fields = [
        ("job_p50", "slowdown of jobs, p50"),
        ("job_p99", "slowdown of jobs, p99"),
        ("useful", "useful throughput, part of the slots"),
    ]
    figure, rows = pyplot.subplots(
        len(DEPLOYMENTS), len(fields), figsize=(15, 4 * len(DEPLOYMENTS))
    )
    for row, deployment in zip(rows, DEPLOYMENTS, strict=True):
        for axes, (field, title) in zip(row, fields, strict=True):
            for number, policy in enumerate(ALL_POLICIES):
                heights = [
                    mean(results[deployment, load, number], field) for load in LOADS
                ]
                axes.plot(LOADS, heights, marker="o", label=policy.name)
            axes.set_title(f"{deployment}: {title}")
            axes.set_xlabel("load, part of the slots")
            axes.grid(alpha=0.3)
            if field != "useful":
                axes.set_yscale("log")
    rows[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="Virtual time.")
@click.option("--seeds", default=3, show_default=True, help="Runs of each kind.")
@click.option("--processes", default=4, show_default=True, help="Side by side.")
@click.option(
    "--figure",
    type=click.Path(path_type=Path),
    default=Path("build/policies.png"),
    show_default=True,
    help="Where the plot goes.",
)
def main(seconds: float, seeds: int, processes: int, figure: Path) -> None:
    """Compare the policies and print a table for each deployment."""
    runs = [
        Run(deployment, load, policy, seed, seconds)
        for deployment in DEPLOYMENTS
        for load in LOADS
        for policy in range(len(ALL_POLICIES))
        for seed in range(1, seeds + 1)
    ]
    results: dict[tuple, list[Report]] = {}
    with ProcessPoolExecutor(processes) as pool:
        for run, report in pool.map(measure, runs):
            key = (run.deployment, run.load, run.policy)
            results.setdefault(key, []).append(report)
    for deployment in DEPLOYMENTS:
        click.echo(f"\n## {deployment}\n")
        click.echo("\n".join(table(results, deployment)))
    figure.parent.mkdir(parents=True, exist_ok=True)
    plot(results, figure)
    click.echo(f"\nplot: {figure}")


if __name__ == "__main__":
    sys.exit(main())
