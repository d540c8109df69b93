"""One epoll object that owns every client socket of the process."""

from __future__ import annotations

from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT, epoll
from typing import Final, Protocol

from sequoiapulley.runtime import Clock, TimerQueue

READABLE: Final = EPOLLIN
WRITABLE: Final = EPOLLOUT
BROKEN: Final = EPOLLERR | EPOLLHUP
MAX_EVENTS_PER_POLL: Final = 512


class SocketHandler(Protocol):
    """Receives the readiness of one socket."""

    def on_ready(self, events: int) -> None:
        """Handles readiness.

        Args:
            events: A mask of `READABLE`, `WRITABLE` and `BROKEN`; readiness may be spurious.
        """


class Reactor:
    """Calls the handlers of sockets that are ready."""

    def __init__(self, clock: Clock, timers: TimerQueue) -> None:
        """Initialise without sockets.

        Args:
            clock: Source of time.
            timers: Timers of the same event loop; `run_for` runs them.
        """
        self.clock = clock
        self.timers = timers
        self._epoll = epoll()
        self._handlers: dict[int, SocketHandler] = {}
        self._registered_in_poll: set[int] = set()

    def fileno(self) -> int:
        """Returns the descriptor of the epoll object, itself readable when a socket is ready."""
        return self._epoll.fileno()

    def register(self, fd: int, events: int, handler: SocketHandler) -> None:
        """Adds a socket.

        Args:
            fd: Descriptor of a non-blocking socket.
            events: Mask of `READABLE` and `WRITABLE`.
            handler: Receiver of its readiness.
        """
        self._epoll.register(fd, events)
        self._handlers[fd] = handler
        self._registered_in_poll.add(fd)

    def modify(self, fd: int, events: int) -> None:
        """Replaces the mask of a registered socket."""
        self._epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        """Removes a registered socket, before it is closed."""
        del self._handlers[fd]
        self._epoll.unregister(fd)

    def poll(self, timeout: float = 0.0) -> int:
        """Calls the handlers of all sockets that are ready.

        Args:
            timeout: Longest wait for the first socket, in seconds.

        Returns:
            The number of handlers called.
        """
        ready = self._epoll.poll(timeout, MAX_EVENTS_PER_POLL)
        self._registered_in_poll.clear()
        called = 0
        for fd, events in ready:
            handler = self._handlers.get(fd)
            if handler is None or fd in self._registered_in_poll:
                # An earlier handler of this round closed the socket; its number may be reused.
                continue
            handler.on_ready(events)
            called += 1
        return called

    def run_for(self, seconds: float) -> None:
        """Runs sockets and timers on the system clock, for programs without an event loop.

        Args:
            seconds: Duration.
        """
        end = self.clock.now() + seconds
        while (left := end - self.clock.now()) > 0:
            self.run_once(left)

    def run_once(self, longest: float) -> None:
        """Waits for sockets or the next timer, then runs both.

        Args:
            longest: Longest wait in seconds.
        """
        due = self.timers.next_due()
        wait = longest if due is None else min(longest, max(0.0, due - self.clock.now()))
        self.poll(wait)
        self.timers.run_due()

    def close(self) -> None:
        """Closes the epoll object; the sockets stay their owners'."""
        self._epoll.close()
