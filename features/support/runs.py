"""Run scripts that Hypothesis draws, from a seed, and let the judge speak."""

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, given, seed as seeded, settings
from hypothesis.strategies import SearchStrategy

from features.support.judge import violations
from features.support.script import Played


def run_scripts(
    scripts: SearchStrategy,
    play: Callable[[tuple], Played],
    seed: int,
    count: int,
    tell: Callable[[Played], None],
) -> None:
    """Run so many scripts; the same ones for the same seed.

    :param play: runs one script to its end.
    :param tell: is told of each that has been run.
    :raises AssertionError: with the smallest script that breaks a promise.
    """

    @seeded(seed)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, Phase.shrink],
        print_blob=False,
    )
    @given(scripts)
    def run(script):
        played = play(script)
        tell(played)
        found = violations(played.bag)
        assert found == [], found

    run()
