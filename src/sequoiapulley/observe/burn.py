"""Recorder of a node's events that count towards the service-level objectives."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from sequoiapulley.ids import NodeId, ServiceName
from sequoiapulley.model.service import Service
from sequoiapulley.observe._burn_counts import (
    FULL_COVERAGE_GOOD,
    FULL_COVERAGE_TOTAL,
    IN_TIME_GOOD,
    IN_TIME_TOTAL,
    LATENCY_WINDOWS,
    NOT_REFUSED_GOOD,
    NOT_REFUSED_TOTAL,
    WINDOW_LEVELS,
    ServiceCounts,
)
from sequoiapulley.observe.burn_messages import (
    BurnWindow,
    NodeBurnReport,
    ObjectiveCount,
    ServiceBurn,
)
from sequoiapulley.runtime import Clock

MAX_SERVICES: Final = 256


class BurnRecorder:
    """Counts the outcomes of searches and requests on one node, per service and rolling window."""

    def __init__(self, node: NodeId, clock: Clock) -> None:
        """Initialise the recorder without services.

        Args:
            node: Id of the local node.
            clock: Clock of the process.
        """
        self._node = node
        self._clock = clock
        self._started_at = clock.now()
        self._services: dict[ServiceName, Service] = {}
        self._counts: dict[ServiceName, ServiceCounts] = {}

    def configure(self, services: Iterable[Service]) -> None:
        """Sets the active services and objectives, and drops the counts of removed services.

        Services beyond the first `MAX_SERVICES` are not counted.
        """
        kept = list(services)[:MAX_SERVICES]
        self._services = {service.name: service for service in kept}
        now = self._clock.now()
        self._counts = {
            name: self._counts.get(name) or ServiceCounts(now) for name in self._services
        }

    def record_search(
        self, service: ServiceName, seconds: float, in_time: bool, full_coverage: bool
    ) -> None:
        """Records a search that was answered.

        Args:
            service: The service searched; services that are not configured are ignored.
            seconds: Time from arrival to answer, in seconds.
            in_time: Whether the answer was sent before the deadline.
            full_coverage: Whether no shard is missing from the answer.
        """
        counts = self._counts.get(service)
        if counts is None:
            return
        now = self._clock.now()
        indices = [IN_TIME_TOTAL, FULL_COVERAGE_TOTAL, NOT_REFUSED_TOTAL, NOT_REFUSED_GOOD]
        if in_time:
            indices.append(IN_TIME_GOOD)
        if full_coverage:
            indices.append(FULL_COVERAGE_GOOD)
        counts.add(now, *indices)
        counts.add_latency(now, seconds)

    def record_accepted_request(self, service: ServiceName) -> None:
        """Records a non-idempotent request that was not refused."""
        counts = self._counts.get(service)
        if counts is not None:
            counts.add(self._clock.now(), NOT_REFUSED_TOTAL, NOT_REFUSED_GOOD)

    def record_refusal(self, service: ServiceName) -> None:
        """Records a search or request that was refused."""
        counts = self._counts.get(service)
        if counts is not None:
            counts.add(self._clock.now(), NOT_REFUSED_TOTAL)

    def node_report(self) -> NodeBurnReport:
        """Returns the local node's part of the burn report."""
        now = self._clock.now()
        services = tuple(self._service_burn(name, now) for name in self._services)
        uptime = now - self._started_at
        return NodeBurnReport(self._node, self._clock.wall(), uptime, services)

    def _service_burn(self, name: ServiceName, now: float) -> ServiceBurn:
        objectives = self._services[name].objectives
        counts = self._counts[name]
        counts.roll(now)
        return ServiceBurn(
            service=name,
            in_time=objectives.in_time,
            full_coverage=objectives.full_coverage,
            not_refused=objectives.not_refused,
            windows=tuple(_window(counts, seconds) for seconds in WINDOW_LEVELS),
        )


def _window(counts: ServiceCounts, seconds: int) -> BurnWindow:
    sums = counts.counts(seconds)
    return BurnWindow(
        seconds=seconds,
        in_time=ObjectiveCount(sums[IN_TIME_TOTAL], sums[IN_TIME_GOOD]),
        full_coverage=ObjectiveCount(sums[FULL_COVERAGE_TOTAL], sums[FULL_COVERAGE_GOOD]),
        not_refused=ObjectiveCount(sums[NOT_REFUSED_TOTAL], sums[NOT_REFUSED_GOOD]),
        latency=counts.latency(seconds) if seconds in LATENCY_WINDOWS else "",
    )
