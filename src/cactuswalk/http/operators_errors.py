"""Errors of the operators' interface."""

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
    """The request has no valid operator token."""

    code = "unauthorized"
    status = 401
    exit_code = 7


class ObjectNotFoundError(CactuswalkError):
    """The object does not exist."""

    code = "not_found"
    status = 404
    exit_code = 3


class MissingPreconditionError(UsageError):
    """A change has no precondition with the revision that it is based on."""

    code = "precondition_required"
    status = 428


class ConflictError(CactuswalkError):
    """The object was changed first; this change was not and will not be written.

    :param revision: current revision of the object, 0 if there is none.
    :param who: operator who made the other change.
    :param at_ms: wall clock of the other change, for display only.
    """

    code = "conflict"
    status = 412
    exit_code = 4

    def __init__(self, message: str, revision: int, who: str, at_ms: int) -> None:
        super().__init__(
            message,
            "Read the object again, check the other change, and repeat yours based "
            "on the new revision.",
        )
        self.revision = revision
        self.who = who
        self.at_ms = at_ms


class ServiceUnavailableError(CactuswalkError):
    """The key-value service does not answer; nothing was written."""

    code = "not_written"
    status = 503
    exit_code = 5


class ServiceRolledBackError(ServiceUnavailableError):
    """The key-value service has lost changes that are in force.

    :param held_revision: revision that the nodes hold.
    :param service_revision: revision of the service, lower than the former.
    :param written: the change was written before the loss was noticed.
    """

    code = "service_went_back"

    def __init__(
        self, held_revision: int, service_revision: int, written: bool
    ) -> None:
        what = "The change was written but" if written else "Nothing was written;"
        super().__init__(
            f"the key-value service is at revision {service_revision}, but the nodes "
            f"hold revision {held_revision}",
            f"{what} nodes reject lower revisions. Restore the service from a "
            f"backup with its revision raised above {held_revision}, then apply again.",
        )


class OutcomeUnknownError(CactuswalkError):
    """The write was sent, but it is not known whether it took effect."""

    code = "outcome_unknown"
    status = 503
    exit_code = 6

    def __init__(self, key: str, write_id: str) -> None:
        super().__init__(
            f"the write {write_id} of {key} may or may not have taken effect",
            "Repeat the same change with the same write id: it is made at most "
            "once, and a write that took effect is recognised.",
        )
        self.write_id = write_id


class UnreadableValueError(CactuswalkError):
    """The value under the object's key is not a valid object."""

    code = "unreadable_value"
    status = 500
