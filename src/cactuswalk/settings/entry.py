"""Settings of ``cactuswalk-entry``."""

from pathlib import Path

import msgspec

from cactuswalk.settings.converters import (
    NAME_REMEDY,
    integer,
    is_name,
    list_of,
    message_address,
    name,
    token_digest,
)
from cactuswalk.settings.reader import Reader, RejectedValueError
from cactuswalk.settings.retention import read_retention_seconds
from cactuswalk.settings.shared import (
    CurveSettings,
    HttpSettings,
    KeyValueSettings,
    LogSettings,
    StatsdSettings,
    read_curve,
    read_http,
    read_key_value,
    read_listen,
    read_logs,
    read_peers,
    read_statsd,
)

__all__ = ["CallerIdentity", "EntrySettings", "LimitSettings", "load_entry"]

# Leaves about 7 kB for each task of a job of 140 tasks, the largest in the brief. It is
# also the size of the largest value that the platform stores.
DEFAULT_BODY_BYTES = 1 << 20

# Today's 11 workers have 88 slots. With the shortest tasks in the brief, 50 ms, they
# finish 1,760 tasks a second, so this is about one second of the best case. Requests
# that would wait longer are better refused.
DEFAULT_WAITING_REQUESTS = 2_000

# "A few last several seconds" (brief): twice five seconds.
DEFAULT_DEADLINE_MS = 10_000

# A caller that wants to wait longer sends the request again with the same key.
DEFAULT_MAX_DEADLINE_MS = 60_000


class LimitSettings(msgspec.Struct):
    """Limits on callers' requests."""

    body_bytes: int
    waiting_requests: int
    default_deadline_ms: int
    maximum_deadline_ms: int


class CallerIdentity(msgspec.Struct, frozen=True):
    """The caller and the team that a token authenticates."""

    caller: str
    team: str


class EntrySettings(msgspec.Struct):
    """Settings of an entry.

    :param address: address to which other processes send messages, ``tcp://ip:port``.
    :param listen: the address to bind, if it differs from ``address``; else empty.
    :param operators_http: None if this entry serves no operators.
    :param peers: addresses of processes to get the configuration from.
    :param callers: callers by the SHA-256 digest of their token, in hexadecimal.
    :param operators: names of operators by the SHA-256 digest of their token.
    """

    name: str
    data_centre: str
    address: str
    listen: str
    http: HttpSettings
    operators_http: HttpSettings | None
    key_value: KeyValueSettings
    peers: list[str]
    limits: LimitSettings
    retention_seconds: int
    callers: dict[str, CallerIdentity]
    operators: dict[str, str]
    curve: CurveSettings | None
    statsd: StatsdSettings | None
    logs: LogSettings


def load_entry(path: str | Path) -> EntrySettings:
    """Load the settings of an entry.

    :raises InvalidSettingsError: lists every mistake in the file.
    """
    reader = Reader(path)
    settings = EntrySettings(
        name=reader.get("process", "name", name),
        data_centre=reader.get("process", "data_centre", name),
        address=reader.get("process", "address", message_address),
        listen=read_listen(reader),
        http=read_http(reader, "http"),
        operators_http=_read_operators_http(reader),
        key_value=read_key_value(reader),
        peers=read_peers(reader),
        limits=_read_limits(reader),
        retention_seconds=read_retention_seconds(reader),
        callers=_read_callers(reader),
        operators=_read_operators(reader),
        curve=read_curve(reader),
        statsd=read_statsd(reader),
        logs=read_logs(reader),
    )
    _check_addresses(reader, settings)
    reader.raise_if_invalid()
    return settings


def _read_operators_http(reader: Reader) -> HttpSettings | None:
    if not reader.allow_section("operators_http"):
        return None
    return read_http(reader, "operators_http")


def _read_limits(reader: Reader) -> LimitSettings:
    section = "limits"
    reader.allow_section(section)
    limits = LimitSettings(
        body_bytes=reader.get(
            section, "body_bytes", integer(1, 64 << 20), DEFAULT_BODY_BYTES
        ),
        waiting_requests=reader.get(
            section, "waiting_requests", integer(1, 100_000), DEFAULT_WAITING_REQUESTS
        ),
        default_deadline_ms=reader.get(
            section, "default_deadline_ms", integer(1, 3_600_000), DEFAULT_DEADLINE_MS
        ),
        maximum_deadline_ms=reader.get(
            section,
            "maximum_deadline_ms",
            integer(1, 3_600_000),
            DEFAULT_MAX_DEADLINE_MS,
        ),
    )
    if limits.default_deadline_ms > limits.maximum_deadline_ms:
        reader.add_mistake(
            section,
            "default_deadline_ms",
            str(limits.default_deadline_ms),
            f"is above maximum_deadline_ms ({limits.maximum_deadline_ms})",
            "Lower the default or raise the maximum.",
        )
    return limits


def _read_callers(reader: Reader) -> dict[str, CallerIdentity]:
    """Read ``caller = team, digest, ...``; two digests allow a token rotation."""
    section = "callers"
    callers: dict[str, CallerIdentity] = {}
    lines = reader.items(section)
    if not lines:
        remedy = "Add a line 'CALLER = TEAM, SHA256-OF-TOKEN' for each caller."
        reader.add_mistake(section, "", "", "lists no caller", remedy)
    for caller, raw in lines:
        team, _, digests = raw.partition(",")
        team = team.strip()
        if not is_name(caller) or not is_name(team):
            reason = "is not a caller with its team"
            remedy = f"Write 'CALLER = TEAM, SHA256'. {NAME_REMEDY}"
            reader.add_mistake(section, caller, "", reason, remedy)
            continue
        for digest in _read_digests(reader, section, caller, digests):
            _check_not_repeated(reader, section, caller, callers, digest)
            callers.setdefault(digest, CallerIdentity(caller, team))
    return callers


def _read_operators(reader: Reader) -> dict[str, str]:
    """Read ``operator = digest, ...``."""
    section = "operators"
    operators: dict[str, str] = {}
    lines = reader.items(section)
    if reader.parser.has_section("operators_http") and not lines:
        remedy = "Add a line 'OPERATOR = SHA256-OF-TOKEN' for each operator."
        reader.add_mistake(section, "", "", "lists no operator", remedy)
    for operator, raw in lines:
        if not is_name(operator):
            reader.add_mistake(
                section, operator, "", "is not a valid name", NAME_REMEDY
            )
            continue
        for digest in _read_digests(reader, section, operator, raw):
            _check_not_repeated(reader, section, operator, operators, digest)
            operators.setdefault(digest, operator)
    return operators


def _read_digests(reader: Reader, section: str, key: str, raw: str) -> list[str]:
    # A token entered by mistake instead of its digest must not appear in a log.
    try:
        digests = list_of(token_digest)(raw)
    except RejectedValueError as rejected:
        reader.add_mistake(section, key, "", rejected.message, rejected.remedy)
        return []
    if not digests:
        remedy = "Give the SHA-256 of the token: printf %s TOKEN | sha256sum."
        reader.add_mistake(section, key, "", "has no token digest", remedy)
    return digests


def _check_not_repeated(
    reader: Reader, section: str, key: str, by_digest: dict, digest: str
) -> None:
    if digest in by_digest:
        remedy = "Give each a token of its own; a shared one can't tell them apart."
        reader.add_mistake(
            section, key, "", "has the same token as another one", remedy
        )


def _check_addresses(reader: Reader, settings: EntrySettings) -> None:
    operators = settings.operators_http
    if operators is None or not operators.port:
        return
    if (operators.host, operators.port) == (settings.http.host, settings.http.port):
        remedy = "Give callers and operators different ports."
        reader.add_mistake(
            "operators_http",
            "port",
            str(operators.port),
            "is already used for callers",
            remedy,
        )
