"""Replays every trace of searches and requests and compares the outcomes."""

from __future__ import annotations

from unittest import TestCase

from tests.trace_replay import TRACES, replay


class TracesTest(TestCase):
    """Every step of a trace has its expected outcome."""

    def test_every_trace_matches_its_expected_outcomes(self) -> None:
        for path in sorted([*TRACES.glob("search_*.jsonl"), *TRACES.glob("request_*.jsonl")]):
            with self.subTest(path.name):
                self.assertGreater(replay(path), 0)
