"""An owner's standing: may it start tasks now? And quorums over rosters."""

from collections.abc import Collection, Mapping

from cactuswalk.model import Member

__all__ = ["has_majority", "has_standing"]


def has_majority(roster: Collection[Member], agreeing: Collection[str]) -> bool:
    """Tell whether more than half of a roster is among the agreeing lives.

    :param agreeing: incarnations.
    """
    count = sum(member.incarnation in agreeing for member in roster)
    return 2 * count > len(roster)


def has_standing(
    rosters: Collection[Collection[Member]],
    confirmed_at: Mapping[str, float],
    confirm: float,
    now: float,
) -> bool:
    """Tell whether every roster in force confirmed the owner within ``confirm``.

    While a swap to a new roster is pending, both are in force: a new owner
    reads one of the two and fences more than half of it, which then shares a
    member with what this owner needs.

    :param confirmed_at: by incarnation, when the latest confirmed ping was
        sent. Counting from the pong instead would add its travel time to the
        span, and a new owner would act before this one has stopped.
    """
    recent = {
        incarnation
        for incarnation, sent_at in confirmed_at.items()
        if now - sent_at <= confirm
    }
    return all(has_majority(roster, recent) for roster in rosters)
