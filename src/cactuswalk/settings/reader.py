"""Read an INI file option by option and collect all mistakes in it."""

import configparser
import difflib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from cactuswalk.errors import SettingsError

__all__ = ["InvalidSettingsError", "Mistake", "Reader", "RejectedValueError"]

_REQUIRED = object()


class Mistake(msgspec.Struct, frozen=True):
    """One mistake in a settings file.

    :param key: empty if the mistake concerns the whole section.
    :param value: as in the file; empty if there is none or it is secret.
    """

    section: str
    key: str
    value: str
    reason: str
    remedy: str

    def show(self) -> str:
        """Return the mistake on one line and its remedy on another."""
        place = f"[{self.section}] {self.key}".strip()
        raw = f" = {self.value}" if self.value else ""
        return f"{place}{raw}: {self.reason}\n    Remedy: {self.remedy}"


class InvalidSettingsError(SettingsError):
    """A settings file has mistakes; ``mistakes`` holds all of them."""

    def __init__(self, path: Path, mistakes: list[Mistake]) -> None:
        lines = "".join(f"\n  {mistake.show()}" for mistake in mistakes)
        super().__init__(
            f"{path} has {len(mistakes)} mistake(s):{lines}",
            "Correct all of them; nothing has been started.",
        )
        self.path = path
        self.mistakes = mistakes


class RejectedValueError(SettingsError):
    """A converter rejected a value; the reader records it as a mistake."""


class Reader:
    """Reads the options of one settings file.

    Records the sections and options that are read, so that unknown ones are reported.

    :param path: path of the settings file.
    :ivar asked: the known options by section; None if a section may have any option.
    :raises InvalidSettingsError: if the file can't be parsed as INI.
    """

    __slots__ = ("path", "parser", "mistakes", "asked")

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.mistakes: list[Mistake] = []
        self.asked: dict[str, set[str] | None] = {}
        self.parser = self._parse()

    def allow_section(self, section: str) -> bool:
        """Allow an optional section in the file; return whether it is there."""
        self.asked.setdefault(section, set())
        return self.parser.has_section(section)

    def get(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        default: Any = _REQUIRED,
        secret: bool = False,
    ) -> Any:
        """Return the converted value of an option, or its default.

        For an invalid or missing option this records a mistake and returns the default
        (or None), so that the rest of the file is checked too.

        :param secret: whether to leave the value out of messages.
        """
        keys = self.asked.setdefault(section, set())
        if keys is not None:
            keys.add(key)
        fallback = None if default is _REQUIRED else default
        raw = self.parser.get(section, key, fallback=None)
        if raw is None:
            if default is _REQUIRED:
                self.add_mistake(
                    section, key, "", "is missing", f"Add a line '{key} = ...'."
                )
            return fallback
        try:
            return convert(raw.strip())
        except RejectedValueError as rejected:
            shown = "" if secret else raw.strip()
            self.add_mistake(section, key, shown, rejected.message, rejected.remedy)
            return fallback

    def items(self, section: str) -> list[tuple[str, str]]:
        """Return all options of a section with arbitrary option names."""
        self.asked[section] = None
        if not self.parser.has_section(section):
            return []
        return [(key, value.strip()) for key, value in self.parser.items(section)]

    def add_mistake(
        self, section: str, key: str, value: str, reason: str, remedy: str
    ) -> None:
        """Record a mistake."""
        self.mistakes.append(Mistake(section, key, value, reason, remedy))

    def raise_if_invalid(self) -> None:
        """Record unknown sections and options; raise if there are mistakes.

        Otherwise a misspelt option would silently leave a default in force.

        :raises InvalidSettingsError: lists every mistake in the file.
        """
        for section in self.parser.sections():
            if section not in self.asked:
                remedy = _suggest_remedy(section, list(self.asked), "section")
                self.add_mistake(section, "", "", "is not a known section", remedy)
                continue
            keys = self.asked[section]
            if keys is not None:
                self._add_unknown_options(section, keys)
        if self.mistakes:
            raise InvalidSettingsError(self.path, self.mistakes)

    def _add_unknown_options(self, section: str, keys: set[str]) -> None:
        for key in self.parser.options(section):
            if key not in keys:
                remedy = _suggest_remedy(key, sorted(keys), "option")
                self.add_mistake(section, key, "", "is not a known option", remedy)

    def _parse(self) -> configparser.ConfigParser:
        try:
            text = self.path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            reason = f"can't be read: {error}"
            remedy = "Give the path of a readable UTF-8 file."
            self.add_mistake("file", "", "", reason, remedy)
            raise InvalidSettingsError(self.path, self.mistakes) from error
        try:
            return _parse_ini(text, strict=True)
        except (
            configparser.DuplicateOptionError,
            configparser.DuplicateSectionError,
        ) as error:
            key = getattr(error, "option", "")
            reason = f"is given twice, again on line {error.lineno}"
            self.add_mistake(error.section, key, "", reason, "Keep one of the two.")
        except configparser.Error as error:
            self._raise_not_ini(error)
        try:
            return _parse_ini(text, strict=False)
        except configparser.Error as error:
            self._raise_not_ini(error)

    def _raise_not_ini(self, error: configparser.Error) -> None:
        """Raise for a file that is not in INI format.

        The parser's message quotes lines of the file, which may contain a secret, so
        only the line numbers are reported.
        """
        if isinstance(error, configparser.MissingSectionHeaderError):
            lines = [error.lineno]
        else:
            lines = [line for line, _ in getattr(error, "errors", [])]
        where = ", ".join(str(line) for line in lines) or "unknown"
        remedy = "Write '[section]' lines and 'key = value' lines only."
        self.add_mistake(
            "file", "", "", f"is not in INI format, see line {where}", remedy
        )
        raise InvalidSettingsError(self.path, self.mistakes) from error


def _parse_ini(text: str, strict: bool) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None, strict=strict, default_section="\0"
    )
    parser.optionxform = str
    parser.read_string(text)
    return parser


def _suggest_remedy(name: str, known: list[str], kind: str) -> str:
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"Did you mean '{close[0]}'? Otherwise remove the {kind}."
    return f"Remove the {kind}."
