"""Data types passed between the callers' server, the forwarding logic and the exchanges."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final

from msgspec import Struct, field
from xxhash import xxh3_128_hexdigest

from sequoiapulley.ids import (
    FailureDomainName,
    Fingerprint,
    RequestId,
    ServiceName,
    UpstreamName,
)
from sequoiapulley.wire.reply_parser import ParsedReply
from sequoiapulley.wire.request_parser import BYTES_PER_HEADER

Headers = tuple[tuple[bytes, bytes], ...]

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""


class UpstreamRecord(Struct, frozen=True):
    """Record that an upstream publishes about itself."""

    name: UpstreamName
    service: ServiceName
    host: str
    """IP address."""
    port: int
    failure_domain: FailureDomainName = field(name="place")
    slots: int
    """Number of requests that it runs concurrently."""
    draining: bool
    cold_for: float
    """Remaining seconds of the slow phase after its start, as of the record's creation."""
    started_ms: int
    """Start time in Unix milliseconds; 0 if unknown."""
    report_number: int = 0
    """Number of the report since the upstream's start, rising; 0 if unknown."""


class CallerRequest(Struct, frozen=True):
    """One complete request of a caller, in the form that is forwarded to upstreams."""

    id: RequestId
    """Id of this attempt, chosen by the caller."""
    method: bytes
    target: bytes
    """Path and query, unchanged."""
    host: str
    headers: Headers
    """Headers that are forwarded unchanged."""
    body: bytes
    time_left: float | None
    """Seconds from the arrival until the caller's deadline; None if the request has none."""
    arrived: float
    """Clock reading at which the request was completely received."""

    @property
    def memory(self) -> int:
        """Approximate memory of headers and body, in bytes."""
        headers = sum(BYTES_PER_HEADER + len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body)

    @property
    def fingerprint(self) -> Fingerprint:
        """Hash of the content, the same for every attempt that sends the same request."""
        host = self.host.encode("latin-1")
        content = b"%b %b %b\n%b" % (self.method, host, self.target, self.body)
        return Fingerprint(xxh3_128_hexdigest(content))


class Answer(Struct, frozen=True):
    """The answer to a caller."""

    status: int
    headers: Headers
    body: bytes


class ExchangeEnd(Enum):
    """How an exchange with an upstream ended."""

    REPLY = "reply"
    """A complete reply to this request; the upstream ran it."""
    NOT_RUN = "not_run"
    """The upstream replied that it did not run the request."""
    WRONG_UPSTREAM = "wrong_upstream"
    """Another upstream uses the address; the request was not run."""
    NOT_SENT = "not_sent"
    """No byte of the request was sent."""
    LOST = "lost"
    """The connection closed without a reply; the request may have been run."""
    MALFORMED = "malformed"
    """The reply was truncated or violated HTTP; the request may have been run."""


NEVER_RAN = frozenset({ExchangeEnd.NOT_RUN, ExchangeEnd.WRONG_UPSTREAM, ExchangeEnd.NOT_SENT})
"""Exchange ends after which the request has not been run and will not be."""


class LoadReport(Struct, frozen=True):
    """Load of an upstream, as reported in its replies."""

    running: int
    waiting: int
    slots: int


class PauseRequest(Struct, frozen=True):
    """Request of an upstream to send it nothing for a while."""

    seconds: float | None
    """Length of the pause; None if the upstream's value is not a number."""
    text: str
    """The value as the upstream sent it."""


class StatedLimit(Struct, frozen=True):
    """Rate of requests that an upstream accepts from all nodes together."""

    per_second: float | None
    """Requests per second; None if the upstream's value is not a number."""
    text: str
    """The value as the upstream sent it."""


class ExchangeReply(Struct, frozen=True):
    """Outcome of one exchange."""

    end: ExchangeEnd
    reply: ParsedReply | None = None
    seal: bytes | None = None
    """Message authentication code (seal) of the upstream's reply, forwarded unchanged."""
    load: LoadReport | None = None
    leaving: bool = False
    """Whether the upstream announced that it is about to shut down."""
    pause: PauseRequest | None = None
    """Pause that the upstream requested when it turned the request away."""
    limit: StatedLimit | None = None
    """Limit on requests that the upstream stated; None if it stated none."""
    detail: str = ""
    """Why a reply was refused as malformed, for the log; empty if it was not."""

    @property
    def may_be_forwarded(self) -> bool:
        """Whether a caller may receive the reply.

        The request has run, so a status that promises the opposite must not reach the caller.
        """
        if self.end is not ExchangeEnd.REPLY or self.reply is None:
            return False
        return self.reply.status not in NOT_RUN_STATUSES


ExchangeCallback = Callable[[ExchangeReply], None]
"""Called once with the outcome of an exchange."""
