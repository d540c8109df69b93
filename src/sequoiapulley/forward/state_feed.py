"""Reads the shared state continuously, from the store or from a peer."""

from __future__ import annotations

from random import Random
from typing import Final, Protocol

from msgspec import Struct
from result import Err

from sequoiapulley.forward.log_events import (
    PEER_STATE_FAILED,
    STATE_OUTDATED,
    STORE_LOST,
    STORE_READ_WHOLE,
    STORE_REGAINED,
    STORE_RESTORED,
)
from sequoiapulley.forward.pending_read import PendingRead
from sequoiapulley.forward.state import (
    ChangeSet,
    ChangesReply,
    SourceError,
    SourceErrorKind,
    StateSource,
    TableChange,
)
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.forward.store_position import NO_ERA, NO_POSITION
from sequoiapulley.ids import Era
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerHandle, TimerQueue

INITIAL_RETRY_S: Final = 0.05
MAX_RETRY_S: Final = 0.6
"""Maximum delay between two reads while no source replies; a tier of a thousand nodes then makes
fewer calls than the store can serve."""
INITIAL_TIMEOUT_S: Final = 0.4
"""Timeout of the first read; the store replies in milliseconds, and a call that got no reply
because of an outage must not delay recovery long after the outage."""
MAX_TIMEOUT_S: Final = 1.5
"""Timeout after several failures, for a store that is up to a hundred times slower than usual."""
JITTER: Final = 0.3
"""Relative range over which each delay varies, so that nodes do not call at the same time."""


class ReadPlan(Struct, frozen=True):
    """Source and parameters of the next read."""

    source: StateSource
    is_store: bool
    wait: float
    """Maximum time that the source waits for a change, in seconds."""
    pace: float
    """Minimum time from this read to the next one, in seconds, before jitter."""
    whole: bool = False
    """Whether to read the full state although the changes would suffice."""


class SourceSelector(Protocol):
    """Selects the source of each read."""

    def __call__(self, failures: int) -> ReadPlan:
        """Returns the plan of the next read.

        Args:
            failures: Number of consecutive reads that have failed.
        """


class ChangeHandler(Protocol):
    """Applies the changes that a feed has read."""

    def __call__(self, changes: ChangeSet, after_outage: bool) -> None:
        """Applies changes.

        Args:
            changes: The changes.
            after_outage: Whether the changes follow an outage or a restoration of the store, so
                that a removed entry may have expired or be missing in the copy.
        """


class StateFeed:
    """Reads the shared state continuously and passes on the changes."""

    def __init__(
        self,
        choose: SourceSelector,
        timers: TimerQueue,
        log: LogSink,
        random: Random,
        on_changes: ChangeHandler,
        availability: StoreAvailability,
    ) -> None:
        """Initialise a feed that has read nothing.

        Args:
            choose: Selects the source of each read.
            timers: Timers of the event loop.
            log: Receives an event when the store becomes unavailable or available.
            random: Source of jitter.
            on_changes: Called with the changes of each read.
            availability: Receives the times at which the store served.
        """
        self._choose = choose
        self._timers = timers
        self._log = log
        self._random = random
        self._on_changes = on_changes
        self._availability = availability
        self.position = NO_POSITION
        """Position up to which everything has been read."""
        self.read_at = float("-inf")
        """Clock reading at which the store was in the state that this node has read."""
        self._store_lost_at: float | None = None
        self._store_failed_at = float("-inf")
        """Clock reading of the last failed read of the store."""
        self._failures = 0
        self._needs_full_read = True
        self._exact = False
        self._held: ChangeSet | None = None
        """First full state, which may be stale, until the changes since then or an exact full state
        have been read. Until then it might bring an upstream back into use that left before this
        process started."""
        self._restored_era = NO_ERA
        """Latest era that began by a restoration, 0 if there was none; earlier state is ignored."""
        self._read_started_at = 0.0
        self._next_read: TimerHandle | None = None
        self._pending: PendingRead | None = None
        self._plan: ReadPlan | None = None
        self._stopped = False
        self._reads_soon = False
        """Whether the next read follows the one in progress at once."""

    @property
    def age(self) -> float:
        """Age of this node's state: seconds since the store was in that state."""
        return self._timers.clock.now() - self.read_at

    @property
    def receiving(self) -> bool:
        """Whether a part of the reply to the current read has arrived."""
        return self._plan is not None and self._plan.source.receiving

    def start(self) -> None:
        """Starts to read."""
        self._read()

    def stop(self) -> None:
        """Stops reading; the reply to a read in flight is ignored."""
        self._stopped = True

    def read_soon(self) -> None:
        """Reads at once, or as soon as the read in progress has succeeded.

        After a failed read the next one is due as usual.
        """
        if self._failures:
            return
        if self._pending is None:
            self._schedule_read(self._timers.clock.now())
        else:
            self._reads_soon = True

    def _read(self) -> None:
        """Starts the next read."""
        if self._stopped:
            return
        self._read_started_at = self._timers.clock.now()
        try:
            self._request()
        except Exception:
            # The feed goes on; the event loop logs the error.
            if self._pending is not None:
                self._pending.cancel()
            self._retry()
            raise

    def _request(self) -> None:
        """Requests the state or its changes from the selected source."""
        plan = self._plan = self._choose(self._failures)
        if self._failures:
            # What failed the last read may have silenced all open connections.
            plan.source.close_idle()
        timeout = min(MAX_TIMEOUT_S, INITIAL_TIMEOUT_S * 2**self._failures)
        read = self._pending = PendingRead(self._timers, lambda reply: self._on_reply(plan, reply))
        if self._needs_full_read or plan.whole:
            plan.source.read_all(self._exact, timeout, read.finish)
        else:
            wait = plan.wait if self._held is None else 0.0
            plan.source.read_changes(self.position, wait, timeout, read.finish)

    def _on_reply(self, plan: ReadPlan, reply: ChangesReply) -> None:
        """Applies the changes of a read, or schedules another read after an error."""
        self._pending = None
        if self._stopped:
            return
        if isinstance(reply, Err):
            self._on_error(plan, reply.err_value)
            return
        try:
            self._on_read(plan, reply.ok_value)
        except Exception:
            # The changes may be applied in part. The feed goes on; the event loop logs the error.
            self._needs_full_read = True
            self._retry()
            raise

    def _on_read(self, plan: ReadPlan, changes: ChangeSet) -> None:
        """Applies the changes of a read."""
        now = self._timers.clock.now()
        if changes.era < max(self.position.era, self._restored_era):
            self._on_outdated(changes)
            return
        if changes.whole and plan.is_store and self.position == NO_POSITION:
            self._hold(changes, now)
            return
        restored = self._is_restored(changes.era)
        if restored and not (changes.whole and (self._exact or not plan.is_store)):
            # The changes after a revision of another era are not those that this node lacks.
            self._read_restored(changes.era, now)
            return
        self._failures = 0
        self._availability.record(now - changes.age)
        after_outage = plan.is_store and self._on_store_available() and self._had_outage()
        self.read_at = now - changes.age
        if changes.whole and changes.position < self.position:
            # A stale full state would restore entries that were removed since.
            self._apply_configuration(changes)
            self._schedule_read(now + self._jittered(plan.pace))
            return
        if changes.whole:
            self._log_full_read(changes, plan.is_store)
        if restored:
            self._log_restoration(changes.era)
        if not changes.whole:
            self._apply_held()
        self._held = None
        self._needs_full_read = False
        self._on_changes(changes, after_outage or restored)
        self.position = max(self.position, changes.position)
        # A full state may be stale, so the changes since then are read at once.
        pace = 0.0 if changes.whole else plan.pace
        self._schedule_read(self._read_started_at + self._jittered(pace))

    def _hold(self, changes: ChangeSet, now: float) -> None:
        """Keeps the first full state back and reads the changes since then at once."""
        self._held = changes
        self._availability.record(now)
        self._needs_full_read = False
        self._failures = 0
        self._on_store_available()
        self.position = changes.position
        self._log_full_read(changes, is_store=True)
        self._schedule_read(now)

    def _apply_held(self) -> None:
        """Applies the first full state, if it is still held back."""
        held, self._held = self._held, None
        if held is not None:
            self._on_changes(held, False)

    def _log_full_read(self, changes: ChangeSet, is_store: bool) -> None:
        """Logs that a full state was read."""
        self._log.log(
            STORE_READ_WHOLE,
            revision=changes.revision,
            era=changes.era,
            entries=len(changes.changes),
            store=is_store,
        )

    def _is_restored(self, era: Era) -> bool:
        """Returns whether the store was restored since the last read, as its era shows."""
        return self.position != NO_POSITION and era > self.position.era

    def _read_restored(self, era: Era, now: float) -> None:
        """Reads the full state of a restored store at once, without the stale one before it."""
        self._log_restoration(era)
        self._needs_full_read = True
        self._exact = True
        self._schedule_read(now)

    def _log_restoration(self, era: Era) -> None:
        """Logs the start of an era, once."""
        if era <= self._restored_era:
            return
        self._restored_era = era
        self._log.log(
            STORE_RESTORED,
            era=era,
            previous_era=self.position.era,
            previous_revision=self.position.revision,
        )

    def _on_outdated(self, changes: ChangeSet) -> None:
        """Ignores state of an earlier era, except its configuration, and reads another source."""
        latest_era = max(self.position.era, self._restored_era)
        self._log.log(STATE_OUTDATED, era=changes.era, latest_era=latest_era)
        self._exact = True
        self._retry()
        self._apply_held()
        if changes.whole:
            self._apply_configuration(changes)

    def _apply_configuration(self, changes: ChangeSet) -> None:
        """Applies only the configuration of a full state that is older than this node's.

        Versions only increase, and a restored store may lack a version that was in force.
        """
        tables = tuple(change for change in changes.changes if isinstance(change, TableChange))
        if tables:
            position = self.position
            self._on_changes(ChangeSet(position.revision, tables, era=position.era), False)

    def _on_error(self, plan: ReadPlan, error: SourceError) -> None:
        """Schedules the next read after an error."""
        now = self._timers.clock.now()
        restored = self._is_restored(error.era)
        if restored:
            self._log_restoration(error.era)
        compacted = error.kind is SourceErrorKind.HISTORY_COMPACTED
        if (restored or compacted) and not self._needs_full_read:
            # A stale full state could have a revision whose history is compacted as well.
            self._needs_full_read = True
            self._exact = True
            if compacted:
                self._schedule_read(now)
                return
        if plan.is_store:
            self._on_store_failure(error, now)
        else:
            self._log.log(PEER_STATE_FAILED, error=error.detail, failures=self._failures + 1)
        self._retry()
        # Without the changes since then, the state that was read is the best that there is.
        self._apply_held()

    def _on_store_failure(self, error: SourceError, now: float) -> None:
        """Records a failed read of the store, and logs the first one since the last reply."""
        self._store_failed_at = now
        if self._store_lost_at is None:
            self._store_lost_at = now
            self._log.log(STORE_LOST, error=error.detail, revision=self.position.revision)

    def _retry(self) -> None:
        """Schedules the next read after a failed one."""
        delay = min(MAX_RETRY_S, INITIAL_RETRY_S * 2**self._failures)
        self._failures += 1
        self._reads_soon = False
        self._schedule_read(self._timers.clock.now() + self._jittered(delay))

    def _on_store_available(self) -> bool:
        """Records a reply of the store; returns whether it had been unavailable."""
        if self._store_lost_at is None:
            return False
        outage = self._timers.clock.now() - self._store_lost_at
        self._log.log(STORE_REGAINED, away_s=round(outage, 2))
        self._store_lost_at = None
        return True

    def _had_outage(self) -> bool:
        """Returns whether the store was unavailable after this node's state was read.

        That the store once failed, or did not answer this node, is not enough: the node may have
        read from peers since then, and held removals keep upstreams in use that have left.
        """
        failed_since = self._store_failed_at > self.read_at
        return failed_since and self._availability.had_outage_since(self.read_at)

    def _jittered(self, delay: float) -> float:
        """Returns a delay with jitter."""
        return delay * (1 + JITTER * (self._random.random() - 0.5))

    def _schedule_read(self, due: float) -> None:
        """Schedules the next read at a clock reading, or at once if that has passed."""
        if self._next_read is not None:
            self._next_read.cancel()
        if self._reads_soon:
            self._reads_soon = False
            due = self._timers.clock.now()
        self._next_read = self._timers.call_at(due, self._read)
