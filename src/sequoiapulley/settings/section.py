"""Typed access to a JSON object that collects all problems instead of raising exceptions."""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite
from re import compile as compile_pattern
from socket import AF_INET, AF_INET6, inet_pton
from typing import Final

from sequoiapulley.settings._located_json import Path
from sequoiapulley.settings.document import Problem

NAME_PATTERN: Final = compile_pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_PORT: Final = 65_535


class Section:
    """A JSON object that is being validated.

    Each read method returns a value of the right type; for an invalid value it reports a problem
    and returns a default, so that the validation continues.
    """

    def __init__(self, value: object, path: Path, problems: list[Problem]) -> None:
        """Initialise the section.

        Args:
            value: The decoded value; a problem is reported if it is not an object.
            path: Path from the root to the value.
            problems: List that problems are appended to.
        """
        self.path = path
        self.problems = problems
        self.members: dict[str, object] = {}
        self._read_keys: set[str] = set()
        self._is_object = isinstance(value, dict)
        if isinstance(value, dict):
            self.members = value
        else:
            self.report("must be an object", at_key=False)

    def report(self, message: str, *steps: str | int, at_key: bool = False) -> None:
        """Reports a problem.

        Args:
            message: Description of the problem.
            steps: Path from this section to the value.
            at_key: Whether the problem is in the key instead of the value.
        """
        self.problems.append(Problem((*self.path, *steps), message, at_key))

    def has(self, key: str) -> bool:
        """Returns whether a key is present."""
        return key in self.members

    def read_value(self, key: str, required: bool) -> object:
        """Returns the value of a key without type check, or None if it is missing or null.

        Marks the key as known, and reports a problem if a required value is missing or null.
        """
        self._read_keys.add(key)
        value = self.members.get(key)
        if value is None and required and self._is_object:
            detail = "must not be null" if key in self.members else "is missing"
            self.report(f'"{key}" {detail}', *([key] if key in self.members else []))
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Reads a non-empty string; it is required if there is no default."""
        value = self.read_value(key, required=default is None)
        if value is None:
            return default or ""
        if isinstance(value, str) and value:
            return value
        self.report(f'"{key}" must be a non-empty string', key)
        return default or ""

    def name(self, key: str) -> str:
        """Reads a required name."""
        value = self.text(key)
        if value:
            self.check_name(value, key)
        return value

    def check_name(self, value: str, *steps: str | int, at_key: bool = False) -> None:
        """Reports a problem if a string is not a valid name."""
        if NAME_PATTERN.fullmatch(value):
            return
        rule = "letters, digits, dot, hyphen and underscore, at most 63 characters"
        self.report(f'"{value[:80]}" is not a valid name ({rule})', *steps, at_key=at_key)

    def flag(self, key: str, default: bool) -> bool:
        """Reads a Boolean."""
        value = self.read_value(key, required=False)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        self.report(f'"{key}" must be true or false', key)
        return default

    def integer(self, key: str, low: int, high: int, default: int | None = None) -> int:
        """Reads an integer within inclusive bounds; it is required if there is no default."""
        fallback = low if default is None else default
        value = self.read_value(key, required=default is None)
        if value is None:
            return fallback
        if isinstance(value, bool) or not isinstance(value, int):
            self.report(f'"{key}" must be an integer', key)
            return fallback
        if low <= value <= high:
            return value
        self.report(f'"{key}" is {value}, must be from {low} to {high}', key)
        return fallback

    def number(self, key: str, low: float, high: float, default: float | None = None) -> float:
        """Reads a number within inclusive bounds; it is required if there is no default."""
        fallback = low if default is None else default
        value = self.read_value(key, required=default is None)
        if value is None:
            return fallback
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            self.report(f'"{key}" must be a number', key)
            return fallback
        if low <= value <= high:
            return float(value)
        self.report(f'"{key}" is {value:g}, must be from {low:g} to {high:g}', key)
        return fallback

    def section(self, key: str, required: bool = False) -> Section | None:
        """Reads an object; returns None if it is missing."""
        value = self.read_value(key, required)
        return None if value is None else Section(value, (*self.path, key), self.problems)

    def named_sections(self, key: str, required: bool = True) -> Iterator[tuple[str, Section]]:
        """Reads an object whose members are named objects."""
        parent = self.section(key, required)
        if parent is None:
            return
        for name, value in parent.members.items():
            parent.check_name(name, name, at_key=True)
            yield name, Section(value, (*parent.path, name), self.problems)

    def names(self, key: str) -> tuple[str, ...]:
        """Reads a list of unique strings; returns an empty one if it is missing.

        The strings are references to names, so their characters are not checked.
        """
        value = self.read_value(key, required=False)
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
                self.report(f'"{item}" is listed twice', key, index)
                continue
            found[item] = None
        return tuple(found)

    def address(self, key: str) -> tuple[str, int]:
        """Reads a required `IP:PORT`; an IPv6 address is in square brackets."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
        if not value:
            return "", 0
        if not port.isascii() or not port.isdigit() or not 1 <= int(port[:6]) <= MAX_PORT:
            self.report(f'"{key}" must be IP:PORT with a port from 1 to {MAX_PORT}', key)
            return "", 0
        if not _is_ip(host):
            self.report(f'"{key}" must be IP:PORT; "{host[:80]}" is not an IP address', key)
            return "", 0
        return host, int(port)

    def ip(self, key: str) -> str:
        """Reads a required IP address."""
        value = self.text(key)
        if value and not _is_ip(value):
            self.report(f'"{key}" must be an IP address; "{value[:80]}" is not', key)
        return value

    def report_unknown_keys(self) -> None:
        """Reports all keys that were not read."""
        if self.members.keys() <= self._read_keys:
            return
        known = ", ".join(sorted(self._read_keys))
        for key in self.members:
            if key not in self._read_keys:
                message = f'unknown key "{key[:80]}"; known here: {known}'
                self.report(message, key, at_key=True)


def _is_ip(host: str) -> bool:
    """Returns whether a text is an IPv4 or IPv6 address."""
    for family in (AF_INET, AF_INET6):
        try:
            inet_pton(family, host)
            return True
        except (OSError, ValueError):
            continue
    return False
