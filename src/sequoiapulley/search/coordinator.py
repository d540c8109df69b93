"""The entry's decisions for searches: scatter to homes, gather at one snapshot, answer once."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from secrets import randbits
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import NodeId, RequestId, ServiceName, ShardId
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.observe import LogSink
from sequoiapulley.search.gather import Gather
from sequoiapulley.search.hit_merge import merge_hits
from sequoiapulley.search.home_resolver import HomeResolver
from sequoiapulley.search.log_events import (
    HOME_LOST,
    REPLY_CROSSED,
    SEARCH_REFUSED,
    SEARCH_RERUN,
    SEARCH_UNKNOWN_SERVICE,
)
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupReply,
    GroupSearch,
    LackReason,
    SearchAnswer,
    SearchRequest,
    ShardTarget,
)
from sequoiapulley.search.orders import FinishSearchRequest, SearchOrder, SendCancel, SendGroup
from sequoiapulley.search.search_plan import SearchPlan, plan_all
from sequoiapulley.search.snapshot_book import SnapshotBook

MAX_SEARCHES: Final = 4096
HOP_MARGIN_S: Final = 0.002
ANSWER_MARGIN_S: Final = 0.001
MIN_ASK_S: Final = 0.004
PIN_SHARE: Final = 0.5
PIN_TIME_SHARE: Final = 0.3
RERUN_LACKING_SHARE: Final = 0.05
RERUN_TIME_SHARE: Final = 0.4
SHARE_TOLERANCE: Final = 1e-6
ID_RANDOM_BITS: Final = 31
ID_COUNTER_BITS: Final = 32


class _Group(Struct):
    """One group search in flight."""

    request_id: RequestId
    node: NodeId
    snapshot: Snapshot | None
    waiting: dict[ShardId, ShardTarget]


class _Search(Struct):
    """One search in flight."""

    request: SearchRequest
    plan: SearchPlan
    started: float
    gather: Gather
    groups: dict[int, _Group] = {}
    tried: dict[ShardId, set[NodeId]] = {}
    """Nodes that were lost while a shard waited for them."""
    earlier: Gather | None = None
    """The first attempt, after a rerun."""


class SearchCoordinator:
    """Runs the searches that callers bring to this node."""

    def __init__(self, homes: HomeResolver, log: LogSink, first_id: int | None = None) -> None:
        """Initialise without a configuration.

        Args:
            homes: Ranks the homes of an instance.
            log: Where events go.
            first_id: First search id; a random one by default, so that a late reply to an
                earlier incarnation of this node matches no search.
        """
        self._homes = homes
        self._log = log
        self._ids = count(first_id or (randbits(ID_RANDOM_BITS) << ID_COUNTER_BITS))
        self._plans: dict[ServiceName, SearchPlan] = {}
        self._book = SnapshotBook()
        self._searches: dict[RequestId, _Search] = {}
        self._groups: dict[int, _Group] = {}
        self._timers: list[tuple[float, RequestId]] = []

    def configure(self, configuration: Configuration, now: float) -> None:
        """Takes a new configuration; searches in flight keep the plan they started with.

        Args:
            configuration: The configuration in force.
            now: Clock reading in seconds.
        """
        self._plans = plan_all(configuration)
        self._book.retain(
            {
                name: frozenset(target.shard for target in plan.targets)
                for name, plan in self._plans.items()
            }
        )

    def start(self, request: SearchRequest, now: float) -> list[SearchOrder]:
        """Starts a search.

        Args:
            request: The search; its id must not be in flight.
            now: Clock reading in seconds.

        Returns:
            The messages to the homes, or the answer when there is nothing to wait for.

        Raises:
            ValueError: If a search with the same id is in flight.
        """
        if request.request_id in self._searches:
            raise ValueError(f"search {request.request_id!r} is already in flight")
        plan = self._plans.get(request.service)
        if plan is None:
            self._log.log(SEARCH_UNKNOWN_SERVICE, service=request.service)
            return [FinishSearchRequest(_refusal(request))]
        if len(self._searches) >= MAX_SEARCHES:
            self._log.log(SEARCH_REFUSED, service=request.service, in_flight=MAX_SEARCHES)
            return [FinishSearchRequest(_refusal(request, plan))]
        snapshot = self._book.choose(request.service)
        search = _Search(request, plan, now, Gather(plan.targets, snapshot))
        self._searches[request.request_id] = search
        self._set_timers(search)
        orders = self._ask(search, plan.targets, now)
        orders += self._progress(search, now)
        return orders

    def on_group_reply(self, node: NodeId, reply: GroupReply, now: float) -> list[SearchOrder]:
        """Files a batch of shard replies.

        A batch for an unknown search, from another node than the one asked, or for a shard
        that is not waited for, is dropped.

        Args:
            node: The sender.
            reply: The batch.
            now: Clock reading in seconds.

        Returns:
            Further messages, and the answer if this batch decides it.
        """
        group = self._groups.get(reply.search_id)
        if group is None:
            return []
        if group.node != node:
            self._log.log(REPLY_CROSSED, sender=node, asked=group.node)
            return []
        search = self._searches[group.request_id]
        service = search.request.service
        for shard_reply in reply.replies:
            if group.waiting.pop(shard_reply.shard, None) is None:
                continue
            self._book.learn(service, shard_reply, group.snapshot)
            search.gather.take(shard_reply)
        if not group.waiting:
            self._drop_group(search, reply.search_id)
        return self._progress(search, now)

    def on_node_lost(self, node: NodeId, now: float) -> list[SearchOrder]:
        """Asks the next home for every shard that waited for a lost node.

        Args:
            node: The lost node.
            now: Clock reading in seconds.

        Returns:
            Further messages and answers.
        """
        lost = [search_id for search_id, group in self._groups.items() if group.node == node]
        if not lost:
            return []
        self._log.log(HOME_LOST, node=node, groups=len(lost))
        orders: list[SearchOrder] = []
        for search_id in lost:
            group = self._groups.get(search_id)
            if group is None:
                continue
            search = self._searches[group.request_id]
            self._drop_group(search, search_id)
            for shard in group.waiting:
                search.tried.setdefault(shard, set()).add(node)
            orders += self._ask(search, tuple(group.waiting.values()), now)
            orders += self._progress(search, now)
        return orders

    def cancel(self, request_id: RequestId, now: float) -> list[SearchOrder]:
        """Gives a search up because its caller left."""
        search = self._searches.get(request_id)
        return [] if search is None else self._close(search)

    def tick(self, now: float) -> list[SearchOrder]:
        """Answers the searches whose time has come."""
        orders: list[SearchOrder] = []
        while self._timers and self._timers[0][0] <= now:
            search = self._searches.get(heappop(self._timers)[1])
            if search is not None:
                orders += self._progress(search, now)
        return orders

    def next_due(self) -> float | None:
        """Returns the clock reading of the next tick that has work, or None."""
        while self._timers and self._timers[0][1] not in self._searches:
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def in_flight(self) -> int:
        """Returns the number of searches without an answer."""
        return len(self._searches)

    def _set_timers(self, search: _Search) -> None:
        request = search.request
        heappush(self._timers, (request.deadline - ANSWER_MARGIN_S, request.request_id))
        if request.early_at is not None:
            heappush(self._timers, (request.early_at, request.request_id))
        if search.gather.snapshot is None:
            heappush(self._timers, (_pin_time(search), request.request_id))

    def _ask(
        self, search: _Search, targets: tuple[ShardTarget, ...], now: float
    ) -> list[SearchOrder]:
        time_left = search.request.deadline - now - HOP_MARGIN_S
        by_node: dict[NodeId, list[ShardTarget]] = {}
        for target in targets:
            node = self._home_for(search, target) if time_left >= MIN_ASK_S else None
            if node is None:
                reason = LackReason.HOME_UNREACHABLE
                if target.shard not in search.tried and time_left < MIN_ASK_S:
                    reason = LackReason.DEADLINE
                search.gather.lack(target.shard, reason)
                continue
            by_node.setdefault(node, []).append(target)
        return [
            self._ask_home(search, node, tuple(asked), time_left) for node, asked in by_node.items()
        ]

    def _home_for(self, search: _Search, target: ShardTarget) -> NodeId | None:
        tried = search.tried.get(target.shard, ())
        for node in self._homes.homes_of(target.service, target.instance):
            if node not in tried:
                return node
        return None

    def _ask_home(
        self, search: _Search, node: NodeId, targets: tuple[ShardTarget, ...], time_left: float
    ) -> SearchOrder:
        request = search.request
        snapshot = search.gather.snapshot
        search_id = next(self._ids)
        waiting = {target.shard: target for target in targets}
        group = _Group(request.request_id, node, snapshot, waiting)
        search.groups[search_id] = group
        self._groups[search_id] = group
        message = GroupSearch(
            search_id=search_id,
            caller=request.caller,
            query=request.query,
            limit=request.limit,
            fingerprint=request.fingerprint,
            snapshot=snapshot,
            time_left=time_left,
            targets=targets,
        )
        return SendGroup(node, message)

    def _progress(self, search: _Search, now: float) -> list[SearchOrder]:
        orders = self._pin(search, now)
        orders += self._rerun(search, now)
        if self._is_due(search, now):
            orders += self._finish(search, now)
        return orders

    def _pin(self, search: _Search, now: float) -> list[SearchOrder]:
        gather = search.gather
        if gather.snapshot is not None or not gather.held:
            return []
        answered = gather.total - gather.open_count
        if answered < PIN_SHARE * gather.total and now < _pin_time(search):
            return []
        snapshot = self._book.choose(search.request.service)
        time_left = search.request.deadline - now - HOP_MARGIN_S
        if snapshot is None or time_left < MIN_ASK_S:
            snapshot = gather.most_held()
        again = set(gather.pin(snapshot))
        targets = tuple(target for target in gather.targets if target.shard in again)
        return self._ask(search, targets, now)

    def _rerun(self, search: _Search, now: float) -> list[SearchOrder]:
        gather = search.gather
        if search.earlier is not None or gather.snapshot is None or not gather.lacking:
            return []
        moved = sum(reason is LackReason.SNAPSHOT for reason in gather.lacking.values())
        if moved == 0 or moved < RERUN_LACKING_SHARE * gather.total:
            return []
        whole = search.request.deadline - search.started
        if search.request.deadline - now < RERUN_TIME_SHARE * whole:
            return []
        service = search.request.service
        snapshot = self._book.choose(service)
        if snapshot is None or snapshot <= gather.snapshot:
            return []
        if self._book.coverage_of(service, snapshot) <= gather.total - len(gather.lacking):
            return []
        self._log.log(SEARCH_RERUN, service=service, pinned=gather.snapshot, newer=snapshot)
        orders = self._cancel_groups(search)
        search.earlier = gather
        search.gather = Gather(gather.targets, snapshot)
        return orders + self._ask(search, gather.targets, now)

    def _is_due(self, search: _Search, now: float) -> bool:
        request = search.request
        gather = search.gather
        if gather.is_settled or now >= request.deadline - ANSWER_MARGIN_S:
            return True
        if request.early_at is None or now < request.early_at:
            return False
        return bool(gather.covered) and _is_enough(gather, request)

    def _finish(self, search: _Search, now: float) -> list[SearchOrder]:
        gather = search.gather
        earlier = search.earlier
        if earlier is not None and len(earlier.covered) > len(gather.covered):
            gather = earlier
        orders = self._close(search)
        orders.append(FinishSearchRequest(_answer(search, gather, now)))
        return orders

    def _close(self, search: _Search) -> list[SearchOrder]:
        del self._searches[search.request.request_id]
        return self._cancel_groups(search)

    def _cancel_groups(self, search: _Search) -> list[SearchOrder]:
        orders: list[SearchOrder] = []
        for search_id, group in list(search.groups.items()):
            self._drop_group(search, search_id)
            orders.append(SendCancel(group.node, CancelSearch(search_id)))
        return orders

    def _drop_group(self, search: _Search, search_id: int) -> None:
        del search.groups[search_id]
        del self._groups[search_id]


def _pin_time(search: _Search) -> float:
    request = search.request
    pin_at = search.started + PIN_TIME_SHARE * (request.deadline - search.started)
    return pin_at if request.early_at is None else min(pin_at, request.early_at)


def _answer(search: _Search, gather: Gather, now: float) -> SearchAnswer:
    request = search.request
    covered = gather.covered_shards()
    return SearchAnswer(
        request_id=request.request_id,
        snapshot=gather.snapshot if covered else None,
        hits=merge_hits(gather.covered.values(), request.limit),
        covered=covered,
        lacking=gather.lacking_shards(),
        elapsed_ms=(now - search.started) * 1000,
        complete=_is_enough(gather, request) and (bool(covered) or not gather.total),
    )


def _is_enough(gather: Gather, request: SearchRequest) -> bool:
    return len(gather.covered) >= request.min_coverage * gather.total - SHARE_TOLERANCE


def _refusal(request: SearchRequest, plan: SearchPlan | None = None) -> SearchAnswer:
    gather = Gather(plan.targets if plan else (), None)
    for target in gather.targets:
        gather.lack(target.shard, LackReason.OVERLOAD)
    return SearchAnswer(request.request_id, None, (), (), gather.lacking_shards(), 0.0, False)
