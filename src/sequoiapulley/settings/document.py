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

_STRING: Final = r'"(?:[^"\\\n]|\\.)*+"?'
_COMMENT_OR_STRING: Final = re.compile(_STRING + r"|//[^\n]*|/\*(?s:.*?)(?:\*/|\Z)")
_TRAILING_COMMA_OR_STRING: Final = re.compile(_STRING + r"|,(?=\s*[}\]])")
_NOT_NEWLINE: Final = re.compile(r"[^\n]")
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
        return tuple(sorted(set(findings)))


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
    lines = _LineIndex(text, file)
    for match in _COMMENT_OR_STRING.finditer(text):
        if match[0].startswith("/*") and (len(match[0]) < 4 or not match[0].endswith("*/")):
            return Err((lines.finding(match.start(), "comment is not closed"),))
    blanked = _COMMENT_OR_STRING.sub(_blank, text)
    blanked = _TRAILING_COMMA_OR_STRING.sub(_blank, blanked)
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
        return Err((lines.finding(exc.pos, message),))
    except _ConstantError as exc:
        offset = max(blanked.find(exc.name), 0)
        return Err((lines.finding(offset, f"not valid JSON: {exc.name} is not a number"),))
    except RecursionError:
        return Err((lines.finding(0, "values are nested too deeply"),))
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


def _blank(match: re.Match[str]) -> str:
    found = match[0]
    return found if found[0] == '"' else _NOT_NEWLINE.sub(" ", found)
