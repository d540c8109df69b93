"""Search state machine of a home node: one sub-search for each shard, replies in batches."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.observe import LogSink
from sequoiapulley.search.actions import (
    CancelSubSearch,
    HomeAction,
    SendGroupReply,
    SubmitSubSearch,
)
from sequoiapulley.search.hit_merge import prune_hits
from sequoiapulley.search.log_events import GROUP_REFUSED
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupReply,
    GroupSearch,
    MissingReason,
    ShardReply,
    ShardTarget,
)
from sequoiapulley.upstream.messages import SubSearch

MAX_SUB_SEARCHES: Final = 65_536
BATCH_DELAY_S: Final = 0.001
"""Time that a shard reply waits for others, to be sent in one batch."""
SUB_MARGIN_S: Final = 0.001
"""Time by which a sub-search ends before the deadline of its group search."""


class _HomeGroup(Struct):
    """A group search in flight for an entry node."""

    sender: NodeId
    search_id: int
    received_at: float
    deadline: float
    limit: int
    subs: dict[int, ShardTarget]
    """Shards of the sub-searches in flight, by sub-search id."""
    ready: list[ShardReply] = []
    """Shard replies not yet sent."""


_GroupKey = tuple[NodeId, int]


class HomeService:
    """Serves the group searches that entry nodes send to this node.

    The service performs no I/O: its methods return the actions to carry out.
    """

    def __init__(self, log: LogSink) -> None:
        """Initialise without group searches.

        Args:
            log: Receives the log events.
        """
        self._log = log
        self._ids = count(1)
        self._groups: dict[_GroupKey, _HomeGroup] = {}
        self._group_by_sub_id: dict[int, _HomeGroup] = {}
        self._timers: list[tuple[float, _GroupKey]] = []

    def on_group_search(self, sender: NodeId, message: GroupSearch, now: float) -> list[HomeAction]:
        """Submits one sub-search for each shard.

        Args:
            sender: The entry node that sent the group search.
            message: The group search. It is ignored if it is already in flight.
            now: Clock reading in seconds.

        Returns:
            The sub-searches to submit, or a reply that refuses all shards.
        """
        key = (sender, message.search_id)
        if key in self._groups:
            return []
        if len(self._group_by_sub_id) + len(message.targets) > MAX_SUB_SEARCHES:
            self._log.log(GROUP_REFUSED, sender=sender, shards=len(message.targets))
            return [_refuse(sender, message, MissingReason.OVERLOAD)]
        if message.time_left <= SUB_MARGIN_S:
            return [_refuse(sender, message, MissingReason.DEADLINE)]
        deadline = now + message.time_left
        group = _HomeGroup(sender, message.search_id, now, deadline, message.limit, {})
        self._groups[key] = group
        heappush(self._timers, (deadline, key))
        return [self._submit(group, message, target) for target in message.targets]

    def on_sub_finished(self, sub_id: int, reply: ShardReply, now: float) -> list[HomeAction]:
        """Records the reply of a sub-search.

        Args:
            sub_id: Id of the sub-search; an unknown one is ignored.
            reply: The reply of its shard.
            now: Clock reading in seconds.

        Returns:
            The batch to send if this was the last shard of the group search.
        """
        group = self._group_by_sub_id.pop(sub_id, None)
        if group is None:
            return []
        target = group.subs.pop(sub_id)
        if reply.shard != target.shard:
            reply = ShardReply(target.shard, reason=MissingReason.TRUNCATED)
        if not group.ready:
            heappush(self._timers, (now + BATCH_DELAY_S, (group.sender, group.search_id)))
        group.ready.append(reply)
        return [] if group.subs else self._flush(group, now)

    def on_cancel(self, sender: NodeId, message: CancelSearch, now: float) -> list[HomeAction]:
        """Cancels the sub-searches of a group search that are still in flight."""
        group = self._groups.get((sender, message.search_id))
        return [] if group is None else self._remove(group)

    def on_node_lost(self, node: NodeId, now: float) -> list[HomeAction]:
        """Cancels every group search of a lost entry node."""
        actions: list[HomeAction] = []
        for group in [group for group in self._groups.values() if group.sender == node]:
            actions += self._remove(group)
        return actions

    def tick(self, now: float) -> list[HomeAction]:
        """Sends the batches that are due and ends the group searches whose deadline has passed."""
        actions: list[HomeAction] = []
        while self._timers and self._timers[0][0] <= now:
            group = self._groups.get(heappop(self._timers)[1])
            if group is None:
                continue
            if now >= group.deadline:
                actions += self._expire(group, now)
                continue
            actions += self._flush(group, now)
        return actions

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` must be called next, or None."""
        while self._timers and self._timers[0][1] not in self._groups:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def in_flight(self) -> int:
        """Returns the number of sub-searches without a reply."""
        return len(self._group_by_sub_id)

    def _submit(self, group: _HomeGroup, message: GroupSearch, target: ShardTarget) -> HomeAction:
        sub_id = next(self._ids)
        group.subs[sub_id] = target
        self._group_by_sub_id[sub_id] = group
        sub = SubSearch(
            sub_id=sub_id,
            target=target,
            caller=message.caller,
            query=message.query,
            limit=message.limit,
            fingerprint=message.fingerprint,
            snapshot=message.snapshot,
            deadline=group.deadline - SUB_MARGIN_S,
        )
        return SubmitSubSearch(sub)

    def _flush(self, group: _HomeGroup, now: float) -> list[HomeAction]:
        if not group.subs:
            del self._groups[(group.sender, group.search_id)]
        if not group.ready:
            return []
        replies = prune_hits(group.ready, group.limit)
        group.ready = []
        reply = GroupReply(group.search_id, tuple(replies), now - group.received_at)
        return [SendGroupReply(group.sender, reply)]

    def _expire(self, group: _HomeGroup, now: float) -> list[HomeAction]:
        unfinished = list(group.subs.values())
        actions = self._remove(group)
        replies = [ShardReply(target.shard, reason=MissingReason.DEADLINE) for target in unfinished]
        reply = GroupReply(group.search_id, tuple(group.ready + replies), now - group.received_at)
        return [*actions, SendGroupReply(group.sender, reply)]

    def _remove(self, group: _HomeGroup) -> list[HomeAction]:
        del self._groups[(group.sender, group.search_id)]
        actions: list[HomeAction] = []
        for sub_id in group.subs:
            del self._group_by_sub_id[sub_id]
            actions.append(CancelSubSearch(sub_id))
        return actions


def _refuse(sender: NodeId, message: GroupSearch, reason: MissingReason) -> HomeAction:
    replies = tuple(ShardReply(target.shard, reason=reason) for target in message.targets)
    return SendGroupReply(sender, GroupReply(message.search_id, replies))
