"""Client of the platform's key-value store: calls, message bodies and kinds of error."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from enum import Enum
from typing import Final, Generic, TypeVar

from msgspec import Struct
from msgspec.json import encode
from result import Err, Ok, Result

from sequoiapulley.decoding import DecodingError, decode_json
from sequoiapulley.forward.state import MAX_TRANSFER_S
from sequoiapulley.forward.store_position import NO_ERA
from sequoiapulley.ids import Era, LeaseId, Revision
from sequoiapulley.platform.names import (
    STORE_ERA,
    STORE_LEASE_PATH,
    STORE_LEASE_RENEW_PATH,
    STORE_TXN_PATH,
)
from sequoiapulley.wire.http_client import (
    HttpCall,
    HttpClient,
    HttpFailureKind,
    HttpReply,
    HttpResult,
)

CALL_TIMEOUT_S: Final = 1.5
"""Timeout of a call; the store answers in milliseconds, and in some hundred when slow."""
JSON_HEADERS: Final = (("content-type", "application/json"),)
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_CONDITION_FAILED: Final = 412
MIN_SERVER_ERROR_STATUS: Final = 500
NOT_STARTED_STATUSES: Final = frozenset({429, 503})
"""Statuses with which the store turns away a call before starting it."""
MAX_ERA_DIGITS: Final = 18
"""Maximum length of an era's number, so that it fits 64 bits."""


class KvErrorKind(Enum):
    """Kind of a failed call."""

    NOT_FOUND = "not_found"
    """The key or lease does not exist."""
    HISTORY_COMPACTED = "history_gone"
    """The store has compacted the changes after the requested revision."""
    CONDITION_FAILED = "condition_failed"
    """A key does not have the expected revision; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The call could not be sent, or the store turned it away unstarted; nothing was done."""
    NO_REPLY = "no_reply"
    """No valid reply was received; a write may have taken effect."""
    REFUSED = "refused"
    """The store rejected the call as invalid; nothing was done."""
    TOO_LARGE = "too_large"
    """The reply exceeds the size limit; a read of fewer items may succeed."""


class KvError(Struct, frozen=True):
    """A failed call."""

    kind: KvErrorKind
    detail: str
    body: bytes = b""
    era: Era = NO_ERA
    """Era that the store reported; 0 if there is no reply."""


class KvItem(Struct, frozen=True):
    """A stored item, or a key that was removed."""

    key: str
    revision: int = 0
    """Revision of the item's last change."""
    value: str = ""
    """Content in standard base64 with padding."""
    deleted: bool = False
    lease: int = 0
    """Lease whose end removes the key; 0 for none."""

    def content(self) -> bytes:
        """Returns the decoded value.

        Raises:
            ValueError: If the value is not base64.
        """
        return b64decode(self.value, validate=True)


class KvPut(Struct, frozen=True):
    """One write of a transaction."""

    key: str
    content: bytes
    lease: LeaseId | None = None


class KvEvents(Struct, frozen=True):
    """Body of a watch's reply: the changes after a revision."""

    events: list[KvItem]
    at: int
    """Revision of the whole store, unlike `revision` of an item."""


class _LeaseBody(Struct):
    """Body of the reply to the creation of a lease."""

    lease: int


class _WriteBody(Struct):
    """Body of a transaction's reply."""

    revision: int


Body = TypeVar("Body")


class KvSuccess(Struct, Generic[Body], frozen=True):
    """A successful reply."""

    body: Body
    era: Era
    """Era of the store that replied."""


KvReply = Result[KvSuccess[bytes], KvError]
KvWriteReply = Result[Revision, KvError]


class KvClient:
    """Sends calls to the store; each call returns at once and runs its callback once, later."""

    def __init__(
        self, client: HttpClient, host: str, port: int, timeout: float = CALL_TIMEOUT_S
    ) -> None:
        """Creates a client of one store.

        Args:
            client: HTTP client for the calls.
            host: IP address of the store.
            port: TCP port of the store.
            timeout: Default timeout of a call, in seconds.
        """
        self._client = client
        self._host = host
        self._port = port
        self._timeout = timeout
        self._latest_era = NO_ERA

    @property
    def receiving(self) -> bool:
        """Whether a part of a reply of the store has arrived."""
        return self._client.is_receiving(self._host, self._port)

    def close_idle(self) -> None:
        """Closes idle connections to the store, so that the next call opens a new one."""
        self._client.close_idle(self._host, self._port)

    def read(
        self,
        path: str,
        body_type: type[Body],
        done: Callable[[Result[KvSuccess[Body], KvError]], None],
        timeout: float | None = None,
    ) -> None:
        """Sends a read.

        Args:
            path: Path and query.
            body_type: Type as which the body is decoded.
            done: Receives the body or the error, once.
            timeout: Timeout in seconds; None for the default. A reply that keeps arriving has
                `MAX_TRANSFER_S` in addition.
        """
        self._call("GET", path, b"", lambda reply: done(_decode_body(reply, body_type)), timeout)

    def write(
        self,
        expected: dict[str, int],
        puts: tuple[KvPut, ...],
        deletes: tuple[str, ...],
        done: Callable[[KvWriteReply], None],
    ) -> None:
        """Runs a transaction: all writes take effect, or none.

        Args:
            expected: Revision that each key must have; 0 if the key must not exist.
            puts: Keys to write.
            deletes: Keys to remove.
            done: Receives the store's revision or the error, once.
        """

        def on_reply(reply: KvReply) -> None:
            written = _decode_body(reply, _WriteBody)
            done(written.map(lambda success: Revision(success.body.revision)))

        rows = [{"key": key, "revision": revision} for key, revision in expected.items()]
        body = encode(
            {
                "expected_rev": rows,
                "puts": [_encode_put(put) for put in puts],
                "deletes": list(deletes),
            }
        )
        self._call("POST", STORE_TXN_PATH, body, on_reply)

    def grant_lease(self, ttl: float, done: Callable[[Result[LeaseId, KvError]], None]) -> None:
        """Creates a lease of `ttl` seconds."""

        def on_reply(reply: KvReply) -> None:
            granted = _decode_body(reply, _LeaseBody)
            done(granted.map(lambda success: LeaseId(str(success.body.lease))))

        self._call("POST", STORE_LEASE_PATH, encode({"ttl_ms": int(ttl * 1000)}), on_reply)

    def renew_lease(self, lease: LeaseId, done: Callable[[KvReply], None]) -> None:
        """Renews a lease."""
        self._call("POST", f"{STORE_LEASE_RENEW_PATH}{lease}", b"", done)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        done: Callable[[KvReply], None],
        timeout: float | None = None,
    ) -> None:
        """Sends one call and classifies its result."""
        headers = JSON_HEADERS if body else ()
        wait = self._timeout if timeout is None else timeout
        limit = wait + MAX_TRANSFER_S
        call = HttpCall(self._host, self._port, method, path, headers, body, wait, limit)
        self._client.request(call, lambda result: done(self._classify_result(result)))

    def _classify_result(self, result: HttpResult) -> KvReply:
        """Converts the result of an HTTP call to the body or a `KvError`."""
        if isinstance(result, Err):
            failure = result.err_value
            kind = KvErrorKind.NO_REPLY if failure.sent else KvErrorKind.UNAVAILABLE
            if failure.kind is HttpFailureKind.TOO_LARGE:
                kind = KvErrorKind.TOO_LARGE
            return Err(KvError(kind, f"{failure.kind.value}: {failure.detail}"))
        reply = result.ok_value
        try:
            era = self._era_of(reply)
        except ValueError as exc:
            return Err(KvError(KvErrorKind.NO_REPLY, str(exc)))
        if reply.status == STATUS_OK:
            return Ok(KvSuccess(reply.body, era))
        kind = _kind_of_status(reply.status)
        return Err(KvError(kind, f"status {reply.status}", reply.body, era))

    def _era_of(self, reply: HttpReply) -> Era:
        """Returns the era of a reply; without the header, the latest one that was reported.

        Raises:
            ValueError: If the header is not a number.
        """
        for name, value in reply.headers:
            if name != STORE_ERA:
                continue
            if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
                raise ValueError(f"the store's era {value[:40]!r} is not a number")
            era = Era(int(value))
            self._latest_era = max(self._latest_era, era)
            return era
        return self._latest_era


def _encode_put(put: KvPut) -> dict[str, object]:
    """Returns a write in the store's wire format."""
    lease = int(put.lease) if put.lease is not None else 0
    return {"key": put.key, "value": b64encode(put.content).decode(), "lease": lease}


def _decode_body(reply: KvReply, body_type: type[Body]) -> Result[KvSuccess[Body], KvError]:
    """Decodes the body of a reply."""
    if isinstance(reply, Err):
        return reply
    success = reply.ok_value
    try:
        return Ok(KvSuccess(decode_json(success.body, body_type), success.era))
    except DecodingError as exc:
        detail = f"reply does not decode: {exc}"
        return Err(KvError(KvErrorKind.NO_REPLY, detail, era=success.era))


def _kind_of_status(status: int) -> KvErrorKind:
    """Returns the kind of error for a status other than 200."""
    if status == STATUS_NOT_FOUND:
        return KvErrorKind.NOT_FOUND
    if status == STATUS_GONE:
        return KvErrorKind.HISTORY_COMPACTED
    if status == STATUS_CONDITION_FAILED:
        return KvErrorKind.CONDITION_FAILED
    if status in NOT_STARTED_STATUSES:
        return KvErrorKind.UNAVAILABLE
    if status >= MIN_SERVER_ERROR_STATUS:
        return KvErrorKind.NO_REPLY
    return KvErrorKind.REFUSED
