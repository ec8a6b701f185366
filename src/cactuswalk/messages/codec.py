"""Encode batches of messages as MessagePack, and check what comes back.

A frame between two processes is one ``Envelope``: everything that one turn of
the sender's loop had for one receiver. Sending a frame costs far more than
encoding one more message into it.
"""

import msgspec

from cactuswalk.errors import MalformedMessageError
from cactuswalk.messages import cell, configuration, submission

__all__ = ["Envelope", "Message", "decode", "encode"]

Message = (
    submission.Submit
    | submission.Answer
    | submission.Cancel
    | submission.Query
    | submission.JobState
    | submission.NotOwner
    | submission.NotHeld
    | submission.Subscribe
    | submission.CellReport
    | submission.Explain
    | submission.Explained
    | cell.Join
    | cell.Leave
    | cell.Ping
    | cell.Pong
    | cell.Start
    | cell.Result
    | cell.Declined
    | cell.Probe
    | cell.Running
    | cell.Heard
    | cell.HeardReply
    | cell.Fence
    | cell.Fenced
    | cell.Witness
    | cell.Witnessed
    | cell.Adopt
    | cell.Adopted
    | cell.HandOver
    | cell.AskShare
    | cell.Ceded
    | cell.Spare
    | configuration.ConfigurationOffer
    | configuration.ConfigurationRequest
    | configuration.ConfigurationUpdate
)


class Envelope(msgspec.Struct, array_like=True):
    """One frame: the sender's address, and its messages in order."""

    sender: str
    messages: list[Message]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the frame for an envelope."""
    return _encoder.encode(envelope)


def decode(frame: bytes) -> Envelope:
    """Return the envelope in a frame.

    :raises MalformedMessageError: if the frame is no envelope of this version.
    """
    try:
        return _decoder.decode(frame)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(
            f"a frame of {len(frame)} bytes is no envelope: {error}",
            "Run the same version of Cactuswalk on both hosts.",
        ) from error
