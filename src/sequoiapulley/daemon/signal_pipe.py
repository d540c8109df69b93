"""Delivers signals as events of the reactor, through a pipe."""

from __future__ import annotations

from collections.abc import Callable
from os import O_NONBLOCK, pipe2, read
from signal import Signals, set_wakeup_fd, signal
from typing import Final

from sequoiapulley.wire.reactor import READABLE, Reactor

READ_BYTES: Final = 64


class SignalPipe:
    """Calls signal handlers from the event loop, so that they never interrupt other code."""

    def __init__(self, reactor: Reactor, handlers: dict[Signals, Callable[[], None]]) -> None:
        """Install the handlers.

        Args:
            reactor: Watches the pipe that the interpreter writes signal numbers to.
            handlers: Function to call for each signal.
        """
        self._handlers = handlers
        self._fd, write_fd = pipe2(O_NONBLOCK)
        set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        for number in handlers:
            signal(number, lambda _number, _frame: None)
        reactor.register(self._fd, READABLE, self)

    def on_failure(self) -> None:
        """Does nothing: the next signal is handled."""

    def on_ready(self, events: int) -> None:
        """Calls the handlers of the signals that have arrived."""
        for number in read(self._fd, READ_BYTES):
            handler = self._handlers.get(Signals(number))
            if handler is not None:
                handler()
