"""Measures the balance and movement of homes, and the balance of callers over entry nodes."""

from __future__ import annotations

from collections import Counter
from json import dumps
from random import Random
from time import perf_counter
from typing import Any, Final

from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.fleet.home_map import HomeMap
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import CallerId, FailureDomainName, NodeId
from tests.membership_simulation import FAILURE_DOMAINS, make_member
from tests.test_homes_and_entries import assigned, make_map

HOME_CASES: Final = ((15, 50), (30, 400), (60, 400), (590, 2150))
MAX_REMOVED_NODES: Final = 15
ENTRY_TRIALS: Final = 50
ENTRY_NODES: Final = 15
ENTRY_CALLERS: Final = 300


def run() -> dict[str, Any]:
    """Measures all cases."""
    return {
        "homes": [measure_homes(nodes, instances) for nodes, instances in HOME_CASES],
        "entries": [measure_entries(asked) for asked in (1, 3, ENTRY_NODES)],
    }


def measure_homes(nodes: int, instances: int) -> dict[str, float]:
    """Measures one fleet: load of the busiest home, share of instances moved, time to update."""
    members = [make_member(number) for number in range(nodes)]
    started = perf_counter()
    homes = make_map(members, instances)
    built = perf_counter() - started
    before = assigned(homes, instances)
    loads = Counter(before)
    moved = [
        _moved(homes, members, removed, before) for removed in range(min(nodes, MAX_REMOVED_NODES))
    ]
    update = [seconds for _own, _other_too, seconds in moved]
    own = sum(own_moved for own_moved, _other, _seconds in moved)
    other = sum(other_moved for _own, other_moved, _seconds in moved)
    return {
        "nodes": nodes,
        "instances": instances,
        "busiest_over_mean": round(max(loads.values()) * nodes / instances, 3),
        "own_share_moved": round(own / len(moved) / instances, 5),
        "other_share_moved": round(other / len(moved) / instances, 5),
        "build_ms": round(built * 1e3, 1),
        "update_ms": round(1e3 * sum(update) / len(update), 2),
    }


def _moved(
    homes: HomeMap, members: list[Member], removed: int, before: list[NodeId]
) -> tuple[int, int, float]:
    """Removes a node and adds it again.

    Returns:
        Instances that the node was home of, other instances moved, and seconds of the removal.
    """
    rest = [member for number, member in enumerate(members) if number != removed]
    started = perf_counter()
    homes.update_members(tuple(rest))
    seconds = perf_counter() - started
    after = assigned(homes, len(before))
    homes.update_members(tuple(members))
    removed_node = members[removed].node
    own = sum(home == removed_node for home in before)
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    return own, moved - own, seconds


def measure_entries(asked: int) -> dict[str, float]:
    """Measures the busiest node if each caller queries one of `asked` nodes at random."""
    ratios = sorted(_busiest(asked, seed) for seed in range(ENTRY_TRIALS))
    return {
        "nodes_asked": asked,
        "trials": ENTRY_TRIALS,
        "busiest_over_mean_median": round(ratios[len(ratios) // 2], 3),
        "busiest_over_mean_worst": round(ratios[-1], 3),
    }


def _busiest(asked: int, seed: int) -> float:
    random = Random(seed)
    members = tuple(make_member(number) for number in range(ENTRY_NODES))
    directories = [EntryDirectory(member.node) for member in members]
    for directory in directories:
        directory.update_members(members)
    loads: Counter[NodeId] = Counter()
    for number in range(ENTRY_CALLERS):
        domain = random.choice([None, *map(FailureDomainName, FAILURE_DOMAINS)])
        directory = random.choice(directories[:asked])
        answer = directory.answer(CallerId(f"c{number}"), domain, 0.0)
        loads[answer.addresses[0].node] += 1
    return max(loads.values()) * ENTRY_NODES / ENTRY_CALLERS


if __name__ == "__main__":
    print(dumps(run(), indent=2))
