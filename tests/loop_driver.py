"""Drives a circuits manager from the test's own thread, without threads or sleeps."""

from __future__ import annotations

from collections.abc import Callable
from socket import create_connection, socket
from typing import Final

from circuits import Manager
from circuits.core.pollers import EPoll

MAX_TICKS: Final = 20_000
TICK_WAIT: Final = 0.005
"""Seconds that one tick may wait for sockets."""


class LoopDriver:
    """A circuits manager that a test moves on step by step."""

    def __init__(self) -> None:
        """Initialise a manager with its poller."""
        self.manager = Manager()
        self.poller = EPoll().register(self.manager)
        # A manager that does not run asks its pollers for nothing.
        self.manager._running = True

    def until(self, condition: Callable[[], bool]) -> None:
        """Runs the loop until a condition holds.

        Args:
            condition: Checked after every tick.

        Raises:
            AssertionError: If it does not hold after `MAX_TICKS` ticks.
        """
        for _ in range(MAX_TICKS):
            if condition():
                return
            self.manager.tick(TICK_WAIT)
        raise AssertionError("the condition never held")


class RawClient:
    """A client socket that collects what the server sends."""

    def __init__(self, driver: LoopDriver, port: int) -> None:
        """Connects to a port on loopback."""
        self._driver = driver
        self.sock: socket = create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.received = b""
        self.closed = False

    def send(self, data: bytes) -> None:
        """Sends bytes, moving the loop on when the socket is full."""
        view = memoryview(data)
        while view and not self.closed:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._driver.manager.tick(TICK_WAIT)
            except OSError:
                self.closed = True

    def poll(self) -> None:
        """Takes what has arrived."""
        while not self.closed:
            try:
                data = self.sock.recv(65_536)
            except BlockingIOError:
                return
            except OSError:
                self.closed = True
                return
            if not data:
                self.closed = True
                return
            self.received += data

    def until(self, condition: Callable[[RawClient], bool]) -> None:
        """Runs the loop until the client sees a condition."""

        def seen() -> bool:
            self.poll()
            return condition(self)

        self._driver.until(seen)

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
