"""The situations of the brief under load, as arrivals and behaviour of workers.

``python -m tools.policies_situations`` prints what callers get in each, with the
decisions and without them.
"""

import sys
from collections.abc import Callable

import click

from tools.policies_faults import (
    Ending,
    FaultBench,
    Outcome,
    Situation,
    compare,
    compare_hedging,
)
from tools.policies_late import announcements
from tools.policies_workload import DEPLOYMENTS, Request, arrivals

__all__ = ["SITUATIONS"]

DEPLOYMENT = DEPLOYMENTS["glenmorrow"]
SEED = 1

# Of 41 keys, a worker of 11 has to serve about four if they are spread evenly.
KEYS_KEPT = 8


def merged(*streams: list[Request]) -> list[Request]:
    """Return several streams as one, numbered anew."""
    requests = sorted(
        (request for stream in streams for request in stream),
        key=lambda request: request.arrival,
    )
    for number, request in enumerate(requests):
        request.number = number
    return requests


def stream(
    load: float, seconds: float, seed: int, start: float = 0.0, **fixed: object
) -> list[Request]:
    """Return arrivals from ``start`` on, with some of their fields fixed."""
    requests = arrivals(DEPLOYMENT, load, seconds, seed)
    for request in requests:
        request.arrival += start
        request.deadline += start
        for name, value in fixed.items():
            setattr(request, name, value)
    return requests


def single(
    number: int, arrival: float, own: float, patience: float, team: str
) -> Request:
    """Return a request of one task that declares its time truly."""
    return Request(
        number,
        arrival,
        team,
        f"c{number}",
        [own],
        [int(own * 1000)],
        arrival + patience,
    )


def burst() -> Situation:
    """Ten times the capacity for one second, on half the capacity."""
    requests = merged(stream(0.5, 20, SEED), stream(10.0, 1, SEED + 1, start=5.0))

    def group_of(request: Request) -> str:
        if request.arrival < 5.0:
            return "before"
        return "burst" if request.arrival < 6.0 else "after"

    return Situation("burst", 20, requests, group_of=group_of)


def hot_caller() -> Situation:
    """One caller sends 150% of the capacity, the others of its team 30%."""
    hot = stream(1.5, 15, SEED, team="depot", caller="hot")
    others = stream(0.3, 15, SEED + 1, team="depot")
    return Situation(
        "hot caller",
        15,
        merged(hot, others),
        group_of=lambda request: "hot" if request.caller == "hot" else "others",
    )


def flooding_team() -> Situation:
    """One team sends twice the capacity, another a tenth of it."""
    flood = stream(2.0, 15, SEED, team="flood")
    light = stream(0.1, 15, SEED + 1, team="light")
    return Situation(
        "flooding team", 15, merged(flood, light), group_of=lambda request: request.team
    )


def hot_key() -> Situation:
    """A third of the requests ask for one key; a worker new to a key is slow.

    A worker keeps the data of the last eight keys that it served. Single lookups
    alone, which are 11% of the stream's work.
    """
    requests = [request for request in stream(4.0, 20, SEED) if len(request.own) == 1]
    for number, request in enumerate(requests):
        request.key = "hot" if number % 3 == 0 else f"key{number % 40}"

    def behaviour(
        bench: FaultBench, worker: str, request: Request, index: int
    ) -> tuple[float, Ending]:
        kept = bench.notes.setdefault(("kept", worker), [])
        warm = request.key in kept
        if warm:
            kept.remove(request.key)
        kept.append(request.key)
        del kept[:-KEYS_KEPT]
        return request.own[index] * (1 if warm else 3), Ending.DONE

    return Situation(
        "hot key",
        20,
        requests,
        behaviour,
        group_of=lambda request: "hot" if request.key == "hot" else "others",
    )


def slow_upstream() -> Situation:
    """One upstream turns ten times slower after 5 s, and freezes after 10 s."""

    def behaviour(
        bench: FaultBench, worker: str, request: Request, index: int
    ) -> tuple[float, Ending]:
        own = request.own[index]
        if worker != "w3" or bench.now < 5.0:
            return own, Ending.DONE
        if bench.now < 10.0:
            return own * 10, Ending.DONE
        return own, Ending.FROZEN

    return Situation("slow upstream", 25, stream(0.6, 25, SEED), behaviour)


def black_hole() -> Situation:
    """One worker fails everything within a millisecond from 3 s on."""

    def behaviour(
        bench: FaultBench, worker: str, request: Request, index: int
    ) -> tuple[float, Ending]:
        if worker == "w3" and bench.now >= 3.0:
            return 0.001, Ending.FAILED
        return request.own[index], Ending.DONE

    return Situation("black hole", 20, stream(0.6, 20, SEED), behaviour)


def stragglers() -> Situation:
    """One request in a hundred hangs for three seconds, where it runs first."""
    requests = [request for request in stream(0.9, 30, SEED) if len(request.own) == 1]
    for request in requests:
        request.idempotent = True

    def behaviour(
        bench: FaultBench, worker: str, request: Request, index: int
    ) -> tuple[float, Ending]:
        first = not bench.notes["seen", request.number]
        bench.notes["seen", request.number] = 1
        hangs = first and request.number % 100 == 0
        return request.own[index] + (3.0 if hangs else 0.0), Ending.DONE

    return Situation("stragglers", 30, requests, behaviour)


def long_among_short() -> Situation:
    """Two hundred tasks of 5 s arrive among lookups of 50 to 150 ms."""
    lookups = [
        single(number, number / 350, 0.05 + 0.1 * (number % 11) / 10, 5.0, "lookups")
        for number in range(350 * 20)
    ]
    batch = [
        single(number, 5.0 + number / 1000, 5.0, 60.0, "batch") for number in range(200)
    ]
    return Situation(
        "long among short",
        20,
        merged(lookups, batch),
        group_of=lambda request: request.team,
    )


def lasting_overload() -> Situation:
    """Half more than the capacity for half a minute."""
    return Situation("lasting overload", 30, stream(1.5, 30, SEED))


def passing_peak() -> Situation:
    """A minute at 95% of the capacity, for some twenty seconds a little above it."""
    return Situation("passing peak", 60, stream(0.95, 60, SEED))


def cancellation_wave() -> Situation:
    """Ten thousand queued requests are cancelled at one moment."""
    lookups = stream(0.5, 12, SEED, team="lookups")
    wave = [
        single(number, 2.0 + number / 10000, 0.5, 600.0, "wave")
        for number in range(10_000)
    ]

    def cancel_wave(bench: FaultBench) -> None:
        for progress in list(bench.known.values()):
            if progress.request.team == "wave" and not progress.sent:
                request = progress.request
                bench.scheduler.cancel(f"{request.team}/{request.number}", bench.now)
                progress.over = True
                bench.known.pop(f"{request.team}/{request.number}", None)
        bench.assign()

    def group_of(request: Request) -> str:
        if request.team == "wave":
            return "wave"
        return "after" if request.arrival > 4.0 else "before"

    return Situation(
        "cancellation wave",
        12,
        merged(lookups, wave),
        group_of=group_of,
        events=[(4.0, cancel_wave)],
    )


def fits_nowhere() -> Situation:
    """Ten requests declare more memory than any worker has."""
    large = [single(number, 3.0 + number, 0.1, 5.0, "large") for number in range(10)]
    for request in large:
        request.memory_mb = 100 * 1024
    return Situation(
        "fits nowhere",
        20,
        merged(stream(0.5, 20, SEED), large),
        group_of=lambda request: "large" if request.team == "large" else "others",
        memory_mb=64 * 1024,
    )


def rack_returns() -> Situation:
    """A rack of three workers leaves, and returns cold.

    For 40 tasks each, tasks that run there together slow each other down, as
    when everything is loaded and compiled for the first time.
    """
    rack = announcements(DEPLOYMENT)[3:6]

    def leave(bench: FaultBench) -> None:
        for announcement in rack:
            bench.scheduler.remove_worker(announcement.worker, bench.now)

    def come_back(bench: FaultBench) -> None:
        for announcement in rack:
            bench.scheduler.set_worker(announcement, True, bench.now)
            bench.notes[announcement.worker] = 40

    def behaviour(
        bench: FaultBench, worker: str, request: Request, index: int
    ) -> tuple[float, Ending]:
        if bench.notes[worker] <= 0:
            return request.own[index], Ending.DONE
        bench.notes[worker] -= 1
        until = bench.notes.setdefault(("until", worker), [])
        together = 1 + sum(bench.now < end for end in until)
        seconds = request.own[index] * together
        until.append(bench.now + seconds)
        return seconds, Ending.DONE

    def group_of(request: Request) -> str:
        return "return" if 10.0 <= request.arrival < 12.0 else "else"

    events = [(5.0, leave), (10.0, come_back)]
    requests = stream(0.5, 20, SEED)
    return Situation("rack returns", 20, requests, behaviour, group_of, events)


def wrong_declarations(factor: float) -> Callable[[], Situation]:
    """Return a situation in which all declare so many times the true time."""

    def situation() -> Situation:
        requests = stream(0.9, 20, SEED)
        for request in requests:
            request.declared_ms = [
                max(1, int(own * factor * 1000)) for own in request.own
            ]
        return Situation(f"declared x{factor:g}", 20, requests)

    return situation


SITUATIONS: dict[str, Callable[[], Situation]] = {
    "burst": burst,
    "hot caller": hot_caller,
    "flooding team": flooding_team,
    "hot key": hot_key,
    "slow upstream": slow_upstream,
    "stragglers": stragglers,
    "black hole": black_hole,
    "long among short": long_among_short,
    "lasting overload": lasting_overload,
    "passing peak": passing_peak,
    "cancellation wave": cancellation_wave,
    "fits nowhere": fits_nowhere,
    "rack returns": rack_returns,
    "declared truly": wrong_declarations(1.0),
    "declared ten times too long": wrong_declarations(10.0),
    "declared ten times too short": wrong_declarations(0.1),
}


def line(name: str, group: str, decisions: str, outcome: Outcome) -> str:
    """Return one line of the table."""
    report = outcome.report
    offered = max(1, report.offered)
    return (
        f"| {name} | {group} | {decisions} | {report.offered} "
        f"| {report.answered / offered:.1%} | {report.refused / offered:.1%} "
        f"| {outcome.at_once:.1%} | {report.failed / offered:.1%} "
        f"| {report.job_p50:.2f} | {report.job_p99:.2f} | {report.job_p999:.1f} "
        f"| {report.useful:.2f} | {report.waste:.3f} |"
    )


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Print what callers get in each situation (or the NAMES given)."""
    click.echo(
        "| situation | callers | decisions | offered | answered | refused "
        "| of it at once | failed | p50 | p99 | p99.9 | useful | waste |"
    )
    click.echo("|---" * 13 + "|")
    for name in names or SITUATIONS:
        if name == "stragglers":
            hedged, unhedged = compare_hedging(SITUATIONS[name]())
            click.echo(line(name, "all", "hedging", hedged.outcomes()["all"]))
            click.echo(line(name, "all", "no hedging", unhedged.outcomes()["all"]))
            continue
        ours, plain = compare(SITUATIONS[name]())
        for group, outcome in sorted(ours.items()):
            click.echo(line(name, group, "with", outcome))
            click.echo(line(name, group, "without", plain[group]))


if __name__ == "__main__":
    sys.exit(main())
