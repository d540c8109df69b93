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
DEFERRABLE_SLICE_S: Final = 0.01
"""Time for deferrable sockets in each poll. The others, and timers, run in between."""


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
        self._deferrable: dict[int, int] = {}
        """Number of the last turn of each deferrable socket, by descriptor; 0 for none."""
        self._turns = 0
        self._deferred: dict[int, int] = {}
        """Events of deferrable sockets that were not handled yet, by descriptor."""

    @property
    def sockets(self) -> int:
        """Number of registered sockets."""
        return len(self._handlers)

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

    def set_deferrable(self, fd: int, deferrable: bool) -> None:
        """Sets whether a registered socket may wait while others are handled.

        Deferrable sockets are handled in turn, after all others, for a limited time in each poll:
        many of them with much to read must delay neither the others nor timers.
        """
        if deferrable:
            self._deferrable.setdefault(fd, 0)
        else:
            self._deferrable.pop(fd, None)

    def unregister(self, fd: int) -> None:
        """Removes a registered socket; must be called before the socket is closed."""
        del self._handlers[fd]
        self._deferrable.pop(fd, None)
        self._deferred.pop(fd, None)
        self._epoll.unregister(fd)

    def poll(self, timeout: float = 0.0) -> int:
        """Calls the handlers of all sockets that are ready.

        Args:
            timeout: Maximum wait for the first ready socket, in seconds.

        Returns:
            The number of handlers called. Deferrable sockets may be left for the next poll.
        """
        ready = self._epoll.poll(0.0 if self._deferred else timeout, MAX_EVENTS_PER_POLL)
        self._registered_in_poll.clear()
        called = 0
        deferrable: list[tuple[int, int]] = []
        for fd, events in ready:
            if fd in self._deferrable:
                deferrable.append((fd, events))
                continue
            called += self._handle(fd, events)
        # Those of earlier polls keep their places, so that each socket has its turn.
        deferrable.sort(key=lambda item: self._deferrable.get(item[0], 0))
        self._deferred.update(deferrable)
        return called + self._handle_deferred()

    def _handle_deferred(self) -> int:
        """Handles deferrable sockets for a limited time; returns the number of handlers called."""
        if not self._deferred:
            return 0
        called = 0
        end = self.clock.now() + DEFERRABLE_SLICE_S
        while self._deferred:
            fd = next(iter(self._deferred))
            called += self._handle(fd, self._deferred.pop(fd))
            if fd in self._deferrable:
                self._turns += 1
                self._deferrable[fd] = self._turns
            if self.clock.now() >= end:
                break
        return called

    def _handle(self, fd: int, events: int) -> int:
        """Calls the handler of a socket; returns the number of handlers called, 0 or 1."""
        handler = self._handlers.get(fd)
        if handler is None or fd in self._registered_in_poll:
            # An earlier handler of this poll closed the socket; its descriptor may be reused.
            return 0
        if self._on_error is None:
            handler.on_ready(events)
            return 1
        try:
            handler.on_ready(events)
        except Exception as exc:
            # One message must not end the process and the other requests in flight.
            self._on_error(exc)
            self._end_failed(fd, handler, self._on_error)
        return 1

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
