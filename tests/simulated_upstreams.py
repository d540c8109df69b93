"""Simulated upstreams without a network: replies are timers on a paused clock."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from msgspec.structs import replace

from sequoiapulley.forward.aggregators import Aggregators
from sequoiapulley.forward.attempt_history import AttemptHistory
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.crash_guard import CrashGuard
from sequoiapulley.forward.exchange import Exchange, ExchangeState
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.forward.messages import (
    Answer,
    CallerRequest,
    ExchangeEnd,
    ExchangeReply,
    UpstreamRecord,
)
from sequoiapulley.forward.retry_quota import QuotaSettings, RetryQuota
from sequoiapulley.forward.route_table import (
    GatherPlan,
    Route,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from sequoiapulley.forward.tally import Tally
from sequoiapulley.forward.upstream_contact import UpstreamContact
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.ids import ConfigVersion, FailureDomainName, RequestId, ServiceName, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import PausedClock, TimerQueue
from sequoiapulley.wire.reply_parser import ParsedReply

LOCAL = FailureDomainName("here")
REMOTE = FailureDomainName("far")
REMOTE_ROUND_TRIP_S = 0.016
LOCAL_ROUND_TRIP_S = 0.0005
GOAL_S = 0.1
TIMEOUT_S = 1.0
SEAL_HEADER = b"X-Seal"

Behaviour = Callable[["SimulatedUpstream", Exchange, float], "tuple[float, ExchangeReply] | None"]
"""Returns the duration of an exchange and its outcome, or None if it never ends."""


def success(body: bytes = b"", seal: bytes = b"s", status: int = 200) -> ExchangeReply:
    """Returns the outcome of an exchange with a complete reply."""
    return ExchangeReply(ExchangeEnd.REPLY, ParsedReply(status, [], body, True), seal)


def ended(end: ExchangeEnd) -> ExchangeReply:
    """Returns the outcome of an exchange without a reply."""
    return ExchangeReply(end)


class SimulatedUpstream:
    """Implements `Pool` for one simulated upstream."""

    def __init__(self, net: SimulatedNet, record: UpstreamRecord) -> None:
        self.net = net
        self.record = record
        self.connection_limit = 16
        self.opened = 0
        self.running: list[Exchange] = []
        self.arrivals: list[tuple[float, RequestId]] = []
        self.cancelled = 0

    @property
    def has_room(self) -> bool:
        return len(self.running) < self.connection_limit

    @property
    def busy(self) -> int:
        return len(self.running)

    def submit(self, exchange: Exchange) -> None:
        now = self.net.clock.now()
        exchange.pool = self
        exchange.state = ExchangeState.SENT
        exchange.conn = self
        exchange.sent_at = now
        self.running.append(exchange)
        round_trip = (
            LOCAL_ROUND_TRIP_S
            if self.record.failure_domain == self.net.home
            else REMOTE_ROUND_TRIP_S
        )
        outcome = self.net.behaviour(self, exchange, now)
        if outcome is None or outcome[1].end is not ExchangeEnd.NOT_SENT:
            self.arrivals.append((now, exchange.req.id))
        if outcome is not None:
            delay, reply = outcome
            self.net.timers.call_later(round_trip + delay, lambda: self.end(exchange, reply))

    def end(self, exchange: Exchange, reply: ExchangeReply) -> None:
        """Ends an exchange that is still in flight."""
        if exchange in self.running:
            self.running.remove(exchange)
            exchange.finish(reply)

    def cancel(self, exchange: Exchange) -> None:
        self.cancelled += 1
        exchange.done = None
        if exchange in self.running:
            self.running.remove(exchange)

    def abandon(self, exchange: Exchange) -> None:
        self.net.timers.call_later(0.3, lambda: self.cancel(exchange))

    def check_alive(self, done: Callable[[bool], None]) -> None:
        delay = LOCAL_ROUND_TRIP_S if self.record.failure_domain == self.net.home else 0.016
        self.net.timers.call_later(delay, lambda: done(not self.net.is_down(self.record.name)))

    def refuse_waiting(self) -> None:
        """Does nothing: no request waits for a connection."""

    def close_idle(self) -> None:
        """Does nothing: there are no idle connections."""

    def sweep(self, now: float) -> None:
        """Does nothing: there are no connections."""


class PlainContract:
    """Implements the part of `WireContract` that works without a network."""

    def encode_request(
        self, req: CallerRequest, upstream: UpstreamRecord, time_left: float
    ) -> bytes:
        raise NotImplementedError("nothing is encoded without a network")

    def is_reply_to(self, req: CallerRequest, reply: ParsedReply, history: AttemptHistory) -> bool:
        return True

    def classify(self, reply: ParsedReply) -> ExchangeReply:
        return success(reply.body)

    def forwarded_answer(self, reply: ExchangeReply) -> Answer:
        assert reply.reply is not None
        return Answer(reply.reply.status, (), reply.reply.body)

    def forwards_reply(self, answer: Answer) -> bool:
        return any(name == SEAL_HEADER for name, _ in answer.headers)

    def merged_answer(self, seals: list[bytes], missing: int, body: bytes) -> Answer:
        return Answer(200, ((b"missing", b"%d" % missing), (b"seals", b",".join(seals))), body)


class SimulatedNet:
    """Forwarding logic of one node with simulated upstreams."""

    def __init__(
        self,
        behaviour: Behaviour,
        quota: QuotaSettings | None = None,
        home: FailureDomainName = LOCAL,
        timers: TimerQueue | None = None,
        aggregators: Aggregators | None = None,
    ) -> None:
        self.timers = timers or TimerQueue(PausedClock())
        self.clock = self.timers.clock
        self.home = home
        self.behaviour = behaviour
        self.log = MemoryLog()
        self.random = Random(7)
        self.pools: dict[UpstreamName, SimulatedUpstream] = {}
        round_trips = dict.fromkeys((LOCAL, REMOTE), REMOTE_ROUND_TRIP_S)
        round_trips[home] = LOCAL_ROUND_TRIP_S
        self.model = LatencyModel(round_trips)
        self.directory = UpstreamDirectory(self.clock, self.model, self._pool)
        self.quota = RetryQuota(quota or QuotaSettings(slack=1_000.0))
        self.quota.slack_share = 1.0
        self.ctx = ForwardContext(
            self.clock,
            self.timers,
            PlainContract(),
            self.directory,
            self.model,
            self.quota,
            self.log,
            Tally(),
            CrashGuard(self.timers, self.log),
            UpstreamContact(self.timers, self.random, self.log, self.directory.accepting),
            aggregators,
        )
        self.forwarder = Forwarder(self.ctx)
        self.is_down: Callable[[UpstreamName], bool] = lambda name: False
        """Returns whether an upstream refuses connections."""
        self._next = 0

    def restart(self) -> None:
        """Replaces what a node knows of requests, as a new process of it would."""
        crash_guard = CrashGuard(self.timers, self.log)
        self.ctx = replace(self.ctx, crash_guard=crash_guard)
        table = self.forwarder.table
        self.forwarder = Forwarder(self.ctx)
        if table is not None:
            self.forwarder.apply(table)

    def _pool(self, record: UpstreamRecord) -> SimulatedUpstream:
        pool = SimulatedUpstream(self, record)
        self.pools[record.name] = pool
        return pool

    def add(
        self, name: str, service: str, failure_domain: FailureDomainName = LOCAL, slots: int = 2
    ) -> None:
        """Registers an upstream."""
        record = UpstreamRecord(
            UpstreamName(name),
            ServiceName(service),
            "127.0.0.1",
            1,
            failure_domain,
            slots,
            False,
            0.0,
            1,
        )
        self.directory.put(record)

    def add_shards(self, shards: int) -> tuple[ServiceName, ...]:
        """Registers two upstreams for each shard, a local one and a remote one."""
        names = tuple(ServiceName(f"shard-{number}") for number in range(shards))
        for name in names:
            self.add(f"{name}-a", name)
            self.add(f"{name}-b", name, REMOTE)
        return names

    def apply(self, *routes: Route, version: int = 1) -> None:
        """Activates a configuration with the given routes."""
        services = {part.service for route in routes for part in route.split}
        contracts = {name: ServiceConfig(name, "/health", 58) for name in services}
        self.forwarder.apply(RouteTable(ConfigVersion(version), routes, contracts))
        self.forwarder.serve_pending()

    def request(self, path: str = "/q/1", time_left: float = TIMEOUT_S) -> CallerRequest:
        """Returns a request that arrives now."""
        self._next += 1
        name = RequestId(f"r{self._next}")
        now = self.clock.now()
        return CallerRequest(name, b"GET", path.encode(), "h", (), b"", time_left, now)

    def ask(self, path: str = "/q/1", time_left: float = TIMEOUT_S) -> list[tuple[float, Answer]]:
        """Sends a request; returns a list to which its latency and answer are appended."""
        answers: list[tuple[float, Answer]] = []
        began = self.clock.now()
        self.forwarder.handle(
            self.request(path, time_left),
            lambda answer: answers.append((self.clock.now() - began, answer)),
        )
        return answers

    def run(self, seconds: float) -> None:
        """Advances the clock, running every timer when it is due."""
        end = self.clock.now() + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            self.advance(max(0.0, due - self.clock.now()))
            self.timers.run_due()
        self.advance(max(0.0, end - self.clock.now()))

    def advance(self, seconds: float) -> None:
        """Advances the paused clock without running timers."""
        assert isinstance(self.clock, PausedClock)
        self.clock.advance(seconds)

    def retries(self, service: str) -> int:
        """Returns the number of arrivals at a service beyond the first of each request."""
        ids = [
            request
            for pool in self.pools.values()
            if pool.record.service == service
            for _, request in pool.arrivals
        ]
        return len(ids) - len(set(ids))


def gather_route(shards: tuple[ServiceName, ...], least: float = 0.75, top_k: int = 5) -> Route:
    """Returns a gather route over shards."""
    plan = GatherPlan(shards, top_k, least)
    return Route("g", "h", "/q/", True, TIMEOUT_S, GOAL_S, 1, 2, (), plan)


def plain_route(
    service: str, idempotent: bool = True, goal: float = GOAL_S, prefix: str = "/p/"
) -> Route:
    """Returns a route to one service."""
    split = (WeightedService(ServiceName(service), 1.0),)
    return Route("p", "h", prefix, idempotent, TIMEOUT_S, goal, 1, 2, split)


class Fleet(Protocol):
    """Several nodes that share their upstreams."""

    def add(self, name: str, service: str, domain: str) -> None:
        """Registers an upstream at every node."""

    def apply(self, *routes: Route) -> None:
        """Activates a configuration at every node."""


def add_search_and_portal(fleet: Fleet, shards: int) -> None:
    """Adds a search and the service `portal` to nodes of the failure domains p, q and r.

    Each shard has upstreams in two of the failure domains, `portal` has one in each.
    """
    names = tuple(ServiceName(f"shard-{number}") for number in range(shards))
    for number, shard in enumerate(names):
        for position in range(2):
            fleet.add(f"{shard}-{position}", shard, "pqr"[(number + position) % 3])
    for domain in "pqr":
        fleet.add(f"portal-{domain}", "portal", domain)
    fleet.apply(gather_route(names), plain_route("portal"))
