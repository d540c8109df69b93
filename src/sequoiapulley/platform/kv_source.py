"""The platform's key-value store as the source of shared state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import quote

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from sequoiapulley.forward.state import (
    AnnounceReply,
    Change,
    ChangeSet,
    ChangesReply,
    FoundLeaseReply,
    NodeChange,
    NodeRecord,
    RegisteredReply,
    RequestRefusal,
    SourceError,
    SourceErrorKind,
    UpstreamChange,
)
from sequoiapulley.forward.store_position import StorePosition
from sequoiapulley.ids import Era, LeaseId, Revision
from sequoiapulley.platform.documents import (
    decode_item,
    decode_removal,
    encode_node,
    encode_refusal,
    node_key,
    refusal_key,
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
    KvSuccess,
    KvWriteReply,
)
from sequoiapulley.platform.names import STORE_KEY_PATH, STORE_RANGE_PATH, STORE_WATCH_PATH
from sequoiapulley.wire.http_client import HttpClient

ALL_KEYS: Final = ""
"""Prefix of all keys: one watch covers configuration, upstreams and nodes."""
_EXPIRED_KINDS: Final = frozenset({KvErrorKind.HISTORY_COMPACTED, KvErrorKind.NOT_FOUND})
"""Errors of a call that refers to a compacted revision or to an expired lease; both are reported
as `SourceErrorKind.HISTORY_COMPACTED`."""
MAX_READ_RESTARTS: Final = 2
"""Maximum number of times that a read of several pages starts again because the store was restored
between two of them."""


class _Range(Struct):
    """Body of a reply with one page of items."""

    items: list[KvItem]
    at: int
    """Revision of the whole store, unlike `revision` of an item."""
    has_more: bool = False


class KvSource:
    """Implements `StateSource`, `NodeRegistry` and `RefusalStore`."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        """Creates an adapter for one store.

        Args:
            client: HTTP client for the calls.
            host: IP address of the store.
            port: TCP port of the store.
        """
        self._kv = KvClient(client, host, port)

    @property
    def receiving(self) -> bool:
        """Whether a part of a reply has arrived."""
        return self._kv.receiving

    def close_idle(self) -> None:
        """Closes idle connections to the store."""
        self._kv.close_idle()

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads all items, page by page."""
        _RangeRead(self._kv, exact, timeout, done).read_page("", None)

    def read_changes(
        self,
        after: StorePosition,
        wait: float,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        """Reads the changes after a revision; waits up to `wait` seconds for the first one."""
        query = f"prefix={ALL_KEYS}&after={after.revision}&wait_ms={int(wait * 1000)}"
        path = f"{STORE_WATCH_PATH}?{query}"

        def on_events(reply: Result[KvSuccess[KvEvents], KvError]) -> None:
            done(reply.map(_decode_change_set).map_err(_watch_error))

        self._kv.read(path, KvEvents, on_events, timeout + wait)

    def announce(
        self, record: NodeRecord, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a node's record under a new lease of `ttl` seconds."""
        self._put(node_key(record), encode_node(record), ttl, done)

    def keep_refusal(
        self, refusal: RequestRefusal, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a refused request under a new lease of `ttl` seconds."""
        self._put(refusal_key(refusal), encode_refusal(refusal), ttl, done)

    def renew(self, lease: LeaseId, done: Callable[[AnnounceReply], None]) -> None:
        """Renews a node's lease; fails with `HISTORY_COMPACTED` if the lease has expired."""
        self._kv.renew_lease(lease, lambda reply: done(_lease_reply(reply, lease)))

    def is_registered(
        self, record: NodeRecord, lease: LeaseId, done: Callable[[RegisteredReply], None]
    ) -> None:
        """Reads whether the store holds a node's record under its lease."""

        def on_item(reply: Result[KvSuccess[KvItem], KvError]) -> None:
            if isinstance(reply, Ok):
                item = reply.ok_value.body
                done(Ok(str(item.lease) == lease and _is_record_of(item, record)))
            elif reply.err_value.kind is KvErrorKind.NOT_FOUND:
                done(Ok(False))
            else:
                done(Err(_source_error(reply.err_value)))

        self._kv.read(f"{STORE_KEY_PATH}?key={quote(node_key(record), safe='/')}", KvItem, on_item)

    def find_lease(self, record: NodeRecord, done: Callable[[FoundLeaseReply], None]) -> None:
        """Reads the lease of a record that an earlier process of the node has left."""

        def on_item(reply: Result[KvSuccess[KvItem], KvError]) -> None:
            if isinstance(reply, Ok):
                item = reply.ok_value.body
                found = item.lease and _is_record_of(item, record)
                done(Ok(LeaseId(str(item.lease)) if found else None))
            elif reply.err_value.kind is KvErrorKind.NOT_FOUND:
                done(Ok(None))
            else:
                done(Err(_source_error(reply.err_value)))

        path = f"{STORE_KEY_PATH}?key={quote(node_key(record), safe='/')}&allow_stale=1"
        self._kv.read(path, KvItem, on_item)

    def _put(
        self, key: str, content: bytes, ttl: float, done: Callable[[AnnounceReply], None]
    ) -> None:
        """Writes a key under a new lease of `ttl` seconds."""

        def on_lease(reply: Result[LeaseId, KvError]) -> None:
            if isinstance(reply, Err):
                done(Err(_source_error(reply.err_value)))
                return
            lease = reply.ok_value
            put = KvPut(key, content, lease)
            self._kv.write({}, (put,), (), lambda reply: done(_lease_reply(reply, lease)))

        self._kv.grant_lease(ttl, on_lease)


class _RangeRead:
    """Reads all items, page by page.

    The pages are not a consistent snapshot, and with stale reads a later page may be older than the
    first one. The result therefore has the revision of the oldest page, so that the watch that
    follows reports every change that a page lacks. All pages are of one era: if the store is
    restored meanwhile, the read starts again.
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
        self._restarts = 0

    def read_page(self, after: str, oldest: StorePosition | None) -> None:
        """Requests the page that follows a key.

        Args:
            after: Last key that was read; empty for the first page.
            oldest: Position of the oldest page so far; None when requesting the first page.
        """
        path = f"{STORE_RANGE_PATH}?prefix={ALL_KEYS}"
        if not self._exact:
            path += "&allow_stale=1"
        if after:
            path += f"&after={quote(after, safe='/')}"

        def on_page(reply: Result[KvSuccess[_Range], KvError]) -> None:
            if isinstance(reply, Err):
                self._done(Err(_source_error(reply.err_value)))
                return
            page, era = reply.ok_value.body, reply.ok_value.era
            if oldest is not None and era != oldest.era:
                self._restart(oldest.era, era)
                return
            self._items.extend(page.items)
            position = StorePosition(era, Revision(page.at))
            if oldest is not None:
                position = min(position, oldest)
            if page.has_more and page.items:
                self.read_page(page.items[-1].key, position)
                return
            changes = tuple(_decode_changes(self._items))
            self._done(Ok(ChangeSet(position.revision, changes, whole=True, era=era)))

        self._kv.read(path, _Range, on_page, self._timeout)

    def _restart(self, first_era: Era, era: Era) -> None:
        """Starts again, as the store was restored between two pages."""
        if self._restarts == MAX_READ_RESTARTS:
            detail = f"pages of eras {first_era} and {era} after {MAX_READ_RESTARTS} restarts"
            self._done(Err(SourceError(SourceErrorKind.UNAVAILABLE, detail, max(first_era, era))))
            return
        self._restarts += 1
        self._items.clear()
        self.read_page("", None)


def _is_record_of(item: KvItem, record: NodeRecord) -> bool:
    """Returns whether an item has the record of a process of the same node, with equal addresses.

    Heartbeats carry the incarnation, so that the record need not be written for each process.
    """
    change = _decode_change(item)
    if not isinstance(change, NodeChange):
        return False
    return replace(change.record, incarnation=record.incarnation) == record


def _decode_change_set(success: KvSuccess[KvEvents]) -> ChangeSet:
    """Decodes the changes that a watch reported."""
    events = success.body
    return ChangeSet(Revision(events.at), tuple(_decode_changes(events.events)), era=success.era)


def _decode_changes(items: list[KvItem]) -> list[Change]:
    """Decodes the last item of each key."""
    latest = {item.key: item for item in items}
    removed = {item.key for item in items if item.deleted}
    changes: list[Change] = []
    for item in latest.values():
        change = decode_removal(item.key) if item.deleted else _decode_change(item)
        if isinstance(change, UpstreamChange) and item.key in removed:
            change = UpstreamChange(change.record, returned=True)
        if change is not None:
            changes.append(change)
    return changes


def _decode_change(item: KvItem) -> Change | None:
    """Decodes one item that was written."""
    try:
        content = item.content()
    except ValueError as exc:
        return unreadable_entry(item.key, f"value is not base64: {exc}")
    try:
        return decode_item(item.key, content)
    except Exception as exc:
        # The other entries hold, whatever a decoder does not expect of this one.
        return unreadable_entry(item.key, f"unexpected error: {exc!r}")


def _lease_reply(reply: KvReply | KvWriteReply, lease: LeaseId) -> AnnounceReply:
    """Returns the lease, or the error of the call that used it."""
    if isinstance(reply, Err):
        return Err(_source_error(reply.err_value))
    return Ok(lease)


def _watch_error(error: KvError) -> SourceError:
    """Converts an error of a watch; changes that exceed one reply are read as the full state."""
    if error.kind is KvErrorKind.TOO_LARGE:
        return SourceError(SourceErrorKind.HISTORY_COMPACTED, error.detail, error.era)
    return _source_error(error)


def _source_error(error: KvError) -> SourceError:
    """Converts an error of the client to a `SourceError`."""
    expired = error.kind in _EXPIRED_KINDS
    kind = SourceErrorKind.HISTORY_COMPACTED if expired else SourceErrorKind.UNAVAILABLE
    return SourceError(kind, error.detail, error.era)
