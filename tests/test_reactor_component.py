"""Tests of the reactor under the circuits manager."""

from __future__ import annotations

from unittest import TestCase

from circuits import BaseComponent, handler

from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent
from standins.vm_list import VmListStandIn


class Application(BaseComponent):
    """Sends one call after start and stops at its outcome."""

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


class ReactorComponentTest(TestCase):
    """Sockets and timers run on the manager's loop."""

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
