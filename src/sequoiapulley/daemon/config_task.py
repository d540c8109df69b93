"""Activates configurations on this node and replicates them to the others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from circuits import BaseComponent, handler
from result import Err, Ok

from sequoiapulley.daemon.log_events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_UNREADABLE,
    STORE_REACHABLE,
    STORE_UNREACHABLE,
)
from sequoiapulley.daemon.message_router import MessageRouter
from sequoiapulley.daemon.node_events import ConfigurationApplied
from sequoiapulley.daemon.text_check import TextCheck
from sequoiapulley.fleet.config_editor import ConfigEditor, EditReply
from sequoiapulley.fleet.config_messages import ConfigDelta, ConfigFull, ConfigRequest
from sequoiapulley.fleet.config_record import CONFIG_KEY, ConfigRecord
from sequoiapulley.fleet.config_replicator import (
    ApplyText,
    ConfigAction,
    ConfigReplicator,
    RepairStore,
    SendToPeer,
    WatchConfigKey,
)
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import ConfigVersion, EditId, Incarnation, NodeId
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.model import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.store import Store, StoreErrorKind, StoreReply
from sequoiapulley.runtime import Clock, TimerQueue, WakeUpTimer
from sequoiapulley.settings.text import ParsedConfiguration


class ConfigTask(BaseComponent):
    """Owns the active configuration and executes the actions of its replication."""

    channel = "node"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        message_router: MessageRouter,
        store: Store,
        replicator: ConfigReplicator,
        log: LogSink,
    ) -> None:
        """Initialise without a configuration.

        Args:
            clock: Clock of the process.
            timers: Timers of the process.
            message_router: Sends messages to nodes.
            store: Client of the platform's store.
            replicator: State machine of the replication.
            log: Receives log events.
        """
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._check: TextCheck | None = None
        self.check_s = 0.0
        """Time spent on validating the active configuration, in seconds."""
        self._message_router = message_router
        self._store = store
        self._replicator = replicator
        self._log = log
        self._editor = ConfigEditor(store, clock, replicator.current_record)
        self._wake_up = WakeUpTimer(timers, replicator.next_due, self._tick)
        self.configuration: Configuration | None = None
        self.store_reachable = True
        self.on_version_applied: Callable[[ConfigVersion], None] = lambda _version: None
        self._action_handlers: dict[type[ConfigAction], Callable[[Any], None]] = {
            ApplyText: self._apply_text,
            SendToPeer: self._send_to_peer,
            WatchConfigKey: self._watch_config_key,
            RepairStore: self._repair_store,
        }

    def start(self) -> None:
        """Starts to read the configuration from the store and from peers."""
        self._execute(self._replicator.start(self._clock.now()))

    def record(self) -> ConfigRecord | None:
        """Returns the newest record that this node has, or None."""
        return self._replicator.current_record()

    def check_text(
        self,
        text: str,
        version: ConfigVersion,
        file: str,
        done: Callable[[ParsedConfiguration], None],
    ) -> None:
        """Validates an operator's text in steps that do not block the event loop.

        Args:
            text: JSON with comments.
            version: Version that the configuration would get.
            file: File name to state in findings.
            done: Called once with the configuration or the findings.
        """
        TextCheck(text, version, file, self._timers, done).run()

    def edit(
        self,
        base_version: ConfigVersion,
        edit_id: EditId,
        author: str,
        text: str,
        done: Callable[[EditReply], None],
    ) -> None:
        """Writes an edit whose text has been validated.

        Args:
            base_version: Version that the operator edited.
            edit_id: Unique id of the edit.
            author: Name of the operator.
            text: The complete new text.
            done: Called once with the accepted record, the conflict or the store's error.
        """

        def written(reply: EditReply) -> None:
            if isinstance(reply, Ok):
                self._execute(self._replicator.on_local_edit(reply.ok_value))
            done(reply)

        self._editor.apply(base_version, edit_id, author, text, written)

    def history(self, done: Callable[[tuple[ConfigRecord, ...]], None]) -> None:
        """Reads the accepted edits that the store retains, newest first."""
        self._editor.history(done)

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Updates the replication with the current members of the fleet."""
        self._execute(self._replicator.update_members(members, self._clock.now()))

    def record_peer_version(self, node: NodeId, version: ConfigVersion) -> None:
        """Records the configuration version that is active on a peer."""
        self._execute(self._replicator.on_peer_version(node, version, self._clock.now()))

    @handler("MessageArrived")
    def _on_message_arrived(self, node: NodeId, _: Incarnation, message: LinkMessage) -> None:
        """Handles the messages of the configuration replication."""
        if isinstance(message, ConfigFull | ConfigDelta | ConfigRequest):
            self._execute(self._replicator.on_message(node, message, self._clock.now()))

    def _apply_text(self, action: ApplyText) -> None:
        """Starts to validate a text; the check of an older one is cancelled."""
        if self._check is not None:
            self._check.cancel()
        self._check = TextCheck(
            action.text,
            action.version,
            CONFIG_KEY,
            self._timers,
            lambda result: self._finish_check(action, result),
        )
        self._check.run()

    def _finish_check(self, action: ApplyText, result: ParsedConfiguration) -> None:
        """Activates a validated configuration, or logs the findings."""
        check, self._check = self._check, None
        if isinstance(result, Err):
            findings = "; ".join(str(finding) for finding in result.err_value)
            self._log.log(CONFIGURATION_UNREADABLE, version=action.version, findings=findings)
            return
        self.configuration = result.ok_value
        self.check_s = check.seconds if check is not None else 0.0
        self._log.log(CONFIGURATION_APPLIED, version=action.version, edit=action.edit_id)
        self.fire(ConfigurationApplied(result.ok_value))
        self.on_version_applied(action.version)

    def _send_to_peer(self, action: SendToPeer) -> None:
        """Sends a message to a peer; anti-entropy makes up for its loss."""
        self._message_router.send(action.node, action.message)

    def _watch_config_key(self, action: WatchConfigKey) -> None:
        """Watches the configuration key, or reads it at once if there is nothing to wait for."""
        if action.wait > 0:
            self._store.watch(CONFIG_KEY, action.after, action.wait, self._on_store_reply)
            return
        self._store.get(CONFIG_KEY, self._on_store_reply)

    def _repair_store(self, action: RepairStore) -> None:
        """Writes the fleet's record into a store that was restored from an older state."""
        self._editor.repair(action.record, action.expected, lambda _reply: None)

    def _on_store_reply(self, reply: StoreReply) -> None:
        """Handles the store's reply to a watch or a read."""
        self._update_store_reachability(reply)
        self._execute(self._replicator.on_store_reply(reply, self._clock.now()))

    def _update_store_reachability(self, reply: StoreReply) -> None:
        """Logs a change of the store's reachability."""
        unreachable_kinds = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.NO_REPLY)
        reachable = not (isinstance(reply, Err) and reply.err_value.kind in unreachable_kinds)
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        self._log.log(STORE_REACHABLE if reachable else STORE_UNREACHABLE)

    def _tick(self) -> None:
        """Runs the replication steps that are due."""
        self._execute(self._replicator.tick(self._clock.now()))

    def _execute(self, actions: Iterable[ConfigAction]) -> None:
        """Executes actions and sets the timer of the next step."""
        try:
            for action in actions:
                self._action_handlers[type(action)](action)
        finally:
            self._wake_up.rearm()
