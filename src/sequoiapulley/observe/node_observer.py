"""Observer that turns a node's outcomes into metrics, burn counts and stored log events."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from sequoiapulley.ids import ConfigVersion, NodeId, ServiceName
from sequoiapulley.model.service import Service
from sequoiapulley.observe.burn import BurnRecorder
from sequoiapulley.observe.burn_messages import NodeBurnReport
from sequoiapulley.observe.event_ring import EventRing, RecentEvents
from sequoiapulley.observe.log_event import LogEvent, LogSink
from sequoiapulley.observe.metric_set import MetricSet
from sequoiapulley.observe.metrics import (
    CONFIG_CHECK_SECONDS,
    CONFIG_VERSION,
    CONNECTION_BYTES,
    HOME_UPSTREAMS,
    IN_FLIGHT,
    LOG_EVENTS,
    MEMBERS,
    OPEN_CONNECTIONS,
    REQUEST_SECONDS,
    REQUESTS,
    REQUESTS_REFUSED,
    SEARCH_SECONDS,
    SEARCHES,
    SEARCHES_LATE,
    SHARDS_COVERED,
    SHARDS_MISSING,
    STORE_REACHABLE,
    UPTIME_SECONDS,
)
from sequoiapulley.observe.upstream_metrics import UpstreamSample, set_upstream_metrics
from sequoiapulley.runtime import Clock


class SearchSample(Struct, frozen=True):
    """Outcome of one search."""

    service: ServiceName
    seconds: float
    """Time from arrival to answer, in seconds."""
    in_time: bool
    """Whether the answer was sent before the deadline."""
    covered: int
    """Number of shards covered by the answer."""
    missing_reasons: tuple[str, ...]
    """Reason for each missing shard."""
    complete: bool
    """Whether the answer has the coverage that the caller asked for."""
    refused: bool = False
    """Whether the answer covers no shard and every shard refused the search."""


class RequestSample(Struct, frozen=True):
    """Outcome of one non-idempotent request."""

    service: ServiceName
    seconds: float
    """Time from arrival to outcome, in seconds."""
    state: str
    """`done`, `not_run` or `unknown`."""
    reason: str = ""
    """Why the request did not run; empty otherwise."""
    refused: bool = False
    """Whether the request counts as refused in the `not_refused` objective. A request that did not
    run through the caller's fault, such as a reused idempotency key, does not."""


class NodeSample(Struct, frozen=True):
    """The state of a node when its metrics are read."""

    config_version: ConfigVersion
    member_states: tuple[str, ...]
    """State of each member in the node's view."""
    in_flight: int
    homes: int
    """Number of upstreams whose connections the node owns."""
    store_reachable: bool
    uptime_s: float
    upstreams: UpstreamSample | None = None
    """Totals of the work sent to upstreams; None if their metrics are not set."""
    connections: int = 0
    """Number of accepted connections."""
    connection_bytes: int = 0
    """Memory that they occupy, in bytes."""


class NodeObserver:
    """Records the outcomes and log events of one node, and is the log sink of the node."""

    def __init__(self, node: NodeId, clock: Clock, log: LogSink) -> None:
        """Initialise the observer.

        Args:
            node: Id of the local node.
            clock: Clock of the process.
            log: Sink that events are forwarded to.
        """
        self.metrics = MetricSet()
        self._burn = BurnRecorder(node, clock)
        self._ring = EventRing(log, clock)
        self._member_states: set[str] = set()

    def log(self, event: LogEvent, **fields: object) -> None:
        """Counts, stores and forwards one log event."""
        self.metrics.count(LOG_EVENTS, event.code)
        self._ring.log(event, **fields)

    def configure(self, services: Iterable[Service], check_s: float = 0.0) -> None:
        """Sets the active services.

        Args:
            services: All services of the active configuration.
            check_s: Duration of the check of this configuration, in seconds.
        """
        self._burn.configure(services)
        self.metrics.set(CONFIG_CHECK_SECONDS, check_s)

    def record_search(self, sample: SearchSample) -> None:
        """Records the outcome of one search."""
        service = sample.service
        metrics = self.metrics
        if sample.refused:
            metrics.count(SEARCHES, service, "refused")
            self._burn.record_refusal(service)
            return
        metrics.count(SEARCHES, service, "complete" if sample.complete else "incomplete")
        metrics.observe(SEARCH_SECONDS, sample.seconds, service)
        metrics.count(SHARDS_COVERED, service, amount=sample.covered)
        for reason, number in Counter(sample.missing_reasons).items():
            metrics.count(SHARDS_MISSING, service, reason, amount=number)
        if not sample.in_time:
            metrics.count(SEARCHES_LATE, service)
        self._burn.record_search(
            service, sample.seconds, sample.in_time, not sample.missing_reasons
        )

    def record_request(self, sample: RequestSample) -> None:
        """Records the outcome of one non-idempotent request."""
        service = sample.service
        self.metrics.count(REQUESTS, service, sample.state)
        self.metrics.observe(REQUEST_SECONDS, sample.seconds, service)
        if sample.reason:
            self.metrics.count(REQUESTS_REFUSED, service, sample.reason)
        if sample.refused:
            self._burn.record_refusal(service)
            return
        self._burn.record_accepted_request(service)

    def render(self, sample: NodeSample) -> bytes:
        """Returns the metrics in the Prometheus text format.

        Args:
            sample: Current state of the node.

        Returns:
            The rendered text.
        """
        metrics = self.metrics
        metrics.set(CONFIG_VERSION, sample.config_version)
        metrics.set(IN_FLIGHT, sample.in_flight)
        metrics.set(HOME_UPSTREAMS, sample.homes)
        metrics.set(STORE_REACHABLE, int(sample.store_reachable))
        metrics.set(UPTIME_SECONDS, sample.uptime_s)
        metrics.set(OPEN_CONNECTIONS, sample.connections)
        metrics.set(CONNECTION_BYTES, sample.connection_bytes)
        if sample.upstreams is not None:
            set_upstream_metrics(metrics, sample.upstreams)
        numbers = Counter(sample.member_states)
        self._member_states.update(numbers)
        for state in self._member_states:
            metrics.set(MEMBERS, numbers[state], state)
        return metrics.render()

    def recent_events(self, after: int) -> RecentEvents:
        """Returns the stored log events after a sequence number."""
        return self._ring.events_after(after)

    def node_burn_report(self) -> NodeBurnReport:
        """Returns the local node's part of the burn report."""
        return self._burn.node_report()
