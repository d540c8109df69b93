"""A nose2 plugin that prints a final line of counts and tolerates the tests in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

from nose2.events import Plugin

KNOWN_RED_FILE: Final = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_red(path: Path = KNOWN_RED_FILE) -> frozenset[str]:
    """Reads the ids of the tests that are known to fail.

    Args:
        path: A text file; each entry starts with `test: <dotted id>` on a line of its own.

    Returns:
        The dotted test ids; empty if the file does not exist.
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(line.removeprefix("test:").strip() for line in lines if line[:5] == "test:")


class Summary(Plugin):
    """Counts outcomes and prints `N passed, N failed` as the last line."""

    configSection = "summary"  # noqa: N815
    commandLineSwitch = (None, "summary", "Print one line of counts")  # noqa: N815

    def __init__(self) -> None:
        self.known_red = read_known_red()
        self.counts = {"passed": 0, "failed": 0, "skipped": 0}
        self.known_failures: list[str] = []

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Counts one outcome; a failure of a test in KNOWN-RED.txt is counted as skipped."""
        if event.outcome == "subtest" and event.exc_info is None:
            return
        if event.outcome == "skipped":
            self.counts["skipped"] += 1
            return
        if event.outcome == "passed" or (event.expected and event.outcome != "subtest"):
            self.counts["passed"] += 1
            return
        test_id = event.test.id()
        if test_id not in self.known_red:
            self.counts["failed"] += 1
            return
        event.expected = True
        self.known_failures.append(test_id)
        self.counts["skipped"] += 1

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802
        """Prints the known failures, then the counts."""
        for test_id in self.known_failures:
            event.stream.writeln(f"known red: {test_id}")
        event.stream.flush()
        counts = self.counts
        line = f"{counts['passed']} passed, {counts['failed']} failed"
        if counts["skipped"]:
            line += f", {counts['skipped']} skipped"
        print(line, flush=True)
