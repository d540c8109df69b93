"""Search state machine of the entry node: scatters to homes, gathers one snapshot, answers once."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from secrets import randbits
from typing import Final

from sequoiapulley.ids import NodeId, RequestId, ServiceName, ShardId
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.search.actions import (
    DeliverAnswer,
    SearchAction,
    SendCancelSearch,
    SendGroupSearch,
)
from sequoiapulley.search.answers import make_answer, make_refused_answer
from sequoiapulley.search.gather import Gather
from sequoiapulley.search.hedge_budget import HedgeBudget
from sequoiapulley.search.home_health import HEDGE_DELAY_STEP_S, HomeHealth
from sequoiapulley.search.home_resolver import HomeResolver
from sequoiapulley.search.home_selector import HomeSelector
from sequoiapulley.search.log_events import (
    HOME_LOST,
    HOME_SILENT,
    REPLY_CROSSED,
    SEARCH_REFUSED,
    SEARCH_RERUN,
    SEARCH_UNKNOWN_SERVICE,
)
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupReply,
    GroupSearch,
    MissingReason,
    SearchRequest,
    ShardTarget,
)
from sequoiapulley.search.search_plan import SearchPlan, plan_all
from sequoiapulley.search.search_state import GroupState, SearchState
from sequoiapulley.search.snapshot_policy import choose_pin, choose_rerun
from sequoiapulley.search.snapshot_tracker import SnapshotTracker

MAX_SEARCHES: Final = 4096
MIN_GROUP_TIME_S: Final = 0.004
"""Minimum time left to send a group search."""
MAX_TICK_DELAY_S: Final = 0.010
"""Maximum lateness of a tick; beyond it, the process is assumed to have been paused."""
ID_RANDOM_BITS: Final = 31
ID_COUNTER_BITS: Final = 32


class SearchCoordinator:
    """Coordinates the searches that callers send to this node.

    The coordinator performs no I/O: its methods return the actions to carry out.
    """

    def __init__(self, homes: HomeResolver, log: LogSink, first_id: int | None = None) -> None:
        """Initialise without a configuration.

        Args:
            homes: Ranks the home nodes of an instance.
            log: Receives the log events.
            first_id: Id of the first group search. It is random by default, so that a late reply
                to an earlier incarnation of this node matches no group search.
        """
        self._log = log
        self._ids = count(first_id or (randbits(ID_RANDOM_BITS) << ID_COUNTER_BITS))
        self._plans: dict[ServiceName, SearchPlan] = {}
        self._snapshots = SnapshotTracker()
        self._health = HomeHealth()
        self._home_selector = HomeSelector(homes, self._health)
        self._budget = HedgeBudget()
        self._searches: dict[RequestId, SearchState] = {}
        self._groups: dict[int, GroupState] = {}
        self._timers: list[tuple[float, RequestId]] = []

    def configure(self, configuration: Configuration, now: float) -> None:
        """Applies a new configuration; searches in flight keep the plan they started with.

        Args:
            configuration: The active configuration.
            now: Clock reading in seconds.
        """
        self._plans = plan_all(configuration)
        self._snapshots.retain(
            {
                name: frozenset(target.shard for target in plan.targets)
                for name, plan in self._plans.items()
            }
        )

    def start(self, request: SearchRequest, now: float) -> list[SearchAction]:
        """Starts a search.

        Args:
            request: The search. Its id must differ from those of the searches in flight.
            now: Clock reading in seconds.

        Returns:
            The messages to the home nodes, or the answer if no reply is pending.

        Raises:
            ValueError: If a search with the same id is in flight.
        """
        if request.request_id in self._searches:
            raise ValueError(f"search {request.request_id!r} is already in flight")
        plan = self._plans.get(request.service)
        if plan is None:
            self._log.log(SEARCH_UNKNOWN_SERVICE, service=request.service)
            return [DeliverAnswer(make_refused_answer(request))]
        if len(self._searches) >= MAX_SEARCHES:
            self._log.log(SEARCH_REFUSED, service=request.service, in_flight=MAX_SEARCHES)
            return [DeliverAnswer(make_refused_answer(request, plan))]
        snapshot = self._snapshots.choose(request.service, now)
        search = SearchState(request, plan, now, Gather(plan.targets, snapshot))
        self._searches[request.request_id] = search
        self._set_timers(search)
        self._budget.earn(len(plan.targets))
        actions = self._query(search, plan.targets, now)
        actions += self._advance(search, now)
        return actions

    def on_group_reply(self, node: NodeId, reply: GroupReply, now: float) -> list[SearchAction]:
        """Processes a batch of shard replies.

        Drops a batch for an unknown group search or from a node other than the one that the
        group search was sent to, and replies for shards that are not pending.

        Args:
            node: The node that sent the batch.
            reply: The batch of replies.
            now: Clock reading in seconds.

        Returns:
            Further messages, and the answer if this batch completes the search.
        """
        group = self._groups.get(reply.search_id)
        if group is None:
            return []
        if group.node != node:
            self._log.log(REPLY_CROSSED, sender=node, asked=group.node)
            return []
        self._health.on_batch(node, now - group.sent_at, reply.elapsed, not group.replied)
        group.replied = True
        search = self._searches[group.request_id]
        service = search.request.service
        for shard_reply in reply.replies:
            if group.pending.pop(shard_reply.shard, None) is None:
                continue
            self._snapshots.record_reply(service, shard_reply, group.snapshot, now)
            search.record(shard_reply)
        if not group.pending:
            self._remove_group(search, reply.search_id)
        return self._advance(search, now)

    def on_node_lost(self, node: NodeId, now: float) -> list[SearchAction]:
        """Queries the next home for every shard that is pending at a lost node.

        Args:
            node: The node that became unreachable.
            now: Clock reading in seconds.

        Returns:
            Further messages and answers.
        """
        lost = [search_id for search_id, group in self._groups.items() if group.node == node]
        if not lost:
            return []
        self._log.log(HOME_LOST, node=node, groups=len(lost))
        actions: list[SearchAction] = []
        for search_id in lost:
            group = self._groups.get(search_id)
            if group is None:
                continue
            search = self._searches[group.request_id]
            self._remove_group(search, search_id)
            actions += self._query(search, search.abandon_group(group), now)
            actions += self._advance(search, now)
        return actions

    def cancel(self, request_id: RequestId, now: float) -> list[SearchAction]:
        """Cancels a search because its caller disconnected."""
        search = self._searches.get(request_id)
        return [] if search is None else self._close(search)

    def tick(self, now: float) -> list[SearchAction]:
        """Answers the searches that are due and hedges the group searches without a reply."""
        actions: list[SearchAction] = []
        while self._timers and self._timers[0][0] <= now:
            due, request_id = heappop(self._timers)
            search = self._searches.get(request_id)
            if search is None:
                continue
            if now - due <= MAX_TICK_DELAY_S:
                actions += self._hedge(search, now)
            elif search.answer_at > now:
                # This process was paused, so replies may be waiting unread in the socket, and homes
                # must not count as timed out. They are checked again at a later tick.
                heappush(self._timers, (now + HEDGE_DELAY_STEP_S, request_id))
            actions += self._advance(search, now)
        return actions

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` must be called next, or None."""
        while self._timers and self._timers[0][1] not in self._searches:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def in_flight(self) -> int:
        """Returns the number of searches without an answer."""
        return len(self._searches)

    def _set_timers(self, search: SearchState) -> None:
        request = search.request
        heappush(self._timers, (search.answer_at, request.request_id))
        if request.early_at is not None:
            heappush(self._timers, (request.early_at, request.request_id))
        if search.gather.snapshot is None:
            heappush(self._timers, (search.pin_at, request.request_id))

    def _query(
        self, search: SearchState, targets: tuple[ShardTarget, ...], now: float
    ) -> list[SearchAction]:
        """Sends shards to their homes.

        A shard without a home, or without enough time left, is marked as missing.
        """
        by_home = self._home_selector.group_by_home(search, targets, now)
        for shard in by_home.pop(None, {}):
            search.gather.mark_missing(shard, MissingReason.HOME_UNREACHABLE)
        actions: list[SearchAction] = []
        for node, group_targets in by_home.items():
            if node is not None and search.answer_at - now >= MIN_GROUP_TIME_S:
                actions.append(self._query_home(search, node, group_targets, now))
                continue
            for shard in group_targets:
                search.gather.mark_missing(shard, MissingReason.DEADLINE)
        return actions

    def _query_home(
        self,
        search: SearchState,
        node: NodeId,
        group_targets: dict[ShardId, ShardTarget],
        now: float,
    ) -> SearchAction:
        request = search.request
        time_left = search.answer_at - now
        search_id = next(self._ids)
        group = GroupState(
            request_id=request.request_id,
            node=node,
            snapshot=search.gather.snapshot,
            sent_at=now,
            hedge_at=now + self._health.hedge_delay(node),
            pending=group_targets,
        )
        search.groups[search_id] = group
        self._groups[search_id] = group
        if (
            group.hedge_at < search.answer_at - MIN_GROUP_TIME_S
            and group.hedge_at not in search.hedge_times
        ):
            search.hedge_times.add(group.hedge_at)
            heappush(self._timers, (group.hedge_at, request.request_id))
        message = GroupSearch(
            search_id=search_id,
            caller=request.caller,
            query=request.query,
            limit=request.limit,
            fingerprint=request.fingerprint,
            snapshot=group.snapshot,
            time_left=time_left - self._health.network_margin(node, time_left),
            targets=tuple(group_targets.values()),
        )
        return SendGroupSearch(node, message)

    def _hedge(self, search: SearchState, now: float) -> list[SearchAction]:
        actions: list[SearchAction] = []
        for group in list(search.groups.values()):
            if group.replied or group.timed_out or now < group.hedge_at:
                continue
            group.timed_out = True
            self._health.on_timeout(group.node, now)
            actions += self._hedge_group(search, group, now)
        return actions

    def _hedge_group(
        self, search: SearchState, group: GroupState, now: float
    ) -> list[SearchAction]:
        pending = [t for shard, t in group.pending.items() if search.gather.is_pending(shard)]
        for target in pending:
            search.tried_nodes.setdefault(target.shard, set()).add(group.node)
        actions: list[SearchAction] = []
        for node, group_targets in self._home_selector.group_by_home(search, pending, now).items():
            if node is None or search.answer_at - now < MIN_GROUP_TIME_S:
                continue
            if not self._budget.try_spend(len(group_targets)):
                continue
            self._log.log(HOME_SILENT, home=group.node, second=node, shards=len(group_targets))
            for shard in group_targets:
                search.hedge_counts[shard] = search.hedge_counts.get(shard, 0) + 1
            actions.append(self._query_home(search, node, group_targets, now))
        return actions

    def _advance(self, search: SearchState, now: float) -> list[SearchAction]:
        actions = self._pin(search, now)
        actions += self._rerun(search, now)
        if search.is_due(now):
            actions += self._close(search)
            actions.append(DeliverAnswer(make_answer(search, now)))
        return actions

    def _pin(self, search: SearchState, now: float) -> list[SearchAction]:
        snapshot = choose_pin(search, self._snapshots, now)
        if snapshot is None:
            return []
        reopened = set(search.gather.pin(snapshot))
        targets = tuple(target for target in search.plan.targets if target.shard in reopened)
        return self._query(search, targets, now)

    def _rerun(self, search: SearchState, now: float) -> list[SearchAction]:
        snapshot = choose_rerun(search, self._snapshots, now)
        if snapshot is None:
            return []
        gather = search.gather
        self._log.log(
            SEARCH_RERUN, service=search.request.service, pinned=gather.snapshot, newer=snapshot
        )
        actions = self._cancel_groups(search)
        search.first_attempt = gather
        search.gather = Gather(gather.targets, snapshot)
        search.hedge_counts = {}
        return actions + self._query(search, gather.targets, now)

    def _close(self, search: SearchState) -> list[SearchAction]:
        del self._searches[search.request.request_id]
        return self._cancel_groups(search)

    def _cancel_groups(self, search: SearchState) -> list[SearchAction]:
        actions: list[SearchAction] = []
        for search_id, group in list(search.groups.items()):
            self._remove_group(search, search_id)
            actions.append(SendCancelSearch(group.node, CancelSearch(search_id)))
        return actions

    def _remove_group(self, search: SearchState, search_id: int) -> None:
        del search.groups[search_id]
        del self._groups[search_id]
