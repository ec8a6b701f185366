"""Base classes of the errors that Cactuswalk raises, with a code and a remedy."""

__all__ = [
    "CactuswalkError",
    "InvariantError",
    "MalformedMessageError",
    "SettingsError",
    "UsageError",
]


class CactuswalkError(Exception):
    """Base class of errors that are reported to users.

    :param message: what is wrong, including the wrong value.
    :param remedy: a sentence that tells the user how to correct it.
    """

    code = "internal"
    exit_code = 1

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def show(self) -> str:
        """Return the message for the user, with the remedy on its own line."""
        text = f"Error [{self.code}]: {self.message}"
        return f"{text}\n  Remedy: {self.remedy}" if self.remedy else text


class UsageError(CactuswalkError):
    """Invalid input from a user."""

    code = "usage"
    exit_code = 2


class SettingsError(UsageError):
    """One or more settings are invalid; the message lists every mistake."""

    code = "settings"


class MalformedMessageError(CactuswalkError):
    """Bytes from another process that don't decode as a message of this version."""

    code = "malformed_message"


class InvariantError(CactuswalkError):
    """Continuing would violate a guarantee of the product.

    The process that raises it counts the error and stops; it is never ignored.
    """

    code = "invariant_violated"
