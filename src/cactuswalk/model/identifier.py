"""Identifiers: minted ones carry their birth, and digests bind bodies to them."""

import hashlib
import random
import uuid

__all__ = ["birth_ms", "digest", "mint", "submission_name"]

# Sixteen bytes keep accidental collisions out of reach (2**-64 at 2**32 ids).
DIGEST_BYTES = 16


def mint(now_ms: int, generator: random.Random) -> str:
    """Return a UUID version 7 (RFC 9562) that was born at ``now_ms``.

    :param now_ms: wall clock in milliseconds since the Unix epoch.
    :param generator: source of the random bits.
    """
    bits = generator.getrandbits(74)
    high, low = bits >> 62, bits & ((1 << 62) - 1)
    value = (now_ms & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=value))


def birth_ms(identifier: str) -> int | None:
    """Return the birth time in an identifier, None if it carries none."""
    try:
        value = uuid.UUID(identifier)
    except ValueError:
        return None
    if value.version != 7 or value.variant != uuid.RFC_4122:
        return None
    return value.int >> 80


def submission_name(team: str, key: str) -> str:
    """Return the name of a submission: teams can't meet in one key."""
    return f"{team}/{key}"


def digest(*parts: bytes) -> bytes:
    """Return a digest of some byte strings, their borders included."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
