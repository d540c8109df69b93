"""The platform's key-value service over HTTP; its wire contract lives here alone."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Final
from urllib.parse import quote

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode
from result import Err, Ok

from sequoiapulley.ids import LeaseId, Revision
from sequoiapulley.platform.store import (
    LeaseReply,
    StoreError,
    StoreErrorKind,
    StoreReply,
    StoreValue,
)
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpReply, HttpResult

CALL_TIMEOUT_S: Final = 2.0
WATCH_GRACE_S: Final = 2.0
"""Time after the end of a watch within which its reply is awaited."""
JSON_HEADERS: Final = (("content-type", "application/json"),)
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
FIRST_SERVER_ERROR: Final = 500
REFUSING_STATUSES: Final = frozenset({429, 503})
"""Statuses of a service that did not begin the call."""


class _PutBody(Struct):
    """Body of a write; `value` is base64."""

    value: str
    expected: int
    lease: str | None = None


class _ValueBody(Struct):
    """Body of a reply that carries a key's value."""

    key: str
    value: str
    revision: int


class _LeaseBody(Struct):
    """Body of a new lease."""

    lease: str


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
        self._client = client
        self._host = host
        self._port = port
        self._timeout = timeout

    def get(self, key: str, done: Callable[[StoreReply], None]) -> None:
        """Reads a key."""
        self._call("GET", _key_path(key), b"", self._timeout, _value_done(done))

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        done: Callable[[StoreReply], None],
        lease: LeaseId | None = None,
    ) -> None:
        """Writes a key if its revision is `expected`."""
        body = encode(_PutBody(b64encode(value).decode(), expected, lease))
        self._call("PUT", _key_path(key), body, self._timeout, _value_done(done))

    def delete(self, key: str, expected: Revision, done: Callable[[StoreReply], None]) -> None:
        """Removes a key if its revision is `expected`."""
        path = f"{_key_path(key)}?expected={expected}"
        self._call("DELETE", path, b"", self._timeout, _value_done(done))

    def watch(
        self, key: str, after: Revision, wait: float, done: Callable[[StoreReply], None]
    ) -> None:
        """Waits up to `wait` seconds for a revision above `after`, then reads the key."""
        path = f"{_key_path(key)}?after={after}&wait_ms={int(wait * 1000)}"
        self._call("GET", path, b"", self._timeout + wait + WATCH_GRACE_S, _value_done(done))

    def grant_lease(self, ttl: float, done: Callable[[LeaseReply], None]) -> None:
        """Creates a lease of `ttl` seconds."""
        body = encode({"ttl_ms": int(ttl * 1000)})
        self._call("POST", "/v1/leases", body, self._timeout, _lease_done(done))

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        done: Callable[[HttpResult], None],
    ) -> None:
        """Sends one call."""
        headers = JSON_HEADERS if body else ()
        call = HttpCall(self._host, self._port, method, path, headers, body, timeout)
        self._client.request(call, done)


def _key_path(key: str) -> str:
    """Returns the path of a key."""
    return f"/v1/keys/{quote(key, safe='')}"


def _value_done(done: Callable[[StoreReply], None]) -> Callable[[HttpResult], None]:
    """Turns a reply that carries a value into a `StoreReply`."""

    def on_done(result: HttpResult) -> None:
        reply = _reply_or_error(result)
        if isinstance(reply, StoreError):
            done(Err(reply))
            return
        try:
            done(Ok(_decode_value(reply.body)))
        except ValueError as exc:
            done(Err(StoreError(StoreErrorKind.NO_REPLY, f"reply does not decode: {exc}")))

    return on_done


def _lease_done(done: Callable[[LeaseReply], None]) -> Callable[[HttpResult], None]:
    """Turns a reply that carries a lease into a `LeaseReply`."""

    def on_done(result: HttpResult) -> None:
        reply = _reply_or_error(result)
        if isinstance(reply, StoreError):
            done(Err(reply))
            return
        try:
            done(Ok(LeaseId(decode(reply.body, type=_LeaseBody).lease)))
        except ValueError as exc:
            done(Err(StoreError(StoreErrorKind.NO_REPLY, f"reply does not decode: {exc}")))

    return on_done


def _reply_or_error(result: HttpResult) -> HttpReply | StoreError:
    """Sorts the outcome of a call into a reply and the kinds of error."""
    if isinstance(result, Err):
        failure = result.err_value
        kind = StoreErrorKind.NO_REPLY if failure.sent else StoreErrorKind.UNAVAILABLE
        return StoreError(kind, failure.detail)
    reply = result.ok_value
    if reply.status == STATUS_OK:
        return reply
    detail = reply.body[:200].decode("utf-8", "replace")
    if reply.status == STATUS_CONFLICT:
        return StoreError(StoreErrorKind.CONFLICT, "the revision differs", _conflict(reply.body))
    if reply.status in REFUSING_STATUSES:
        return StoreError(StoreErrorKind.UNAVAILABLE, f"status {reply.status}: {detail}")
    if reply.status >= FIRST_SERVER_ERROR:
        return StoreError(StoreErrorKind.NO_REPLY, f"status {reply.status}: {detail}")
    return StoreError(StoreErrorKind.REFUSED, f"status {reply.status}: {detail}")


def _conflict(body: bytes) -> StoreValue | None:
    """Returns the value that a refused write found, or None."""
    try:
        return _decode_value(body)
    except ValueError:
        return None


def _decode_value(body: bytes) -> StoreValue:
    """Decodes a value.

    Raises:
        ValueError: If the body is not a value.
    """
    try:
        wire = decode(body, type=_ValueBody)
    except DecodeError as exc:
        raise ValueError(str(exc)) from exc
    return StoreValue(wire.key, b64decode(wire.value, validate=True), Revision(wire.revision))
