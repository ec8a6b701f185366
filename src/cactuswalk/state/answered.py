"""Packed form in which an owner keeps answered submissions for the retention window.

Load pattern: an owner answers some hundreds of submissions a second and must keep
each for at least ten seconds, but few are ever requested again. Kept as the original
structures, they took most of the memory that an agent may use.
"""

import msgspec

from cactuswalk.state.ledger import TrackedJob, count_body_bytes

__all__ = ["ANSWERED_OVERHEAD_BYTES", "Answered", "pack_answered", "pack", "unpack"]

# Bytes of an answered submission besides its packed form: its identifier, its entries
# in a dictionary and two queues, and two times.
ANSWERED_OVERHEAD_BYTES = 300

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(TrackedJob)


class Answered(msgspec.Struct, gc=False):
    """One answered submission.

    :param kept_until: when it expires.
    :param body_bytes: size of the answer's bodies within ``packed``.
    """

    submission: str
    packed: bytes
    tracked_at: float
    kept_until: float
    body_bytes: int

    @property
    def kept_bytes(self) -> int:
        """Approximate size in bytes, without the bodies of the answer."""
        return ANSWERED_OVERHEAD_BYTES + len(self.packed) - self.body_bytes


def pack(tracked: TrackedJob) -> bytes:
    """Encode an answered submission.

    Fields that the answer shares with its job are stored once, and so are the
    results when they are the same as those of the tasks.
    """
    answer = msgspec.structs.replace(tracked.answer, submission="", fingerprint=b"")
    if answer.results == [task.result for task in tracked.tasks]:
        answer.results = []
    encoded = _encoder.encode(msgspec.structs.replace(tracked, answer=answer))
    # The encoder returns its buffer with up to half as much spare capacity; a copy
    # has none.
    return bytes(memoryview(encoded))


def unpack(answered: Answered) -> TrackedJob:
    """Decode an answered submission; changes to it have to be packed again."""
    tracked = _decoder.decode(answered.packed)
    job, answer = tracked.job, tracked.answer
    answer.submission, answer.fingerprint = job.submission, job.fingerprint
    if not answer.results:
        answer.results = [task.result for task in tracked.tasks]
    return tracked


def pack_answered(tracked: TrackedJob, kept_until: float) -> Answered:
    """Return the packed form of a submission that has just been answered."""
    return Answered(
        tracked.job.submission,
        pack(tracked),
        tracked.tracked_at,
        kept_until,
        count_body_bytes(tracked.answer),
    )
