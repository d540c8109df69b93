"""How long the fleet takes to notice what happened, on an in-memory network.

Times are those of the network's own clock: one-way delays of 0.5 to 20 ms, no loss unless stated.
"""

from __future__ import annotations

from collections.abc import Callable
from json import dumps
from statistics import median
from typing import Any, Final

from sequoiapulley.fleet.member import MemberState
from sequoiapulley.fleet.orders import RumourKind
from sequoiapulley.ids import NodeId
from tests.fleet_net import FleetNet

SIZES: Final = (5, 15, 60)
SEEDS: Final = 5
SETTLE_S: Final = 20.0
STEP_S: Final = 0.05
PATIENCE_S: Final = 120.0
HEAVY_LOSS: Final = 0.3
LOSS_TIME_S: Final = 600.0
NOT_DEAD: Final = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)

Done = Callable[[], bool]
Case = Callable[[FleetNet], Done]
"""Provokes something and returns when the fleet has noticed it."""


def run() -> dict[str, Any]:
    """Measures every case at every size.

    Returns:
        Seconds until every running node has noticed, as median and worst over the seeds.
    """
    cases: dict[str, Case] = {
        "node_killed_until_suspected": _kill(1, MemberState.ALIVE, MemberState.LEAVING),
        "node_killed_until_dead": _kill(1, *NOT_DEAD),
        "third_killed_until_dead": _kill(3, *NOT_DEAD),
        "paused_node_resumed": _pause,
        "half_parted_and_healed": _part,
        "node_leaves": _leave,
    }
    return {
        "points": [
            {"nodes": size} | {name: _measure(size, case) for name, case in cases.items()}
            for size in SIZES
        ],
        "rumour_s": {str(size): _measure_rumour(size) for size in SIZES},
        "false_deaths_per_node_hour_at_30_percent_loss": _measure_false_deaths(),
    }


def _measure(size: int, case: Case) -> dict[str, float]:
    times = []
    for seed in range(SEEDS):
        net = FleetNet(size, seed=seed)
        net.run(SETTLE_S)
        times.append(_time_until(net, case(net)))
    return {"median_s": round(median(times), 2), "worst_s": round(max(times), 2)}


def _time_until(net: FleetNet, done: Done) -> float:
    started = net.now
    while not done() and net.now - started < PATIENCE_S:
        net.run(STEP_S)
    return net.now - started


def _kill(share: int, *wrong: MemberState) -> Case:
    def case(net: FleetNet) -> Done:
        nodes = list(net.nodes)
        killed = set(nodes[::share]) if share > 1 else {nodes[1]}
        net.stopped |= killed
        return lambda: not any(
            state in wrong and node in killed
            for viewer in net.running()
            for node, state in net.view(viewer).items()
        )

    return case


def _pause(net: FleetNet) -> Done:
    net.paused.add(NodeId("n2"))
    net.run(30.0)
    net.paused.clear()
    return net.agreed


def _part(net: FleetNet) -> Done:
    far = set(list(net.nodes)[::2])
    net.cut = lambda a, b: (a in far) != (b in far)
    net.run(300.0)
    net.cut = lambda _a, _b: False
    return net.agreed


def _leave(net: FleetNet) -> Done:
    node = NodeId("n1")
    net.execute(node, net.nodes[node].leave(net.now))
    others = [other for other in net.nodes if other != node]
    return lambda: all(node not in net.alive_in(other) for other in others)


def _measure_rumour(size: int) -> dict[str, float]:
    times = []
    for seed in range(SEEDS):
        net = FleetNet(size, seed=seed)
        net.run(SETTLE_S)
        net.nodes[NodeId("n0")].broadcast(RumourKind.QUARANTINE_STRIKE, b"x" * 60, net.now)
        started = net.now
        net.run(10.0)
        heard = [when - started for when, _node, _body in net.rumours()]
        times.append(max(heard) if len(heard) == size - 1 else PATIENCE_S)
    return {"median_s": round(median(times), 2), "worst_s": round(max(times), 2)}


def _measure_false_deaths() -> dict[str, float]:
    rates = {}
    for size in SIZES[:2]:
        net = FleetNet(size, loss=HEAVY_LOSS)
        net.run(LOSS_TIME_S)
        deaths = len(net.changes(MemberState.DEAD))
        rates[str(size)] = round(deaths / size / LOSS_TIME_S * 3600, 2)
    return rates


if __name__ == "__main__":
    print(dumps(run(), indent=2))
