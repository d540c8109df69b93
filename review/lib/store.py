"""Stand-in of the platform's store: items, leases, history, watches and stale reads."""

from __future__ import annotations

import asyncio
import base64
import json
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from review.lib.http_server import Reply, Request, Server

Event = dict[str, object]
ANSWER_S = 0.004
"""Time of an answer, as the pages state it."""


class Store:
    """Serves `/kv-*`; the operator and the backends write with `put` and `remove`."""

    def __init__(self, host: str, page_items: int = 50) -> None:
        self.server = Server(self._answer, host)
        self.page_items = page_items
        self.revision = 1
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[Event] = []
        self._revisions: list[int] = []
        """Revision of each event of the history."""
        self.stale_lags_s = (0.0, 0.0)
        """Ages of the replicas that serve reads with `allow_stale`: of first and of later pages."""
        self.rewrite: Callable[[int, str, bytes], bytes] = _unchanged
        """Changes a value for the reader that uses a port."""
        self._further: list[Server] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._copies: deque[tuple[float, int, dict[str, dict[str, object]]]] = deque()

    @property
    def address(self) -> str:
        """Address of the store."""
        return f"{self.server.host}:{self.server.port}"

    async def open(self) -> None:
        """Opens the port."""
        await self.server.open()

    async def open_further(self) -> Server:
        """Opens a further port, by which `rewrite` knows its reader."""
        server = Server(self._answer, self.server.host)
        await server.open()
        self._further.append(server)
        return server

    def close(self) -> None:
        """Closes all ports."""
        for server in (self.server, *self._further):
            server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item; returns its revision."""
        self._keep_copy()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item: Event = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)
        return self.revision

    def remove(self, key: str) -> int:
        """Removes an item; returns the revision."""
        self._keep_copy()
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def _publish(self, event: Event) -> None:
        """Adds an event to the history and wakes the watches."""
        self.history.append(event)
        self._revisions.append(self.revision)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _keep_copy(self) -> None:
        """Keeps the state before a change, for replicas that lag."""
        now = self._now()
        self._copies.append((now, self.revision, dict(self.items)))
        while self._copies and now - self._copies[0][0] > 20.0:
            self._copies.popleft()

    def _state(self, lag_s: float) -> tuple[int, dict[str, dict[str, object]]]:
        """Returns the revision and the items of `lag_s` seconds ago."""
        then = self._now() - lag_s
        for changed_at, revision, items in self._copies:
            if changed_at > then:
                return revision, items
        return self.revision, self.items

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _answer(self, req: Request) -> Reply:
        """Answers one call."""
        await asyncio.sleep(ANSWER_S)
        for lease, (_ttl, end) in list(self._leases.items()):
            if end <= self._now():
                self._end_lease(lease)
        parts = urlsplit(req.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        status, body = await self._call(req, parts.path, query)
        return Reply(
            status,
            [("Content-Type", "application/json"), ("Store-Era", "1")],
            json.dumps(body).encode(),
        )

    async def _call(self, req: Request, path: str, query: dict[str, str]) -> tuple[int, object]:
        """Executes one call; returns the status and the body."""
        call = f"{req.method} {path}"
        if call == "GET /kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**self._shown(req, item), "at": self.revision}
        if call == "GET /kv-range":
            return 200, self._range(req, query)
        if call == "GET /kv-watch":
            return await self._watch(req, query)
        body = json.loads(req.body) if req.body else {}
        if call == "POST /kv-txn":
            return self._txn(body)
        if call == "POST /kv-lease":
            self._next_lease += 1
            ttl = body["ttl_ms"] / 1000
            self._leases[self._next_lease] = (ttl, self._now() + ttl)
            return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][0]
            self._leases[lease] = (ttl, self._now() + ttl)
            return 200, {"ttl_ms": ttl * 1000}
        self._end_lease(lease)
        return 200, {}

    def _shown(self, req: Request, item: Event) -> Event:
        """Returns an item as the reader sees it."""
        if "value" not in item or req.conn.transport is None:
            return item
        port = req.conn.transport.get_extra_info("sockname")[1]
        value = base64.b64decode(str(item["value"]))
        changed = self.rewrite(port, str(item["key"]), value)
        if changed is value:
            return item
        return {**item, "value": base64.b64encode(changed).decode()}

    def _range(self, req: Request, query: dict[str, str]) -> object:
        """Returns one page of items."""
        prefix, after = query.get("prefix", ""), query.get("after", "")
        stale = query.get("allow_stale") == "1"
        revision, items = self._state(self.stale_lags_s[bool(after)] if stale else 0.0)
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = [self._shown(req, items[key]) for key in keys[: self.page_items]]
        return {"items": page, "has_more": len(keys) > self.page_items, "at": revision}

    async def _watch(self, req: Request, query: dict[str, str]) -> tuple[int, object]:
        """Waits for the first event after a revision."""
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = self._now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                self._shown(req, event)
                for event in self.history[bisect_right(self._revisions, after) :]
                if str(event["key"]).startswith(prefix)
            ]
            left = end - self._now()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _txn(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, object]:
        """Applies a transaction."""
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        for row in body.get("expected_rev", []):
            item = self.items.get(str(row["key"]))
            if row["revision"] != (item["revision"] if item is not None else 0):
                return 412, {"items": [] if item is None else [item]}
        for put in puts:
            value = base64.b64decode(str(put["value"]))
            self.put(str(put["key"]), value, int(str(put.get("lease", 0))))
        for key in deletes:
            self.remove(str(key))
        return 200, {"revision": self.revision}

    def _end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.get("lease") == lease]:
            self.remove(key)


def _unchanged(_port: int, _key: str, value: bytes) -> bytes:
    """Returns a value as it was written."""
    return value
