"""A backend's own 503 to an order that it has run reaches the client as the promise not run."""

from __future__ import annotations

import random
import socket
import threading
import time
from pathlib import Path

from review.lib2.bed import HOST, Bed, Client, Reader, Record, Server, run_case, trouble

SERVICE = "orders"
FAIL_SHARE = 0.4
"""Share of the requests of one of the two backends that fail while it is impaired."""
FAIL_FOR_S = 6.5
CALM_S = 1.0
WORK_S = 0.02
WORKERS = 4
PAUSE_S = 0.05
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses with which a node promises that a request has not run."""
SEED = 5


class Backend:
    """A backend that runs orders; while it is impaired, some of them fail after they ran."""

    def __init__(self, name: str, record: Record) -> None:
        """Starts to listen."""
        self.name = name
        self.failing = False
        self.ran: set[str] = set()
        """Attempts on which it began to work."""
        self._record = record
        self._random = random.Random(SEED)
        self.server = Server(self._serve)

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while (request := reader.message()) is not None:
            attempt = request.headers["x-attempt-id"]
            self.ran.add(attempt)
            time.sleep(WORK_S)
            failed = self.failing and self._random.random() < FAIL_SHARE
            status = "503 Service Unavailable" if failed else "200 OK"
            body = b'{"error":"ledger unavailable"}' if failed else f"order {attempt}".encode()
            # There is no X-Not-Executed: the backend has run the request.
            head = (
                f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Server-Seal: {self.name}.{attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            sock.sendall(head.encode() + body)
            self._record.write(f"{self.name}: ran {attempt}, answered {status}")


def case(record: Record) -> bool:
    """Sends orders while a backend fails; returns whether no order that ran was refused."""
    bed = Bed(record)
    try:
        backends = [Backend(f"i-{number}", record) for number in range(2)]
        for backend in backends:
            bed.register(backend.name, SERVICE, backend.server)
        bed.store.put("op/config", configuration())
        bed.start_all()
        answers: dict[str, int] = {}
        lock = threading.Lock()
        done = threading.Event()

        def work(worker: int) -> None:
            client = Client(bed.nodes[worker % len(bed.nodes)])
            number = 0
            while not done.is_set():
                attempt = f"a{worker}-{number}"
                number += 1
                answer = client.request("POST", "/orders/new", attempt, b'{"tiles": 40}')
                with lock:
                    answers[attempt] = 0 if answer is None else answer.status
                seal = None if answer is None else answer.headers.get("x-server-seal")
                record.write(f"client: {attempt} got {answers[attempt]}, seal {seal}")
                time.sleep(PAUSE_S)
            client.close()

        threads = [threading.Thread(target=work, args=(n,), daemon=True) for n in range(WORKERS)]
        for thread in threads:
            thread.start()
        time.sleep(CALM_S)
        backends[0].failing = trouble()
        record.write(f"i-0 fails {FAIL_SHARE} of its requests: {trouble()}")
        time.sleep(FAIL_FOR_S)
        backends[0].failing = False
        time.sleep(CALM_S)
        done.set()
        for thread in threads:
            thread.join(5.0)
        ran = {attempt for backend in backends for attempt in backend.ran}
        broken = [one for one, status in answers.items() if status in PROMISES and one in ran]
        record.write(f"{len(answers)} orders, {len(broken)} ran and were refused as not run")
        for attempt in broken:
            record.write(f"refused though it ran: {attempt} got {answers[attempt]}")
        return not broken
    finally:
        bed.close()


def configuration() -> dict[str, object]:
    """Returns the operator's configuration."""
    route = {
        "name": "r-orders",
        "host": HOST,
        "prefix": "/orders/",
        "type": "non_idempotent",
        "timeout_ms": 3000,
        "goal_ms": 300,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    service = {"name": SERVICE, "health_path": "/health", "max_connections": 248}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
