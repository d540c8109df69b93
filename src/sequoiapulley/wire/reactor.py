"""An epoll reactor for the sockets of the process."""

from __future__ import annotations

from collections.abc import Callable
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT, epoll
from typing import Final, Protocol

from sequoiapulley.runtime import Clock, TimerQueue

READABLE: Final = EPOLLIN
WRITABLE: Final = EPOLLOUT
BROKEN: Final = EPOLLERR | EPOLLHUP
MAX_EVENTS_PER_POLL: Final = 512


class SocketHandler(Protocol):
    """Handles readiness of one socket."""

    def on_ready(self, events: int) -> None:
        """Handles readiness.

        Args:
            events: A mask of `READABLE`, `WRITABLE` and `BROKEN`; readiness may be spurious.
        """

    def on_failure(self) -> None:
        """Ends what the socket was used for, after `on_ready` raised an unexpected error."""


class Reactor:
    """Waits for sockets with one epoll object and calls the handlers of those that are ready."""

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """Creates a reactor without sockets.

        Args:
            clock: Clock of the event loop.
            timers: Timers of the same event loop; `run_once` and `run_for` run them.
            on_error: Receives the unexpected errors of handlers; with None, `poll` raises them.
        """
        self.clock = clock
        self.timers = timers
        self._on_error = on_error
        self._epoll = epoll()
        self._handlers: dict[int, SocketHandler] = {}
        self._registered_in_poll: set[int] = set()

    def fileno(self) -> int:
        """Returns the descriptor of the epoll object, itself readable when a socket is ready."""
        return self._epoll.fileno()

    def register(self, fd: int, events: int, handler: SocketHandler) -> None:
        """Registers a socket.

        Args:
            fd: Descriptor of a non-blocking socket.
            events: Mask of `READABLE` and `WRITABLE`.
            handler: Called when the socket is ready.
        """
        self._epoll.register(fd, events)
        self._handlers[fd] = handler
        self._registered_in_poll.add(fd)

    def modify(self, fd: int, events: int) -> None:
        """Replaces the event mask of a registered socket."""
        self._epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        """Removes a registered socket; must be called before the socket is closed."""
        del self._handlers[fd]
        self._epoll.unregister(fd)

    def poll(self, timeout: float = 0.0) -> int:
        """Calls the handlers of all sockets that are ready.

        Args:
            timeout: Maximum wait for the first ready socket, in seconds.

        Returns:
            The number of handlers called.
        """
        ready = self._epoll.poll(timeout, MAX_EVENTS_PER_POLL)
        self._registered_in_poll.clear()
        called = 0
        for fd, events in ready:
            handler = self._handlers.get(fd)
            if handler is None or fd in self._registered_in_poll:
                # An earlier handler of this poll closed the socket; its descriptor may be reused.
                continue
            called += 1
            if self._on_error is None:
                handler.on_ready(events)
                continue
            try:
                handler.on_ready(events)
            except Exception as exc:
                # One message must not end the process and the other requests in flight.
                self._on_error(exc)
                self._end_failed(fd, handler, self._on_error)
        return called

    def _end_failed(
        self, fd: int, handler: SocketHandler, on_error: Callable[[Exception], None]
    ) -> None:
        """Ends what a socket was used for whose handler has failed."""
        if self._handlers.get(fd) is not handler:
            return
        try:
            handler.on_failure()
        except Exception as exc:
            on_error(exc)

    def run_for(self, seconds: float) -> None:
        """Runs sockets and timers on the system clock, for programs without an event loop.

        Args:
            seconds: Duration in seconds.
        """
        end = self.clock.now() + seconds
        while (remaining := end - self.clock.now()) > 0:
            self.run_once(remaining)

    def run_once(self, max_wait: float) -> None:
        """Waits for sockets or the next timer, then runs both.

        Args:
            max_wait: Maximum wait in seconds.
        """
        due = self.timers.next_due()
        wait = max_wait if due is None else min(max_wait, max(0.0, due - self.clock.now()))
        self.poll(wait)
        self.timers.run_due()

    def close(self) -> None:
        """Closes the epoll object; the owners of the sockets close them."""
        self._epoll.close()
