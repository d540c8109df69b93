"""Tests of the operators' routes over real sockets, with a fake backend."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from loop_driver import LoopDriver, RawClient
from msgspec import Struct, json

from sequoiapulley.entry.guarded_server import GuardedServer
from sequoiapulley.entry.operators_messages import (
    ConfigView,
    EditAccepted,
    EditFindings,
    EditOutcome,
    EditRefused,
    EditRequest,
    EditUnavailable,
    EventsView,
    HistoryView,
    ReadyView,
    StatusView,
)
from sequoiapulley.entry.operators_port import OperatorsPort
from sequoiapulley.ids import (
    ConfigVersion,
    EditId,
    NodeId,
    WorkspaceName,
)
from sequoiapulley.observe.burn_messages import NodeBurnReport
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.settings import Finding

VIEW = ConfigView(ConfigVersion(3), EditId("e"), "ana", 1.0, "{}")
STATUS = StatusView(NodeId("n"), WorkspaceName("c"), ConfigVersion(3), 1.0, (), 0, 0, True)
EDIT = EditRequest(ConfigVersion(3), EditId("e4"), "ana", "{}")


class FakeBackend:
    """Answers from its fields; the test calls the callbacks of edits."""

    def __init__(self) -> None:
        self.view = VIEW
        self.pending: list[Callable[[EditOutcome], None]] = []
        self.edits: list[EditRequest] = []

    def config(self) -> ConfigView:
        return self.view

    def edit(self, req: EditRequest, done: Callable[[EditOutcome], None]) -> None:
        self.edits.append(req)
        self.pending.append(done)

    def history(self, done: Callable[[HistoryView | None], None]) -> None:
        done(None)

    def status(self) -> StatusView:
        return STATUS

    def entries(self, caller: str, failure_domain: str) -> Struct:
        return ReadyView(True, (caller, failure_domain))

    def events(self, after: int) -> EventsView:
        return EventsView(NodeId("n"), (), after)

    def burn(self) -> NodeBurnReport:
        return NodeBurnReport(NodeId("n"), 0.0, 0.0, ())

    def ready(self) -> ReadyView:
        return ReadyView(False, ("no configuration",))

    def metrics(self) -> bytes:
        return b"# HELP x\n"


class OperatorsPortTest(TestCase):
    """Every route answers, also if the backend calls back later."""

    def setUp(self) -> None:
        self.driver = LoopDriver()
        self.backend = FakeBackend()
        timers = TimerQueue(PausedClock())
        self.server = GuardedServer("127.0.0.1", 0, "operators", timers)
        self.server.register(self.driver.manager)
        OperatorsPort(self.server, self.backend).register(self.driver.manager)

    def send(self, method: str, target: str, body: bytes = b"") -> RawClient:
        """Sends one request on a new connection."""
        client = RawClient(self.driver, self.server.port)
        self.addCleanup(client.close)
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = f"{method} {target} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n{length}\r\n"
        client.send(head.encode() + body)
        return client

    def receive(self, client: RawClient) -> tuple[int, bytes]:
        """Waits for the complete answer."""
        client.until(lambda seen: seen.closed)
        head, _, body = client.received.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    def ask(self, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """Sends one request and returns the status and the body of the answer."""
        return self.receive(self.send(method, target, body))

    def test_read_routes(self) -> None:
        self.assertEqual(self.ask("GET", "/v1/config"), (200, json.encode(VIEW)))
        self.assertEqual(self.ask("GET", "/v1/status"), (200, json.encode(STATUS)))
        self.assertEqual(self.ask("GET", "/healthz"), (200, b"ok\n"))
        self.assertEqual(self.ask("GET", "/metrics"), (200, b"# HELP x\n"))
        self.assertEqual(self.ask("GET", "/readyz")[0], 503)
        self.assertEqual(self.ask("GET", "/v1/config/history")[0], 503)
        self.assertIn(b'"dropped":12', self.ask("GET", "/v1/events?after=12")[1])
        self.assertEqual(self.ask("GET", "/v1/events?after=-1")[0], 400)
        self.assertIn(b'["ctx","a"]', self.ask("GET", "/v1/entries?place=a&caller=ctx")[1])
        self.assertEqual(self.ask("POST", "/v1/status")[0], 405)
        self.assertEqual(self.ask("GET", "/v2/status")[0], 404)
        self.backend.view = ConfigView(ConfigVersion(0), EditId(""), "", 0.0, "")
        self.assertEqual(self.ask("GET", "/v1/config")[0], 404)

    def test_edit_is_answered_when_its_outcome_is_known(self) -> None:
        finding = Finding("f", 1, 2, "m")
        outcomes: list[tuple[EditOutcome, int]] = [
            (EditAccepted(ConfigVersion(4)), 200),
            (EditRefused(VIEW), 409),
            (EditFindings((finding,)), 422),
            (EditUnavailable(False, "no reply"), 503),
        ]
        for outcome, status in outcomes:
            client = self.send("PUT", "/v1/config", json.encode(EDIT))
            self.driver.until(lambda: bool(self.backend.pending))
            self.assertEqual(client.received, b"")
            self.backend.pending.pop()(outcome)
            self.assertEqual(self.receive(client), (status, json.encode(outcome)))
        self.assertEqual(self.backend.edits, [EDIT] * 4)

    def test_large_configuration_text_arrives_complete(self) -> None:
        edit = EditRequest(ConfigVersion(3), EditId("e4"), "ana", '"line"\n' * 60_000)
        client = self.send("PUT", "/v1/config", json.encode(edit))
        self.driver.until(lambda: bool(self.backend.pending))
        self.backend.pending.pop()(EditAccepted(ConfigVersion(4)))
        self.assertEqual(self.receive(client)[0], 200)
        self.assertEqual(self.backend.edits, [edit])

    def test_invalid_json_and_invalid_edits_have_different_codes(self) -> None:
        self.assertIn(b'"code":"bad_json"', self.ask("PUT", "/v1/config", b"{")[1])
        status, body = self.ask("PUT", "/v1/config", b'{"base_version": "three"}')
        self.assertEqual((status, b'"code":"bad_request"' in body), (400, True))

    @given(st.binary(max_size=40) | st.sampled_from([b'{"base_version": -1, "edit_id": "e", '
                                                     b'"author": "", "text": ""}']))  # fmt: skip
    def test_invalid_bodies_do_not_reach_the_backend(self, body: bytes) -> None:
        self.assertEqual(self.ask("PUT", "/v1/config", body)[0], 400)
        self.assertEqual(self.backend.edits, [])
