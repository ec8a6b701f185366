"""What an operator is told when a change is not made, or may not be."""

from cactuswalk.errors import CactuswalkError, UsageError

__all__ = [
    "ConflictError",
    "MissingPreconditionError",
    "ObjectNotFoundError",
    "OutcomeUnknownError",
    "ServiceUnavailableError",
    "ServiceRolledBackError",
    "UnauthorizedError",
    "UnreadableValueError",
]


class UnauthorizedError(CactuswalkError):
    """The request carries no token that this entry knows."""

    code = "unauthorized"
    status = 401
    exit_code = 7


class ObjectNotFoundError(CactuswalkError):
    """There is no such object."""

    code = "not_found"
    status = 404
    exit_code = 3


class MissingPreconditionError(UsageError):
    """A change does not say which revision it builds on."""

    code = "precondition_required"
    status = 428


class ConflictError(CactuswalkError):
    """Another change came first; this one was not and will not be made.

    :param revision: of the object now, 0 where there is none.
    """

    code = "conflict"
    status = 412
    exit_code = 4

    def __init__(self, message: str, revision: int, who: str, at_ms: int) -> None:
        super().__init__(
            message,
            "Read the object again, look at the other change, and repeat yours on "
            "the new revision.",
        )
        self.revision = revision
        self.who = who
        self.at_ms = at_ms


class ServiceUnavailableError(CactuswalkError):
    """The key-value service gives no answer; nothing was written."""

    code = "not_written"
    status = 503
    exit_code = 5


class ServiceRolledBackError(ServiceUnavailableError):
    """The key-value service has lost changes that are in force."""

    code = "service_went_back"

    def __init__(
        self, held_revision: int, service_revision: int, written: bool
    ) -> None:
        what = "The change was written but" if written else "Nothing was written;"
        super().__init__(
            f"the key-value service is at revision {service_revision}, the nodes hold "
            f"revision {held_revision}",
            f"{what} no node takes a lower revision. Restore the service from a "
            f"copy with its revision raised above {held_revision}, then apply again.",
        )


class OutcomeUnknownError(CactuswalkError):
    """The write was sent, and whether it took effect can't be told yet."""

    code = "outcome_unknown"
    status = 503
    exit_code = 6

    def __init__(self, key: str, write_id: str) -> None:
        super().__init__(
            f"the write {write_id} of {key} may or may not have taken effect",
            "Repeat the same change with the same write id: it is made once at "
            "most, and a write that has taken effect is recognised.",
        )
        self.write_id = write_id


class UnreadableValueError(CactuswalkError):
    """The service holds something else under the object's key."""

    code = "unreadable_value"
    status = 500
