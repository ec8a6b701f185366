"""Label selectors, which restrict the workers that may run a job.

A selector is a list of requirements joined by commas, all of which must be met:
``tier=gold``, ``tier==gold``, ``tier!=gold``, ``rack in (r1, r2)``,
``rack notin (r1)``, ``gpu`` (the label exists) and ``!gpu`` (it does not).
``!=`` and ``notin`` are also met if the label is missing. An empty text selects
everything.
"""

import enum
import functools
import re

import msgspec

from cactuswalk.errors import UsageError
from cactuswalk.model.worker import Announcement

__all__ = [
    "Operator",
    "Requirement",
    "Selector",
    "SelectorError",
    "matches",
    "parse_selector",
    "worker_labels",
]

# The jobs of a service share a few selectors; the bound is for callers that send a
# new one each time, which would otherwise grow the cache without limit.
MAX_CACHED_SELECTORS = 1024

TOKEN = re.compile(r"\s*(==|!=|=|!|\(|\)|,|[^\W_][\w./-]*)")
WORD = re.compile(r"[^\W_]")


class SelectorError(UsageError):
    """A selector is invalid; the message points at the character."""

    code = "selector"

    def __init__(self, text: str, position: int, expected: str) -> None:
        found = repr(text[position]) if position < len(text) else "the end"
        super().__init__(
            f"selector {text!r}: expected {expected} at character "
            f"{position + 1}, found {found}\n  {text}\n  {' ' * position}^",
            "Write requirements as a=b, a!=b, a in (b,c), a notin (b,c), a or !a, "
            "joined by commas.",
        )
        self.position = position


class Operator(enum.StrEnum):
    """Operator of a requirement."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    MISSING = "missing"


class Requirement(msgspec.Struct, frozen=True):
    """A condition on one label; equality is ``IN`` with one value."""

    label: str
    operator: Operator
    values: tuple[str, ...] = ()

    def is_met_by(self, labels: dict[str, str]) -> bool:
        """Return whether the labels meet this requirement."""
        value = labels.get(self.label)
        match self.operator:
            case Operator.IN:
                return value in self.values
            case Operator.NOT_IN:
                return value not in self.values
            case Operator.EXISTS:
                return value is not None
            case Operator.MISSING:
                return value is None


class Selector(msgspec.Struct, frozen=True):
    """Requirements that must all be met."""

    requirements: tuple[Requirement, ...] = ()


class Token(msgspec.Struct, frozen=True):
    """A word or a symbol, and the position of its first character."""

    text: str
    position: int

    @property
    def is_word(self) -> bool:
        """Return whether this is a label or a value rather than a symbol."""
        return WORD.match(self.text) is not None


class TokenReader:
    """Reads the tokens of one selector from left to right."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.tokens = tokenize(text)
        self.next_index = 0

    def peek(self) -> Token:
        """Return the next token without consuming it; its text is empty at the end."""
        if self.next_index < len(self.tokens):
            return self.tokens[self.next_index]
        return Token("", len(self.text))

    def read_token(self) -> Token:
        """Consume the next token and return it."""
        token = self.peek()
        self.next_index += 1
        return token

    def read_word(self, expected: str) -> str:
        """Consume the next token and return its text, or raise if it is no word."""
        token = self.peek()
        if not token.is_word:
            raise SelectorError(self.text, token.position, expected)
        return self.read_token().text

    def read_symbol(self, *symbols: str) -> str:
        """Consume the next token and return it, or raise if it is no such symbol."""
        token = self.peek()
        if token.text not in symbols:
            expected = " or ".join(repr(symbol) for symbol in symbols)
            raise SelectorError(self.text, token.position, expected)
        return self.read_token().text


def tokenize(text: str) -> list[Token]:
    """Return the tokens of a selector, or raise at the first invalid character."""
    tokens = []
    position = 0
    end = len(text.rstrip())
    while position < end:
        found = TOKEN.match(text, position)
        if found is None:
            error_position = (
                position + len(text[position:]) - len(text[position:].lstrip())
            )
            raise SelectorError(text, error_position, "a label, a value or a symbol")
        tokens.append(Token(found.group(1), found.start(1)))
        position = found.end()
    return tokens


@functools.lru_cache(MAX_CACHED_SELECTORS)
def parse_selector(text: str) -> Selector:
    """Parse the text of a selector.

    :raises SelectorError: with the position of the first character that does
        not fit the grammar.
    """
    reader = TokenReader(text)
    if not reader.tokens:
        return Selector()
    requirements = [read_requirement(reader)]
    while reader.peek().text:
        reader.read_symbol(",")
        requirements.append(read_requirement(reader))
    return Selector(tuple(requirements))


def read_requirement(reader: TokenReader) -> Requirement:
    """Parse the next requirement."""
    if reader.peek().text == "!":
        reader.read_token()
        return Requirement(reader.read_word("a label"), Operator.MISSING)
    label = reader.read_word("a label or '!'")
    token = reader.peek()
    if token.text in ("", ","):
        return Requirement(label, Operator.EXISTS)
    if token.text in ("in", "notin"):
        reader.read_token()
        return Requirement(label, Operator(token.text), read_values(reader))
    if token.text not in ("=", "==", "!="):
        expected = "'=', '!=', 'in', 'notin' or ','"
        raise SelectorError(reader.text, token.position, expected)
    reader.read_token()
    operator = Operator.NOT_IN if token.text == "!=" else Operator.IN
    return Requirement(label, operator, (reader.read_word("a value"),))


def read_values(reader: TokenReader) -> tuple[str, ...]:
    """Parse a list of values in parentheses."""
    reader.read_symbol("(")
    values = [reader.read_word("a value")]
    while reader.read_symbol(",", ")") == ",":
        values.append(reader.read_word("a value"))
    return tuple(values)


def matches(selector: Selector, labels: dict[str, str]) -> bool:
    """Return whether labels meet all requirements of a selector."""
    return all(requirement.is_met_by(labels) for requirement in selector.requirements)


def worker_labels(announcement: Announcement) -> dict[str, str]:
    """Return a worker's labels, including its name, service and location.

    The announced location overrides a label of the same name: a worker must not be
    able to claim by a label that it is in another rack.
    """
    return announcement.labels | {
        "worker": announcement.worker,
        "service": announcement.service,
        "data-centre": announcement.data_centre,
        "rack": announcement.rack,
    }
