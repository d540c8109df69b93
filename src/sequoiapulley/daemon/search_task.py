"""Carries out the decisions of the search path, as an entry and as a home."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from circuits import BaseComponent, handler

from sequoiapulley.daemon.postbox import Postbox
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.ids import Incarnation, NodeId, RequestId
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.model import Configuration
from sequoiapulley.runtime import Clock, TimerQueue, WakeUp
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupReply,
    GroupSearch,
    SearchAnswer,
    SearchRequest,
)
from sequoiapulley.search.orders import (
    CancelSub,
    FinishSearchRequest,
    HomeOrder,
    SearchOrder,
    SendCancel,
    SendGroup,
    SendGroupReply,
    SubmitSub,
)
from sequoiapulley.upstream.messages import FinishSearch


class SearchTask(BaseComponent):
    """Owns the searches that this node answers and the groups that it serves for others."""

    channel = "node"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        postbox: Postbox,
        upstreams: UpstreamTask,
        coordinator: SearchCoordinator,
        home: HomeService,
    ) -> None:
        """Initialise without searches.

        Args:
            clock: Clock of the process.
            timers: Timers of the process.
            postbox: The way to nodes.
            upstreams: Where sub-searches go.
            coordinator: The entry's decisions.
            home: The home's decisions.
        """
        super().__init__()
        self._clock = clock
        self._postbox = postbox
        self._upstreams = upstreams
        self._coordinator = coordinator
        self._home = home
        self._waiting: dict[RequestId, Callable[[SearchAnswer], None]] = {}
        self._entry_wake_up = WakeUp(timers, coordinator.next_due, self._tick_entry)
        self._home_wake_up = WakeUp(timers, home.next_due, self._tick_home)
        upstreams.on_search_finished = self._on_search_finished
        self._performers: dict[type[SearchOrder] | type[HomeOrder], Callable[[Any], None]] = {
            SendGroup: self._send_group,
            SendCancel: self._send,
            FinishSearchRequest: self._finish,
            SubmitSub: lambda order: upstreams.submit_search(order.sub),
            CancelSub: lambda order: upstreams.cancel(order.sub_id),
            SendGroupReply: self._send,
        }
        self._receivers: dict[type, Callable[[NodeId, Any], None]] = {
            GroupSearch: self._on_group_search,
            GroupReply: self._on_group_reply,
            CancelSearch: self._on_cancel_search,
        }

    def start(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Starts a search.

        Args:
            request: The search.
            done: Called once with the answer, unless the caller leaves before.
        """
        self._waiting[request.request_id] = done
        self._perform_entry(self._coordinator.start(request, self._clock.now()))

    def cancel(self, request_id: RequestId) -> None:
        """Gives a search up whose caller left."""
        if self._waiting.pop(request_id, None) is None:
            return
        self._perform_entry(self._coordinator.cancel(request_id, self._clock.now()))

    def in_flight(self) -> int:
        """Returns the number of searches and served groups without an outcome."""
        return len(self._waiting) + self._home.in_flight()

    @handler("ConfigurationApplied")
    def _on_configuration_applied(self, configuration: Configuration) -> None:
        """Takes a configuration."""
        self._coordinator.configure(configuration, self._clock.now())

    @handler("MessageArrived")
    def _on_message_arrived(self, node: NodeId, _: Incarnation, message: LinkMessage) -> None:
        """Takes the messages of the search path."""
        receive = self._receivers.get(type(message))
        if receive is not None:
            receive(node, message)

    @handler("MessageUnsent")
    def _on_message_unsent(self, node: NodeId, message: LinkMessage) -> None:
        """Treats a home that a group search never reached as lost."""
        if isinstance(message, GroupSearch):
            self._perform_entry(self._coordinator.on_node_lost(node, self._clock.now()))

    @handler("NodeLost")
    def _on_node_lost(self, node: NodeId) -> None:
        """Moves the searches that waited for a node and drops those it waited for."""
        now = self._clock.now()
        self._perform_entry(self._coordinator.on_node_lost(node, now))
        self._perform_home(self._home.on_node_lost(node, now))

    def _on_group_search(self, node: NodeId, message: GroupSearch) -> None:
        """Serves a group search."""
        self._perform_home(self._home.on_group_search(node, message, self._clock.now()))

    def _on_group_reply(self, node: NodeId, message: GroupReply) -> None:
        """Takes outcomes from a home."""
        self._perform_entry(self._coordinator.on_group_reply(node, message, self._clock.now()))

    def _on_cancel_search(self, node: NodeId, message: CancelSearch) -> None:
        """Stops work that an entry no longer waits for."""
        self._perform_home(self._home.on_cancel(node, message, self._clock.now()))

    def _on_search_finished(self, action: FinishSearch) -> None:
        """Takes the outcome of one shard."""
        now = self._clock.now()
        self._perform_home(self._home.on_sub_finished(action.sub_id, action.reply, now))

    def _send_group(self, order: SendGroup) -> None:
        """Sends a group search; a refused send counts as a lost home."""
        if self._postbox.send(order.node, order.message):
            return
        self._perform_entry(self._coordinator.on_node_lost(order.node, self._clock.now()))

    def _send(self, order: SendCancel | SendGroupReply) -> None:
        """Sends a message whose loss the receiver's deadline covers."""
        self._postbox.send(order.node, order.message)

    def _finish(self, order: FinishSearchRequest) -> None:
        """Gives the caller its answer."""
        done = self._waiting.pop(order.answer.request_id, None)
        if done is not None:
            done(order.answer)

    def _tick_entry(self) -> None:
        """Lets the entry's decisions do what is due."""
        self._perform_entry(self._coordinator.tick(self._clock.now()))

    def _tick_home(self) -> None:
        """Lets the home's decisions do what is due."""
        self._perform_home(self._home.tick(self._clock.now()))

    def _perform_entry(self, orders: Iterable[SearchOrder]) -> None:
        """Carries out the entry's orders and sets its timer."""
        for order in orders:
            self._performers[type(order)](order)
        self._entry_wake_up.rearm()

    def _perform_home(self, orders: Iterable[HomeOrder]) -> None:
        """Carries out the home's orders and sets its timer."""
        for order in orders:
            self._performers[type(order)](order)
        self._home_wake_up.rearm()
