"""Tell what became of a swap, from what the service says afterwards.

A swap whose reply was lost may have been applied, may not have been, and may
yet be: the request can sit in a queue and land seconds after its caller gave
up. What decides:

- The same swap sent again does no harm, since it expects the same revision: at
  most one of the copies can find the key there.
- A key whose revision has moved past the expected one never comes back to it,
  so no copy that is still under way can be applied any more. Only then can the
  verdict be final.
- The write id in the key's value proves that it was applied. Its absence
  proves nothing, since another writer may have replaced it: then the first
  change after the expected revision tells.
"""

import msgspec

from cactuswalk.platform.protocol import KeyValue, TransactionReply, WatchEvent
from cactuswalk.state.events import SwapOutcome

__all__ = ["Verdict", "contains_write_id", "classify_reply", "classify_history"]


class Verdict(msgspec.Struct, frozen=True):
    """What became of a swap, and the key's revision then."""

    outcome: SwapOutcome
    revision: int


def contains_write_id(value: bytes, write_id: str) -> bool:
    """Say whether a value names a write.

    The id is looked for as an encoded string, in JSON and in MessagePack: by
    its bare characters ``node-1`` would be found in ``node-12``.
    """
    return any(
        encode(write_id) in value
        for encode in (msgspec.json.encode, msgspec.msgpack.encode)
    )


def classify_reply(
    reply: TransactionReply, write_id: str, has_unanswered_copy: bool
) -> Verdict | None:
    """Return the verdict that a transaction's reply allows, if it is final.

    :param doubtful: an earlier copy was sent and never answered.
    """
    if reply.succeeded:
        return Verdict(SwapOutcome.APPLIED, reply.header.revision)
    current = reply.current
    if current is not None and contains_write_id(current.value, write_id):
        return Verdict(SwapOutcome.APPLIED, current.mod_revision)
    if not has_unanswered_copy:
        # The only copy was answered: it found another revision.
        return Verdict(SwapOutcome.LOST, current.mod_revision if current else 0)
    return None


def classify_history(
    events: list[WatchEvent], current: KeyValue, write_id: str, start: int
) -> Verdict | None:
    """Return the verdict of a key's changes, None while some are missing.

    :param events: of the key at ``start`` and later, in order, without a gap.
    :param current: the key when the swap's comparison failed; once the history
        has reached it without the write id, no other change is left to look at.
    :param start: the first revision at which the swap could be applied.
    """
    for event in events:
        if contains_write_id(event.kv.value, write_id):
            return Verdict(SwapOutcome.APPLIED, event.kv.mod_revision)
    reached = max((event.kv.mod_revision for event in events), default=start - 1)
    if reached >= current.mod_revision:
        return Verdict(SwapOutcome.LOST, current.mod_revision)
    return None
