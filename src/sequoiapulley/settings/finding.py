"""One fault of a text, with its place."""

from __future__ import annotations

from msgspec import Struct


class Finding(Struct, frozen=True, order=True):
    """One fault and where it stands."""

    file: str
    line: int
    """Counted from 1."""
    column: int
    """Counted from 1."""
    message: str

    def __str__(self) -> str:
        """Returns the form that compilers use, `FILE:LINE:COLUMN: message`."""
        return f"{self.file}:{self.line}:{self.column}: {self.message}"
