"""Description, fault settings and counters of a stand-in upstream."""

from __future__ import annotations

from msgspec import Struct, field


class UpstreamSpec(Struct):
    """Description of one upstream, as in the JSON file of `standins.upstreams`."""

    name: str
    instance: str
    service: str
    port: int = 0
    slots: int = 2
    connections: int = 60
    open_ms: float = 1.0
    """Time between accepting a connection and starting to read from it."""
    host: str = "127.0.0.1"


class UpstreamFaults(Struct):
    """Service times and faults of an upstream; every field may change at any time."""

    latency_ms: float = 2.0
    """Median service time of a request."""
    latency_sigma: float = 0.3
    """Sigma of the lognormal distribution of the service time."""
    straggler_share: float = 0.0
    """Share of requests, 0 to 1, whose service time is multiplied by `straggler_factor`."""
    straggler_factor: float = 20.0
    crawl_factor: float = 1.0
    """Factor on the service time of every request."""
    cold_factor: float = 1.0
    """Factor on the service time right after a start; falls linearly to 1 over `cold_s`."""
    cold_s: float = 0.0
    snapshots: list[str] = field(default_factory=lambda: ["1.1"])
    """Index versions served, `<shard map>.<index>`; the last is the newest."""
    draining: bool = False
    """Refuse new requests with status 503; running requests complete."""
    drain_mark: bool = False
    """Serve requests but mark their replies as draining."""
    queue_limit: int = 64
    """Maximum number of requests waiting for a slot; more are refused with status 429."""
    shed_share: float = 0.0
    """Share of requests, 0 to 1, refused with status 429 regardless of the load."""
    error_share: float = 0.0
    """Share of requests, 0 to 1, answered with status 500."""
    truncate_share: float = 0.0
    """Share of replies, 0 to 1, that are truncated; a short reply may end within its head."""
    crossed_share: float = 0.0
    """Share of replies, 0 to 1, that carry the id of another request."""
    drop_share: float = 0.0
    """Share of requests, 0 to 1, whose connection is reset after they ran."""
    silent_share: float = 0.0
    """Share of requests, 0 to 1, that are not run and make their connection unresponsive."""
    crash_text: str = ""
    """A request whose field `query` or `request` contains this text crashes the upstream."""
    down_ms: float = 500.0
    """Time from a crash to the restart."""
    down: bool = False
    """Refuse new connections and reset the open ones."""
    reported_load: float | None = None
    """Load to report instead of the actual one, or None."""
    reported_draining: bool | None = None
    """Drain state that the health endpoint reports instead of the actual one, or None."""
    load_lag_ms: float = 0.0
    """Age of the reported load."""


class UpstreamCounters(Struct):
    """Counters since the start or the last reset."""

    received: int = 0
    """Search and run requests received."""
    run: int = 0
    """Requests that ran to completion in a slot; runs by idempotency key count starts instead."""
    cancelled: int = 0
    """Requests whose connection closed while they waited or ran."""
    shed: int = 0
    expired: int = 0
    refused_draining: int = 0
    wrong_snapshot: int = 0
    crashes: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    """Connections reset because the limit was reached."""
    open_connections: int = 0
    """Currently open connections."""
    peak_connections: int = 0
    running: int = 0
    """Requests that currently occupy a slot."""
    peak_running: int = 0
    peak_queue: int = 0
