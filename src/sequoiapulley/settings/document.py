"""Decoder for JSON with comments that locates findings by line and column."""

from __future__ import annotations

import json
import re
from bisect import bisect_right
from typing import Final

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.settings._located_json import Path, duplicate_keys, offset_of, parse_located
from sequoiapulley.settings.finding import Finding

_STRING: Final = r'"(?:[^"\\\n]++|\\.)*+"?'
_COMMENT: Final = r"//[^\n]*+|/\*(?s:.*?)(?:\*/|\Z)"
_NEXT_REMOVABLE: Final = re.compile(
    # A match starts with the text to keep, up to the next candidate for removal.
    rf'(?:[^"/,]++|{_STRING}|,(?!\s*+[}}\]/]))*+'
    rf"(?:(?P<comment>{_COMMENT})|(?P<comma>,(?=(?:\s++|{_COMMENT})*+[}}\]]))|[,/]|\Z)"
)
_NOT_NEWLINE: Final = re.compile(r"[^\n]")
MAX_FINDINGS: Final = 500
_MAX_INT_DIGITS: Final = 18
"""Integers with more digits are parsed as floats, because `int` rejects very long ones."""


class Problem(Struct, frozen=True):
    """An error in a document, located by path."""

    path: Path
    """Keys and indices from the root to the value."""
    message: str
    at_key: bool = False
    """Whether the error is in the key instead of the value."""


class Document(Struct, frozen=True):
    """A decoded JSON document."""

    file: str
    text: str
    """The text, with comments and trailing commas replaced by spaces of the same length."""
    value: object
    has_duplicate_keys: bool

    def locate(self, problems: list[Problem]) -> tuple[Finding, ...]:
        """Converts problems and duplicate keys to findings with line and column, in text order.

        Args:
            problems: Problems found in this document.

        Returns:
            The findings; at most `MAX_FINDINGS` and a last one with the number of omitted findings.
        """
        if not problems and not self.has_duplicate_keys:
            return ()
        root = parse_located(self.text)
        lines = _LineIndex(self.text, self.file)
        findings = [
            lines.finding(offset_of(root, problem.path, self.text, problem.at_key), problem.message)
            for problem in problems
        ]
        for offset, key in duplicate_keys(root, self.text):
            findings.append(lines.finding(offset, f'duplicate key "{key}"'))
        return _truncate(sorted(set(findings)))


def _truncate(findings: list[Finding]) -> tuple[Finding, ...]:
    """Replaces the findings beyond `MAX_FINDINGS` by one with their number."""
    if len(findings) <= MAX_FINDINGS:
        return tuple(findings)
    first_omitted = findings[MAX_FINDINGS]
    message = f"{len(findings) - MAX_FINDINGS} more findings from this position on"
    return (
        *findings[:MAX_FINDINGS],
        Finding(first_omitted.file, first_omitted.line, first_omitted.column, message),
    )


class _LineIndex:
    """Converts offsets to lines and columns."""

    def __init__(self, text: str, file: str) -> None:
        self._file = file
        self._starts = [0, *(match.end() for match in re.finditer("\n", text))]

    def finding(self, offset: int, message: str) -> Finding:
        """Returns a finding at an offset."""
        line = bisect_right(self._starts, offset)
        return Finding(self._file, line, offset - self._starts[line - 1] + 1, message)


def read_document(text: str, file: str) -> Result[Document, tuple[Finding, ...]]:
    """Decodes JSON with comments and trailing commas.

    Args:
        text: The whole text.
        file: File name for findings.

    Returns:
        The document, or one finding for the first syntax error.
    """
    blanked = blank_comments(text, file)
    if isinstance(blanked, Err):
        return blanked
    return decode_blanked(blanked.ok_value, file)


def blank_comments(text: str, file: str) -> Result[str, tuple[Finding, ...]]:
    """Replaces comments and trailing commas by spaces, and keeps line breaks.

    Args:
        text: The whole text.
        file: File name for findings.

    Returns:
        A text of the same length, or a finding for a comment that is not closed.
    """
    pieces: list[str] = []
    end = 0
    for match in _NEXT_REMOVABLE.finditer(text):
        kind = match.lastgroup
        if kind is None:
            continue
        start = match.start(kind)
        found = text[start : match.end()]
        if kind == "comment" and found[1] == "*" and not _is_closed(found):
            return Err((_LineIndex(text, file).finding(start, "comment is not closed"),))
        pieces.append(text[end:start])
        pieces.append(" " if kind == "comma" else _NOT_NEWLINE.sub(" ", found))
        end = match.end()
    pieces.append(text[end:])
    return Ok("".join(pieces))


def _is_closed(comment: str) -> bool:
    return len(comment) >= len("/**/") and comment.endswith("*/")


def decode_blanked(blanked: str, file: str) -> Result[Document, tuple[Finding, ...]]:
    """Decodes a text whose comments and trailing commas have been replaced by spaces.

    Args:
        blanked: Result of `blank_comments`.
        file: File name for findings.

    Returns:
        The document, or one finding for the first syntax error.
    """
    duplicates: list[bool] = []

    def on_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        members = dict(pairs)
        if len(members) != len(pairs):
            duplicates.append(True)
        return members

    try:
        value = json.loads(
            blanked,
            object_pairs_hook=on_object,
            parse_constant=_reject_constant,
            parse_int=_parse_int,
        )
    except json.JSONDecodeError as exc:
        message = f"not valid JSON: {exc.msg[0].lower()}{exc.msg[1:]}"
        return Err((_LineIndex(blanked, file).finding(exc.pos, message),))
    except _ConstantError as exc:
        offset = max(blanked.find(exc.name), 0)
        message = f"not valid JSON: {exc.name} is not a number"
        return Err((_LineIndex(blanked, file).finding(offset, message),))
    except RecursionError:
        return Err((Finding(file, 1, 1, "values are nested too deeply"),))
    return Ok(Document(file, blanked, value, bool(duplicates)))


class _ConstantError(Exception):
    """Raised for the constants NaN, Infinity and -Infinity, which are not valid JSON."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name


def _reject_constant(name: str) -> object:
    raise _ConstantError(name)


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_INT_DIGITS else float(digits)
