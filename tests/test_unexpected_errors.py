"""Tests that one malformed message or unexpected error does not end the process."""

from __future__ import annotations

from random import Random
from socket import create_connection, socket, socketpair
from unittest import TestCase

from circuits import Manager

from sequoiapulley.daemon.error_log import ErrorLog
from sequoiapulley.daemon.log_events import UNEXPECTED_ERROR
from sequoiapulley.forward.state import ChangeSet, TableChange
from sequoiapulley.forward.state_feed import ReadPlan, StateFeed
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, SystemClock, TimerQueue
from sequoiapulley.wire.http_server import HttpServer
from sequoiapulley.wire.reactor import READABLE, Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent
from sequoiapulley.wire.server_connection import ServerLimits, ServerRequest
from tests.state_fixtures import ScriptedSource, changes, read, table


class FailingHandler:
    """Fails on each readiness event, and when its socket is given up."""

    def __init__(self) -> None:
        self.failures = 0

    def on_ready(self, events: int) -> None:
        raise ZeroDivisionError("on_ready")

    def on_failure(self) -> None:
        self.failures += 1
        raise KeyError("on_failure")


class CountingHandler:
    """Counts its events."""

    def __init__(self) -> None:
        self.events = 0

    def on_ready(self, events: int) -> None:
        self.events += 1

    def on_failure(self) -> None:
        raise AssertionError("it did not fail")


class EventLoopTest(TestCase):
    """Errors of one handler or timer."""

    def setUp(self) -> None:
        self.errors: list[Exception] = []

    def test_other_sockets_and_timers_are_served(self) -> None:
        clock = PausedClock()
        timers = TimerQueue(clock, self.errors.append)
        reactor = Reactor(clock, timers, self.errors.append)
        failing, counting = FailingHandler(), CountingHandler()
        for handler in (failing, counting):
            ours, theirs = socketpair()
            self.addCleanup(ours.close)
            self.addCleanup(theirs.close)
            reactor.register(ours.fileno(), READABLE, handler)
            theirs.send(b"x")
        ran: list[str] = []
        timers.call_later(0.0, lambda: 1 // 0)  # type: ignore[arg-type, return-value]
        timers.call_later(0.0, lambda: ran.append("second"))
        reactor.run_once(0.0)
        self.assertEqual((failing.failures, counting.events, ran), (1, 1, ["second"]))
        kinds = [type(error) for error in self.errors]
        self.assertEqual(kinds, [ZeroDivisionError, KeyError, ZeroDivisionError])

    def test_due_time_that_is_no_number_is_refused(self) -> None:
        timers = TimerQueue(PausedClock())
        with self.assertRaises(ValueError):
            timers.call_later(float("nan"), lambda: None)
        self.assertIsNone(timers.next_due())

    def test_request_whose_handler_fails_is_answered_and_others_are_served(self) -> None:
        clock = SystemClock()
        timers = TimerQueue(clock, self.errors.append)
        reactor = Reactor(clock, timers, self.errors.append)

        def serve(req: ServerRequest) -> None:
            if req.parsed.target == b"/bad":
                raise KeyError("unexpected")
            req.answer(200, (), b"ok")

        server = HttpServer(reactor, timers, "127.0.0.1", 0, serve, ServerLimits())
        self.addCleanup(server.close)

        def ask(conn: socket, target: str) -> bytes:
            conn.sendall(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            reactor.run_for(0.05)
            return conn.recv(9_000)

        with (
            create_connection(("127.0.0.1", server.port)) as first,
            create_connection(("127.0.0.1", server.port)) as second,
        ):
            self.assertTrue(ask(first, "/bad").startswith(b"HTTP/1.1 502"))
            self.assertTrue(ask(second, "/good").startswith(b"HTTP/1.1 200"))
            self.assertEqual(first.recv(9_000), b"")
        self.assertEqual([type(error) for error in self.errors], [KeyError])


class FeedErrorTest(TestCase):
    """Errors while shared state is read or applied."""

    def test_feed_reads_the_full_state_after_an_error(self) -> None:
        errors: list[Exception] = []
        clock = PausedClock()
        timers = TimerQueue(clock, errors.append)
        source = ScriptedSource()
        taken: list[ChangeSet] = []

        def apply(found: ChangeSet, _after_outage: bool) -> None:
            if found.revision == 8:
                raise KeyError("unexpected")
            taken.append(found)

        feed = StateFeed(
            lambda _failures: ReadPlan(source, True, 2.0, 1.0),
            timers,
            MemoryLog(),
            Random(1),
            apply,
            StoreAvailability(),
        )
        feed.start()
        for found in (changes(7, whole=True), changes(8), changes(9, whole=True)):
            try:
                source.reply(read(found))
            except KeyError as exc:
                errors.append(exc)
            for _ in range(30):
                clock.advance(0.05)
                timers.run_due()
        self.assertEqual(source.asked, ["stale", "after 7", "stale", "after 9"])
        self.assertEqual(([found.revision for found in taken], len(errors)), ([7, 9], 1))


class FeedSeriesTest(TestCase):
    """Reads follow one another in one series, whatever fails."""

    def test_error_after_the_next_read_was_scheduled_starts_no_second_series(self) -> None:
        clock = PausedClock()
        timers = TimerQueue(clock, lambda _exc: None)
        source = ScriptedSource()

        def fail(found: ChangeSet, _after_outage: bool) -> None:
            if found.changes:
                raise KeyError("unexpected")

        feed = StateFeed(
            lambda _failures: ReadPlan(source, True, 2.0, 1.0),
            timers,
            MemoryLog(),
            Random(1),
            fail,
            StoreAvailability(),
        )
        feed.start()
        source.reply(read(changes(7, whole=True, era=2)))
        timers.run_due()
        source.reply(read(changes(7, era=2)))
        clock.advance(2.0)
        timers.run_due()
        old = changes(9, TableChange(table(3)), whole=True, era=1)
        with self.assertRaises(KeyError):
            source.reply(read(old))
        for _ in range(40):
            clock.advance(0.05)
            timers.run_due()
        self.assertEqual(len(source.asked), 4)


class ReactorComponentTest(TestCase):
    """Errors under the circuits manager of `sequoiapulleyd`."""

    def test_manager_goes_on_and_errors_are_logged(self) -> None:
        log = MemoryLog()
        clock = SystemClock()
        timers = TimerQueue(clock, ErrorLog(log))
        reactor = Reactor(clock, timers, ErrorLog(log))
        manager = Manager()
        ReactorComponent(reactor, timers).register(manager)
        ours, theirs = socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        theirs.send(b"x")
        failing = FailingHandler()
        reactor.register(ours.fileno(), READABLE, failing)
        ran: list[str] = []
        timers.call_later(0.05, lambda: 1 // 0)  # type: ignore[arg-type, return-value]
        timers.call_later(0.05, lambda: ran.append("second"))
        timers.call_later(0.2, manager.stop)
        manager.run()
        self.assertEqual(ran, ["second"])
        self.assertGreater(failing.failures, 0)
        fields = [found for event, found in log.entries if event is UNEXPECTED_ERROR]
        errors = {str(found["error"]) for found in fields}
        self.assertEqual(
            errors,
            {
                "ZeroDivisionError('on_ready')",
                "KeyError('on_failure')",
                "ZeroDivisionError('integer division or modulo by zero')",
            },
        )
        self.assertIn("test_unexpected_errors.py", str(fields[0]["trace"]))
