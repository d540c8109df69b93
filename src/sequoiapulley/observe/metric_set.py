"""The values of one process's metrics, kept and rendered by aioprometheus."""

from __future__ import annotations

from typing import Any, Final

from aioprometheus import Counter, Gauge, Histogram, render
from aioprometheus.collectors import Registry

from sequoiapulley.observe.metric import Metric, MetricKind, all_metrics

MOST_SERIES: Final = 1_000
"""Label combinations of one metric; more are counted under `other`."""
OTHER: Final = "other"

Labels = dict[str, str]


class MetricSet:
    """Every defined metric, with values."""

    def __init__(self) -> None:
        """Initialise all metrics that are defined so far."""
        self._registry = Registry()
        self._collectors = {metric.name: self._collector(metric) for metric in all_metrics()}
        self._labels: dict[str, dict[tuple[str, ...], Labels]] = {
            metric.name: {} for metric in all_metrics()
        }
        self._counts: dict[str, dict[tuple[str, ...], int]] = {
            metric.name: {} for metric in all_metrics()
        }
        self._buckets: dict[tuple[str, ...], Any] = {}

    def count(self, metric: Metric, *values: str, amount: int = 1) -> None:
        """Adds to a counter.

        Args:
            metric: A counter.
            values: One per label, in the order of the definition.
            amount: Zero or more.

        Raises:
            ValueError: If the number of values is wrong.
        """
        counts = self._counts[metric.name]
        known = counts.get(values)
        if known is not None:
            counts[values] = known + amount
            return
        values = self._admit(metric, values)
        counts[values] = counts.get(values, 0) + amount

    def set_total(self, metric: Metric, total: int, *values: str) -> None:
        """Sets a counter to a total that is counted elsewhere."""
        self._counts[metric.name][self._admit(metric, values)] = total

    def observe(self, metric: Metric, value: float, *values: str) -> None:
        """Adds one value to a histogram."""
        key = (metric.name, *values)
        buckets = self._buckets.get(key)
        if buckets is not None:
            buckets.observe(value)
            return
        values = self._admit(metric, values)
        labels = self._labels[metric.name][values]
        collector = self._collectors[metric.name]
        collector.observe(labels, value)
        self._buckets[(metric.name, *values)] = collector.get_value(labels)

    def set(self, metric: Metric, value: float, *values: str) -> None:
        """Sets a gauge."""
        values = self._admit(metric, values)
        self._collectors[metric.name].set(self._labels[metric.name][values], value)

    def render(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        for name, counts in self._counts.items():
            collector = self._collectors[name]
            for values, count in counts.items():
                collector.set(self._labels[name][values], count)
        body, _headers = render(self._registry, [])
        return bytes(body)

    def _admit(self, metric: Metric, values: tuple[str, ...]) -> tuple[str, ...]:
        """Makes the label set of a combination of values, or puts it under `other`."""
        if len(values) != len(metric.labels):
            raise ValueError(f"metric {metric.name!r} takes the labels {metric.labels}")
        known = self._labels[metric.name]
        if values not in known and len(known) >= MOST_SERIES:
            values = (OTHER,) * len(values)
        if values not in known:
            known[values] = dict(zip(metric.labels, values, strict=True))
        return values

    def _collector(self, metric: Metric) -> Counter | Gauge | Histogram:
        if metric.kind is MetricKind.COUNTER:
            return Counter(metric.name, metric.summary, registry=self._registry)
        if metric.kind is MetricKind.GAUGE:
            return Gauge(metric.name, metric.summary, registry=self._registry)
        bounds = list(metric.bounds)
        return Histogram(metric.name, metric.summary, registry=self._registry, buckets=bounds)
