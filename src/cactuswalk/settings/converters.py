"""Converters from the text of an option to its value.

A converter raises ``RejectedValueError``, with a remedy, for a value that it can't
convert.
"""

import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

from cactuswalk.settings.reader import RejectedValueError

__all__ = [
    "NAME_REMEDY",
    "list_of",
    "existing_file",
    "ip_address",
    "is_name",
    "loopback_address",
    "message_address",
    "name",
    "integer",
    "one_of",
    "peer_address",
    "switch",
    "non_empty_text",
    "token_digest",
    "url",
    "z85_key",
]

# Names are parts of metric names, log lines and keys of the key-value service, so
# they contain no separator of these: no dot, slash, colon or white space.
_NAME = re.compile(r"[^\W_][\w-]{0,62}")
NAME_REMEDY = "Use up to 63 letters, digits, '-' and '_', a letter or digit first."

_Z85 = re.compile(r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
_CURVE_HEX = re.compile(r"[0-9a-f]{64}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def non_empty_text(raw: str) -> str:
    """Accept any non-empty text."""
    if not raw:
        raise RejectedValueError("is empty", "Give a value or remove the line.")
    return raw


def switch(raw: str) -> bool:
    """Accept ``on`` or ``off``."""
    if raw not in ("on", "off"):
        raise RejectedValueError("is not a switch", "Write 'on' or 'off'.")
    return raw == "on"


def is_name(raw: str) -> bool:
    """Return whether a text is a valid name."""
    return _NAME.fullmatch(raw) is not None


def name(raw: str) -> str:
    """Accept a valid name."""
    if not is_name(raw):
        raise RejectedValueError("is not a valid name", NAME_REMEDY)
    return raw


def integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a converter for whole numbers in a range, bounds included."""

    def convert(raw: str) -> int:
        remedy = f"Give a whole number from {minimum} to {maximum}."
        if not re.fullmatch(r"-?[0-9]{1,18}", raw):
            raise RejectedValueError("is not a whole number", remedy)
        value = int(raw)
        if not minimum <= value <= maximum:
            raise RejectedValueError("is out of range", remedy)
        return value

    return convert


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a converter that accepts one of the given words."""

    def convert(raw: str) -> str:
        if raw not in choices:
            raise RejectedValueError(
                "is not an allowed value", f"Give one of: {', '.join(choices)}."
            )
        return raw

    return convert


def list_of(convert: Callable[[str], str]) -> Callable[[str], list[str]]:
    """Return a converter for lists separated by commas or white space."""

    def convert_all(raw: str) -> list[str]:
        return [convert(part) for part in re.split(r"[,\s]+", raw) if part]

    return convert_all


def ip_address(raw: str) -> str:
    """Accept an IP address; host names are not resolved."""
    try:
        return str(ipaddress.ip_address(raw))
    except ValueError:
        remedy = "Give an IP address such as 127.0.0.1; host names are not resolved."
        raise RejectedValueError("is not an IP address", remedy) from None


def loopback_address(raw: str) -> str:
    """Accept a loopback address."""
    address = ip_address(raw)
    if not ipaddress.ip_address(address).is_loopback:
        remedy = "Give 127.0.0.1: only the upstream on this host may announce itself."
        raise RejectedValueError("is not a loopback address", remedy)
    return address


def message_address(raw: str) -> str:
    """Accept ``tcp://ip:port`` as other processes can reach it."""
    remedy = "Write tcp://IP:PORT, such as tcp://10.1.0.4:7000, with a port above 0."
    try:
        parts = urlsplit(raw)
        host, port = parts.hostname, parts.port
        address = ipaddress.ip_address(host or "")
    except ValueError:
        raise RejectedValueError("is not a message address", remedy) from None
    rest = parts.path or parts.query or parts.fragment or parts.username
    if parts.scheme != "tcp" or not port or rest:
        raise RejectedValueError("is not a message address", remedy)
    if address.is_unspecified:
        remedy = "Give the IP address at which other processes reach this one."
        raise RejectedValueError("can't be reached by other processes", remedy)
    return raw


def peer_address(raw: str) -> str:
    """Accept a message address, optionally with the public key to expect there."""
    address, separator, key = raw.partition("?key=")
    if separator and not _CURVE_HEX.fullmatch(key):
        remedy = "Write tcp://IP:PORT?key=HEX, as docs/operations/settings.md shows."
        raise RejectedValueError("has no valid public key", remedy)
    message_address(address)
    return raw


def url(raw: str) -> str:
    """Accept an ``http://`` or ``https://`` URL without a path."""
    remedy = "Write http://IP:PORT or https://IP:PORT."
    try:
        parts = urlsplit(raw)
        known = parts.scheme in ("http", "https") and parts.hostname
        _ = parts.port
    except ValueError:
        known = False
    if not known or parts.path.strip("/") or parts.query or parts.fragment:
        raise RejectedValueError("is not an endpoint URL", remedy)
    return raw.rstrip("/")


def existing_file(raw: str) -> str:
    """Accept the path of a readable file."""
    try:
        with Path(raw).open("rb"):
            return raw
    except OSError as error:
        remedy = "Give the path of a file that this process may read."
        raise RejectedValueError(
            f"can't be opened ({error.strerror})", remedy
        ) from None


def token_digest(raw: str) -> str:
    """Accept the SHA-256 digest of a token in hexadecimal."""
    if not _SHA256.fullmatch(raw):
        remedy = "Give 64 hexadecimal digits: printf %s TOKEN | sha256sum."
        raise RejectedValueError("is not a SHA-256 digest of a token", remedy)
    return raw


def z85_key(raw: str) -> str:
    """Accept a CURVE key in Z85 encoding."""
    if not _Z85.fullmatch(raw):
        remedy = "Give the 40 characters that zmq.curve_keypair() returns."
        raise RejectedValueError("is not a CURVE key", remedy)
    return raw
