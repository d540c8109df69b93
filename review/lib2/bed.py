"""A small deployment on loopback addresses: real nodes, a store, backends and clients.

The nodes are the processes of the deploy file. The store, the backends and the clients are
stand-ins that run in threads of the test. They do what the users' pages say of a sound store,
backend or client, and nothing else.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import random
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = {
    "burnaby-a": "lower-mainland",
    "nanaimo-a": "vancouver-island",
    "kelowna-a": "interior",
}
HOST = "pupu76.example"
START_TIMEOUT_S = 30.0
PAGE_ITEMS = 500
MIN_PORT = 20_000
MAX_PORT = 32_000
ETHERNET_SEGMENT_BYTES = 1460
"""Segment size of the connections to backends, as on a network; that of loopback is 64 KB."""
RESTART_DELAY_S = 0.2
"""Delay after which the platform starts a process again that has ended."""
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "sync_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 126,
    "recovery_s": 12,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case cannot run on this machine."""


def trouble() -> bool:
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Starts a new file in the case's folder."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


class HttpMessage:
    """A request or an answer that was read from a socket."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        """Stores the first line, the headers with lower-case names, and the body."""
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Starts with an empty buffer."""
        self._sock = sock
        self.buffer = b""

    def head(self) -> tuple[str, dict[str, str]] | None:
        """Reads the head of a message; returns None at the end of the stream."""
        while b"\r\n\r\n" not in self.buffer:
            data = self._sock.recv(65_536)
            if not data:
                return None
            self.buffer += data
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, size: int) -> bytes:
        """Reads `size` bytes.

        Raises:
            EOFError: If the stream ends before.
        """
        while len(self.buffer) < size:
            data = self._sock.recv(65_536)
            if not data:
                raise EOFError("the stream ended within a message")
            self.buffer += data
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def message(self) -> HttpMessage | None:
        """Reads one message with a length; returns None at the end of the stream."""
        found = self.head()
        if found is None:
            return None
        first, headers = found
        return HttpMessage(first, headers, self.exactly(int(headers.get("content-length", "0"))))


class Server:
    """Accepts connections and serves each one in a thread."""

    def __init__(
        self,
        serve: Callable[[socket.socket], None],
        host: str = "127.0.0.1",
        receive_bytes: int = 0,
    ) -> None:
        """Listens on a free port.

        Args:
            serve: Serves one connection until it ends.
            host: Loopback address.
            receive_bytes: Size of the receive buffers; 0 for the default.
        """
        self._serve = serve
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        if receive_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._sock.bind((host, 0))
        self._sock.listen(256)
        self.host, self.port = self._sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        """Accepts connections for as long as the test runs."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        """Serves one connection and closes it."""
        try:
            self._serve(sock)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            sock.close()

    def close(self) -> None:
        """Stops listening."""
        self._sock.close()


def reset(sock: socket.socket) -> None:
    """Resets a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Store:
    """The platform's store: keys, leases, a history and watches."""

    def __init__(self) -> None:
        """Starts to listen, without keys."""
        self._changed = threading.Condition()
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 1
        self._next_lease = 1
        self._server = Server(self._connection)
        self.address = f"127.0.0.1:{self._server.port}"
        threading.Thread(target=self._expire, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    def put(self, key: str, value: object) -> None:
        """Writes a key as the operator or a backend does."""
        with self._changed:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def delete(self, key: str) -> None:
        """Removes a key."""
        with self._changed:
            self._delete(key)

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "deleted": True})
            self._changed.notify_all()

    def _expire(self) -> None:
        while True:
            time.sleep(0.1)
            with self._changed:
                now = time.monotonic()
                for lease in [one for one, (_, end) in self._leases.items() if end < now]:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._delete(key)

    def _connection(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while (request := reader.message()) is not None:
            status, body = self._answer(request)
            data = json.dumps(body).encode()
            head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            sock.sendall(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)

    def _answer(self, request: HttpMessage) -> tuple[int, object]:
        method, target, _ = request.first.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(request.body) if request.body else {}
        if parts.path == "/kv-watch":
            return self._watch(query)
        with self._changed:
            if parts.path == "/kv-key":
                item = self._items.get(query.get("key", ""))
                if item is None:
                    return 404, {"at": self._revision}
                return 200, {**item, "at": self._revision}
            if parts.path == "/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
                page = [self._items[key] for key in keys[:PAGE_ITEMS]]
                more = len(keys) > len(page)
                return 200, {"items": page, "has_more": more, "at": self._revision}
            if method == "POST" and parts.path == "/kv-txn":
                return self._txn(body)
            if method == "POST" and parts.path == "/kv-lease":
                self._next_lease += 1
                ttl_s = body["ttl_ms"] / 1000
                self._leases[self._next_lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
            lease = int(parts.path.rpartition("/")[2] or 0)
            if parts.path.startswith("/kv-keep/") and lease in self._leases:
                ttl_s = self._leases[lease][0]
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            if parts.path.startswith("/kv-lease-end/") and lease in self._leases:
                self._end_lease(lease)
                return 200, {}
        return 404, {}

    def _txn(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, object]:
        for row in body.get("expected_rev", []):
            item = self._items.get(str(row["key"]))
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(str(put["key"]), str(put["value"]), int(str(put.get("lease") or 0)))
        for key in body.get("deletes", []):
            self._delete(str(key))
        return 200, {"revision": self._revision}

    def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after = int(query.get("after", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            while True:
                events = [
                    event
                    for event in self._events
                    if int(str(event["revision"])) > after
                    and str(event["key"]).startswith(query.get("prefix", ""))
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(left)


class Node:
    """A machine with one node process, which the platform starts again when it ends."""

    def __init__(self, number: int, zone: str, host: str, ports: dict[str, int]) -> None:
        """Stores the machine's name and addresses."""
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = host
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = Path()
        self.started_at = 0.0
        self.ends: list[tuple[float, int]] = []
        """Time since the start and exit code of each process that ended by itself."""

    def address(self, port: str) -> str:
        """Returns one of the machine's addresses as text."""
        return f"{self.host}:{self.ports[port]}"


class Bed:
    """The store and the nodes."""

    def __init__(self, record: Record, nodes: int = 3) -> None:
        """Creates the store and the settings of the nodes; starts no process."""
        self.record = record
        self.store = Store()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.restarts = False
        """Whether the platform starts processes again that have ended."""
        self._closed = False
        self._first_start = True
        network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        ports = _free_ports(network, nodes)
        zones = list(ZONES)
        self.nodes = [
            Node(number + 1, zones[number % len(zones)], f"{network}.{number + 1}", ports)
            for number in range(nodes)
        ]
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._command = str(tomllib.load(file)["roles"]["node"]["run"]).split()
        for node in self.nodes:
            node.settings = self.folder / f"{node.name}.toml"
            self.write_settings(node)
        threading.Thread(target=self._watch_processes, daemon=True).start()

    def write_settings(self, node: Node, **bounds: object) -> None:
        """Replaces the settings file of a node, with other bounds where they are given."""
        text = _settings(self, node, {**BOUNDS, **bounds}, self._first_start)
        new = node.settings.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(node.settings)

    def start(self, node: Node) -> None:
        """Starts the process of a node as the deploy file says."""
        env = {
            "SEQUOIAPULLEY_SETTINGS": str(node.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C"),
        }
        with (self.folder / f"{node.name}.log").open("ab") as log:
            node.started_at = time.monotonic()
            node.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.write(f"platform: started {node.name}")

    def start_all(self) -> None:
        """Starts all nodes and waits until each one says that it is ready."""
        for node in self.nodes:
            self.start(node)
        end = time.monotonic() + START_TIMEOUT_S
        for node in self.nodes:
            while not self.is_ready(node):
                if time.monotonic() > end:
                    raise CannotRunError(f"{node.name} did not become ready")
                time.sleep(0.05)
        self._first_start = False

    def is_ready(self, node: Node) -> bool:
        """Asks a node whether it is ready, as the platform does."""
        try:
            with socket.create_connection((node.host, node.ports["ready"]), 1.0) as sock:
                sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: n\r\n\r\n")
                message = Reader(sock).message()
                return message is not None and message.status == 200
        except (OSError, EOFError):
            return False

    def log_of(self, node: Node) -> str:
        """Returns what the processes of a node have written."""
        path = self.folder / f"{node.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def register(self, name: str, service: str, server: Server, zone: str = "burnaby-a") -> None:
        """Writes the entry of a backend into the store."""
        self.store.put(
            f"servers/{name}",
            {
                "service": service,
                "address": f"{server.host}:{server.port}",
                "zone": zone,
                "version": "v1",
                "max_concurrency": 2,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
                "born": int(time.time() * 1000),
            },
        )

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        self._closed = True
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        self.store.close()
        self._folder.cleanup()

    def _watch_processes(self) -> None:
        """Notes processes that end, and starts them again if that is asked for."""
        while not self._closed:
            time.sleep(0.01)
            for node in self.nodes:
                process = node.process
                if process is None or process.poll() is None or self._closed:
                    continue
                age = time.monotonic() - node.started_at
                node.process = None
                node.ends.append((age, process.returncode))
                self.record.write(
                    f"platform: {node.name} ended after {age:.3f} s, code {process.returncode}"
                )
                if self.restarts:
                    timer = threading.Timer(RESTART_DELAY_S, self._restart, (node,))
                    timer.daemon = True
                    timer.start()

    def _restart(self, node: Node) -> None:
        """Starts a process again after the delay."""
        if not self._closed and node.process is None:
            self.start(node)


class Client:
    """One client connection, kept for several requests."""

    def __init__(self, node: Node, timeout: float = 10.0) -> None:
        """Connects to a node."""
        self._sock = socket.create_connection((node.host, node.ports["front"]), timeout)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = Reader(self._sock)

    def request(
        self, method: str, path: str, attempt: str, body: bytes, deadline_ms: int = 3000
    ) -> HttpMessage | None:
        """Sends a request; returns the answer, or None if the connection ended without one."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        # The node may have answered and closed; what it sent can still be read then.
        with contextlib.suppress(OSError):
            self._sock.sendall(head.encode() + body)
        try:
            return self._reader.message()
        except (OSError, EOFError):
            return None

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()


def run_case(folder: Path, case: Callable[[Record], bool]) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if it cannot run."""
    record = Record(folder)
    try:
        held = case(record)
    except (CannotRunError, OSError) as exc:
        record.write(f"cannot run: {exc!r}")
        sys.exit(2)
    record.write("result: the rule held" if held else "result: the rule was broken")
    sys.exit(0 if held else 1)


def _free_ports(network: str, nodes: int) -> dict[str, int]:
    """Returns ports that are free on the addresses of all nodes."""
    names = ("front", "ready", "control", "directory", "internal")
    for _ in range(100):
        first = random.randrange(MIN_PORT, MAX_PORT)
        ports = {name: first + 20 * number for number, name in enumerate(names)}
        hosts = [f"{network}.{number + 1}" for number in range(nodes)]
        if all(_is_free(host, port) for host in hosts for port in ports.values()):
            return ports
    raise CannotRunError("no free ports")


def _is_free(host: str, port: int) -> bool:
    """Returns whether a port can be bound, for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def _settings(bed: Bed, node: Node, bounds: dict[str, object], first_start: bool) -> str:
    """Returns the text of a settings file as DEPLOY.md shows it."""
    seeds = ",".join(f'"{one.address("control")}"' for one in bed.nodes[:3])
    zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
    limits = "\n".join(f"{name} = {value}" for name, value in bounds.items())
    internal = node.ports["internal"]
    return f"""node_name = "{node.name}"
role = "node"
machine_class = "front"
serves = ["front","control","directory"]
ip = "{node.host}"
zone = "{node.zone}"
region = "{ZONES[node.zone]}"
internal_ports = [{internal},{internal + 15}]
seeds = [{seeds}]
initial_start = {str(first_start).lower()}
loss_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zones}
[listen_addrs]
front = "{node.address("front")}"
ready = "{node.address("ready")}"
control = "{node.address("control")}"
directory = "{node.address("directory")}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 222
max_fds = 1535
link_mbps = 350.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{limits}
[platform]
address = "{bed.store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""
