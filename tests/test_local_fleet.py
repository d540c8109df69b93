"""End-to-end tests with node processes on loopback: edits, crashes, a store outage, restarts."""

from __future__ import annotations

from http.client import HTTPException
from pathlib import Path
from socket import create_server
from tempfile import TemporaryDirectory
from threading import Event, Thread
from time import sleep
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from msgspec import json

from sequoiapulley.daemon.main import EXIT_ADDRESS_IN_USE
from standins.demo import Caller
from standins.http_call import http_json
from standins.local_fleet import (
    LocalFleet,
    LocalNode,
    free_port,
    local_fleet,
    wait_for_exit,
    wait_until,
)

NODES = 5
REFUSALS_ARRIVE_S = 3.0
"""Time within which a node that starts learns what the others refuse."""
SERVICE = "ctx"
SHARDS = frozenset({"ctx-1", "ctx-2", "ledger-1"})


def make_text(extra: str = "") -> str:
    """Returns a configuration with three instances of two upstreams each, and a comment."""
    domains = {"p1": {"region": "r1"}, "p2": {"region": "r1"}, "p3": {"region": "r2"}}

    def instance(name: str, number: int) -> dict[str, Any]:
        upstreams = {}
        for letter, domain in (("a", "p1"), ("b", f"p{number % 2 + 2}")):
            # The validation requires distinct ports; the launcher replaces them.
            port = 30_000 + len(name) * 100 + number * 10 + ord(letter) - 96
            upstreams[f"{name}-{letter}"] = {"place": domain, "address": f"127.0.0.1:{port}"}
        return upstreams

    contract = {"slots": 2, "connections": 60, "open_ms": 1}
    text = {
        "customer": "fleet-test",
        "places": domains,
        "contracts": {"c": contract},
        "services": {
            SERVICE: {
                "contract": "c",
                "depends_on": ["ledger"],
                "search": {"deadline_ms": 2_000},
                "instances": {
                    "ctx-1": instance("ctx-1", 1),
                    "ctx-2": instance("ctx-2", 2),
                },
            },
            "ledger": {"contract": "c", "instances": {"ledger-1": instance("ledger-1", 1)}},
        },
    }
    return json.format(json.encode(text), indent=1).decode() + f"\n// {extra}\n"


def apply(fleet: LocalFleet, node: LocalNode, base: int, note: str) -> tuple[int, Any]:
    body = {
        "base_version": base,
        "edit_id": f"edit-{note}",
        "author": "test",
        "text": fleet.text + f"// {note}\n",
    }
    return http_json(node.ports.operators, "PUT", "/v1/config", body)


def versions(fleet: LocalFleet) -> set[int]:
    found = set()
    for node in fleet.running():
        try:
            view = http_json(node.ports.operators, "GET", "/v1/status")[1]
        except (OSError, HTTPException):
            return set()
        found.add(view["version"])
    return found


class SearchStream:
    """Sends searches continuously and records the answers and failures that a caller sees."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._caller = Caller(fleet)
        self._stop = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self.answers: list[Any] = []
        self.failures = 0
        self._thread.start()

    def _run(self) -> None:
        while not self._stop.wait(0.01):
            reply = self._caller.call(f"/v1/services/{SERVICE}/search", {"query": "permit"})
            if reply is None or reply[0] != 200:
                self.failures += 1
                continue
            self.answers.append(reply[1])

    def finish(self) -> None:
        self._stop.set()
        self._thread.join()


class LocalFleetTest(TestCase):
    """The guarantees of the fleet, observed from outside its processes."""

    def test_five_processes_through_faults(self) -> None:
        with local_fleet(make_text(), NODES) as fleet:
            fleet.wait_for_members(NODES)
            first, *_ = fleet.running()
            self.assertEqual(apply(fleet, first, 0, "one")[0], 200)
            wait_until(lambda: versions(fleet) == {1}, "version 1 everywhere")
            stream = SearchStream(fleet)
            self._edits_conflict(fleet)
            self._store_outage(fleet)
            self._killed_node(fleet)
            self._rolling_restart(fleet)
            stream.finish()
            self._check_answers(stream)
            runs = fleet.upstreams.totals().runs
            self.assertEqual(set(runs.values()), {1})
            self.assertEqual(len(runs), 3)
            self.assertLess({"before-outage", "after-outage"}, set(runs))

    def _edits_conflict(self, fleet: LocalFleet) -> None:
        left, right = fleet.running()[:2]
        self.assertEqual(apply(fleet, left, 1, "two")[0], 200)
        status, refusal = apply(fleet, right, 1, "other")
        self.assertEqual(status, 409)
        self.assertEqual(refusal["current"]["version"], 2)
        self.assertEqual(apply(fleet, right, 1, "two")[0], 200, "a repeated edit is the same edit")
        wait_until(lambda: versions(fleet) == {2}, "version 2 everywhere")

    def _store_outage(self, fleet: LocalFleet) -> None:
        node, other = fleet.running()[2:4]
        self.assertEqual(self._send_request(node, "before-outage")["state"], "done")
        self.assertEqual(apply(fleet, node, 2, "three")[0], 200)
        fleet.set_store_faults(down=True)
        wait_until(lambda: versions(fleet) == {3}, "version 3 everywhere with the store down")
        refusal = self._send_request(other, "after-outage")
        self.assertEqual((refusal["state"], refusal["attempt"]), ("unknown", "not_run"))
        ticket = self._issue_ticket(other)
        self.assertEqual(
            self._send_request(other, ticket)["state"], "done", "tickets need no store"
        )
        self.assertTrue(self._send_request(other, ticket)["repeated"])
        self.assertEqual(self._send_request(node, ticket)["reason"], "ticket_elsewhere")
        self.assertEqual(apply(fleet, node, 3, "four")[0], 503)
        fleet.set_store_faults(down=False)
        wait_until(
            lambda: self._send_request(other, "after-outage")["state"] == "done",
            "requests run again",
        )

    def _killed_node(self, fleet: LocalFleet) -> None:
        killed = fleet.running()[2]
        fleet.kill(killed)
        outcome = self._send_request(fleet.running()[0], "before-outage")
        self.assertEqual((outcome["state"], outcome["repeated"]), ("done", True))
        fleet.wait_for_members(NODES - 1)
        fleet.start_node(NODES + 1)
        fleet.publish_vms()
        fleet.wait_for_members(NODES)
        wait_until(lambda: versions(fleet) == {3}, "the new node has the configuration")

    def _rolling_restart(self, fleet: LocalFleet) -> None:
        for number, node in enumerate(fleet.running()):
            fleet.request_shutdown(node)
            self.assertEqual(wait_for_exit(node.process), 0)
            fleet.start_node(NODES + 2 + number)
            fleet.publish_vms()
            fleet.wait_until_ready()
            fleet.wait_for_members(NODES)
        self.assertEqual(versions(fleet), {3})

    def _send_request(self, node: LocalNode, key: str) -> Any:
        path = f"/v1/services/{SERVICE}/requests"
        return http_json(node.ports.callers, "POST", path, {"k": key}, Idempotency_Key=key)[1]

    def _issue_ticket(self, node: LocalNode) -> str:
        path = f"/v1/services/{SERVICE}/tickets"
        key: str = http_json(node.ports.callers, "POST", path, {})[1]["key"]
        return key

    def _check_answers(self, stream: SearchStream) -> None:
        self.assertEqual(stream.failures, 0)
        self.assertGreater(len(stream.answers), 100)
        for answer in stream.answers:
            covered = set(answer["covered"])
            lacking = {item["shard"] for item in answer["lacking"]}
            self.assertEqual(covered | lacking, SHARDS)
            self.assertFalse(covered & lacking)
            self.assertEqual(answer["snapshot"], "1.1")


class UpstreamFaultsTest(TestCase):
    """Effects of upstream faults, observed from outside three processes."""

    def test_crashing_requests_and_draining_upstreams(self) -> None:
        with local_fleet(make_text(), 3) as fleet:
            fleet.wait_for_members(3)
            first, second, third = fleet.running()
            self.assertEqual(apply(fleet, first, 0, "one")[0], 200)
            wait_until(lambda: versions(fleet) == {1}, "version 1 everywhere")
            fleet.upstreams.set_faults("*", crash_text="poison", down_ms=100)
            for node in (first, second, third, first, second, third):
                self._search(node, "poison pill")
            status, answer = self._search(third, "poison pill")
            self.assertEqual(status, 422)
            self.assertEqual({item["reason"] for item in answer["lacking"]}, {"quarantined"})
            crashes = self._crashes(fleet)
            self.assertLessEqual(max(crashes.values()), 2, crashes)
            wait_until(
                lambda: self._search(second, "innocent")[1]["complete"], "other searches complete"
            )
            self._check_draining_upstream(fleet, first)
            self._check_node_that_starts_later(fleet)

    # Guards against the class of issue 28: nodes that start later do not know what others refuse.
    def _check_node_that_starts_later(self, fleet: LocalFleet) -> None:
        crashes = self._crashes(fleet)
        later = fleet.start_node(4)
        fleet.publish_vms()
        fleet.wait_for_members(4)
        wait_until(lambda: versions(fleet) == {1}, "the new node has the configuration")
        wait_until(
            lambda: self._search(later, "innocent")[1].get("complete"), "the new node searches"
        )
        sleep(REFUSALS_ARRIVE_S)
        for node in fleet.running():
            if node is not later:
                fleet.kill(node)
        fleet.wait_for_members(1)
        fleet.upstreams.set_faults("*", crash_text="poison", down_ms=100)
        self.assertEqual(self._search(later, "poison pill")[0], 422)
        self.assertEqual(self._crashes(fleet), crashes)

    def _search(self, node: LocalNode, query: str) -> tuple[int, Any]:
        path = f"/v1/services/{SERVICE}/search"
        body = {"query": query, "min_coverage": 1.0}
        return http_json(node.ports.callers, "POST", path, body)

    def _crashes(self, fleet: LocalFleet) -> dict[str, int]:
        crashes: dict[str, int] = {}
        for name, counters in fleet.upstreams.totals().upstreams.items():
            instance = name.rsplit("-", 1)[0]
            crashes[instance] = crashes.get(instance, 0) + counters.crashes
        return crashes

    def _check_draining_upstream(self, fleet: LocalFleet, node: LocalNode) -> None:
        """An upstream that marks its replies as draining receives no new work after the first."""
        fleet.upstreams.set_faults("ctx-1-a", drain_mark=True)
        wait_until(lambda: self._idle_for_searches(fleet, node), "no new work for ctx-1-a")
        answer = self._search(node, "after the drain")[1]
        self.assertEqual(set(answer["covered"]), SHARDS)

    def _idle_for_searches(self, fleet: LocalFleet, node: LocalNode) -> bool:
        before = fleet.upstreams.totals().upstreams["ctx-1-a"].received
        for number in range(20):
            self._search(node, f"drain {number}")
        return fleet.upstreams.totals().upstreams["ctx-1-a"].received == before


class PortConflictTest(TestCase):
    """A node whose port another process has bound meanwhile is restarted on other ports."""

    def test_node_that_cannot_bind_restarts_on_other_ports(self) -> None:
        with TemporaryDirectory() as folder, create_server(("127.0.0.1", 0)) as taken:
            fleet = LocalFleet(make_text(), Path(folder))
            self.addCleanup(fleet.stop)
            taken_ports = iter([taken.getsockname()[1]])
            with patch(
                "standins.local_fleet.free_port",
                lambda *kind: next(taken_ports, None) or free_port(*kind),
            ):
                fleet.start_node(1)
            fleet.publish_vms()
            wait_until(
                lambda: fleet.nodes["fleet-test-01"].process.poll() == EXIT_ADDRESS_IN_USE,
                "the first start to fail",
            )
            fleet.wait_for_members(1)
            self.assertIsNone(fleet.nodes["fleet-test-01"].process.poll())
