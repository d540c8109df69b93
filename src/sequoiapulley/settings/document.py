"""JSON with comments: decoding, and findings placed by line and column."""

from __future__ import annotations

import json
import re
from bisect import bisect_right
from typing import Final

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.settings._placed_json import Path, offset_of, read_placed, repeated_keys
from sequoiapulley.settings.finding import Finding

_STRING: Final = r'"(?:[^"\\\n]++|\\.)*+"?'
_COMMENT: Final = r"//[^\n]*+|/\*(?s:.*?)(?:\*/|\Z)"
_BLANKED: Final = re.compile(
    # Runs over whatever stays as it is, in one go.
    rf'(?:[^"/,]++|{_STRING}|,(?!\s*+[}}\]/]))*+'
    rf"(?:(?P<comment>{_COMMENT})|(?P<comma>,(?=(?:\s++|{_COMMENT})*+[}}\]]))|[,/]|\Z)"
)
_NOT_NEWLINE: Final = re.compile(r"[^\n]")
MOST_FINDINGS: Final = 500
_LONGEST_INT: Final = 18
"""Digits; longer numbers are read as floats."""


class Problem(Struct, frozen=True):
    """One fault of a document before it is placed."""

    path: Path
    """Keys and indices that lead to the value."""
    message: str
    at_key: bool = False
    """Whether the key rather than the value is at fault."""


class Document(Struct, frozen=True):
    """A decoded text."""

    file: str
    text: str
    """The text with comments and trailing commas blanked, offsets kept."""
    value: object
    has_repeated_keys: bool

    def place(self, problems: list[Problem]) -> tuple[Finding, ...]:
        """Places the problems of this document, and its repeated keys, in the order of the text.

        Args:
            problems: What the check found.

        Returns:
            The findings; none if there are no problems and no repeated keys.
        """
        if not problems and not self.has_repeated_keys:
            return ()
        root = read_placed(self.text)
        lines = _LineIndex(self.text, self.file)
        findings = [
            lines.finding(offset_of(root, problem.path, self.text, problem.at_key), problem.message)
            for problem in problems
        ]
        for offset, key in repeated_keys(root, self.text):
            findings.append(lines.finding(offset, f'key "{key}" stands twice'))
        return _shorten(sorted(set(findings)))


def _shorten(findings: list[Finding]) -> tuple[Finding, ...]:
    """Replaces what exceeds `MOST_FINDINGS` by its number."""
    if len(findings) <= MOST_FINDINGS:
        return tuple(findings)
    rest = findings[MOST_FINDINGS]
    message = f"{len(findings) - MOST_FINDINGS} more findings from here on"
    return (*findings[:MOST_FINDINGS], Finding(rest.file, rest.line, rest.column, message))


class _LineIndex:
    """Turns offsets into lines and columns."""

    def __init__(self, text: str, file: str) -> None:
        self._file = file
        self._starts = [0, *(match.end() for match in re.finditer("\n", text))]

    def finding(self, offset: int, message: str) -> Finding:
        """Builds a finding at an offset."""
        line = bisect_right(self._starts, offset)
        return Finding(self._file, line, offset - self._starts[line - 1] + 1, message)


def read_document(text: str, file: str) -> Result[Document, tuple[Finding, ...]]:
    """Decodes JSON with comments and trailing commas.

    Args:
        text: The whole text.
        file: Name for findings.

    Returns:
        The document, or the one syntax error that stopped the decoder.
    """
    blanked = blank_comments(text, file)
    if isinstance(blanked, Err):
        return blanked
    return decode_blanked(blanked.ok_value, file)


def blank_comments(text: str, file: str) -> Result[str, tuple[Finding, ...]]:
    """Replaces comments and trailing commas by spaces; line ends stay where they are.

    Args:
        text: The whole text.
        file: Name for findings.

    Returns:
        A text of the same length, or the comment that is not closed.
    """
    pieces: list[str] = []
    end = 0
    for match in _BLANKED.finditer(text):
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
    """Decodes a text without comments.

    Args:
        blanked: Result of `blank_comments`.
        file: Name for findings.

    Returns:
        The document, or the one syntax error that stopped the decoder.
    """
    repeated: list[bool] = []

    def on_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        members = dict(pairs)
        if len(members) != len(pairs):
            repeated.append(True)
        return members

    try:
        value = json.loads(
            blanked, object_pairs_hook=on_object, parse_constant=_refuse, parse_int=_parse_int
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
    return Ok(Document(file, blanked, value, bool(repeated)))


class _ConstantError(Exception):
    """The text has NaN or an infinity where a value is expected."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name


def _refuse(name: str) -> object:
    raise _ConstantError(name)


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _LONGEST_INT else float(digits)
