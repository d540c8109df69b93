"""What one stand-in upstream is, the faults in force on it, and what it counted."""

from __future__ import annotations

from msgspec import Struct, field


class UpstreamSpec(Struct):
    """One upstream, as the JSON file names it."""

    name: str
    instance: str
    service: str
    port: int = 0
    slots: int = 2
    connections: int = 60
    open_ms: float = 1.0
    """Time from accepting a connection to reading its first request."""
    host: str = "127.0.0.1"


class UpstreamFaults(Struct):
    """Behaviour and faults; every field may change at any time."""

    latency_ms: float = 2.0
    """Median time of a request in its slot."""
    latency_sigma: float = 0.3
    """Spread of the lognormal distribution of that time."""
    straggler_share: float = 0.0
    """Share of requests, 0 to 1, that take `straggler_factor` times as long."""
    straggler_factor: float = 20.0
    crawl_factor: float = 1.0
    """Factor on the time of every request."""
    cold_factor: float = 1.0
    """Factor on the time right after a start, falling to 1 over `cold_s`."""
    cold_s: float = 0.0
    snapshots: list[str] = field(default_factory=lambda: ["1.1"])
    """Index versions served, `<shard map>.<index>`; the last is the newest."""
    draining: bool = False
    """Refuse new requests with status 503; those that run finish."""
    drain_mark: bool = False
    """Serve requests and mark replies as draining."""
    queue_limit: int = 64
    """Requests that wait for a slot before more are refused with status 429."""
    shed_share: float = 0.0
    """Share of requests, 0 to 1, refused with status 429 whatever the load."""
    error_share: float = 0.0
    """Share of requests, 0 to 1, answered with status 500."""
    truncate_share: float = 0.0
    """Share of replies, 0 to 1, that end in the middle of the body."""
    crossed_share: float = 0.0
    """Share of replies, 0 to 1, that carry another request's id."""
    drop_share: float = 0.0
    """Share of requests, 0 to 1, whose connection is reset after they ran."""
    silent_share: float = 0.0
    """Share of requests, 0 to 1, that turn their connection silent before they run."""
    crash_text: str = ""
    """A request whose query or body holds this text crashes the upstream."""
    down_ms: float = 500.0
    """Time from a crash to the restart."""
    down: bool = False
    """Refuse connections, and reset those that are open."""
    reported_load: float | None = None
    """Load shown whatever the truth; None for the truth."""
    reported_draining: bool | None = None
    """Drain state that the health endpoint shows whatever the truth; None for the truth."""
    load_lag_ms: float = 0.0
    """Age of the load that is shown."""


class UpstreamCounters(Struct):
    """Counts since the start or the last reset."""

    received: int = 0
    """Requests read from the wire."""
    run: int = 0
    """Requests that got a slot and were answered."""
    cancelled: int = 0
    """Requests whose connection closed before the answer."""
    shed: int = 0
    expired: int = 0
    refused_draining: int = 0
    wrong_snapshot: int = 0
    crashes: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    """Connections reset because the limit was reached."""
    open_connections: int = 0
    """Connections open now."""
    peak_connections: int = 0
    running: int = 0
    """Requests in a slot now."""
    peak_running: int = 0
    peak_queue: int = 0
