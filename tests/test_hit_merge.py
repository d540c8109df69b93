"""Property tests of merging and pruning hits."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sequoiapulley.ids import ShardId
from sequoiapulley.search.hit_merge import PRUNE_MIN_LIMITS, hit_rank, merge_hits, prune_hits
from sequoiapulley.search.messages import Hit, ShardReply
from tests.search_fixtures import NEW, OLD

HITS = st.builds(
    Hit,
    id=st.sampled_from(["a", "b", "c"]),
    score=st.integers(min_value=0, max_value=3).map(float),
    shard=st.sampled_from(["s", "t"]).map(ShardId),
)
BATCHES = st.lists(st.lists(HITS, max_size=5).map(tuple), max_size=6)
LIMITS = st.integers(min_value=0, max_value=5)


class HitMergeTest(TestCase):
    """The result depends neither on the order of the batches nor on pruning."""

    @given(BATCHES, LIMITS, st.randoms())
    def test_order_of_arrival_does_not_matter(
        self, batches: list[tuple[Hit, ...]], limit: int, random: st.DataObject
    ) -> None:
        expected = sorted((hit for batch in batches for hit in batch), key=hit_rank)[:limit]
        random.shuffle(batches)  # type: ignore[attr-defined]
        self.assertEqual(list(merge_hits(batches, limit)), expected)

    @given(BATCHES, LIMITS, st.integers(min_value=0, max_value=6))
    def test_pruned_batches_merge_to_the_same_answer(
        self, batches: list[tuple[Hit, ...]], limit: int, split: int
    ) -> None:
        replies = [
            ShardReply(ShardId(f"s{number}"), NEW if number % 3 else OLD, hits)
            for number, hits in enumerate(batches)
        ]
        pruned = prune_hits(replies[:split], limit) + prune_hits(replies[split:], limit)
        for snapshot in (OLD, NEW):
            whole = [reply.hits for reply in replies if reply.snapshot == snapshot]
            less = [reply.hits for reply in pruned if reply.snapshot == snapshot]
            self.assertEqual(merge_hits(less, limit), merge_hits(whole, limit))
            large = sum(len(reply.hits) for reply in replies) >= PRUNE_MIN_LIMITS * limit
            if limit and large and split >= len(replies):
                ranks = sorted(hit_rank(hit) for hits in less for hit in hits)
                self.assertTrue(all(rank == ranks[limit - 1] for rank in ranks[limit:]))
        self.assertEqual([reply.shard for reply in pruned], [reply.shard for reply in replies])
