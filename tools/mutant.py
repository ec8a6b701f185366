"""What a mutant is: one safeguard of the source, taken away."""

from tools.sourcechange import SourceChange

__all__ = ["Mutant"]


class Mutant(SourceChange):
    """One safeguard taken away.

    :param feature: the one that is to notice, a path below ``features``.
    """

    feature: str
