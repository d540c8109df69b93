"""The one client of the platform's metadata store: calls, bodies, and how calls fail."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from enum import Enum
from typing import Final, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from result import Err, Ok, Result

from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.platform.names import (
    STORE_KEEP_PATH,
    STORE_LEASE_END_PATH,
    STORE_LEASE_PATH,
    STORE_TXN_PATH,
)
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult

CALL_TIMEOUT_S: Final = 1.5
"""Longest wait for a reply; the store answers in milliseconds, and in some hundred when slow."""
JSON_HEADERS: Final = (("content-type", "application/json"),)
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_CONDITION_FAILED: Final = 412
FIRST_SERVER_ERROR: Final = 500
REFUSING_STATUSES: Final = frozenset({429, 503})
"""Statuses of a store that did not begin the call."""


class KvErrorKind(Enum):
    """How a call failed."""

    NOT_FOUND = "not_found"
    """There is no such key or lease."""
    HISTORY_GONE = "history_gone"
    CONDITION_FAILED = "condition_failed"
    """A key has another revision than expected; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The call was refused or could not be sent; nothing was done."""
    NO_REPLY = "no_reply"
    """No reply that can be read came; a write may have taken effect."""
    REFUSED = "refused"
    """The store rejected the call as invalid; nothing was done."""


class KvError(Struct, frozen=True):
    """A failed call."""

    kind: KvErrorKind
    detail: str
    body: bytes = b""


class KvItem(Struct, frozen=True):
    """An item as it was written, or a key that was removed."""

    key: str
    revision: int = 0
    """Revision of its last change."""
    value: str = ""
    """Standard base64 with padding."""
    deleted: bool = False

    def content(self) -> bytes:
        """Returns the value.

        Raises:
            ValueError: If it is not base64.
        """
        return b64decode(self.value, validate=True)


class KvPut(Struct, frozen=True):
    """One write of a transaction."""

    key: str
    content: bytes
    lease: LeaseId | None = None


class KvEvents(Struct, frozen=True):
    """Changes after a revision."""

    events: list[KvItem]
    at: int
    """The store's revision; unlike an item's `revision`, that of its last change."""


class _Lease(Struct):
    """A new lease."""

    lease: int


class _Written(Struct):
    """Body of a transaction's reply."""

    revision: int


Body = TypeVar("Body")
KvReply = Result[bytes, KvError]
KvWritten = Result[Revision, KvError]


class KvClient:
    """Sends calls to the store."""

    def __init__(
        self, client: HttpClient, host: str, port: int, timeout: float = CALL_TIMEOUT_S
    ) -> None:
        """Initialise the client.

        Args:
            client: Sends the calls.
            host: IP address of the store.
            port: TCP port of the store.
            timeout: Longest wait for a reply, in seconds, where a call sets no other.
        """
        self._client = client
        self._host = host
        self._port = port
        self._timeout = timeout

    def read(
        self,
        path: str,
        form: type[Body],
        done: Callable[[Result[Body, KvError]], None],
        timeout: float | None = None,
    ) -> None:
        """Reads.

        Args:
            path: Path and query.
            form: Type of the body.
            done: Receives the body or the error, once.
            timeout: Longest wait for the reply, in seconds.
        """
        self._call("GET", path, b"", lambda reply: done(_decoded(reply, form)), timeout)

    def write(
        self,
        expected: dict[str, int],
        puts: tuple[KvPut, ...],
        deletes: tuple[str, ...],
        done: Callable[[KvWritten], None],
    ) -> None:
        """Writes all or nothing.

        Args:
            expected: Revision that each key must have; 0 for a key that must not exist.
            puts: Keys to write.
            deletes: Keys to remove.
            done: Receives the store's revision or the error, once.
        """

        def on_reply(reply: KvReply) -> None:
            written = _decoded(reply, _Written)
            done(written.map(lambda body: Revision(body.revision)))

        rows = [{"key": key, "revision": revision} for key, revision in expected.items()]
        body = encode(
            {
                "expected_rev": rows,
                "puts": [_put_row(put) for put in puts],
                "deletes": list(deletes),
            }
        )
        self._call("POST", STORE_TXN_PATH, body, on_reply)

    def grant_lease(self, ttl: float, done: Callable[[Result[LeaseId, KvError]], None]) -> None:
        """Creates a lease of `ttl` seconds."""

        def on_reply(reply: KvReply) -> None:
            done(_decoded(reply, _Lease).map(lambda body: LeaseId(str(body.lease))))

        self._call("POST", STORE_LEASE_PATH, encode({"ttl_ms": int(ttl * 1000)}), on_reply)

    def renew_lease(self, lease: LeaseId, done: Callable[[KvReply], None]) -> None:
        """Renews a lease."""
        self._call("POST", f"{STORE_KEEP_PATH}{lease}", b"", done)

    def end_lease(self, lease: LeaseId, done: Callable[[KvReply], None]) -> None:
        """Ends a lease; its keys are removed."""
        self._call("DELETE", f"{STORE_LEASE_END_PATH}{lease}", b"", done)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        done: Callable[[KvReply], None],
        timeout: float | None = None,
    ) -> None:
        """Sends one call."""
        headers = JSON_HEADERS if body else ()
        wait = self._timeout if timeout is None else timeout
        call = HttpCall(self._host, self._port, method, path, headers, body, wait)
        self._client.request(call, lambda result: done(_sorted(result)))


def _put_row(put: KvPut) -> dict[str, object]:
    """Returns a write as the store takes it."""
    lease = int(put.lease) if put.lease is not None else 0
    return {"key": put.key, "value": b64encode(put.content).decode(), "lease": lease}


def _sorted(result: HttpResult) -> KvReply:
    """Sorts the outcome of a call into a body and the kinds of error."""
    if isinstance(result, Err):
        failure = result.err_value
        kind = KvErrorKind.NO_REPLY if failure.sent else KvErrorKind.UNAVAILABLE
        return Err(KvError(kind, f"{failure.kind.value}: {failure.detail}"))
    reply = result.ok_value
    if reply.status == STATUS_OK:
        return Ok(reply.body)
    return Err(KvError(_kind_of(reply.status), f"status {reply.status}", reply.body))


def _decoded(reply: KvReply, form: type[Body]) -> Result[Body, KvError]:
    """Decodes the body of a reply."""
    if isinstance(reply, Err):
        return reply
    try:
        return Ok(decode(reply.ok_value, type=form))
    except (DecodeError, ValidationError) as exc:
        return Err(KvError(KvErrorKind.NO_REPLY, f"reply does not decode: {exc}"))


def _kind_of(status: int) -> KvErrorKind:
    """Returns the kind of error that a status tells of."""
    if status == STATUS_NOT_FOUND:
        return KvErrorKind.NOT_FOUND
    if status == STATUS_GONE:
        return KvErrorKind.HISTORY_GONE
    if status == STATUS_CONDITION_FAILED:
        return KvErrorKind.CONDITION_FAILED
    if status in REFUSING_STATUSES:
        return KvErrorKind.UNAVAILABLE
    if status >= FIRST_SERVER_ERROR:
        return KvErrorKind.NO_REPLY
    return KvErrorKind.REFUSED
