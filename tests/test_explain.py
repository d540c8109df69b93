"""Tests of `explain`: the outcome of a request and its cause from log lines."""

from __future__ import annotations

from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec import json

from sequoiapulley.cli.explain_command import REASON_TEXTS
from sequoiapulley.cli.main import run
from sequoiapulley.forward.refusal import Reason


def line(at: float, name: str, node: str = "n1", **fields: object) -> str:
    """Returns one log line with the prefix that a log collector adds."""
    record = {"time": at, "node": node, "event": "SP2500", "name": name, **fields}
    return f"  12.5 {node} {json.encode(record).decode()}\n"


class ExplainTest(TestCase):
    """Summary of a request, and selection of the log lines that explain it."""

    def explain(self, request: str, *lines: str) -> tuple[int, str]:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.log"
            path.write_text("".join(lines), encoding="utf-8")
            out = StringIO()
            with redirect_stdout(out):
                code = run(["explain", request, str(path)])
        return code, out.getvalue()

    def test_answer_with_a_missing_shard(self) -> None:
        code, text = self.explain(
            "r1",
            line(11.0, "answer_partial", id="r1", parts=19, lacking={"s3": "failed_at_upstreams"}),
            line(10.9, "try_failed", id="r1", service="s3", upstream="u7", end="lost"),
            line(9.0, "upstream_leaves", upstream="u7", cause="entry removed"),
            line(9.0, "upstream_leaves", upstream="u8", cause="entry removed"),
            line(9.0, "upstream_leaves", "n2", upstream="u7", cause="entry removed"),
        )
        self.assertEqual(code, 0)
        self.assertLess(text.index("upstream_leaves"), text.index("try_failed"))
        self.assertEqual((text.count("u8"), text.count(" n2 ")), (0, 0))
        self.assertTrue(text.endswith("r1 was answered without s3 (failed_at_upstreams).\n"))

    def test_missing_shards_are_named_when_request_answered_follows(self) -> None:
        _, text = self.explain(
            "r1",
            line(11.0, "answer_partial", id="r1", parts=19, lacking={"s3": "expected_late"}),
            line(11.0, "request_answered", id="r1", status=200, ms=85.4),
        )
        self.assertTrue(
            text.endswith("r1 was answered 200 after 85.4 ms, without s3 (expected_late).\n")
        )

    def test_refused_request(self) -> None:
        _, text = self.explain(
            "r2",
            line(8.0, "store_lost", error="timeout"),
            line(9.0, "request_given_up", id="r2", reason="no_configuration", status=503),
        )
        self.assertIn("store_lost", text)
        self.assertIn("r2 got status 503: The node had no configuration yet", text)

    def test_request_that_failed_at_its_upstream(self) -> None:
        _, text = self.explain(
            "r3",
            line(8.0, "try_failed", id="r3", upstream="u1", end="malformed"),
            line(8.1, "request_given_up", id="r3", reason="failed_at_upstreams", status=502),
        )
        self.assertIn("status 502: Upstreams took the request and failed", text)

    def test_every_reason_has_a_sentence(self) -> None:
        self.assertEqual(set(REASON_TEXTS), {reason.value for reason in Reason})

    def test_unknown_request_and_malformed_lines(self) -> None:
        code, text = self.explain("r9", "{broken\n", "no json\n", '{"other": 1}\n')
        self.assertEqual(code, 6)
        self.assertIn("no line names r9", text)
