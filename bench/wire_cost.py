"""Measures the processor time of an upstream exchange against a bare loop with the same parser."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from gc import collect, freeze
from statistics import median
from time import process_time
from typing import Any, Final

from circuits import BaseComponent, Event
from circuits.core.events import started
from circuits.core.pollers import EPoll
from msgspec import json

from bench.bare_loop import BareLoop
from bench.epoll_server import ServerProcess
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
from sequoiapulley.model import Configuration, Contract, FailureDomain, Instance, Service, Upstream
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.search.messages import ShardTarget
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.http_codec import HttpExchangeCodec
from sequoiapulley.upstream.http_contract import (
    JSON_HEADERS,
    SEARCH_PATH,
    HttpContract,
    decode_search_body,
    encode_search,
)
from sequoiapulley.upstream.messages import (
    Action,
    FinishSearch,
    LossKind,
    SendExchange,
    SubSearch,
    UpstreamReply,
)
from sequoiapulley.upstream.transport import UpstreamTransport
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent

FAN_OUTS: Final = (20, 60, 140, 560)
EXCHANGES_PER_ROUND: Final = 5_600
ROUNDS: Final = 9
MICROSECONDS: Final = 1e6
DEADLINE_S: Final = 60.0
SHARE: Final = 2
"""Number of connections and slots of the node at each upstream."""
TARGET: Final = ShardTarget(ShardId("i"), ServiceName("s"), InstanceName("i"))


class TransportLoop:
    """Runs the exchanges through the node's transport."""

    def __init__(self, ports: list[int], with_codec: bool) -> None:
        """Configures one upstream per port.

        Args:
            ports: Ports of the upstreams.
            with_codec: Encode each request from its message and decode the hits, instead of
                sending a prepared body and discarding the reply.
        """
        self._clock = SystemClock()
        self._timers = TimerQueue(self._clock)
        self._reactor = Reactor(self._clock, self._timers)
        self._transport = UpstreamTransport(
            self._reactor, self._clock, self._timers, self._on_reply, self._on_lost
        )
        self._transport.configure(configuration(ports), lambda _name: SHARE)
        self._names = [UpstreamName(f"u{port}") for port in ports]
        self._with_codec = with_codec
        self._left = 0

    def batch(self, first: int) -> None:
        """Sends one request to every upstream and reads every reply."""
        self._left = len(self._names)
        now = self._clock.now()
        for number, name in enumerate(self._names, first):
            exchange_id = ExchangeId(number)
            body = encode(exchange_id, now) if self._with_codec else BODY_TEMPLATE % number
            exchange = SendExchange(
                exchange_id, name, SEARCH_PATH, JSON_HEADERS, body, now + DEADLINE_S
            )
            self._transport.execute(exchange)
        while self._left:
            self._wait()

    def _wait(self) -> None:
        """Runs the reactor once."""
        self._reactor.run_once(1.0)

    def close(self) -> None:
        """Closes every connection."""
        self._transport.configure(configuration([]), lambda _name: 0)
        self._reactor.close()

    def _on_reply(self, _exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        """Counts a reply."""
        if self._with_codec:
            decode_search_body(reply.body, TARGET.shard)
        self._left -= 1

    def _on_lost(self, exchange_id: ExchangeId, kind: LossKind) -> None:
        """Fails the run: no exchange should be lost on loopback."""
        raise RuntimeError(f"exchange {exchange_id} was lost: {kind.value}")


class DispatchLoop(TransportLoop):
    """Runs the exchanges through the dispatcher, from sub-search to hits."""

    def __init__(self, ports: list[int]) -> None:
        """Configures one upstream per port."""
        super().__init__(ports, with_codec=True)
        self._dispatcher = Dispatcher(HttpExchangeCodec(), MemoryLog())
        self._targets = [
            ShardTarget(TARGET.shard, TARGET.service, InstanceName(f"i{port}")) for port in ports
        ]
        now = self._clock.now()
        cfg = configuration(ports)
        self._perform(self._dispatcher.configure(cfg, now, lambda _: SHARE, lambda _: SHARE))

    def batch(self, first: int) -> None:
        """Sends one sub-search to every shard and waits for every outcome."""
        self._left = len(self._targets)
        now = self._clock.now()
        for number, target in enumerate(self._targets, first):
            sub = make_sub(number, target, now)
            self._perform(self._dispatcher.submit_search(sub, now))
        while self._left:
            self._wait()
            self._perform(self._dispatcher.tick(self._clock.now()))

    def _perform(self, actions: Iterable[Action]) -> None:
        """Executes the dispatcher's actions."""
        for action in actions:
            if not isinstance(action, FinishSearch):
                self._transport.execute(action)
                continue
            if action.reply.reason is not None:
                raise RuntimeError(f"shard missing from the answer: {action.reply.reason.value}")
            self._left -= 1

    def _on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        """Passes a reply to the dispatcher."""
        self._perform(self._dispatcher.on_reply(exchange_id, reply, self._clock.now()))


class BatchDone(Event):
    """Fired when every exchange of a batch has been answered."""


class CircuitsLoop(TransportLoop):
    """Runs the exchanges with the reactor polled by a circuits manager, as in the daemon."""

    def __init__(self, ports: list[int], with_codec: bool) -> None:
        """Configures one upstream per port; the arguments are those of `TransportLoop`."""
        super().__init__(ports, with_codec)
        self._manager = BaseComponent()
        EPoll().register(self._manager)
        ReactorComponent(self._reactor, self._timers).register(self._manager)
        # `run` would block; `tick` can be called from a loop but polls only if the flag is set.
        self._manager._running = True
        self._manager.fire(started(self._manager))

    def _wait(self) -> None:
        """Runs the manager once."""
        self._manager.tick(1.0)

    def _on_reply(self, exchange_id: ExchangeId, reply: UpstreamReply) -> None:
        """Counts a reply and fires an event for the last one of a batch, to end the wait."""
        super()._on_reply(exchange_id, reply)
        if not self._left:
            self._manager.fire(BatchDone())


def make_sub(number: int, target: ShardTarget, now: float) -> SubSearch:
    """Builds one sub-search."""
    deadline = now + DEADLINE_S
    return SubSearch(
        number, target, CallerId("c"), "query", 10, Fingerprint(f"f{number}"), None, deadline
    )


def encode(exchange_id: ExchangeId, now: float) -> bytes:
    """Encodes one search."""
    return encode_search(exchange_id, make_sub(exchange_id, TARGET, now), now)


BODY_TEMPLATE: Final = encode(ExchangeId(0), 0.0).replace(b'"request_id":0', b'"request_id":%d')


def request_bytes(number: int) -> bytes:
    """Returns an encoded request, as the transport sends it."""
    body = BODY_TEMPLATE % number
    exchange = SendExchange(
        ExchangeId(number), UpstreamName("u"), SEARCH_PATH, JSON_HEADERS, body, 0.0
    )
    return HttpContract().encode(exchange, "127.0.0.1", 1)


def configuration(ports: list[int]) -> Configuration:
    """Returns a configuration with one upstream per port."""
    domain = FailureDomain(FailureDomainName("p"), RegionName("r"))
    contract = Contract(ContractName("c"), 2, 60, 1.0)
    instances = tuple(
        Instance(
            InstanceName(f"i{port}"),
            (Upstream(UpstreamName(f"u{port}"), domain.name, "127.0.0.1", port),),
        )
        for port in ports
    )
    service = Service(ServiceName("s"), contract.name, instances)
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("t"),
        {domain.name: domain},
        {contract.name: contract},
        {service.name: service},
    )


Loop = BareLoop | TransportLoop


def measure(loops: dict[str, Loop], fan_out: int) -> dict[str, list[float]]:
    """Measures the processor time of one exchange in µs, in rounds that alternate the loops."""
    for loop in loops.values():
        loop.batch(0)
    collect()
    freeze()
    batches = EXCHANGES_PER_ROUND // fan_out
    costs: dict[str, list[float]] = {name: [] for name in loops}
    for _ in range(ROUNDS):
        for name, loop in loops.items():
            start = process_time()
            for number in range(batches):
                loop.batch(number * fan_out)
            spent = process_time() - start
            costs[name].append(spent / (batches * fan_out) * MICROSECONDS)
    return costs


def measure_row(ports: list[int]) -> dict[str, Any]:
    """Measures one fan-out: medians, extremes, and ratios to the bare loop.

    `_ratio` is the median of the ratios of each round; `_least_ratio` compares the fastest rounds,
    which are less disturbed by other work on the machine.
    """
    loops: dict[str, Loop] = {
        "bare": BareLoop(ports, request_bytes),
        "transport": TransportLoop(ports, with_codec=False),
        "decoded": TransportLoop(ports, with_codec=True),
        "circuits": CircuitsLoop(ports, with_codec=True),
        "dispatched": DispatchLoop(ports),
    }
    costs = measure(loops, len(ports))
    row: dict[str, Any] = {"fan_out": len(ports)}
    for name, loop in loops.items():
        loop.close()
        row[name] = round(median(costs[name]), 2)
        row[f"{name}_least"] = round(min(costs[name]), 2)
        row[f"{name}_most"] = round(max(costs[name]), 2)
    for name in ("transport", "decoded", "circuits", "dispatched"):
        ratios = [cost / bare for cost, bare in zip(costs[name], costs["bare"], strict=True)]
        row[f"{name}_ratio"] = round(median(ratios), 2)
        row[f"{name}_least_ratio"] = round(min(costs[name]) / min(costs["bare"]), 2)
    return row


def run() -> dict[str, Any]:
    """Measures all fan-outs.

    Returns:
        Rows in µs of processor time per exchange. `transport` sends a prepared body; `decoded` also
        encodes the body from its message and decodes the hits; `circuits` does so under the
        circuits manager; `dispatched` goes from sub-search to hits through the dispatcher.
    """
    server = ServerProcess(max(FAN_OUTS))
    rows = [measure_row(server.ports[:fan_out]) for fan_out in FAN_OUTS]
    server.stop()
    return {"name": "wire_cost", "unit": "µs processor time per exchange", "rows": rows}


if __name__ == "__main__":
    sys.stdout.write(json.encode(run()).decode() + "\n")
