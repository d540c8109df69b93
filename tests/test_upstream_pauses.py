"""Tests of upstreams that turn a request away and ask for a pause, without a network.

An upstream that answers 503 with Retry-After receives nothing from this node until that time is
over. If all upstreams of a service pause, callers are refused at once and told when to return.
"""

from __future__ import annotations

from unittest import TestCase

from msgspec.structs import replace

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.learning import MAX_PAUSE_S
from sequoiapulley.forward.log_events import PAUSE_BOUNDED, UPSTREAM_PAUSED
from sequoiapulley.forward.messages import ExchangeEnd, ExchangeReply, PauseRequest
from sequoiapulley.ids import ServiceName, UpstreamName
from sequoiapulley.wire.reply_parser import ParsedReply
from tests.simulated_upstreams import (
    GOAL_S,
    REMOTE,
    SimulatedNet,
    SimulatedUpstream,
    gather_route,
    plain_route,
    success,
)

PAUSE_S = 3.0


def turned_away(seconds: float | None, text: str = "") -> ExchangeReply:
    """Returns the outcome of an exchange that an upstream turned away with a pause."""
    parsed = ParsedReply(503, [], b"", True)
    pause = PauseRequest(seconds, text or str(seconds))
    return ExchangeReply(ExchangeEnd.NOT_RUN, parsed, pause=pause)


class UpstreamPauseTest(TestCase):
    """A service with a local upstream `a` and a remote one `b`; a paused one turns all away."""

    def setUp(self) -> None:
        self.pause = turned_away(PAUSE_S)
        self.pausing: set[str] = {"a"}
        self.net = SimulatedNet(self.behave)
        self.net.add("a", "s")
        self.net.add("b", "s", REMOTE)
        self.net.apply(plain_route("s"), plain_route("s", idempotent=False, prefix="/o/"))

    def behave(
        self, pool: SimulatedUpstream, _exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        if str(pool.record.name) in self.pausing:
            return 0.001, self.pause
        return 0.005, success(pool.record.name.encode())

    def arrivals(self, name: str) -> list[float]:
        return [at for at, _ in self.net.pools[UpstreamName(name)].arrivals]

    def load(self, seconds: float, path: str = "/p/1") -> list[int]:
        """Sends a request every 20 ms; returns the statuses of the answers."""
        answers = []
        for _ in range(round(seconds / 0.02)):
            answers.append(self.net.ask(path))
            self.net.run(0.02)
        self.net.run(1.0)
        return [found[0][1].status for found in answers]

    def test_upstream_gets_nothing_during_its_pause_and_is_used_after_it(self) -> None:
        for path in ("/p/1", "/o/1"):
            with self.subTest(path=path):
                self.setUp()
                statuses = self.load(2 * PAUSE_S, path)
                self.assertEqual(set(statuses), {200})
                first, *later = self.arrivals("a")
                self.assertEqual([at for at in later if at < first + PAUSE_S], [])
                self.assertGreater(len(later), 0)
                self.assertLessEqual(len(later), 4)

    def test_burst_in_flight_when_the_pause_is_requested(self) -> None:
        for _ in range(30):
            self.net.ask("/p/1")
        self.net.run(0.5)
        start = self.net.clock.now()
        self.load(PAUSE_S - 1.0)
        self.assertEqual([at for at in self.arrivals("a") if at >= start], [])

    def test_all_upstreams_pause(self) -> None:
        self.pausing.add("b")
        self.load(0.2)
        sends = len(self.arrivals("a")) + len(self.arrivals("b"))
        for path in ("/p/1", "/o/1"):
            answers = self.net.ask(path)
            self.net.run(0.001)
            [(waited, answer)] = answers
            self.assertEqual((answer.status, waited < 0.01), (503, True))
            retry_after = float(dict(answer.headers)[b"Retry-After"])
            self.assertGreater(retry_after, 1.0)
            self.assertLess(retry_after, PAUSE_S)
        self.assertEqual(len(self.arrivals("a")) + len(self.arrivals("b")), sends)
        self.pausing.clear()
        self.net.run(retry_after)
        self.assertEqual(set(self.load(0.1)), {200})

    def test_caller_that_starts_the_last_pause_is_told_when_to_return(self) -> None:
        self.net.directory.remove(UpstreamName("b"))
        answers = self.net.ask("/p/1")
        self.net.run(0.05)
        [(_, answer)] = answers
        self.assertEqual(answer.status, 503)
        self.assertAlmostEqual(float(dict(answer.headers)[b"Retry-After"]), PAUSE_S, delta=0.05)

    def test_values_that_are_no_pause_are_bounded(self) -> None:
        for seconds, text, expected in (
            (0.25, "0.25", 0.25),
            (-5.0, "-5", 0.0),
            (float("nan"), "nan", 0.0),
            (float("inf"), "inf", MAX_PAUSE_S),
            (1e12, "1e12", MAX_PAUSE_S),
            (None, "Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
            (None, "soon", 0.0),
        ):
            with self.subTest(text=text):
                self.setUp()
                self.pause = turned_away(seconds, text)
                self.net.ask("/p/1")
                self.net.run(0.003)
                upstream = self.net.directory.find(UpstreamName("a"))
                assert upstream is not None
                left = upstream.pause_left(self.net.clock.now())
                self.assertAlmostEqual(left, expected, delta=0.01)
                bounded = [f for event, f in self.net.log.entries if event is PAUSE_BOUNDED]
                self.assertEqual(len(bounded), 0 if seconds == expected else 1)

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        self.net.ask("/p/1")
        self.net.ask("/p/1")
        self.net.run(0.0012)
        self.pause = turned_away(0.1)
        self.net.run(0.1)
        upstream = self.net.directory.find(UpstreamName("a"))
        assert upstream is not None
        self.assertGreater(upstream.pause_left(self.net.clock.now()), PAUSE_S - 0.2)
        events = [event for event, _ in self.net.log.entries]
        self.assertGreaterEqual(events.count(UPSTREAM_PAUSED), 1)


class PauseOfRemovedUpstreamTest(TestCase):
    """The entry of an upstream lapses and returns while the upstream pauses."""

    def test_pause_holds_for_the_same_process_only(self) -> None:
        net = SimulatedNet(lambda *_args: (0.001, turned_away(PAUSE_S)))
        net.add("a", "s")
        net.apply(plain_route("s"))
        net.ask("/p/1")
        net.run(0.5)
        record = net.pools[UpstreamName("a")].record
        net.directory.remove(record.name)
        net.directory.put(record)
        self.assertEqual(net.directory.candidates(ServiceName("s")), [])
        self.assertAlmostEqual(net.directory.pause_left(ServiceName("s")), PAUSE_S - 0.5, delta=0.1)
        net.directory.put(replace(record, started_ms=record.started_ms + 1))
        self.assertEqual(len(net.directory.candidates(ServiceName("s"))), 1)
        net.directory.remove(record.name)
        net.run(PAUSE_S)
        net.directory.put(record)
        self.assertEqual(len(net.directory.candidates(ServiceName("s"))), 1)


class PausedShardsTest(TestCase):
    """A gather over eight shards that needs six of them."""

    def setUp(self) -> None:
        self.pausing: set[str] = set()
        self.net = SimulatedNet(self.behave)
        self.shards = self.net.add_shards(8)
        self.net.apply(gather_route(self.shards, 0.75))

    def behave(
        self, pool: SimulatedUpstream, _exchange: Exchange, _now: float
    ) -> tuple[float, ExchangeReply]:
        if pool.record.service in self.pausing:
            return 0.001, turned_away(PAUSE_S)
        return 0.005, success(b"", str(pool.record.name).encode())

    def ask(self) -> tuple[float, int, dict[bytes, bytes]]:
        answers = self.net.ask()
        self.net.run(0.5)
        [(waited, answer)] = answers
        return waited, answer.status, dict(answer.headers)

    def test_answer_lacks_the_shards_whose_upstreams_all_pause(self) -> None:
        self.pausing = {ServiceName("shard-1"), ServiceName("shard-5")}
        for _ in range(3):
            waited, status, headers = self.ask()
            self.assertEqual((status, headers[b"missing"]), (200, b"2"))
            self.assertLess(waited, GOAL_S)

    def test_request_that_too_few_shards_can_answer_is_refused_at_once(self) -> None:
        self.pausing = {ServiceName(f"shard-{number}") for number in range(3)}
        self.ask()
        before = sum(len(pool.arrivals) for pool in self.net.pools.values())
        waited, status, headers = self.ask()
        self.assertEqual((status, waited < 0.01), (503, True))
        self.assertGreater(float(headers[b"Retry-After"]), 1.0)
        self.assertEqual(sum(len(pool.arrivals) for pool in self.net.pools.values()), before)
