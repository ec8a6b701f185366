"""What a mutant is: one safeguard of the source, taken away."""

import msgspec

__all__ = ["Mutant"]


class Mutant(msgspec.Struct):
    """One safeguard taken away.

    :param feature: the one that is to notice, a path below ``features``.
    """

    name: str
    path: str
    old: str
    new: str
    feature: str
