"""Output of results and errors, as text or as one JSON document."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from difflib import unified_diff

from msgspec import json

from sequoiapulley.cli.exit_code import CliError


def print_json(message: object) -> None:
    """Prints one JSON document on standard output."""
    print(json.format(json.encode(message, enc_hook=str)).decode())


def print_error(error: CliError, as_json: bool) -> None:
    """Prints an error and its remedy on standard error."""
    if as_json:
        detail = {"code": error.code.name.lower(), "message": error.message}
        document = {"error": {**detail, "remedy": error.remedy}}
        print(json.encode(document).decode(), file=sys.stderr)
        return
    print(f"error: {error.message}\n{error.remedy}", file=sys.stderr)


def format_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Formats a table with aligned columns.

    Args:
        headings: Heading of each column.
        rows: Cells of each row, one per column.

    Returns:
        Lines joined by newlines.
    """
    cells = [list(headings), *(list(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_difference(before: str, after: str, before_name: str, after_name: str) -> str:
    """Returns a unified diff of two texts, empty if they are equal."""
    lines = unified_diff(
        before.splitlines(), after.splitlines(), before_name, after_name, lineterm=""
    )
    return "\n".join(lines)
