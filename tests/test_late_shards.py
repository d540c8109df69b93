"""Tests of calls that end when the answer is due, because their parts may be missing."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.late_shards import expected_late
from sequoiapulley.forward.messages import ExchangeEnd, ExchangeReply
from tests.simulated_upstreams import (
    GOAL_S,
    SimulatedNet,
    SimulatedUpstream,
    ended,
    gather_route,
    success,
)

times = st.lists(st.floats(0.0, 10.0) | st.just(float("inf")), max_size=30)


class ExpectedLateTest(TestCase):
    """Selects only late shards, the latest ones, and no more than may be missing."""

    @given(times, st.floats(0.001, 1.0), st.integers(0, 30))
    def test_leaves_out_late_shards_only(
        self, expected: list[float], time_left: float, spare: int
    ) -> None:
        late = expected_late(expected, time_left, spare)
        everyone = [n for n, time in enumerate(expected) if time > time_left]
        self.assertEqual(len(late), min(spare, len(everyone)))
        self.assertLessEqual(late, set(everyone))
        lateness = [min(16.0, time / time_left) for time in expected]
        least_late = min((lateness[n] for n in late), default=16.0)
        most_kept = max((lateness[n] for n in everyone if n not in late), default=0.0)
        self.assertLessEqual(most_kept, 2 * least_late * (1 + 1e-9))

    def test_small_differences_do_not_change_the_choice(self) -> None:
        first = expected_late([0.2, 0.21, 0.19, 0.01], 0.1, 2)
        second = expected_late([0.19, 0.2, 0.21, 0.01], 0.1, 2)
        self.assertEqual(first, second)


class LimitedCallTest(TestCase):
    """Four shards, of which one may be missing and one is known to be slow."""

    def net(self, second: ExchangeReply | None = None) -> tuple[SimulatedNet, list[float]]:
        """Returns a network and the deadlines that are sent to the slow shard.

        Args:
            second: Outcome of each exchange of another shard once the slow one is known; success if
                None.
        """
        deadlines: list[float] = []
        self.known = False

        def behave(
            pool: SimulatedUpstream, exchange: Exchange, now: float
        ) -> tuple[float, ExchangeReply]:
            seal = pool.record.name.encode()
            if pool.record.service == "shard-2":
                deadlines.append(exchange.deadline - now)
                if exchange.deadline - now < 0.3:
                    return exchange.deadline - now, ended(ExchangeEnd.NOT_RUN)
                return 0.3, success(b"", seal)
            if pool.record.service == "shard-1" and self.known and second is not None:
                return 0.001, second
            return 0.005, success(b"", seal)

        net = SimulatedNet(behave)
        net.apply(gather_route(net.add_shards(4)))
        for _ in range(3):
            net.ask()
            net.run(0.2)
        self.known = True
        deadlines.clear()
        return net, deadlines

    def test_deadline_of_slow_shard_is_the_due_time_of_the_answer(self) -> None:
        net, deadlines = self.net()
        answers = net.ask()
        net.run(0.2)
        self.assertEqual(len(deadlines), 1)
        self.assertLess(deadlines[0], GOAL_S)
        self.assertEqual(dict(answers[0][1].headers)[b"missing"], b"1")

    def test_slow_shard_is_retried_when_another_one_fails(self) -> None:
        net, deadlines = self.net(ended(ExchangeEnd.NOT_RUN))
        answers = net.ask()
        net.run(0.9)
        self.assertEqual(answers[0][1].status, 200)
        self.assertGreater(max(deadlines), 0.3)

    def test_late_caller_retry_is_not_limited(self) -> None:
        net, deadlines = self.net()
        net.ask(time_left=0.93)
        net.run(0.2)
        self.assertTrue(all(deadline > 0.3 for deadline in deadlines))
