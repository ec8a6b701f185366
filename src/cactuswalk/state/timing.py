"""Spans of time that the promises rest on, with their grounds."""

import msgspec

__all__ = ["Timing"]


class Timing(msgspec.Struct, frozen=True):
    """Spans in seconds; the same on every node of a cell.

    :param confirm: P of docs/design/ownership.md. One second is some hundred
        times the round trip and well above a pause of the garbage collector,
        and 2P leaves a takeover within a few seconds.
    :param ping: a quarter of P. A member that confirms is asked every second
        quarter; one whose answer stays away is asked again after a tenth of a
        second and then each quarter, so that one exchange may be lost without
        its worker losing work, and two without the owner losing its standing.
    :param suspect: silence after which a member asks the others; above P, so
        that an owner without standing has stopped by then.
    :param suspect_stagger: added per rank, so that one candidate swaps first.
    :param lost: silence after which an agent's running tasks are given up as
        unknown and it is taken off the roster. Above the two seconds in which
        it must stop getting work, which it does after P.
    :param retention: how long records and answers are kept.
    :param lookback: how far back the records reach that a new owner collects. It
        covers the deadlines of nearly all that may be open at a takeover, and
        at a full cell's 300 starts a second some 4 MB; of what is older it says
        that it is too old to know.
    :param settle: how long an ended job waits for the agents' word on what is
        still running; fifty round trips.
    :param report: between two looks of an owner for news for its entries; a
        quarter of P, so that what they wait for comes well within a second.
    :param query: first wait of an entry for a sign of a submission; above
        nearly all run times, so that it is seldom asked in vain.
    :param join: between two tries to join a cell.
    :param clock_margin: how far a caller's wall clock may be ahead of an
        entry's (birth times only). A key that is born later than that is
        refused, with the remedy; the margin is what an unsteered clock drifts
        in a day. One that is behind seems older, which is safe.
    :param entry_margin: how far two entries' clocks may be apart; ours are
        steered, and then differ by milliseconds. Beyond both margins, a key
        whose task ran on a host that was lost together with the owner may be
        taken for one that was born after.
    """

    confirm: float = 1.0
    ping: float = 0.25
    suspect: float = 1.2
    suspect_stagger: float = 0.15
    lost: float = 3.0
    retention: float = 600.0
    lookback: float = 20.0
    settle: float = 0.05
    report: float = 0.25
    query: float = 1.0
    join: float = 0.5
    clock_margin: float = 2.0
    entry_margin: float = 1.0

    @property
    def takeover_lookback(self) -> float:
        """Return how far back a takeover looks: no further than records are kept."""
        return min(self.lookback, self.retention)
