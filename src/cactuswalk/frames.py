"""Frames between processes: MessagePack, validated when decoded.

A frame is one envelope: all messages for one receiver from one iteration of the
sender's event loop. Sending a frame costs far more than encoding another message into
it.
"""

import msgspec

from cactuswalk.errors import MalformedMessageError

__all__ = ["FrameCodec"]


class FrameCodec:
    """Encodes and decodes the envelopes of one set of message types.

    :param envelope: a struct with the sender's address and the messages in order.
    """

    def __init__(self, envelope: type) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(envelope)

    def encode(self, envelope: msgspec.Struct) -> bytes:
        """Return the frame for an envelope."""
        return self.encoder.encode(envelope)

    def decode(self, frame: bytes) -> msgspec.Struct:
        """Return the envelope in a frame.

        :raises MalformedMessageError: if the frame doesn't decode in this version.
        """
        try:
            return self.decoder.decode(frame)
        except msgspec.MsgspecError as error:
            raise MalformedMessageError(
                f"a frame of {len(frame)} bytes is not a valid envelope: {error}",
                "Run the same version of Cactuswalk on both hosts.",
            ) from error
