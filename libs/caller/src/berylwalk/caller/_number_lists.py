"""Long lists of numbers in a body, kept as unparsed text."""

import re
from dataclasses import dataclass
from typing import Self

_WHITESPACE = b" \t\r\n"
_NON_INTEGER_MARKS = (b".", b"e", b"E")
_NUMBERS = b"0123456789.eE+-,"
_NESTED = re.compile(rb"\[\[[0-9.eE+,-]*\](?:,\[[0-9.eE+,-]*\])*\]")
_EMPTY = b"[]"
_START = re.compile(rb"\[\s*\[?\s*[-0-9\]]")


@dataclass(frozen=True, slots=True)
class NumberList:
    """A JSON list of numbers, or of lists of numbers.

    Parameters
    ----------
    text : bytes
        Valid JSON without whitespace.
    list_count : int
        Number of inner lists; 0 when the list holds the numbers itself.
    """

    text: bytes
    list_count: int

    @classmethod
    def from_json(cls, value: bytes) -> Self | None:
        """Recognize a number list in valid JSON; return None for any other value."""
        if not _START.match(value):
            return None
        text = value.translate(None, _WHITESPACE)
        brackets = text.translate(None, _NUMBERS)
        if brackets != _EMPTY and not _NESTED.fullmatch(text):
            return None
        return cls(text, len(brackets) // len(_EMPTY) - 1)

    @property
    def has_only_integers(self) -> bool:
        """Whether all numbers are integers."""
        return not any(mark in self.text for mark in _NON_INTEGER_MARKS)

    @property
    def number_count(self) -> int:
        """Number of elements of the list, or of all inner lists together."""
        commas = self.text.count(b",")
        if not self.list_count:
            return commas + 1
        filled = self.list_count - self.text.count(_EMPTY)
        return commas - (self.list_count - 1) + filled

    @property
    def numbers_text(self) -> bytes:
        """The numbers with commas between those of one list."""
        if not self.list_count:
            return self.text[1:-1]
        return self.text[2:-2].replace(b"],[", b"")
