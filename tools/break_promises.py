"""Mutation checks: breaks the code behind each promise and reports the tests that detect it.

Each mutation is applied to a temporary copy of the tree.

`python -m tools.break_promises [number ...]`
"""

from __future__ import annotations

import sys
from os import environ
from pathlib import Path
from re import findall
from shutil import copytree, ignore_patterns
from subprocess import PIPE, STDOUT, TimeoutExpired
from subprocess import run as run_process
from tempfile import TemporaryDirectory
from typing import Final

from msgspec import Struct

from tools.forward_breaks import FORWARD_BREAKS
from tools.promise_break import Break

ROOT: Final = Path(__file__).resolve().parent.parent
TEST_TIMEOUT_S: Final = 120
COPIED_FOLDERS: Final = ("src", "tests", "tools", "standins", "bench", "examples", "docs", "soak")


BREAKS: Final = (
    Break(
        1,
        "upstream/outcomes.py",
        "if sub.snapshot is not None and reply.snapshot != sub.snapshot:",
        "if sub.snapshot is None and reply.snapshot != sub.snapshot:",
        ("test_dispatcher", "test_dispatch_traces", "test_replica_choice"),
    ),
    Break(
        1,
        "search/gather.py",
        "        if reply.snapshot != self.snapshot:\n",
        "        if False:\n",
        ("test_search_coordinator", "test_answer_promises"),
    ),
    Break(
        2,
        "search/home_service.py",
        "if reply.shard != target.shard:",
        "if False:",
        ("test_home_service", "test_answer_promises"),
    ),
    Break(
        2,
        "search/gather.py",
        "if reply.reason is not None or reply.snapshot is None:",
        "if reply.snapshot is None and reply.reason is None:",
        ("test_search_coordinator", "test_answer_promises", "test_traces"),
    ),
    Break(
        3,
        "upstream/http_contract.py",
        "if envelope.request_id != exchange_id:",
        "if False:",
        ("test_upstream_transport", "test_broken_replies", "test_upstream_path"),
    ),
    Break(
        3,
        "entry/connection_guard.py",
        "            conn.answering = True\n",
        "            conn.answering = False\n",
        ("test_callers_port",),
    ),
    Break(
        4,
        "upstream/outcomes.py",
        "frozenset({LossKind.NOT_SENT, LossKind.CONNECT_FAILED})",
        "frozenset({LossKind.NOT_SENT, LossKind.CONNECT_FAILED, LossKind.CONNECTION_LOST})",
        ("test_dispatcher", "test_dispatch_traces"),
    ),
    Break(
        4,
        "entry/callers_port.py",
        "if state is RunState.NOT_RUN and not outcome.key_checked:",
        "if state is RunState.NOT_RUN and outcome.key_checked is None:",
        ("test_callers_port",),
    ),
    Break(
        5,
        "requests/claim_acquirer.py",
        "        self._put(ABSENT)\n\n",
        "        self._done(ClaimWon(ABSENT))\n\n",
        ("test_request_coordinator", "test_request_promises"),
    ),
    Break(
        5,
        "requests/run_service.py",
        "if not self._window.admit(sender, order.incarnation, order.run_id):",
        "if self._window.admit(sender, order.incarnation, order.run_id) is None:",
        ("test_run_service", "test_request_promises"),
    ),
    Break(
        6,
        "upstream/dispatcher.py",
        "if draining and state.drain.on_signal(now):",
        "if draining and state.drain is None:",
        ("test_replica_choice", "test_dispatch_traces"),
    ),
    Break(
        6,
        "upstream/upstream_state.py",
        "            not self.drain.draining\n",
        "            True\n",
        ("test_replica_choice", "test_dispatch_traces", "test_dispatcher"),
    ),
    Break(
        7,
        "entry/connection_guard.py",
        "            if conn.idle:\n",
        "            if True:\n",
        ("test_callers_port",),
    ),
    Break(
        7,
        "daemon/leave_task.py",
        "if left and self._timers.clock.now() < self._deadline:",
        "if left and self._timers.clock.now() < 0:",
        ("test_leave_task",),
    ),
    Break(
        8,
        "fleet/config_replicator.py",
        "if record.rank <= current.rank:",
        "if record.rank == current.rank:",
        ("test_config_replicator",),
    ),
    Break(
        8,
        "fleet/config_editor.py",
        "if newest is not None and newest.version > edit.base_version:",
        "if newest is not None and newest.version < 0:",
        ("test_config_editor",),
    ),
    *FORWARD_BREAKS,
)


class Outcome(Struct, frozen=True):
    """Result of running the tests against one mutation."""

    number: int
    caught_by: tuple[str, ...]
    """Tests that failed; empty if no test detected the mutation."""
    timed_out: bool = False


def try_break(number: int, item: Break) -> Outcome:
    """Applies one mutation to a temporary copy of the tree and runs its tests.

    Args:
        number: Position in `BREAKS`, from 1.
        item: The mutation.

    Returns:
        The tests that failed, or that the run timed out.
    """
    with TemporaryDirectory(prefix="sequoiapulley-break-") as folder:
        copy = Path(folder)
        for name in COPIED_FOLDERS:
            copytree(ROOT / name, copy / name, ignore=ignore_patterns("__pycache__"))
        for name in ("unittest.cfg", "pyproject.toml"):
            (copy / name).write_bytes((ROOT / name).read_bytes())
        path = copy / "src" / "sequoiapulley" / item.module
        path.write_text(path.read_text().replace(item.original, item.replacement))
        return _run_tests(number, item, copy)


def _run_tests(number: int, item: Break, copy: Path) -> Outcome:
    """Runs the tests of a mutation in the mutated copy."""
    command = [sys.executable, "-m", "tools.run_tests", *item.tests]
    env = {**environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"}
    try:
        done = run_process(
            command, cwd=copy, env=env, stdout=PIPE, stderr=STDOUT, timeout=TEST_TIMEOUT_S
        )
    except TimeoutExpired:
        return Outcome(number, (), timed_out=True)
    failed = findall(r"(?:FAIL|ERROR): \S+ \(([\w.]+)\)", done.stdout.decode())
    return Outcome(number, tuple(dict.fromkeys(failed)))


def main(chosen: list[str]) -> int:
    """Tries the selected mutations and prints one line for each.

    Args:
        chosen: Numbers of the mutations, from 1; all if empty.

    Returns:
        0 if the tests detected every mutation, otherwise 1.
    """
    undetected = 0
    for number, item in enumerate(BREAKS, start=1):
        if chosen and str(number) not in chosen:
            continue
        outcome = try_break(number, item)
        undetected += not outcome.caught_by
        result = ", ".join(outcome.caught_by[:3]) or (
            "TIMED OUT" if outcome.timed_out else "NOT DETECTED"
        )
        print(f"{number:>2}  promise {item.promise}  {item.module:<32} {result}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
