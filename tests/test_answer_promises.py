"""Stateful property test of the guarantees on search answers, with injected faults."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from msgspec.structs import replace

from sequoiapulley.ids import InstanceName, NodeId, RequestId, ShardId
from sequoiapulley.model import Snapshot
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.actions import (
    CancelSubSearch,
    DeliverAnswer,
    HomeAction,
    SearchAction,
    SendCancelSearch,
    SendGroupReply,
    SendGroupSearch,
    SubmitSubSearch,
)
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.hit_merge import merge_hits
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupReply,
    GroupSearch,
    Hit,
    MissingReason,
    SearchAnswer,
    SearchRequest,
    ShardReply,
)
from sequoiapulley.upstream.messages import SubSearch
from tests.search_fixtures import HOME_A, HOME_B, FixedHomes, make_configuration, make_search

ENTRY = NodeId("entry")
SHARDS = ("d0", "d1", "l0", "l1")
SNAPSHOTS = (Snapshot(1, 1), Snapshot(1, 2), Snapshot(2, 1))
LIMIT = 3
PICK = st.integers(min_value=0, max_value=1_000)


def expected_hits(query: str, shard: ShardId, snapshot: Snapshot) -> tuple[Hit, ...]:
    """Returns the hits of a shard for a query at a snapshot."""
    marks = {"query": query, "snapshot": str(snapshot)}
    return tuple(Hit(f"{shard}-{rank}", float(rank % 2), shard, marks) for rank in range(2))


class AnswerPromises(RuleBasedStateMachine):
    """One entry node, two homes, changing snapshots and a network that loses and duplicates."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.resolver = FixedHomes(HOME_A, HOME_B)
        self.coordinator = SearchCoordinator(self.resolver, MemoryLog())
        self.coordinator.configure(make_configuration(), self.now)
        self.homes = {home: HomeService(MemoryLog()) for home in (HOME_A, HOME_B)}
        self.served = {ShardId(shard): {SNAPSHOTS[0]} for shard in SHARDS}
        self.to_home: list[tuple[NodeId, GroupSearch | CancelSearch]] = []
        self.to_entry: list[tuple[NodeId, GroupReply]] = []
        self.subs: list[tuple[NodeId, SubSearch]] = []
        self.shard_replies: set[tuple[str, ShardId, Snapshot]] = set()
        self.requests: dict[RequestId, SearchRequest] = {}
        self.answered: Counter[RequestId] = Counter()
        self.cancelled: set[RequestId] = set()

    @rule(early=st.booleans(), share=st.sampled_from([0.0, 0.5, 1.0]))
    def a_caller_searches(self, early: bool, share: float) -> None:
        name = f"search-{len(self.requests)}"
        early_at = self.now + 0.03 if early else None
        request = make_search(name, self.now + 0.06, share, early_at, LIMIT)
        request = replace(request, query=name)
        self.requests[request.request_id] = request
        self._perform(self.coordinator.start(request, self.now))

    @precondition(lambda self: self.requests)
    @rule(pick=PICK)
    def a_caller_disconnects(self, pick: int) -> None:
        request_id = list(self.requests)[pick % len(self.requests)]
        if not self.answered[request_id]:
            self.cancelled.add(request_id)
        self._perform(self.coordinator.cancel(request_id, self.now))

    @precondition(lambda self: self.to_home)
    @rule(pick=PICK, duplicate=st.booleans(), lost=st.booleans())
    def a_message_reaches_a_home(self, pick: int, duplicate: bool, lost: bool) -> None:
        home, message = self._pop_message(self.to_home, pick, duplicate)
        if lost and not duplicate:
            return
        service = self.homes[home]
        if isinstance(message, CancelSearch):
            self._perform_home(home, service.on_cancel(ENTRY, message, self.now))
            return
        self._perform_home(home, service.on_group_search(ENTRY, message, self.now))

    @precondition(lambda self: self.subs)
    @rule(pick=PICK, fault=st.sampled_from([None, None, None, "other", *MissingReason]))
    def a_shard_replies(self, pick: int, fault: MissingReason | str | None) -> None:
        home, sub = self.subs.pop(pick % len(self.subs))
        shard = sub.target.shard
        served = self.served[shard]
        snapshot = sub.snapshot or max(served)
        available = tuple(sorted(served))
        if fault == "other":
            snapshot = max(served)
        reply = ShardReply(
            shard, snapshot, expected_hits(sub.query, shard, snapshot), None, available
        )
        if snapshot not in served:
            reply = ShardReply(shard, reason=MissingReason.SNAPSHOT, available=available)
        elif isinstance(fault, MissingReason):
            reply = ShardReply(shard, reason=fault)
        else:
            self.shard_replies.add((sub.query, shard, snapshot))
        self._perform_home(home, self.homes[home].on_sub_finished(sub.sub_id, reply, self.now))

    @precondition(lambda self: self.to_entry)
    @rule(pick=PICK, duplicate=st.booleans(), misrouted=st.booleans())
    def a_batch_reaches_the_entry(self, pick: int, duplicate: bool, misrouted: bool) -> None:
        home, batch = self._pop_message(self.to_entry, pick, duplicate)
        if misrouted and duplicate:
            home = HOME_B if home == HOME_A else HOME_A
        self._perform(self.coordinator.on_group_reply(home, batch, self.now))

    @rule()
    def all_messages_arrive(self) -> None:
        for _ in range(20):
            while self.to_home:
                self.a_message_reaches_a_home(0, False, False)
            while self.subs:
                self.a_shard_replies(0, None)
            while self.to_entry:
                self.a_batch_reaches_the_entry(0, False, False)

    @rule(pick=PICK, snapshots=st.sets(st.sampled_from(SNAPSHOTS), min_size=1))
    def a_shard_moves_to_other_snapshots(self, pick: int, snapshots: set[Snapshot]) -> None:
        self.served[ShardId(SHARDS[pick % 4])] = snapshots

    @rule(old=st.booleans())
    def the_index_rolls(self, old: bool) -> None:
        for shard, served in self.served.items():
            newest = min(SNAPSHOTS.index(max(served)) + 1, len(SNAPSHOTS) - 1)
            self.served[shard] = {SNAPSHOTS[newest], *(served if old else ())}

    @rule(pick=PICK, order=st.permutations((HOME_A, HOME_B)))
    def the_views_of_homes_change(self, pick: int, order: list[NodeId]) -> None:
        self.resolver.of_instance[InstanceName(SHARDS[pick % 4])] = tuple(order[: 1 + pick % 2])

    @rule(pick=PICK)
    def a_node_is_lost(self, pick: int) -> None:
        home = (HOME_A, HOME_B)[pick % 2]
        if pick % 3:
            self.homes[home] = HomeService(MemoryLog())
            self.subs = [(at, sub) for at, sub in self.subs if at != home]
        self._perform(self.coordinator.on_node_lost(home, self.now))

    @rule(seconds=st.sampled_from([0.001, 0.009, 0.02, 0.1]), entry=st.booleans())
    def time_passes(self, seconds: float, entry: bool) -> None:
        self.now += seconds
        for home, service in self.homes.items():
            self._perform_home(home, service.tick(self.now))
        if entry:
            self._perform(self.coordinator.tick(self.now))

    def teardown(self) -> None:
        """Passes the deadline and checks that each search has one answer unless cancelled."""
        self.now += 0.1
        self._perform(self.coordinator.tick(self.now))
        assert self.coordinator.in_flight() == 0
        for request_id in self.requests:
            assert self.answered[request_id] == (request_id not in self.cancelled)

    def _each_caller_receives_the_whole_answer_to_its_own_request(
        self, answer: SearchAnswer
    ) -> None:
        query = self.requests[answer.request_id].query
        snapshot = answer.snapshot
        if snapshot is None:
            assert not answer.hits and not answer.covered
            return
        batches = [expected_hits(query, shard, snapshot) for shard in answer.covered]
        assert answer.hits == merge_hits(batches, LIMIT)

    def _every_answer_comes_from_one_snapshot(self, answer: SearchAnswer) -> None:
        assert {hit.fields["snapshot"] for hit in answer.hits} <= {str(answer.snapshot)}

    def _an_answer_reports_covered_and_missing_shards_correctly(self, answer: SearchAnswer) -> None:
        lacking = [each.shard for each in answer.lacking]
        assert sorted([*answer.covered, *lacking]) == sorted(SHARDS)
        request = self.requests[answer.request_id]
        for shard in answer.covered:
            assert answer.snapshot is not None
            assert (request.query, shard, answer.snapshot) in self.shard_replies
        enough = bool(answer.covered) and answer.coverage >= request.min_coverage
        assert answer.complete == enough

    def _perform(self, actions: list[SearchAction]) -> None:
        for action in actions:
            if isinstance(action, SendGroupSearch | SendCancelSearch):
                self.to_home.append((action.node, action.message))
            if not isinstance(action, DeliverAnswer):
                continue
            self.answered[action.answer.request_id] += 1
            self._each_caller_receives_the_whole_answer_to_its_own_request(action.answer)
            self._every_answer_comes_from_one_snapshot(action.answer)
            self._an_answer_reports_covered_and_missing_shards_correctly(action.answer)

    def _perform_home(self, home: NodeId, actions: list[HomeAction]) -> None:
        for action in actions:
            if isinstance(action, SubmitSubSearch):
                self.subs.append((home, action.sub))
            if isinstance(action, CancelSubSearch):
                self.subs = [
                    (at, s) for at, s in self.subs if (at, s.sub_id) != (home, action.sub_id)
                ]
            if isinstance(action, SendGroupReply):
                self.to_entry.append((home, action.message))

    def _pop_message(self, queue: list[Any], pick: int, duplicate: bool) -> Any:
        position = pick % len(queue)
        return queue[position] if duplicate else queue.pop(position)


AnswerPromisesTest = AnswerPromises.TestCase
AnswerPromisesTest.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)
