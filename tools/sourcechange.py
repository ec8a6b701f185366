"""A change of one source file that takes something away, to see what is lost."""

from pathlib import Path

import msgspec

from cactuswalk.errors import CactuswalkError

__all__ = ["ROOT", "SourceChange", "StaleChangeError"]

ROOT = Path(__file__).resolve().parent.parent


class StaleChangeError(CactuswalkError):
    """A change's text no longer stands in the source exactly once."""

    code = "stale_change"


class SourceChange(msgspec.Struct):
    """What is taken away, and how: ``old`` becomes ``new`` in a file of the tree."""

    name: str
    path: str
    old: str
    new: str

    def changed_text(self, root: Path = ROOT) -> str:
        """Return the text of the file with the change made.

        :raises StaleChangeError: if the text isn't found. Passed over, unchanged
            source would be tried, and would prove nothing.
        """
        text = (root / self.path).read_text(encoding="utf-8")
        found = text.count(self.old)
        if found != 1:
            raise StaleChangeError(
                f"{self.name}: its text stands {found} times in {self.path}",
                "Bring the text of the change up to date, where tools/ lists it.",
            )
        return text.replace(self.old, self.new)

    def apply(self, root: Path) -> None:
        """Make the change in a copy of the tree."""
        (root / self.path).write_text(self.changed_text(root), encoding="utf-8")
