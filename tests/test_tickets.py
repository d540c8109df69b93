"""Tests of tickets: keys that only run in the process that issued them, without the store."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.requests.claim_acquirer import ClaimHeld, ClaimNotLocal, ClaimResult, ClaimWon
from sequoiapulley.requests.claim_record import claim_key, make_claim
from sequoiapulley.requests.messages import RefusalReason, RunState
from sequoiapulley.requests.ticket_registry import TicketRegistry
from sequoiapulley.runtime import PausedClock
from tests.fake_store import FakeStore
from tests.search_fixtures import make_keyed
from tests.test_request_coordinator import EntryNode

NODE = NodeId("entry")


class TicketsTest(TestCase):
    """A ticket runs at most once, in one process, while the store is unavailable."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.store = FakeStore()
        self.first = EntryNode(self.store, self.clock)
        self.ticket = self.first.coordinator.issue_ticket()

    def test_runs_and_answers_retries_without_the_store(self) -> None:
        self.first.coordinator.start(make_keyed(self.ticket))
        self.first.coordinator.start(make_keyed(self.ticket, name="meanwhile"))
        self.assertEqual(self.first.outcomes[-1].reason, RefusalReason.IN_PROGRESS)
        self.first.report(RunState.DONE, body="ran")
        self.first.coordinator.start(make_keyed(self.ticket, name="repeat"))
        bodies = [(each.body, each.repeated) for each in self.first.outcomes[1:]]
        self.assertEqual(bodies, [("ran", False), ("ran", True)])
        self.first.coordinator.start(make_keyed(self.ticket, "{}", name="other"))
        self.assertEqual(self.first.outcomes[-1].reason, RefusalReason.KEY_REUSED)
        self.assertEqual((len(self.first.orders), self.store.calls), (1, []))

    def test_retry_runs_after_not_run(self) -> None:
        self.first.coordinator.start(make_keyed(self.ticket))
        self.first.report(RunState.NOT_RUN, RefusalReason.OVERLOAD)
        self.first.coordinator.start(make_keyed(self.ticket))
        self.assertEqual(len(self.first.orders), 2)

    def test_is_unknown_at_any_other_process(self) -> None:
        later = EntryNode(self.store, self.clock, incarnation=2)
        twin = EntryNode(self.store, self.clock)
        for node in (later, twin):
            node.coordinator.issue_ticket()
        forged = f"{self.ticket}f"
        for node, key in ((later, self.ticket), (twin, self.ticket), (self.first, forged)):
            node.coordinator.start(make_keyed(key))
            outcome = node.outcomes[-1]
            expected = (RunState.UNKNOWN, RefusalReason.TICKET_ELSEWHERE)
            self.assertEqual((outcome.state, outcome.reason), expected)
            self.assertEqual(node.orders, [])

    def test_evicted_ticket_never_runs_again(self) -> None:
        keeper = TicketRegistry(NODE, Incarnation(1), max_tickets=2)
        tickets = [keeper.issue() for _ in range(4)]
        seen: list[ClaimResult] = []
        for ticket in (*tickets, tickets[0], tickets[1], tickets[3]):
            request = make_keyed(ticket)
            key = claim_key(request.service, ticket)
            claim = make_claim(request, NODE, Incarnation(1), 0.0)
            keeper.acquire(request, key, claim, seen.append)
        kinds = [type(result) for result in seen]
        self.assertEqual(kinds, [ClaimWon] * 4 + [ClaimNotLocal, ClaimNotLocal, ClaimHeld])
