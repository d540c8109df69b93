"""Brings configurations into force on this node and carries them to the others."""

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
from sequoiapulley.daemon.node_events import ConfigurationApplied
from sequoiapulley.daemon.postbox import Postbox
from sequoiapulley.daemon.text_check import TextCheck
from sequoiapulley.fleet.config_editor import ConfigEditor, EditReply
from sequoiapulley.fleet.config_messages import ConfigDelta, ConfigFull, ConfigRequest
from sequoiapulley.fleet.config_record import CONFIG_KEY, ConfigRecord
from sequoiapulley.fleet.config_spread import (
    ApplyText,
    ArmWatch,
    ConfigSpread,
    RepairStore,
    SendPeer,
    SpreadOrder,
)
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import ConfigVersion, EditId, Incarnation, NodeId
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.model import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.store import Store, StoreErrorKind, StoreReply
from sequoiapulley.runtime import Clock, TimerQueue, WakeUp
from sequoiapulley.settings.text import ParsedText


class ConfigTask(BaseComponent):
    """Owns the configuration in force and its spread."""

    channel = "node"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        postbox: Postbox,
        store: Store,
        spread: ConfigSpread,
        log: LogSink,
    ) -> None:
        """Initialise without a configuration.

        Args:
            clock: Clock of the process.
            timers: Timers of the process.
            postbox: The way to nodes.
            store: The platform's store.
            spread: The decisions.
            log: Where events go.
        """
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._check: TextCheck | None = None
        self.check_s = 0.0
        self._postbox = postbox
        self._store = store
        self._spread = spread
        self._log = log
        self._editor = ConfigEditor(store, clock, spread.held)
        self._wake_up = WakeUp(timers, spread.next_due, self._tick)
        self.configuration: Configuration | None = None
        self.store_reachable = True
        self.on_version: Callable[[ConfigVersion], None] = lambda _version: None
        self._performers: dict[type[SpreadOrder], Callable[[Any], None]] = {
            ApplyText: self._apply,
            SendPeer: self._send_peer,
            ArmWatch: self._arm_watch,
            RepairStore: self._repair,
        }

    def start(self) -> None:
        """Starts to look for a configuration."""
        self._perform(self._spread.start(self._clock.now()))

    def record(self) -> ConfigRecord | None:
        """Returns the record that this node holds."""
        return self._spread.held()

    def check_text(
        self, text: str, version: ConfigVersion, file: str, done: Callable[[ParsedText], None]
    ) -> None:
        """Checks an operator's text without a stall of the event loop.

        Args:
            text: JSON with comments.
            version: Version that the configuration would get.
            file: Name for findings.
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
        """Writes an edit whose text has passed the check.

        Args:
            base_version: Version the operator edited.
            edit_id: Unique id of the edit.
            author: Who edits.
            text: The whole new text.
            done: Called once with the accepted record, the conflict or the store's error.
        """

        def written(reply: EditReply) -> None:
            if isinstance(reply, Ok):
                self._perform(self._spread.on_local_edit(reply.ok_value))
            done(reply)

        self._editor.apply(base_version, edit_id, author, text, written)

    def history(self, done: Callable[[tuple[ConfigRecord, ...]], None]) -> None:
        """Reads the accepted edits that the store keeps, newest first."""
        self._editor.history(done)

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Takes the view of the fleet."""
        self._perform(self._spread.update_members(members, self._clock.now()))

    def version_heard(self, node: NodeId, version: ConfigVersion) -> None:
        """Takes the version that a node has in force."""
        self._perform(self._spread.on_version_heard(node, version, self._clock.now()))

    @handler("MessageArrived")
    def _on_message_arrived(self, node: NodeId, _: Incarnation, message: LinkMessage) -> None:
        """Takes the messages of the spread."""
        if isinstance(message, ConfigFull | ConfigDelta | ConfigRequest):
            self._perform(self._spread.on_message(node, message, self._clock.now()))

    def _apply(self, order: ApplyText) -> None:
        """Starts to check a text; a check of an older one is given up."""
        if self._check is not None:
            self._check.cancel()
        self._check = TextCheck(
            order.text,
            order.version,
            CONFIG_KEY,
            self._timers,
            lambda result: self._finish_check(order, result),
        )
        self._check.run()

    def _finish_check(self, order: ApplyText, result: ParsedText) -> None:
        """Brings a checked text into force."""
        check, self._check = self._check, None
        if isinstance(result, Err):
            findings = "; ".join(str(finding) for finding in result.err_value)
            self._log.log(CONFIGURATION_UNREADABLE, version=order.version, findings=findings)
            return
        self.configuration = result.ok_value
        self.check_s = check.seconds if check is not None else 0.0
        self._log.log(CONFIGURATION_APPLIED, version=order.version, edit=order.edit_id)
        self.fire(ConfigurationApplied(result.ok_value))
        self.on_version(order.version)

    def _send_peer(self, order: SendPeer) -> None:
        """Sends a message of the spread; its loss is covered by anti-entropy."""
        self._postbox.send(order.node, order.message)

    def _arm_watch(self, order: ArmWatch) -> None:
        """Watches the key, or reads it at once."""
        if order.wait > 0:
            self._store.watch(CONFIG_KEY, order.after, order.wait, self._on_store_reply)
            return
        self._store.get(CONFIG_KEY, self._on_store_reply)

    def _repair(self, order: RepairStore) -> None:
        """Writes the fleet's record into a store that came back older."""
        self._editor.restore(order.record, order.expected, lambda _reply: None)

    def _on_store_reply(self, reply: StoreReply) -> None:
        """Takes what the store answered to a watch."""
        self._note_store(reply)
        self._perform(self._spread.on_store_reply(reply, self._clock.now()))

    def _note_store(self, reply: StoreReply) -> None:
        """Logs when the store goes and comes back."""
        down = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.NO_REPLY)
        reachable = not (isinstance(reply, Err) and reply.err_value.kind in down)
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        self._log.log(STORE_REACHABLE if reachable else STORE_UNREACHABLE)

    def _tick(self) -> None:
        """Lets the spread do what is due."""
        self._perform(self._spread.tick(self._clock.now()))

    def _perform(self, orders: Iterable[SpreadOrder]) -> None:
        """Carries out orders and sets the next timer."""
        for order in orders:
            self._performers[type(order)](order)
        self._wake_up.rearm()
