"""Tests of `timeline`: the counts of each second, from log lines of several nodes."""

from __future__ import annotations

from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from sequoiapulley.cli.main import run
from sequoiapulley.cli.timeline_command import COLUMNS
from tests.test_explain import line


class TimelineTest(TestCase):
    """Lines of two nodes over three seconds."""

    def timeline(self, *lines: str, options: tuple[str, ...] = ()) -> tuple[int, list[str]]:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.log"
            path.write_text("".join(lines), encoding="utf-8")
            out = StringIO()
            with redirect_stdout(out):
                code = run(["timeline", str(path), *options])
        return code, out.getvalue().splitlines()

    def cells(self, row: str) -> dict[str, int]:
        """Returns the counts of a row, by column."""
        numbers = row.split()[1 : 1 + len(COLUMNS)]
        return {
            name: int(number)
            for name, number in zip(COLUMNS, numbers, strict=True)
            if number != "0"
        }

    def test_each_second_has_its_counts_and_notes(self) -> None:
        code, rows = self.timeline(
            line(100.0, "request_answered", id="r1", ms=80.0, target_ms=100),
            line(100.9, "request_answered", "n2", id="r2", ms=180.0, target_ms=100),
            line(100.5, "answer_partial", id="r2", lacking={}),
            line(100.2, "try_overdue", id="r1", outcome="hedged"),
            line(100.2, "try_overdue", id="r1", outcome="quota"),
            line(102.1, "request_given_up", id="r3", status=503, reason="no_upstream"),
            line(102.2, "request_given_up", "n2", id="r4", status=504, reason="timeout"),
            line(102.3, "upstream_leaves", upstream="u1"),
            line(102.3, "upstream_leaves", upstream="u2"),
            line(102.4, "store_lost", error="status 503"),
            "not a log line\n",
        )
        self.assertEqual((code, len(rows)), (0, 4))
        expected = {"answered": 2, "late": 1, "partial": 1, "hedged": 1}
        self.assertEqual(self.cells(rows[2]), expected)
        self.assertEqual(self.cells(rows[3]), {"refused": 1, "failed": 1, "upstreams out": 2})
        self.assertTrue(rows[3].endswith("no_upstream 1, store_lost 1, timeout 1"))
        self.assertEqual([row.split()[0] for row in rows[2:]], ["0.0", "2.0"])

    def test_width_of_an_interval(self) -> None:
        lines = [line(100.0 + at, "caller_left", id="r") for at in (0.0, 1.5, 2.5, 4.9)]
        _, rows = self.timeline(*lines, options=("--width", "5"))
        self.assertEqual(self.cells(rows[2]), {"left": 4})

    def test_logs_without_lines(self) -> None:
        code, rows = self.timeline("nothing\n")
        self.assertNotEqual(code, 0)
        self.assertEqual(rows, ["no log lines with a time"])
