"""Settings, callbacks and counters of the connections to upstreams."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.observe import LogEvent
from sequoiapulley.upstream.messages import LossKind, UpstreamReply


class PoolPolicy(Struct, frozen=True):
    """Connection handling that is the same for all upstreams."""

    slow_connect_s: float = 0.003
    """Spare connections are kept open to upstreams whose connect time is at least this long."""
    spare_connections: int = 2
    """Number of idle connections to keep open to an upstream with a long connect time."""
    max_idle_s: float = 30.0
    """An idle connection is closed after this time."""
    connect_timeout_s: float = 1.0
    """Timeout for opening a connection."""
    reopen_delay_s: float = 1.0
    """No spare connections are opened for this time after a connection failed unused."""
    run_max_idle_s: float = 1.0
    """A non-idempotent request is not sent on a connection that was idle for longer."""
    cancel_grace: float = 0.0
    """Time for which a cancelled exchange may still complete, as a multiple of the connect time."""
    overdue_s: float = 1.0
    """An exchange is discarded with its connection this long after its deadline."""
    log_interval_s: float = 10.0
    """Minimum time between two equal log events of one upstream."""


class PoolSettings(Struct, frozen=True):
    """Address and limits of the connection pool of one upstream."""

    name: UpstreamName
    host: str
    """IP address of the upstream."""
    port: int
    allowance: int
    """Maximum number of connections of this node, including those being opened."""
    connect_time_s: float
    """Usual time to open a connection, in seconds."""


class PoolCallbacks(Struct, frozen=True):
    """Receivers of outcomes and log events; an exchange has one outcome, unless cancelled."""

    on_reply: Callable[[ExchangeId, UpstreamReply], None]
    on_lost: Callable[[ExchangeId, LossKind], None]
    on_event: Callable[[LogEvent, UpstreamName], None]


class TransportCounts(Struct):
    """State of the connections to upstreams, and totals since the process started."""

    connections: int = 0
    idle: int = 0
    in_flight: int = 0
    """Exchanges without an outcome, including those in `waiting`."""
    waiting: int = 0
    """Exchanges queued until a connection is available."""
    opened: int = 0
    """Total of connections opened."""
    connect_failures: int = 0
    silent_closed: int = 0
    """Total of connections closed because they were silent."""
    cancelled_closed: int = 0
    """Total of connections closed to cancel an exchange."""
    malformed: int = 0
    """Total of replies that violated the contract."""
