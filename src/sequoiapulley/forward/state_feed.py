"""Keeps this node's state up to date: from the store, or from a peer that reads it."""

from __future__ import annotations

from random import Random
from typing import Final, Protocol

from msgspec import Struct
from result import Err

from sequoiapulley.forward.change_log import NO_REVISION
from sequoiapulley.forward.log_events import STORE_LOST, STORE_READ_WHOLE, STORE_REGAINED
from sequoiapulley.forward.state import (
    ChangeSet,
    ChangesReply,
    SourceError,
    SourceErrorKind,
    StateSource,
)
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue

INITIAL_RETRY_S: Final = 0.05
MAX_RETRY_S: Final = 0.6
"""Longest pause between two tries while no source answers; a tier of a thousand nodes then makes
fewer calls than the store takes."""
INITIAL_TIMEOUT_S: Final = 0.4
"""Wait for the first reply; the store answers in milliseconds, and a call that an outage swallowed
must not outlast the outage for long."""
MAX_TIMEOUT_S: Final = 1.5
"""Wait after several failures, for a store that is up to a hundred times slower than usual."""
OUTAGE_S: Final = 2.5
"""Time without any source after which the store itself may have been away, so that entries may have
lapsed: leases of upstreams last three of their heartbeats. A node that only it turned away hears of
changes from its peers meanwhile."""
JITTER: Final = 0.3
"""Share by which each pause varies, so that nodes do not call in step."""


class ReadPlan(Struct, frozen=True):
    """Where and how to read next."""

    source: StateSource
    is_store: bool
    wait: float
    """Longest wait of the source for a change, in seconds."""
    pace: float
    """Least time from this read to the next, in seconds."""


class SourceChoice(Protocol):
    """Chooses the source of each read."""

    def __call__(self, failures: int) -> ReadPlan:
        """Returns the next read.

        Args:
            failures: Reads that have failed in a row.
        """


class ChangeHandler(Protocol):
    """Applies what a feed has read."""

    def __call__(self, changes: ChangeSet, after_gap: bool) -> None:
        """Applies changes.

        Args:
            changes: What changed.
            after_gap: Whether the store was away until just now, so that a removal may be an
                entry that lapsed meanwhile.
        """


class StateFeed:
    """Reads again and again."""

    def __init__(
        self,
        choose: SourceChoice,
        timers: TimerQueue,
        log: LogSink,
        random: Random,
        on_changes: ChangeHandler,
    ) -> None:
        """Initialise a feed that has read nothing.

        Args:
            choose: Chooses where to read.
            timers: Timers of the event loop.
            log: Receives the loss and the return of the store.
            random: Source of jitter.
            on_changes: Applies what was read.
        """
        self._choose = choose
        self._timers = timers
        self._log = log
        self._random = random
        self._on_changes = on_changes
        self.revision = NO_REVISION
        """Revision of the store up to which everything is known."""
        self.read_at = float("-inf")
        """Clock reading at which the store was as this node knows it."""
        self._store_lost_at: float | None = None
        self._failures = 0
        self._needs_full_read = True
        self._exact = False
        self._read_started_at = 0.0
        self._plan: ReadPlan | None = None
        self._stopped = False

    @property
    def age(self) -> float:
        """Seconds since the store was as this node knows it."""
        return self._timers.clock.now() - self.read_at

    def start(self) -> None:
        """Begins to read."""
        self._read()

    def stop(self) -> None:
        """Reads no more."""
        self._stopped = True

    def _read(self) -> None:
        """Sends the next read."""
        if self._stopped:
            return
        self._read_started_at = self._timers.clock.now()
        plan = self._plan = self._choose(self._failures)
        timeout = min(MAX_TIMEOUT_S, INITIAL_TIMEOUT_S * 2**self._failures)
        if self._needs_full_read:
            plan.source.read_all(self._exact, timeout, self._on_reply)
        else:
            plan.source.read_changes(self.revision, plan.wait, timeout, self._on_reply)

    def _on_reply(self, reply: ChangesReply) -> None:
        """Applies what was read, or tries again after a pause."""
        plan = self._plan
        if self._stopped or plan is None:
            return
        if isinstance(reply, Err):
            self._on_error(plan, reply.err_value)
            return
        now = self._timers.clock.now()
        changes = reply.ok_value
        self._failures = 0
        after_gap = plan.is_store and self._on_store_available() and self.age >= OUTAGE_S
        self.read_at = now - changes.age
        if changes.whole and changes.revision < self.revision:
            # A stale image would bring back what has left since.
            self._schedule_read(now + self._jittered(plan.pace))
            return
        if changes.whole:
            self._log.log(
                STORE_READ_WHOLE,
                revision=changes.revision,
                entries=len(changes.changes),
                store=plan.is_store,
            )
        self._needs_full_read = False
        self._on_changes(changes, after_gap)
        self.revision = max(self.revision, changes.revision)
        # What was read whole may be old; the changes since then follow at once.
        pace = 0.0 if changes.whole else plan.pace
        self._schedule_read(self._read_started_at + self._jittered(pace))

    def _on_error(self, plan: ReadPlan, error: SourceError) -> None:
        """Plans the next try."""
        now = self._timers.clock.now()
        if error.kind is SourceErrorKind.HISTORY_GONE and not self._needs_full_read:
            # An older image could lead to a revision whose history is gone as well.
            self._needs_full_read = True
            self._exact = True
            self._schedule_read(now)
            return
        if plan.is_store and self._store_lost_at is None:
            self._store_lost_at = now
            self._log.log(STORE_LOST, error=error.detail, revision=self.revision)
        pause = min(MAX_RETRY_S, INITIAL_RETRY_S * 2**self._failures)
        self._failures += 1
        self._schedule_read(now + self._jittered(pause))

    def _on_store_available(self) -> bool:
        """Notes that the store answers; returns whether it was away until now."""
        if self._store_lost_at is None:
            return False
        outage = self._timers.clock.now() - self._store_lost_at
        self._log.log(STORE_REGAINED, away_s=round(outage, 2))
        self._store_lost_at = None
        return True

    def _jittered(self, pause: float) -> float:
        """Returns a pause with jitter."""
        return pause * (1 + JITTER * (self._random.random() - 0.5))

    def _schedule_read(self, due: float) -> None:
        """Reads at a clock reading, or as soon as possible after it."""
        self._timers.call_at(due, self._read)
