"""A naive policy for comparison: first replica, no limit, no hedge, no second try."""

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
from sequoiapulley.search.messages import LackReason, ShardReply
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
    LACK_BY_LOSS,
    LACK_BY_REPLY,
    NOT_SENT_LOSSES,
    classify_search_reply,
    lacking,
    not_run,
    run_outcome,
    unknown,
)


class _Flight:
    """One sub-request on its way."""

    __slots__ = ("due", "exchange_id", "sub", "upstream")

    def __init__(self, exchange_id: ExchangeId, sub: SubSearch | SubRun, upstream: UpstreamName):
        """Initialise the flight; arguments become attributes of the same names."""
        self.exchange_id = exchange_id
        self.sub = sub
        self.upstream = upstream
        self.due: float | None = None


class BaselineDispatcher:
    """The interface of `Dispatcher` without its decisions; its outcomes are as true."""

    def __init__(
        self,
        codec: ExchangeCodec,
        log: LogSink,
        seed: int = 0,
        failure_domain: FailureDomainName | None = None,
    ) -> None:
        """Initialise a dispatcher without upstreams.

        `log`, `seed` and `failure_domain` are not used.
        """
        self._codec = codec
        self._first: dict[tuple[ServiceName, InstanceName], UpstreamName] = {}
        self._flights: dict[ExchangeId, _Flight] = {}
        self._timers: TimerHeap[_Flight] = TimerHeap()
        self._exchange_ids = count(1)
        self._counts = DispatchCounts()

    def configure(
        self,
        configuration: Configuration,
        now: float,
        connections: Callable[[UpstreamName], int],
        slots: Callable[[UpstreamName], int],
    ) -> list[Action]:
        """Takes over an accepted configuration."""
        self._first = {
            (service.name, instance.name): instance.upstreams[0].name
            for service in configuration.services.values()
            for instance in service.instances
        }
        return []

    def submit_search(self, sub: SubSearch, now: float) -> list[Action]:
        """Sends one shard's part of a search to the first replica."""
        upstream = self._first.get((sub.target.service, sub.target.instance))
        if upstream is None:
            return [lacking(sub, LackReason.NO_REPLICA)]
        return self._send(sub, upstream, now)

    def submit_run(self, sub: SubRun, now: float) -> list[Action]:
        """Sends one non-idempotent request to the first replica."""
        upstream = self._first.get((sub.service, sub.instance))
        if upstream is None:
            return [not_run(sub, RefusalReason.NO_REPLICA)]
        return self._send(sub, upstream, now)

    def cancel(self, sub_id: int, now: float) -> list[Action]:
        """Drops a search that nobody waits for."""
        for flight in list(self._flights.values()):
            if flight.sub.sub_id == sub_id and isinstance(flight.sub, SubSearch):
                self._end(flight.exchange_id)
                return [CancelExchange(flight.exchange_id, flight.upstream)]
        return []

    def on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply, now: float) -> list[Action]:
        """Finishes a sub-request with whatever the reply says."""
        flight = self._end(exchange_id)
        if flight is None:
            return []
        sub = flight.sub
        if isinstance(sub, SubRun):
            return [run_outcome(sub, reply, self._codec)]
        kind = classify_search_reply(sub, reply)
        if kind is not ReplyKind.OK:
            return [lacking(sub, LACK_BY_REPLY[kind], reply.available)]
        try:
            hits = self._codec.decode_search(reply.body, sub.target.shard)
        except ValueError:
            return [lacking(sub, LackReason.TRUNCATED)]
        answer = ShardReply(shard=sub.target.shard, snapshot=reply.snapshot, hits=hits)
        return [FinishSearch(sub.sub_id, answer)]

    def on_lost(self, exchange_id: ExchangeId, loss: LossKind, now: float) -> list[Action]:
        """Finishes a sub-request without an answer."""
        flight = self._end(exchange_id)
        if flight is None:
            return []
        if isinstance(flight.sub, SubSearch):
            return [lacking(flight.sub, LACK_BY_LOSS[loss])]
        if loss in NOT_SENT_LOSSES:
            return [not_run(flight.sub, RefusalReason.NO_REPLICA)]
        return [unknown(flight.sub)]

    def on_load_report(
        self,
        upstream: UpstreamName,
        load: float | None,
        draining: bool,
        available: tuple[Snapshot, ...],
        now: float,
    ) -> list[Action]:
        """Ignores a report."""
        return []

    def on_strike(
        self, fingerprint: Fingerprint, upstream: UpstreamName, now: float, strikes: int = 1
    ) -> list[Action]:
        """Ignores a strike."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Finishes what is past its deadline."""
        actions: list[Action] = []
        for flight in self._timers.take_due(now):
            self._end(flight.exchange_id)
            sub = flight.sub
            if isinstance(sub, SubSearch):
                actions.append(lacking(sub, LackReason.DEADLINE))
            else:
                actions.append(unknown(sub))
            actions.append(CancelExchange(flight.exchange_id, flight.upstream))
        return actions

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` is next needed, or None."""
        return self._timers.next_due()

    def counts(self) -> DispatchCounts:
        """Returns the counters."""
        return self._counts

    def _send(self, sub: SubSearch | SubRun, upstream: UpstreamName, now: float) -> list[Action]:
        exchange_id = ExchangeId(next(self._exchange_ids))
        flight = _Flight(exchange_id, sub, upstream)
        self._flights[exchange_id] = flight
        self._timers.arm(flight, sub.deadline)
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

    def _end(self, exchange_id: ExchangeId) -> _Flight | None:
        flight = self._flights.pop(exchange_id, None)
        if flight is not None:
            flight.due = None
        return flight
