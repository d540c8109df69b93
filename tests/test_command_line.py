"""Tests of the command-line tool against fake nodes on loopback."""

from __future__ import annotations

import contextlib
import io
import re
import tempfile
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from unittest import TestCase
from xml.etree import ElementTree

from msgspec import Struct, json
from msgspec.structs import replace

from sequoiapulley.cli.exit_code import ExitCode
from sequoiapulley.cli.main import run
from sequoiapulley.cli.status_command import FleetStatus
from sequoiapulley.entry.callers_messages import (
    EntriesView,
    EntryView,
    MissingShardView,
    SearchView,
)
from sequoiapulley.entry.error_messages import ErrorBody, ErrorDetail
from sequoiapulley.entry.operators_messages import (
    ConfigView,
    EditAccepted,
    EditRefused,
    EditRequest,
    EditUnavailable,
    EventsView,
    MemberView,
    StatusView,
)
from sequoiapulley.ids import (
    ConfigVersion,
    ContractName,
    EditId,
    FailureDomainName,
    NodeId,
    RegionName,
    ServiceName,
    WorkspaceName,
)
from sequoiapulley.model.service import Service
from sequoiapulley.observe.burn import BurnRecorder
from sequoiapulley.observe.burn_report import BurnReport
from sequoiapulley.observe.event_ring import EventRecord
from sequoiapulley.runtime import PausedClock
from tools.write_examples import EXAMPLES

OLD = '{"customer": "old"}\n'
EXAMPLE = str(EXAMPLES / "cedarline.json5")


class FakeNode:
    """HTTP server on loopback whose answers are set through its attributes."""

    def __init__(self, name: str) -> None:
        self.name = NodeId(name)
        self.version = ConfigVersion(3)
        self.members: tuple[MemberView, ...] = ()
        self.edit_answer: tuple[int, Struct] = (200, EditAccepted(ConfigVersion(4)))
        self.edits: list[EditRequest] = []
        self.drop_edits = False
        self.answers: dict[str, tuple[int, object]] = {}
        node = self

        class Handler(BaseHTTPRequestHandler):
            """Sends the configured answers."""

            def do_GET(self) -> None:
                self._send(*node.get(self.path))

            def do_PUT(self) -> None:
                body = self.rfile.read(int(self.headers["Content-Length"]))
                node.edits.append(json.decode(body, type=EditRequest))
                if node.drop_edits:
                    return
                self._send(*node.edit_answer)

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers["Content-Length"]))
                self._send(*node.get(self.path))

            def _send(self, status: int, message: object) -> None:
                body = json.encode(message)
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                """Discards the access log."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.thread = Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    def get(self, path: str) -> tuple[int, object]:
        if path in self.answers:
            return self.answers[path]
        if path == "/v1/config":
            return 200, ConfigView(self.version, EditId("e"), "ana", 1.0, OLD)
        if path == "/v1/status":
            return 200, StatusView(
                self.name,
                WorkspaceName("c"),
                self.version,
                5.0,
                self.members,
                0,
                4,
                True,
                self.address,
            )
        return 404, {"error": {"code": "not_found", "message": f"no {path}"}}

    def member(self, state: str = "alive") -> MemberView:
        return MemberView(
            self.name, state, FailureDomainName("p"), RegionName("r"), self.address, self.version
        )

    def close(self) -> None:
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


@contextlib.contextmanager
def fake_nodes(*names: str) -> Iterator[list[FakeNode]]:
    """Starts nodes whose member lists contain all of them, and stops them at exit."""
    nodes = [FakeNode(name) for name in names]
    for node in nodes:
        node.members = tuple(other.member() for other in nodes)
    try:
        yield nodes
    finally:
        for node in nodes:
            node.close()


def call(*tokens: str) -> tuple[int, str, str]:
    """Runs a command and returns its exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run(tokens)
    return code, out.getvalue(), err.getvalue()


class ConfigCommandsTest(TestCase):
    """Check, show and apply a configuration text."""

    def test_check_prints_findings_with_their_position(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json5") as file:
            file.write('{"customer": "c",\n "places": {}, "contracts": {}, "services": {}, "x": 1}')
            file.flush()
            code, out, _ = call("config", "check", file.name)
            self.assertEqual(code, ExitCode.FINDINGS)
            self.assertIn(f'{file.name}:2:49: unknown key "x"', out)
            code, out, _ = call("config", "check", file.name, "--json")
            self.assertEqual(json.decode(out)["findings"][0]["line"], 2)
        self.assertEqual(call("config", "check", EXAMPLE)[0], ExitCode.OK)
        code, _, err = call("config", "check", "/nonexistent")
        self.assertEqual((code, "cannot read file" in err), (ExitCode.USAGE, True))

    def test_show_tries_the_next_node(self) -> None:
        with fake_nodes("n1") as [node]:
            code, out, _ = call("config", "show", "--node", "127.0.0.1:1", "--node", node.address)
            self.assertEqual((code, out), (ExitCode.OK, f"// version 3\n{OLD}"))
            code, _, err = call("config", "show", "--node", "127.0.0.1:1", "--json")
            self.assertEqual(code, ExitCode.UNREACHABLE)
            self.assertIn("127.0.0.1:1", json.decode(err)["error"]["message"])

    def test_apply_waits_for_live_nodes_and_names_those_that_lag(self) -> None:
        with fake_nodes("n1", "n2", "n3") as nodes:
            nodes[0].members = (nodes[0].member(), nodes[1].member(), nodes[2].member("dead"))
            nodes[0].version = ConfigVersion(4)
            arguments = ("config", "apply", EXAMPLE, "--node", nodes[0].address, "--base", "3")
            code, out, _ = call(*arguments, "--wait", "0.2")
            self.assertEqual(code, ExitCode.LAGGING)
            self.assertIn(f"n2 at {nodes[1].address}: has version 3", out)
            self.assertNotIn("n3", out)
            self.assertIn('-{"customer": "old"}', out)
            nodes[1].version = ConfigVersion(5)
            code, out, _ = call(*arguments)
            self.assertEqual(code, ExitCode.OK)
            self.assertIn("version 4 is in force on 2 nodes after", out)
            self.assertEqual([edit.base_version for edit in nodes[0].edits], [3, 3])
            self.assertEqual(nodes[0].edits[0].text, Path(EXAMPLE).read_text(encoding="utf-8"))

    def test_apply_reads_its_base_version_from_the_first_line(self) -> None:
        text = Path(EXAMPLE).read_text(encoding="utf-8")
        with fake_nodes("n1") as [node], tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "now.json5")
            arguments = ("config", "apply", str(file), "--wait", "0", "--node", node.address)
            for content, more in (
                (f"// version 2\n{text}", ()),
                (f"// version 2\n{text}", ("--base", "1")),
                (text, ()),
            ):
                file.write_text(content, encoding="utf-8")
                self.assertEqual(call(*arguments, *more)[0], ExitCode.OK)
            self.assertEqual([edit.base_version for edit in node.edits], [2, 1, 3])
            self.assertEqual({edit.text for edit in node.edits}, {text})

    def test_apply_shows_the_difference_to_a_conflicting_edit(self) -> None:
        with fake_nodes("n1") as [node]:
            other = ConfigView(ConfigVersion(9), EditId("x"), "bo", 1.0, '{"customer": "other"}\n')
            node.edit_answer = (409, EditRefused(other))
            code, _, err = call("config", "apply", EXAMPLE, "--node", node.address)
            self.assertEqual(code, ExitCode.CONFLICT)
            self.assertIn("bo edited first: version 9 is in force", err)
            self.assertIn('+{"customer": "other"}', err)
            self.assertIn("--base 9", err)

    def test_apply_prints_the_retry_command_after_a_server_error(self) -> None:
        with fake_nodes("n1") as [node]:
            for status, answer, code in (
                (503, EditUnavailable(True, "timeout"), ExitCode.UNREACHABLE),
                (503, EditUnavailable(False, "timeout"), ExitCode.UNKNOWN),
                (500, ErrorBody(ErrorDetail("internal", "failed")), ExitCode.UNKNOWN),
            ):
                node.edit_answer = (status, answer)
                arguments = ("config", "apply", EXAMPLE, "--node", node.address)
                actual, _, err = call(*arguments, "--edit-id", "e77")
                self.assertEqual(actual, code)
                self.assertIn("--edit-id e77 --base 3", err)

    def test_apply_reports_an_unanswered_edit_as_unknown(self) -> None:
        with fake_nodes("n1") as [node]:
            node.drop_edits = True
            arguments = ("config", "apply", EXAMPLE, "--edit-id", "e78", "--node", node.address)
            code, _, err = call(*arguments)
            self.assertEqual((code, len(node.edits)), (ExitCode.UNKNOWN, 1))
            self.assertIn("--edit-id e78 --base 3", err)


class StatusCommandTest(TestCase):
    """State of a node and versions of its members."""

    def test_status_queries_every_live_member(self) -> None:
        with fake_nodes("n2", "n1", "n3") as nodes:
            nodes[0].version = nodes[1].version = ConfigVersion(4)
            dead = replace(nodes[2].member("dead"), node=NodeId("n0"), address="127.0.0.1:1")
            nodes[0].members += (dead,)
            code, out, _ = call("status", "--node", nodes[0].address)
            self.assertEqual(code, ExitCode.OK)
            self.assertIn("node n2 of c, up 5 s\nconfiguration version 4; store reachable", out)
            self.assertIn("behind version 4: n3\n", out)
            unreachable = replace(nodes[2].member(), node=NodeId("n9"), address="127.0.0.1:1")
            nodes[0].members += (unreachable,)
            code, out, _ = call("status", "--node", nodes[0].address)
            self.assertEqual(code, ExitCode.PARTIAL)
            self.assertIn("MISSING n9 at 127.0.0.1:1: no answer", out)
            _, out, _ = call("status", "--node", nodes[0].address, "--json")
            fleet = json.decode(out, type=FleetStatus)
            versions = [(member.node, member.config_version) for member in fleet.asked.members]
            self.assertEqual(versions, [("n0", 3), ("n1", 4), ("n2", 4), ("n3", 3), ("n9", 3)])

    def test_wrong_usage(self) -> None:
        self.assertEqual(call("status", "--bogus")[0], ExitCode.USAGE)
        self.assertEqual(call("nonsense")[0], ExitCode.USAGE)


class CallersCommandsTest(TestCase):
    """Entry addresses and searches."""

    def test_entries(self) -> None:
        with fake_nodes("n1") as [node]:
            entry = EntryView("10.0.0.5", 9100, NodeId("n1"), FailureDomainName("p"))
            path = "/v1/entries?caller=ctx&place=p"
            node.answers[path] = (200, EntriesView((entry,), 30.0))
            code, out, _ = call(
                "entries", "--caller", "ctx", "--place", "p", "--node", node.address
            )
            self.assertEqual(code, ExitCode.OK)
            self.assertIn("10.0.0.5:9100  n1    p", out)

    def test_search_lists_missing_shards(self) -> None:
        with fake_nodes("n1") as [node]:
            view = SearchView(
                "r1", "1.2", False, ("s-1",), (MissingShardView("s-2", "deadline"),), (), 9.5
            )
            node.answers["/v1/services/s/search"] = (200, view)
            arguments = ("search", "s", "tile", "--node", node.address)
            code, out, _ = call(*arguments)
            self.assertEqual(code, ExitCode.PARTIAL)
            self.assertIn("INCOMPLETE: 1 of 2 shards at snapshot 1.2", out)
            self.assertIn("lacking s-2: deadline", out)
            code, out, _ = call(*arguments, "--json", "--callers", node.address)
            self.assertEqual(json.decode(out, type=SearchView), view)
            code, _, err = call("search", "ghost", "tile", "--node", node.address)
            self.assertEqual((code, "no /v1/services/ghost/search" in err), (ExitCode.USAGE, True))


class EventsCommandTest(TestCase):
    """Log events of a node."""

    def test_events_are_one_line_each(self) -> None:
        with fake_nodes("n1") as [node]:
            record = EventRecord(7, 0.0, "SP1001", "node_started", "info", {"node": "n1"})
            node.answers["/v1/events?after=5"] = (200, EventsView(node.name, (record,), 1))
            code, out, _ = call("events", "--after", "5", "--node", node.address)
            self.assertEqual(code, ExitCode.OK)
            self.assertIn("1970-01-01 00:00:00 INFO    SP1001 node_started node=n1", out)


class BurnCommandTest(TestCase):
    """Burn report when some nodes do not answer."""

    def test_lists_unresponsive_nodes_and_merges_the_others(self) -> None:
        service = Service(ServiceName("s<b>"), ContractName("k"), ())
        with fake_nodes("n1", "n2", "n3") as nodes, tempfile.TemporaryDirectory() as folder:
            for node in nodes[:2]:
                recorder = BurnRecorder(node.name, PausedClock())
                recorder.configure([service])
                recorder.record_search(service.name, 0.02, False, True)
                node.answers["/v1/burn"] = (200, recorder.node_report())
            page = Path(folder, "burn.html")
            arguments = ("report", "burn", "--node", nodes[0].address)
            code, out, _ = call(*arguments, "--html", str(page))
            self.assertEqual(code, ExitCode.PARTIAL)
            self.assertIn("MISSING n3", out)
            self.assertRegex(out, r"s<b> +in time +99% +-9900.0% +100.00 .* page: over 14.4x")
            self.assertRegex(out, r"s<b> +5m +2 +20\.")
            text = page.read_text(encoding="utf-8")
            self.assertIn("MISSING n3", text)
            self.assertNotIn("s<b>", text)
            plots = re.findall(r"<svg.*?</svg>", text)
            self.assertEqual([ElementTree.fromstring(plot).tag[-3:] for plot in plots], ["svg"] * 2)
            _, out, _ = call(*arguments, "--json")
            self.assertEqual(json.decode(out, type=BurnReport).nodes, ("n1", "n2"))
