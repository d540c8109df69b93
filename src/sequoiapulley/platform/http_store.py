"""The platform's metadata store as the key-value service of edits and claims."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import quote

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode
from result import Err, Ok, Result

from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.platform.kv_client import (
    CALL_TIMEOUT_S,
    KvClient,
    KvError,
    KvErrorKind,
    KvEvents,
    KvItem,
    KvPut,
    KvWritten,
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
"""Time after the end of a watch within which its reply is awaited."""
_KINDS: Final = {
    KvErrorKind.NOT_FOUND: StoreErrorKind.REFUSED,
    KvErrorKind.HISTORY_GONE: StoreErrorKind.UNAVAILABLE,
    KvErrorKind.CONDITION_FAILED: StoreErrorKind.CONFLICT,
    KvErrorKind.UNAVAILABLE: StoreErrorKind.UNAVAILABLE,
    KvErrorKind.NO_REPLY: StoreErrorKind.NO_REPLY,
    KvErrorKind.REFUSED: StoreErrorKind.REFUSED,
}


class _Current(Struct):
    """Items that a refused transaction found."""

    items: list[KvItem]


class HttpStore:
    """Implements `Store`.

    A write whose request may have left and whose reply did not come is `NO_REPLY`; a call that
    never left, or that the service refused before it began, is `UNAVAILABLE`.
    """

    def __init__(
        self, client: HttpClient, host: str, port: int, timeout: float = CALL_TIMEOUT_S
    ) -> None:
        """Initialise the adapter.

        Args:
            client: Sends the calls.
            host: IP address of the service.
            port: TCP port of the service.
            timeout: Longest wait for a reply, in seconds; a watch adds its own wait.
        """
        self._kv = KvClient(client, host, port, timeout)
        self._timeout = timeout

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""

        def on_item(reply: Result[KvItem, KvError]) -> None:
            if isinstance(reply, Ok):
                done(_value(reply.ok_value))
            elif reply.err_value.kind is KvErrorKind.NOT_FOUND:
                done(Ok(StoreValue(key, b"", ABSENT)))
            else:
                done(Err(_error(reply.err_value)))

        self._kv.read(f"{STORE_KEY_PATH}?key={_quoted(key)}", KvItem, on_item)

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key if its revision is `expected`."""

        def on_written(reply: KvWritten) -> None:
            done(reply.map(lambda at: StoreValue(key, value, at)).map_err(_error))

        self._kv.write({key: expected}, (KvPut(key, value, lease),), (), on_written)

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Removes a key if its revision is `expected`."""

        def on_written(reply: KvWritten) -> None:
            done(reply.map(lambda _at: StoreValue(key, b"", ABSENT)).map_err(_error))

        self._kv.write({key: expected}, (), (key,), on_written)

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Waits up to `wait` seconds for a revision above `after`, then reads the key."""

        def on_events(reply: Result[KvEvents, KvError]) -> None:
            gone = isinstance(reply, Err) and reply.err_value.kind is KvErrorKind.HISTORY_GONE
            if isinstance(reply, Err) and not gone:
                done(Err(_error(reply.err_value)))
            else:
                self.get(key, done)

        path = f"{STORE_WATCH_PATH}?prefix={_quoted(key)}&after={after}&wait_ms={int(wait * 1000)}"
        self._kv.read(path, KvEvents, on_events, self._timeout + wait + WATCH_GRACE_S)

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Creates a lease of `ttl` seconds."""
        self._kv.grant_lease(ttl, lambda reply: done(reply.map_err(_error)))


def _quoted(key: str) -> str:
    """Returns a key for a query."""
    return quote(key, safe="/")


def _value(item: KvItem) -> StoreReply:
    """Returns an item as edits and claims see it."""
    try:
        return Ok(StoreValue(item.key, item.content(), Revision(item.revision)))
    except ValueError as exc:
        return Err(StoreError(StoreErrorKind.NO_REPLY, f"value is not base64: {exc}"))


def _error(error: KvError) -> StoreError:
    """Returns an error as edits and claims tell them apart."""
    kind = _KINDS[error.kind]
    if error.kind is not KvErrorKind.CONDITION_FAILED:
        return StoreError(kind, error.detail)
    return StoreError(kind, "the revision differs", _found(error.body))


def _found(body: bytes) -> StoreValue | None:
    """Returns the value that a refused write found, or None if there is none."""
    try:
        items = decode(body, type=_Current).items
        found = [StoreValue(item.key, item.content(), Revision(item.revision)) for item in items]
    except (DecodeError, ValidationError, ValueError):
        # The conflict stands whatever the store says of the present value.
        return None
    return found[0] if found else None
