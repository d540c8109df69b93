"""Messages between the callers' server, the decisions on a request, and the exchanges."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from msgspec import Struct, field

from sequoiapulley.ids import FailureDomainName, RequestId, ServiceName, UpstreamName
from sequoiapulley.wire.reply_parser import ParsedReply

Headers = tuple[tuple[bytes, bytes], ...]


class UpstreamRecord(Struct, frozen=True):
    """What an upstream says of itself."""

    name: UpstreamName
    service: ServiceName
    host: str
    """IP address."""
    port: int
    failure_domain: FailureDomainName = field(name="place")
    slots: int
    """Requests that it runs at a time."""
    draining: bool
    cold_for: float
    """Seconds that it stays slow after its start, as told at the time of the record."""
    started_ms: int
    """Unix milliseconds of its start; 0 if unknown."""


class CallerRequest(Struct, frozen=True):
    """One whole request of a caller, as the route's upstreams get it."""

    id: RequestId
    """Id of this attempt, drawn by the caller."""
    method: bytes
    target: bytes
    """Path and query, unchanged."""
    host: str
    headers: Headers
    """Headers that are forwarded unchanged."""
    body: bytes
    time_left: float | None
    """Seconds that the caller waits, from the arrival; None if not told."""
    arrived: float
    """Clock reading at which the request was whole."""


class Answer(Struct, frozen=True):
    """The answer to a caller."""

    status: int
    headers: Headers
    body: bytes


class ExchangeEnd(Enum):
    """How an exchange with an upstream ended."""

    REPLY = "reply"
    """A whole reply to this request; the upstream ran it."""
    NOT_RUN = "not_run"
    """The upstream says that it did not run the request."""
    WRONG_UPSTREAM = "wrong_upstream"
    """Another upstream has the address; the request did not run."""
    NOT_SENT = "not_sent"
    """No byte of the request left."""
    LOST = "lost"
    """The connection ended without a reply; the request may have run."""
    MALFORMED = "malformed"
    """The reply was cut short or broke HTTP; the request may have run."""


NEVER_RAN = frozenset({ExchangeEnd.NOT_RUN, ExchangeEnd.WRONG_UPSTREAM, ExchangeEnd.NOT_SENT})
"""Ends after which a request has not run and will not."""


class LoadReport(Struct, frozen=True):
    """What an upstream's reply says of its load."""

    running: int
    waiting: int
    slots: int


class ExchangeReply(Struct, frozen=True):
    """What came back of one exchange."""

    end: ExchangeEnd
    reply: ParsedReply | None = None
    seal: bytes | None = None
    """The upstream's proof of its reply, forwarded unchanged."""
    load: LoadReport | None = None


ExchangeCallback = Callable[[ExchangeReply], None]
"""Receives the end of one exchange, once."""
