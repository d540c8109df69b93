"""Definitions of metrics: each is defined once, with its label names and its use."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct


class MetricKind(Enum):
    """How a metric behaves over time."""

    COUNTER = "counter"
    """Only rises; restarts at zero with the process."""
    GAUGE = "gauge"
    """A present value."""
    HISTOGRAM = "histogram"
    """Counts per bucket, with a sum."""


class Metric(Struct, frozen=True):
    """One metric."""

    name: str
    kind: MetricKind
    summary: str
    """What it counts or measures."""
    use: str
    """What an operator reads from it."""
    labels: tuple[str, ...]
    bounds: tuple[float, ...]
    """Upper bounds of the buckets of a histogram."""


_REGISTRY: Final[dict[str, Metric]] = {}


def define_metric(
    name: str,
    kind: MetricKind,
    summary: str,
    use: str,
    labels: tuple[str, ...] = (),
    bounds: tuple[float, ...] = (),
) -> Metric:
    """Defines a metric at import time.

    Args:
        name: Prometheus name, with the unit or `_total` at its end.
        kind: How it behaves.
        summary: What it counts or measures.
        use: What an operator reads from it.
        labels: Label names; values come from the configuration or from enums.
        bounds: Upper bounds of the buckets, for a histogram.

    Returns:
        The metric.

    Raises:
        ValueError: If the name is taken.
    """
    if name in _REGISTRY:
        raise ValueError(f"metric {name!r} is already defined")
    metric = Metric(name, kind, summary, use, labels, bounds)
    _REGISTRY[name] = metric
    return metric


def all_metrics() -> tuple[Metric, ...]:
    """Returns every metric defined by the modules imported so far, by name."""
    return tuple(_REGISTRY[name] for name in sorted(_REGISTRY))
