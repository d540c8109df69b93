"""The state of one search in flight and of its group searches."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.ids import NodeId, RequestId, ShardId
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.gather import Gather
from sequoiapulley.search.messages import SearchRequest, ShardReply, ShardTarget
from sequoiapulley.search.search_plan import SearchPlan

ANSWER_MARGIN_S: Final = 0.001
PIN_TIME_SHARE: Final = 0.3
SHARE_TOLERANCE: Final = 1e-6


class GroupState(Struct):
    """One group search in flight."""

    request_id: RequestId
    node: NodeId
    snapshot: Snapshot | None
    sent_at: float
    hedge_at: float
    """Clock reading from which silence makes another home be asked as well."""
    waiting: dict[ShardId, ShardTarget]
    replied: bool = False
    hedged: bool = False


class SearchState(Struct):
    """One search in flight."""

    request: SearchRequest
    plan: SearchPlan
    started: float
    gather: Gather
    groups: dict[int, GroupState] = {}
    tried: dict[ShardId, set[NodeId]] = {}
    """Nodes that were lost or silent while a shard waited for them."""
    second_asks: dict[ShardId, int] = {}
    """Further groups that wait for a shard, beside the first."""
    hedge_times: set[float] = set()
    """Clock readings at which silent homes are looked for."""
    earlier: Gather | None = None
    """The first attempt, after a rerun."""

    @property
    def answer_at(self) -> float:
        """Clock reading at which the answer is sent at the latest."""
        return self.request.deadline - ANSWER_MARGIN_S

    @property
    def pin_at(self) -> float:
        """Clock reading at which the snapshot is pinned with the replies there are."""
        request = self.request
        pin_at = self.started + PIN_TIME_SHARE * (request.deadline - self.started)
        return pin_at if request.early_at is None else min(pin_at, request.early_at)

    def is_due(self, now: float) -> bool:
        """Returns whether the answer is to be sent now."""
        gather = self.gather
        if gather.is_settled or now >= self.answer_at:
            return True
        early_at = self.request.early_at
        if early_at is None or now < early_at:
            return False
        return bool(gather.covered) and is_enough(gather, self.request)

    def take(self, reply: ShardReply) -> None:
        """Files the reply of one group for a shard.

        The first reply that covers a shard counts. One that does not is set aside while another
        group still waits for the shard.
        """
        gather = self.gather
        if not gather.is_open(reply.shard):
            return
        others = self.second_asks.get(reply.shard, 0)
        if others and not gather.accepts(reply):
            self.second_asks[reply.shard] = others - 1
            return
        gather.take(reply)

    def give_up(self, group: GroupState) -> tuple[ShardTarget, ...]:
        """Marks a group's node as tried.

        Returns:
            The shards that no other group waits for.
        """
        alone: list[ShardTarget] = []
        for shard, target in group.waiting.items():
            self.tried.setdefault(shard, set()).add(group.node)
            if not self.gather.is_open(shard):
                continue
            others = self.second_asks.get(shard, 0)
            if others:
                self.second_asks[shard] = others - 1
                continue
            alone.append(target)
        return tuple(alone)

    def best_gather(self) -> Gather:
        """Returns the attempt that covers more; the newer one if they cover the same."""
        earlier = self.earlier
        if earlier is not None and len(earlier.covered) > len(self.gather.covered):
            return earlier
        return self.gather


def is_enough(gather: Gather, request: SearchRequest) -> bool:
    """Returns whether an attempt covers the share of shards that the caller asked for."""
    return len(gather.covered) >= request.min_coverage * gather.total - SHARE_TOLERANCE
