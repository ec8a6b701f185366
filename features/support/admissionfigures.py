"""What each way of admission makes of more load than there is room for.

``python -m features.support.admissionfigures SHAPES SEEDS`` prints the figures with
``predict_admission`` off and on, as ``docs/design/predicted-admission.md`` has them.
"""

import statistics
import sys

import msgspec

from cactuswalk.dispatch.loadpolicy import LoadPolicy
from features.support.admissionload import (
    KINDS,
    LOAD_SECONDS,
    AdmissionLoad,
    admission_fleet,
)
from features.support.shiftedload import WORTH

__all__ = ["Figures", "play"]

# What entries know of jobs and workers when the load has just begun is not judged.
SETTLE_SECONDS = 1.0


class Figures(msgspec.Struct):
    """What became of a load's jobs.

    :param at_once: part of the refused jobs that were answered within 30 ms.
    :param refused_later: part of the admitted jobs that were refused later.
    :param refused_fitting: refused jobs for whose tasks workers were free.
    :param by_entry: refused part of the jobs, by entry.
    :param on_time: part of the jobs that were on time, by kind.
    :param worth: served, in parts of what all jobs on time would be worth.
    :param refused_waits: seconds until each refusal.
    """

    jobs: int
    refused: int
    at_once: float
    refused_later: float
    refused_fitting: int
    late: int
    by_entry: dict[str, float]
    on_time: dict[str, float]
    worth: float
    refused_waits: list[float]

    @property
    def entry_ratio(self):
        """Return the largest refused part of an entry relative to the smallest."""
        least = min(self.by_entry.values())
        return max(self.by_entry.values()) / least if least else float("inf")


def play(shape, seed, policy, prepare=None):
    """Play a load; return the fleet, the load and the figures.

    :param prepare: is called with the fleet before the load begins, to break something.
    """
    fleet = admission_fleet(seed, policy)
    if prepare is not None:
        prepare(fleet)
    load = AdmissionLoad(fleet, shape, seed)
    fleet.run(LOAD_SECONDS + 8.0)
    return fleet, load, judge(fleet, load)


def judge(fleet, load):
    settled = load.began + SETTLE_SECONDS
    jobs = [job for job in load.jobs if fleet.arrivals[job[0]][0] >= settled]
    is_refused = {w: fleet.verdict(w) == "not_run" for w, *_ in jobs}
    refused = [w for w, *_ in jobs if is_refused[w]]
    waits = [fleet.took(w) for w in refused]
    admitted = len(jobs) - sum(wait == 0.0 for wait in waits)
    by_entry, on_time = {}, {}
    for name in fleet.entry_names:
        came = [w for w, _, entry, _ in jobs if entry == name]
        by_entry[name] = sum(map(is_refused.get, came)) / max(1, len(came))
    for kind in KINDS:
        came = [w for w, name, _, _ in jobs if name == kind]
        on_time[kind] = sum(map(fleet.is_on_time, came)) / len(came)
    earned = sum(size * worth_of(fleet, name, w) for w, name, _, size in jobs)
    owed = sum(size * WORTH[name][0] for _, name, _, size in jobs)
    late = sum(
        not fleet.is_on_time(w) and fleet.verdict(w) == "completed" for w, *_ in jobs
    )
    return Figures(
        len(jobs),
        len(refused),
        sum(wait <= 0.03 for wait in waits) / max(1, len(waits)),
        sum(wait > 0.0 for wait in waits) / max(1, admitted),
        len(fleet.fitting & set(refused)),
        late,
        by_entry,
        on_time,
        earned / owed,
        waits,
    )


def worth_of(fleet, name, waiter):
    if fleet.verdict(waiter) != "completed":
        return 0.0
    _, chosen, seconds, _ = fleet.arrivals[waiter]
    aim = chosen.stretch * seconds + chosen.allowance_ms / 1000
    took = fleet.took(waiter)
    if took <= aim:
        return WORTH[name][0]
    return WORTH[name][1] if took <= 3 * aim else 0.0


def main(shapes, seeds):
    for shape in shapes.split(","):
        for is_on in (False, True):
            policy = LoadPolicy(predicts_admission=is_on)
            results = [play(shape, seed, policy)[2] for seed in range(1, seeds + 1)]
            show(f"{shape} {'on' if is_on else 'off'}", results)


def show(title, results):
    """Print the means over the seeds."""

    def mean(get):
        return statistics.fmean(map(get, results))

    waits = [wait for result in results for wait in result.refused_waits]
    entries = results[0].by_entry
    by_entry = [mean(lambda r, e=e: r.by_entry[e]) for e in entries]
    print(
        f"{title:14} worth {mean(lambda r: r.worth):.4f}",
        f"refused {mean(lambda r: r.refused / r.jobs):.3f}",
        f"(fitting {mean(lambda r: r.refused_fitting / r.jobs):.3f})",
        f"median wait {statistics.median(waits) if waits else 0:.3f}",
        f"at once {mean(lambda r: r.at_once):.2f}",
        f"refused later {mean(lambda r: r.refused_later):.3f}",
        f"late {mean(lambda r: r.late / r.jobs):.3f}",
        f"by entry {min(by_entry):.3f}-{max(by_entry):.3f}",
        *(
            f"{kind} {mean(lambda r, k=kind: r.on_time[k]):.3f}"
            for kind in results[0].on_time
        ),
        flush=True,
    )


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
