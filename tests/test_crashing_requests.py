"""Tests of requests that crash every upstream that runs them, without a network.

The load: callers repeat such a request all the time, at any node, beside ordinary requests. Six
nodes in three failure domains serve a service of three upstreams and a search over twenty shards
with two upstreams each.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sequoiapulley.forward.crash_guard import FIRST_REFUSAL_S, StrikeNews
from sequoiapulley.ids import UpstreamName
from sequoiapulley.quarantine import REFUSED_TTL_S, Strike
from tests.crashing_fleet import CrashingFleet
from tests.simulated_upstreams import add_search_and_portal, plain_route

DOMAINS = ("p", "p", "q", "q", "r", "r")
SHARDS = 20
CRASHING_SEARCH = "/q/crash"
CRASHING_REQUEST = "/p/crash"
CONTACT_S = 4.0
"""The users' `contact_ms`: time from the third crash after which the bound holds."""
KNOWN_AFTER_CRASHES = 3
MAX_SENDS = 3
"""The users' bound on the sends after that time."""
INTERVAL_S = 0.25
"""Interval of the repetitions of the crashing request."""


def make_fleet(merges_parts: bool = False) -> CrashingFleet:
    """Returns the nodes with both routes."""
    crashing = frozenset({CRASHING_SEARCH.encode(), CRASHING_REQUEST.encode()})
    fleet = CrashingFleet(DOMAINS, crashing, merges_parts)
    add_search_and_portal(fleet, SHARDS)
    return fleet


class CrashingRequestTest(TestCase):
    """Nodes stop sending a request that crashes upstreams."""

    def repeat(self, fleet: CrashingFleet, path: str, seconds: float, nodes: int) -> None:
        """Sends a request again and again, to each of some nodes in turn."""
        for number in range(round(seconds / INTERVAL_S)):
            fleet.ask(number % nodes, path)
            fleet.run(INTERVAL_S)

    # Guards against BUDGET of issue 28: a request that had crashed three upstreams was sent on.
    def test_request_that_crashes_upstreams_is_not_sent_on(self) -> None:
        fleet = make_fleet()
        self.repeat(fleet, CRASHING_REQUEST, 20.0, 1)
        self.assertLessEqual(fleet.sends_after(KNOWN_AFTER_CRASHES, CONTACT_S), MAX_SENDS)

    # Guards against BUDGET of issue 28: a search crashed the upstreams of all shards, again and
    # again.
    def test_search_that_crashes_upstreams_is_not_sent_on(self) -> None:
        fleet = make_fleet()
        self.repeat(fleet, CRASHING_SEARCH, 20.0, 1)
        self.assertLessEqual(fleet.sends_after(KNOWN_AFTER_CRASHES, CONTACT_S), MAX_SENDS)

    # Guards against BUDGET of issue 28: each node learned of such a request by its own losses.
    def test_all_nodes_stop_sending_a_request_that_crashes_upstreams(self) -> None:
        for path in (CRASHING_REQUEST, CRASHING_SEARCH):
            fleet = make_fleet()
            self.repeat(fleet, path, 20.0, len(DOMAINS))
            self.assertLessEqual(fleet.sends_after(KNOWN_AFTER_CRASHES, CONTACT_S), MAX_SENDS, path)

    # Guards against an outage as in issue 28: one search ended both upstreams of every shard.
    def test_search_that_crashes_upstreams_leaves_one_upstream_of_a_shard(self) -> None:
        fleet = make_fleet()
        fleet.ask(0, CRASHING_SEARCH)
        fleet.run(0.5)
        self.assertLessEqual(len(fleet.crashes), SHARDS + 1)
        answers = fleet.ask(1, "/q/other")
        fleet.run(0.5)
        self.assertEqual([answer.status for _, answer in answers], [200])

    # Guards against an outage: each node that merged parts of a crashing search sent it to a second
    # upstream of a shard, so that too few shards were left for any search.
    def test_crashing_search_leaves_every_shard_an_upstream_when_nodes_merge_parts(self) -> None:
        for seed in range(5):
            random = Random(seed)
            fleet = make_fleet(merges_parts=True)
            delays = {name: random.uniform(0.02, 0.09) for name in fleet.nets[0].pools}
            fleet.crash_after = delays.__getitem__
            fleet.ask(seed, CRASHING_SEARCH)
            fleet.run(0.5)
            shards = [name.rpartition("-")[0] for _, name in fleet.crashes]
            self.assertEqual(len(shards), len(set(shards)), f"seed {seed}: {shards}")
            answers = [fleet.ask(number, "/q/other") for number in range(len(DOMAINS))]
            fleet.run(0.5)
            found = {
                (answer.status, dict(answer.headers)[b"missing"]) for ((_, answer),) in answers
            }
            self.assertEqual(found, {(200, b"0")}, f"seed {seed}")

    # Guards against searches that are refused as they were in flight beside a crashing one.
    def test_searches_in_flight_beside_a_crashing_search_are_served(self) -> None:
        for seed in range(5):
            random = Random(seed)
            fleet = make_fleet(merges_parts=True)
            delays = {name: random.uniform(0.02, 0.09) for name in fleet.nets[0].pools}
            fleet.crash_after = delays.__getitem__
            answers = []
            for number in range(20):
                if number == 5:
                    fleet.ask(seed, CRASHING_SEARCH)
                answers.append(fleet.ask(random.randrange(len(DOMAINS)), f"/q/{number}"))
                fleet.run(random.expovariate(100.0))
            fleet.run(1.0)
            self.assertEqual(
                [answer[0][1].status for answer in answers], [200] * 20, f"seed {seed}"
            )

    # Guards against BUDGET of issue 28 after all nodes have restarted and know only the store.
    def test_search_is_not_sent_on_after_all_nodes_have_restarted(self) -> None:
        fleet = make_fleet()
        self.repeat(fleet, CRASHING_SEARCH, 20.0, len(DOMAINS))
        fleet.restart()
        self.repeat(fleet, CRASHING_SEARCH, 5.0, len(DOMAINS))
        self.assertLessEqual(fleet.sends_after(KNOWN_AFTER_CRASHES, CONTACT_S), MAX_SENDS)

    # Guards against collateral damage: requests that are in flight when an upstream crashes.
    def test_requests_in_flight_beside_a_crash_are_served(self) -> None:
        fleet = make_fleet()
        answers = []
        for number in range(80):
            if number % 10 == 0:
                fleet.ask(number % len(DOMAINS), CRASHING_REQUEST)
            answers.append(fleet.ask(number % len(DOMAINS), f"/p/{number}"))
            fleet.run(0.02)
        fleet.run(1.5)
        statuses = [found[0][1].status for found in answers]
        self.assertGreaterEqual(statuses.count(200), 0.95 * len(statuses))
        fleet.run(FIRST_REFUSAL_S)
        again = [fleet.ask(number % len(DOMAINS), f"/p/{number}") for number in range(80)]
        fleet.run(1.0)
        self.assertEqual({found[0][1].status for found in again}, {200})

    # Guards against a search that is refused for good because a failure domain crashed.
    def test_search_survives_the_crash_of_a_failure_domain(self) -> None:
        for merges_parts in (False, True):
            fleet = make_fleet(merges_parts)
            search = fleet.ask(0, "/q/ordinary")
            fleet.run(0.015 if merges_parts else 0.005)
            fleet.crash_domain("q")
            fleet.run(0.5)
            self.assertEqual([answer.status for _, answer in search], [200])
            self.assertLess(search[0][0], 0.2)
            again = fleet.ask(3, "/q/ordinary")
            fleet.run(0.5)
            self.assertEqual([answer.status for _, answer in again], [200])

    # Guards against a refusal of requests whose replies were lost by upstreams that live on.
    def test_lost_replies_without_a_crash_refuse_nothing(self) -> None:
        fleet = make_fleet()
        fleet.lossy = frozenset({b"/p/lossy"})
        for _ in range(5):
            fleet.ask(0, "/p/lossy")
            fleet.run(0.3)
        fleet.lossy = frozenset()
        for net in range(len(DOMAINS)):
            answers = fleet.ask(net, "/p/lossy")
            fleet.run(0.3)
            self.assertEqual([answer.status for _, answer in answers], [200])

    def test_refused_request_has_not_run_and_names_the_time_of_the_refusal(self) -> None:
        fleet = make_fleet()
        fleet.ask(0, CRASHING_REQUEST)
        fleet.run(0.5)
        for most_wait in (FIRST_REFUSAL_S, REFUSED_TTL_S):
            sends = len(fleet.sends)
            for net in range(len(DOMAINS)):
                answers = fleet.ask(net, CRASHING_REQUEST)
                self.assertEqual(answers[0][1].status, 503)
                wait = float(dict(answers[0][1].headers)[b"Retry-After"])
                self.assertTrue(0.5 * most_wait < wait <= most_wait, wait)
            self.assertEqual(len(fleet.sends), sends)
            fleet.run(FIRST_REFUSAL_S)
            fleet.ask(1, CRASHING_REQUEST)
            fleet.run(0.5)

    # Guards against callers of one node that each have a suspected request sent.
    def test_node_probes_a_suspected_request_once_at_a_time(self) -> None:
        for path in (CRASHING_REQUEST, CRASHING_SEARCH):
            fleet = make_fleet()
            suspected = Strike(fleet.nets[0].request(path).fingerprint, UpstreamName("u"), 1)
            fleet.nets[0].ctx.crash_guard.hear(
                [StrikeNews(suspected, 0.0, 60.0)], lambda name: None, "n9"
            )
            for _ in range(5):
                fleet.ask(0, path)
            fleet.run(0.5)
            self.assertEqual(len(fleet.sends), 1, path)

    # Guards against a request that returns to the only upstream, which restarts at once.
    def test_only_upstream_of_a_service_crashes_a_few_times(self) -> None:
        fleet = CrashingFleet(DOMAINS[:1], frozenset({CRASHING_REQUEST.encode()}))
        fleet.down_s = 0.01
        fleet.add("portal-p", "portal", "p")
        fleet.apply(plain_route("portal"))
        self.repeat(fleet, CRASHING_REQUEST, 20.0, 1)
        # Three strikes, and one loss that is none, as the upstream keeps its name.
        self.assertLessEqual(len(fleet.sends), 4)

    # Guards against nodes that each learn of such a request by their own losses.
    def test_requests_at_every_node_crash_few_upstreams_in_all(self) -> None:
        fleet = make_fleet()
        for number in range(20 * len(DOMAINS)):
            fleet.ask(number % len(DOMAINS), CRASHING_REQUEST)
            fleet.run(0.15)
        # Three strikes, and one loss that is none, as these upstreams keep their names.
        self.assertLessEqual(len(fleet.crashes), 4)

    # Guards against a search of many callers that all nodes refuse because one shard crashes of
    # itself, again and again, while the search is in flight there.
    def test_shard_that_keeps_crashing_does_not_refuse_a_popular_search(self) -> None:
        for seed in (0, 4):
            random = Random(seed)
            fleet = make_fleet()
            fleet.down_s = 0.1
            answers = []
            now, crash_at = 0.0, 1.0
            while now < 30.0:
                pause = random.expovariate(100.0)
                if now + pause >= crash_at:
                    fleet.run(crash_at - now)
                    fleet.crash_upstream(f"shard-0-{len(fleet.crashes) % 2}")
                    pause, now = now + pause - crash_at, crash_at
                    crash_at += random.uniform(0.05, 0.6)
                fleet.run(pause)
                now += pause
                answers.append(fleet.ask(random.randrange(len(DOMAINS)), "/q/popular"))
            fleet.run(1.5)
            self.assertEqual({found[0][1].status for found in answers}, {200}, f"seed {seed}")

    # Guards against a search that crashes the upstreams of one shard only, again and again.
    def test_search_that_crashes_one_shard_is_served_without_it(self) -> None:
        fleet = make_fleet()
        fleet.crashing_at = (b"/q/partly", "shard-3")
        answers = []
        for number in range(80):
            answers.append(fleet.ask(number % len(DOMAINS), "/q/partly"))
            fleet.run(INTERVAL_S)
        self.assertEqual({found[0][1].status for found in answers}, {200})
        self.assertLessEqual(fleet.sends_after(KNOWN_AFTER_CRASHES, CONTACT_S), MAX_SENDS)
        other = fleet.ask(0, "/q/other")
        fleet.run(0.5)
        self.assertEqual(dict(other[0][1].headers)[b"missing"], b"0")
