"""Tests that one unexpected error, or one lost result, ends no task that repeats."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from unittest import TestCase
from unittest.mock import MagicMock, patch

from msgspec import json

from sequoiapulley.daemon.fleet_task import VM_LIST_FIRST_PERIOD_S, FleetTask
from sequoiapulley.daemon.heartbeat_task import HeartbeatTask
from sequoiapulley.daemon.leave_task import POLL_PERIOD_S, LeaveTask
from sequoiapulley.daemon.settings_task import SETTINGS_POLL_INTERVAL_S, SettingsTask
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.log_events import STORE_LOST
from sequoiapulley.forward.peer_table import LOCAL_HEARTBEAT_INTERVAL_S, PeerTable
from sequoiapulley.forward.pending_read import READ_LIMIT_S
from sequoiapulley.forward.shared_state import SharedState
from sequoiapulley.forward.state import UnreadableEntry
from sequoiapulley.forward.state_feed import ReadPlan, StateFeed
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.forward.upstream_contact import RECHECK_INTERVAL_S, UpstreamContact
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.platform.kv_source import KvSource
from sequoiapulley.runtime import PausedClock, TimerQueue, WakeUpTimer
from sequoiapulley.runtime.wake_up import ERROR_PAUSE_S
from sequoiapulley.upstream.health_poller import HEALTH_PERIOD_S, HealthPoller
from sequoiapulley.upstream.transport import SWEEP_INTERVAL_S as POOL_SWEEP_INTERVAL_S
from sequoiapulley.wire.http_client import SWEEP_INTERVAL_S, HttpCall, HttpClient
from standins.store import StoreStandIn
from tests.simulated_upstreams import SimulatedNet, success
from tests.state_fixtures import ScriptedSource, changes, node, read, upstream_change
from tests.test_platform_documents import UPSTREAM
from tests.upstream_fakes import configuration
from tests.wire_support import Loop, Recorder, ScriptedServer, reply_bytes

STEP_S = 0.05


class FailsOnce:
    """A function that raises at its first call and counts the others."""

    def __init__(self, result: object = None) -> None:
        self.result = result
        self.calls = 0
        self.failed = False

    def __call__(self, *_args: object) -> object:
        if not self.failed:
            self.failed = True
            raise ZeroDivisionError("unexpected")
        self.calls += 1
        return self.result


class RepeatingTaskCase(TestCase):
    """Timers on a paused clock, which go on after an error as the event loops do."""

    def setUp(self) -> None:
        self.errors: list[Exception] = []
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock, self.errors.append)

    def run_for(self, seconds: float, timers: TimerQueue | None = None) -> None:
        for _ in range(round(seconds / STEP_S) + 1):
            self.clock.advance(STEP_S)
            (timers or self.timers).run_due()

    def assert_goes_on(self, task: FailsOnce, times: int = 2) -> None:
        self.assertTrue(task.failed)
        self.assertGreaterEqual(task.calls, times)
        self.assertEqual([type(error) for error in self.errors], [ZeroDivisionError])


class BothProgramsTest(RepeatingTaskCase):
    """What both programs use."""

    # Guards against a state machine that stands still after one step of it has failed.
    def test_wake_up(self) -> None:
        tick = FailsOnce()
        wake_up = WakeUpTimer(self.timers, self.clock.now, tick)
        wake_up.rearm()
        self.timers.run_due()
        self.timers.run_due()
        self.assertEqual((tick.failed, tick.calls), (True, 0), "ticks at once after an error")
        self.run_for(2 * ERROR_PAUSE_S)
        self.assert_goes_on(tick)

    # Guards against stale connections that are never closed again.
    def test_sweep_of_the_client(self) -> None:
        loop = Loop(self.clock)
        server = ScriptedServer(loop)
        self.addCleanup(server.close)
        client = HttpClient(loop.reactor, self.clock, self.timers)
        self.addCleanup(client.close)
        call = HttpCall("127.0.0.1", server.port, "GET", "/")
        client.request(call, lambda _result: None)
        server.accept().sendall(reply_bytes(1))
        loop.settle()
        is_stale = FailsOnce(False)
        with patch.object(client, "_is_stale", is_stale):
            self.run_for(4 * SWEEP_INTERVAL_S)
        self.assert_goes_on(is_stale)

    def test_sweep_that_finds_nothing_ends_the_series(self) -> None:
        loop = Loop(self.clock)
        client = HttpClient(loop.reactor, self.clock, self.timers)
        client.request(HttpCall("127.0.0.1", 1, "GET", "/", timeout=0.1), lambda _result: None)
        loop.settle()
        self.run_for(2 * SWEEP_INTERVAL_S)
        self.assertIsNone(self.timers.next_due())


class ForwardingNodeTest(RepeatingTaskCase):
    """The tasks of the forwarding node."""

    def feed(self, source: ScriptedSource, on_changes: Callable[..., object]) -> StateFeed:
        self.log = MemoryLog()
        plan = ReadPlan(source, True, 2.0, 1.0)
        feed = StateFeed(
            lambda _failures: plan,
            self.timers,
            self.log,
            Random(1),
            on_changes,  # type: ignore[arg-type]
            StoreAvailability(),
        )
        feed.start()
        return feed

    # Guards against CONFIG of review case 3: a read without a result was never followed by another.
    def test_read_without_a_result(self) -> None:
        source = ScriptedSource()
        applied: list[object] = []
        self.feed(source, lambda found, _after_outage: applied.append(found))
        self.run_for(READ_LIMIT_S - 1.0)
        self.assertEqual(source.asked, ["stale"])
        self.run_for(2.0)
        self.assertEqual(source.asked, ["stale", "stale"])
        self.assertEqual([event for event, _ in self.log.entries], [STORE_LOST])
        source.reply(read(changes(5, whole=True)))
        self.run_for(1.0)
        self.assertEqual(source.asked, ["stale", "stale"], "the result of the lost read counted")
        source.reply(read(changes(7, whole=True)))
        self.run_for(1.0)
        self.assertEqual(source.asked[2:], ["after 7"])

    # Guards against a change that cannot be applied and keeps the others from callers and peers.
    def test_change_that_cannot_be_applied(self) -> None:
        net = SimulatedNet(lambda *_args: (0.001, success()))
        log = ChangeLog()
        state = SharedState(
            net.forwarder,
            net.directory,
            PeerTable(node("me"), net.log),
            net.ctx.crash_guard,
            log,
            TableHistory(),
            net.timers,
            net.log,
        )
        odd, put = "u-odd", net.directory.put

        def fail(record: object) -> bool:
            if getattr(record, "name", "") == odd:
                raise ZeroDivisionError("unexpected")
            return put(record)  # type: ignore[arg-type]

        names = ("u-1", odd, "u-2")
        with (
            patch.object(net.directory, "put", fail),
            self.assertRaisesRegex(ExceptionGroup, "revision 3") as caught,
        ):
            state.apply_changes(changes(3, *map(upstream_change, names), whole=True), False)
        self.assertIsInstance(caught.exception.exceptions[0], ZeroDivisionError)
        self.assertEqual(net.directory.names(), {"u-1", "u-2"})
        self.assertEqual(log.position.revision, 3)

    # Guards against CONFIG of review case 3 for any further error of one entry.
    def test_entry_with_an_unexpected_error(self) -> None:
        store = StoreStandIn()
        store.start()
        self.addCleanup(store.stop)
        for name in ("u-1", "u-2"):
            store.put(f"servers/{name}", json.encode(UPSTREAM))
        loop = Loop()
        client = HttpClient(loop.reactor, loop.clock, loop.timers)
        self.addCleanup(client.close)
        found: list[object] = []
        decode = FailsOnce()
        with patch("sequoiapulley.platform.kv_source.decode_item", decode):
            source = KvSource(client, store.host, store.port)
            source.read_all(True, 5.0, lambda reply: found.extend(reply.unwrap().changes))
            loop.until(lambda: bool(found))
        self.assertEqual(decode.calls, 1)
        entry = found[0]
        assert isinstance(entry, UnreadableEntry)
        self.assertIn("ZeroDivisionError", entry.detail)

    # Guards against peers that take a node as lost after one heartbeat of it has failed.
    def test_heartbeats(self) -> None:
        make = FailsOnce()
        peers = PeerTable(node("me"), MemoryLog())
        task = HeartbeatTask(MagicMock(), peers, self.timers, make)  # type: ignore[arg-type]
        with self.assertRaises(ZeroDivisionError) as caught:
            task.start()
        self.errors.append(caught.exception)
        self.run_for(3 * LOCAL_HEARTBEAT_INTERVAL_S)
        self.assert_goes_on(make)

    def test_settings(self) -> None:
        poll = FailsOnce()
        watch = MagicMock(poll=poll)
        task = SettingsTask(MagicMock(), watch, self.timers, MemoryLog(), lambda _cfg: None)
        self.timers.call_later(0.0, task.start)
        self.run_for(3 * SETTINGS_POLL_INTERVAL_S)
        self.assert_goes_on(poll)

    def contact(self) -> UpstreamContact:
        """Returns the contact of a node that has just been cut off."""
        self.net = SimulatedNet(lambda *_args: (0.001, success()))
        for number in range(8):
            self.net.add(f"u-{number}", "s")
        self.down = True
        self.net.is_down = lambda _name: self.down
        contact = UpstreamContact(
            self.net.timers, Random(3), MemoryLog(), self.net.directory.accepting
        )
        contact.on_change = FailsOnce()  # type: ignore[assignment]
        for upstream in self.net.directory.accepting():
            contact.record_unreachable(upstream)
        return contact

    # Guards against a node that stays cut off as the change of its state raised an error.
    def test_checks_of_a_node_that_is_cut_off(self) -> None:
        contact = self.contact()
        with self.assertRaises(ZeroDivisionError):
            self.net.run(1.0)
        self.assertTrue(contact.cut_off)
        self.down = False
        self.net.run(3 * RECHECK_INTERVAL_S)
        self.assertFalse(contact.cut_off)

    # Guards against a node that stays cut off after the entries of its upstreams have lapsed.
    def test_checks_of_a_node_without_upstreams(self) -> None:
        contact = self.contact()
        contact.on_change = lambda: None
        self.net.run(1.0)
        self.assertTrue(contact.cut_off)
        records = self.net.directory.records()
        for record in records:
            self.net.directory.remove(record.name)
        self.net.run(3 * RECHECK_INTERVAL_S)
        for record in records:
            self.net.directory.put(record)
        self.down = False
        self.net.run(3 * RECHECK_INTERVAL_S)
        self.assertFalse(contact.cut_off)


class SequoiapulleydTest(RepeatingTaskCase):
    """The tasks of sequoiapulleyd."""

    # Guards against overdue exchanges that have no outcome any more.
    def test_sweep_of_the_pools(self) -> None:
        loop = Loop(self.clock)
        recorder = Recorder(loop, 1)
        loop.timers = self.timers
        sweep = FailsOnce()
        pool = next(iter(recorder.transport._pools.values()))
        with patch.object(pool, "sweep", sweep):
            recorder.transport._timers = self.timers
            with self.assertRaises(ZeroDivisionError) as caught:
                recorder.transport._sweep()
            self.errors.append(caught.exception)
            self.run_for(3 * POOL_SWEEP_INTERVAL_S)
        self.assert_goes_on(sweep)

    # Guards against a node that never learns of the VMs that start after it.
    def test_list_of_vms(self) -> None:
        fetch = FailsOnce()
        membership = MagicMock(members=lambda: (MagicMock(),))
        task = FleetTask(
            membership, MagicMock(fetch=fetch), self.timers, MemoryLog(), MagicMock(), 1
        )
        self.timers.call_later(0.0, task._fetch_vm_list)
        self.run_for(4 * VM_LIST_FIRST_PERIOD_S)
        self.assert_goes_on(fetch)

    # Guards against a shutdown that never ends.
    def test_shutdown(self) -> None:
        in_flight = FailsOnce(0)
        finished: list[bool] = []
        task = LeaveTask(
            self.timers,
            MemoryLog(),
            1.0,
            lambda: None,
            lambda: None,
            in_flight,  # type: ignore[arg-type]
            lambda: finished.append(True),
        )
        task.start()
        self.run_for(1.0 + 5 * POLL_PERIOD_S)
        self.assert_goes_on(in_flight, times=1)
        self.assertEqual(finished, [True])

    def test_polls_of_health(self) -> None:
        request = FailsOnce()
        poller = HealthPoller(
            MagicMock(request=request), self.timers, lambda _name, _report: None, seed=1
        )
        config = configuration(instances=1)
        name = next(
            upstream.name
            for service in config.services.values()
            for instance in service.instances
            for upstream in instance.upstreams
        )
        poller.configure(config, frozenset({name}))
        self.run_for(4 * HEALTH_PERIOD_S)
        self.assert_goes_on(request)
