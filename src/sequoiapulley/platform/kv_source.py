"""The platform's metadata store as a source of shared state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import quote

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.forward.state import (
    AnnounceReply,
    Change,
    ChangeSet,
    ChangesReply,
    NodeRecord,
    SourceError,
    SourceErrorKind,
)
from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.platform.documents import (
    decode_item,
    decode_removal,
    encode_node,
    node_key,
    unreadable,
)
from sequoiapulley.platform.kv_client import (
    KvClient,
    KvError,
    KvErrorKind,
    KvEvents,
    KvItem,
    KvPut,
    KvReply,
    KvWritten,
)
from sequoiapulley.platform.names import STORE_RANGE_PATH, STORE_WATCH_PATH
from sequoiapulley.wire.http_client import HttpClient

EVERYTHING: Final = ""
"""Prefix of every key: one watch serves configuration, upstreams and nodes."""
_ENDED: Final = frozenset({KvErrorKind.HISTORY_GONE, KvErrorKind.NOT_FOUND})


class _Range(Struct):
    """One page of items."""

    items: list[KvItem]
    at: int
    """The store's revision; unlike an item's `revision`, that of its last change."""
    has_more: bool = False


class KvSource:
    """Implements `StateSource` and `NodeRegistry`."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        """Initialise the adapter.

        Args:
            client: Sends the calls.
            host: IP address of the store.
            port: TCP port of the store.
        """
        self._kv = KvClient(client, host, port)

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads everything, page by page."""
        _RangeRead(self._kv, exact, timeout, done).next_page("", None)

    def read_changes(
        self, after: Revision, wait: float, timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Reads the changes after a revision, waiting up to `wait` seconds for the first."""
        path = f"{STORE_WATCH_PATH}?prefix={EVERYTHING}&after={after}&wait_ms={int(wait * 1000)}"

        def on_events(reply: Result[KvEvents, KvError]) -> None:
            done(reply.map(_change_set).map_err(_error))

        self._kv.read(path, KvEvents, on_events, timeout + wait)

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a node's record under a new lease of `ttl` seconds."""

        def on_lease(reply: Result[LeaseId, KvError]) -> None:
            if isinstance(reply, Err):
                done(Err(_error(reply.err_value)))
                return
            lease = reply.ok_value
            put = KvPut(node_key(record), encode_node(record), lease)
            self._kv.write({}, (put,), (), lambda reply: done(_lease_reply(reply, lease)))

        self._kv.grant_lease(ttl, on_lease)

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        """Renews a node's lease; `HISTORY_GONE` says that it has ended."""
        self._kv.renew_lease(lease, lambda reply: done(_lease_reply(reply, lease)))

    def withdraw(self, lease: LeaseId) -> None:
        """Ends a node's lease; if the call is lost, the lease lapses by itself."""
        self._kv.end_lease(lease, lambda _reply: None)


class _RangeRead:
    """Reads all items, page by page.

    Pages are not a snapshot: the changes since the first page are read again by the watch, which
    starts at the first page's revision.
    """

    def __init__(
        self,
        kv: KvClient,
        exact: bool,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        """Initialise without pages."""
        self._kv = kv
        self._exact = exact
        self._timeout = timeout
        self._done = done
        self._items: list[KvItem] = []

    def next_page(self, after: str, at: int | None) -> None:
        """Asks for the page after a key.

        Args:
            after: Last key read; empty for the first page.
            at: Revision of the first page, or None.
        """
        path = f"{STORE_RANGE_PATH}?prefix={EVERYTHING}"
        if not self._exact:
            path += "&allow_stale=1"
        if after:
            path += f"&after={quote(after, safe='/')}"

        def on_page(reply: Result[_Range, KvError]) -> None:
            if isinstance(reply, Err):
                self._done(Err(_error(reply.err_value)))
                return
            page = reply.ok_value
            self._items.extend(page.items)
            first = page.at if at is None else at
            if page.has_more and page.items:
                self.next_page(page.items[-1].key, first)
                return
            changes = tuple(_changes(self._items))
            self._done(Ok(ChangeSet(Revision(first), changes, whole=True)))

        self._kv.read(path, _Range, on_page, self._timeout)


def _change_set(events: KvEvents) -> ChangeSet:
    """Returns the changes that a watch reported."""
    return ChangeSet(Revision(events.at), tuple(_changes(events.events)))


def _changes(items: list[KvItem]) -> list[Change]:
    """Decodes items, keeping only the last one of each key."""
    latest = {item.key: item for item in items}
    changes: list[Change] = []
    for item in latest.values():
        change = decode_removal(item.key) if item.deleted else _change(item)
        if change is not None:
            changes.append(change)
    return changes


def _change(item: KvItem) -> Change | None:
    """Decodes one item."""
    try:
        return decode_item(item.key, item.content())
    except ValueError as exc:
        return unreadable(item.key, f"value is not base64: {exc}")


def _lease_reply(reply: KvReply | KvWritten, lease: LeaseId) -> AnnounceReply:
    """Returns the outcome of a call about a lease."""
    if isinstance(reply, Err):
        return Err(_error(reply.err_value))
    return Ok(lease)


def _error(error: KvError) -> SourceError:
    """Returns an error as readers of state tell them apart."""
    ended = error.kind in _ENDED
    kind = SourceErrorKind.HISTORY_GONE if ended else SourceErrorKind.UNAVAILABLE
    return SourceError(kind, error.detail)
