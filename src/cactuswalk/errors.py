"""The family of errors that Cactuswalk raises, each with a code and a remedy."""

__all__ = [
    "CactuswalkError",
    "InvariantError",
    "MalformedMessageError",
    "SettingsError",
    "UsageError",
]


class CactuswalkError(Exception):
    """An error that can show itself to a person.

    :param message: what was wrong, with the value that was.
    :param remedy: what the reader can do about it, as a sentence.
    """

    code = "internal"
    exit_code = 1

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def show(self) -> str:
        """Return the text that a person reads, the remedy on its own line."""
        text = f"Error [{self.code}]: {self.message}"
        return f"{text}\n  Remedy: {self.remedy}" if self.remedy else text


class UsageError(CactuswalkError):
    """A person gave something that can't be acted on."""

    code = "usage"
    exit_code = 2


class SettingsError(UsageError):
    """One or more settings are wrong; every mistake stands in the message."""

    code = "settings"


class MalformedMessageError(CactuswalkError):
    """Bytes from another process that are no message of this version."""

    code = "malformed_message"


class InvariantError(CactuswalkError):
    """A promise of the product would be broken by going on.

    The part that raises it stops serving; it is counted and never passed over.
    """

    code = "invariant_violated"
