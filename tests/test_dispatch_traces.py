"""Replays tests/traces/dispatch-*.jsonl against the outcomes that they state."""

from __future__ import annotations

from unittest import TestCase

from tests.dispatch_replay import TRACES, TraceReplay


class DispatchTraceTest(TestCase):
    """One sub-test for each trace."""

    def test_every_trace(self) -> None:
        paths = sorted(TRACES.glob("dispatch-*.jsonl"))
        self.assertGreaterEqual(len(paths), 12)
        for path in paths:
            with self.subTest(path.name):
                TraceReplay(path).play()
