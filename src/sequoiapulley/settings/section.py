"""Typed access to one JSON object that collects every problem instead of stopping."""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite
from re import compile as compile_pattern
from socket import AF_INET, AF_INET6, inet_pton
from typing import Final

from sequoiapulley.settings._placed_json import Path
from sequoiapulley.settings.document import Problem

NAME_PATTERN: Final = compile_pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LARGEST_PORT: Final = 65_535


class Section:
    """One JSON object under check.

    Each reader returns a value of the right type; a faulty one is recorded and replaced by the
    default, so that the check goes on.
    """

    def __init__(self, value: object, path: Path, problems: list[Problem]) -> None:
        """Initialise the section.

        Args:
            value: The decoded value, an object if the text is right.
            path: Way from the root to the value.
            problems: List that receives what is found.
        """
        self.path = path
        self.problems = problems
        self.members: dict[str, object] = {}
        self._read: set[str] = set()
        self._is_object = isinstance(value, dict)
        if isinstance(value, dict):
            self.members = value
        else:
            self.report("must be an object in braces", at_key=False)

    def report(self, message: str, *steps: str | int, at_key: bool = False) -> None:
        """Records a problem.

        Args:
            message: What is wrong.
            steps: Way from this section to the value.
            at_key: Whether the key is at fault.
        """
        self.problems.append(Problem((*self.path, *steps), message, at_key))

    def has(self, key: str) -> bool:
        """Returns whether a key is there."""
        return key in self.members

    def take(self, key: str, required: bool) -> object:
        """Returns the raw value under a key, None when it is missing or null."""
        self._read.add(key)
        value = self.members.get(key)
        if value is None and required and self._is_object:
            detail = "must not be null" if key in self.members else "is missing"
            self.report(f'"{key}" {detail}', *([key] if key in self.members else []))
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Reads a string; one without a default is required."""
        value = self.take(key, required=default is None)
        if value is None:
            return default or ""
        if isinstance(value, str) and value:
            return value
        self.report(f'"{key}" must be a string that is not empty', key)
        return default or ""

    def name(self, key: str) -> str:
        """Reads a required name."""
        value = self.text(key)
        if value:
            self.check_name(value, key)
        return value

    def check_name(self, value: str, *steps: str | int, at_key: bool = False) -> None:
        """Records a problem if a string cannot be a name."""
        if NAME_PATTERN.fullmatch(value):
            return
        rule = "letters, digits, dot, dash and underline, 63 at most"
        self.report(f'"{value[:80]}" is not a name ({rule})', *steps, at_key=at_key)

    def flag(self, key: str, default: bool) -> bool:
        """Reads true or false."""
        value = self.take(key, required=False)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        self.report(f'"{key}" must be true or false', key)
        return default

    def integer(self, key: str, low: int, high: int, default: int | None = None) -> int:
        """Reads a whole number within bounds; one without a default is required."""
        fallback = low if default is None else default
        value = self.take(key, required=default is None)
        if value is None:
            return fallback
        if isinstance(value, bool) or not isinstance(value, int):
            self.report(f'"{key}" must be a whole number', key)
            return fallback
        if low <= value <= high:
            return value
        self.report(f'"{key}" is {value}, it must be from {low} to {high}', key)
        return fallback

    def number(self, key: str, low: float, high: float, default: float | None = None) -> float:
        """Reads a number within bounds; one without a default is required."""
        fallback = low if default is None else default
        value = self.take(key, required=default is None)
        if value is None:
            return fallback
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            self.report(f'"{key}" must be a number', key)
            return fallback
        if low <= value <= high:
            return float(value)
        self.report(f'"{key}" is {value:g}, it must be from {low:g} to {high:g}', key)
        return fallback

    def section(self, key: str, required: bool = False) -> Section | None:
        """Reads an object, None when it is left out."""
        value = self.take(key, required)
        return None if value is None else Section(value, (*self.path, key), self.problems)

    def named_sections(self, key: str, required: bool = True) -> Iterator[tuple[str, Section]]:
        """Reads an object of named objects."""
        parent = self.section(key, required)
        if parent is None:
            return
        for name, value in parent.members.items():
            parent.check_name(name, name, at_key=True)
            yield name, Section(value, (*parent.path, name), self.problems)

    def names(self, key: str) -> tuple[str, ...]:
        """Reads a list of different names, empty when it is left out."""
        value = self.take(key, required=False)
        if value is None:
            return ()
        if not isinstance(value, list):
            self.report(f'"{key}" must be a list of names', key)
            return ()
        found: dict[str, None] = {}
        for index, item in enumerate(value):
            if not isinstance(item, str):
                self.report(f'"{key}" must be a list of names', key, index)
                continue
            if item in found:
                self.report(f'"{item}" stands twice', key, index)
                continue
            found[item] = None
        return tuple(found)

    def address(self, key: str) -> tuple[str, int]:
        """Reads a required `IP:PORT`; an IPv6 number stands in brackets."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
        if not value:
            return "", 0
        if not port.isascii() or not port.isdigit() or not 1 <= int(port[:6]) <= LARGEST_PORT:
            self.report(f'"{key}" must be IP:PORT with a port from 1 to {LARGEST_PORT}', key)
            return "", 0
        if not _is_ip(host):
            self.report(f'"{key}" must be IP:PORT; "{host[:80]}" is not an IP number', key)
            return "", 0
        return host, int(port)

    def ip(self, key: str) -> str:
        """Reads a required IP number."""
        value = self.text(key)
        if value and not _is_ip(value):
            self.report(f'"{key}" must be an IP number; "{value[:80]}" is not', key)
        return value

    def finish(self) -> None:
        """Records every key that no reader asked for."""
        if self.members.keys() <= self._read:
            return
        known = ", ".join(sorted(self._read))
        for key in self.members:
            if key not in self._read:
                message = f'unknown key "{key[:80]}"; known here: {known}'
                self.report(message, key, at_key=True)


def _is_ip(host: str) -> bool:
    """Tells whether a text is an IPv4 or IPv6 number."""
    for family in (AF_INET, AF_INET6):
        try:
            inet_pton(family, host)
            return True
        except (OSError, ValueError):
            continue
    return False
