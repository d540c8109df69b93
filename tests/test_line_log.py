"""Tests of the log to standard output, which is rate-limited and never blocks."""

from __future__ import annotations

from os import close, pipe, read, set_blocking
from unittest import TestCase

from msgspec import json

from sequoiapulley.forward.log_events import CALLER_LEFT, NODE_STARTED
from sequoiapulley.observe.line_log import MAX_BUFFERED_BYTES, MAX_LINES_PER_SECOND, LineLog
from sequoiapulley.runtime import PausedClock


class LineLogTest(TestCase):
    """Tests with a pipe, from which the test reads the log lines."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.reader, self.writer = pipe()
        self.addCleanup(close, self.reader)
        self.partial_line = b""
        set_blocking(self.reader, False)
        self.log = LineLog(self.clock, "n1", self.writer)

    def lines(self) -> list[dict[str, object]]:
        try:
            self.partial_line += read(self.reader, 1_000_000)
        except BlockingIOError:
            return []
        complete, _, self.partial_line = self.partial_line.rpartition(b"\n")
        return [json.decode(line) for line in complete.splitlines()]

    def test_line_holds_time_node_event_and_fields(self) -> None:
        self.log.log(CALLER_LEFT, id="r1", ms=3.5)
        record = self.lines()[0]
        self.assertEqual(record["event"], CALLER_LEFT.code)
        self.assertEqual((record["node"], record["id"], record["ms"]), ("n1", "r1", 3.5))
        self.assertEqual(record["time"], self.clock.wall())

    def test_frequent_event_is_limited_and_others_are_logged(self) -> None:
        for _ in range(MAX_LINES_PER_SECOND + 25):
            self.log.log(CALLER_LEFT, id="r")
        self.log.log(NODE_STARTED)
        self.clock.advance(1.0)
        self.log.log(CALLER_LEFT, id="next")
        names = [record["name"] for record in self.lines()]
        self.assertEqual(names.count("caller_left"), MAX_LINES_PER_SECOND + 1)
        self.assertIn(NODE_STARTED.name, names)
        self.clock.advance(1.0)
        self.log.log(CALLER_LEFT, id="r")

    def test_full_pipe_does_not_block_and_buffer_is_bounded(self) -> None:
        for _ in range(200):
            self.clock.advance(1.0)
            for _ in range(20):
                self.log.log(CALLER_LEFT, id="x" * 200)
        self.assertLessEqual(len(self.log._buffer), MAX_BUFFERED_BYTES)
        first = len(self.lines())
        self.assertGreater(first, 10)
        self.clock.advance(1.0)
        self.log.log(NODE_STARTED)
        dropped = [record for record in self._drain() if record["name"] == "log_lines_left_out"]
        self.assertTrue(dropped)

    def _drain(self) -> list[dict[str, object]]:
        """Returns all remaining lines, and writes events until the buffer is empty."""
        found = self.lines()
        while self.log._buffer:
            self.clock.advance(1.0)
            self.log.log(NODE_STARTED)
            found.extend(self.lines())
        return found

    def test_closed_reader_raises_no_error(self) -> None:
        reader, writer = pipe()
        log = LineLog(self.clock, "n1", writer)
        close(reader)
        log.log(NODE_STARTED)
        log.log(NODE_STARTED)
        close(writer)
