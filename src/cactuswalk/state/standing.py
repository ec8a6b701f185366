"""Quorums over rosters, and since when they have confirmed an owner (standing)."""

from collections.abc import Collection, Mapping

from cactuswalk.model import Member

__all__ = ["find_confirmed_since", "has_majority"]


def has_majority(roster: Collection[Member], agreeing: Collection[str]) -> bool:
    """Tell whether more than half of a roster is among the agreeing incarnations.

    :param agreeing: incarnations.
    """
    count = sum(member.incarnation in agreeing for member in roster)
    return 2 * count > len(roster)


def find_confirmed_since(
    rosters: Collection[Collection[Member]], confirmed_at: Mapping[str, float]
) -> float:
    """Return the latest time since when every roster has confirmed the owner.

    More than half of each roster has confirmed a ping sent at that time or later. The
    owner has standing, so it may start tasks, while that time is at most P ago. Both
    rosters are in force while a swap to a new one is pending: a new owner reads one
    of them and fences more than half of it, which shares a member with every
    majority that this owner needs.

    :param confirmed_at: by incarnation, when the latest confirmed ping was
        sent. Counting from the arrival of the pong would add its travel time, and a
        new owner could act before this one has stopped.
    """
    return min(_find_roster_confirmed_since(roster, confirmed_at) for roster in rosters)


def _find_roster_confirmed_since(
    roster: Collection[Member], confirmed_at: Mapping[str, float]
) -> float:
    never = float("-inf")
    moments = [confirmed_at.get(member.incarnation, never) for member in roster]
    moments.sort(reverse=True)
    return moments[len(moments) // 2] if moments else never
