"""What can go wrong with the platform's key-value service, for a person."""

from cactuswalk.errors import CactuswalkError

__all__ = [
    "CallFailedError",
    "CallRefusedError",
    "HistoryCompactedError",
    "LeaseLapsedError",
    "PlatformError",
    "RevisionWentBackError",
    "UnavailableError",
    "ValueTooLargeError",
    "WriteIdMissingError",
]


class PlatformError(CactuswalkError):
    """The root of this package's errors."""

    code = "platform"


class CallFailedError(PlatformError):
    """A call got no usable answer; it may have taken effect all the same.

    :param sent: False only where it is certain that nothing was sent.
    :param timed_out: no answer came within the time-out.
    """

    code = "platform_call_failed"

    def __init__(self, message: str, sent: bool, timed_out: bool = False) -> None:
        super().__init__(
            message,
            "Check that the key-value service runs and can be reached from this"
            " host; work goes on without it, changes wait.",
        )
        self.sent = sent
        self.timed_out = timed_out


class CallRefusedError(PlatformError):
    """The service answered that it will not do this; it has not done it.

    :param status: of HTTP.
    :param reason: gRPC's code, 0 if there was none.
    """

    code = "platform_call_refused"

    def __init__(self, message: str, status: int, reason: int) -> None:
        super().__init__(
            f"the key-value service refused a call ({status}): {message}",
            "Check the token, the prefix and its rights in the settings.",
        )
        self.status = status
        self.reason = reason


class UnavailableError(PlatformError):
    """The service gave no answer for as long as the caller could wait."""

    code = "platform_unavailable"


class RevisionWentBackError(PlatformError):
    """The service answered from an older state than it has shown before."""

    code = "platform_revision_went_back"


class ValueTooLargeError(PlatformError):
    """A value is larger than the service holds."""

    code = "platform_value_too_large"


class WriteIdMissingError(PlatformError):
    """A value lacks the write id that names its write."""

    code = "platform_write_id_missing"


class HistoryCompactedError(PlatformError):
    """The service has dropped the history that was asked for."""

    code = "platform_history_compacted"


class LeaseLapsedError(PlatformError):
    """The lease has ended; whatever it stood for may be another's by now."""

    code = "platform_lease_lapsed"
