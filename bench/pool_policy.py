"""Measures pool policies: the grace period of a cancelled exchange, and spare connections."""

from __future__ import annotations

import sys
from random import Random
from typing import Any, Final

from msgspec import json

from bench.wire_cost import encode
from sequoiapulley.ids import (
    ConfigVersion,
    ContractName,
    ExchangeId,
    FailureDomainName,
    InstanceName,
    RegionName,
    ServiceName,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import Configuration, Contract, FailureDomain, Instance, Service, Upstream
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.upstream.http_contract import JSON_HEADERS, SEARCH_PATH
from sequoiapulley.upstream.messages import CancelExchange, LossKind, SendExchange, UpstreamReply
from sequoiapulley.upstream.pool_settings import PoolPolicy
from sequoiapulley.upstream.transport import UpstreamTransport
from sequoiapulley.wire.reactor import Reactor
from standins.upstream_spec import UpstreamSpec
from standins.upstreams import UpstreamsStandIn

POLICIES: Final = (
    PoolPolicy(),
    PoolPolicy(spare_connections=0),
    PoolPolicy(cancel_grace=1.0),
    PoolPolicy(cancel_grace=4.0),
)
"""The default, no spare connections, and two grace periods, in multiples of the open time."""
STRAGGLER_SHARES: Final = (0.02, 0.2)
"""Shares of the requests that take 20 times as long as the others."""
OPEN_MS: Final = 6.0
LATENCY_MS: Final = 2.0
EXCHANGES_PER_S: Final = 250.0
DURATION_S: Final = 4.0
CANCEL_AFTER_S: Final = 0.01
NAME: Final = UpstreamName("u")
MS_PER_S: Final = 1000.0


class PoolTrial:
    """Sends exchanges at random times and cancels slow ones, as a hedged request does."""

    def __init__(self, port: int, policy: PoolPolicy) -> None:
        """Connects a transport to the upstream.

        Args:
            port: Port of the upstream.
            policy: The pool policy to measure.
        """
        self._clock = SystemClock()
        self._timers = TimerQueue(self._clock)
        self._reactor = Reactor(self._clock, self._timers)
        self.transport = UpstreamTransport(
            self._reactor,
            self._clock,
            self._timers,
            self._on_reply,
            self._on_lost,
            policy=policy,
        )
        self.transport.configure(configuration(port), lambda _name: 8)
        self._random = Random(7)
        self._sent_at: dict[int, float] = {}
        self._next = 1
        self.latencies: list[float] = []
        self.cancelled = 0
        self.lost = 0

    def run(self) -> None:
        """Runs the trial."""
        self._reactor.run_for(0.1)
        end = self._clock.now() + DURATION_S
        self._send(end)
        self._reactor.run_for(DURATION_S + 0.2)
        self.transport.close()
        self._reactor.close()

    def _send(self, end: float) -> None:
        """Sends one exchange and schedules the next one."""
        now = self._clock.now()
        if now >= end:
            return
        number = self._next
        self._next += 1
        self._sent_at[number] = now
        body = encode(ExchangeId(number), now)
        self.transport.execute(
            SendExchange(ExchangeId(number), NAME, SEARCH_PATH, JSON_HEADERS, body, now + 1.0)
        )
        self._timers.call_later(CANCEL_AFTER_S, lambda: self._cancel(number))
        self._timers.call_later(self._random.expovariate(EXCHANGES_PER_S), lambda: self._send(end))

    def _cancel(self, number: int) -> None:
        """Cancels an exchange that has no outcome yet."""
        if self._sent_at.pop(number, None) is None:
            return
        self.cancelled += 1
        self.transport.execute(CancelExchange(ExchangeId(number), NAME))

    def _on_reply(self, exchange_id: ExchangeId, _reply: UpstreamReply) -> None:
        """Records the latency of a reply."""
        sent_at = self._sent_at.pop(exchange_id, None)
        if sent_at is not None:
            self.latencies.append((self._clock.now() - sent_at) * MS_PER_S)

    def _on_lost(self, exchange_id: ExchangeId, _kind: LossKind) -> None:
        """Counts a lost exchange."""
        self._sent_at.pop(exchange_id, None)
        self.lost += 1


def configuration(port: int) -> Configuration:
    """Returns a configuration with one upstream whose connections open slowly."""
    domain = FailureDomain(FailureDomainName("p"), RegionName("r"))
    contract = Contract(ContractName("c"), 2, 60, OPEN_MS)
    instance = Instance(InstanceName("i"), (Upstream(NAME, domain.name, "127.0.0.1", port),))
    service = Service(ServiceName("s"), contract.name, (instance,))
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("t"),
        {domain.name: domain},
        {contract.name: contract},
        {service.name: service},
    )


def measure(policy: PoolPolicy, share: float) -> dict[str, Any]:
    """Measures one policy at one share of stragglers."""
    upstreams = UpstreamsStandIn([UpstreamSpec(NAME, "i", "s", connections=60, open_ms=OPEN_MS)])
    upstreams.start()
    upstreams.set_faults(NAME, latency_ms=LATENCY_MS, straggler_share=share)
    trial = PoolTrial(upstreams.ports[NAME], policy)
    trial.run()
    counters = upstreams.counters(NAME)
    upstreams.stop()
    latencies = sorted(trial.latencies)
    sent = len(latencies) + trial.cancelled + trial.lost
    return {
        "spares": policy.spare_connections,
        "grace": policy.cancel_grace,
        "stragglers": share,
        "exchanges": sent,
        "answered_share": round(len(latencies) / sent, 4),
        "p50_ms": round(latencies[len(latencies) // 2], 2),
        "p99_ms": round(latencies[len(latencies) * 99 // 100], 2),
        "opened_per_1000": round(trial.transport.counts().opened / sent * 1000, 1),
        "run_to_no_end_per_1000": round((counters.run - len(latencies)) / sent * 1000, 1),
        "lost": trial.lost,
    }


def run() -> dict[str, Any]:
    """Measures all policies at all shares of stragglers."""
    rows = [measure(policy, share) for share in STRAGGLER_SHARES for policy in POLICIES]
    return {"name": "pool_policy", "unit": "ms, and counts per 1000 exchanges", "rows": rows}


if __name__ == "__main__":
    sys.stdout.write(json.encode(run()).decode() + "\n")
