"""Scripts of submissions and faults, drawn by Hypothesis, run on the bag."""

import random

from hypothesis import strategies as st

from features.support.bag import Bag, small_cell

ENTRIES = ("entry-0", "entry-1")

# What a script may do, and with what; ``who`` and ``which`` are taken modulo
# what there is.
NUMBERS = st.integers(0, 6)
STEPS = st.one_of(
    st.tuples(
        st.just("submit"),
        NUMBERS,
        st.sampled_from([1, 1, 3, 20]),
        st.sampled_from([50, 300, 1000]),
        st.sampled_from([800, 3000, 8000]),
    ),
    st.tuples(
        st.just("submit"), NUMBERS, st.just(8), st.just(300), st.sampled_from([4000])
    ),
    st.tuples(st.just("resubmit"), NUMBERS, NUMBERS),
    st.tuples(st.just("cancel"), NUMBERS, NUMBERS),
    st.tuples(st.just("freeze"), NUMBERS, st.sampled_from([0.5, 1.5, 3.0, 6.0])),
    st.tuples(st.just("kill"), NUMBERS, st.booleans()),
    st.tuples(st.just("kill_owner"), st.booleans()),
    st.tuples(st.just("freeze_owner"), st.sampled_from([1.5, 2.5, 5.0])),
    st.tuples(st.just("cut"), NUMBERS, st.booleans()),
    st.tuples(st.just("cut_owner"), st.booleans()),
    st.tuples(st.just("deaf"), NUMBERS),
    st.tuples(st.just("heal")),
    st.tuples(st.just("service_down"), st.booleans()),
    st.tuples(st.just("lose_reply")),
    st.tuples(st.just("stop"), NUMBERS),
)
SCRIPTS = st.tuples(
    st.integers(2, 7),
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.02, 0.1]),
    st.lists(
        st.tuples(st.sampled_from([0.0, 0.01, 0.1, 0.3, 1.0, 2.0]), STEPS),
        min_size=4,
        max_size=40,
    ),
)


class Played:
    """What a script has done so far."""

    def __init__(self, agents: int, seed: int, loss: float, drift: float = 0.0) -> None:
        self.bag: Bag = small_cell(agents, seed=seed, drift=drift)
        self.agents = agents
        self.jobs: list = []
        self.counts: dict[str, int] = {}
        generator = random.Random(seed)

        def fate(sender: str, receiver: str, message: object) -> list[float]:
            """Lose, delay or repeat a message; the odds are the script's."""
            if generator.random() < loss:
                return []
            delays = [0.0005 + generator.random() * 0.002]
            if generator.random() < loss:
                delays.append(generator.random() * 3)
            if generator.random() < loss:
                delays = [generator.random() * 4]
            return delays

        self.bag.fate = fate

    def worker(self, number: int) -> str:
        return f"worker-{number % self.agents}"


def play(script: tuple, drift: float = 0.0) -> Played:
    """Run a script to its end, then let everything heal and settle."""
    agents, seed, loss, steps = script
    played = Played(agents, seed, loss, drift)
    for pause, step in steps:
        played.counts[step[0]] = played.counts.get(step[0], 0) + 1
        globals()[f"_{step[0]}"](played, *step[1:])
        played.bag.run(pause)
    played.bag.cut.clear()
    played.bag.key_value.down = False
    # Longer than the longest freeze, deadline and takeover together.
    played.bag.run(16.0)
    return played


def _submit(played: Played, who, tasks, duration_ms, remaining_ms) -> None:
    job = played.bag.job(tasks=tasks, duration_ms=duration_ms)
    played.jobs.append(job)
    played.bag.submit(ENTRIES[who % 2], job, remaining_ms)


def _resubmit(played: Played, who, which) -> None:
    if played.jobs:
        job = played.jobs[-1 - which % len(played.jobs)]
        played.bag.submit(ENTRIES[who % 2], job, 5000)


def _cancel(played: Played, who, which) -> None:
    if played.jobs:
        job = played.jobs[-1 - which % len(played.jobs)]
        played.bag.cancel(ENTRIES[who % 2], job)


def _freeze(played: Played, who, seconds) -> None:
    played.bag.freeze(played.worker(who), seconds)


def _kill(played: Played, who, again) -> None:
    played.bag.kill(played.worker(who))
    if again:
        played.bag.add_agent(played.worker(who))


def _kill_owner(played: Played, again) -> None:
    owner = played.bag.owner()
    if owner is not None:
        _kill(played, int(owner.name.split("-")[1]), again)


def _freeze_owner(played: Played, seconds) -> None:
    owner = played.bag.owner()
    if owner is not None:
        played.bag.freeze(owner.name, seconds)


def _cut(played: Played, who, both) -> None:
    played.bag.cut_off(played.worker(who), both)


def _cut_owner(played: Played, both) -> None:
    owner = played.bag.owner()
    if owner is not None:
        played.bag.cut_off(owner.name, both)


def _deaf(played: Played, who) -> None:
    played.bag.deafen(played.worker(who))


def _heal(played: Played) -> None:
    played.bag.cut.clear()


def _service_down(played: Played, down) -> None:
    played.bag.key_value.down = down


def _lose_reply(played: Played) -> None:
    played.bag.key_value.lose_replies += 1


def _stop(played: Played, who) -> None:
    played.bag.stop(played.worker(who))
