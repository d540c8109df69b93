"""Tests of calls to one service: hedged requests, retries, and non-idempotent requests."""

from __future__ import annotations

from unittest import TestCase

from msgspec.structs import replace

from sequoiapulley.forward.exchange import Exchange
from sequoiapulley.forward.messages import ExchangeEnd, ExchangeReply
from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.ids import UpstreamName
from tests.simulated_upstreams import (
    REMOTE,
    SimulatedNet,
    SimulatedUpstream,
    ended,
    plain_route,
    success,
)

Script = dict[str, list[tuple[float, ExchangeReply]]]


class ServiceCallTest(TestCase):
    """Requests to a service with two upstreams; `b` is remote and therefore the second choice."""

    def net(self, script: Script, idempotent: bool = True, slack: float = 1_000.0) -> SimulatedNet:
        """Returns a network whose upstreams follow a script, and reply in 5 ms after its end."""

        def behave(
            pool: SimulatedUpstream, _exchange: Exchange, _now: float
        ) -> tuple[float, ExchangeReply]:
            steps = script.get(str(pool.record.name), [])
            return steps.pop(0) if steps else (0.005, success(pool.record.name.encode()))

        net = SimulatedNet(behave, QuotaSettings(ratio=0.0, slack=slack))
        net.add("a", "s")
        net.add("b", "s", REMOTE)
        net.apply(plain_route("s", idempotent))
        return net

    def outcome(self, net: SimulatedNet) -> tuple[int, bytes]:
        answers = net.ask("/p/1")
        net.run(1.5)
        self.assertEqual(len(answers), 1)
        return answers[0][1].status, answers[0][1].body

    def arrivals(self, net: SimulatedNet) -> dict[str, int]:
        return {str(name): len(pool.arrivals) for name, pool in net.pools.items()}

    def test_overdue_request_is_hedged(self) -> None:
        net = self.net({"a": [(0.5, success(b"late"))]})
        answers = net.ask("/p/1")
        net.run(0.08)
        self.assertEqual((answers[0][1].body, self.arrivals(net)), (b"b", {"a": 1, "b": 1}))

    def test_non_idempotent_request_is_never_sent_twice_once_it_may_have_run(self) -> None:
        for end in (ExchangeEnd.LOST, ExchangeEnd.MALFORMED):
            with self.subTest(end=end):
                net = self.net({"a": [(0.005, ended(end))]}, idempotent=False)
                self.assertEqual(self.outcome(net)[0], 502)
                self.assertEqual(self.arrivals(net), {"a": 1, "b": 0})

    def test_non_idempotent_request_is_not_hedged(self) -> None:
        net = self.net({"a": [(0.5, success(b"late"))]}, idempotent=False)
        self.assertEqual(self.outcome(net), (200, b"late"))
        self.assertEqual(self.arrivals(net), {"a": 1, "b": 0})

    def test_request_that_did_not_run_is_sent_to_another_upstream(self) -> None:
        for end in (ExchangeEnd.NOT_RUN, ExchangeEnd.WRONG_UPSTREAM, ExchangeEnd.NOT_SENT):
            for idempotent in (True, False):
                with self.subTest(end=end, idempotent=idempotent):
                    net = self.net({"a": [(0.001, ended(end))]}, idempotent)
                    self.assertEqual(self.outcome(net), (200, b"b"))

    def test_refusal_by_all_upstreams_is_reported_as_not_run(self) -> None:
        refused = [(0.001, ended(ExchangeEnd.NOT_RUN))] * 9
        net = self.net({"a": list(refused), "b": list(refused)}, idempotent=False)
        answers = net.ask("/p/1")
        net.run(1.5)
        self.assertEqual(answers[0][1].status, 503)
        self.assertIn(b"Retry-After", dict(answers[0][1].headers))

    def test_refusal_is_not_reported_as_not_run_while_a_try_is_in_flight(self) -> None:
        script: Script = {"a": [(0.9, success(b"late"))], "b": [(0.1, ended(ExchangeEnd.NOT_RUN))]}
        net = self.net(script, slack=3.0)
        answers = net.ask("/p/1", time_left=0.3)
        net.run(1.5)
        self.assertEqual(answers[0][1].status, 504)

    def test_failed_request_is_repeated_at_the_only_upstream(self) -> None:
        net = self.net({"a": [(0.005, ended(ExchangeEnd.LOST))]})
        net.directory.remove(UpstreamName("b"))
        self.assertEqual(self.outcome(net), (200, b"a"))

    def test_request_runs_at_no_more_than_max_upstreams(self) -> None:
        lost = [(0.005, ended(ExchangeEnd.LOST))] * 9
        net = self.net({"a": list(lost), "b": list(lost), "c": list(lost)})
        net.add("c", "s", REMOTE)
        self.assertEqual(self.outcome(net)[0], 502)
        self.assertEqual(sum(count > 0 for count in self.arrivals(net).values()), 2)

    def test_last_failure_of_an_upstream_is_passed_on_unchanged(self) -> None:
        failure = [(0.005, success(b"broken", status=500))] * 9
        net = self.net({"a": list(failure), "b": list(failure)})
        self.assertEqual(self.outcome(net), (500, b"broken"))

    # Guards against REFUSED of review case 7: an order that ran was answered with a status that
    # promises that it has not.
    def test_status_of_an_upstream_that_ran_a_request_does_not_promise_that_it_has_not(
        self,
    ) -> None:
        for status in (408, 421, 429, 503):
            for idempotent in (False, True):
                with self.subTest(status=status, idempotent=idempotent):
                    failure = [(0.005, success(b"away", status=status))] * 9
                    net = self.net({"a": list(failure), "b": list(failure)}, idempotent)
                    answers = net.ask("/p/1")
                    net.run(1.5)
                    answer = answers[0][1]
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(b"Retry-After", dict(answer.headers))
                    self.assertNotIn(b"away", answer.body)
                    if not idempotent:
                        self.assertEqual(self.arrivals(net), {"a": 1, "b": 0})

    # Guards against the same status for a request that another upstream would have served.
    def test_idempotent_request_is_sent_to_another_upstream_after_such_a_status(self) -> None:
        for status in (408, 429, 503):
            with self.subTest(status=status):
                net = self.net({"a": [(0.005, success(b"away", status=status))] * 9})
                self.assertEqual(self.outcome(net), (200, b"b"))

    def test_failure_is_passed_on_if_another_upstream_denies_the_run(self) -> None:
        script: Script = {
            "a": [(0.005, success(b"broken", status=500))] * 9,
            "b": [(0.005, success(b"away", status=503))] * 9,
        }
        net = self.net(script)
        self.assertEqual(self.outcome(net), (500, b"broken"))

    def test_used_up_quota_ends_the_request_at_once(self) -> None:
        net = self.net({"a": [(0.005, ended(ExchangeEnd.LOST))]}, slack=0.0)
        answers = net.ask("/p/1")
        net.run(0.05)
        self.assertEqual(answers[0][1].status, 502)
        self.assertEqual(net.retries("s"), 0)

    def test_unsent_try_uses_no_quota(self) -> None:
        net = self.net({"a": [(0.001, ended(ExchangeEnd.NOT_SENT))]}, slack=0.0)
        self.assertEqual(self.outcome(net), (200, b"b"))

    def test_upstream_whose_address_was_reassigned_is_not_used_again(self) -> None:
        wrong = [(0.001, ended(ExchangeEnd.WRONG_UPSTREAM))] * 9
        net = self.net({"a": wrong})
        for _ in range(5):
            self.assertEqual(self.outcome(net), (200, b"b"))
        self.assertEqual(self.arrivals(net)["a"], 1)
        net.directory.put(replace(net.pools[UpstreamName("a")].record, draining=False))
        self.outcome(net)
        self.assertEqual(self.arrivals(net)["a"], 1, "an unchanged record made it eligible again")
        net.directory.put(replace(net.pools[UpstreamName("a")].record, started_ms=2))
        self.outcome(net)
        self.assertEqual(self.arrivals(net)["a"], 1, "a restarted upstream gets a new pool")
        self.assertEqual(len(net.pools[UpstreamName("a")].arrivals), 1)

    def test_upstream_that_refuses_connections_is_avoided_temporarily(self) -> None:
        refused = [(0.001, ended(ExchangeEnd.NOT_SENT))] * 99
        net = self.net({"a": refused})
        for _ in range(20):
            answers = net.ask("/p/1")
            net.run(0.1)
            self.assertEqual(answers[0][1].status, 200)
        self.assertLess(99 - len(refused), 8)

    def test_slow_upstream_receives_few_requests(self) -> None:
        net = self.net({"a": [(0.2, success(b"a"))] * 99})
        for _ in range(20):
            net.ask("/p/1")
            net.run(0.3)
        self.assertLessEqual(self.arrivals(net)["a"], 6)
