"""Settings, callbacks and counts of the connections to upstreams."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from sequoiapulley.ids import ExchangeId, UpstreamName
from sequoiapulley.observe import LogEvent
from sequoiapulley.upstream.messages import LossKind, UpstreamReply


class PoolPolicy(Struct, frozen=True):
    """How connections are kept, the same for every upstream."""

    slow_open: float = 0.003
    """Opening slower than this is done ahead of need, in seconds."""
    spares: int = 2
    """Idle connections kept to an upstream that opens slowly."""
    max_idle: float = 30.0
    """An idle connection is closed after this time, in seconds."""
    max_connect: float = 1.0
    """Longest time to open a connection, in seconds."""
    reopen_delay: float = 1.0
    """Pause of opening ahead after a connection could not be used, in seconds."""
    run_max_idle: float = 1.0
    """A non-idempotent request uses no connection idle for longer, in seconds."""
    cancel_grace: float = 0.0
    """How long a cancelled exchange may still end on its own, in times to open a connection."""
    overdue: float = 1.0
    """An exchange this long past its deadline, in seconds, is given up with its connection."""
    log_interval: float = 10.0
    """Least time between two equal log events of one upstream, in seconds."""


class PoolSettings(Struct, frozen=True):
    """What the pool of one upstream keeps to."""

    name: UpstreamName
    host: str
    """IP address."""
    port: int
    allowance: int
    """Connections this node may hold, those being opened included."""
    open_s: float
    """Usual time to open a connection, in seconds."""


class PoolCallbacks(Struct, frozen=True):
    """Where outcomes go; each exchange has one, unless it was cancelled."""

    on_reply: Callable[[ExchangeId, UpstreamReply], None]
    on_lost: Callable[[ExchangeId, LossKind], None]
    on_event: Callable[[LogEvent, UpstreamName], None]


class TransportCounts(Struct):
    """State of the connections to upstreams, and totals since the start."""

    connections: int = 0
    idle: int = 0
    in_flight: int = 0
    waiting: int = 0
    """Exchanges that wait for a connection."""
    opened: int = 0
    """Connections opened, in total."""
    connect_failures: int = 0
    silent_closed: int = 0
    """Connections closed because they went silent, in total."""
    cancelled_closed: int = 0
    """Connections closed to cancel an exchange, in total."""
    malformed: int = 0
    """Replies that broke the contract, in total."""
