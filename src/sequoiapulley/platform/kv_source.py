"""The platform's key-value store as the source of shared state."""

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
    unreadable_entry,
)
from sequoiapulley.platform.kv_client import (
    KvClient,
    KvError,
    KvErrorKind,
    KvEvents,
    KvItem,
    KvPut,
    KvReply,
    KvWriteReply,
)
from sequoiapulley.platform.names import STORE_RANGE_PATH, STORE_WATCH_PATH
from sequoiapulley.wire.http_client import HttpClient

ALL_KEYS: Final = ""
"""Prefix of all keys: one watch covers configuration, upstreams and nodes."""
_EXPIRED_KINDS: Final = frozenset({KvErrorKind.HISTORY_COMPACTED, KvErrorKind.NOT_FOUND})
"""Errors of a call that refers to a compacted revision or to an expired lease; both are reported
as `SourceErrorKind.HISTORY_COMPACTED`."""


class _Range(Struct):
    """Body of a reply with one page of items."""

    items: list[KvItem]
    at: int
    """Revision of the whole store, unlike `revision` of an item."""
    has_more: bool = False


class KvSource:
    """Implements `StateSource` and `NodeRegistry`."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        """Creates an adapter for one store.

        Args:
            client: HTTP client for the calls.
            host: IP address of the store.
            port: TCP port of the store.
        """
        self._kv = KvClient(client, host, port)

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads all items, page by page."""
        _RangeRead(self._kv, exact, timeout, done).read_page("", None)

    def read_changes(
        self, after: Revision, wait: float, timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Reads the changes after a revision; waits up to `wait` seconds for the first one."""
        path = f"{STORE_WATCH_PATH}?prefix={ALL_KEYS}&after={after}&wait_ms={int(wait * 1000)}"

        def on_events(reply: Result[KvEvents, KvError]) -> None:
            done(reply.map(_decode_change_set).map_err(_source_error))

        self._kv.read(path, KvEvents, on_events, timeout + wait)

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a node's record under a new lease of `ttl` seconds."""

        def on_lease(reply: Result[LeaseId, KvError]) -> None:
            if isinstance(reply, Err):
                done(Err(_source_error(reply.err_value)))
                return
            lease = reply.ok_value
            put = KvPut(node_key(record), encode_node(record), lease)
            self._kv.write({}, (put,), (), lambda reply: done(_lease_reply(reply, lease)))

        self._kv.grant_lease(ttl, on_lease)

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        """Renews a node's lease; fails with `HISTORY_COMPACTED` if the lease has expired."""
        self._kv.renew_lease(lease, lambda reply: done(_lease_reply(reply, lease)))

    def withdraw(self, lease: LeaseId) -> None:
        """Revokes a node's lease; if the call is lost, the lease expires on its own."""
        self._kv.revoke_lease(lease, lambda _reply: None)


class _RangeRead:
    """Reads all items, page by page.

    The pages are not a consistent snapshot. The result therefore has the revision of the first
    page, so that the watch that follows reports every change made after it.
    """

    def __init__(
        self,
        kv: KvClient,
        exact: bool,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        self._kv = kv
        self._exact = exact
        self._timeout = timeout
        self._done = done
        self._items: list[KvItem] = []

    def read_page(self, after: str, at: int | None) -> None:
        """Requests the page that follows a key.

        Args:
            after: Last key that was read; empty for the first page.
            at: Revision of the first page; None when requesting that page.
        """
        path = f"{STORE_RANGE_PATH}?prefix={ALL_KEYS}"
        if not self._exact:
            path += "&allow_stale=1"
        if after:
            path += f"&after={quote(after, safe='/')}"

        def on_page(reply: Result[_Range, KvError]) -> None:
            if isinstance(reply, Err):
                self._done(Err(_source_error(reply.err_value)))
                return
            page = reply.ok_value
            self._items.extend(page.items)
            first_revision = page.at if at is None else at
            if page.has_more and page.items:
                self.read_page(page.items[-1].key, first_revision)
                return
            changes = tuple(_decode_changes(self._items))
            self._done(Ok(ChangeSet(Revision(first_revision), changes, whole=True)))

        self._kv.read(path, _Range, on_page, self._timeout)


def _decode_change_set(events: KvEvents) -> ChangeSet:
    """Decodes the changes that a watch reported."""
    return ChangeSet(Revision(events.at), tuple(_decode_changes(events.events)))


def _decode_changes(items: list[KvItem]) -> list[Change]:
    """Decodes the last item of each key."""
    latest = {item.key: item for item in items}
    changes: list[Change] = []
    for item in latest.values():
        change = decode_removal(item.key) if item.deleted else _decode_change(item)
        if change is not None:
            changes.append(change)
    return changes


def _decode_change(item: KvItem) -> Change | None:
    """Decodes one item that was written."""
    try:
        return decode_item(item.key, item.content())
    except ValueError as exc:
        return unreadable_entry(item.key, f"value is not base64: {exc}")


def _lease_reply(reply: KvReply | KvWriteReply, lease: LeaseId) -> AnnounceReply:
    """Returns the lease, or the error of the call that used it."""
    if isinstance(reply, Err):
        return Err(_source_error(reply.err_value))
    return Ok(lease)


def _source_error(error: KvError) -> SourceError:
    """Converts an error of the client to a `SourceError`."""
    expired = error.kind in _EXPIRED_KINDS
    kind = SourceErrorKind.HISTORY_COMPACTED if expired else SourceErrorKind.UNAVAILABLE
    return SourceError(kind, error.detail)
