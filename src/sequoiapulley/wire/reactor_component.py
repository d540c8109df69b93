"""Runs the reactor and the timers on the event loop of the circuits manager."""

from __future__ import annotations

from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.reactor import Reactor


class ReactorComponent(BaseComponent):
    """Polls the reactor when its epoll object is readable, and runs due timers.

    A wake-up costs one circuits event, independent of the number of ready sockets. An application
    that also has circuits sockets must register an `EPoll` on its root first, so that both share
    it.
    """

    channel = "reactor"

    def __init__(self, reactor: Reactor, timers: TimerQueue) -> None:
        """Creates the component.

        Args:
            reactor: Reactor to poll.
            timers: Timers of the process.
        """
        super().__init__(channel=self.channel)
        self._reactor = reactor
        self._timers = timers
        self._poller: BasePoller | None = None

    @handler("started", channel="*")
    def _on_started(self, *_args: Any) -> None:
        """Adds the reactor's descriptor to the manager's poller."""
        if self._poller is not None:
            return
        self._poller = self._find_poller()
        self._poller.addReader(self, self._reactor.fileno())

    @handler("stopped", channel="*")
    def _on_stopped(self, *_args: Any) -> None:
        """Removes the reactor's descriptor from the manager's poller."""
        if self._poller is None:
            return
        self._poller.discard(self._reactor.fileno())
        self._poller = None

    @handler("_read", channel="reactor")
    def _on_readable(self, _fd: int) -> None:
        """Calls the handlers of all ready sockets."""
        self._reactor.poll()

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: Any) -> None:
        """Runs due timers and limits the manager's wait to the time of the next one."""
        self._timers.run_due()
        if len(self.root):
            # Events fired on the manager's own thread during this call do not end its wait.
            event.reduce_time_left(0)
            return
        due = self._timers.next_due()
        if due is None:
            return
        event.reduce_time_left(max(0.0, due - self._timers.clock.now()))

    def _find_poller(self) -> BasePoller:
        """Returns the manager's poller; registers an `EPoll` if there is none."""
        poller = findcmp(self.root, BasePoller)
        return EPoll().register(self.root) if poller is None else poller
