"""Registry of the unfinished work of a home node, its exchanges and its timers."""

from __future__ import annotations

from itertools import count

from sequoiapulley.ids import ExchangeId
from sequoiapulley.upstream._timer_heap import TimerHeap
from sequoiapulley.upstream._work import Exchange, Work, WorkState
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.dispatch_counts import DispatchCounts
from sequoiapulley.upstream.messages import Action, CancelExchange, SendExchange, SubRun
from sequoiapulley.upstream.service_shares import ServiceShares
from sequoiapulley.upstream.upstream_state import UpstreamState


class WorkRegistry:
    """Tracks unfinished work and open exchanges; it contains no dispatch policy."""

    def __init__(self, codec: ExchangeCodec, counts: DispatchCounts) -> None:
        """Creates an empty registry.

        Args:
            codec: Encodes requests.
            counts: Counters to update.
        """
        self._codec = codec
        self._counts = counts
        self._exchange_ids = count(1)
        self.searches: dict[int, Work] = {}
        self.runs: dict[int, Work] = {}
        self.exchanges: dict[ExchangeId, Exchange] = {}
        self.shares = ServiceShares()
        self.timers: TimerHeap[Work] = TimerHeap()

    def add(self, work: Work) -> None:
        """Adds new work; searches and runs have separate id spaces."""
        table = self.runs if work.is_run else self.searches
        table[work.sub_id] = work
        self.shares.add(work.instance.service)

    def all_work(self) -> list[Work]:
        """Returns all unfinished work."""
        return [*self.searches.values(), *self.runs.values()]

    def send(
        self,
        work: Work,
        upstream: UpstreamState,
        now: float,
        actions: list[Action],
        fresh: bool = False,
    ) -> Exchange:
        """Opens an exchange.

        Args:
            work: The work to send.
            upstream: The receiving upstream.
            now: Clock reading in seconds.
            actions: List to which the `SendExchange` is appended.
            fresh: Whether to request a new connection.

        Returns:
            The exchange.
        """
        exchange_id = ExchangeId(next(self._exchange_ids))
        exchange = Exchange(exchange_id, work, upstream, now, fresh)
        self.exchanges[exchange_id] = exchange
        work.exchanges.append(exchange)
        work.tried.add(upstream.name)
        work.tries += 1
        work.state = WorkState.IN_FLIGHT
        work.reserved_on = None
        upstream.in_flight += 1
        sub = work.sub
        if isinstance(sub, SubRun):
            encoded = self._codec.encode_run(exchange_id, sub, now)
        else:
            encoded = self._codec.encode_search(exchange_id, sub, now)
        action = SendExchange(
            exchange_id,
            upstream.name,
            encoded.path,
            encoded.headers,
            encoded.body,
            work.deadline,
            fresh,
        )
        actions.append(action)
        return exchange

    def release(self, exchange_id: ExchangeId) -> Exchange | None:
        """Removes and returns an exchange that has ended, or returns None if it is unknown."""
        exchange = self.exchanges.pop(exchange_id, None)
        if exchange is None:
            return None
        upstream = exchange.upstream
        upstream.in_flight -= 1
        exchange.work.exchanges.remove(exchange)
        if upstream.reserved_for is exchange.work:
            upstream.reserved_for = None
        return exchange

    def abandon(self, exchange: Exchange, now: float, actions: list[Action]) -> None:
        """Cancels an exchange; the time since it was sent is a lower bound of its latency."""
        self.release(exchange.exchange_id)
        self._counts.cancelled += 1
        exchange.work.instance.degraded = True
        instance = exchange.work.instance
        elapsed = now - exchange.sent_at
        if exchange.upstream.on_unanswered(elapsed, instance.median_latency, exchange.fresh, now):
            instance.latency.record_unanswered(elapsed, now)
        actions.append(CancelExchange(exchange.exchange_id, exchange.upstream.name))

    def unreserve(self, work: Work) -> None:
        """Releases the upstream that was reserved for suspected work."""
        if work.reserved_on is not None:
            work.reserved_on.reserved_for = None
            work.reserved_on = None

    def close(self, work: Work, now: float, actions: list[Action]) -> None:
        """Removes work and cancels its exchanges."""
        work.instance.queue.discard(work)
        work.instance.awaiting_hedge.pop(work, None)
        self.unreserve(work)
        work.state = WorkState.FINISHED
        work.due = None
        table = self.runs if work.is_run else self.searches
        if table.pop(work.sub_id, None) is not None:
            self.shares.remove(work.instance.service)
        for exchange in list(work.exchanges):
            self.abandon(exchange, now, actions)
