"""Values of the metrics of a process, rendered by aioprometheus."""

from __future__ import annotations

from typing import Any, Final

from aioprometheus import Counter, Gauge, Histogram, render
from aioprometheus.collectors import Registry

from sequoiapulley.observe.metric import Metric, MetricKind, all_metrics

MAX_SERIES_PER_METRIC: Final = 1_000
"""Limit on the label combinations of a metric; further ones are counted under `other`."""
OVERFLOW_LABEL: Final = "other"

Labels = dict[str, str]


class MetricSet:
    """The values of all defined metrics."""

    def __init__(self) -> None:
        """Initialise the metrics that are defined by the modules imported so far."""
        self._registry = Registry()
        self._collectors = {metric.name: self._collector(metric) for metric in all_metrics()}
        self._labels: dict[str, dict[tuple[str, ...], Labels]] = {
            metric.name: {} for metric in all_metrics()
        }
        self._counts: dict[str, dict[tuple[str, ...], int]] = {
            metric.name: {} for metric in all_metrics()
        }
        self._histograms: dict[tuple[str, ...], Any] = {}

    def count(self, metric: Metric, *values: str, amount: int = 1) -> None:
        """Increments a counter.

        Args:
            metric: The counter.
            values: Label values, in the order of the definition.
            amount: Increment, not negative.

        Raises:
            ValueError: If the number of label values is wrong.
        """
        counts = self._counts[metric.name]
        current = counts.get(values)
        if current is not None:
            counts[values] = current + amount
            return
        values = self._register_series(metric, values)
        counts[values] = counts.get(values, 0) + amount

    def set_total(self, metric: Metric, total: int, *values: str) -> None:
        """Sets a counter to a total that another component maintains."""
        self._counts[metric.name][self._register_series(metric, values)] = total

    def observe(self, metric: Metric, value: float, *values: str) -> None:
        """Adds an observation to a histogram."""
        key = (metric.name, *values)
        histogram = self._histograms.get(key)
        if histogram is not None:
            histogram.observe(value)
            return
        values = self._register_series(metric, values)
        labels = self._labels[metric.name][values]
        collector = self._collectors[metric.name]
        collector.observe(labels, value)
        self._histograms[(metric.name, *values)] = collector.get_value(labels)

    def set(self, metric: Metric, value: float, *values: str) -> None:
        """Sets a gauge."""
        values = self._register_series(metric, values)
        self._collectors[metric.name].set(self._labels[metric.name][values], value)

    def render(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        for name, counts in self._counts.items():
            collector = self._collectors[name]
            for values, count in counts.items():
                collector.set(self._labels[name][values], count)
        body, _headers = render(self._registry, [])
        return bytes(body)

    def _register_series(self, metric: Metric, values: tuple[str, ...]) -> tuple[str, ...]:
        """Registers a combination of label values.

        Returns the values, or `other` for each label if the metric has too many series.
        """
        if len(values) != len(metric.labels):
            raise ValueError(f"metric {metric.name!r} takes the labels {metric.labels}")
        known = self._labels[metric.name]
        if values not in known and len(known) >= MAX_SERIES_PER_METRIC:
            values = (OVERFLOW_LABEL,) * len(values)
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
