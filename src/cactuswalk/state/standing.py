"""An owner's standing: may it start tasks now? And quorums over rosters."""

from collections.abc import Collection, Mapping

from cactuswalk.model import Member

__all__ = ["confirmed_since", "has_majority"]


def has_majority(roster: Collection[Member], agreeing: Collection[str]) -> bool:
    """Tell whether more than half of a roster is among the agreeing lives.

    :param agreeing: incarnations.
    """
    count = sum(member.incarnation in agreeing for member in roster)
    return 2 * count > len(roster)


def confirmed_since(
    rosters: Collection[Collection[Member]], confirmed_at: Mapping[str, float]
) -> float:
    """Return the latest moment since when every roster has confirmed the owner.

    More than half of each roster has confirmed a ping that was sent then or later;
    the owner has standing while that is no longer ago than P. While a swap to a
    new roster is pending, both are in force: a new owner reads one of the two and
    fences more than half of it, which then shares a member with what this owner
    needs.

    :param confirmed_at: by incarnation, when the latest confirmed ping was
        sent. Counting from the pong instead would add its travel time to the
        span, and a new owner would act before this one has stopped.
    """
    return min(_since(roster, confirmed_at) for roster in rosters)


def _since(roster: Collection[Member], confirmed_at: Mapping[str, float]) -> float:
    never = float("-inf")
    moments = [confirmed_at.get(member.incarnation, never) for member in roster]
    moments.sort(reverse=True)
    return moments[len(moments) // 2] if moments else never
