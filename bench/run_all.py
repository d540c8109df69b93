"""Runs the benchmarks one after another and stores their results.

`python -m bench.run_all [name ...]` runs the named benchmarks, or all of them. Every benchmark is
a module of this package with `run() -> dict`. Each runs in a separate process with a time limit;
its result is written to bench/results/<name>.json.
"""

from __future__ import annotations

import ast
import os
import sys
from collections.abc import Iterable
from datetime import UTC, datetime
from importlib import import_module
from pathlib import Path
from platform import python_version
from signal import SIGKILL
from subprocess import DEVNULL, PIPE, Popen, TimeoutExpired, run
from tempfile import TemporaryDirectory
from time import perf_counter
from typing import Any, Final

from msgspec import Struct, json

BENCH: Final = Path(__file__).resolve().parent
RESULTS: Final = BENCH / "results"
BENCHMARK_TIMEOUT_S: Final = 240.0
TOTAL_TIMEOUT_S: Final = 580.0
MAX_ERROR_CHARACTERS: Final = 300


class BenchResult(Struct, frozen=True, kw_only=True):
    """A benchmark's result and the conditions of its run."""

    name: str
    """Module of the benchmark, under `bench`."""
    command: str
    """Command that runs it alone."""
    commit: str
    """Commit of the tree, with `+changes` if files differed from the commit."""
    at: str
    """Time at the end of the run, in UTC."""
    python: str
    """Version of the interpreter."""
    cores: int
    """Number of processor cores of the machine."""
    load_before: float
    """Load average over one minute before the run."""
    load_after: float
    """Load average over one minute after the run."""
    seconds: float
    """Duration of the run."""
    result: Any
    """Return value of the module's `run`."""


class Failure(Struct, frozen=True):
    """A benchmark that produced no result."""

    name: str
    """Module of the benchmark."""
    reason: str
    """Why there is no result."""


def benchmark_names(folder: Path = BENCH) -> list[str]:
    """Lists the modules that define `run`, without importing them.

    Args:
        folder: Folder of the modules.

    Returns:
        Names, sorted.
    """
    names = []
    for path in sorted(folder.glob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        if any(isinstance(node, ast.FunctionDef) and node.name == "run" for node in tree.body):
            names.append(path.stem)
    return names


def commit_name() -> str:
    """Returns the commit of the tree, with `+changes` if files outside bench/results differ."""
    commit = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "--untracked-files=no", "--", ".", ":!bench/results")
    return f"{commit}+changes" if changed else commit


def run_benchmark(name: str, timeout_s: float, commit: str) -> BenchResult | Failure:
    """Runs one benchmark in a separate process group.

    Args:
        name: Module of the benchmark.
        timeout_s: Time after which the process group is killed, in seconds.
        commit: Commit of the tree, as stored with the result.

    Returns:
        Its result, or the reason why there is none.
    """
    load_before = os.getloadavg()[0]
    started = perf_counter()
    with TemporaryDirectory() as folder:
        target = Path(folder) / "result.json"
        child = Popen(
            [sys.executable, "-m", "bench.run_all", "--into", str(target), name],
            stdout=DEVNULL,
            stderr=PIPE,
            start_new_session=True,
            cwd=BENCH.parent,
        )
        try:
            _, errors = child.communicate(timeout=timeout_s)
        except TimeoutExpired:
            os.killpg(child.pid, SIGKILL)
            _, errors = child.communicate()
            return Failure(name, f"timed out after {timeout_s:.0f} s; {_tail(errors)}")
        if child.returncode != 0:
            return Failure(name, _tail(errors))
        result = json.decode(target.read_bytes())
    return BenchResult(
        name=name,
        command=f"python -m bench.run_all {name}",
        commit=commit,
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        python=python_version(),
        cores=os.cpu_count() or 1,
        load_before=round(load_before, 2),
        load_after=round(os.getloadavg()[0], 2),
        seconds=round(perf_counter() - started, 1),
        result=result,
    )


def store(result: BenchResult, folder: Path = RESULTS) -> None:
    """Writes a result to its file.

    Args:
        result: Result of a benchmark.
        folder: Folder of the results.
    """
    folder.mkdir(exist_ok=True)
    text = json.format(json.encode(result), indent=1) + b"\n"
    (folder / f"{result.name}.json").write_bytes(text)


def load(name: str, folder: Path = RESULTS) -> BenchResult:
    """Reads a stored result.

    Args:
        name: Module of the benchmark.
        folder: Folder of the results.

    Returns:
        The result.

    Raises:
        FileNotFoundError: The benchmark has no stored result.
    """
    return json.decode((folder / f"{name}.json").read_bytes(), type=BenchResult)


def flat_rows(value: Any, path: tuple[str, ...] = ()) -> Iterable[tuple[str, str]]:
    """Flattens a result into its figures.

    Args:
        value: A result or a part of one.
        path: Keys and list indices that lead to the part.

    Yields:
        The path joined by dots, and the formatted figure.
    """
    if isinstance(value, dict):
        for key, part in value.items():
            yield from flat_rows(part, (*path, str(key)))
        return
    if isinstance(value, list) and any(isinstance(part, dict | list) for part in value):
        for index, part in enumerate(value):
            yield from flat_rows(part, (*path, str(index)))
        return
    shown = f"{value:.6g}" if isinstance(value, float) else str(value)
    yield ".".join(path), shown


def run_all(names: list[str]) -> list[Failure]:
    """Runs benchmarks in turn, stores the results and prints them.

    Args:
        names: Modules of the benchmarks.

    Returns:
        The benchmarks without a result; their previously stored results are not changed.
    """
    commit = commit_name()
    started = perf_counter()
    failures = []
    for name in names:
        left = TOTAL_TIMEOUT_S - (perf_counter() - started)
        if left <= 0:
            failures.append(Failure(name, "not run: total time limit reached"))
            continue
        outcome = run_benchmark(name, min(BENCHMARK_TIMEOUT_S, left), commit)
        if isinstance(outcome, Failure):
            failures.append(outcome)
            print(f"\n{name}: FAILED: {outcome.reason}", flush=True)
            continue
        store(outcome)
        _show(outcome)
    passed = len(names) - len(failures)
    print(f"\n{passed} benchmarks stored, {len(failures)} failed, {perf_counter() - started:.0f} s")
    for failure in failures:
        print(f"  {failure.name}: {failure.reason}")
    return failures


def main(arguments: list[str]) -> int:
    """Runs the command line.

    Args:
        arguments: Names of benchmarks, or `--into FILE NAME` to run one benchmark in this process
            and write its result to a file.

    Returns:
        Exit code.
    """
    if arguments[:1] == ["--into"]:
        _, target, name = arguments
        result = import_module(f"bench.{name}").run()
        Path(target).write_bytes(json.encode(result))
        return 0
    known = benchmark_names()
    unknown = [name for name in arguments if name not in known]
    if unknown:
        print(f"unknown benchmark: {', '.join(unknown)}; known: {', '.join(known)}")
        return 2
    return 1 if run_all(arguments or known) else 0


def _show(result: BenchResult) -> None:
    load = f"load {result.load_before} to {result.load_after} on {result.cores} cores"
    print(f"\n{result.name}: {result.seconds} s, {load}, commit {result.commit}")
    for key, shown in flat_rows(result.result):
        print(f"  {key:<58} {shown}")
    sys.stdout.flush()


def _tail(errors: bytes) -> str:
    return errors.decode(errors="replace").strip()[-MAX_ERROR_CHARACTERS:]


def _git(*words: str) -> str:
    done = run(["git", *words], cwd=BENCH.parent, capture_output=True, text=True, check=False)
    return done.stdout.strip() or ("" if done.returncode == 0 else "unknown")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
