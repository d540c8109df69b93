"""The unfinished work of a home, its exchanges and its timers."""

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


class Ledger:
    """Keeps the books of work and exchanges; it decides nothing."""

    def __init__(self, codec: ExchangeCodec, counts: DispatchCounts) -> None:
        """Initialise empty books.

        Args:
            codec: Encodes requests.
            counts: Counters to keep.
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
        """Takes new work; the ids of searches and of runs are counted apart."""
        books = self.runs if work.is_run else self.searches
        books[work.sub_id] = work
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
            upstream: Where to.
            now: Clock reading in seconds.
            actions: Receives the order.
            fresh: Order a new connection.

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
        order = SendExchange(
            exchange_id,
            upstream.name,
            encoded.path,
            encoded.headers,
            encoded.body,
            work.deadline,
            fresh,
        )
        actions.append(order)
        return exchange

    def release(self, exchange_id: ExchangeId) -> Exchange | None:
        """Removes an exchange that ended; returns None if it is unknown."""
        exchange = self.exchanges.pop(exchange_id, None)
        if exchange is None:
            return None
        upstream = exchange.upstream
        upstream.in_flight -= 1
        exchange.work.exchanges.remove(exchange)
        if upstream.exclusive is exchange.work:
            upstream.exclusive = None
        return exchange

    def abandon(self, exchange: Exchange, now: float, actions: list[Action]) -> None:
        """Gives an exchange up; the time it took so far is a lower bound of its latency."""
        self.release(exchange.exchange_id)
        self._counts.cancelled += 1
        exchange.work.instance.troubled = True
        instance = exchange.work.instance
        elapsed = now - exchange.sent_at
        if exchange.upstream.on_unanswered(elapsed, instance.typical, exchange.fresh, now):
            instance.latency.record_unanswered(elapsed, now)
        actions.append(CancelExchange(exchange.exchange_id, exchange.upstream.name))

    def unreserve(self, work: Work) -> None:
        """Frees the upstream that suspected work waited for."""
        if work.reserved_on is not None:
            work.reserved_on.exclusive = None
            work.reserved_on = None

    def close(self, work: Work, now: float, actions: list[Action]) -> None:
        """Removes work and gives its exchanges up."""
        work.instance.queue.discard(work)
        work.instance.late.pop(work, None)
        self.unreserve(work)
        work.state = WorkState.FINISHED
        work.due = None
        books = self.runs if work.is_run else self.searches
        if books.pop(work.sub_id, None) is not None:
            self.shares.remove(work.instance.service)
        for exchange in list(work.exchanges):
            self.abandon(exchange, now, actions)
