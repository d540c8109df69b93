"""Definitions of log events, each with a unique number, a cause and a remedy.

Number ranges: 1000 daemon and runtime, 2000 entry, 2500 forwarding, 3000 search and requests,
4000 upstream, 5000 fleet, 6000 link, 7000 platform and configuration, 8000 observe.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, Protocol

from msgspec import Struct


class Severity(Enum):
    """Severity of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogEvent(Struct, frozen=True):
    """Definition of a log event."""

    number: int
    name: str
    """Short name in snake case."""
    severity: Severity
    cause: str
    """When the event is logged."""
    remedy: str
    """What an operator should do."""

    @property
    def code(self) -> str:
        """The number with its prefix, such as `SP5001`."""
        return f"SP{self.number}"


_REGISTRY: Final[dict[int, LogEvent]] = {}


def define_event(
    number: int, name: str, severity: Severity, cause: str, remedy: str = "Nothing."
) -> LogEvent:
    """Defines and registers a log event; called at import time.

    Args:
        number: Unique number of four digits.
        name: Short name in snake case.
        severity: Severity of the event.
        cause: When the event is logged.
        remedy: What an operator should do.

    Returns:
        The event.

    Raises:
        ValueError: If the number is already in use.
    """
    if number in _REGISTRY:
        raise ValueError(f"log event {number} is already defined as {_REGISTRY[number].name!r}")
    event = LogEvent(number, name, severity, cause, remedy)
    _REGISTRY[number] = event
    return event


def all_events() -> tuple[LogEvent, ...]:
    """Returns all events defined by the modules imported so far, ordered by number."""
    return tuple(_REGISTRY[number] for number in sorted(_REGISTRY))


class LogSink(Protocol):
    """Destination of log events."""

    def log(self, event: LogEvent, **fields: object) -> None:
        """Logs one event with its fields."""


class MemoryLog:
    """Log sink that stores events in a list, for tests and short programs."""

    def __init__(self) -> None:
        """Initialise an empty list."""
        self.entries: list[tuple[LogEvent, dict[str, object]]] = []

    def log(self, event: LogEvent, **fields: object) -> None:
        """Appends the event and its fields."""
        self.entries.append((event, fields))
