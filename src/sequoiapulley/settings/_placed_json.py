"""A second, slower reading of a JSON text that keeps the offset of every value."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from json.decoder import JSONArray, JSONDecoder, JSONObject  # type: ignore[attr-defined]
from json.scanner import py_make_scanner  # type: ignore[attr-defined]
from typing import Any, Final

Path = tuple[str | int, ...]
"""Keys and indices that lead from the root to a value."""

_SPACE: Final = " \t\r\n"


class Placed:
    """One value and the offset at which it starts."""

    __slots__ = ("start", "value")

    def __init__(self, value: object, start: int) -> None:
        """Initialise the value.

        Args:
            value: A scalar, a list of `Placed`, or `Members`.
            start: Offset in the text.
        """
        self.value = value
        self.start = start


class Members:
    """The members of one object, in order, repeated keys included."""

    __slots__ = ("_by_key", "pairs")

    def __init__(self, pairs: list[tuple[str, Placed]]) -> None:
        """Initialise the members.

        Args:
            pairs: Key and value of each.
        """
        self.pairs = pairs
        self._by_key = dict(pairs)

    def find(self, key: str) -> Placed | None:
        """Returns the last value under a key, as a JSON decoder keeps it."""
        return self._by_key.get(key)


def read_placed(text: str) -> Placed:
    """Reads a text that the fast decoder has already accepted.

    Args:
        text: Strict JSON.

    Returns:
        The root value with the offsets of everything below it.
    """
    decoder: Any = JSONDecoder(parse_constant=lambda name: name, parse_int=float)
    decoder.parse_object = _placed_object
    decoder.parse_array = _placed_array
    scan = py_make_scanner(decoder)
    start = _skip_space(text, 0)
    value, _ = scan(text, start)
    return Placed(value, start)


def offset_of(root: Placed, path: Path, text: str, at_key: bool) -> int:
    """Finds where a value, or the key before it, starts.

    Args:
        root: The whole text.
        path: Way to the value; the part that does not exist is left out.
        text: The text that `root` was read from.
        at_key: Whether the key is meant rather than the value.

    Returns:
        An offset in the text.
    """
    placed = root
    in_object = False
    for step in path:
        found = _child(placed, step)
        if found is None:
            return placed.start
        in_object = isinstance(step, str)
        placed = found
    return _key_before(text, placed.start) if at_key and in_object else placed.start


def repeated_keys(root: Placed, text: str) -> Iterator[tuple[int, str]]:
    """Lists every key that stands twice in one object.

    Args:
        root: The whole text.
        text: The text that `root` was read from.

    Yields:
        Offset and name of each repetition.
    """
    pending = [root]
    for placed in pending:
        if isinstance(placed.value, list):
            pending.extend(placed.value)
            continue
        if not isinstance(placed.value, Members):
            continue
        seen: set[str] = set()
        for key, value in placed.value.pairs:
            if key in seen:
                yield _key_before(text, value.start), key
            seen.add(key)
            pending.append(value)


def _child(placed: Placed, step: str | int) -> Placed | None:
    value = placed.value
    if isinstance(value, Members) and isinstance(step, str):
        return value.find(step)
    if isinstance(value, list) and isinstance(step, int) and step < len(value):
        found = value[step]
        return found if isinstance(found, Placed) else None
    return None


def _skip_space(text: str, start: int) -> int:
    while start < len(text) and text[start] in _SPACE:
        start += 1
    return start


def _key_before(text: str, start: int) -> int:
    """Returns the offset of the key whose value starts at an offset."""
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


def _keep_start(scan: Callable[[str, int], tuple[Any, int]]) -> Any:
    def scan_placed(text: str, start: int) -> tuple[Placed, int]:
        value, end = scan(text, start)
        return Placed(value, start), end

    return scan_placed


def _placed_object(
    at: tuple[str, int], strict: bool, scan: Any, _hook: Any, _pairs_hook: Any, memo: Any = None
) -> Any:
    return JSONObject(at, strict, _keep_start(scan), None, Members, memo)


def _placed_array(at: tuple[str, int], scan: Any) -> Any:
    return JSONArray(at, _keep_start(scan))
