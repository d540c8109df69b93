"""Definitions of metrics, each with its labels, meaning and use."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    """Only increases; reset to zero when the process restarts."""
    GAUGE = "gauge"
    """A current value, which can rise and fall."""
    HISTOGRAM = "histogram"
    """Counts per bucket, with the sum of the values."""


class Metric(Struct, frozen=True):
    """Definition of a metric."""

    name: str
    kind: MetricKind
    summary: str
    """What the metric counts or measures."""
    use: str
    """What an operator can conclude from the metric."""
    labels: tuple[str, ...]
    bounds: tuple[float, ...]
    """Upper bounds of the buckets, for a histogram."""


_REGISTRY: Final[dict[str, Metric]] = {}


def define_metric(
    name: str,
    kind: MetricKind,
    summary: str,
    use: str,
    labels: tuple[str, ...] = (),
    bounds: tuple[float, ...] = (),
) -> Metric:
    """Defines and registers a metric; called at import time.

    Args:
        name: Prometheus name, with the unit or `_total` at its end.
        kind: Type of the metric.
        summary: What the metric counts or measures.
        use: What an operator can conclude from the metric.
        labels: Label names; label values come from the configuration or from enums.
        bounds: Upper bounds of the buckets, for a histogram.

    Returns:
        The metric.

    Raises:
        ValueError: If the name is already in use.
    """
    if name in _REGISTRY:
        raise ValueError(f"metric {name!r} is already defined")
    metric = Metric(name, kind, summary, use, labels, bounds)
    _REGISTRY[name] = metric
    return metric


def all_metrics() -> tuple[Metric, ...]:
    """Returns all metrics defined by the modules imported so far, ordered by name."""
    return tuple(_REGISTRY[name] for name in sorted(_REGISTRY))
