"""Fakes for tests of the dispatcher: a codec, a configuration, a harness that checks actions."""

from __future__ import annotations

from collections import Counter
from typing import Final

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
from sequoiapulley.model import (
    Configuration,
    Contract,
    FailureDomain,
    Instance,
    Service,
    Snapshot,
    Upstream,
)
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.quarantine import REFUSED_TTL_S
from sequoiapulley.requests.messages import RunReport, RunState
from sequoiapulley.search.messages import Hit, ShardReply, ShardTarget
from sequoiapulley.upstream.codec import EncodedRequest
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.messages import (
    Action,
    CancelExchange,
    FinishRun,
    FinishSearch,
    LossKind,
    NewStrike,
    ReplyKind,
    SendExchange,
    SubRun,
    SubSearch,
    UpstreamReply,
)

SNAPSHOT: Final = Snapshot(1, 1)
SERVICE: Final = ServiceName("ledger")
REFUSALS: Final = frozenset({ReplyKind.SHED, ReplyKind.DRAINING, ReplyKind.EXPIRED})


class FakeCodec:
    """Encodes fixed bodies; decodes the search body `ok` as no hits and fails on other ones.

    Bodies of run replies are decoded as text, except `truncated`, which fails.
    """

    def encode_search(self, exchange_id: ExchangeId, sub: SubSearch, now: float) -> EncodedRequest:
        return EncodedRequest("/search", (), b"search")

    def encode_run(self, exchange_id: ExchangeId, sub: SubRun, now: float) -> EncodedRequest:
        return EncodedRequest("/run", (), b"run")

    def decode_search(self, body: bytes, shard: ShardId) -> tuple[Hit, ...]:
        if body != b"ok":
            raise ValueError("truncated")
        return ()

    def decode_run(self, body: bytes) -> str:
        if body == b"truncated":
            raise ValueError("truncated")
        return body.decode()


def configuration(
    instances: int = 1,
    replicas: int = 2,
    slots: int = 2,
    draining: frozenset[str] = frozenset(),
    services: dict[str, int] | None = None,
) -> Configuration:
    """Builds services (name to weight) whose upstreams are named `<service>-<instance>-<n>`."""
    weights = services or {SERVICE: 1}
    domains = {
        FailureDomainName(name): FailureDomain(FailureDomainName(name), RegionName(region))
        for name, region in (("near-a", "near"), ("near-b", "near"), ("far-a", "far"))
    }
    names = list(domains)
    contract = Contract(ContractName("small"), slots, 55, 6.0)
    built = {}
    for service, weight in weights.items():
        built_instances = []
        for number in range(instances):
            upstreams = tuple(
                Upstream(
                    UpstreamName(f"{service}-{number}-{replica}"),
                    names[replica % len(names)],
                    "127.0.0.1",
                    1,
                    f"{service}-{number}-{replica}" in draining,
                )
                for replica in range(replicas)
            )
            built_instances.append(Instance(InstanceName(f"i{number}"), upstreams))
        name = ServiceName(service)
        built[name] = Service(name, contract.name, tuple(built_instances), weight=weight)
    return Configuration(
        ConfigVersion(1), WorkspaceName("co-op"), domains, {contract.name: contract}, built
    )


def search(
    sub_id: int,
    deadline: float,
    instance: int = 0,
    caller: str = "caller",
    fingerprint: str = "f",
    service: str = SERVICE,
    snapshot: Snapshot | None = SNAPSHOT,
) -> SubSearch:
    """Builds a sub-search."""
    name = InstanceName(f"i{instance}")
    target = ShardTarget(ShardId(name), ServiceName(service), name)
    return SubSearch(
        sub_id, target, CallerId(caller), "q", 10, Fingerprint(fingerprint), snapshot, deadline
    )


def run(
    sub_id: int, deadline: float, instance: int = 0, fingerprint: str = "r", service: str = SERVICE
) -> SubRun:
    """Builds a sub-run."""
    return SubRun(
        sub_id,
        sub_id,
        ServiceName(service),
        InstanceName(f"i{instance}"),
        CallerId("caller"),
        "{}",
        IdempotencyKey(f"key-{sub_id}"),
        Fingerprint(fingerprint),
        deadline,
    )


def ok(snapshot: Snapshot | None = SNAPSHOT, **fields: object) -> UpstreamReply:
    """Builds a good reply."""
    return UpstreamReply(ReplyKind.OK, snapshot, body=b"ok", **fields)  # type: ignore[arg-type]


class DispatcherHarness:
    """Drives a dispatcher and checks every action against its guarantees."""

    def __init__(
        self,
        cfg: Configuration | None = None,
        slots: int = 2,
        seed: int = 0,
        failure_domain: FailureDomainName | None = None,
    ) -> None:
        """Creates and configures a dispatcher at clock reading 0."""
        self.log = MemoryLog()
        self.dispatcher = Dispatcher(FakeCodec(), self.log, seed, failure_domain)
        self.slots = slots
        self.now = 0.0
        self.open: dict[ExchangeId, SendExchange] = {}
        self.sub_of: dict[ExchangeId, int] = {}
        self.subs: dict[int, SubSearch | SubRun] = {}
        self.sent: dict[int, list[SendExchange]] = {}
        self.may_have_run: set[int] = set()
        self.searches: dict[int, ShardReply] = {}
        self.runs: dict[int, RunReport] = {}
        self.received: dict[int, set[str]] = {}
        self.replaced: set[int] = set()
        self.struck: set[Fingerprint] = set()
        self.refused: dict[Fingerprint, float] = {}
        self.strikes: list[NewStrike] = []
        self.sends: Counter[str] = Counter()
        self.in_flight: Counter[str] = Counter()
        self.cancelled: set[int] = set()
        self.configure(cfg or configuration(slots=slots))

    def configure(self, cfg: Configuration) -> list[Action]:
        """Applies a configuration with the same slots for every upstream."""
        self.cfg = cfg
        actions = self.dispatcher.configure(cfg, self.now, lambda _: 55, lambda _: self.slots)
        return self.apply(actions)

    def submit(self, sub: SubSearch | SubRun) -> list[Action]:
        """Submits a sub-request."""
        self.subs[sub.sub_id] = sub
        if isinstance(sub, SubRun):
            return self.apply(self.dispatcher.submit_run(sub, self.now))
        return self.apply(self.dispatcher.submit_search(sub, self.now))

    def reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> list[Action]:
        """Answers an exchange; its fingerprint then no longer counts as struck in the checks."""
        self.struck.discard(self.subs[self.sub_of[exchange_id]].fingerprint)
        self._ended(exchange_id, reply.kind not in REFUSALS)
        return self.apply(self.dispatcher.on_reply(exchange_id, reply, self.now))

    def lose(self, exchange_id: ExchangeId, loss: LossKind) -> list[Action]:
        """Ends an exchange without a reply."""
        if loss is LossKind.NOT_SENT:
            self.received[self.sub_of[exchange_id]].discard(self.open[exchange_id].upstream)
        self._ended(exchange_id, loss is LossKind.CONNECTION_LOST)
        return self.apply(self.dispatcher.on_lost(exchange_id, loss, self.now))

    def cancel(self, sub_id: int) -> list[Action]:
        """Cancels a sub-request."""
        self.cancelled.add(sub_id)
        return self.apply(self.dispatcher.cancel(sub_id, self.now))

    def report(self, upstream: str, draining: bool = False, load: float | None = None) -> None:
        """Delivers a load report."""
        self.apply(
            self.dispatcher.on_load_report(UpstreamName(upstream), load, draining, (), self.now)
        )

    def advance(self, seconds: float) -> list[Action]:
        """Advances the clock and calls `tick` at every due time in between."""
        until = self.now + seconds
        actions: list[Action] = []
        while (due := self.dispatcher.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            actions += self.apply(self.dispatcher.tick(self.now))
        self.now = until
        return actions + self.apply(self.dispatcher.tick(self.now))

    def exchanges_of(self, sub_id: int) -> list[ExchangeId]:
        """Lists the open exchanges of a sub-request, oldest first."""
        return [key for key in self.open if self.sub_of[key] == sub_id]

    def receive_strike(self, fingerprint: str, upstream: str, strikes: int = 1) -> list[Action]:
        """Delivers a strike from another node."""
        self.on_strike(Fingerprint(fingerprint), strikes)
        name = UpstreamName(upstream)
        actions = self.dispatcher.on_strike(Fingerprint(fingerprint), name, self.now, strikes)
        return self.apply(actions)

    def on_strike(self, fingerprint: Fingerprint, strikes: int) -> None:
        """Records that a fingerprint is suspected or refused from now on."""
        self.struck.add(fingerprint)
        if strikes > 1:
            self.refused.setdefault(fingerprint, self.now + REFUSED_TTL_S)

    def apply(self, actions: list[Action]) -> list[Action]:
        """Carries out actions and checks them."""
        for action in actions:
            if isinstance(action, SendExchange):
                self._on_send(action)
            elif isinstance(action, CancelExchange):
                assert action.exchange_id in self.open, "cancelled an exchange that is not open"
                self._close(action.exchange_id)
            elif isinstance(action, FinishSearch):
                self._on_search_finished(action)
            elif isinstance(action, FinishRun):
                self._on_run_finished(action)
            elif isinstance(action, NewStrike):
                self.strikes.append(action)
                self.on_strike(action.fingerprint, action.strikes)
        for upstream, count in self.in_flight.items():
            assert count <= self.slots, f"more in flight at {upstream} than slots"
        return actions

    def _on_send(self, action: SendExchange) -> None:
        sub = self.dispatcher.sub_of(action.exchange_id)
        assert sub is not None, "sent an exchange that the dispatcher does not know"
        assert action.exchange_id not in self.sub_of, "reused an exchange id"
        assert sub.deadline > self.now, "sent after the deadline"
        assert sub.sub_id not in self.may_have_run, "sent a run twice"
        before = self.sent.setdefault(sub.sub_id, [])
        refused_until = self.refused.get(sub.fingerprint, 0.0)
        assert self.now >= refused_until, "sent a quarantined request"
        if sub.fingerprint in self.struck and before:
            assert not self.exchanges_of(sub.sub_id), "hedged a struck request"
        if isinstance(sub, SubRun):
            assert not self.exchanges_of(sub.sub_id), "a run has two exchanges"
        if action.upstream in self.received.setdefault(sub.sub_id, set()):
            # Only the replacement of a silent connection may go to the same replica, and only once.
            assert action.fresh_connection and not isinstance(sub, SubRun), "same replica again"
            assert sub.sub_id not in self.replaced, "replaced twice"
            self.replaced.add(sub.sub_id)
        self.received[sub.sub_id].add(action.upstream)
        before.append(action)
        self.open[action.exchange_id] = action
        self.sub_of[action.exchange_id] = sub.sub_id
        self.sends[action.upstream] += 1
        self.in_flight[action.upstream] += 1

    def _on_search_finished(self, action: FinishSearch) -> None:
        sub = self.subs[action.sub_id]
        assert isinstance(sub, SubSearch)
        assert action.sub_id not in self.searches, "finished twice"
        assert action.sub_id not in self.cancelled, "finished after its cancel"
        reply = action.reply
        assert reply.shard == sub.target.shard
        assert (reply.snapshot is None) == (reply.reason is not None)
        if reply.reason is None and sub.snapshot is not None:
            assert reply.snapshot == sub.snapshot, "hits of another snapshot"
        self.searches[action.sub_id] = reply

    def _on_run_finished(self, action: FinishRun) -> None:
        assert action.sub_id not in self.runs, "finished twice"
        if action.report.state is RunState.NOT_RUN:
            assert action.sub_id not in self.may_have_run, "claimed not run without proof"
            assert not self.exchanges_of(action.sub_id), "claimed not run while in flight"
        self.runs[action.sub_id] = action.report

    def _ended(self, exchange_id: ExchangeId, may_have_run: bool) -> None:
        sub_id = self.sub_of[exchange_id]
        if may_have_run and isinstance(self.subs[sub_id], SubRun):
            self.may_have_run.add(sub_id)
        if exchange_id in self.open:
            self._close(exchange_id)

    def _close(self, exchange_id: ExchangeId) -> None:
        action = self.open.pop(exchange_id)
        self.in_flight[action.upstream] -= 1
