"""The values of one process's metrics, kept and rendered by aioprometheus."""

from __future__ import annotations

from typing import Final

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
        self._series: dict[str, dict[tuple[str, ...], Labels]] = {
            metric.name: {} for metric in all_metrics()
        }

    def count(self, metric: Metric, *values: str, amount: int = 1) -> None:
        """Adds to a counter.

        Args:
            metric: A counter.
            values: One per label, in the order of the definition.
            amount: Zero or more.
        """
        self._collectors[metric.name].add(self._labels(metric, values), amount)

    def observe(self, metric: Metric, value: float, *values: str) -> None:
        """Adds one value to a histogram."""
        self._collectors[metric.name].observe(self._labels(metric, values), value)

    def set(self, metric: Metric, value: float, *values: str) -> None:
        """Sets a gauge."""
        self._collectors[metric.name].set(self._labels(metric, values), value)

    def render(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        body, _headers = render(self._registry, [])
        return bytes(body)

    def _labels(self, metric: Metric, values: tuple[str, ...]) -> Labels:
        """Returns the label set of a combination of values, made once."""
        series = self._series[metric.name]
        labels = series.get(values)
        if labels is not None:
            return labels
        if len(values) != len(metric.labels):
            raise ValueError(f"metric {metric.name!r} takes the labels {metric.labels}")
        if len(series) >= MOST_SERIES:
            return dict.fromkeys(metric.labels, OTHER)
        labels = dict(zip(metric.labels, values, strict=True))
        series[values] = labels
        return labels

    def _collector(self, metric: Metric) -> Counter | Gauge | Histogram:
        if metric.kind is MetricKind.COUNTER:
            return Counter(metric.name, metric.summary, registry=self._registry)
        if metric.kind is MetricKind.GAUGE:
            return Gauge(metric.name, metric.summary, registry=self._registry)
        bounds = list(metric.bounds)
        return Histogram(metric.name, metric.summary, registry=self._registry, buckets=bounds)
