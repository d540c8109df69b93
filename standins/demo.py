"""The demo: stand-ins and three nodes, searches, an order, a killed upstream and a killed node."""

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

TEXT: Final = Path(__file__).resolve().parent.parent / "examples" / "cedarline.json5"
NODES: Final = 3
SERVICE: Final = "planner-desk"
SEARCH_DEADLINE_MS: Final = 250
SEARCH_PERIOD_S: Final = 0.05
PHASE_S: Final = 2.0
RETRY_PAUSE_S: Final = 0.05
MAX_TRIES: Final = 40
WARM_UP_SEARCHES: Final = 20


class Row(Struct):
    """What the searches of one phase saw."""

    phase: str
    searches: int = 0
    lost: int = 0
    """Searches that no node answered."""
    full: int = 0
    """Answers that cover every shard."""
    worst_coverage: float = 1.0
    times_ms: list[float] = []
    mixed: int = 0
    """Answers whose covered and lacking shards are not the expected ones."""


class Caller:
    """A caller that asks for its addresses, keeps them, and goes to the next when one fails."""

    def __init__(self, fleet: LocalFleet) -> None:
        """Initialise without addresses.

        Args:
            fleet: The fleet to ask.
        """
        self._fleet = fleet
        self._ports: list[int] = []
        self._expires = 0.0

    def call(self, path: str, body: object, **headers: Any) -> tuple[int, Any] | None:
        """Calls one of the entry addresses.

        Returns:
            Status and body, or None if no address answered.
        """
        for attempt in range(MAX_TRIES):
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
        """Returns the ports to use, asking again when the answer's lifetime is over."""
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
    """Searches in a thread of its own, counted by phase."""

    def __init__(self, fleet: LocalFleet) -> None:
        """Initialise the load.

        Args:
            fleet: The fleet to search.
        """
        names = fleet.configuration.services
        closure = fleet.configuration.dependency_closure(
            next(name for name in names if name == SERVICE)
        )
        self._shards = {instance.shard for service in closure for instance in service.instances}
        self._caller = Caller(fleet)
        self._stop = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self.rows: list[Row] = []

    def begin(self, phase: str) -> None:
        """Counts from now on under another phase, and starts the thread at the first one."""
        self.rows.append(Row(phase))
        if not self._thread.is_alive():
            self._thread.start()

    def stop(self) -> None:
        """Ends the searches."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        """Searches until stopped."""
        number = 0
        while not self._stop.is_set():
            number += 1
            self.search_once(self.rows[-1], f"oak flooring {number}")
            sleep(SEARCH_PERIOD_S)

    def search_once(self, row: Row, query: str) -> None:
        """Searches once and counts what came."""
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
        lacking = {item["shard"] for item in answer["lacking"]}
        if covered | lacking != self._shards or covered & lacking:
            row.mixed += 1
        row.full += not lacking
        row.worst_coverage = min(row.worst_coverage, len(covered) / len(self._shards))


def main() -> int:
    """Runs the demo.

    Returns:
        0 if nothing was lost.
    """
    text = TEXT.read_text(encoding="utf-8")
    print(f"starting stand-ins and {NODES} nodes ...", flush=True)
    with local_fleet(text, NODES) as fleet:
        seen = fleet.wait_for_members(NODES)
        print(f"every node sees {NODES} live members after {seen:.1f} s")
        if _apply(fleet) != 0:
            return 1
        fleet.wait_until_ready()
        return _run(fleet)


def _run(fleet: LocalFleet) -> int:
    """Runs the phases and prints what happened."""
    load = SearchLoad(fleet)
    warm_up = Row("warm up")
    for number in range(WARM_UP_SEARCHES):
        load.search_once(warm_up, f"warm up {number}")
    load.begin("no fault")
    orders = Orders(fleet)
    orders.place("tile-1")
    orders.place("tile-1")
    sleep(PHASE_S)
    load.begin("one upstream down")
    fleet.upstreams.set_faults("planner-desk-01-a", down=True)
    sleep(PHASE_S)
    load.begin("store down")
    fleet.set_store_faults(down=True)
    orders.place("tile-2")
    sleep(PHASE_S)
    fleet.set_store_faults(down=False)
    load.begin("one node killed")
    fleet.kill(fleet.running()[-1])
    orders.place("tile-1")
    sleep(PHASE_S)
    load.begin("one node leaving")
    leaving = fleet.running()[-1]
    fleet.leave(leaving)
    sleep(PHASE_S * 2)
    load.begin("after")
    orders.place("tile-2")
    sleep(PHASE_S)
    load.stop()
    _print_rows([warm_up, *load.rows])
    code = leaving.process.wait(30)
    print(f"the leaving node ended with exit code {code}")
    doubled = orders.report()
    lost = sum(row.lost for row in load.rows)
    mixed = sum(row.mixed for row in load.rows)
    print(f"searches lost: {lost}, answers with untrue coverage: {mixed}, doubled runs: {doubled}")
    return 0 if lost == 0 and mixed == 0 and doubled == 0 and code == 0 else 1


class Orders:
    """Non-idempotent requests and what became of them."""

    def __init__(self, fleet: LocalFleet) -> None:
        """Initialise without orders."""
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
            How many keys ran more than once.
        """
        print(f"\n{'order':<10}{'status':>8}  {'state':<10}{'repeated':<10}reason")
        for key, status, body in self._outcomes:
            repeated = "yes" if body.get("repeated") else ""
            state = body.get("state", "")
            print(f"{key:<10}{status:>8}  {state:<10}{repeated:<10}{body.get('reason') or ''}")
        runs = self._fleet.upstreams.totals().runs
        print("runs counted by the upstreams:", ", ".join(f"{k}={v}" for k, v in runs.items()))
        return sum(1 for count in runs.values() if count > 1)


def _apply(fleet: LocalFleet) -> int:
    """Applies the text through the operators' command."""
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


def _print_rows(rows: list[Row]) -> None:
    """Prints one line for each phase."""
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
