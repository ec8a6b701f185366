"""Durations that the guarantees depend on, with the reason for each value."""

import msgspec

__all__ = ["Timing"]


class Timing(msgspec.Struct, frozen=True):
    """Durations in seconds; the same on every node of a cell.

    :param confirm: P of docs/design/ownership.md. One second is some hundred times
        the round trip and well above a pause of the garbage collector, and with 2P
        a takeover takes a few seconds.
    :param ping: ping period, a quarter of P. A member that confirms is pinged every
        second period. One that does not answer is pinged again after a tenth of a
        second and then every period, so that one exchange may be lost without its
        worker losing work, and two without the owner losing its confirmation.
    :param suspect: silence after which a member asks the others about the owner;
        above P, so that an unconfirmed owner has stopped by then.
    :param suspect_stagger: added per rank, so that one candidate swaps first.
    :param lost: silence after which an agent is removed from the roster and its
        running tasks end as unknown. Above the two seconds within which it must
        stop getting work, which happens after P.
    :param retention: how long records and answers are kept.
    :param lookback: how far back the records go that a new owner collects. It covers
        the deadlines of nearly all submissions that may be open at a takeover, and
        takes some 4 MB at a full cell's 300 starts a second. Older submissions are
        refused as too old.
    :param settle: how long an ended job waits for the agents' replies about tasks
        that still run; fifty round trips.
    :param report: interval at which an owner checks for changes to report to
        entries; a quarter of P, so that they arrive well within a second.
    :param query: first wait of an entry for a sign of a submission; above nearly all
        run times, so that few queries are needless.
    :param join: interval between attempts to join a cell.
    :param clock_margin: how far a caller's wall clock may be ahead of an entry's;
        used only for creation times of keys. A key from further in the future is
        refused, with advice to correct the clock. The margin is the drift of an
        unsynchronised clock in a day. A clock that is behind makes keys seem older,
        which is safe.
    :param entry_margin: how far the clocks of two entries may differ; synchronised
        clocks differ by milliseconds. Beyond both margins, a key whose task ran on a
        host that was lost together with the owner may be taken for a newer one.
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
        """How far back a takeover looks; at most as long as records are kept."""
        return min(self.lookback, self.retention)
