"""Errors of calls to the platform's stores, with a remedy for the operator."""

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
    """Base class of this package's errors."""

    code = "platform"


class CallFailedError(PlatformError):
    """A call got no usable response; it may have taken effect nevertheless.

    :param sent: False only if it is certain that nothing was sent.
    :param timed_out: no response came before the timeout.
    """

    code = "platform_call_failed"

    def __init__(self, message: str, sent: bool, timed_out: bool = False) -> None:
        super().__init__(
            message,
            "Check that the key-value service runs and can be reached from this"
            " host; running work continues without it, changes wait.",
        )
        self.sent = sent
        self.timed_out = timed_out


class CallRefusedError(PlatformError):
    """The service refused a call, which has had no effect.

    :param status: HTTP status.
    :param reason: gRPC status code, 0 if there was none.
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
    """The service was not available before the caller's deadline."""

    code = "platform_unavailable"


class RevisionWentBackError(PlatformError):
    """The service returned a lower revision than it has returned before."""

    code = "platform_revision_went_back"


class ValueTooLargeError(PlatformError):
    """A value is larger than the service's limit."""

    code = "platform_value_too_large"


class WriteIdMissingError(PlatformError):
    """A value does not contain the id of its write."""

    code = "platform_write_id_missing"


class HistoryCompactedError(PlatformError):
    """The service has compacted the requested history."""

    code = "platform_history_compacted"


class LeaseLapsedError(PlatformError):
    """The lease has ended; another process may hold what it protected."""

    code = "platform_lease_lapsed"
