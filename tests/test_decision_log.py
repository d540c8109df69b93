"""Tests of the log events that explain how a request was handled."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.log_events import (
    REQUEST_ANSWERED,
    SHARDS_LIMITED,
    TRY_OVERDUE,
    UPSTREAM_ANSWERS,
    UPSTREAM_SILENT,
)
from sequoiapulley.forward.messages import ExchangeReply
from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.observe.log_event import LogEvent
from tests.simulated_upstreams import (
    SimulatedNet,
    SimulatedUpstream,
    gather_route,
    plain_route,
    success,
)

REPLY_S = 0.005


class DecisionLogTest(TestCase):
    """One service with two upstreams, of which the first one may be slow or silent."""

    def setUp(self) -> None:
        self.delay: float | None = REPLY_S

    def net(self, idempotent: bool = True, quota: QuotaSettings | None = None) -> SimulatedNet:
        """Returns a simulated network with one service."""

        def behave(
            pool: SimulatedUpstream, _exchange: Exchange, _now: float
        ) -> tuple[float, ExchangeReply] | None:
            delay = self.delay if pool.record.name == "a" else REPLY_S
            return None if delay is None else (delay, success())

        net = SimulatedNet(behave, quota)
        net.add("a", "s")
        net.add("b", "s")
        net.apply(plain_route("s", idempotent))
        return net

    def lines(self, net: SimulatedNet, event: LogEvent) -> list[dict[str, object]]:
        """Returns the fields of each log line of an event."""
        return [fields for logged, fields in net.log.entries if logged is event]

    def test_every_answer_is_logged(self) -> None:
        net = self.net()
        for _ in range(25):
            net.ask("/p/1")
            net.run(0.05)
        lines = self.lines(net, REQUEST_ANSWERED)
        self.assertEqual([line["id"] for line in lines], [f"r{n}" for n in range(1, 26)])
        self.assertEqual((lines[0]["target_ms"], lines[0]["version"]), (100, 1))

    def test_hedge_names_both_upstreams(self) -> None:
        self.delay = 0.5
        net = self.net()
        net.ask("/p/1")
        net.run(0.6)
        line = self.lines(net, TRY_OVERDUE)[0]
        self.assertEqual((line["upstream"], line["other"], line["outcome"]), ("a", "b", "hedged"))

    def test_overdue_try_without_hedge_logs_the_reason(self) -> None:
        self.delay = 0.5
        for reason, net in (
            ("not_idempotent", self.net(idempotent=False)),
            ("quota", self.net(quota=QuotaSettings(ratio=0.0, slack=0.0))),
        ):
            with self.subTest(reason):
                net.ask("/p/1")
                net.run(0.6)
                self.assertEqual(self.lines(net, TRY_OVERDUE)[0]["outcome"], reason)

    def test_silence_and_recovery_of_upstream_are_logged_once_each(self) -> None:
        net = self.net(idempotent=False)
        self.delay = None
        net.ask("/p/1")
        net.run(1.5)
        self.delay = REPLY_S
        for _ in range(40):
            net.ask("/p/1")
            net.ask("/p/1")
            net.ask("/p/1")
            net.run(0.25)
        self.assertEqual([line["upstream"] for line in self.lines(net, UPSTREAM_SILENT)], ["a"])
        self.assertEqual([line["upstream"] for line in self.lines(net, UPSTREAM_ANSWERS)], ["a"])

    def test_limited_shards_are_named(self) -> None:
        def behave(
            pool: SimulatedUpstream, _exchange: Exchange, _now: float
        ) -> tuple[float, ExchangeReply]:
            slow = pool.record.service == "shard-2"
            return 0.4 if slow else REPLY_S, success(b"", pool.record.name.encode())

        net = SimulatedNet(behave)
        net.apply(gather_route(net.add_shards(4)))
        for _ in range(4):
            net.ask()
            net.run(0.2)
        line = self.lines(net, SHARDS_LIMITED)[0]
        self.assertEqual(list(line["expected_ms"]), ["shard-2"])
