"""Stand-in of the platform's metadata store, with fault injection."""

from __future__ import annotations

import builtins
from argparse import ArgumentParser
from asyncio import AbstractEventLoop, get_running_loop, sleep, wait_for
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from signal import SIG_BLOCK, SIGINT, SIGTERM, pthread_sigmask
from typing import Final

from msgspec import Struct, json, structs

from standins.http_server import Request, Response, reply_json
from standins.kv_state import Item, KvState
from standins.thread_host import Listener, ThreadHost, serve

FAULTS_PATH: Final = "/control/faults"
SAVE_PATH: Final = "/control/save"
RESTORE_PATH: Final = "/control/restore"
FORGET_PATH: Final = "/control/forget"
"""Compacts the history."""
PUT_PATH: Final = "/control/put"
COUNTERS_PATH: Final = "/control/counters"
ERA_HEADER: Final = "store-era"
OMIT_ERA: Final = "omit"
MAX_VALUE_BYTES: Final = 1_048_576
PAGE_ITEMS: Final = 50
PAGE_BYTES: Final = 1_048_576
"""Size from which a page ends, in bytes of encoded values."""
MS_PER_S: Final = 1000.0
WRITE_PATHS: Final = frozenset({"/kv-txn", "/kv-lease"})


class StoreFaults(Struct):
    """Active fault settings of the store."""

    down: bool = False
    """Refuse every call with status 503, or with `refuse_with` if that is set."""
    unreachable: bool = False
    """Reset the connection of every call without a reply and without applying the call."""
    slow_ms: float = 0.0
    """Delay before each call is processed."""
    lose_replies: int = 0
    """Number of upcoming successful transactions and lease grants that are applied but whose reply
    is dropped."""
    era_text: str = ""
    """Value of the era header of each reply instead of the era, if set; `OMIT_ERA` for none."""
    stale_lags: tuple[int, int] = (0, 0)
    """Numbers of revisions by which the replicas of stale reads lag: that of first pages, and that
    of further ones."""
    refuse_with: int = 0
    """Status with which every call is refused, or 0 to serve calls."""


class _Condition(Struct):
    """Precondition of a transaction: the expected revision of a key."""

    key: str
    revision: int


class _Txn(Struct):
    """Request body of a transaction."""

    expected_rev: list[_Condition] = []
    puts: list[Item] = []
    deletes: list[str] = []


class _LeaseBody(Struct):
    """Request body of a lease grant."""

    ttl_ms: float


class StoreService:
    """Serves the store's HTTP API and its control endpoints."""

    def __init__(self, host: str, port: int) -> None:
        """Creates a service that does not listen yet."""
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.state = KvState()
        self.listener = Listener(self.answer, host, port)
        self.view_listener = Listener(self._answer_view, host, 0)
        self.view: Callable[[str, bytes], bytes] | None = None
        """Returns the value of a key as readers of the second port see it; there is no such port
        without it."""
        self._loop: AbstractEventLoop | None = None

    async def open(self) -> None:
        """Opens the listening sockets."""
        self._loop = get_running_loop()
        await self.listener.open(self._loop)
        if self.view is not None:
            await self.view_listener.open(self._loop)

    async def close(self) -> None:
        """Stops listening and resets every connection."""
        self.listener.close()
        self.view_listener.close()

    async def _answer_view(self, request: Request) -> Response:
        """Answers one call of the second port."""
        response = await self.answer(request)
        if response.status != 200 or request.method != "GET" or self.view is None:
            return response
        body = json.decode(response.body)
        for item in (*body.get("items", ()), *body.get("events", ())):
            if not item.get("deleted"):
                value = self.view(item["key"], b64decode(item["value"]))
                item["value"] = b64encode(value).decode()
        return structs.replace(response, body=json.encode(body))

    async def answer(self, request: Request) -> Response:
        """Answers one call, applying the faults; every reply states the era."""
        response = await self._answer(request)
        if self.faults.era_text == OMIT_ERA:
            return response
        era = (ERA_HEADER, self.faults.era_text or str(self.state.era))
        return structs.replace(response, headers=(*response.headers, era))

    async def _answer(self, request: Request) -> Response:
        """Answers one call, applying the faults."""
        if request.path.startswith("/control/"):
            return self._control(request)
        self.calls[request.path.split("/")[1]] += 1
        if self.faults.slow_ms:
            await sleep(self.faults.slow_ms / MS_PER_S)
        if self.faults.unreachable:
            return Response(0, drop=True)
        if self.faults.down or self.faults.refuse_with:
            return reply_json(self.faults.refuse_with or 503, {"error": "refused"})
        self.state.expire(self._now())
        response = await self._serve(request)
        is_write = request.path in WRITE_PATHS
        if is_write and response.status == 200 and self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return Response(0, drop=True)
        return response

    async def _serve(self, request: Request) -> Response:
        """Executes one call of the store's API."""
        method, path = request.method, request.path
        if (method, path) == ("GET", "/kv-key"):
            item = self.state.items.get(request.query.get("key", ""))
            if item is None:
                return reply_json(404, {"at": self.state.revision})
            return reply_json(200, {**structs.asdict(item), "at": self.state.revision})
        if (method, path) == ("GET", "/kv-range"):
            return self._range(request)
        if (method, path) == ("GET", "/kv-watch"):
            return await self._watch(request)
        if (method, path) == ("POST", "/kv-txn"):
            return self._txn(request)
        if (method, path) == ("POST", "/kv-lease"):
            ttl = json.decode(request.body, type=_LeaseBody).ttl_ms
            lease = self.state.grant(ttl / MS_PER_S, self._now())
            return reply_json(200, {"lease": lease, "ttl_ms": ttl})
        lease_id = path.rpartition("/")[2]
        if method == "POST" and path.startswith("/kv-keep/") and lease_id.isdigit():
            ttl_s = self.state.renew(int(lease_id), self._now())
            if ttl_s is None:
                return reply_json(404, {})
            return reply_json(200, {"ttl_ms": ttl_s * MS_PER_S})
        if method == "DELETE" and path.startswith("/kv-lease-end/") and lease_id.isdigit():
            self.state.end_lease(int(lease_id))
            return reply_json(200, {})
        return reply_json(404, {"error": "no such call"})

    def _range(self, request: Request) -> Response:
        """Returns one page of the items with a prefix."""
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        revision, items = self.state.revision, self.state.items
        if request.query.get("allow_stale") == "1" and any(self.faults.stale_lags):
            lag = self.faults.stale_lags[bool(after)]
            revision = max(self.state.compacted_revision, revision - lag)
            items = self.state.items_at(revision)
        found = sorted(key for key in items if key.startswith(prefix) and key > after)
        page: list[Item] = []
        size = 0
        for key in found[:PAGE_ITEMS]:
            size += len(items[key].value)
            if page and size > PAGE_BYTES:
                break
            page.append(items[key])
        more = len(found) > len(page)
        return reply_json(200, {"items": page, "has_more": more, "at": revision})

    async def _watch(self, request: Request) -> Response:
        """Long-polls for events after a revision; replies 410 if they have been compacted."""
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        end = self._now() + float(request.query.get("wait_ms", "0")) / MS_PER_S
        while True:
            self.state.expire(self._now())
            if not self.state.compacted_revision <= after <= self.state.revision:
                return reply_json(410, {})
            events = self.state.events(prefix, after)
            left = end - self._now()
            if events or left <= 0:
                return reply_json(200, {"events": events, "at": self.state.revision})
            expiries = [expiry for _, expiry in self.state.leases.values()]
            until_expiry = min(expiries, default=end) - self._now()
            try:
                await wait_for(self.state.changed.wait(), max(0.001, min(left, until_expiry)))
            except builtins.TimeoutError:
                continue

    def _txn(self, request: Request) -> Response:
        """Applies a transaction if its preconditions hold."""
        try:
            txn = json.decode(request.body, type=_Txn)
            sizes = [len(b64decode(item.value, validate=True)) for item in txn.puts]
        except ValueError as exc:
            return reply_json(400, {"error": str(exc)})
        if any(size > MAX_VALUE_BYTES for size in sizes):
            return reply_json(413, {"error": "value too large"})
        if any(item.lease and item.lease not in self.state.leases for item in txn.puts):
            return reply_json(404, {"error": "no such lease"})
        conditions_met = all(
            self.state.revision_of(row.key) == row.revision for row in txn.expected_rev
        )
        if not conditions_met:
            keys = [row.key for row in txn.expected_rev]
            items = [self.state.items[key] for key in keys if key in self.state.items]
            return reply_json(412, {"items": items})
        return reply_json(200, {"revision": self.state.apply(txn.puts, txn.deletes)})

    def _control(self, request: Request) -> Response:
        """Handles a control call: counters, faults, direct writes, backup and compaction."""
        path = request.path
        if path == COUNTERS_PATH:
            return reply_json(200, {"calls": dict(self.calls), "keys": len(self.state.items)})
        if request.method != "POST":
            return reply_json(404, {"error": "no such path"})
        if path == FAULTS_PATH:
            current = structs.asdict(self.faults)
            current.update(json.decode(request.body))
            self.faults = json.decode(json.encode(current), type=StoreFaults)
            return reply_json(200, self.faults)
        if path == PUT_PATH:
            self.state.put(request.query["key"], request.body)
            return reply_json(200, {"revision": self.state.revision})
        changes = {
            SAVE_PATH: self.state.save,
            RESTORE_PATH: self.state.restore,
            FORGET_PATH: self.state.compact_history,
        }
        change = changes.get(path)
        if change is None:
            return reply_json(404, {"error": "no such path"})
        change()
        return reply_json(200, {})

    def _now(self) -> float:
        """Returns the event loop's time."""
        assert self._loop is not None
        return self._loop.time()


class StoreStandIn:
    """The store, running in a thread."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Creates a store that is not started.

        Args:
            host: IP address to bind.
            port: TCP port, or 0 for one assigned by the operating system.
        """
        self.service = StoreService(host, port)
        self.thread = ThreadHost(self.service)
        self.host = host

    @property
    def port(self) -> int:
        """Port that the store listens on."""
        return self.service.listener.port

    @property
    def faults(self) -> StoreFaults:
        """Active fault settings; their fields may be set at any time."""
        return self.service.faults

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls by the first segment of their path."""
        return self.thread.call(lambda: dict(self.service.calls))

    def put(self, key: str, value: bytes) -> None:
        """Writes a key directly, as operators and upstreams do."""
        self.thread.call(lambda: self.service.state.put(key, value))

    def remove(self, key: str) -> None:
        """Deletes a key directly."""
        self.thread.call(lambda: self.service.state.remove(key))

    def end_lease(self, lease: int) -> None:
        """Revokes a lease, as if it had expired."""
        self.thread.call(lambda: self.service.state.end_lease(lease))

    def has(self, key: str) -> bool:
        """Returns whether a key exists."""
        return self.thread.call(lambda: key in self.service.state.items)

    def has_prefix(self, prefix: str) -> bool:
        """Returns whether a key with a prefix exists."""
        return self.thread.call(
            lambda: any(key.startswith(prefix) for key in self.service.state.items)
        )

    def compact_history(self) -> None:
        """Compacts the history up to the current revision."""
        self.thread.call(self.service.state.compact_history)

    def save(self) -> None:
        """Makes a copy of the state, which `restore` goes back to."""
        self.thread.call(self.service.state.save)

    def restore(self) -> None:
        """Restores the state from the copy and starts a new era."""
        self.thread.call(self.service.state.restore)

    def start(self) -> None:
        """Starts serving."""
        self.thread.start()

    def stop(self) -> None:
        """Stops serving."""
        self.thread.stop()


def main() -> None:
    """Runs the store until SIGINT or SIGTERM."""
    parser = ArgumentParser(description="Stand-in of the platform's metadata store")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    pthread_sigmask(SIG_BLOCK, {SIGINT, SIGTERM})
    store = StoreStandIn(args.host, args.port)
    serve(store.thread, lambda: {"port": store.port})


if __name__ == "__main__":
    main()
