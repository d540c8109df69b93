"""Polls the health and load of the upstreams for which this node is the preferred home."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.json import Decoder
from result import Err

from sequoiapulley.decoding import CheckedDecoder
from sequoiapulley.ids import UpstreamName
from sequoiapulley.model import Configuration, Snapshot
from sequoiapulley.runtime import TimerHandle, TimerQueue
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult

HEALTH_PATH: Final = "/health"
HEALTH_PERIOD_S: Final = 1.0
HEALTH_TIMEOUT_S: Final = 0.9
STATUS_OK: Final = 200


class HealthReport(Struct, frozen=True):
    """Report of an upstream about itself, which may be stale or wrong."""

    draining: bool = False
    load: float | None = None
    """Fraction of its capacity in use, 0 to 1."""
    available: tuple[Snapshot, ...] = ()
    """Snapshots that the upstream serves."""


class _HealthBody(Struct):
    """Body of a reply of the health endpoint."""

    draining: bool = False
    load: float | None = None
    available: tuple[str, ...] = ()


class _Target(Struct, frozen=True):
    """Address of an upstream to poll."""

    host: str
    port: int


_DECODER: Final = CheckedDecoder(Decoder(_HealthBody))


class HealthPoller:
    """Polls each upstream once per period, at random offsets with jitter."""

    def __init__(
        self,
        client: HttpClient,
        timers: TimerQueue,
        on_report: Callable[[UpstreamName, HealthReport], None],
        seed: int,
    ) -> None:
        """Creates a poller without upstreams.

        Args:
            client: Sends the requests.
            timers: Timers of the process.
            on_report: Called with each valid report.
            seed: Seed of the offsets and the jitter.
        """
        self._client = client
        self._timers = timers
        self._on_report = on_report
        self._random = Random(seed)
        self._targets: dict[UpstreamName, _Target] = {}
        self._pending: dict[UpstreamName, TimerHandle] = {}

    def configure(self, configuration: Configuration, polled: frozenset[UpstreamName]) -> None:
        """Sets the upstreams to poll.

        Args:
            configuration: The active configuration.
            polled: Upstreams whose preferred home is this node.
        """
        targets: dict[UpstreamName, _Target] = {}
        for service in configuration.services.values():
            if not configuration.contract_of(service).reports_load:
                continue
            for instance in service.instances:
                for upstream in instance.upstreams:
                    if upstream.name in polled:
                        targets[upstream.name] = _Target(upstream.host, upstream.port)
        for name in [name for name in self._pending if name not in targets]:
            self._pending.pop(name).cancel()
        self._targets = targets
        for name in targets:
            if name not in self._pending:
                self._schedule(name, self._random.uniform(0.0, HEALTH_PERIOD_S))

    def stop(self) -> None:
        """Stops polling."""
        for handle in self._pending.values():
            handle.cancel()
        self._pending.clear()
        self._targets.clear()

    def _schedule(self, name: UpstreamName, delay: float) -> None:
        """Schedules the next poll of one upstream."""
        self._pending[name] = self._timers.call_later(delay, lambda: self._poll(name))

    def _poll(self, name: UpstreamName) -> None:
        """Polls one upstream and schedules its next poll."""
        target = self._targets[name]
        self._schedule(name, HEALTH_PERIOD_S * self._random.uniform(0.9, 1.1))
        call = HttpCall(target.host, target.port, "GET", HEALTH_PATH, timeout=HEALTH_TIMEOUT_S)
        self._client.request(call, lambda result: self._on_result(name, result))

    def _on_result(self, name: UpstreamName, result: HttpResult) -> None:
        """Reports a valid reply; failed polls are ignored, as real requests detect failures."""
        if name not in self._targets or isinstance(result, Err):
            return
        reply = result.ok_value
        if reply.status != STATUS_OK:
            return
        report = decode_health(reply.body)
        if report is not None:
            self._on_report(name, report)


def decode_health(body: bytes) -> HealthReport | None:
    """Decodes the body of a reply of the health endpoint.

    Args:
        body: JSON text.

    Returns:
        The report, or None if the body violates the contract. A load that is not between 0 and 1
        is replaced by None.
    """
    try:
        decoded = _DECODER.decode(body)
        available = tuple(Snapshot.parse(text) for text in decoded.available)
    except ValueError:
        return None
    load = decoded.load
    if load is not None and not 0.0 <= load <= 1.0:
        load = None
    return HealthReport(decoded.draining, load, available)
