"""Tests of the node's lifecycle, and of settings that change while it runs."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec.structs import replace
from result import Err, Ok, Result

from sequoiapulley.daemon.node_lifecycle import MAX_DRAIN_FRACTION, MIN_DRAIN_S, NodeLifecycle
from sequoiapulley.daemon.settings_task import SettingsTask
from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.forward.log_events import SETTINGS_RELOADED, SETTINGS_UNREADABLE
from sequoiapulley.forward.node_settings import Address, NodeSettings
from sequoiapulley.forward.peer_table import NodeState
from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.ids import FailureDomainName, NodeId, RegionName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue

GRACE_S = 6.0
HERE = Address("127.0.0.1", 1)
SETTINGS = NodeSettings(
    name=NodeId("n"),
    failure_domain=FailureDomainName("p"),
    region=RegionName("r"),
    host="127.0.0.1",
    regions={FailureDomainName("p"): RegionName("r")},
    store=HERE,
    callers=HERE,
    readiness=None,
    directory=None,
    peers=HERE,
    heartbeat_port=2,
    seeds=(),
    quota=QuotaSettings(),
    grace=GRACE_S,
)


class NodeLifecycleTest(TestCase):
    """A node that shuts down serves its callers as long as the grace period allows."""

    def setUp(self) -> None:
        self.lifecycle = NodeLifecycle()
        self.lifecycle.mark_ready()

    def test_ready_node_does_not_stop_accepting(self) -> None:
        self.assertFalse(self.lifecycle.may_stop_accepting(100.0, GRACE_S, 0))

    def test_callers_with_a_cached_address_are_accepted(self) -> None:
        self.lifecycle.begin_shutdown(0.0)
        self.assertFalse(self.lifecycle.may_stop_accepting(MIN_DRAIN_S - 0.1, GRACE_S, 0))
        self.assertTrue(self.lifecycle.may_stop_accepting(MIN_DRAIN_S, GRACE_S, 0))

    def test_open_connections_delay_closing_until_the_grace_period_ends(self) -> None:
        self.lifecycle.begin_shutdown(0.0)
        self.assertFalse(
            self.lifecycle.may_stop_accepting(MAX_DRAIN_FRACTION * GRACE_S - 0.1, GRACE_S, 1)
        )
        self.assertTrue(self.lifecycle.may_stop_accepting(MAX_DRAIN_FRACTION * GRACE_S, GRACE_S, 1))

    def test_short_grace_period_is_kept(self) -> None:
        self.lifecycle.begin_shutdown(0.0)
        self.assertTrue(self.lifecycle.may_stop_accepting(0.9, 1.0, 1))

    # Guards against a stop by a grace period that is longer than the platform waits.
    def test_shortest_grace_period_since_the_signal_counts(self) -> None:
        self.assertEqual(self.lifecycle.shortest_grace(2.0), 2.0)
        self.lifecycle.begin_shutdown(0.0)
        found = [self.lifecycle.shortest_grace(grace) for grace in (6.0, 4.0, 8.0)]
        self.assertEqual(found, [6.0, 4.0, 4.0])

    def test_second_signal_changes_nothing(self) -> None:
        self.assertTrue(self.lifecycle.begin_shutdown(0.0))
        self.assertFalse(self.lifecycle.begin_shutdown(2.0))
        self.assertFalse(self.lifecycle.mark_ready())
        self.assertIs(self.lifecycle.state, NodeState.LEAVING)
        self.assertTrue(self.lifecycle.may_stop_accepting(MIN_DRAIN_S, GRACE_S, 0))


class SettingsTaskTest(TestCase):
    """A settings file that is read on a signal, is invalid, or has not changed."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings"
        self.path.write_text("1", encoding="utf-8")
        self.log = MemoryLog()
        self.next: Result[NodeSettings, str] = Ok(SETTINGS)
        watch = SettingsWatch(self.path, lambda _path: self.next, self.log)
        self.applied: list[NodeSettings] = []
        self.task = SettingsTask(
            SETTINGS, watch, TimerQueue(PausedClock()), self.log, self.applied.append
        )

    def test_only_reloadable_settings_are_applied(self) -> None:
        self.next = Ok(replace(SETTINGS, grace=9.0, name=NodeId("other")))
        self.task.reload()
        self.assertEqual((self.task.cfg.grace, self.task.cfg.name), (9.0, NodeId("n")))
        self.assertEqual(self.applied, [self.task.cfg])
        event, fields = self.log.entries[-1]
        self.assertIs(event, SETTINGS_RELOADED)
        self.assertEqual(fields["changed"], ["grace"])

    def test_invalid_file_keeps_the_active_settings(self) -> None:
        self.next = Err("line 1: broken")
        self.task.reload()
        self.assertEqual((self.task.cfg, self.applied), (SETTINGS, []))
        self.assertIs(self.log.entries[-1][0], SETTINGS_UNREADABLE)

    def test_unchanged_file_is_not_read(self) -> None:
        self.task.start()
        self.assertEqual(self.log.entries, [])
