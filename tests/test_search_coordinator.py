"""Tests of the search state machine of an entry node."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import InstanceName, NodeId, RequestId, ShardId
from sequoiapulley.model import Snapshot
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.actions import (
    DeliverAnswer,
    SearchAction,
    SendCancelSearch,
    SendGroupSearch,
)
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.messages import (
    GroupReply,
    MissingReason,
    MissingShard,
    SearchAnswer,
    SearchRequest,
    ShardReply,
)
from tests.search_fixtures import (
    HOME_A,
    HOME_B,
    NEW,
    OLD,
    FixedHomes,
    make_configuration,
    make_reply,
    make_search,
)

START = 1_000.0
SHARDS = ("d0", "d1", "l0", "l1")


def sends(actions: list[SearchAction]) -> list[SendGroupSearch]:
    return [action for action in actions if isinstance(action, SendGroupSearch)]


def answers(actions: list[SearchAction]) -> list[SearchAnswer]:
    return [action.answer for action in actions if isinstance(action, DeliverAnswer)]


class SearchCoordinatorTest(TestCase):
    """A search has one answer, from one snapshot, with the correct covered and missing shards."""

    def setUp(self) -> None:
        self.homes = FixedHomes(HOME_A, HOME_B)
        self.log = MemoryLog()
        self.coordinator = SearchCoordinator(self.homes, self.log, first_id=1)
        self.coordinator.configure(make_configuration(), START)

    def learn_snapshots(self, *available: Snapshot) -> None:
        """Runs one search, so that the coordinator records the snapshots of all shards."""
        first = sends(self.coordinator.start(make_search("first"), START))[0]
        self.answer(first, *(make_reply(shard, OLD, *available) for shard in SHARDS))

    def answer(
        self, sent: SendGroupSearch, *replies: ShardReply, now: float = START
    ) -> list[SearchAction]:
        reply = GroupReply(sent.message.search_id, replies)
        return self.coordinator.on_group_reply(sent.node, reply, now)

    def wait_until(self, end: float) -> list[SearchAction]:
        """Calls `tick` at each due time up to `end` and returns the actions."""
        actions: list[SearchAction] = []
        while True:
            due = self.coordinator.next_due()
            if due is None or due > end:
                return actions
            actions += self.coordinator.tick(due)

    def start(self, request: SearchRequest | None = None) -> list[SendGroupSearch]:
        return sends(self.coordinator.start(request or make_search(), START))

    def test_queries_each_home_once_and_merges_all_shards(self) -> None:
        self.learn_snapshots(OLD)
        self.homes.of_instance[InstanceName("l1")] = (HOME_B,)
        groups = self.start()
        self.assertEqual([group.node for group in groups], [HOME_A, HOME_B])
        self.assertEqual(groups[0].message.snapshot, OLD)
        self.assertLess(groups[0].message.time_left, 0.06)
        self.assertEqual(self.answer(groups[1], make_reply("l1", score=9.0)), [])
        found = self.answer(groups[0], *(make_reply(shard) for shard in SHARDS[:3]))
        answer = answers(found)[0]
        self.assertEqual(answer.covered, SHARDS)
        self.assertEqual([hit.shard for hit in answer.hits], ["l1", "d0", "d1", "l0"])
        self.assertEqual((answer.snapshot, answer.complete, answer.lacking), (OLD, True, ()))
        self.assertEqual((self.coordinator.in_flight(), self.coordinator.next_due()), (0, None))

    def test_deadline_answers_with_every_missing_shard_and_cancels(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start(make_search(min_coverage=1.0))[0]
        self.answer(
            group, make_reply("d0"), ShardReply(ShardId("l0"), reason=MissingReason.OVERLOAD)
        )
        actions = self.wait_until(1_000.0595)
        answer = answers(actions)[0]
        self.assertEqual(answer.covered, ("d0",))
        expected = [
            ("d1", MissingReason.DEADLINE),
            ("l0", MissingReason.OVERLOAD),
            ("l1", MissingReason.DEADLINE),
        ]
        self.assertEqual([(each.shard, each.reason) for each in answer.lacking], expected)
        self.assertFalse(answer.complete)
        self.assertEqual([type(action) for action in actions], [SendCancelSearch, DeliverAnswer])
        self.assertEqual(self.answer(group, make_reply("d1")), [])

    def test_misrouted_duplicate_and_unexpected_replies_are_dropped(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        other = self.start(make_search("other"))[0]
        replies = tuple(make_reply(shard, score=5.0) for shard in SHARDS)
        wrong_node = GroupReply(group.message.search_id, replies)
        self.assertEqual(self.coordinator.on_group_reply(HOME_B, wrong_node, START), [])
        self.answer(group, make_reply("d0", score=1.0), make_reply("d0", score=2.0))
        self.answer(group, make_reply("elsewhere"))
        self.assertEqual(answers(self.answer(other, *replies))[0].request_id, "other")
        rest = (make_reply(shard) for shard in SHARDS[1:])
        answer = answers(self.answer(group, *rest))[0]
        self.assertEqual([hit.score for hit in answer.hits], [1.0] * 4)

    def test_reply_from_another_snapshot_is_not_merged(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        rest = (make_reply(shard) for shard in SHARDS[1:])
        answer = answers(self.answer(group, make_reply("d0", NEW), *rest, now=START + 0.05))[0]
        self.assertEqual(answer.lacking, (MissingShard(ShardId("d0"), MissingReason.SNAPSHOT),))
        self.assertNotIn("d0-hit", [hit.id for hit in answer.hits])

    def test_first_search_pins_one_snapshot_and_queries_the_other_shards_again(self) -> None:
        group = self.start()[0]
        self.assertIsNone(group.message.snapshot)
        replies = [make_reply(shard, OLD, OLD, NEW) for shard in SHARDS[:3]]
        actions = self.answer(group, *replies, make_reply("l1", NEW, OLD, NEW))
        again = sends(actions)[0].message
        self.assertEqual(
            (again.snapshot, [t.shard for t in again.targets]), (NEW, ["d0", "d1", "l0"])
        )
        answer = answers(
            self.answer(sends(actions)[0], *(make_reply(shard, NEW) for shard in SHARDS[:3]))
        )[0]
        self.assertEqual((answer.snapshot, answer.covered), (NEW, SHARDS))

    def test_pins_the_most_common_snapshot_when_too_late_to_query_again(self) -> None:
        group = self.start()[0]
        late = START + 0.058
        replies = [make_reply(shard, OLD, OLD, NEW) for shard in SHARDS[:3]]
        actions = self.answer(group, *replies, make_reply("l1", NEW, OLD, NEW), now=late)
        answer = answers(actions)[0]
        self.assertEqual((answer.snapshot, answer.covered), (OLD, SHARDS[:3]))

    def test_reruns_once_at_the_newer_snapshot(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        stale = [
            ShardReply(ShardId(shard), reason=MissingReason.SNAPSHOT, available=(NEW,))
            for shard in SHARDS
        ]
        actions = self.answer(group, *stale)
        rerun = sends(actions)[0]
        self.assertEqual((rerun.message.snapshot, len(rerun.message.targets)), (NEW, 4))
        self.assertEqual(self.answer(group, make_reply("d0")), [])
        again = [
            ShardReply(ShardId(shard), reason=MissingReason.SNAPSHOT, available=(Snapshot(1, 9),))
            for shard in SHARDS
        ]
        answer = answers(self.answer(rerun, *again))[0]
        self.assertEqual({each.reason for each in answer.lacking}, {MissingReason.SNAPSHOT})

    def test_first_attempt_is_returned_when_the_rerun_covers_less(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        self.answer(group, make_reply("d0", OLD, OLD, NEW), make_reply("d1", OLD, OLD, NEW))
        stale = [
            ShardReply(ShardId(shard), reason=MissingReason.SNAPSHOT, available=(NEW,))
            for shard in ("l0", "l1")
        ]
        rerun = sends(self.answer(group, *stale))[0]
        self.answer(rerun, make_reply("d0", NEW))
        answer = answers(self.coordinator.tick(1_000.06))[0]
        self.assertEqual((answer.snapshot, answer.covered), (OLD, ("d0", "d1")))
        self.assertEqual(len(answer.lacking), 2)

    def test_lost_home_is_replaced_by_the_next_then_reported_missing(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        self.answer(group, make_reply("d0"))
        actions = self.coordinator.on_node_lost(HOME_A, START + 0.01)
        second = sends(actions)[0]
        self.assertEqual(second.node, HOME_B)
        self.assertEqual([t.shard for t in second.message.targets], ["d1", "l0", "l1"])
        self.assertLess(second.message.time_left, group.message.time_left)
        answer = answers(self.coordinator.on_node_lost(HOME_B, START + 0.02))[0]
        self.assertEqual({each.reason for each in answer.lacking}, {MissingReason.HOME_UNREACHABLE})
        self.assertEqual(answer.covered, ("d0",))

    def test_unresponsive_home_is_hedged_and_the_first_reply_that_covers_counts(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        second = sends(self.wait_until(1_000.03))[0]
        self.assertEqual((second.node, len(second.message.targets)), (HOME_B, 4))
        lacking = [ShardReply(ShardId(shard), reason=MissingReason.OVERLOAD) for shard in SHARDS]
        self.assertEqual(self.answer(second, *lacking, now=1_000.04), [])
        self.answer(group, make_reply("d0", score=1.0), lacking[1], now=1_000.05)
        answer = answers(self.wait_until(1_000.06))[0]
        self.assertEqual(answer.covered, ("d0",))
        reasons = [each.reason for each in answer.lacking]
        self.assertEqual(
            reasons, [MissingReason.OVERLOAD, MissingReason.DEADLINE, MissingReason.DEADLINE]
        )

    def test_pause_of_the_entry_does_not_count_as_a_timeout_of_its_homes(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start(make_search(deadline=START + 1.0))[0]
        self.assertEqual(self.coordinator.tick(START + 0.5), [])
        self.answer(group, make_reply("d0"), now=START + 0.501)
        self.assertEqual(sends(self.wait_until(START + 0.9)), [])
        self.start(make_search("second", START + 2.0))
        self.coordinator.tick(START + 1.5)
        self.assertEqual(len(sends(self.wait_until(START + 1.9))), 1)

    def test_hedges_stay_within_their_budget_and_an_unresponsive_home_is_avoided(self) -> None:
        self.learn_snapshots(OLD)
        sent_to_home_a = 0
        for number in range(60):
            now = START + 0.02 * number
            group = sends(self.coordinator.start(make_search(f"s{number}", now + 0.06), now))[0]
            sent_to_home_a += group.node == HOME_A
            sent_groups = [group, *sends(self.wait_until(now + 0.019))]
            for action in sent_groups:
                if action.node == HOME_B:
                    replies = (make_reply(shard) for shard in SHARDS)
                    self.answer(action, *replies, now=now + 0.019)
        # Home A is avoided for 1 s after 3 timeouts in a row; the searches above take 1.2 s.
        self.assertTrue(3 <= sent_to_home_a <= 5, sent_to_home_a)
        unanswered = self.coordinator.in_flight()
        self.assertEqual(unanswered, 0)
        self.homes.homes = (NodeId("home-c"), HOME_A)
        sent_groups = []
        for number in range(100):
            now = START + 2 + 0.001 * number
            sent_groups += sends(self.coordinator.start(make_search(f"t{number}", now + 0.06), now))
            sent_groups += sends(self.wait_until(now))
        second = [action for action in sent_groups if action.node == HOME_A]
        # The full budget of 20, 0.03 earned for each of 4 shards in 100 searches, and one hedged
        # request for 4 shards that overdraws the budget.
        self.assertTrue(0 < 4 * len(second) <= 20 + 0.03 * 4 * 100 + 4, len(second))

    def test_time_left_of_a_home_excludes_the_network_round_trip(self) -> None:
        self.learn_snapshots(OLD)
        for number in range(20):
            group = self.start(make_search(f"far-{number}"))[0]
            replies = tuple(make_reply(shard) for shard in SHARDS)
            reply = GroupReply(group.message.search_id, replies, 0.005)
            self.coordinator.on_group_reply(HOME_A, reply, START + 0.045)
        time_left = self.start()[0].message.time_left
        self.assertTrue(0.005 < time_left < 0.03, time_left)

    def test_early_answer_needs_the_minimum_coverage(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start(make_search(min_coverage=0.5, early_at=START + 0.02))[0]
        self.answer(group, make_reply("d0"))
        self.assertEqual(self.coordinator.tick(START + 0.02), [])
        actions = self.answer(group, make_reply("d1"), now=START + 0.03)
        answer = answers(actions)[0]
        self.assertEqual((answer.coverage, answer.complete), (0.5, True))

    def test_cancelled_search_cancels_its_groups(self) -> None:
        self.learn_snapshots(OLD)
        group = self.start()[0]
        actions = self.coordinator.cancel(RequestId("search-1"), START)
        self.assertEqual([type(action) for action in actions], [SendCancelSearch])
        self.assertEqual(self.answer(group, make_reply("d0")), [])
        self.assertEqual(self.coordinator.in_flight(), 0)

    def test_search_without_homes_or_shards_is_answered_at_once(self) -> None:
        self.homes.homes = ()
        answer = answers(self.coordinator.start(make_search(), START))[0]
        self.assertEqual(len(answer.lacking), 4)
        self.coordinator.configure(make_configuration(0, 0), START)
        self.assertTrue(answers(self.coordinator.start(make_search(), START))[0].complete)
