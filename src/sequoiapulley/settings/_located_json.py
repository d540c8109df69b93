"""JSON parser that records the offset of every value, used to locate findings.

It is slower than the standard decoder, and used only for texts that have findings.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from json.decoder import JSONArray, JSONDecoder, JSONObject  # type: ignore[attr-defined]
from json.scanner import py_make_scanner  # type: ignore[attr-defined]
from typing import Any, Final

Path = tuple[str | int, ...]
"""Keys and indices from the root to a value."""

_SPACE: Final = " \t\r\n"


class LocatedValue:
    """A value and its start offset."""

    __slots__ = ("start", "value")

    def __init__(self, value: object, start: int) -> None:
        """Initialise the value.

        Args:
            value: A scalar, a list of `LocatedValue`, or `Members`.
            start: Offset of the value in the text.
        """
        self.value = value
        self.start = start


class Members:
    """The members of a JSON object, in text order, including duplicate keys."""

    __slots__ = ("_by_key", "pairs")

    def __init__(self, pairs: list[tuple[str, LocatedValue]]) -> None:
        """Initialise the members.

        Args:
            pairs: Key and value of each member.
        """
        self.pairs = pairs
        self._by_key = dict(pairs)

    def find(self, key: str) -> LocatedValue | None:
        """Returns the last value of a key, which is the one that a JSON decoder keeps."""
        return self._by_key.get(key)


def parse_located(text: str) -> LocatedValue:
    """Parses a text that the standard decoder has already accepted.

    Args:
        text: Strict JSON, without comments and trailing commas.

    Returns:
        The root value; it and all nested values have their offsets.
    """
    # Only the offsets of scalars are used. Unlike `int`, `float` accepts integers of any length.
    decoder: Any = JSONDecoder(parse_constant=lambda name: name, parse_int=float)
    decoder.parse_object = _parse_object
    decoder.parse_array = _parse_array
    scan = py_make_scanner(decoder)
    start = _skip_space(text, 0)
    value, _ = scan(text, start)
    return LocatedValue(value, start)


def offset_of(root: LocatedValue, path: Path, text: str, at_key: bool) -> int:
    """Returns the start offset of a value or of its key.

    Args:
        root: The parsed root value.
        path: Path to the value. If no value exists there, the innermost existing value on the
            path is used.
        text: The text that `root` was read from.
        at_key: Whether to return the offset of the key instead of the value.

    Returns:
        The offset in the text.
    """
    located = root
    in_object = False
    for step in path:
        found = _child(located, step)
        if found is None:
            return located.start
        in_object = isinstance(step, str)
        located = found
    return _key_before(text, located.start) if at_key and in_object else located.start


def duplicate_keys(root: LocatedValue, text: str) -> Iterator[tuple[int, str]]:
    """Finds all duplicate keys of objects.

    Args:
        root: The parsed root value.
        text: The text that `root` was read from.

    Yields:
        Offset and name of each repeated occurrence.
    """
    pending = [root]
    for located in pending:
        if isinstance(located.value, list):
            pending.extend(located.value)
            continue
        if not isinstance(located.value, Members):
            continue
        seen: set[str] = set()
        for key, value in located.value.pairs:
            if key in seen:
                yield _key_before(text, value.start), key
            seen.add(key)
            pending.append(value)


def _child(located: LocatedValue, step: str | int) -> LocatedValue | None:
    value = located.value
    if isinstance(value, Members) and isinstance(step, str):
        return value.find(step)
    if isinstance(value, list) and isinstance(step, int) and step < len(value):
        found = value[step]
        return found if isinstance(found, LocatedValue) else None
    return None


def _skip_space(text: str, start: int) -> int:
    while start < len(text) and text[start] in _SPACE:
        start += 1
    return start


def _key_before(text: str, start: int) -> int:
    """Returns the offset of the key whose value starts at `start`."""
    end = start - 1
    while text[end] in _SPACE or text[end] == ":":
        end -= 1
    begin = end - 1
    while text[begin] != '"' or _is_escaped(text, begin):
        begin -= 1
    return begin


def _is_escaped(text: str, at: int) -> bool:
    backslashes = 0
    while text[at - 1 - backslashes] == "\\":
        backslashes += 1
    return backslashes % 2 == 1


def _with_start(scan: Callable[[str, int], tuple[Any, int]]) -> Any:
    def scan_located(text: str, start: int) -> tuple[LocatedValue, int]:
        value, end = scan(text, start)
        return LocatedValue(value, start), end

    return scan_located


def _parse_object(
    at: tuple[str, int], strict: bool, scan: Any, _hook: Any, _pairs_hook: Any, memo: Any = None
) -> Any:
    return JSONObject(at, strict, _with_start(scan), None, Members, memo)


def _parse_array(at: tuple[str, int], scan: Any) -> Any:
    return JSONArray(at, _with_start(scan))
