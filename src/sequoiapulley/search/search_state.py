"""State of a search in flight and of its group searches."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.ids import NodeId, RequestId, ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.gather import Gather
from sequoiapulley.search.messages import SearchRequest, ShardReply, ShardTarget
from sequoiapulley.search.search_plan import SearchPlan

ANSWER_MARGIN_S: Final = 0.001
"""Time by which an answer is sent before the deadline of its search."""
PIN_TIME_SHARE: Final = 0.3
"""Share of the time to the deadline after which a single buffered reply suffices to pin."""
COVERAGE_TOLERANCE: Final = 1e-6
"""Absorbs rounding errors of the minimum coverage."""


class GroupState(Struct):
    """A group search in flight."""

    request_id: RequestId
    node: NodeId
    snapshot: Snapshot | None
    sent_at: float
    hedge_at: float
    """Clock reading at which the search is hedged if the home has not replied."""
    pending: dict[ShardId, ShardTarget]
    replied: bool = False
    timed_out: bool = False
    """Whether no reply had arrived by `hedge_at`.

    A hedged request is then sent if another home is left and the hedge budget allows it.
    """


class SearchState(Struct):
    """A search in flight."""

    request: SearchRequest
    plan: SearchPlan
    started: float
    gather: Gather
    """Results of the current attempt: of the rerun if there is one."""
    groups: dict[int, GroupState] = {}
    tried_nodes: dict[ShardId, set[NodeId]] = {}
    """For each shard, the nodes that were lost or timed out while the shard was pending there."""
    hedge_counts: dict[ShardId, int] = {}
    """For each shard, the number of requests in flight beyond the first."""
    hedge_times: set[float] = set()
    """Clock readings for which a hedge timer is set."""
    first_attempt: Gather | None = None
    """Results of the first attempt if the search was rerun."""

    @property
    def answer_at(self) -> float:
        """Clock reading at which the answer is sent at the latest."""
        return self.request.deadline - ANSWER_MARGIN_S

    @property
    def pin_at(self) -> float:
        """Clock reading from which a single buffered reply suffices to pin a snapshot."""
        request = self.request
        pin_at = self.started + PIN_TIME_SHARE * (request.deadline - self.started)
        return pin_at if request.early_at is None else min(pin_at, request.early_at)

    def is_due(self, now: float) -> bool:
        """Returns whether the answer must be sent now."""
        gather = self.gather
        if gather.is_finished or now >= self.answer_at:
            return True
        early_at = self.request.early_at
        if early_at is None or now < early_at:
            return False
        return bool(gather.covered) and meets_min_coverage(gather, self.request)

    def record(self, reply: ShardReply) -> None:
        """Records the reply of a shard.

        The first reply that covers the shard is used. A reply that does not cover it is ignored
        while another request for the shard is in flight.
        """
        gather = self.gather
        if not gather.is_pending(reply.shard):
            return
        others = self.hedge_counts.get(reply.shard, 0)
        if others and not gather.accepts(reply):
            self.hedge_counts[reply.shard] = others - 1
            return
        gather.record(reply)

    def abandon_group(self, group: GroupState) -> tuple[ShardTarget, ...]:
        """Marks the node of a group search as tried for its pending shards.

        Returns:
            The shards that are pending in no other group search.
        """
        orphaned: list[ShardTarget] = []
        for shard, target in group.pending.items():
            self.tried_nodes.setdefault(shard, set()).add(group.node)
            if not self.gather.is_pending(shard):
                continue
            others = self.hedge_counts.get(shard, 0)
            if others:
                self.hedge_counts[shard] = others - 1
                continue
            orphaned.append(target)
        return tuple(orphaned)

    def best_gather(self) -> Gather:
        """Returns the attempt that covers more shards; the rerun if both cover the same number."""
        first_attempt = self.first_attempt
        if first_attempt is not None and len(first_attempt.covered) > len(self.gather.covered):
            return first_attempt
        return self.gather


def meets_min_coverage(gather: Gather, request: SearchRequest) -> bool:
    """Returns whether an attempt covers the share of shards that the caller requested."""
    return len(gather.covered) >= request.min_coverage * gather.total - COVERAGE_TOLERANCE
