"""Determine the outcome of a swap from the service's later replies.

A swap (a compare-and-swap of a key) whose reply was lost is in doubt: it may have
been applied, or not, or may yet be applied, since a delayed request can arrive
seconds after its caller gave up. These rules resolve it:

- Sending the same swap again is safe. All copies expect the same revision, so at
  most one of them is applied.
- A key whose revision has moved past the expected one never returns to it, so no
  delayed copy can be applied any more. Only then is an outcome final.
- The write id in the key's value proves that the swap was applied. Its absence
  proves nothing, since another writer may have replaced the value. In that case
  the first change after the expected revision decides.
"""

import msgspec

from cactuswalk.platform.protocol import KeyValue, TransactionReply, WatchEvent
from cactuswalk.state.events import SwapOutcome

__all__ = ["Verdict", "contains_write_id", "classify_reply", "classify_history"]


class Verdict(msgspec.Struct, frozen=True):
    """The outcome of a swap, and the key's revision after it."""

    outcome: SwapOutcome
    revision: int


def contains_write_id(value: bytes, write_id: str) -> bool:
    """Return whether a value contains a write id.

    The id is searched for as an encoded string, in JSON and in MessagePack: a
    search for the bare characters would find ``node-1`` in ``node-12``.
    """
    return any(
        encode(write_id) in value
        for encode in (msgspec.json.encode, msgspec.msgpack.encode)
    )


def classify_reply(
    reply: TransactionReply, write_id: str, has_unanswered_copy: bool
) -> Verdict | None:
    """Return the final outcome that a transaction's reply proves, else None.

    :param has_unanswered_copy: an earlier copy was sent and never answered.
    """
    if reply.succeeded:
        return Verdict(SwapOutcome.APPLIED, reply.header.revision)
    current = reply.current
    if current is not None and contains_write_id(current.value, write_id):
        return Verdict(SwapOutcome.APPLIED, current.mod_revision)
    if not has_unanswered_copy:
        # The only copy was answered, and it found another revision.
        return Verdict(SwapOutcome.LOST, current.mod_revision if current else 0)
    return None


def classify_history(
    events: list[WatchEvent], current: KeyValue, write_id: str, start: int
) -> Verdict | None:
    """Return the outcome that a key's history proves, None while it is incomplete.

    :param events: of the key from ``start`` on, in order and without a gap.
    :param current: the key when the swap's comparison failed; if the history up to
        it does not contain the write id, the swap was not applied.
    :param start: the first revision at which the swap could have been applied.
    """
    for event in events:
        if contains_write_id(event.kv.value, write_id):
            return Verdict(SwapOutcome.APPLIED, event.kv.mod_revision)
    reached = max((event.kv.mod_revision for event in events), default=start - 1)
    if reached >= current.mod_revision:
        return Verdict(SwapOutcome.LOST, current.mod_revision)
    return None
