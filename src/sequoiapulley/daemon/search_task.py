"""Runs searches: executes the actions of the entry and of the homes.

The entry is the node that the caller sent the search to; a home is a node that searches some of the
shards on their upstreams. One node may be both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from circuits import BaseComponent, handler

from sequoiapulley.daemon.message_router import MessageRouter
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.ids import Incarnation, NodeId, RequestId
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.model import Configuration
from sequoiapulley.runtime import Clock, TimerQueue, WakeUpTimer
from sequoiapulley.search.actions import (
    CancelSubSearch,
    DeliverAnswer,
    HomeAction,
    SearchAction,
    SendCancelSearch,
    SendGroupReply,
    SendGroupSearch,
    SubmitSubSearch,
)
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import (
    CancelSearch,
    GroupReply,
    GroupSearch,
    SearchAnswer,
    SearchRequest,
)
from sequoiapulley.upstream.messages import FinishSearch


class SearchTask(BaseComponent):
    """Owns the searches that this node answers and the group searches that it runs as a home."""

    channel = "node"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        message_router: MessageRouter,
        upstreams: UpstreamTask,
        coordinator: SearchCoordinator,
        home: HomeService,
    ) -> None:
        """Initialise without searches.

        Args:
            clock: Clock of the process.
            timers: Timers of the process.
            message_router: Sends messages to nodes.
            upstreams: Sends sub-searches to upstreams.
            coordinator: The entry's state machine.
            home: The home's state machine.
        """
        super().__init__()
        self._clock = clock
        self._message_router = message_router
        self._upstreams = upstreams
        self._coordinator = coordinator
        self._home = home
        self._callbacks: dict[RequestId, Callable[[SearchAnswer], None]] = {}
        self._entry_wake_up = WakeUpTimer(timers, coordinator.next_due, self._tick_entry)
        self._home_wake_up = WakeUpTimer(timers, home.next_due, self._tick_home)
        upstreams.on_search_finished = self._on_search_finished
        self._action_handlers: dict[
            type[SearchAction] | type[HomeAction], Callable[[Any], None]
        ] = {
            SendGroupSearch: self._send_group,
            SendCancelSearch: self._send,
            DeliverAnswer: self._finish,
            SubmitSubSearch: lambda action: upstreams.submit_search(action.sub),
            CancelSubSearch: lambda action: upstreams.cancel(action.sub_id),
            SendGroupReply: self._send,
        }
        self._message_handlers: dict[type, Callable[[NodeId, Any], None]] = {
            GroupSearch: self._on_group_search,
            GroupReply: self._on_group_reply,
            CancelSearch: self._on_cancel_search,
        }

    def start(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Starts a search.

        Args:
            request: The search.
            done: Called once with the answer, unless the search is cancelled first.
        """
        self._callbacks[request.request_id] = done
        self._execute_entry(self._coordinator.start(request, self._clock.now()))

    def cancel(self, request_id: RequestId) -> None:
        """Cancels a search whose caller has disconnected."""
        if self._callbacks.pop(request_id, None) is None:
            return
        self._execute_entry(self._coordinator.cancel(request_id, self._clock.now()))

    def in_flight(self) -> int:
        """Returns the number of searches and group searches in flight."""
        return len(self._callbacks) + self._home.in_flight()

    @handler("ConfigurationApplied")
    def _on_configuration_applied(self, configuration: Configuration) -> None:
        """Applies a configuration."""
        self._coordinator.configure(configuration, self._clock.now())

    @handler("MessageArrived")
    def _on_message_arrived(self, node: NodeId, _: Incarnation, message: LinkMessage) -> None:
        """Handles the messages of the search path."""
        handle_message = self._message_handlers.get(type(message))
        if handle_message is not None:
            handle_message(node, message)

    @handler("MessageUnsent")
    def _on_message_unsent(self, node: NodeId, message: LinkMessage) -> None:
        """Treats a home as lost if a group search to it was never sent."""
        if isinstance(message, GroupSearch):
            self._execute_entry(self._coordinator.on_node_lost(node, self._clock.now()))

    @handler("NodeLost")
    def _on_node_lost(self, node: NodeId) -> None:
        """Reassigns the searches that wait for a lost node and drops those run on its behalf."""
        now = self._clock.now()
        self._execute_entry(self._coordinator.on_node_lost(node, now))
        self._execute_home(self._home.on_node_lost(node, now))

    def _on_group_search(self, node: NodeId, message: GroupSearch) -> None:
        """Runs a group search as a home."""
        self._execute_home(self._home.on_group_search(node, message, self._clock.now()))

    def _on_group_reply(self, node: NodeId, message: GroupReply) -> None:
        """Handles the outcomes that a home sent."""
        self._execute_entry(self._coordinator.on_group_reply(node, message, self._clock.now()))

    def _on_cancel_search(self, node: NodeId, message: CancelSearch) -> None:
        """Cancels work that an entry no longer waits for."""
        self._execute_home(self._home.on_cancel(node, message, self._clock.now()))

    def _on_search_finished(self, action: FinishSearch) -> None:
        """Handles the outcome of one sub-search."""
        now = self._clock.now()
        self._execute_home(self._home.on_sub_finished(action.sub_id, action.reply, now))

    def _send_group(self, action: SendGroupSearch) -> None:
        """Sends a group search; if it is refused, treats the home as lost."""
        if self._message_router.send(action.node, action.message):
            return
        self._execute_entry(self._coordinator.on_node_lost(action.node, self._clock.now()))

    def _send(self, action: SendCancelSearch | SendGroupReply) -> None:
        """Sends a message; if it is lost, the recipient's deadline applies."""
        self._message_router.send(action.node, action.message)

    def _finish(self, action: DeliverAnswer) -> None:
        """Delivers the answer to the caller."""
        done = self._callbacks.pop(action.answer.request_id, None)
        if done is not None:
            done(action.answer)

    def _tick_entry(self) -> None:
        """Runs the entry's steps that are due."""
        self._execute_entry(self._coordinator.tick(self._clock.now()))

    def _tick_home(self) -> None:
        """Runs the home's steps that are due."""
        self._execute_home(self._home.tick(self._clock.now()))

    def _execute_entry(self, actions: Iterable[SearchAction]) -> None:
        """Executes the entry's actions and sets its timer."""
        try:
            for action in actions:
                self._action_handlers[type(action)](action)
        finally:
            self._entry_wake_up.rearm()

    def _execute_home(self, actions: Iterable[HomeAction]) -> None:
        """Executes the home's actions and sets its timer."""
        try:
            for action in actions:
                self._action_handlers[type(action)](action)
        finally:
            self._home_wake_up.rearm()
