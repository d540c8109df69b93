"""Tests of the reactor, alone and under the circuits manager."""

from __future__ import annotations

from socket import socket, socketpair
from threading import RLock
from unittest import TestCase

from circuits import BaseComponent, Event, Manager, handler
from circuits.core.events import generate_events

from sequoiapulley.runtime import PausedClock, SystemClock, TimerQueue
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.reactor import READABLE, Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent
from standins.vm_list import VmListStandIn


class Application(BaseComponent):
    """Sends one call after the start and stops when the call ends."""

    channel = "application"

    def __init__(self, client: HttpClient, timers: TimerQueue, port: int) -> None:
        super().__init__(channel=self.channel)
        self.client = client
        self.timers = timers
        self.port = port
        self.result: HttpResult | None = None
        self.timer_runs = 0

    @handler("started", channel="*")
    def _on_started(self, *_args: object) -> None:
        self.timers.call_later(0.01, self._on_timer)
        self.timers.call_later(20.0, self.stop)

    def _on_timer(self) -> None:
        self.timer_runs += 1
        self.client.request(HttpCall("127.0.0.1", self.port, "GET", "/v1/vms"), self._on_done)

    def _on_done(self, result: HttpResult) -> None:
        self.result = result
        self.stop()


class ReplacingHandler:
    """Closes another socket when called, and registers a new one with the same descriptor."""

    def __init__(self, reactor: Reactor, other: socket) -> None:
        self.reactor = reactor
        self.other = other
        self.replacement_handler = CountingHandler()
        self.replacement: socket | None = None

    def on_ready(self, _events: int) -> None:
        fd = self.other.fileno()
        self.reactor.unregister(fd)
        self.other.close()
        self.replacement = socket()
        self.reactor.register(self.replacement.fileno(), READABLE, self.replacement_handler)
        assert self.replacement.fileno() == fd


class CountingHandler:
    """Counts the readiness events that it receives."""

    def __init__(self) -> None:
        self.calls = 0

    def on_ready(self, _events: int) -> None:
        self.calls += 1


class ReactorTest(TestCase):
    """A readiness event reaches only the socket for which it was reported."""

    def test_event_of_a_closed_socket_does_not_reach_a_new_socket_with_its_descriptor(self) -> None:
        clock = SystemClock()
        reactor = Reactor(clock, TimerQueue(clock))
        self.addCleanup(reactor.close)
        pairs = [socketpair(), socketpair()]
        handlers = [ReplacingHandler(reactor, pairs[1 - index][0]) for index in range(2)]
        for (registered, peer), handler_ in zip(pairs, handlers, strict=True):
            reactor.register(registered.fileno(), READABLE, handler_)
            peer.send(b"x")
        self.assertEqual(reactor.poll(1.0), 1)
        self.assertEqual([handler_.replacement_handler.calls for handler_ in handlers], [0, 0])
        opened = [handler_.replacement for handler_ in handlers if handler_.replacement]
        for sock in (*opened, *(end for pair in pairs for end in pair)):
            sock.close()


class ReactorComponentTest(TestCase):
    """Sockets and timers run on the manager's event loop."""

    def test_serves_sockets_and_timers(self) -> None:
        server = VmListStandIn()
        server.start()
        self.addCleanup(server.stop)
        clock = SystemClock()
        timers = TimerQueue(clock)
        reactor = Reactor(clock, timers)
        application = Application(HttpClient(reactor, clock, timers), timers, server.port)
        ReactorComponent(reactor, timers).register(application)
        application.run()
        assert application.result is not None
        self.assertEqual(application.result.unwrap().status, 200)
        self.assertEqual(application.timer_runs, 1)


class TimerEventTest(TestCase):
    """An event that a timer fires is dispatched without a wait for the next timer or socket."""

    def test_manager_does_not_wait_while_an_event_is_queued(self) -> None:
        clock = PausedClock()
        timers = TimerQueue(clock)
        reactor = Reactor(clock, timers)
        self.addCleanup(reactor.close)
        component = ReactorComponent(reactor, timers).register(Manager())
        component.root.flush()
        timers.call_later(0.0, lambda: component.fire(Event.create("timer_fired")))
        timers.call_later(5.0, lambda: None)
        waits = generate_events(RLock(), -1)
        component._on_generate_events(waits)
        self.assertEqual(waits.time_left, 0)
        component.root.flush()
        idle = generate_events(RLock(), -1)
        component._on_generate_events(idle)
        self.assertEqual(idle.time_left, 5.0)
