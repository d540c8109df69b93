"""Tests of latency, coverage and refusals under patterns of load and faults, without a network.

Each test is named after its pattern. Twenty shards have two upstreams each; a request takes 5 ms of
processing time, and a round trip of 16 ms to the remote upstream. The clock starts at 1,000 s.
"""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase
from zlib import crc32

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import Answer, ExchangeEnd, ExchangeReply
from sequoiapulley.forward.retry_quota import QuotaSettings
from tests.simulated_upstreams import (
    GOAL_S,
    REMOTE,
    SimulatedNet,
    SimulatedUpstream,
    ended,
    gather_route,
    plain_route,
    success,
)

SHARDS = 20
PROCESSING_S = 0.005
Outcome = tuple[float, ExchangeReply] | None
Pattern = Callable[[SimulatedUpstream, float], Outcome]


class LoadPatternTest(TestCase):
    """Sends requests at a steady rate while upstreams follow a pattern."""

    def run_load(
        self,
        pattern: Pattern,
        rate: float = 20.0,
        seconds: float = 10.0,
        quota: QuotaSettings | None = None,
        least: float = 0.75,
    ) -> tuple[SimulatedNet, list[list[tuple[float, Answer]]]]:
        """Returns the network after the run, and the answers to each request."""

        def behave(pool: SimulatedUpstream, _exchange: Exchange, now: float) -> Outcome:
            return pattern(pool, now)

        net = SimulatedNet(behave, quota)
        net.apply(gather_route(net.add_shards(SHARDS), least))
        answers: list[list[tuple[float, Answer]]] = []
        for _ in range(int(rate * seconds)):
            answers.append(net.ask())
            net.run(1.0 / rate)
        net.run(1.5)
        return net, answers

    def in_time(self, answers: list[list[tuple[float, Answer]]]) -> float:
        """Returns the share of requests with a successful answer within the goal."""
        good = [a for a in answers if a and a[0][1].status == 200 and a[0][0] <= GOAL_S]
        return len(good) / len(answers)

    def coverage(self, answers: list[list[tuple[float, Answer]]]) -> float:
        """Returns the mean share of shards in the successful answers."""
        successes = [a[0][1] for a in answers if a and a[0][1].status == 200]
        missing = sum(int(dict(answer.headers)[b"missing"]) for answer in successes)
        return 1 - missing / (SHARDS * max(1, len(successes)))

    def processing_time(self, net: SimulatedNet) -> float:
        """Returns a random processing time, varying by a third."""
        return PROCESSING_S * net.random.lognormvariate(0.0, 0.35)

    def test_pauses_of_single_upstreams(self) -> None:
        """Each upstream pauses for 120 ms every 3 s; most gathers call one during its pause."""

        def pattern(pool: SimulatedUpstream, now: float) -> Outcome:
            phase = (now + crc32(pool.record.name.encode()) % 3000 / 1000) % 3.0
            return max(0.0, 0.12 - phase) + self.processing_time(pool.net), success(
                b"", _seal(pool)
            )

        net, answers = self.run_load(pattern)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.995)
        self.assertLess(sum(net.retries(f"shard-{n}") for n in range(SHARDS)) / SHARDS, 0.15 * 200)

    def test_a_seventh_of_all_upstreams_is_slow(self) -> None:
        """One upstream in seven takes nine times as long for the whole run."""

        def pattern(pool: SimulatedUpstream, _now: float) -> Outcome:
            number = list(pool.net.pools).index(pool.record.name)
            factor = 9.0 if number % 7 == 0 else 1.0
            return factor * self.processing_time(pool.net), success(b"", _seal(pool))

        net, answers = self.run_load(pattern)
        slow = [pool for n, pool in enumerate(net.pools.values()) if n % 7 == 0]
        share = sum(len(pool.arrivals) for pool in slow) / (len(slow) * len(answers))
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.99)
        self.assertLess(share, 0.25)

    def test_searches_arrive_in_groups(self) -> None:
        """Three searches at once queue at near upstreams, which still reply within the goal.

        Distant upstreams, behind expensive links, would reply a little earlier.
        """

        def behave(pool: SimulatedUpstream, _exchange: Exchange, _now: float) -> Outcome:
            rounds = 1 + len(pool.running) // pool.record.slots
            return rounds * 3 * self.processing_time(pool.net), success(b"", _seal(pool))

        net = SimulatedNet(behave)
        net.apply(gather_route(net.add_shards(SHARDS), 0.75))
        answers = []
        for _ in range(50):
            answers.extend(net.ask() for _ in range(3))
            net.run(0.25)
        distant = sum(
            len(pool.arrivals)
            for pool in net.pools.values()
            if pool.record.failure_domain == REMOTE
        )
        self.assertLess(distant / (SHARDS * len(answers)), 0.1)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.99)

    def test_near_upstreams_refuse_most_requests(self) -> None:
        """Near upstreams refuse six of ten requests, so that most go to the distant ones."""

        def pattern(pool: SimulatedUpstream, _now: float) -> Outcome:
            if pool.record.failure_domain != REMOTE and pool.net.random.random() < 0.6:
                return 0.001, ended(ExchangeEnd.NOT_RUN)
            return 4 * self.processing_time(pool.net), success(b"", _seal(pool))

        net, answers = self.run_load(pattern)
        distant = sum(
            len(pool.arrivals)
            for pool in net.pools.values()
            if pool.record.failure_domain == REMOTE
        )
        self.assertGreater(distant / (SHARDS * len(answers)), 0.7)
        self.assertGreater(self.in_time(answers), 0.99)

    def test_half_of_the_upstreams_fall_silent(self) -> None:
        """The first upstream of every second shard accepts requests and never replies."""

        def pattern(pool: SimulatedUpstream, now: float) -> Outcome:
            number = list(pool.net.pools).index(pool.record.name)
            if number % 4 == 0 and now > 1_003.0:
                return None
            return self.processing_time(pool.net), success(b"", _seal(pool))

        _, answers = self.run_load(pattern)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.98)

    def test_one_upstream_of_a_shard_is_silent_and_the_other_one_slow(self) -> None:
        """The slow one takes ten times as long, which is still in time for the answer."""

        def pattern(pool: SimulatedUpstream, now: float) -> Outcome:
            if pool.record.name == "shard-3-a" and now > 1_002.0:
                return None
            slow = pool.record.name == "shard-3-b" and now > 1_002.0
            return (10.0 if slow else 1.0) * self.processing_time(pool.net), success(
                b"", _seal(pool)
            )

        _, answers = self.run_load(pattern, least=0.89, quota=QuotaSettings(slack=30.0))
        self.assertEqual(self.in_time(answers), 1.0)
        self.assertGreater(self.coverage(answers[60:]), 0.99)

    def test_all_upstreams_of_one_shard_are_down(self) -> None:
        """Answers are not delayed by the unreachable shard."""

        def pattern(pool: SimulatedUpstream, _now: float) -> Outcome:
            if pool.record.service == "shard-3":
                return 0.001, ended(ExchangeEnd.NOT_SENT)
            return self.processing_time(pool.net), success(b"", _seal(pool))

        _, answers = self.run_load(pattern)
        self.assertEqual(self.in_time(answers), 1.0)
        self.assertLess(max(a[0][0] for a in answers), 0.08)

    def test_upstreams_flap(self) -> None:
        """The first upstream of every third shard goes down and up by turns, half a second each."""

        def pattern(pool: SimulatedUpstream, now: float) -> Outcome:
            number = list(pool.net.pools).index(pool.record.name)
            if number % 6 == 0 and int(now * 2) % 2:
                return 0.0, ended(ExchangeEnd.NOT_SENT)
            return self.processing_time(pool.net), success(b"", _seal(pool))

        _, answers = self.run_load(pattern)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.99)

    def test_upstreams_drop_idle_connections(self) -> None:
        """A tenth of all requests meet a connection that the upstream has just closed."""

        def pattern(pool: SimulatedUpstream, _now: float) -> Outcome:
            if pool.net.random.random() < 0.1:
                return 0.0, ended(ExchangeEnd.LOST)
            return self.processing_time(pool.net), success(b"", _seal(pool))

        net, answers = self.run_load(pattern)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.99)
        self.assertLess(max(net.retries(f"shard-{n}") for n in range(SHARDS)), 0.2 * 200 + 30)

    def test_whole_services_hang_for_a_while(self) -> None:
        """Both upstreams of four of twenty shards take two seconds for a reply, from 3 s to 5 s."""
        hanging = {"shard-2", "shard-7", "shard-11", "shard-16"}

        def pattern(pool: SimulatedUpstream, now: float) -> Outcome:
            if pool.record.service in hanging and 1_003.0 <= now < 1_005.0:
                return 2.0, success(b"", _seal(pool))
            return self.processing_time(pool.net), success(b"", _seal(pool))

        _, answers = self.run_load(pattern)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertTrue(all(a[0][1].status == 200 for a in answers))
        self.assertGreater(self.coverage(answers[-60:]), 0.99, "the shards were not used again")

    def test_upstreams_fail_while_their_entries_say_that_they_are_ready(self) -> None:
        """Two in five replies of every fourth upstream are errors; no other sign tells of it."""

        def pattern(pool: SimulatedUpstream, _now: float) -> Outcome:
            number = list(pool.net.pools).index(pool.record.name)
            if number % 4 == 0 and pool.net.random.random() < 0.4:
                return self.processing_time(pool.net), success(b"", status=500)
            return self.processing_time(pool.net), success(b"", _seal(pool))

        _, answers = self.run_load(pattern)
        self.assertGreater(self.in_time(answers), 0.99)
        self.assertGreater(self.coverage(answers), 0.99)

    def test_refused_requests_are_repeated_within_the_quota(self) -> None:
        """Every upstream refuses half of its requests; the quota allows a fifth as retries."""

        def pattern(pool: SimulatedUpstream, _now: float) -> Outcome:
            if pool.net.random.random() < 0.5:
                return 0.001, ended(ExchangeEnd.NOT_RUN)
            return self.processing_time(pool.net), success(b"", _seal(pool))

        quota = QuotaSettings(ratio=0.2, slack=30.0)
        net, answers = self.run_load(pattern, quota=quota)
        for number in range(SHARDS):
            self.assertLessEqual(net.retries(f"shard-{number}"), 0.2 * len(answers) + 30 + 0.5)
        self.assertTrue(all(len(a) == 1 for a in answers))

    def test_three_shards_are_overloaded_and_two_may_be_lacking(self) -> None:
        """All upstreams of three shards take fourteen times as long for eight seconds.

        They cannot process every request, but each answer must include one of the three.
        """
        slow = {"shard-3", "shard-8", "shard-14"}
        free: dict[str, list[float]] = {}

        def behave(pool: SimulatedUpstream, exchange: Exchange, now: float) -> Outcome:
            factor = 14.0 if pool.record.service in slow and now < 1_010.0 else 1.0
            slots = free.setdefault(pool.record.name, [0.0, 0.0])
            began = max(now, min(slots))
            if began >= exchange.deadline:
                return exchange.deadline - now, ended(ExchangeEnd.NOT_RUN)
            done = began + factor * self.processing_time(pool.net)
            slots[slots.index(min(slots))] = min(done, exchange.deadline)
            if done > exchange.deadline:
                return exchange.deadline - now, success(b"", status=504)
            return done - now, success(b"", _seal(pool))

        net = SimulatedNet(behave)
        net.apply(gather_route(net.add_shards(SHARDS), least=0.89))
        net.run(2.0)
        answers: list[list[tuple[float, Answer]]] = []
        for _ in range(8 * 50):
            answers.append(net.ask())
            net.run(1 / 50)
        net.run(1.5)
        self.assertGreater(self.in_time(answers), 0.85)
        self.assertGreater(self.coverage(answers), 0.9)
        self.assertTrue(all(a[0][1].status == 200 for a in answers))

    def test_burst_of_requests_to_few_upstreams(self) -> None:
        """Three times the capacity arrives for a second; each request gets one final answer."""

        def behave(pool: SimulatedUpstream, _exchange: Exchange, _now: float) -> Outcome:
            if len(pool.running) > 2 + 8:
                return 0.001, ended(ExchangeEnd.NOT_RUN)
            waiting = max(0, len(pool.running) - 2) / 2
            return 0.06 * (1 + waiting), success(pool.record.name.encode())

        net = SimulatedNet(behave)
        for name in ("a", "b", "c"):
            net.add(name, "s")
        net.apply(plain_route("s", idempotent=False, goal=0.3))
        answers = []
        for number in range(400):
            answers.append(net.ask("/p/1"))
            net.run(1 / 300 if number < 300 else 1 / 50)
        net.run(2.0)
        statuses = [a[0][1].status for a in answers]
        self.assertTrue(all(len(a) == 1 for a in answers))
        self.assertLessEqual(set(statuses), {200, 503})
        refused = [a[0][0] for a in answers if a[0][1].status == 503]
        self.assertLess(max(refused), 0.075, "a refusal was delayed")
        self.assertEqual(statuses[-50:], [200] * 50)
        arrivals = [len(pool.arrivals) for pool in net.pools.values()]
        self.assertLess(max(arrivals) / min(arrivals), 1.3)


def _seal(pool: SimulatedUpstream) -> bytes:
    """Returns a seal that is unique to the upstream."""
    return pool.record.name.encode()
