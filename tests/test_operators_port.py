"""Tests of the operators' routes against a fake server and backend."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from types import SimpleNamespace
from typing import Any
from unittest import TestCase

from circuits import Component
from circuits.web.events import request
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct, json

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
    CustomerName,
    EditId,
    NodeId,
)
from sequoiapulley.observe.burn_messages import BurnShard
from sequoiapulley.settings import Finding

VIEW = ConfigView(ConfigVersion(3), EditId("e"), "ana", 1.0, "{}")
STATUS = StatusView(NodeId("n"), CustomerName("c"), ConfigVersion(3), 1.0, (), 0, 0, True)
EDIT = EditRequest(ConfigVersion(3), EditId("e4"), "ana", "{}")


class FakeServer:
    """Keeps answers."""

    channel = "operators"

    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes]] = []

    def answer(self, _res: Any, status: int, body: object, retry_after: int = 0) -> None:
        self.answers.append((status, json.encode(body)))

    def answer_error(self, _res: Any, status: int, code: str, message: str) -> None:
        self.answers.append((status, f"{code}: {message}".encode()))

    def answer_bytes(self, _res: Any, status: int, content_type: str, body: bytes) -> None:
        self.answers.append((status, body))


class FakeBackend:
    """Answers from fields; edits wait until `settle`."""

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

    def entries(self, caller: str, place: str) -> Struct:
        return ReadyView(True, (caller, place))

    def events(self, after: int) -> EventsView:
        return EventsView(NodeId("n"), (), after)

    def burn(self) -> BurnShard:
        return BurnShard(NodeId("n"), 0.0, 0.0, ())

    def ready(self) -> ReadyView:
        return ReadyView(False, ("no configuration",))

    def metrics(self) -> bytes:
        return b"# HELP x\n"


class OperatorsPortTest(TestCase):
    """Every route answers, also when its backend answers later."""

    def setUp(self) -> None:
        self.server = FakeServer()
        self.backend = FakeBackend()
        self.root = Component()
        OperatorsPort(self.server, self.backend).register(self.root)
        self.flush()

    def flush(self) -> None:
        while len(self.root):
            self.root.flush()

    def ask(self, method: str, path: str, body: bytes = b"", qs: str = "") -> tuple[int, bytes]:
        """Sends one request and returns its answer, (0, b"") when none came yet."""
        self.server.answers.clear()
        req = SimpleNamespace(method=method, path=path, qs=qs, body=BytesIO(body))
        self.root.fire(request(req, SimpleNamespace()), "operators")
        self.flush()
        return self.server.answers[0] if self.server.answers else (0, b"")

    def test_reads(self) -> None:
        self.assertEqual(self.ask("GET", "/v1/config"), (200, json.encode(VIEW)))
        self.assertEqual(self.ask("GET", "/v1/status"), (200, json.encode(STATUS)))
        self.assertEqual(self.ask("GET", "/healthz"), (200, b"ok\n"))
        self.assertEqual(self.ask("GET", "/metrics"), (200, b"# HELP x\n"))
        self.assertEqual(self.ask("GET", "/readyz")[0], 503)
        self.assertEqual(self.ask("GET", "/v1/config/history")[0], 503)
        self.assertIn(b'"dropped":12', self.ask("GET", "/v1/events", qs="after=12")[1])
        self.assertEqual(self.ask("GET", "/v1/events", qs="after=-1")[0], 400)
        self.assertIn(b'["desk","a"]', self.ask("GET", "/v1/entries", qs="place=a&caller=desk")[1])
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
            self.assertEqual(self.ask("PUT", "/v1/config", json.encode(EDIT)), (0, b""))
            self.backend.pending.pop()(outcome)
            self.assertEqual(self.server.answers, [(status, json.encode(outcome))])
        self.assertEqual(self.backend.edits, [EDIT] * 4)

    @given(st.binary(max_size=40) | st.sampled_from([b'{"base_version": -1, "edit_id": "e", '
                                                     b'"author": "", "text": ""}']))  # fmt: skip
    def test_no_other_body_reaches_the_backend(self, body: bytes) -> None:
        self.assertEqual(self.ask("PUT", "/v1/config", body)[0], 400)
        self.assertEqual(self.backend.edits, [])
