"""Simulation of nodes that replicate a configuration from a store that can be down."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from msgspec.msgpack import encode

from sequoiapulley.fleet.config_editor import ConfigEditor
from sequoiapulley.fleet.config_record import CONFIG_KEY, ConfigRecord
from sequoiapulley.fleet.config_replicator import (
    ApplyText,
    ConfigAction,
    ConfigReplicator,
    RepairStore,
    SendToPeer,
    WatchConfigKey,
)
from sequoiapulley.ids import ConfigVersion, EditId, NodeId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.membership_simulation import make_member
from tests.watch_store import WatchStore


def make_record(version: int, text: str = "text", edit: str | None = None) -> ConfigRecord:
    """Makes a configuration record."""
    return ConfigRecord(ConfigVersion(version), EditId(edit or f"e{version}"), "ana", 1.0, text)


class ConfigSimulation:
    """Runs nodes that share a store, and delivers their messages with delay and loss."""

    def __init__(self, size: int, seed: int = 1) -> None:
        """Start `size` nodes that are members of the same fleet."""
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.random = Random(seed)
        self.store = WatchStore()
        self.loss = 0.0
        self.stopped: set[NodeId] = set()
        self.is_partitioned: Callable[[NodeId, NodeId], bool] = lambda _a, _b: False
        self.applied: dict[NodeId, list[ConfigVersion]] = {}
        self.bytes: Counter[str] = Counter()
        self.members = tuple(make_member(n) for n in range(size))
        self.nodes: dict[NodeId, ConfigReplicator] = {}
        for member in self.members:
            self.start(member.node)

    def start(self, node: NodeId) -> None:
        """Starts or restarts a node without a configuration in memory."""
        member = next(m for m in self.members if m.node == node)
        self.nodes[node] = ConfigReplicator(member, MemoryLog(), self.random.randrange(2**32))
        self.applied[node] = []
        self.execute(node, self.nodes[node].update_members(self.members, self.clock.now()))
        self.execute(node, self.nodes[node].start(self.clock.now()))

    def execute(self, node: NodeId, actions: list[ConfigAction]) -> None:
        """Performs the actions of a node."""
        replicator = self.nodes[node]
        for action in actions:
            if isinstance(action, ApplyText):
                self.applied[node].append(action.version)
            elif isinstance(action, SendToPeer):
                self._send(node, action)
            elif isinstance(action, WatchConfigKey):
                self._watch(node, replicator, action)
            elif isinstance(action, RepairStore):
                editor = ConfigEditor(self.store, self.clock)
                editor.repair(action.record, action.expected, lambda _reply: None)

    def _watch(self, node: NodeId, replicator: ConfigReplicator, action: WatchConfigKey) -> None:
        def done(reply: object) -> None:
            if self.nodes[node] is replicator and node not in self.stopped:
                now = self.clock.now()
                self.execute(node, replicator.on_store_reply(reply, now))  # type: ignore[arg-type]

        self.store.watch(CONFIG_KEY, action.after, action.wait, done)
        self.timers.call_later(action.wait, lambda: self.store.answer_watch(done))

    def _send(self, node: NodeId, action: SendToPeer) -> None:
        self.bytes[type(action.message).__name__] += len(encode(action.message))
        if self.random.random() < self.loss or self.is_partitioned(node, action.node):
            return

        def arrive() -> None:
            if action.node not in self.stopped:
                replicator = self.nodes[action.node]
                now = self.clock.now()
                self.execute(action.node, replicator.on_message(node, action.message, now))

        self.timers.call_later(self.random.uniform(0.001, 0.05), arrive)

    def run(self, seconds: float) -> None:
        """Advances the clock; each node receives two peers' versions per second, as from probes."""
        for step in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.timers.run_due()
            for node, replicator in list(self.nodes.items()):
                if node in self.stopped:
                    continue
                self.execute(node, replicator.tick(self.clock.now()))
                if step % 10 == 0:
                    self._receive_version(node, replicator)

    def _receive_version(self, node: NodeId, replicator: ConfigReplicator) -> None:
        peer = self.random.choice(self.members).node
        if peer == node or peer in self.stopped or self.is_partitioned(node, peer):
            return
        if self.random.random() < self.loss:
            return
        version = self.nodes[peer].version()
        self.execute(node, replicator.on_peer_version(peer, version, self.clock.now()))

    def edit(self, text: str, number: int = 0) -> None:
        """Edits the configuration through a node, which activates the edit at once."""
        node = self.members[number].node
        replicator = self.nodes[node]

        def done(reply: object) -> None:
            self.execute(node, replicator.on_local_edit(reply.unwrap()))  # type: ignore[attr-defined]

        editor = ConfigEditor(self.store, self.clock, replicator.current_record)
        edit_id = EditId(f"edit{self.random.random()}")
        editor.apply(replicator.version(), edit_id, "ana", text, done)

    def versions_on(self, nodes: set[NodeId]) -> set[int]:
        """Returns the active versions of some nodes."""
        return {self.nodes[node].version() for node in nodes}

    def versions(self) -> set[int]:
        """Returns the active versions of all nodes that are not stopped."""
        return {n.version() for name, n in self.nodes.items() if name not in self.stopped}
