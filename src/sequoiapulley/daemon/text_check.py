"""The check of one operators' text, done in steps between other work of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.ids import ConfigVersion
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.settings.text import ParsedText, parse_in_steps


class TextCheck:
    """Checks a text and reports the result once, unless it is cancelled before."""

    def __init__(
        self,
        text: str,
        version: ConfigVersion,
        file: str,
        timers: TimerQueue,
        done: Callable[[ParsedText], None],
    ) -> None:
        """Initialise a check without a step done.

        Args:
            text: JSON with comments.
            version: Version that the configuration gets.
            file: Name for findings.
            timers: Timers of the process.
            done: Called once with the configuration or the findings.
        """
        self.seconds = 0.0
        """Time spent in steps."""
        self._timers = timers
        self._done = done
        self._cancelled = False
        self._steps = parse_in_steps(text, version, file)

    def cancel(self) -> None:
        """Gives the check up; nothing is reported."""
        self._cancelled = True

    def run(self) -> None:
        """Does one step and lets the event loop go on before the next."""
        if self._cancelled:
            return
        result = self._step()
        if result is None:
            self._timers.call_later(0.0, self.run)
            return
        self._done(result)

    def _step(self) -> ParsedText | None:
        """Does one step; returns the result after the last one."""
        clock = self._timers.clock
        began = clock.now()
        try:
            next(self._steps)
        except StopIteration as stop:
            result: ParsedText = stop.value
            return result
        finally:
            self.seconds += clock.now() - began
        return None
