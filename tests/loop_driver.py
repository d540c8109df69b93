"""Drives a circuits manager from the test's thread, without further threads or sleeps."""

from __future__ import annotations

from collections.abc import Callable
from socket import create_connection, socket
from typing import Final

from circuits import Manager
from circuits.core.pollers import EPoll

MAX_TICKS: Final = 20_000
TICK_WAIT_S: Final = 0.005
"""Longest time that one tick waits for sockets."""


class LoopDriver:
    """A circuits manager whose ticks a test runs one by one."""

    def __init__(self) -> None:
        self.manager = Manager()
        self.poller = EPoll().register(self.manager)
        # A manager that is not running does not poll its sockets.
        self.manager._running = True

    def until(self, condition: Callable[[], bool]) -> None:
        """Runs the loop until a condition holds.

        Args:
            condition: Predicate, checked before every tick.

        Raises:
            AssertionError: If the condition does not hold within `MAX_TICKS` ticks.
        """
        for _ in range(MAX_TICKS):
            if condition():
                return
            self.manager.tick(TICK_WAIT_S)
        raise AssertionError("the condition never held")


class RawClient:
    """A client socket that collects the bytes that the server sends."""

    def __init__(self, driver: LoopDriver, port: int) -> None:
        """Connects to a port on loopback."""
        self._driver = driver
        self.sock: socket = create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.received = b""
        self.closed = False

    def send(self, data: bytes) -> None:
        """Sends bytes; runs the loop while the socket's buffer is full."""
        view = memoryview(data)
        while view and not self.closed:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._driver.manager.tick(TICK_WAIT_S)
            except OSError:
                self.closed = True

    def poll(self) -> None:
        """Reads the bytes that have arrived."""
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
        """Runs the loop until a condition on this client holds."""

        def seen() -> bool:
            self.poll()
            return condition(self)

        self._driver.until(seen)

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
