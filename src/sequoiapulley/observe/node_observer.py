"""The one place where a node's outcomes become metrics, burn and kept log events."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from sequoiapulley.ids import ConfigVersion, NodeId, ServiceName
from sequoiapulley.model.service import Service
from sequoiapulley.observe.burn import BurnRecorder
from sequoiapulley.observe.burn_messages import BurnShard
from sequoiapulley.observe.event_ring import EventRing, RecentEvents
from sequoiapulley.observe.log_event import LogEvent, LogSink
from sequoiapulley.observe.metric_set import MetricSet
from sequoiapulley.observe.metrics import (
    CONFIG_CHECK_SECONDS,
    CONFIG_VERSION,
    HOMES,
    IN_FLIGHT,
    LOG_EVENTS,
    MEMBERS,
    REQUEST_SECONDS,
    REQUESTS,
    REQUESTS_REFUSED,
    SEARCH_SECONDS,
    SEARCHES,
    SEARCHES_LATE,
    SHARDS_COVERED,
    SHARDS_LACKING,
    STORE_REACHABLE,
    UPTIME_SECONDS,
)
from sequoiapulley.observe.upstream_metrics import UpstreamSample, set_upstream_metrics
from sequoiapulley.runtime import Clock


class SearchSample(Struct, frozen=True):
    """What became of one search."""

    service: ServiceName
    seconds: float
    """Time from its arrival to its answer."""
    in_time: bool
    """Whether the answer was sent before the deadline."""
    covered: int
    """Shards covered."""
    lacking: tuple[str, ...]
    """Reason of each shard that is lacking."""
    complete: bool
    """Whether coverage reached what the caller asked for."""
    refused: bool = False
    """Whether the search was refused before any shard ran it."""


class RequestSample(Struct, frozen=True):
    """What became of one non-idempotent request."""

    service: ServiceName
    seconds: float
    """Time from its arrival to its outcome."""
    state: str
    """`done`, `not_run` or `unknown`."""
    reason: str = ""
    """Why it did not run, empty otherwise."""
    refused: bool = False
    """Whether the tier refused it; a key used twice is the caller's own fault."""


class NodeSample(Struct, frozen=True):
    """The state of a node when its metrics are read."""

    config_version: ConfigVersion
    member_states: tuple[str, ...]
    """State of each member known."""
    in_flight: int
    homes: int
    store_reachable: bool
    uptime_s: float
    upstreams: UpstreamSample | None = None
    """Work sent to upstreams; None leaves its metrics out."""


class NodeObserver:
    """Takes samples and log events of one node; it is the node's log sink."""

    def __init__(self, node: NodeId, clock: Clock, log: LogSink) -> None:
        """Initialise the observer.

        Args:
            node: The node.
            clock: Clock of the process.
            log: Sink that events are handed on to.
        """
        self.metrics = MetricSet()
        self._burn = BurnRecorder(node, clock)
        self._ring = EventRing(log, clock)
        self._member_states: set[str] = set()

    def log(self, event: LogEvent, **fields: object) -> None:
        """Counts, keeps and hands on one log event."""
        self.metrics.count(LOG_EVENTS, event.code)
        self._ring.log(event, **fields)

    def configure(self, services: Iterable[Service], check_s: float = 0.0) -> None:
        """Takes the services in force.

        Args:
            services: Every service of the configuration.
            check_s: Time that its check took, in seconds.
        """
        self._burn.configure(services)
        self.metrics.set(CONFIG_CHECK_SECONDS, check_s)

    def search_answered(self, sample: SearchSample) -> None:
        """Counts one search."""
        service = sample.service
        metrics = self.metrics
        if sample.refused:
            metrics.count(SEARCHES, service, "refused")
            self._burn.refused(service)
            return
        metrics.count(SEARCHES, service, "complete" if sample.complete else "incomplete")
        metrics.observe(SEARCH_SECONDS, sample.seconds, service)
        metrics.count(SHARDS_COVERED, service, amount=sample.covered)
        for reason, number in Counter(sample.lacking).items():
            metrics.count(SHARDS_LACKING, service, reason, amount=number)
        if not sample.in_time:
            metrics.count(SEARCHES_LATE, service)
        self._burn.search_answered(service, sample.seconds, sample.in_time, not sample.lacking)

    def request_finished(self, sample: RequestSample) -> None:
        """Counts one non-idempotent request."""
        service = sample.service
        self.metrics.count(REQUESTS, service, sample.state)
        self.metrics.observe(REQUEST_SECONDS, sample.seconds, service)
        if sample.reason:
            self.metrics.count(REQUESTS_REFUSED, service, sample.reason)
        if sample.refused:
            self._burn.refused(service)
            return
        self._burn.request_run(service)

    def render(self, sample: NodeSample) -> bytes:
        """Returns the metrics in the Prometheus text format.

        Args:
            sample: The node's state now.

        Returns:
            The text.
        """
        metrics = self.metrics
        metrics.set(CONFIG_VERSION, sample.config_version)
        metrics.set(IN_FLIGHT, sample.in_flight)
        metrics.set(HOMES, sample.homes)
        metrics.set(STORE_REACHABLE, int(sample.store_reachable))
        metrics.set(UPTIME_SECONDS, sample.uptime_s)
        if sample.upstreams is not None:
            set_upstream_metrics(metrics, sample.upstreams)
        numbers = Counter(sample.member_states)
        self._member_states.update(numbers)
        for state in self._member_states:
            metrics.set(MEMBERS, numbers[state], state)
        return metrics.render()

    def recent_events(self, after: int) -> RecentEvents:
        """Returns the kept log events after a sequence number."""
        return self._ring.after(after)

    def burn_shard(self) -> BurnShard:
        """Returns this node's part of the burn report."""
        return self._burn.shard()
