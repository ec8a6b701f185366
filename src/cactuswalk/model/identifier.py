"""Submission identifiers, which contain their creation time, and digests."""

import hashlib
import random
import uuid

__all__ = [
    "read_creation_ms",
    "compute_digest",
    "generate_identifier",
    "format_submission_name",
]

# 16 bytes give a collision probability of about 2**-64 among 2**32 identifiers.
DIGEST_BYTES = 16


def generate_identifier(now_ms: int, generator: random.Random) -> str:
    """Return a UUID version 7 (RFC 9562) with the creation time ``now_ms``.

    :param now_ms: wall clock in milliseconds since the Unix epoch.
    :param generator: source of the random bits.
    """
    bits = generator.getrandbits(74)
    high, low = bits >> 62, bits & ((1 << 62) - 1)
    value = (now_ms & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=value))


def read_creation_ms(identifier: str) -> int | None:
    """Return the creation time in an identifier, None if it contains none."""
    try:
        value = uuid.UUID(identifier)
    except ValueError:
        return None
    if value.version != 7 or value.variant != uuid.RFC_4122:
        return None
    return value.int >> 80


def format_submission_name(team: str, key: str) -> str:
    """Return the name of a submission, in which equal keys of teams stay distinct."""
    return f"{team}/{key}"


def compute_digest(*parts: bytes) -> bytes:
    """Return a digest of byte strings that also depends on where each one ends."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
