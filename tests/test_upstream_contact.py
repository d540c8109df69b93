"""Tests of the decision whether a node is cut off from the upstreams, without a network."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sequoiapulley.forward.log_events import CONTACT_LOST, CONTACT_REGAINED
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.forward.upstream_contact import (
    CHECK_INTERVAL_S,
    CHECK_SAMPLE,
    CHECK_TIMEOUT_S,
    MIN_SILENT,
    MIN_UNREACHABLE,
    RECHECK_INTERVAL_S,
    SILENCE_S,
    UpstreamContact,
)
from sequoiapulley.observe.log_event import MemoryLog
from tests.simulated_upstreams import SimulatedNet, success

UPSTREAMS = 20


class UpstreamContactTest(TestCase):
    """One node with twenty upstreams; the test tells which of them accept connections."""

    def setUp(self) -> None:
        self.net = SimulatedNet(lambda *_args: (0.001, success()))
        for number in range(UPSTREAMS):
            self.net.add(f"u-{number}", "s")
        self.gone: set[str] = set()
        self.checked = 0
        self.net.is_down = self.is_down
        self.log = MemoryLog()
        self.changes: list[bool] = []
        self.contact = UpstreamContact(
            self.net.timers, Random(3), self.log, self.net.directory.accepting
        )
        self.contact.on_change = lambda: self.changes.append(self.contact.cut_off)
        self.upstreams = self.net.directory.accepting()

    def is_down(self, name: str) -> bool:
        self.checked += 1
        return name in self.gone

    def fail(self, count: int, overdue: bool = False) -> None:
        """Records one failed try at each of some upstreams."""
        for upstream in self.upstreams[:count]:
            if overdue:
                self.contact.record_overdue(upstream)
            else:
                self.contact.record_unreachable(upstream)

    def cut_off(self, share: float = 1.0) -> None:
        """Makes a share of the upstreams accept no connection."""
        names = [str(upstream.record.name) for upstream in self.upstreams]
        self.gone = set(names[: round(share * UPSTREAMS)])

    def reply(self, upstream: Upstream | None = None) -> None:
        self.contact.record_reply(upstream or self.upstreams[0])

    def test_node_whose_connections_all_fail_is_cut_off(self) -> None:
        self.reply()
        self.cut_off()
        self.net.run(SILENCE_S)
        self.fail(MIN_SILENT, overdue=True)
        self.net.run(CHECK_TIMEOUT_S)
        self.assertTrue(self.contact.cut_off)
        self.assertEqual([event for event, _ in self.log.entries], [CONTACT_LOST])

    # Guards against a pause of all upstreams, or of this node, that is taken for a lost path.
    def test_overdue_replies_of_upstreams_that_accept_connections_change_nothing(self) -> None:
        self.net.run(5.0)
        self.fail(UPSTREAMS, overdue=True)
        self.net.run(CHECK_TIMEOUT_S)
        self.assertFalse(self.contact.cut_off)
        self.assertEqual(self.checked, CHECK_SAMPLE)
        self.assertLess(self.contact.age, CHECK_TIMEOUT_S)

    # Guards against crashes of many upstreams that are taken for a lost path of the node.
    def test_half_of_the_upstreams_may_crash(self) -> None:
        self.cut_off(0.5)
        for _ in range(10):
            self.fail(UPSTREAMS // 2)
            self.reply(self.upstreams[-1])
            self.net.run(CHECK_INTERVAL_S)
        self.assertFalse(self.contact.cut_off)

    def test_refused_connections_count_although_open_ones_live_on(self) -> None:
        self.cut_off()
        self.reply(self.upstreams[-1])
        self.fail(MIN_UNREACHABLE - 1)
        self.reply(self.upstreams[-1])
        self.net.run(CHECK_TIMEOUT_S)
        self.assertEqual(self.checked, 0)
        self.fail(MIN_UNREACHABLE)
        self.net.run(CHECK_TIMEOUT_S)
        self.assertTrue(self.contact.cut_off)

    def test_connections_that_hang_end_the_check_in_time(self) -> None:
        self.net.is_down = lambda name: self.fail_test()
        for pool in self.net.pools.values():
            pool.check_alive = lambda done: None  # type: ignore[method-assign]
        self.net.run(1.0)
        self.fail(MIN_SILENT)
        self.net.run(CHECK_TIMEOUT_S)
        self.assertTrue(self.contact.cut_off)

    def fail_test(self) -> bool:
        raise AssertionError("a hanging connection was reported")

    def test_contact_is_regained_when_connections_are_accepted(self) -> None:
        self.cut_off()
        self.net.run(1.0)
        self.fail(MIN_SILENT)
        self.net.run(3.0)
        self.cut_off(0.5)
        self.net.run(RECHECK_INTERVAL_S / 2)
        self.assertTrue(self.contact.cut_off)
        self.cut_off(0.0)
        self.net.run(RECHECK_INTERVAL_S + CHECK_TIMEOUT_S)
        self.assertFalse(self.contact.cut_off)
        self.assertEqual(self.changes, [True, False])
        self.assertIs(self.log.entries[-1][0], CONTACT_REGAINED)

    def test_checks_are_limited_while_tries_fail(self) -> None:
        self.cut_off(0.5)
        for _ in range(100):
            self.fail(UPSTREAMS // 2)
            self.net.run(0.05)
        self.assertLessEqual(self.checked, CHECK_SAMPLE * 5.0 / CHECK_INTERVAL_S)

    def test_few_upstreams_tell_nothing(self) -> None:
        self.cut_off()
        for upstream in self.upstreams[2:]:
            self.net.directory.remove(upstream.record.name)
        self.net.run(1.0)
        self.fail(MIN_SILENT)
        self.net.run(1.0)
        self.assertFalse(self.contact.cut_off)

    def test_idle_node_checks_its_links_when_asked(self) -> None:
        self.contact.check_if_idle()
        self.net.run(CHECK_TIMEOUT_S)
        self.assertLess(self.contact.age, CHECK_INTERVAL_S)
        checked = self.checked
        self.contact.check_if_idle()
        self.net.run(CHECK_TIMEOUT_S)
        self.assertEqual(self.checked, checked)
