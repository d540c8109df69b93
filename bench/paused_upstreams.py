"""A discrete-event simulation of upstreams on a simulated clock, without sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import exp
from random import Random
from typing import Final

from sequoiapulley.ids import (
    CallerId,
    ConfigVersion,
    ContractName,
    ExchangeId,
    FailureDomainName,
    Fingerprint,
    InstanceName,
    RegionName,
    ServiceName,
    ShardId,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import (
    Configuration,
    Contract,
    FailureDomain,
    Instance,
    Service,
    Snapshot,
    Upstream,
)
from sequoiapulley.search.messages import Hit, MissingReason, ShardTarget
from sequoiapulley.upstream.codec import EncodedRequest
from sequoiapulley.upstream.dispatcher import Dispatcher
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

SERVICE: Final = ServiceName("ledger")
SNAPSHOT: Final = Snapshot(1, 1)
SLOTS: Final = 2
MEDIAN_SERVICE_S: Final = 0.004
SERVICE_SIGMA: Final = 0.3
ONE_WAY_S: Final = 0.0005
DEADLINE_S: Final = 0.060
REQUEST: Final = EncodedRequest("/search", (), b"")


class NullCodec:
    """A codec that encodes empty requests and decodes empty results."""

    def encode_search(self, exchange_id: ExchangeId, sub: SubSearch, now: float) -> EncodedRequest:
        """Returns an empty request."""
        return REQUEST

    def encode_run(self, exchange_id: ExchangeId, sub: SubRun, now: float) -> EncodedRequest:
        """Returns an empty request."""
        return REQUEST

    def decode_search(self, body: bytes, shard: ShardId) -> tuple[Hit, ...]:
        """Returns no hits."""
        return ()

    def decode_run(self, body: bytes) -> str:
        """Returns an empty object."""
        return "{}"


def small_configuration(instances: int, replicas: int = 2) -> Configuration:
    """Builds a configuration with one service; upstreams are named `<instance>-<replica>`."""
    domain = FailureDomain(FailureDomainName("a"), RegionName("r"))
    contract = Contract(ContractName("small"), SLOTS, 55, 6.0)
    built = tuple(
        Instance(
            InstanceName(f"i{number}"),
            tuple(
                Upstream(UpstreamName(f"i{number}-{replica}"), domain.name, "127.0.0.1", 1)
                for replica in range(replicas)
            ),
        )
        for number in range(instances)
    )
    service = Service(SERVICE, contract.name, built)
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("co-op"),
        {domain.name: domain},
        {contract.name: contract},
        {SERVICE: service},
    )


class FakeUpstream:
    """A simulated upstream with slots, a FIFO queue and faults."""

    def __init__(self) -> None:
        """Creates an upstream without faults."""
        self.running: set[ExchangeId] = set()
        self.waiting: list[SendExchange] = []
        self.received = 0
        self.factor = 1.0
        """Factor applied to every service time."""
        self.straggler_share = 0.0
        self.straggler_factor = 20.0
        self.down = False
        self.silent = False
        """Requests get no reply until one arrives on a fresh connection, which clears the fault."""
        self.snapshots: tuple[Snapshot, ...] = (SNAPSHOT,)


class Outcome:
    """The outcome of one sub-search."""

    __slots__ = ("caller", "finished_at", "reason", "started_at")

    def __init__(self, caller: str, started_at: float) -> None:
        """Creates the outcome of a sub-search that is in flight."""
        self.caller = caller
        self.started_at = started_at
        self.finished_at: float | None = None
        self.reason: MissingReason | None = None
        """Why the shard is missing; None if it was answered or is still in flight."""


class UpstreamSimulation:
    """Drives a dispatcher and simulated upstreams event by event, on a simulated clock."""

    def __init__(self, dispatcher: Dispatcher, configuration: Configuration, seed: int = 1) -> None:
        """Configures the dispatcher at clock time 0."""
        self.dispatcher = dispatcher
        self.now = 0.0
        self.random = Random(seed)
        self.upstreams: dict[UpstreamName, FakeUpstream] = {}
        self.instances: list[InstanceName] = []
        self.outcomes: dict[int, Outcome] = {}
        self.cancelled = 0
        self.kinds: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._sub_ids = count(1)
        self._sent: dict[ExchangeId, SendExchange] = {}
        for instance in configuration.services[SERVICE].instances:
            self.instances.append(instance.name)
            for upstream in instance.upstreams:
                self.upstreams[upstream.name] = FakeUpstream()
        self.perform(dispatcher.configure(configuration, 0.0, lambda _: 55, lambda _: SLOTS))

    @property
    def received(self) -> int:
        """Number of requests received by all upstreams."""
        return sum(upstream.received for upstream in self.upstreams.values())

    def at(self, due: float, call: Callable[[], None]) -> None:
        """Schedules a call at a clock time."""
        heappush(self._events, (due, next(self._sequence), call))

    def search(
        self, instance: InstanceName, caller: str = "c", deadline: float = DEADLINE_S
    ) -> int:
        """Submits one sub-search now and returns its id."""
        sub_id = next(self._sub_ids)
        target = ShardTarget(ShardId(instance), SERVICE, instance)
        self.outcomes[sub_id] = Outcome(caller, self.now)
        sub = SubSearch(
            sub_id,
            target,
            CallerId(caller),
            "q",
            10,
            Fingerprint(str(sub_id)),
            SNAPSHOT,
            self.now + deadline,
        )
        self.perform(self.dispatcher.submit_search(sub, self.now))
        return sub_id

    def offer(
        self, rate: float, seconds: float, caller: str = "c", deadline: float = DEADLINE_S
    ) -> None:
        """Schedules Poisson arrivals at random instances, starting now."""
        due = self.now
        end = self.now + seconds
        while (due := due + self.random.expovariate(rate)) < end:
            instance = self.random.choice(self.instances)
            self.at(due, partial(self._search_event, instance, caller, deadline))

    def run_until(self, until: float) -> None:
        """Runs all events up to a clock time."""
        while True:
            due = self.dispatcher.next_due()
            event = self._events[0][0] if self._events else None
            if due is not None and due <= until and (event is None or due <= event):
                self.now = max(self.now, due)
                self.perform(self.dispatcher.tick(self.now))
                continue
            if event is None or event > until:
                break
            self.now = max(self.now, event)
            heappop(self._events)[2]()
        self.now = until

    def perform(self, actions: Iterable[Action]) -> None:
        """Executes actions of the dispatcher."""
        for action in actions:
            if isinstance(action, SendExchange):
                self._sent[action.exchange_id] = action
                self.at(self.now + ONE_WAY_S, partial(self._arrive, action))
            elif isinstance(action, CancelExchange):
                self.cancelled += 1
                self.at(self.now + ONE_WAY_S, partial(self._stop, action))
            elif isinstance(action, FinishSearch):
                outcome = self.outcomes[action.sub_id]
                outcome.finished_at = self.now
                outcome.reason = action.reply.reason

    def _search_event(self, instance: InstanceName, caller: str, deadline: float) -> None:
        self.search(instance, caller, deadline)

    def _arrive(self, exchange: SendExchange) -> None:
        upstream = self.upstreams[exchange.upstream]
        if upstream.down:
            lost = LossKind.CONNECT_FAILED
            self.perform(self.dispatcher.on_lost(exchange.exchange_id, lost, self.now))
            return
        if upstream.silent and not exchange.fresh_connection:
            return
        upstream.silent = False
        upstream.received += 1
        if SNAPSHOT not in upstream.snapshots:
            reply = UpstreamReply(ReplyKind.WRONG_SNAPSHOT, available=upstream.snapshots)
            self.at(self.now + ONE_WAY_S, partial(self._reply, exchange, reply))
            return
        upstream.waiting.append(exchange)
        self._start(upstream)

    def _start(self, upstream: FakeUpstream) -> None:
        while upstream.waiting and len(upstream.running) < SLOTS:
            exchange = upstream.waiting.pop(0)
            upstream.running.add(exchange.exchange_id)
            time = MEDIAN_SERVICE_S * exp(self.random.gauss(0.0, SERVICE_SIGMA)) * upstream.factor
            if self.random.random() < upstream.straggler_share:
                time *= upstream.straggler_factor
            self.at(self.now + time, partial(self._finish, exchange))

    def _finish(self, exchange: SendExchange) -> None:
        upstream = self.upstreams[exchange.upstream]
        if exchange.exchange_id not in upstream.running:
            return
        upstream.running.discard(exchange.exchange_id)
        self._start(upstream)
        reply = UpstreamReply(ReplyKind.OK, SNAPSHOT, body=b"ok", load=0.5)
        self.at(self.now + ONE_WAY_S, partial(self._reply, exchange, reply))

    def _reply(self, exchange: SendExchange, reply: UpstreamReply) -> None:
        self.perform(self.dispatcher.on_reply(exchange.exchange_id, reply, self.now))

    def _stop(self, exchange: CancelExchange) -> None:
        upstream = self.upstreams[exchange.upstream]
        upstream.waiting = [
            other for other in upstream.waiting if other.exchange_id != exchange.exchange_id
        ]
        upstream.running.discard(exchange.exchange_id)
        self._start(upstream)
