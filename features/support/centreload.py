"""Constant load on the data centres of a simulated fleet."""

from collections import Counter

__all__ = ["TASKS", "TASK_CPU", "TASK_SECONDS", "centre_of", "play", "room"]

TASK_SECONDS = 0.4
TASK_CPU = 5_000
TASKS = 4


def play(context, centres, rate, seconds):
    """Submit jobs at a constant rate to the living entries of data centres in turn."""
    fleet = context.fleet
    context.sent_before = Counter(fleet.sent)
    context.seconds = seconds
    context.jobs = []
    per_second = sum(room(fleet, centre) for centre in centres) * rate
    per_second /= TASKS * TASK_CPU * TASK_SECONDS
    entries = [name for name in fleet.living() if centre_of(fleet, name) in centres]
    for number in range(int(per_second * seconds)):
        entry = entries[number % len(entries)]
        fleet.at(
            number / per_second, lambda entry=entry, n=number: _job(context, entry, n)
        )
    fleet.run(seconds)
    context.sent_after = Counter(fleet.sent)
    fleet.run(3.0)


def _job(context, entry, number):
    context.jobs.append(
        context.fleet.submit(
            entry, f"{number:016x}", TASKS, TASK_CPU, TASK_SECONDS, wait=2.0
        )
    )


def room(fleet, centre):
    """Return a data centre's processor capacity that whole tasks can use."""
    return sum(
        worker.cpu // TASK_CPU * TASK_CPU
        for worker in fleet.workers.values()
        if worker.data_centre == centre
    )


def centre_of(fleet, name):
    """Return the data centre of a process."""
    return fleet.states[name].data_centre
