"""Tests of dispatcher and transport together, against stand-in upstreams over real sockets."""

from __future__ import annotations

from collections.abc import Iterable
from unittest import TestCase

from sequoiapulley.ids import (
    CallerId,
    ConfigVersion,
    ContractName,
    ExchangeId,
    FailureDomainName,
    Fingerprint,
    IdempotencyKey,
    InstanceName,
    RegionName,
    ServiceName,
    ShardId,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import Configuration, Contract, FailureDomain, Instance, Service, Upstream
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.requests.messages import RunReport, RunState
from sequoiapulley.search.messages import ShardReply, ShardTarget
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.http_codec import HttpExchangeCodec
from sequoiapulley.upstream.messages import (
    Action,
    FinishRun,
    FinishSearch,
    LossKind,
    SubRun,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.transport import UpstreamTransport
from standins.upstream_spec import UpstreamSpec
from standins.upstreams import UpstreamsStandIn
from tests.wire_support import Loop

NAMES = (UpstreamName("u1"), UpstreamName("u2"))
SERVICE = ServiceName("s")
INSTANCE = InstanceName("i")
ALLOWANCE = 6


class Home:
    """A dispatcher and a transport on one event loop, without the daemon's circuits components."""

    def __init__(self, ports: dict[str, int], loop: Loop | None = None) -> None:
        self.loop = loop or Loop()
        self.log = MemoryLog()
        self.dispatcher = Dispatcher(HttpExchangeCodec(), self.log, seed=1)
        self.transport = UpstreamTransport(
            self.loop.reactor,
            self.loop.clock,
            self.loop.timers,
            self._on_reply,
            self._on_lost,
            log=self.log,
        )
        self.searches: dict[int, ShardReply] = {}
        self.runs: dict[int, RunReport] = {}
        cfg = configuration(ports)
        self.transport.configure(cfg, lambda _name: ALLOWANCE)
        now = self.loop.clock.now()
        self.perform(self.dispatcher.configure(cfg, now, lambda _: ALLOWANCE, lambda _: 2))

    def perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, FinishSearch):
                self.searches[action.sub_id] = action.reply
            elif isinstance(action, FinishRun):
                self.runs[action.sub_id] = action.report
            else:
                self.transport.execute(action)

    def _on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        self.perform(self.dispatcher.on_reply(exchange_id, reply, self.loop.clock.now()))

    def _on_lost(self, exchange_id: ExchangeId, kind: LossKind) -> None:
        self.perform(self.dispatcher.on_lost(exchange_id, kind, self.loop.clock.now()))

    def step(self) -> bool:
        """Runs the dispatcher's timers; returns False, for use in `or` conditions."""
        self.perform(self.dispatcher.tick(self.loop.clock.now()))
        return False

    def search(self, count: int, start: int, left: float = 15.0) -> list[ShardReply]:
        """Submits searches and returns their outcomes."""
        now = self.loop.clock.now()
        for sub_id in range(start, start + count):
            target = ShardTarget(ShardId("i"), SERVICE, INSTANCE)
            fingerprint = Fingerprint(f"f{sub_id}")
            sub = SubSearch(
                sub_id, target, CallerId("c"), f"q{sub_id}", 3, fingerprint, None, now + left
            )
            self.perform(self.dispatcher.submit_search(sub, now))
        wanted = range(start, start + count)
        self.loop.until(lambda: self.step() or all(sub_id in self.searches for sub_id in wanted))
        return [self.searches[sub_id] for sub_id in wanted]

    def run(self, sub_id: int, left: float) -> RunReport:
        """Submits one non-idempotent request and returns its outcome."""
        now = self.loop.clock.now()
        key = IdempotencyKey(f"k{sub_id}")
        sub = SubRun(
            sub_id,
            sub_id,
            SERVICE,
            INSTANCE,
            CallerId("c"),
            "{}",
            key,
            Fingerprint(key),
            now + left,
        )
        self.perform(self.dispatcher.submit_run(sub, now))
        self.loop.until(lambda: self.step() or sub_id in self.runs)
        return self.runs[sub_id]


class UpstreamPathTest(TestCase):
    """Faults of connections and upstreams lose no search and run no request twice."""

    def setUp(self) -> None:
        specs = [UpstreamSpec(name, "i", "s", open_ms=0.0) for name in NAMES]
        self.upstreams = UpstreamsStandIn(specs)
        self.upstreams.start()
        self.addCleanup(self.upstreams.stop)
        self.home = Home(self.upstreams.ports)
        self.addCleanup(self.home.transport.close)
        self.assert_covered(self.home.search(30, start=0))

    def assert_covered(self, replies: list[ShardReply]) -> None:
        self.assertEqual({reply.reason for reply in replies}, {None})
        self.assertEqual({len(reply.hits) for reply in replies}, {3})

    def test_all_connections_silent_at_once(self) -> None:
        for round_number in range(1, 4):
            self.assertGreater(self.upstreams.silence("u1") + self.upstreams.silence("u2"), 0)
            self.assert_covered(self.home.search(20, start=100 * round_number))

    def test_silent_run_is_unknown_and_never_sent_again(self) -> None:
        for name in NAMES:
            self.upstreams.silence(name)
        report = self.home.run(1, left=0.5)
        self.assertEqual(report.state, RunState.UNKNOWN)
        self.assert_covered(self.home.search(5, start=200))
        self.assertEqual(self.upstreams.runs, {})
        self.assertEqual(self.home.run(2, left=15.0).state, RunState.DONE)
        self.assertEqual(self.upstreams.runs, {"k2": 1})

    def test_dropped_replies_duplicate_no_run(self) -> None:
        self.upstreams.set_faults("*", drop_share=1.0)
        self.assertEqual(self.home.run(1, left=5.0).state, RunState.UNKNOWN)
        self.assertEqual(self.upstreams.runs, {"k1": 1})

    def test_invalid_replies_are_retried_on_the_other_upstream(self) -> None:
        for faults in ({"truncate_share": 1.0}, {"crossed_share": 1.0}, {"shed_share": 1.0}):
            self.upstreams.set_faults("u1", **faults)
            replies = self.home.search(4, start=300)
            self.upstreams.set_faults("u1", **dict.fromkeys(faults, 0.0))
            self.assert_covered(replies)
            for sub_id in range(300, 304):
                del self.home.searches[sub_id]

    def test_one_upstream_down(self) -> None:
        self.upstreams.set_faults("u1", down=True)
        self.assert_covered(self.home.search(20, start=400))


def configuration(ports: dict[str, int]) -> Configuration:
    """Returns one instance with two upstreams."""
    domain = FailureDomain(FailureDomainName("p"), RegionName("r"))
    contract = Contract(ContractName("c"), 2, 60, 0.0)
    upstreams = tuple(Upstream(name, domain.name, "127.0.0.1", ports[name]) for name in NAMES)
    service = Service(SERVICE, contract.name, (Instance(INSTANCE, upstreams),))
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("t"),
        {domain.name: domain},
        {contract.name: contract},
        {service.name: service},
    )
