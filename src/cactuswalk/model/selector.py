"""Label selectors: which workers a piece of work may land on.

The grammar is the usual one: requirements joined by commas, all of which must
hold. ``tier=gold``, ``tier==gold``, ``tier!=gold``, ``rack in (r1, r2)``,
``rack notin (r1)``, ``gpu`` (the label is there) and ``!gpu`` (it is not).
``!=`` and ``notin`` also hold where the label is missing. An empty text
selects everything.
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
    "parse",
    "worker_labels",
]

# Jobs of one service share a handful of selectors; a caller that sends a new one
# each time must not make the cache grow without end.
CACHED_SELECTORS = 1024

TOKEN = re.compile(r"\s*(==|!=|=|!|\(|\)|,|[^\W_][\w./-]*)")
WORD = re.compile(r"[^\W_]")


class SelectorError(UsageError):
    """A selector can't be read; the message points at the character."""

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
    """How a requirement compares a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    MISSING = "missing"


class Requirement(msgspec.Struct, frozen=True):
    """One condition on one label; equality is ``IN`` with one value."""

    label: str
    operator: Operator
    values: tuple[str, ...] = ()

    def holds(self, labels: dict[str, str]) -> bool:
        """Return whether the labels meet this condition."""
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
    """Conditions that must all hold."""

    requirements: tuple[Requirement, ...] = ()


class Token(msgspec.Struct, frozen=True):
    """A word or a sign, and the position of its first character."""

    text: str
    position: int

    @property
    def is_word(self) -> bool:
        """Return whether this is a label or a value rather than a sign."""
        return WORD.match(self.text) is not None


class Reader:
    """Reads the tokens of one selector from left to right."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.tokens = tokenize(text)
        self.next = 0

    def peek(self) -> Token:
        """Return the next token, one with empty text at the end."""
        if self.next < len(self.tokens):
            return self.tokens[self.next]
        return Token("", len(self.text))

    def take(self) -> Token:
        """Return the next token and go past it."""
        token = self.peek()
        self.next += 1
        return token

    def word(self, expected: str) -> str:
        """Return the next token if it is a word, else raise."""
        token = self.peek()
        if not token.is_word:
            raise SelectorError(self.text, token.position, expected)
        return self.take().text

    def sign(self, *signs: str) -> str:
        """Return the next token if it is one of the signs, else raise."""
        token = self.peek()
        if token.text not in signs:
            expected = " or ".join(repr(sign) for sign in signs)
            raise SelectorError(self.text, token.position, expected)
        return self.take().text


def tokenize(text: str) -> list[Token]:
    """Return the tokens of a selector, or raise at the first odd character."""
    tokens = []
    position = 0
    end = len(text.rstrip())
    while position < end:
        found = TOKEN.match(text, position)
        if found is None:
            odd = position + len(text[position:]) - len(text[position:].lstrip())
            raise SelectorError(text, odd, "a label, a value or a sign")
        tokens.append(Token(found.group(1), found.start(1)))
        position = found.end()
    return tokens


@functools.lru_cache(CACHED_SELECTORS)
def parse(text: str) -> Selector:
    """Return the selector that a text stands for.

    :raises SelectorError: with the position of the first character that does
        not fit the grammar.
    """
    reader = Reader(text)
    if not reader.tokens:
        return Selector()
    requirements = [read_requirement(reader)]
    while reader.peek().text:
        reader.sign(",")
        requirements.append(read_requirement(reader))
    return Selector(tuple(requirements))


def read_requirement(reader: Reader) -> Requirement:
    """Return the next requirement."""
    if reader.peek().text == "!":
        reader.take()
        return Requirement(reader.word("a label"), Operator.MISSING)
    label = reader.word("a label or '!'")
    token = reader.peek()
    if token.text in ("", ","):
        return Requirement(label, Operator.EXISTS)
    if token.text in ("in", "notin"):
        reader.take()
        return Requirement(label, Operator(token.text), read_values(reader))
    if token.text not in ("=", "==", "!="):
        expected = "'=', '!=', 'in', 'notin' or ','"
        raise SelectorError(reader.text, token.position, expected)
    reader.take()
    operator = Operator.NOT_IN if token.text == "!=" else Operator.IN
    return Requirement(label, operator, (reader.word("a value"),))


def read_values(reader: Reader) -> tuple[str, ...]:
    """Return the values of a list in brackets."""
    reader.sign("(")
    values = [reader.word("a value")]
    while reader.sign(",", ")") == ",":
        values.append(reader.word("a value"))
    return tuple(values)


def matches(selector: Selector, labels: dict[str, str]) -> bool:
    """Return whether labels meet all requirements of a selector."""
    return all(requirement.holds(labels) for requirement in selector.requirements)


def worker_labels(announcement: Announcement) -> dict[str, str]:
    """Return a worker's labels, its place among them.

    The announced place wins over a label of the same name: a worker must not
    be able to say by a label that it sits in another rack.
    """
    return announcement.labels | {
        "worker": announcement.worker,
        "service": announcement.service,
        "data-centre": announcement.data_centre,
        "rack": announcement.rack,
    }
