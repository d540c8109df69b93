"""Replays tests/traces/dispatch-*.jsonl and checks the outcomes listed in them."""

from __future__ import annotations

from unittest import TestCase

from tests.dispatch_replay import TRACES, TraceReplay


class DispatchTraceTest(TestCase):
    """Replays each trace in a sub-test."""

    def test_every_trace(self) -> None:
        paths = sorted(TRACES.glob("dispatch-*.jsonl"))
        self.assertGreaterEqual(len(paths), 12)
        for path in paths:
            with self.subTest(path.name):
                TraceReplay(path).play()
