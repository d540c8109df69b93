"""A naive policy for benchmarks: always the first replica; no limits, hedging or retries."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from sequoiapulley.ids import (
    ExchangeId,
    FailureDomainName,
    Fingerprint,
    InstanceName,
    ServiceName,
    UpstreamName,
)
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.requests.messages import RefusalReason
from sequoiapulley.search.messages import MissingReason, ShardReply
from sequoiapulley.upstream._timer_heap import TimerHeap
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.dispatch_counts import DispatchCounts
from sequoiapulley.upstream.messages import (
    Action,
    CancelExchange,
    FinishSearch,
    LossKind,
    ReplyKind,
    SendExchange,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.outcomes import (
    MISSING_BY_LOSS,
    MISSING_BY_REPLY,
    NOT_SENT_LOSSES,
    classify_search_reply,
    missing_outcome,
    not_run_outcome,
    run_outcome,
    unknown_outcome,
)


class _Exchange:
    """One request in flight."""

    __slots__ = ("due", "exchange_id", "sub", "upstream")

    def __init__(self, exchange_id: ExchangeId, sub: SubSearch | SubRun, upstream: UpstreamName):
        self.exchange_id = exchange_id
        self.sub = sub
        self.upstream = upstream
        self.due: float | None = None


class BaselineDispatcher:
    """Has the interface of `Dispatcher` without its policies; outcomes follow the same rules."""

    def __init__(
        self,
        codec: ExchangeCodec,
        log: LogSink,
        seed: int = 0,
        failure_domain: FailureDomainName | None = None,
    ) -> None:
        """Creates a dispatcher without upstreams.

        `log`, `seed` and `failure_domain` are not used.
        """
        self._codec = codec
        self._first_replica: dict[tuple[ServiceName, InstanceName], UpstreamName] = {}
        self._exchanges: dict[ExchangeId, _Exchange] = {}
        self._timers: TimerHeap[_Exchange] = TimerHeap()
        self._exchange_ids = count(1)
        self._counts = DispatchCounts()

    def configure(
        self,
        configuration: Configuration,
        now: float,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> list[Action]:
        """Applies a configuration."""
        self._first_replica = {
            (service.name, instance.name): instance.upstreams[0].name
            for service in configuration.services.values()
            for instance in service.instances
        }
        return []

    def submit_search(self, sub: SubSearch, now: float) -> list[Action]:
        """Sends the part of a search that concerns one shard to the first replica."""
        upstream = self._first_replica.get((sub.target.service, sub.target.instance))
        if upstream is None:
            return [missing_outcome(sub, MissingReason.NO_REPLICA)]
        return self._send(sub, upstream, now)

    def submit_run(self, sub: SubRun, now: float) -> list[Action]:
        """Sends one non-idempotent request to the first replica."""
        upstream = self._first_replica.get((sub.service, sub.instance))
        if upstream is None:
            return [not_run_outcome(sub, RefusalReason.NO_REPLICA)]
        return self._send(sub, upstream, now)

    def cancel(self, sub_id: int, now: float) -> list[Action]:
        """Cancels a search whose result is no longer needed."""
        for exchange in list(self._exchanges.values()):
            if exchange.sub.sub_id == sub_id and isinstance(exchange.sub, SubSearch):
                self._end(exchange.exchange_id)
                return [CancelExchange(exchange.exchange_id, exchange.upstream)]
        return []

    def on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply, now: float) -> list[Action]:
        """Finishes a sub-request with the outcome of the reply."""
        exchange = self._end(exchange_id)
        if exchange is None:
            return []
        sub = exchange.sub
        if isinstance(sub, SubRun):
            return [run_outcome(sub, reply, self._codec)]
        kind = classify_search_reply(sub, reply)
        if kind is not ReplyKind.OK:
            return [missing_outcome(sub, MISSING_BY_REPLY[kind], reply.available)]
        try:
            hits = self._codec.decode_search(reply.body, sub.target.shard)
        except ValueError:
            return [missing_outcome(sub, MissingReason.TRUNCATED)]
        answer = ShardReply(shard=sub.target.shard, snapshot=reply.snapshot, hits=hits)
        return [FinishSearch(sub.sub_id, answer)]

    def on_lost(self, exchange_id: ExchangeId, loss: LossKind, now: float) -> list[Action]:
        """Finishes a sub-request without an answer."""
        exchange = self._end(exchange_id)
        if exchange is None:
            return []
        if isinstance(exchange.sub, SubSearch):
            return [missing_outcome(exchange.sub, MISSING_BY_LOSS[loss])]
        if loss in NOT_SENT_LOSSES:
            return [not_run_outcome(exchange.sub, RefusalReason.NO_REPLICA)]
        return [unknown_outcome(exchange.sub)]

    def on_load_report(
        self,
        upstream: UpstreamName,
        load: float | None,
        draining: bool,
        available: tuple[Snapshot, ...],
        now: float,
    ) -> list[Action]:
        """Ignores the report."""
        return []

    def on_strike(
        self, fingerprint: Fingerprint, upstream: UpstreamName, now: float, strikes: int = 1
    ) -> list[Action]:
        """Ignores the strike."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Finishes sub-requests whose deadline has passed."""
        actions: list[Action] = []
        for exchange in self._timers.pop_due(now):
            self._end(exchange.exchange_id)
            sub = exchange.sub
            if isinstance(sub, SubSearch):
                actions.append(missing_outcome(sub, MissingReason.DEADLINE))
            else:
                actions.append(unknown_outcome(sub))
            actions.append(CancelExchange(exchange.exchange_id, exchange.upstream))
        return actions

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` must be called next, or None."""
        return self._timers.next_due()

    def counts(self) -> DispatchCounts:
        """Returns the counters."""
        return self._counts

    def _send(self, sub: SubSearch | SubRun, upstream: UpstreamName, now: float) -> list[Action]:
        exchange_id = ExchangeId(next(self._exchange_ids))
        exchange = _Exchange(exchange_id, sub, upstream)
        self._exchanges[exchange_id] = exchange
        self._timers.arm(exchange, sub.deadline)
        self._counts.first_tries += 1
        if isinstance(sub, SubRun):
            encoded = self._codec.encode_run(exchange_id, sub, now)
        else:
            encoded = self._codec.encode_search(exchange_id, sub, now)
        return [
            SendExchange(
                exchange_id, upstream, encoded.path, encoded.headers, encoded.body, sub.deadline
            )
        ]

    def _end(self, exchange_id: ExchangeId) -> _Exchange | None:
        exchange = self._exchanges.pop(exchange_id, None)
        if exchange is not None:
            exchange.due = None
        return exchange
