"""Measures how long the fleet takes to detect membership changes, on an in-memory network.

Times are those of the simulated clock. One-way delays are 0.5 to 20 ms, without loss unless
stated.
"""

from __future__ import annotations

from collections.abc import Callable
from json import dumps
from statistics import median
from typing import Any, Final

from sequoiapulley.fleet.actions import BroadcastKind
from sequoiapulley.fleet.member import MemberState
from sequoiapulley.ids import NodeId
from tests.membership_simulation import MembershipSimulation

SIZES: Final = (5, 15, 60)
SEEDS: Final = 5
SETTLE_S: Final = 20.0
STEP_S: Final = 0.05
MAX_WAIT_S: Final = 120.0
LOSS_SHARE: Final = 0.3
LOSS_RUN_S: Final = 600.0
NOT_DEAD: Final = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)

Done = Callable[[], bool]
Case = Callable[[MembershipSimulation], Done]
"""Triggers a change and returns a function that says whether every node has detected it."""


def run() -> dict[str, Any]:
    """Measures all cases at all sizes.

    Returns:
        Seconds until every running node has detected the change, as median and maximum over the
        seeds.
    """
    cases: dict[str, Case] = {
        "node_killed_until_suspected": _kill(1, MemberState.ALIVE, MemberState.LEAVING),
        "node_killed_until_dead": _kill(1, *NOT_DEAD),
        "third_killed_until_dead": _kill(3, *NOT_DEAD),
        "paused_node_resumed": _pause,
        "half_parted_and_healed": _partition,
        "node_leaves": _leave,
    }
    return {
        "points": [
            {"nodes": size} | {name: _measure(size, case) for name, case in cases.items()}
            for size in SIZES
        ],
        "rumour_s": {str(size): _measure_broadcast(size) for size in SIZES},
        "false_deaths_per_node_hour_at_30_percent_loss": _measure_false_deaths(),
    }


def _measure(size: int, case: Case) -> dict[str, float]:
    times = []
    for seed in range(SEEDS):
        net = MembershipSimulation(size, seed=seed)
        net.run(SETTLE_S)
        times.append(_time_until(net, case(net)))
    return {"median_s": round(median(times), 2), "worst_s": round(max(times), 2)}


def _time_until(net: MembershipSimulation, done: Done) -> float:
    started = net.now
    while not done() and net.now - started < MAX_WAIT_S:
        net.run(STEP_S)
    return net.now - started


def _kill(every_nth: int, *stale_states: MemberState) -> Case:
    """Returns a case that kills one node, or every n-th node if `every_nth` is above 1.

    The change is detected when no running node sees a killed node in one of `stale_states`.
    """

    def case(net: MembershipSimulation) -> Done:
        nodes = list(net.nodes)
        killed = set(nodes[::every_nth]) if every_nth > 1 else {nodes[1]}
        net.stopped |= killed
        return lambda: not any(
            state in stale_states and node in killed
            for viewer in net.running()
            for node, state in net.view(viewer).items()
        )

    return case


def _pause(net: MembershipSimulation) -> Done:
    net.paused.add(NodeId("n2"))
    net.run(30.0)
    net.paused.clear()
    return net.has_converged


def _partition(net: MembershipSimulation) -> Done:
    half = set(list(net.nodes)[::2])
    net.is_partitioned = lambda a, b: (a in half) != (b in half)
    net.run(300.0)
    net.is_partitioned = lambda _a, _b: False
    return net.has_converged


def _leave(net: MembershipSimulation) -> Done:
    node = NodeId("n1")
    net.execute(node, net.nodes[node].leave(net.now))
    others = [other for other in net.nodes if other != node]
    return lambda: all(node not in net.alive_in_view(other) for other in others)


def _measure_broadcast(size: int) -> dict[str, float]:
    times = []
    for seed in range(SEEDS):
        net = MembershipSimulation(size, seed=seed)
        net.run(SETTLE_S)
        net.nodes[NodeId("n0")].broadcast(BroadcastKind.QUARANTINE_STRIKE, b"x" * 60, net.now)
        started = net.now
        net.run(10.0)
        delays = [when - started for when, _node, _body in net.broadcasts_received()]
        times.append(max(delays) if len(delays) == size - 1 else MAX_WAIT_S)
    return {"median_s": round(median(times), 2), "worst_s": round(max(times), 2)}


def _measure_false_deaths() -> dict[str, float]:
    rates = {}
    for size in SIZES[:2]:
        net = MembershipSimulation(size, loss=LOSS_SHARE)
        net.run(LOSS_RUN_S)
        deaths = len(net.state_changes(MemberState.DEAD))
        rates[str(size)] = round(deaths / size / LOSS_RUN_S * 3600, 2)
    return rates


if __name__ == "__main__":
    print(dumps(run(), indent=2))
