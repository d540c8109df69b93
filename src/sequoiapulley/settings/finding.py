"""An error in a settings file or configuration text."""

from __future__ import annotations

from msgspec import Struct


class Finding(Struct, frozen=True, order=True):
    """An error message with its location."""

    file: str
    line: int
    """Counted from 1."""
    column: int
    """Counted from 1."""
    message: str

    def __str__(self) -> str:
        """Returns `FILE:LINE:COLUMN: message`, the format of compiler messages."""
        return f"{self.file}:{self.line}:{self.column}: {self.message}"
