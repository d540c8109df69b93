"""Adapter of the platform's key-value store, for configuration edits and claims of requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import quote

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.decoding import decode_json
from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.platform.kv_client import (
    CALL_TIMEOUT_S,
    KvClient,
    KvError,
    KvErrorKind,
    KvEvents,
    KvItem,
    KvPut,
    KvSuccess,
    KvWriteReply,
)
from sequoiapulley.platform.names import STORE_KEY_PATH, STORE_WATCH_PATH
from sequoiapulley.platform.store import (
    ABSENT,
    LeaseReply,
    StoreError,
    StoreErrorKind,
    StoreReply,
    StoreValue,
)
from sequoiapulley.wire.http_client import HttpClient

WATCH_GRACE_S: Final = 2.0
"""Additional time for the reply to a watch, on top of its wait and the timeout of a call."""
_STORE_ERROR_KINDS: Final = {
    KvErrorKind.NOT_FOUND: StoreErrorKind.REFUSED,
    KvErrorKind.HISTORY_COMPACTED: StoreErrorKind.UNAVAILABLE,
    KvErrorKind.CONDITION_FAILED: StoreErrorKind.CONFLICT,
    KvErrorKind.UNAVAILABLE: StoreErrorKind.UNAVAILABLE,
    KvErrorKind.NO_REPLY: StoreErrorKind.NO_REPLY,
    KvErrorKind.REFUSED: StoreErrorKind.REFUSED,
    KvErrorKind.TOO_LARGE: StoreErrorKind.NO_REPLY,
}


class _ConflictBody(Struct):
    """Body of a failed transaction's reply: the current items."""

    items: list[KvItem]


class HttpStore:
    """Implements `Store`.

    A call that was at least partly sent and got no valid reply fails with `NO_REPLY`; a write may
    then have taken effect. A call of which no byte was sent, or that the store turned away
    unstarted, fails with `UNAVAILABLE`.
    """

    def __init__(
        self, client: HttpClient, host: str, port: int, timeout: float = CALL_TIMEOUT_S
    ) -> None:
        """Creates an adapter for one store.

        Args:
            client: HTTP client for the calls.
            host: IP address of the store.
            port: TCP port of the store.
            timeout: Timeout of a call, in seconds; a watch adds its wait and `WATCH_GRACE_S`.
        """
        self._kv = KvClient(client, host, port, timeout)
        self._timeout = timeout

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""

        def on_item(reply: Result[KvSuccess[KvItem], KvError]) -> None:
            if isinstance(reply, Ok):
                done(_decode_value(reply.ok_value.body))
            elif reply.err_value.kind is KvErrorKind.NOT_FOUND:
                done(Ok(StoreValue(key, b"", ABSENT)))
            else:
                done(Err(_store_error(reply.err_value)))

        self._kv.read(f"{STORE_KEY_PATH}?key={_quote_key(key)}", KvItem, on_item)

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key if its revision is `expected`."""

        def on_written(reply: KvWriteReply) -> None:
            done(reply.map(lambda at: StoreValue(key, value, at)).map_err(_store_error))

        self._kv.write({key: expected}, (KvPut(key, value, lease),), (), on_written)

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Removes a key if its revision is `expected`."""

        def on_written(reply: KvWriteReply) -> None:
            done(reply.map(lambda _at: StoreValue(key, b"", ABSENT)).map_err(_store_error))

        self._kv.write({key: expected}, (), (key,), on_written)

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Waits up to `wait` seconds for a revision above `after`, then reads the key.

        The store watches a prefix: a change of a longer key with the same beginning ends the wait
        early, and so does compacted history.
        """

        def on_events(reply: Result[KvSuccess[KvEvents], KvError]) -> None:
            compacted = (
                isinstance(reply, Err) and reply.err_value.kind is KvErrorKind.HISTORY_COMPACTED
            )
            if isinstance(reply, Err) and not compacted:
                done(Err(_store_error(reply.err_value)))
            else:
                self.get(key, done)

        path = (
            f"{STORE_WATCH_PATH}?prefix={_quote_key(key)}&after={after}&wait_ms={int(wait * 1000)}"
        )
        self._kv.read(path, KvEvents, on_events, self._timeout + wait + WATCH_GRACE_S)

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Creates a lease of `ttl` seconds."""
        self._kv.grant_lease(ttl, lambda reply: done(reply.map_err(_store_error)))


def _quote_key(key: str) -> str:
    """Percent-encodes a key for a query string."""
    return quote(key, safe="/")


def _decode_value(item: KvItem) -> StoreReply:
    """Converts an item to a `StoreValue`."""
    try:
        return Ok(StoreValue(item.key, item.content(), Revision(item.revision)))
    except ValueError as exc:
        return Err(StoreError(StoreErrorKind.NO_REPLY, f"value is not base64: {exc}"))


def _store_error(error: KvError) -> StoreError:
    """Converts an error of the client to a `StoreError`."""
    kind = _STORE_ERROR_KINDS[error.kind]
    if error.kind is not KvErrorKind.CONDITION_FAILED:
        return StoreError(kind, error.detail)
    return StoreError(
        kind, "the key does not have the expected revision", _conflicting_value(error.body)
    )


def _conflicting_value(body: bytes) -> StoreValue | None:
    """Returns the current value that the reply to a conflicting write reported, or None."""
    try:
        items = decode_json(body, _ConflictBody).items
        found = [StoreValue(item.key, item.content(), Revision(item.revision)) for item in items]
    except ValueError:
        # Nothing was written in any case; only the current value is unknown.
        return None
    return found[0] if found else None
