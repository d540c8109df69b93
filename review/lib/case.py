"""Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.lib.fleet import Fleet
from review.lib.record import Record
from review.lib.store import Store

HOST = "pupu76.example"
LIMIT_S = 110.0
LIMITS = {
    "max_header_bytes": 8192,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CouldNotRunError(Exception):
    """What the case needs did not happen, so that it shows nothing."""


class Case:
    """The store, the nodes and the record of one run."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.store = Store("127.0.0.1")
        self.fleet = Fleet()
        self.broken: list[str] = []
        self.over = False
        """Whether the clients shall stop."""
        self._version = 3

    def put_configuration(
        self, routes: list[dict[str, object]], services: list[str], max_connections: int = 248
    ) -> float:
        """Writes the next version of the configuration; returns the time of its acknowledgement."""
        self._version += 2
        config = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "health_path": "/health", "max_connections": max_connections}
                for name in services
            ],
            "limits": LIMITS,
        }
        self.store.put("op/config", json.dumps(config).encode())
        return self.record.add("configuration", version=self._version, routes=routes)

    def broke(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.record.add("broken", text=text)


def route(name: str, prefix: str, service: str, kind: str = "idempotent") -> dict[str, object]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "service": service,
        "timeout_ms": 3001,
        "goal_ms": 339,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "priority": 2,
    }


def main(play: Callable[[Case], Awaitable[None]]) -> None:
    """Plays a case in the folder that is named on the command line, and exits."""
    folder = Path(sys.argv[1])
    sys.exit(asyncio.run(_run(play, folder)))


async def _run(play: Callable[[Case], Awaitable[None]], folder: Path) -> int:
    """Plays a case; returns the exit status. SIGTERM ends it, and all that it started."""
    case = Case(folder)
    logs = os.environ.get("KEEP_LOGS")
    task = asyncio.ensure_future(asyncio.wait_for(play(case), LIMIT_S))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await task
    except (Exception, asyncio.CancelledError) as exc:
        case.record.add("could not run", error=repr(exc))
        traceback.print_exc()
        return 2
    finally:
        await case.fleet.close(Path(logs) if logs else None)
        case.store.close()
        case.record.close()
    print(f"{len(case.broken)} times broken" + "".join(f"\n  {text}" for text in case.broken[:10]))
    return 1 if case.broken else 0
