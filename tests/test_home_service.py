"""Tests of the search state machine of a home node."""

from __future__ import annotations

from unittest import TestCase

from sequoiapulley.ids import CallerId, Fingerprint, InstanceName, NodeId, ShardId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.actions import (
    CancelSubSearch,
    HomeAction,
    SendGroupReply,
    SubmitSubSearch,
)
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupSearch,
    MissingReason,
    ShardReply,
    ShardTarget,
)
from tests.search_fixtures import CTX, OLD, make_reply

ENTRY = NodeId("entry")
START = 1_000.0


def make_group(search_id: int = 1, time_left: float = 0.05) -> GroupSearch:
    targets = tuple(ShardTarget(ShardId(s), CTX, InstanceName(s)) for s in ("d0", "d1"))
    caller = CallerId("caller")
    return GroupSearch(search_id, caller, "q", 10, Fingerprint("f"), OLD, time_left, targets)


def replies(actions: list[HomeAction]) -> list[ShardReply]:
    found: list[ShardReply] = []
    for action in actions:
        if isinstance(action, SendGroupReply):
            found += action.message.replies
    return found


class HomeServiceTest(TestCase):
    """Every shard of a group search gets one reply before the deadline."""

    def setUp(self) -> None:
        self.home = HomeService(MemoryLog())

    def submit(self, search_id: int = 1) -> list[int]:
        actions = self.home.on_group_search(ENTRY, make_group(search_id), START)
        return [action.sub.sub_id for action in actions if isinstance(action, SubmitSubSearch)]

    def test_submits_within_the_time_left_and_replies_in_one_batch(self) -> None:
        actions = self.home.on_group_search(ENTRY, make_group(), START)
        subs = [action.sub for action in actions if isinstance(action, SubmitSubSearch)]
        self.assertTrue(all(sub.deadline < START + 0.05 for sub in subs))
        self.assertEqual(self.home.on_sub_finished(subs[0].sub_id, make_reply("d0"), START), [])
        done = self.home.on_sub_finished(subs[1].sub_id, make_reply("d1"), START)
        self.assertEqual(replies(done), [make_reply("d0"), make_reply("d1")])
        self.assertEqual((self.home.in_flight(), self.home.next_due()), (0, None))

    def test_sends_ready_replies_without_waiting_for_slow_shards(self) -> None:
        first, second = self.submit()
        self.home.on_sub_finished(first, make_reply("d0"), START)
        due = self.home.next_due()
        assert due is not None
        self.assertLess(due, START + 0.01)
        self.assertEqual(replies(self.home.tick(due)), [make_reply("d0")])
        done = self.home.on_sub_finished(second, make_reply("d1"), START + 0.02)
        self.assertEqual(replies(done), [make_reply("d1")])

    def test_deadline_reports_and_cancels_unfinished_shards(self) -> None:
        first, second = self.submit()
        self.home.on_sub_finished(first, make_reply("d0"), START + 0.0495)
        actions = self.home.tick(START + 0.05)
        late = ShardReply(ShardId("d1"), reason=MissingReason.DEADLINE)
        self.assertEqual(replies(actions), [make_reply("d0"), late])
        self.assertIn(CancelSubSearch(second), actions)
        self.assertEqual(self.home.on_sub_finished(second, make_reply("d1"), START + 0.06), [])

    def test_reply_for_another_shard_counts_as_missing(self) -> None:
        first, second = self.submit()
        self.home.on_sub_finished(first, make_reply("d1"), START)
        done = self.home.on_sub_finished(second, make_reply("d1"), START)
        self.assertEqual(
            replies(done)[0], ShardReply(ShardId("d0"), reason=MissingReason.TRUNCATED)
        )

    def test_cancel_and_lost_entry_cancel_all_sub_searches(self) -> None:
        first = self.submit(1)
        actions = self.home.on_cancel(ENTRY, CancelSearch(1), START)
        self.assertEqual(actions, [CancelSubSearch(sub_id) for sub_id in first])
        second = self.submit(2)
        self.assertEqual(self.home.on_cancel(NodeId("stranger"), CancelSearch(2), START), [])
        actions = self.home.on_node_lost(ENTRY, START)
        self.assertEqual(actions, [CancelSubSearch(sub_id) for sub_id in second])
        self.assertEqual(self.home.in_flight(), 0)

    def test_repeated_and_expired_groups_submit_nothing(self) -> None:
        self.submit()
        self.assertEqual(self.submit(), [])
        actions = self.home.on_group_search(ENTRY, make_group(2, 0.0), START)
        self.assertEqual({reply.reason for reply in replies(actions)}, {MissingReason.DEADLINE})
