"""The entry's decisions for searches: scatter to homes, gather at one snapshot, answer once."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from secrets import randbits
from typing import Final

from sequoiapulley.ids import NodeId, RequestId, ServiceName, ShardId
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.search.answers import make_answer, refuse_search
from sequoiapulley.search.gather import Gather
from sequoiapulley.search.hedge_budget import HedgeBudget
from sequoiapulley.search.home_choice import HomeChoice
from sequoiapulley.search.home_health import HEDGE_STEP_S, HomeHealth
from sequoiapulley.search.home_resolver import HomeResolver
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
    LackReason,
    SearchRequest,
    ShardTarget,
)
from sequoiapulley.search.orders import FinishSearchRequest, SearchOrder, SendCancel, SendGroup
from sequoiapulley.search.search_plan import SearchPlan, plan_all
from sequoiapulley.search.search_state import GroupState, SearchState
from sequoiapulley.search.snapshot_book import SnapshotBook
from sequoiapulley.search.snapshot_policy import choose_pin, choose_rerun

MAX_SEARCHES: Final = 4096
MIN_ASK_S: Final = 0.004
MAX_TICK_DELAY_S: Final = 0.010
ID_RANDOM_BITS: Final = 31
ID_COUNTER_BITS: Final = 32


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
        self._log = log
        self._ids = count(first_id or (randbits(ID_RANDOM_BITS) << ID_COUNTER_BITS))
        self._plans: dict[ServiceName, SearchPlan] = {}
        self._book = SnapshotBook()
        self._health = HomeHealth()
        self._choice = HomeChoice(homes, self._health)
        self._budget = HedgeBudget()
        self._searches: dict[RequestId, SearchState] = {}
        self._groups: dict[int, GroupState] = {}
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
            return [FinishSearchRequest(refuse_search(request))]
        if len(self._searches) >= MAX_SEARCHES:
            self._log.log(SEARCH_REFUSED, service=request.service, in_flight=MAX_SEARCHES)
            return [FinishSearchRequest(refuse_search(request, plan))]
        snapshot = self._book.choose(request.service, now)
        search = SearchState(request, plan, now, Gather(plan.targets, snapshot))
        self._searches[request.request_id] = search
        self._set_timers(search)
        self._budget.earn(len(plan.targets))
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
        self._health.on_batch(node, now - group.sent_at, reply.elapsed, not group.replied)
        group.replied = True
        search = self._searches[group.request_id]
        service = search.request.service
        for shard_reply in reply.replies:
            if group.waiting.pop(shard_reply.shard, None) is None:
                continue
            self._book.learn(service, shard_reply, group.snapshot, now)
            search.take(shard_reply)
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
            orders += self._ask(search, search.give_up(group), now)
            orders += self._progress(search, now)
        return orders

    def cancel(self, request_id: RequestId, now: float) -> list[SearchOrder]:
        """Gives a search up because its caller left."""
        search = self._searches.get(request_id)
        return [] if search is None else self._close(search)

    def tick(self, now: float) -> list[SearchOrder]:
        """Answers the searches whose time has come, and asks again where a home is silent."""
        orders: list[SearchOrder] = []
        while self._timers and self._timers[0][0] <= now:
            due, request_id = heappop(self._timers)
            search = self._searches.get(request_id)
            if search is None:
                continue
            if now - due <= MAX_TICK_DELAY_S:
                orders += self._hedge(search, now)
            elif search.answer_at > now:
                # This process was paused; replies that wait to be read are no silence.
                heappush(self._timers, (now + HEDGE_STEP_S, request_id))
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

    def _set_timers(self, search: SearchState) -> None:
        request = search.request
        heappush(self._timers, (search.answer_at, request.request_id))
        if request.early_at is not None:
            heappush(self._timers, (request.early_at, request.request_id))
        if search.gather.snapshot is None:
            heappush(self._timers, (search.pin_at, request.request_id))

    def _ask(
        self, search: SearchState, targets: tuple[ShardTarget, ...], now: float
    ) -> list[SearchOrder]:
        """Sends shards to their homes; a shard without one, or without time, is lacking."""
        by_home = self._choice.by_home(search, targets, now)
        for shard in by_home.pop(None, {}):
            search.gather.lack(shard, LackReason.HOME_UNREACHABLE)
        orders: list[SearchOrder] = []
        for node, asked in by_home.items():
            if node is not None and search.answer_at - now >= MIN_ASK_S:
                orders.append(self._ask_home(search, node, asked, now))
                continue
            for shard in asked:
                search.gather.lack(shard, LackReason.DEADLINE)
        return orders

    def _ask_home(
        self, search: SearchState, node: NodeId, asked: dict[ShardId, ShardTarget], now: float
    ) -> SearchOrder:
        request = search.request
        time_left = search.answer_at - now
        search_id = next(self._ids)
        group = GroupState(
            request_id=request.request_id,
            node=node,
            snapshot=search.gather.snapshot,
            sent_at=now,
            hedge_at=now + self._health.hedge_delay(node),
            waiting=asked,
        )
        search.groups[search_id] = group
        self._groups[search_id] = group
        if (
            group.hedge_at < search.answer_at - MIN_ASK_S
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
            time_left=time_left - self._health.hop_margin(node, time_left),
            targets=tuple(asked.values()),
        )
        return SendGroup(node, message)

    def _hedge(self, search: SearchState, now: float) -> list[SearchOrder]:
        orders: list[SearchOrder] = []
        for group in list(search.groups.values()):
            if group.replied or group.hedged or now < group.hedge_at:
                continue
            group.hedged = True
            self._health.on_silence(group.node, now)
            orders += self._ask_second(search, group, now)
        return orders

    def _ask_second(self, search: SearchState, group: GroupState, now: float) -> list[SearchOrder]:
        waiting = [t for shard, t in group.waiting.items() if search.gather.is_open(shard)]
        for target in waiting:
            search.tried.setdefault(target.shard, set()).add(group.node)
        orders: list[SearchOrder] = []
        for node, asked in self._choice.by_home(search, waiting, now).items():
            if node is None or search.answer_at - now < MIN_ASK_S:
                continue
            if not self._budget.spend(len(asked)):
                continue
            self._log.log(HOME_SILENT, home=group.node, second=node, shards=len(asked))
            for shard in asked:
                search.second_asks[shard] = search.second_asks.get(shard, 0) + 1
            orders.append(self._ask_home(search, node, asked, now))
        return orders

    def _progress(self, search: SearchState, now: float) -> list[SearchOrder]:
        orders = self._pin(search, now)
        orders += self._rerun(search, now)
        if search.is_due(now):
            orders += self._close(search)
            orders.append(FinishSearchRequest(make_answer(search, now)))
        return orders

    def _pin(self, search: SearchState, now: float) -> list[SearchOrder]:
        snapshot = choose_pin(search, self._book, now)
        if snapshot is None:
            return []
        again = set(search.gather.pin(snapshot))
        targets = tuple(target for target in search.plan.targets if target.shard in again)
        return self._ask(search, targets, now)

    def _rerun(self, search: SearchState, now: float) -> list[SearchOrder]:
        snapshot = choose_rerun(search, self._book, now)
        if snapshot is None:
            return []
        gather = search.gather
        self._log.log(
            SEARCH_RERUN, service=search.request.service, pinned=gather.snapshot, newer=snapshot
        )
        orders = self._cancel_groups(search)
        search.earlier = gather
        search.gather = Gather(gather.targets, snapshot)
        search.second_asks = {}
        return orders + self._ask(search, gather.targets, now)

    def _close(self, search: SearchState) -> list[SearchOrder]:
        del self._searches[search.request.request_id]
        return self._cancel_groups(search)

    def _cancel_groups(self, search: SearchState) -> list[SearchOrder]:
        orders: list[SearchOrder] = []
        for search_id, group in list(search.groups.items()):
            self._drop_group(search, search_id)
            orders.append(SendCancel(group.node, CancelSearch(search_id)))
        return orders

    def _drop_group(self, search: SearchState, search_id: int) -> None:
        del search.groups[search_id]
        del self._groups[search_id]
