"""Tests of merged answers: their content, their time, and their report of missing parts."""

from __future__ import annotations

from random import Random
from tracemalloc import get_traced_memory, start, stop
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.log_events import ANSWER_PARTIAL
from sequoiapulley.forward.messages import ExchangeEnd, ExchangeReply
from sequoiapulley.forward.record_merge import (
    MAX_HELD_PART_BYTES,
    RECORD_BYTES,
    merge_greatest,
    shorten_part,
)
from tests.simulated_upstreams import (
    SimulatedNet,
    SimulatedUpstream,
    ended,
    gather_route,
    success,
)

LARGE_PART_BYTES = 1_000_000
records = st.lists(st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES), max_size=8)


class MergeTest(TestCase):
    """A merge keeps the greatest records of all parts, including duplicates."""

    @given(st.lists(records, max_size=5), st.integers(0, 12), st.binary(max_size=15))
    def test_equals_the_sorted_records(
        self, parts: list[list[bytes]], top_k: int, remainder: bytes
    ) -> None:
        merged = merge_greatest([b"".join(part) + remainder for part in parts], top_k)
        expected = sorted((record for part in parts for record in part), reverse=True)
        self.assertEqual(merged, b"".join(expected[:top_k]))

    @given(
        st.lists(st.integers(0, MAX_HELD_PART_BYTES // 4), min_size=1, max_size=3),
        st.integers(0, 1_500),
        st.randoms(use_true_random=False),
    )
    def test_shortened_parts_merge_to_the_same_records(
        self, counts: list[int], top_k: int, random: Random
    ) -> None:
        parts = [random.randbytes(RECORD_BYTES * count + 3) for count in counts]
        shortened = [shorten_part(part, top_k) for part in parts]
        self.assertEqual(merge_greatest(shortened, top_k), merge_greatest(parts, top_k))
        for part in shortened:
            self.assertLessEqual(len(part), max(MAX_HELD_PART_BYTES, RECORD_BYTES * top_k))


def seal_of(pool: SimulatedUpstream) -> bytes:
    return pool.record.name.encode()


class GatherTest(TestCase):
    """One request to all shards of a route."""

    def net(
        self, slow: dict[str, float | None], fail: frozenset[str] = frozenset()
    ) -> SimulatedNet:
        """Returns a network whose shards reply in 5 ms.

        Args:
            slow: Other reply times in seconds, by shard; None never replies.
            fail: Shards that lose their connections without a reply.
        """

        def behave(
            pool: SimulatedUpstream, _exchange: Exchange, _now: float
        ) -> tuple[float, ExchangeReply] | None:
            service = str(pool.record.service)
            if service in fail:
                return 0.001, ended(ExchangeEnd.LOST)
            delay = slow.get(service, 0.005)
            return None if delay is None else (delay, success(b"r" * 16, seal_of(pool)))

        net = SimulatedNet(behave)
        net.apply(gather_route(net.add_shards(4)))
        return net

    # Guards against LOST: large parts wait for the other shards of many requests, and their memory
    # ends the node.
    def test_large_parts_are_not_held_until_the_answer(self) -> None:
        def behave(
            pool: SimulatedUpstream, exchange: Exchange, _now: float
        ) -> tuple[float, ExchangeReply] | None:
            if pool.record.service == "shard-0":
                return None
            seal = f"{pool.record.name} {exchange.req.id}".encode()
            # Each reply has memory of its own, as from a socket.
            return 0.005, success(bytes(bytearray(LARGE_PART_BYTES)), seal)

        net = SimulatedNet(behave)
        net.apply(gather_route(net.add_shards(4)))
        start()
        try:
            for _ in range(4):
                net.ask()
                net.run(0.02)
            self.assertEqual(net.forwarder.in_flight, 4)
            self.assertLess(get_traced_memory()[0], 2 * LARGE_PART_BYTES)
        finally:
            stop()

    def test_complete_answer_names_every_part_once(self) -> None:
        net = self.net({})
        answers = net.ask()
        net.run(0.2)
        headers = dict(answers[0][1].headers)
        self.assertEqual(headers[b"missing"], b"0")
        self.assertEqual(len(set(headers[b"seals"].split(b","))), 4)
        self.assertLess(answers[0][0], 0.01)

    def test_partial_answer_goes_out_in_time_for_the_goal(self) -> None:
        net = self.net({"shard-1": 0.5})
        answers = net.ask()
        net.run(0.2)
        self.assertEqual(dict(answers[0][1].headers)[b"missing"], b"1")
        self.assertLess(answers[0][0], 0.1)
        self.assertGreater(answers[0][0], 0.08)

    def test_log_names_pending_upstreams_of_partial_answer(self) -> None:
        net = self.net({"shard-1": 0.5})
        net.ask()
        net.run(0.2)
        fields = [fields for event, fields in net.log.entries if event is ANSWER_PARTIAL]
        lacking = fields[0]["lacking"]
        assert isinstance(lacking, dict)
        self.assertRegex(lacking["shard-1"], r"^pending, shard-1-a 88 ms, shard-1-b \d\d ms$")

    def test_answer_waits_for_least_share_of_parts(self) -> None:
        net = self.net({"shard-1": 0.4, "shard-2": 0.6})
        answers = net.ask()
        net.run(0.3)
        self.assertEqual(answers, [])
        net.run(0.3)
        self.assertEqual(dict(answers[0][1].headers)[b"missing"], b"1")
        self.assertLess(answers[0][0], 0.45)

    def test_failed_shards_end_the_request_at_once(self) -> None:
        net = self.net({}, fail=frozenset({"shard-0", "shard-1"}))
        answers = net.ask()
        net.run(0.1)
        self.assertEqual(answers[0][1].status, 502)
        self.assertLess(answers[0][0], 0.1)

    def test_one_failed_shard_does_not_delay_the_answer(self) -> None:
        net = self.net({}, fail=frozenset({"shard-0"}))
        answers = net.ask()
        net.run(0.2)
        self.assertEqual(dict(answers[0][1].headers)[b"missing"], b"1")
        self.assertLess(answers[0][0], 0.09)

    def test_timeout_is_answered_at_the_deadline(self) -> None:
        net = self.net({"shard-1": None, "shard-2": None})
        answers = net.ask(time_left=0.5)
        net.run(2.0)
        self.assertEqual(answers[0][1].status, 504)
        self.assertAlmostEqual(answers[0][0], 0.5, places=3)

    def test_same_seal_twice_counts_once(self) -> None:
        net = SimulatedNet(lambda _pool, _exchange, _now: (0.005, success(b"", b"same")))
        net.apply(gather_route(net.add_shards(4), least=0.25))
        answers = net.ask()
        net.run(0.3)
        self.assertEqual(dict(answers[0][1].headers), {b"missing": b"3", b"seals": b"same"})

    def test_too_few_shards_with_upstreams_are_refused_before_anything_runs(self) -> None:
        net = SimulatedNet(lambda _pool, _exchange, _now: (0.005, success()))
        shards = net.add_shards(2)
        net.apply(gather_route((*shards, *(type(shards[0])(f"none-{n}") for n in range(2)))))
        answers = net.ask()
        net.run(0.01)
        status = answers[0][1].status
        ran = sum(len(pool.arrivals) for pool in net.pools.values())
        self.assertEqual((status, ran), (503, 0))

    def test_caller_retry_keeps_the_goal_of_the_first_attempt(self) -> None:
        net = self.net({"shard-1": 0.5})
        for _ in range(5):
            net.ask()
            net.run(0.2)
        answers = net.ask(time_left=0.95)
        net.run(0.2)
        self.assertLess(answers[0][0], 0.05)

    def test_disconnected_caller_gets_no_answer_and_work_is_cancelled(self) -> None:
        net = self.net({"shard-1": None})
        answers: list[object] = []
        job = net.forwarder.handle(net.request(), answers.append)
        net.run(0.02)
        job.disconnect()
        net.run(0.45)
        self.assertEqual(answers, [])
        self.assertEqual([pool.running for pool in net.pools.values() if pool.running], [])
