"""Applies shared state to this node: configuration, upstreams and registered nodes."""

from __future__ import annotations

from typing import Final

from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.crash_guard import CrashGuard
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.log_events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_UNREADABLE,
    ENTRY_OUTDATED,
    ENTRY_UNREADABLE,
    REMOVAL_HELD,
    UPSTREAM_LEAVES,
    UPSTREAM_REGISTERED,
)
from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.state import (
    Change,
    ChangeSet,
    NodeChange,
    NodeRemoval,
    RequestRefusal,
    TableChange,
    UnreadableEntry,
    UpstreamChange,
    UpstreamRemoval,
)
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.ids import Revision, UpstreamName
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue

REREGISTRATION_S: Final = 2.2
"""Time within which an upstream is registered again after its entry expired in an outage of the
store; the platform's contract states about two seconds."""


class SharedState:
    """Applies each change of the shared state once, and adds it to the change log."""

    def __init__(
        self,
        forwarder: Forwarder,
        directory: UpstreamDirectory,
        peers: PeerTable,
        crash_guard: CrashGuard,
        change_log: ChangeLog,
        history: TableHistory,
        timers: TimerQueue,
        log: LogSink,
    ) -> None:
        """Initialise without state.

        Args:
            forwarder: Receives the configuration.
            directory: Receives the upstreams.
            peers: Receives the registered nodes.
            crash_guard: Receives the refused requests.
            change_log: Receives the changes that were applied.
            history: Receives the configuration versions that were applied.
            timers: Timers of the event loop.
            log: Receives an event for each change.
        """
        self._forwarder = forwarder
        self._directory = directory
        self._peers = peers
        self._crash_guard = crash_guard
        self._change_log = change_log
        self._history = history
        self._timers = timers
        self._log = log
        self._pending_removals: dict[UpstreamName, float] = {}
        self._outdated: set[UpstreamName] = set()
        """Upstreams whose outdated entries were logged in this era."""

    def apply_changes(self, changes: ChangeSet, after_outage: bool) -> None:
        """Applies changes.

        Args:
            changes: The changes.
            after_outage: Whether the changes follow an outage or a restoration of the store, so
                that a removed entry may have expired or be missing in the copy.

        Raises:
            ExceptionGroup: If changes could not be applied; all others are.
        """
        if changes.era > self._change_log.position.era:
            self._directory.era = changes.era
            self._outdated.clear()
        if changes.whole:
            self._change_log.restart(changes.position)
        revision = changes.revision
        errors: list[Exception] = []
        for change in changes.changes:
            try:
                self._apply(change, after_outage, revision)
            except Exception as exc:
                errors.append(exc)
        if changes.whole:
            named = {
                change.record.name
                for change in changes.changes
                if isinstance(change, UpstreamChange)
            }
            for name in self._directory.names() - named:
                self._remove(UpstreamRemoval(name, after_outage), revision)
        self._change_log.advance(changes.position)
        if errors:
            raise ExceptionGroup(f"changes up to revision {revision} not applied", errors)

    def full_state(self, age: float) -> ChangeSet:
        """Returns the full state of this node, for a peer.

        Args:
            age: Age of the state: seconds since the store was in this state.
        """
        changes: list[Change] = []
        if self._forwarder.table is not None:
            changes.append(TableChange(self._forwarder.table))
        changes.extend(UpstreamChange(record) for record in self._directory.records())
        changes.extend(NodeChange(record) for record in self._peers.registered())
        changes.extend(UpstreamRemoval(name, may_return=True) for name in self._pending_removals)
        position = self._change_log.position
        return ChangeSet(position.revision, tuple(changes), True, age, position.era)

    def _apply(self, change: Change, after_outage: bool, revision: Revision) -> None:
        """Applies one change."""
        if isinstance(change, UpstreamChange):
            self._put(change, revision)
        elif isinstance(change, UpstreamRemoval):
            may_return = change.may_return or after_outage
            self._remove(UpstreamRemoval(change.name, may_return), revision)
        elif isinstance(change, TableChange):
            self._apply_table(change, revision)
        elif isinstance(change, NodeChange):
            self._peers.register(change.record)
            self._change_log.append(change, revision)
        elif isinstance(change, NodeRemoval):
            self._peers.unregister(change.name)
            self._change_log.append(change, revision)
        elif isinstance(change, RequestRefusal):
            # Heartbeats pass it on to the nodes that read from this one.
            self._crash_guard.restore(change)
        else:
            self._handle_unreadable(change, after_outage, revision)

    def _put(self, change: UpstreamChange, revision: Revision) -> None:
        """Registers an upstream or updates its record."""
        record = change.record
        if self._directory.is_outdated(record):
            self._log_outdated(record, revision)
            return
        # A peer that reads from this node may have read the removal itself.
        returned = change.returned
        if self._pending_removals.pop(record.name, None) is not None:
            returned = True
        if not self._directory.put(record) and not returned:
            return
        self._change_log.append(change, revision)
        self._log.log(
            UPSTREAM_LEAVES if record.draining else UPSTREAM_REGISTERED,
            upstream=record.name,
            service=record.service,
            draining=record.draining,
            revision=revision,
        )

    def _log_outdated(self, record: UpstreamRecord, revision: Revision) -> None:
        """Logs an entry that precedes the departure of its upstream, once in an era."""
        if record.name in self._outdated:
            return
        self._outdated.add(record.name)
        self._log.log(
            ENTRY_OUTDATED, upstream=record.name, service=record.service, revision=revision
        )

    def _apply_table(self, change: TableChange, revision: Revision) -> None:
        """Activates a configuration if it is newer."""
        table = change.table
        if not self._forwarder.apply(table):
            return
        self._history.record(table)
        self._change_log.append(change, revision)
        self._log.log(
            CONFIGURATION_APPLIED,
            version=table.version,
            routes=len(table.routes),
            services=len(table.services),
            revision=revision,
        )

    def _handle_unreadable(
        self, change: UnreadableEntry, after_outage: bool, revision: Revision
    ) -> None:
        """Logs an unreadable entry; the upstream that it would register is removed."""
        event = CONFIGURATION_UNREADABLE if change.is_configuration else ENTRY_UNREADABLE
        self._log.log(event, key=change.key, error=change.detail)
        if change.upstream is not None:
            self._remove(UpstreamRemoval(change.upstream, after_outage), revision)

    def _remove(self, change: UpstreamRemoval, revision: Revision) -> None:
        """Removes an upstream, at once or after the time in which it may register again."""
        name = change.name
        # A peer that reads from this node may have registered the upstream itself.
        self._change_log.append(change, revision)
        if name in self._pending_removals or self._directory.find(name) is None:
            return
        if not change.may_return:
            self._directory.record_removal(name)
            self._remove_now(name, "entry removed")
            return
        self._log.log(REMOVAL_HELD, upstream=name, revision=revision, hold_s=REREGISTRATION_S)
        due = self._timers.clock.now() + REREGISTRATION_S
        self._pending_removals[name] = due
        self._timers.call_at(due, lambda: self._expire_pending_removal(name, due))

    def _expire_pending_removal(self, name: UpstreamName, due: float) -> None:
        """Removes an upstream that did not register again in time."""
        if self._pending_removals.get(name) == due:
            del self._pending_removals[name]
            self._remove_now(name, "entry expired and was not registered again")

    def _remove_now(self, name: UpstreamName, cause: str) -> None:
        """Removes an upstream and logs it."""
        if self._directory.remove(name):
            self._log.log(UPSTREAM_LEAVES, upstream=name, cause=cause)
