"""State that passes between nodes over HTTP, so that few of them read the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode
from result import Err, Ok

from sequoiapulley.forward.change_log import NO_REVISION, ChangeLog
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.forward.state import (
    ChangeSet,
    ChangesReply,
    SourceError,
    SourceErrorKind,
)
from sequoiapulley.ids import Revision
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.server_connection import ServerRequest

CHANGES_PATH: Final = "/v1/changes"
MOST_WAIT_S: Final = 5.0
"""Longest wait for a change that a peer may ask for."""
MOST_AGE_S: Final = 1.9
"""Age beyond which a node's state is no use to peers that can read the store: twice the reader's
pace, less than a read of the store and the bound on a configuration leave."""
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_UNAVAILABLE: Final = 503
MSGPACK: Final = ((b"Content-Type", b"application/msgpack"),)


class PeerSource:
    """Implements `StateSource` by asking one peer."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        """Initialise the source.

        Args:
            client: Sends the calls.
            address: Where the peer serves its state.
        """
        self._client = client
        self.address = address

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads everything."""
        self._ask(NO_REVISION, 0.0, timeout, done)

    def read_changes(
        self, after: Revision, wait: float, timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Reads the changes after a revision, or everything if the peer lacks some of them."""
        self._ask(after, wait, timeout, done)

    def _ask(
        self, after: Revision, wait: float, timeout: float, done: Callable[[ChangesReply], None]
    ) -> None:
        """Sends the question."""
        path = f"{CHANGES_PATH}?after={after}&wait_ms={int(wait * 1000)}"
        host, port = self.address.host, self.address.port
        call = HttpCall(host, port, "GET", path, timeout=wait + timeout)
        self._client.request(call, lambda result: done(self._decode(result)))

    def _decode(self, result: HttpResult) -> ChangesReply:
        """Decodes a peer's reply."""
        if isinstance(result, Err):
            return self._failed(result.err_value.detail)
        if result.ok_value.status != STATUS_OK:
            return self._failed(f"status {result.ok_value.status}")
        try:
            return Ok(decode(result.ok_value.body, type=ChangeSet))
        except (DecodeError, ValidationError) as exc:
            return self._failed(f"reply does not decode: {exc}")

    def _failed(self, detail: str) -> ChangesReply:
        """Returns the error of a read that another source may answer."""
        text = f"peer {self.address.host}: {detail}"
        return Err(SourceError(SourceErrorKind.UNAVAILABLE, text))


class _Waiter:
    """A peer that waits for the next change."""

    __slots__ = ("after", "req")

    def __init__(self, req: ServerRequest, after: Revision) -> None:
        """Initialise a waiter."""
        self.req = req
        self.after = after


class PeerPort:
    """Answers peers that ask for this node's state."""

    def __init__(
        self,
        changes: ChangeLog,
        timers: TimerQueue,
        image: Callable[[float], ChangeSet],
        age: Callable[[], float],
    ) -> None:
        """Initialise without waiting peers.

        Args:
            changes: What this node applied last.
            timers: Timers of the event loop.
            image: Returns everything this node knows, of a given age.
            age: Returns the seconds since the store was as this node knows it.
        """
        self._changes = changes
        self._timers = timers
        self._image = image
        self._age = age
        self._waiting: list[_Waiter] = []

    def serve(self, req: ServerRequest) -> None:
        """Answers one question, at once or with the next change."""
        path, _, query = req.parsed.target.decode("latin-1").partition("?")
        if path != CHANGES_PATH:
            req.answer(STATUS_NOT_FOUND, (), b"")
            return
        fields = parse_qs(query)
        after = Revision(_number(fields.get("after")))
        if after < self._changes.revision or self._changes.revision == NO_REVISION:
            self._answer(req, after)
            return
        wait = min(MOST_WAIT_S, _number(fields.get("wait_ms")) / 1000)
        waiter = _Waiter(req, after)
        self._waiting.append(waiter)
        self._timers.call_later(wait, lambda: self._end_wait(waiter))

    def wake(self) -> None:
        """Answers the peers that wait for what has now been read."""
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if waiter.after < self._changes.revision:
                self._answer(waiter.req, waiter.after)
            else:
                self._waiting.append(waiter)

    def _end_wait(self, waiter: _Waiter) -> None:
        """Answers a peer that has waited long enough."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            self._answer(waiter.req, waiter.after)

    def _answer(self, req: ServerRequest, after: Revision) -> None:
        """Sends the changes after a revision, or everything."""
        age = self._age()
        knows_nothing = self._changes.revision == NO_REVISION
        if knows_nothing or (age > MOST_AGE_S and after != NO_REVISION):
            req.answer(STATUS_UNAVAILABLE, (), b"")
            return
        since = self._changes.since(after)
        if since is None:
            changes = self._image(age)
        else:
            changes = ChangeSet(self._changes.revision, since, age=age)
        req.answer(STATUS_OK, MSGPACK, encode(changes))


def _number(values: list[str] | None) -> int:
    """Returns the first value of a query field as a whole number, 0 if there is none."""
    text = values[0] if values else ""
    return int(text) if text.isdigit() else 0
