"""Limits on what the accepted connections of a process occupy together.

The limits of each connection leave their sum open: a crowd of clients that send slowly, stop short
of the end of a request or do not read their answers would use up the memory and the descriptors of
the VM. The connections that hold most are ended first, so that ordinary callers are served.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from heapq import nsmallest
from os import sysconf
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit
from typing import Final, Protocol

from msgspec import Struct

BYTES_PER_MB: Final = 1_048_576
RESERVED_FDS: Final = 200
"""Descriptors of the limit that are not for sockets."""
MAX_KNOWN_FDS: Final = 1_048_576
"""Maximum number of descriptors where the operating system states none."""
REQUEST_MEMORY_SHARE: Final = 0.25
"""Share of the VM's memory for callers' requests and for answers that are not sent."""
RECEIVE_MEMORY_SHARE: Final = 0.125
"""Share of the VM's memory for bytes that the kernel holds until they are read."""
FREE_SOCKET_SHARE: Final = 0.125
"""Share of the sockets that accepted connections leave free for the process's own connections."""
MIN_ACCEPTED_SHARE: Final = 0.25
"""Share of the sockets that accepted connections may have however many others are open."""
USUAL_RECEIVE_BUFFER_BYTES: Final = 65_536
"""Bytes that each of a few connections may receive before they are read."""
MIN_RECEIVE_BUFFER_BYTES: Final = 8_192
EXHAUSTED_SHARE: Final = 1.25
"""Memory, relative to the limit, from which a connection may not add an answer that is not read."""
MEMORY_AFTER_ENDING: Final = 0.875
"""Share of the memory limit down to which connections are ended once it is exceeded."""
BUSY_WEIGHT: Final = 0.5
"""Weight of the memory of a connection whose request is being served: others are ended first."""
ENDED_SHARE: Final = 1 / 16
"""Share of a port's connections that are ended at a time for their descriptors."""


class EndReason(Enum):
    """Why the budget ended a connection."""

    MEMORY = "memory"
    """The connections occupied more memory than their share."""
    DESCRIPTORS = "descriptors"
    """New connections needed its descriptor."""
    NO_DESCRIPTOR = "no_descriptor"
    """It was new, and all others were serving requests."""


class ResourceLimits(Struct, frozen=True):
    """Memory and descriptors of the VM, as the settings state them."""

    memory_mb: int = 0
    """Memory in MB; 0 for that of the machine."""
    max_fds: int = 0
    """Maximum number of descriptors; 0 for the limit of the operating system."""

    @property
    def memory(self) -> int:
        """Memory in bytes."""
        if self.memory_mb > 0:
            return self.memory_mb * BYTES_PER_MB
        return sysconf("SC_PHYS_PAGES") * sysconf("SC_PAGE_SIZE")

    @property
    def sockets(self) -> int:
        """Maximum number of sockets of the process."""
        fds = self.max_fds
        if fds <= 0:
            fds, _ = getrlimit(RLIMIT_NOFILE)
            fds = MAX_KNOWN_FDS if fds == RLIM_INFINITY else fds
        # A limit below the reserve is not one of the platform; it is not used up by connections.
        return max(fds - RESERVED_FDS, fds // 2)


class BudgetedConnection(Protocol):
    """An accepted connection whose resources count."""

    memory: int
    """Memory that the budget counts for it, in bytes."""
    idle_since: float
    """Clock reading of the last answer or, before the first one, of the accept, in seconds."""
    requests: int
    """Number of requests that were answered."""
    port: int
    """Port that accepted it."""

    @property
    def caller(self) -> str:
        """IP address of the caller; empty if the connection has ended."""

    @property
    def serving(self) -> bool:
        """Whether a complete request is being served."""

    def end(self, reason: EndReason) -> None:
        """Refuses its request, or closes it; its memory is freed at once."""


class BudgetObserver(Protocol):
    """Receives what a budget does."""

    def connection_ended(self, conn: BudgetedConnection, reason: EndReason, total: int) -> None:
        """Handles a connection that is about to be ended.

        Args:
            conn: The connection.
            reason: Why it is ended.
            total: Memory of all connections in bytes, or the number of sockets, by the reason.
        """

    def accept_failed(self, port: int, exc: OSError) -> None:
        """Handles a failure to accept a connection for want of a descriptor or of memory."""


class ConnectionBudget:
    """Counts the resources of all accepted connections of a process and ends some of them."""

    def __init__(
        self,
        limits: ResourceLimits,
        sockets: Callable[[], int],
        observer: BudgetObserver | None = None,
    ) -> None:
        """Creates a budget without connections.

        Args:
            limits: Memory and descriptors of the VM.
            sockets: Returns the number of open sockets, accepted or not.
            observer: Receives each connection that is ended, and failures to accept one.
        """
        self.connections: set[BudgetedConnection] = set()
        self.used = 0
        """Memory that all connections occupy, in bytes."""
        self._sockets = sockets
        self._observer = observer
        self._enforcing = False
        self.configure(limits)

    def configure(self, limits: ResourceLimits) -> None:
        """Replaces the limits; connections that exceed them are ended by the next checks."""
        self.memory_limit = int(limits.memory * REQUEST_MEMORY_SHARE)
        """Maximum memory of all connections, in bytes."""
        self.socket_limit = int(limits.sockets * (1 - FREE_SOCKET_SHARE))
        """Number of open sockets from which a new connection replaces another one."""
        receive = int(limits.memory * RECEIVE_MEMORY_SHARE)
        self._usual_buffers = receive // 2 // USUAL_RECEIVE_BUFFER_BYTES
        """Number of connections that have a receive buffer of the usual size."""
        share = max(MIN_RECEIVE_BUFFER_BYTES, receive // 2 // limits.sockets)
        self.small_buffer = share // 2
        """Size of the receive buffer of connections beyond those, in bytes. The operating system
        doubles it."""

    @property
    def exhausted(self) -> bool:
        """Whether the memory limit is exceeded by far, as it could not be enforced in between."""
        return self.used > self.memory_limit * EXHAUSTED_SHARE

    @property
    def receive_buffer(self) -> int:
        """Size of the next connection's receive buffer, in bytes."""
        few = len(self.connections) < self._usual_buffers
        return max(USUAL_RECEIVE_BUFFER_BYTES // 2, self.small_buffer) if few else self.small_buffer

    def admit(self) -> bool:
        """Makes room for the descriptor of a connection that was just accepted.

        Returns:
            Whether it may stay; False if every other connection is serving a request.
        """
        few = len(self.connections) < self.socket_limit * MIN_ACCEPTED_SHARE
        if few or self._sockets() < self.socket_limit:
            return True
        return self.free_descriptors()

    def free_descriptors(self) -> bool:
        """Ends connections that serve no request; returns whether there were any.

        They are taken from the port that has most. Those that have not completed a request come
        first, the oldest of them before the others, then those that have been idle longest.
        """
        by_port = Counter(conn.port for conn in self.connections if not conn.serving)
        for port, _count in by_port.most_common(1):
            candidates = [
                conn for conn in self.connections if conn.port == port and not conn.serving
            ]
            count = max(1, int(len(candidates) * ENDED_SHARE))
            for conn in nsmallest(count, candidates, key=_idle_rank):
                self._end(conn, EndReason.DESCRIPTORS, self._sockets())
            return True
        return False

    def accept_failed(self, port: int, exc: OSError) -> None:
        """Frees descriptors after a connection could not be accepted at a port."""
        if self._observer is not None:
            self._observer.accept_failed(port, exc)
        self.free_descriptors()

    def refuse(self, conn: BudgetedConnection) -> None:
        """Ends a new connection for which there is no descriptor."""
        self._end(conn, EndReason.NO_DESCRIPTOR, self._sockets())

    def add(self, conn: BudgetedConnection) -> None:
        """Counts a new connection."""
        self.connections.add(conn)
        self.used += conn.memory

    def remove(self, conn: BudgetedConnection) -> None:
        """Ends the count of a connection that is closed."""
        if conn in self.connections:
            self.connections.remove(conn)
            self.used -= conn.memory

    def resize(self, conn: BudgetedConnection, memory: int) -> None:
        """Sets the memory of a connection, in bytes; `enforce` applies the limit."""
        if conn in self.connections:
            self.used += memory - conn.memory
        conn.memory = memory

    def enforce(self) -> None:
        """Ends the connections that hold most while the memory limit is exceeded."""
        if self.used <= self.memory_limit or self._enforcing:
            return
        self._enforcing = True
        try:
            self._end_largest()
        finally:
            self._enforcing = False

    def _end_largest(self) -> None:
        """Ends connections until the memory is clearly below its limit."""
        total = self.used
        target = int(self.memory_limit * MEMORY_AFTER_ENDING)
        ranked = sorted(self.connections, key=_weight, reverse=True)
        for conn in ranked:
            if self.used <= target:
                return
            self._end(conn, EndReason.MEMORY, total)

    def _end(self, conn: BudgetedConnection, reason: EndReason, total: int) -> None:
        """Ends a connection and reports it."""
        if self._observer is not None:
            self._observer.connection_ended(conn, reason, total)
        conn.end(reason)


def _weight(conn: BudgetedConnection) -> float:
    """Returns the memory of a connection by which it is ranked."""
    return conn.memory * (BUSY_WEIGHT if conn.serving else 1.0)


def _idle_rank(conn: BudgetedConnection) -> tuple[bool, float]:
    """Returns the order in which connections are ended that serve no request."""
    return conn.requests > 0, conn.idle_since
