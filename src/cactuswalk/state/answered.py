"""Answered submissions as an owner keeps them for the retention window: packed.

An owner answers some hundreds of submissions a second and can't forget one before
ten seconds have passed. Kept as the structures that they were answered from, they
took most of what an agent may use; few of them are ever asked for again.
"""

import msgspec

from cactuswalk.state.ledger import Tracked, body_bytes_of

__all__ = ["ANSWERED_OVERHEAD_BYTES", "Answered", "pack_answered", "pack", "unpack"]

# What an answered submission takes besides its packed bytes: its name, its places in a
# dictionary and two queues, two moments.
ANSWERED_OVERHEAD_BYTES = 300

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Tracked)


class Answered(msgspec.Struct, gc=False):
    """One answered submission.

    :param kept_until: when it is forgotten.
    :param body_bytes: what the bodies of its answer take of ``packed``.
    """

    submission: str
    packed: bytes
    tracked_at: float
    kept_until: float
    body_bytes: int

    @property
    def kept_bytes(self) -> int:
        """Return about how many bytes it takes, less its answer's bodies."""
        return ANSWERED_OVERHEAD_BYTES + len(self.packed) - self.body_bytes


def pack(tracked: Tracked) -> bytes:
    """Return the bytes of an answered submission.

    What the answer repeats of its job, and of its tasks where it is whole, is kept
    once.
    """
    answer = msgspec.structs.replace(tracked.answer, submission="", fingerprint=b"")
    if answer.results == [task.result for task in tracked.tasks]:
        answer.results = []
    encoded = _encoder.encode(msgspec.structs.replace(tracked, answer=answer))
    # The encoder leaves its buffer's spare room, up to half as much again, with what
    # it returns; a copy has none.
    return bytes(memoryview(encoded))


def unpack(answered: Answered) -> Tracked:
    """Return an answered submission as it was; ``pack`` keeps its changes."""
    tracked = _decoder.decode(answered.packed)
    job, answer = tracked.job, tracked.answer
    answer.submission, answer.fingerprint = job.submission, job.fingerprint
    if not answer.results:
        answer.results = [task.result for task in tracked.tasks]
    return tracked


def pack_answered(tracked: Tracked, kept_until: float) -> Answered:
    """Return what is kept of a submission that has just been answered."""
    return Answered(
        tracked.job.submission,
        pack(tracked),
        tracked.tracked_at,
        kept_until,
        body_bytes_of(tracked.answer),
    )
