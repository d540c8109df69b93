"""Demo: searches and orders on three nodes while upstreams, the store and nodes fail."""

from __future__ import annotations

import sys
from http.client import HTTPException
from pathlib import Path
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any, Final

from msgspec import Struct

from sequoiapulley.cli.main import run as run_command
from standins.http_call import HOST, http_json
from standins.local_fleet import LocalFleet, LocalNode, local_fleet

EXAMPLE_PATH: Final = Path(__file__).resolve().parent.parent / "examples" / "cedarline.json5"
NODES: Final = 3
SERVICE: Final = "planner-desk"
SEARCH_DEADLINE_MS: Final = 250
SEARCH_INTERVAL_S: Final = 0.05
PHASE_DURATION_S: Final = 2.0
RETRY_PAUSE_S: Final = 0.05
MAX_ATTEMPTS: Final = 40
WARM_UP_SEARCHES: Final = 20


class PhaseStats(Struct):
    """Statistics of the searches of one phase."""

    phase: str
    searches: int = 0
    lost: int = 0
    """Searches that received no answer from any node."""
    full: int = 0
    """Number of answers that cover every shard."""
    worst_coverage: float = 1.0
    times_ms: list[float] = []
    inconsistent: int = 0
    """Answers whose covered and missing shards are not a partition of the configured shards."""


class Caller:
    """A caller that caches its entry addresses and fails over to the next one on an error."""

    def __init__(self, fleet: LocalFleet) -> None:
        """Creates a caller without addresses.

        Args:
            fleet: Nodes to query for entry addresses.
        """
        self._fleet = fleet
        self._ports: list[int] = []
        self._expires = 0.0

    def call(self, path: str, body: object, **headers: Any) -> tuple[int, Any] | None:
        """Sends a POST request, trying the entry addresses in turn.

        Returns:
            Status and body, or None if every attempt failed.
        """
        for attempt in range(MAX_ATTEMPTS):
            ports = self._addresses()
            if not ports:
                sleep(RETRY_PAUSE_S)
                continue
            try:
                return http_json(ports[attempt % len(ports)], "POST", path, body, **headers)
            except (OSError, HTTPException):
                if attempt % len(ports) == len(ports) - 1:
                    self._expires = 0.0
        return None

    def _addresses(self) -> list[int]:
        """Returns the entry ports; queries the nodes again after the entry lifetime."""
        if monotonic() < self._expires:
            return self._ports
        for node in self._fleet.running():
            try:
                status, answer = http_json(
                    node.ports.callers, "GET", "/v1/entries?caller=demo", timeout=2.0
                )
            except (OSError, HTTPException):
                continue
            if status == 200 and answer["addresses"]:
                self._ports = [address["port"] for address in answer["addresses"]]
                self._expires = monotonic() + answer["lifetime_s"]
                break
        return self._ports


class SearchLoad:
    """Sends searches from a background thread and collects statistics per phase."""

    def __init__(self, fleet: LocalFleet) -> None:
        """Creates a load generator that is not started.

        Args:
            fleet: Fleet that receives the searches.
        """
        names = fleet.configuration.services
        closure = fleet.configuration.dependency_closure(
            next(name for name in names if name == SERVICE)
        )
        self._shards = {instance.shard for service in closure for instance in service.instances}
        self._caller = Caller(fleet)
        self._stop = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self.rows: list[PhaseStats] = []

    def begin_phase(self, phase: str) -> None:
        """Starts a new phase, and the thread if this is the first one."""
        self.rows.append(PhaseStats(phase))
        if not self._thread.is_alive():
            self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        """Sends searches until `stop` is called."""
        number = 0
        while not self._stop.is_set():
            number += 1
            self.search_once(self.rows[-1], f"oak flooring {number}")
            sleep(SEARCH_INTERVAL_S)

    def search_once(self, row: PhaseStats, query: str) -> None:
        """Sends one search and adds its result to the statistics of a phase."""
        body = {"query": query, "deadline_ms": SEARCH_DEADLINE_MS}
        start = monotonic()
        reply = self._caller.call(f"/v1/services/{SERVICE}/search", body)
        row.searches += 1
        if reply is None:
            row.lost += 1
            return
        answer = reply[1]
        row.times_ms.append((monotonic() - start) * 1_000)
        covered = set(answer["covered"])
        missing = {item["shard"] for item in answer["lacking"]}
        if covered | missing != self._shards or covered & missing:
            row.inconsistent += 1
        row.full += not missing
        row.worst_coverage = min(row.worst_coverage, len(covered) / len(self._shards))


def main() -> int:
    """Runs the demo.

    Returns:
        0 if no check failed, otherwise 1.
    """
    text = EXAMPLE_PATH.read_text(encoding="utf-8")
    print(f"starting stand-ins and {NODES} nodes ...", flush=True)
    with local_fleet(text, NODES) as fleet:
        waited_s = fleet.wait_for_members(NODES)
        print(f"every node sees {NODES} live members after {waited_s:.1f} s")
        if _apply_configuration(fleet) != 0:
            return 1
        fleet.wait_until_ready()
        return _run_phases(fleet)


def _run_phases(fleet: LocalFleet) -> int:
    """Runs the phases and prints the results."""
    load = SearchLoad(fleet)
    warm_up = PhaseStats("warm up")
    for number in range(WARM_UP_SEARCHES):
        load.search_once(warm_up, f"warm up {number}")
    load.begin_phase("no fault")
    orders = Orders(fleet)
    orders.place("tile-1")
    orders.place("tile-1")
    sleep(PHASE_DURATION_S)
    load.begin_phase("one upstream down")
    fleet.upstreams.set_faults("planner-desk-01-a", down=True)
    sleep(PHASE_DURATION_S)
    load.begin_phase("store down")
    fleet.set_store_faults(down=True)
    orders.place("tile-2")
    sleep(PHASE_DURATION_S)
    fleet.set_store_faults(down=False)
    load.begin_phase("one node killed")
    fleet.kill(fleet.running()[-1])
    orders.place("tile-1")
    sleep(PHASE_DURATION_S)
    load.begin_phase("one node leaving")
    shutting_down = fleet.running()[-1]
    fleet.request_shutdown(shutting_down)
    sleep(PHASE_DURATION_S * 2)
    load.begin_phase("after")
    orders.place("tile-2")
    sleep(PHASE_DURATION_S)
    load.stop()
    _print_rows([warm_up, *load.rows])
    code = shutting_down.process.wait(30)
    print(f"the leaving node ended with exit code {code}")
    doubled = orders.report()
    lost = sum(row.lost for row in load.rows)
    untrue = sum(row.inconsistent for row in load.rows)
    print(f"searches lost: {lost}, answers with untrue coverage: {untrue}, doubled runs: {doubled}")
    return 0 if lost == 0 and untrue == 0 and doubled == 0 and code == 0 else 1


class Orders:
    """Sends non-idempotent requests (orders) and records their outcomes."""

    def __init__(self, fleet: LocalFleet) -> None:
        """Creates an object without orders."""
        self._fleet = fleet
        self._caller = Caller(fleet)
        self._outcomes: list[tuple[str, int, Any]] = []

    def place(self, key: str) -> None:
        """Sends one order with an idempotency key."""
        path = f"/v1/services/{SERVICE}/requests"
        reply = self._caller.call(path, {"order": key, "boxes": 12}, Idempotency_Key=key)
        status, body = reply if reply is not None else (0, {"state": "no answer"})
        self._outcomes.append((key, status, body))

    def report(self) -> int:
        """Prints the outcomes.

        Returns:
            Number of keys whose request ran more than once.
        """
        print(f"\n{'order':<10}{'status':>8}  {'state':<10}{'repeated':<10}reason")
        for key, status, body in self._outcomes:
            repeated = "yes" if body.get("repeated") else ""
            state = body.get("state", "")
            print(f"{key:<10}{status:>8}  {state:<10}{repeated:<10}{body.get('reason') or ''}")
        runs = self._fleet.upstreams.totals().runs
        print("runs counted by the upstreams:", ", ".join(f"{k}={v}" for k, v in runs.items()))
        return sum(1 for count in runs.values() if count > 1)


def _apply_configuration(fleet: LocalFleet) -> int:
    """Applies the configuration with the `sequoiapulley config apply` command."""
    path = fleet.folder / "text.json5"
    path.write_text(fleet.text, encoding="utf-8")
    node: LocalNode = fleet.running()[0]
    address = f"{HOST}:{node.ports.operators}"
    print(f"$ sequoiapulley config apply text.json5 --node {address}", flush=True)
    with (fleet.folder / "apply.out").open("w+", encoding="utf-8") as out:
        stdout, sys.stdout = sys.stdout, out
        try:
            code = run_command(["config", "apply", str(path), "--node", address])
        finally:
            sys.stdout = stdout
        out.seek(0)
        lines = out.read().splitlines()
    print("\n".join(lines[-4:]))
    return code


def _print_rows(rows: list[PhaseStats]) -> None:
    """Prints a table with one line per phase."""
    heads = ("phase", "searches", "lost", "full", "worst", "p50 ms", "p99 ms", "max ms")
    print("\n" + heads[0].ljust(20) + "".join(head.rjust(10) for head in heads[1:]))
    for row in rows:
        times = sorted(row.times_ms) or [0.0]
        cells = (
            str(row.searches),
            str(row.lost),
            str(row.full),
            f"{row.worst_coverage:.1%}",
            f"{times[len(times) // 2]:.1f}",
            f"{times[int(len(times) * 0.99)]:.1f}",
            f"{times[-1]:.1f}",
        )
        print(row.phase.ljust(20) + "".join(cell.rjust(10) for cell in cells))


if __name__ == "__main__":
    sys.exit(main())
