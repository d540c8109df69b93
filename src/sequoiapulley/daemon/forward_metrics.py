"""The metrics endpoint of a forwarding node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Final

from sequoiapulley.forward.metrics import (
    CUT_OFF,
    FORWARD_SECONDS,
    FORWARDED,
    HANDOVERS,
    PARTS_LACKING,
    PARTS_REQUESTS,
    PEERS_READY,
    REFUSED_REQUESTS,
    REPEATS,
    STATE_AGE,
    STATE_REPLIES,
    STATE_REPLY_BYTES,
    STORE_ERA,
    UPSTREAM_CONNECTIONS,
    UPSTREAM_PAUSES,
    UPSTREAM_TRIES,
    UPSTREAMS,
    UPSTREAMS_LEAVING,
)
from sequoiapulley.forward.tally import Tally
from sequoiapulley.observe.metric import Metric
from sequoiapulley.observe.metric_set import MetricSet
from sequoiapulley.observe.metrics import (
    CONFIG_VERSION,
    CONNECTION_BYTES,
    CONNECTIONS_ENDED,
    IN_FLIGHT,
    OPEN_CONNECTIONS,
    UPTIME_SECONDS,
)
from sequoiapulley.wire.server_connection import ServerRequest

METRICS_PATH: Final = b"/metrics"
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
PLAIN_TEXT_HEADERS: Final = ((b"Content-Type", b"text/plain; version=0.0.4"),)
GAUGES: Final = (
    CONFIG_VERSION,
    IN_FLIGHT,
    UPTIME_SECONDS,
    UPSTREAMS,
    UPSTREAM_CONNECTIONS,
    STATE_AGE,
    STORE_ERA,
    PEERS_READY,
    REFUSED_REQUESTS,
    CUT_OFF,
    CONNECTION_BYTES,
    OPEN_CONNECTIONS,
)


class ForwardMetrics:
    """Renders the node's counters and gauges for each scrape."""

    def __init__(
        self,
        tally: Tally,
        connections_ended: Counter[str],
        gauges: Callable[[], dict[Metric, float]],
    ) -> None:
        """Initialise the metrics.

        Args:
            tally: Counters of the node.
            connections_ended: Number of connections that the node ended, by reason.
            gauges: Returns the current values of `GAUGES`.
        """
        self._tally = tally
        self._connections_ended = connections_ended
        self._gauges = gauges
        self._metrics = MetricSet()

    def serve(self, req: ServerRequest) -> None:
        """Answers a scrape with the metrics; any other path with 404."""
        if req.parsed.target.partition(b"?")[0] != METRICS_PATH:
            req.answer(STATUS_NOT_FOUND, (), b"")
            return
        req.answer(STATUS_OK, PLAIN_TEXT_HEADERS, self._render())

    def _render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        for metric, counts in (
            (FORWARDED, self._tally.outcomes),
            (UPSTREAM_TRIES, self._tally.ends),
            (REPEATS, self._tally.repeats),
            (PARTS_REQUESTS, self._tally.delegated),
            (HANDOVERS, self._tally.handovers),
            (STATE_REPLIES, self._tally.state_replies),
            (CONNECTIONS_ENDED, self._connections_ended),
        ):
            for label, count in counts.items():
                self._metrics.set_total(metric, count, label)
        self._metrics.set_total(PARTS_LACKING, self._tally.parts_lacking)
        self._metrics.set_total(STATE_REPLY_BYTES, self._tally.state_reply_bytes)
        self._metrics.set_total(UPSTREAM_PAUSES, self._tally.pauses)
        self._metrics.set_total(UPSTREAMS_LEAVING, self._tally.leaving_upstreams)
        for route, seconds in self._tally.drain_latencies():
            self._metrics.observe(FORWARD_SECONDS, seconds, route)
        for metric, value in self._gauges().items():
            self._metrics.set(metric, value)
        return self._metrics.render()
