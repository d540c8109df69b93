"""Validation of one configuration text, in steps that do not block the event loop."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.ids import ConfigVersion
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.settings.text import ParsedConfiguration, parse_configuration_in_steps


class TextCheck:
    """Validates a configuration text and reports the result once, unless it is cancelled first."""

    def __init__(
        self,
        text: str,
        version: ConfigVersion,
        file: str,
        timers: TimerQueue,
        done: Callable[[ParsedConfiguration], None],
    ) -> None:
        """Initialise a check that has not run a step yet.

        Args:
            text: JSON with comments.
            version: Version of the resulting configuration.
            file: File name to state in findings.
            timers: Timers of the process.
            done: Called once with the configuration or the findings.
        """
        self.seconds = 0.0
        """Total time spent in steps, in seconds."""
        self._timers = timers
        self._done = done
        self._cancelled = False
        self._steps = parse_configuration_in_steps(text, version, file)

    def cancel(self) -> None:
        """Cancels the check; no result is reported."""
        self._cancelled = True

    def run(self) -> None:
        """Runs one step and schedules the next one, so that the event loop can do other work."""
        if self._cancelled:
            return
        result = self._step()
        if result is None:
            self._timers.call_later(0.0, self.run)
            return
        self._done(result)

    def _step(self) -> ParsedConfiguration | None:
        """Runs one step; returns the result after the last one, else None."""
        clock = self._timers.clock
        started_at = clock.now()
        try:
            next(self._steps)
        except StopIteration as stop:
            result: ParsedConfiguration = stop.value
            return result
        finally:
            self.seconds += clock.now() - started_at
        return None
