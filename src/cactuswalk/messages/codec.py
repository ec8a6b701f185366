"""Encoding of the messages of the cells' processes into frames."""

import msgspec

from cactuswalk.frames import FrameCodec
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
    | submission.Explanation
    | cell.Join
    | cell.Leave
    | cell.Ping
    | cell.Pong
    | cell.Start
    | cell.Result
    | cell.Declined
    | cell.Probe
    | cell.Running
    | cell.LastContactRequest
    | cell.LastContactReply
    | cell.Fence
    | cell.Fenced
    | cell.Witness
    | cell.Witnessed
    | cell.ReplicateRecords
    | cell.RecordsReplicated
    | cell.HandOver
    | cell.SlotRequest
    | cell.CededSlots
    | cell.SlotOffer
    | configuration.ConfigurationOffer
    | configuration.ConfigurationRequest
    | configuration.ConfigurationUpdate
)


class Envelope(msgspec.Struct, array_like=True):
    """Content of one frame: the sender's address and its messages in order."""

    sender: str
    messages: list[Message]


_codec = FrameCodec(Envelope)
encode = _codec.encode
decode = _codec.decode
