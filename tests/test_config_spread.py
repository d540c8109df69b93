"""Tests of the configuration's way from the store to every node."""

from __future__ import annotations

from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec.msgpack import encode

from sequoiapulley.fleet.config_editor import ConfigEditor
from sequoiapulley.fleet.config_record import CONFIG_KEY, ConfigRecord
from sequoiapulley.fleet.config_spread import (
    ApplyText,
    ArmWatch,
    ConfigSpread,
    RepairStore,
    SendPeer,
    SpreadOrder,
)
from sequoiapulley.fleet.text_delta import apply_delta, make_delta
from sequoiapulley.ids import ConfigVersion, EditId, NodeId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.fleet_net import make_member
from tests.watch_store import WatchStore


def make_record(version: int, text: str = "text", edit: str | None = None) -> ConfigRecord:
    """Makes a record."""
    return ConfigRecord(ConfigVersion(version), EditId(edit or f"e{version}"), "ana", 1.0, text)


class SpreadNet:
    """Nodes that share a store and send each other messages, which can be lost."""

    def __init__(self, size: int, seed: int = 1) -> None:
        """Start `size` nodes that know each other."""
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.random = Random(seed)
        self.store = WatchStore()
        self.loss = 0.0
        self.stopped: set[NodeId] = set()
        self.applied: dict[NodeId, list[ConfigVersion]] = {}
        self.bytes: Counter[str] = Counter()
        self.members = tuple(make_member(n) for n in range(size))
        self.nodes: dict[NodeId, ConfigSpread] = {}
        for member in self.members:
            self.start(member.node)

    def start(self, node: NodeId) -> None:
        """Starts a node anew, with nothing in memory."""
        member = next(m for m in self.members if m.node == node)
        self.nodes[node] = ConfigSpread(member, MemoryLog(), self.random.randrange(2**32))
        self.applied[node] = []
        self.execute(node, self.nodes[node].update_members(self.members, self.clock.now()))
        self.execute(node, self.nodes[node].start(self.clock.now()))

    def execute(self, node: NodeId, orders: list[SpreadOrder]) -> None:
        """Carries orders out."""
        spread = self.nodes[node]
        for order in orders:
            if isinstance(order, ApplyText):
                self.applied[node].append(order.version)
            elif isinstance(order, SendPeer):
                self._send(node, order)
            elif isinstance(order, ArmWatch):
                self._watch(node, spread, order)
            elif isinstance(order, RepairStore):
                editor = ConfigEditor(self.store, self.clock)
                editor.restore(order.record, order.expected, lambda _reply: None)

    def _watch(self, node: NodeId, spread: ConfigSpread, order: ArmWatch) -> None:
        def done(reply: object) -> None:
            if self.nodes[node] is spread and node not in self.stopped:
                now = self.clock.now()
                self.execute(node, spread.on_store_reply(reply, now))  # type: ignore[arg-type]

        self.store.watch(CONFIG_KEY, order.after, order.wait, done)
        self.timers.call_later(order.wait, lambda: self.store.end_watch(done))

    def _send(self, node: NodeId, order: SendPeer) -> None:
        self.bytes[type(order.message).__name__] += len(encode(order.message))
        if self.random.random() < self.loss:
            return

        def arrive() -> None:
            if order.node not in self.stopped:
                spread = self.nodes[order.node]
                now = self.clock.now()
                self.execute(order.node, spread.on_message(node, order.message, now))

        self.timers.call_later(self.random.uniform(0.001, 0.05), arrive)

    def run(self, seconds: float) -> None:
        """Advances the clock; each node hears two peers' versions a second, as from probes."""
        for step in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.timers.run_due()
            for node, spread in list(self.nodes.items()):
                if node in self.stopped:
                    continue
                self.execute(node, spread.tick(self.clock.now()))
                if step % 10 == 0:
                    self._hear_version(node, spread)

    def _hear_version(self, node: NodeId, spread: ConfigSpread) -> None:
        peer = self.random.choice(self.members).node
        if peer == node or peer in self.stopped or self.random.random() < self.loss:
            return
        version = self.nodes[peer].version()
        self.execute(node, spread.on_version_heard(peer, version, self.clock.now()))

    def edit(self, text: str) -> None:
        """Edits through the first node, which puts the edit in force at once."""
        node = self.members[0].node
        spread = self.nodes[node]

        def done(reply: object) -> None:
            self.execute(node, spread.on_local_edit(reply.unwrap()))  # type: ignore[attr-defined]

        editor = ConfigEditor(self.store, self.clock, spread.held)
        edit_id = EditId(f"edit{self.random.random()}")
        editor.apply(spread.version(), edit_id, "ana", text, done)

    def versions(self) -> set[int]:
        """Returns the versions in force on the nodes that run."""
        return {n.version() for name, n in self.nodes.items() if name not in self.stopped}


class ConfigSpreadTest(TestCase):
    """Fifteen nodes and one store."""

    def test_edit_is_in_force_everywhere_within_three_seconds_despite_an_outage(self) -> None:
        net = SpreadNet(15)
        net.run(3)
        for loss in (0.0, 0.3):
            net.loss = loss
            net.store.down = False
            net.edit(f"text {loss}")
            net.store.down = True
            net.run(3)
            self.assertEqual(net.versions(), {net.nodes[NodeId("n0")].version()}, loss)

    def test_edit_made_elsewhere_is_seen_by_the_watchers(self) -> None:
        net = SpreadNet(15)
        net.run(3)
        editor = ConfigEditor(net.store, net.clock)
        editor.apply(ConfigVersion(0), EditId("x"), "ana", "text", lambda _reply: None)
        net.store.settle_watches()
        net.run(3)
        self.assertEqual(net.versions(), {1})

    def test_one_changed_line_does_not_carry_the_whole_text(self) -> None:
        net = SpreadNet(15)
        lines = [f'"upstream-{n}": {{"host": "10.0.0.{n % 250}"}},\n' for n in range(5000)]
        net.run(3)
        net.edit("".join(lines))
        net.run(3)
        net.bytes.clear()
        lines[2500] = "changed\n"
        net.edit("".join(lines))
        net.run(3)
        self.assertEqual(net.versions(), {2})
        self.assertEqual(net.bytes["ConfigFull"], 0)
        self.assertLess(sum(net.bytes.values()), 15 * 8 * 250)

    def test_started_in_an_outage_it_takes_the_highest_version_of_its_peers(self) -> None:
        net = SpreadNet(15)
        net.run(3)
        net.edit("text")
        net.run(3)
        net.store.down = True
        net.start(NodeId("n7"))
        net.run(3)
        self.assertEqual(net.applied[NodeId("n7")], [1])

    def test_store_older_than_the_fleet_is_repaired_and_nobody_goes_back(self) -> None:
        net = SpreadNet(15)
        net.run(3)
        for text in ("one", "two", "three"):
            net.edit(text)
            if text == "one":
                backup = net.store.read(CONFIG_KEY)
            net.run(3)
        net.store.values[CONFIG_KEY] = backup
        net.run(30)
        self.assertEqual(net.versions(), {3})
        self.assertIn(b"three", net.store.read(CONFIG_KEY).value)
        net.edit("four")
        net.run(3)
        self.assertEqual(net.versions(), {4})

    def test_watchers_are_few_and_others_take_over(self) -> None:
        for size in (5, 15, 60):
            net = SpreadNet(size)
            watchers = [node for node, spread in net.nodes.items() if spread.is_watcher()]
            self.assertLessEqual(len(watchers), 6)
            self.assertGreaterEqual(len(watchers), 5)

    def test_calls_to_the_store_grow_more_slowly_than_the_fleet(self) -> None:
        calls = {}
        for size in (5, 15, 30, 60):
            net = SpreadNet(size)
            net.run(5)
            net.edit("text")
            net.run(5)
            for down in (False, True):
                net.store.down = down
                net.store.settle_watches()
                net.store.calls = 0
                net.run(60)
                calls[size, down] = net.store.calls / 60
        for down in (False, True):
            self.assertLessEqual(calls[60, down], 1.5 * calls[5, down], calls)
            self.assertLess(calls[60, down], 5)

    def test_version_never_falls_on_any_node(self) -> None:
        spread = ConfigSpread(make_member(0), MemoryLog(), 1)
        for version in (3, 2, 5, 4, 5, 1):
            spread.on_local_edit(make_record(version))
        self.assertEqual(spread.version(), 5)

    @given(st.data())
    def test_delta_rebuilds_any_text(self, data: st.DataObject) -> None:
        line = st.sampled_from(["a\n", "b\n", "{\n", "\r\n", "é", "x\u2028y\n"])
        texts = st.lists(line, max_size=12).map("".join)
        base, new = make_record(1, data.draw(texts)), make_record(2, data.draw(texts))
        delta = make_delta(base, new)
        self.assertEqual(apply_delta(base, delta), new)
        self.assertIsNone(apply_delta(make_record(1, base.text, "other"), delta))
        wrong = make_record(1, base.text + "more\n")
        self.assertIn(apply_delta(wrong, delta), (None, new))
