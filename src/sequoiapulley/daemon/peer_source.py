"""Replication of shared state between nodes over HTTP, so that few nodes read the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs

from msgspec.structs import replace
from result import Err, Ok

from sequoiapulley.daemon.state_reply import (
    DEFLATE,
    MIN_COMPRESSED_BYTES,
    DeltaSource,
    StateReplyError,
    compress_state,
    decode_state,
    decompress_state,
    encode_state,
)
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.log_events import STATE_SENT
from sequoiapulley.forward.messages import Headers
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.forward.route_table import RouteTable
from sequoiapulley.forward.state import (
    MAX_TRANSFER_S,
    ChangeSet,
    ChangesReply,
    SourceError,
    SourceErrorKind,
)
from sequoiapulley.forward.store_position import NO_ERA, NO_POSITION, StorePosition
from sequoiapulley.forward.tally import Tally
from sequoiapulley.ids import ConfigVersion, Era, Revision
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult
from sequoiapulley.wire.server_connection import ServerRequest

CHANGES_PATH: Final = "/v1/changes"
MAX_WAIT_S: Final = 5.0
"""Longest time for which a peer's request may wait for a change."""
MAX_STATE_AGE_S: Final = 1.9
"""Age of a node's state beyond which it no longer serves changes, so that peers read from the store
or another peer; a request for the full state is still answered. The age is almost twice the read
interval of the store reader, and leaves time for a read of the store within the bound on applying a
configuration."""
MAX_RECEIVING_AGE_S: Final = 3.5
"""Such an age while a reply with newer state is arriving at the node: other sources would need as
long for it, 1.6 s for the store's largest reply on a link of 7 Mbit/s."""
LARGE_REPLY_BYTES: Final = 65_536
"""Size of replies sent at a time from which they are logged; upstreams that come and go make less
than a tenth of it."""
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_UNAVAILABLE: Final = 503
ACCEPT_ENCODING: Final = b"accept-encoding"
CONTENT_ENCODING: Final = b"content-encoding"
ACCEPT_DEFLATE: Final = ((ACCEPT_ENCODING.decode(), DEFLATE.decode()),)
MSGPACK_HEADERS: Final = ((b"Content-Type", b"application/msgpack"),)
DEFLATED_HEADERS: Final = (*MSGPACK_HEADERS, (CONTENT_ENCODING, DEFLATE))

_ReplyKey = tuple[StorePosition, ConfigVersion, bool]
"""What a reply depends on: position, configuration and accepted encoding of the peer."""
_EncodedReply = tuple[Headers, bytes]
"""Headers and body of a reply."""


class PeerSource:
    """Implements `StateSource` with requests to one peer."""

    def __init__(
        self, client: HttpClient, address: Address, table: Callable[[], RouteTable | None]
    ) -> None:
        """Initialise the source.

        Args:
            client: Sends the requests.
            address: Address at which the peer serves its state.
            table: Returns this node's configuration, so that the peer sends only what differs.
        """
        self._client = client
        self.address = address
        self._table = table
        self._accepts_delta = True
        """Whether to ask for a difference; not after one that did not fit."""

    @property
    def receiving(self) -> bool:
        """Whether a part of a reply has arrived."""
        return self._client.is_receiving(self.address.host, self.address.port)

    def close_idle(self) -> None:
        """Closes idle connections to the peer."""
        self._client.close_idle(self.address.host, self.address.port)

    def read_all(self, exact: bool, timeout: float, done: Callable[[ChangesReply], None]) -> None:
        """Reads the full state that the peer has; `exact` has no effect."""
        self._ask(NO_POSITION, 0.0, timeout, done)

    def read_changes(
        self,
        after: StorePosition,
        wait: float,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        """Reads the changes after a position, or the full state if the peer lacks some of them."""
        self._ask(after, wait, timeout, done)

    def _ask(
        self,
        after: StorePosition,
        wait: float,
        timeout: float,
        done: Callable[[ChangesReply], None],
    ) -> None:
        """Sends a request for the changes after a position."""
        table = self._table() if self._accepts_delta else None
        query = f"after={after.revision}&era={after.era}&wait_ms={int(wait * 1000)}"
        if table is not None:
            query += f"&config={table.version}"
        path = f"{CHANGES_PATH}?{query}"
        host, port = self.address.host, self.address.port
        limit = wait + timeout + MAX_TRANSFER_S
        call = HttpCall(
            host, port, "GET", path, ACCEPT_DEFLATE, timeout=wait + timeout, transfer_timeout=limit
        )
        self._client.request(call, lambda result: done(self._decode(result, after.era)))

    def _decode(self, result: HttpResult, era: Era) -> ChangesReply:
        """Decodes a peer's reply; nodes of earlier versions state no era, so `era` applies."""
        if isinstance(result, Err):
            return self._unavailable_error(result.err_value.detail)
        reply = result.ok_value
        if reply.status != STATUS_OK:
            return self._unavailable_error(f"status {reply.status}")
        try:
            deflated = (CONTENT_ENCODING, DEFLATE) in reply.headers
            body = decompress_state(reply.body) if deflated else reply.body
            changes = decode_state(body, self._table())
        except StateReplyError as exc:
            self._accepts_delta = False
            return self._unavailable_error(str(exc))
        self._accepts_delta = True
        return Ok(changes if changes.era != NO_ERA else replace(changes, era=era))

    def _unavailable_error(self, detail: str) -> ChangesReply:
        """Returns the error of a failed read, after which another source is tried."""
        text = f"peer {self.address.host}: {detail}"
        return Err(SourceError(SourceErrorKind.UNAVAILABLE, text))


class _StateRequest:
    """A peer's request for the changes after a position."""

    __slots__ = ("accepts_deflate", "after", "base", "req")

    def __init__(self, req: ServerRequest, after: StorePosition, base: ConfigVersion) -> None:
        self.req = req
        self.after = after
        self.base = base
        """Configuration version that the peer has; 0 if it wants the whole configuration."""
        self.accepts_deflate = any(
            name.lower() == ACCEPT_ENCODING and DEFLATE in value
            for name, value in req.parsed.headers
        )


class PeerPort:
    """Serves this node's state to peers."""

    def __init__(
        self,
        changes: ChangeLog,
        timers: TimerQueue,
        full_state: Callable[[float], ChangeSet],
        delta_after: DeltaSource,
        age: Callable[[], float],
        receiving: Callable[[], bool],
        tally: Tally,
        log: LogSink,
    ) -> None:
        """Initialise without waiting requests.

        Args:
            changes: Log of the changes that this node applied.
            timers: Timers of the event loop.
            full_state: Returns the full state, marked with the given age in seconds.
            delta_after: Returns the difference to a configuration version, if it is known.
            age: Returns the age of this node's state in seconds.
            receiving: Returns whether a reply with newer state is arriving at this node.
            tally: Counts the replies and their bytes.
            log: Receives an event when large replies are sent.
        """
        self._changes = changes
        self._timers = timers
        self._full_state = full_state
        self._delta_after = delta_after
        self._age = age
        self._receiving = receiving
        self._tally = tally
        self._log = log
        self._waiters: list[_StateRequest] = []

    def serve(self, req: ServerRequest) -> None:
        """Answers a request at once, or when the next change arrives or the wait ends."""
        path, _, query = req.parsed.target.decode("latin-1").partition("?")
        if path != CHANGES_PATH:
            req.answer(STATUS_NOT_FOUND, (), b"")
            return
        fields = parse_qs(query)
        position = self._changes.position
        # Nodes of earlier versions ask without an era.
        era = _parse_number(fields["era"]) if "era" in fields else position.era
        after = StorePosition(Era(era), Revision(_parse_number(fields.get("after"))))
        if after.era > position.era and position != NO_POSITION:
            # The store was restored, and this node has not read it since.
            req.answer(STATUS_UNAVAILABLE, (), b"")
            return
        request = _StateRequest(req, after, ConfigVersion(_parse_number(fields.get("config"))))
        if after < position or position == NO_POSITION:
            self._log_sent([self._answer(request, {})])
            return
        wait = min(MAX_WAIT_S, _parse_number(fields.get("wait_ms")) / 1000)
        self._waiters.append(request)
        self._timers.call_later(wait, lambda: self._end_wait(request))

    def wake(self) -> None:
        """Answers the waiting requests for which there are changes now."""
        waiting, self._waiters = self._waiters, []
        sizes: list[int] = []
        encoded: dict[_ReplyKey, _EncodedReply] = {}
        for waiter in waiting:
            if waiter.after < self._changes.position:
                sizes.append(self._answer(waiter, encoded))
            else:
                self._waiters.append(waiter)
        self._log_sent(sizes)

    def _end_wait(self, waiter: _StateRequest) -> None:
        """Answers a request whose wait has ended, without changes."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._log_sent([self._answer(waiter, {})])

    def _log_sent(self, sizes: list[int]) -> None:
        """Logs the sizes of replies that were sent together, if they are large."""
        if sum(sizes) >= LARGE_REPLY_BYTES:
            self._log.log(STATE_SENT, replies=len(sizes), bytes=sum(sizes))

    def _is_stale(self, age: float) -> bool:
        """Returns whether peers should read from the store or another peer."""
        return age > (MAX_RECEIVING_AGE_S if self._receiving() else MAX_STATE_AGE_S)

    def _encode(self, request: _StateRequest, changes: ChangeSet) -> _EncodedReply:
        """Returns the headers and the body of a reply, compressed if the peer accepts that."""
        body = encode_state(changes, request.base, self._delta_after)
        if request.accepts_deflate and len(body) >= MIN_COMPRESSED_BYTES:
            return DEFLATED_HEADERS, compress_state(body)
        return MSGPACK_HEADERS, body

    def _answer(self, request: _StateRequest, encoded: dict[_ReplyKey, _EncodedReply]) -> int:
        """Sends the changes after a position, or the full state if some are no longer logged.

        Refuses if this node has no state, or if its state is stale and the peer asks for changes
        only.

        Args:
            request: The peer's request.
            encoded: Replies to other peers at this moment, which are used again.

        Returns:
            The size of the reply's body.
        """
        age = self._age()
        position = self._changes.position
        wants_full_state = request.after.revision == NO_POSITION.revision
        if position == NO_POSITION or (self._is_stale(age) and not wants_full_state):
            self._tally.state_replies["refused"] += 1
            request.req.answer(STATUS_UNAVAILABLE, (), b"")
            return 0
        recent = self._changes.changes_after(request.after)
        if recent is None:
            changes = self._full_state(age)
        else:
            changes = ChangeSet(position.revision, recent, age=age, era=position.era)
        key = (request.after, request.base, request.accepts_deflate)
        if key not in encoded:
            encoded[key] = self._encode(request, changes)
        headers, body = encoded[key]
        self._tally.state_replies["full" if changes.whole else "changes"] += 1
        self._tally.state_reply_bytes += len(body)
        request.req.answer(STATUS_OK, headers, body)
        return len(body)


def _parse_number(values: list[str] | None) -> int:
    """Returns the first value of a query field as an integer, 0 if there is none."""
    text = values[0] if values else ""
    return int(text) if text.isdigit() else 0
