"""Crowds of clients outside the limits, beside the other faults of a soak run."""

from __future__ import annotations

from asyncio import Task, create_task, gather, get_running_loop, sleep, to_thread
from random import Random
from typing import Final

from msgspec import Struct

from soak.caller import HOST
from soak.testbed import Testbed
from standins.crowd import Crowd, CrowdKind, Target
from standins.platform_fleet import CALLERS_PORT, DIRECTORY_PORT, PEERS_PORT, READY_PORT

MIN_INTERVAL_S: Final = 0.5
MAX_INTERVAL_S: Final = 3.0
MIN_DURATION_S: Final = 1.0
MAX_DURATION_S: Final = 5.0
MIN_CLIENTS: Final = 20
MAX_CLIENTS: Final = 250
CALLERS_SHARE: Final = 0.7
"""Share of the crowds that are at the callers' port."""
MEMORY_POLL_S: Final = 0.1
OTHER_PATHS: Final = {
    DIRECTORY_PORT: "/resolution?zone=p&region=g",
    READY_PORT: "/readiness",
    PEERS_PORT: "/v1/changes?after=0",
}


class CrowdPlan(Struct, frozen=True):
    """One crowd at one node."""

    at: float
    """Seconds from the start of the run."""
    lasts: float
    kind: CrowdKind
    clients: int
    node: int
    """Index of the node, modulo the number of them."""
    port: int


def draw_crowds(seed: int, seconds: float, quiet_period: float) -> list[CrowdPlan]:
    """Returns the crowds of a seed, in order of start; they end before the quiet period."""
    random = Random(f"{seed} crowds")
    crowds: list[CrowdPlan] = []
    at = random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    end = seconds - quiet_period
    while at < end:
        lasts = min(random.uniform(MIN_DURATION_S, MAX_DURATION_S), end - at)
        others = tuple(OTHER_PATHS)
        port = CALLERS_PORT if random.random() < CALLERS_SHARE else random.choice(others)
        kind = random.choice(tuple(CrowdKind))
        clients = random.randint(MIN_CLIENTS, MAX_CLIENTS)
        crowds.append(CrowdPlan(round(at, 3), lasts, kind, clients, random.randrange(1_000), port))
        at += random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    return crowds


class CrowdRunner:
    """Runs the crowds of a plan on a testbed, and follows the memory of its nodes."""

    def __init__(self, testbed: Testbed, crowds: list[CrowdPlan]) -> None:
        """Creates a runner.

        Args:
            testbed: Nodes that the crowds visit.
            crowds: The plan, in order of start.
        """
        self.most_kb: dict[str, int] = {}
        """Maximum resident memory of each node, in kB."""
        self._testbed = testbed
        self._crowds = crowds

    async def run(self) -> None:
        """Starts every crowd at its time; returns once all are over."""
        if not self._crowds:
            return
        start = get_running_loop().time()
        watch = create_task(self._watch_memory())
        tasks: list[Task[None]] = []
        for plan in self._crowds:
            await sleep(max(0.0, start + plan.at - get_running_loop().time()))
            tasks.append(create_task(self._play(plan)))
        await gather(*tasks)
        watch.cancel()

    async def _play(self, plan: CrowdPlan) -> None:
        """Runs one crowd."""
        nodes = self._testbed.fleet.nodes
        node = nodes[plan.node % len(nodes)]
        path = OTHER_PATHS.get(plan.port, "/i/x")
        method = "POST" if plan.port == CALLERS_PORT else "GET"
        headers = (("X-Attempt-Id", "crowd"), ("X-Deadline-Ms", "3000"))
        crowd = Crowd(
            plan.kind, Target(node.host, plan.port, path, method, headers, HOST), plan.clients
        )
        crowd.start()
        await sleep(plan.lasts)
        await to_thread(crowd.stop)

    async def _watch_memory(self) -> None:
        """Follows the memory of all nodes until it is cancelled."""
        while True:
            for node in self._testbed.fleet.nodes:
                try:
                    kb = node.resident_kb()
                except (OSError, StopIteration):
                    # The process ended meanwhile.
                    continue
                self.most_kb[node.name] = max(kb, self.most_kb.get(node.name, 0))
            await sleep(MEMORY_POLL_S)
