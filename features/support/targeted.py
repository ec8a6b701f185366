"""Random scripts that aim at takeovers, from moves of several steps each.

Freely drawn faults seldom meet: a second owner must die within a second or two
of the first, or a cut must leave an owner just half of its members. Each move
brings such a meeting about; Hypothesis draws the moves, their order, their
pauses, and the submissions between them.
"""

from hypothesis import strategies as st

from features.support.bag import Bag
from features.support.directed import isolate
from features.support.script import ENTRIES, Played

SIDES = ("minority", "half", "majority")
# Around a takeover: suspicion after 1.2 s, service 0.4 to 1.2 s later.
SHORT = st.sampled_from([0.0, 0.006, 0.05, 0.3, 0.9])
TAKEOVER = st.sampled_from([1.2, 1.3, 1.5, 1.7, 2.0, 2.6, 4.0])

MOVES = st.one_of(
    st.tuples(st.just("owners_die"), TAKEOVER, st.booleans()),
    st.tuples(st.just("owner_sleeps"), st.sampled_from([1.1, 1.6, 2.5, 4.0]), TAKEOVER),
    st.tuples(st.just("split"), st.sampled_from(SIDES), st.integers(0, 2), TAKEOVER),
    st.tuples(st.just("outage"), TAKEOVER, TAKEOVER),
    st.tuples(st.just("deaf"), TAKEOVER, st.booleans()),
    st.tuples(st.just("hand_over"), SHORT, st.sampled_from(SIDES), st.integers(0, 2)),
    st.tuples(st.just("owner_and_worker_die"), st.integers(0, 6), st.booleans()),
    st.tuples(st.just("lost_reply"), st.booleans()),
    st.tuples(st.just("worker_leaves"), st.integers(0, 6), st.booleans()),
)
JOBS = st.tuples(
    st.integers(0, 1),
    st.sampled_from([1, 4, 40]),
    st.sampled_from([60, 400, 1500]),
    st.sampled_from([500, 1500, 6000]),
)
TARGETED = st.tuples(
    st.integers(3, 6),
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.0, 0.05]),
    st.lists(st.tuples(JOBS, SHORT, MOVES, SHORT), min_size=1, max_size=4),
)


def play_targeted(script: tuple, drift: float = 0.0) -> Played:
    """Run a script to its end, then let everything heal and settle."""
    agents, seed, loss, moves = script
    played = Played(agents, seed, loss, drift)
    bag = played.bag
    for job, before, move, after in moves:
        played.counts[move[0]] = played.counts.get(move[0], 0) + 1
        _submit(played, *job)
        bag.run(before)
        globals()[f"_{move[0]}"](played, *move[1:])
        _resubmit_all(played)
        bag.run(after)
    bag.run(2.0)
    bag.cut.clear()
    bag.key_value.down = False
    bag.run(3.0)
    _resubmit_all(played)
    # Longer than the longest freeze, deadline and takeover together.
    bag.run(13.0)
    return played


def _submit(played: Played, entry, tasks, duration_ms, remaining_ms) -> None:
    job = played.bag.job(tasks=tasks, duration_ms=duration_ms)
    played.jobs.append(job)
    played.bag.submit(ENTRIES[entry], job, remaining_ms)


def _resubmit_all(played: Played) -> None:
    """Have each caller come again through an entry of the other side."""
    for number, job in enumerate(played.jobs):
        played.bag.submit(ENTRIES[number % 2], job, 4000)


def _owner(bag: Bag) -> str | None:
    owner = bag.owner()
    return owner.name if owner is not None else None


def _kill(played: Played, name: str | None, again: bool = False) -> None:
    if name is None:
        return
    played.bag.kill(name)
    if again:
        played.bag.add_agent(name)


def _owners_die(played: Played, between, again) -> None:
    _kill(played, _owner(played.bag), again)
    played.bag.run(between)
    _resubmit_all(played)
    played.bag.run(0.1)
    _kill(played, _owner(played.bag), again)


def _owner_sleeps(played: Played, seconds, pause) -> None:
    name = _owner(played.bag)
    if name is not None:
        played.bag.freeze(name, seconds)
    played.bag.run(pause)


def _split(played: Played, side, entries, pause) -> None:
    """Cut the owner off with so many members, and none, one or both entries."""
    name = _owner(played.bag)
    if name is None:
        return
    names = [f"worker-{number}" for number in range(played.agents)]
    names.remove(name)
    count = {"minority": 1, "half": played.agents // 2, "majority": 99}[side]
    count = min(count, played.agents // 2 + 1)
    isolate(played.bag, [name, *names[: count - 1], *ENTRIES[:entries]])
    played.bag.run(pause)


def _outage(played: Played, before, seconds) -> None:
    _kill(played, _owner(played.bag))
    played.bag.run(before)
    played.bag.key_value.down = True
    played.bag.run(seconds)
    played.bag.key_value.down = False


def _deaf(played: Played, pause, killed) -> None:
    """Let nothing reach the owner, and perhaps kill it before it is mended."""
    name = _owner(played.bag)
    if name is None:
        return
    played.bag.deafen(name)
    played.bag.run(pause)
    _resubmit_all(played)
    if killed:
        _kill(played, name)
    played.bag.run(pause)
    played.bag.cut.clear()


def _hand_over(played: Played, pause, side, entries) -> None:
    name = _owner(played.bag)
    if name is None:
        return
    played.bag.stop(name)
    played.bag.run(0.05)
    played.bag.run(pause)
    if played.bag.processes[f"tcp://{name}"].alive and _owner(played.bag):
        _split(played, side, entries, 1.0)


def _owner_and_worker_die(played: Played, number, again) -> None:
    _kill(played, f"worker-{number % played.agents}", again)
    _kill(played, _owner(played.bag), again)


def _lost_reply(played: Played, again) -> None:
    played.bag.key_value.lose_replies += 1
    _kill(played, _owner(played.bag), again)


def _worker_leaves(played: Played, number, killed) -> None:
    name = f"worker-{number % played.agents}"
    if killed:
        _kill(played, name)
        played.bag.run(4.0)
    else:
        played.bag.stop(name)
        played.bag.run(1.0)
    _kill(played, _owner(played.bag))
