"""Frames between processes: MessagePack, checked when it comes back.

A frame is one envelope: everything that one turn of the sender's loop had for one
receiver. Sending a frame costs far more than encoding one more message into it.
"""

import msgspec

from cactuswalk.errors import MalformedMessageError

__all__ = ["FrameCodec"]


class FrameCodec:
    """Encodes and decodes the envelopes of one family of messages.

    :param envelope: a struct of the sender's address and its messages in order.
    """

    def __init__(self, envelope: type) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(envelope)

    def encode(self, envelope: msgspec.Struct) -> bytes:
        """Return the frame for an envelope."""
        return self.encoder.encode(envelope)

    def decode(self, frame: bytes) -> msgspec.Struct:
        """Return the envelope in a frame.

        :raises MalformedMessageError: if the frame is no envelope of this version.
        """
        try:
            return self.decoder.decode(frame)
        except msgspec.MsgspecError as error:
            raise MalformedMessageError(
                f"a frame of {len(frame)} bytes is no envelope: {error}",
                "Run the same version of Cactuswalk on both hosts.",
            ) from error
