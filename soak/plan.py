"""Fault schedule of one soak run, generated from its seed."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Final

from msgspec import Struct

MIN_FAULT_INTERVAL_S: Final = 0.2
MAX_FAULT_INTERVAL_S: Final = 1.6
MIN_FAULT_DURATION_S: Final = 0.5
MAX_FAULT_DURATION_S: Final = 3.0
MIN_CUT_S: Final = 3.0
MAX_CUT_S: Final = 9.0
MIN_VERSION_INTERVAL_S: Final = 0.5
MAX_VERSION_INTERVAL_S: Final = 1.3
MIN_FAILURE_INTERVAL_S: Final = 0.5
MAX_FAILURE_INTERVAL_S: Final = 3.0
PLANNED_SHARE: Final = 0.4
"""Share of the faults that are planned work, or slow upstreams, at which it goes wrong."""


class FaultKind(Enum):
    """Kind of an injected fault."""

    NODE_KILL = "node_kill"
    """A node's process is killed and restarted."""
    NODE_PAUSE = "node_pause"
    """A node's process is suspended."""
    NODE_STOP = "node_stop"
    """A node is shut down with SIGTERM, killed at the end of its grace period and restarted."""
    ROLLING_STOP = "rolling_stop"
    """All nodes are shut down and restarted, one after another."""
    NODE_RELOAD = "node_reload"
    """A node's settings are rewritten, with another grace period or unchanged, before SIGHUP."""
    HERD_KILL = "herd_kill"
    """All nodes are killed at the same time and restarted."""
    STORE_DOWN = "store_down"
    """The store refuses every call."""
    STORE_RESET = "store_reset"
    """The store resets the connection of every call without applying the call."""
    STORE_SLOW = "store_slow"
    """The store delays every call."""
    STORE_FORGETS = "store_forgets"
    """The store compacts its history, so that watches from older revisions are refused."""
    STORE_SILENT = "store_silent"
    """Open connections to the store stop forwarding data; new connections work."""
    STORE_CUT = "store_cut"
    """The proxy drops all data from the store."""
    STORE_RESTORED = "store_restored"
    """The store is down for a moment and comes back from a copy some seconds old."""
    UPSTREAM_DELAY = "upstream_delay"
    """The proxy of an upstream delays all data."""
    UPSTREAM_CUT = "upstream_cut"
    """The proxy of an upstream drops all data in both directions."""
    UPSTREAM_SILENT = "upstream_silent"
    """Open connections to an upstream stop forwarding data; new connections work."""
    UPSTREAM_RESET = "upstream_reset"
    """Open connections to an upstream are reset once."""
    UPSTREAM_SLOW = "upstream_slow"
    """The upstreams of a service take seconds for a share of the requests."""
    UPSTREAM_COPIES = "upstream_copies"
    """A share of an upstream's replies arrive twice, whole or in part."""
    UPSTREAM_REFUSES = "upstream_refuses"
    """An upstream refuses a share of the requests before they run."""
    UPSTREAM_FAILS = "upstream_fails"
    """An upstream answers a share of the requests with a failure after they ran."""
    UPSTREAM_LOSES = "upstream_loses"
    """An upstream resets the connection of a share of the requests after they ran."""
    UPSTREAM_CUTS_REPLIES = "upstream_cuts_replies"
    """An upstream truncates a share of its replies and closes their connections."""
    UPSTREAM_DRAINS = "upstream_drains"
    """The store entry of an upstream says that it is draining."""
    UPSTREAM_LEAVES = "upstream_leaves"
    """An upstream announces its shutdown in its replies, and then starts again."""
    UPSTREAM_PAUSES = "upstream_pauses"
    """An upstream refuses requests and asks for a pause."""
    UPSTREAM_LIMITS = "upstream_limits"
    """An upstream states how many requests per second it accepts from all nodes together."""
    UPSTREAM_ENDLESS = "upstream_endless"
    """An upstream answers with bytes that never end."""
    CONFIG_CHANGE = "config_change"
    CONFIG_STORM = "config_storm"
    """Several configuration versions are written in quick succession."""
    FORGED_ENTRY = "forged_entry"
    """Another client writes an entry that cannot be decoded or names no usable upstream."""


PLANNED: Final = (
    FaultKind.NODE_STOP,
    FaultKind.ROLLING_STOP,
    FaultKind.NODE_RELOAD,
    FaultKind.UPSTREAM_SLOW,
    FaultKind.CONFIG_CHANGE,
)


class Fault(Struct, frozen=True):
    """One scheduled fault."""

    at: float
    """Seconds from the start of the run to the start of the fault."""
    kind: FaultKind
    lasts: float
    """Duration in seconds of a fault that is reverted; killed nodes restart after a third of it."""
    pick: int
    """Index of the affected node or upstream, modulo the number of them."""


class LinkCut(Struct, frozen=True):
    """Time in which the nodes of one failure domain have no link to any upstream."""

    at: float
    """Seconds from the start of the run."""
    lasts: float
    version_interval: float
    """Seconds between two configuration versions meanwhile."""


def draw_cuts(seed: int, seconds: float, quiet_period: float) -> list[LinkCut]:
    """Returns the cuts of a seed, one after another, beside the faults of `draw_faults`."""
    random = Random(f"{seed} cuts")
    cuts: list[LinkCut] = []
    at = random.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S)
    while at < seconds - quiet_period:
        lasts = min(random.uniform(MIN_CUT_S, MAX_CUT_S), seconds - quiet_period - at)
        interval = random.uniform(MIN_VERSION_INTERVAL_S, MAX_VERSION_INTERVAL_S)
        cuts.append(LinkCut(round(at, 3), lasts, interval))
        at += lasts + random.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S)
    return cuts


def draw_faults(seed: int, seconds: float, quiet_period: float) -> list[Fault]:
    """Returns the fault schedule of a seed, in order of start; faults may overlap.

    Args:
        seed: Seed of the random choices.
        seconds: Duration of the run.
        quiet_period: Seconds at the end of the run in which no fault starts.
    """
    random = Random(seed)
    kinds = list(FaultKind)
    faults: list[Fault] = []
    at = MIN_FAULT_INTERVAL_S
    while at < seconds - quiet_period:
        lasts = random.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)
        kind = random.choice(PLANNED if random.random() < PLANNED_SHARE else kinds)
        faults.append(Fault(round(at, 3), kind, lasts, random.randrange(1_000)))
        at += random.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S)
    return faults


def draw_failures(seed: int, seconds: float, quiet_period: float) -> list[Fault]:
    """Returns failures of upstreams, in order of start, beside the faults of `draw_faults`."""
    random = Random(f"{seed} failures")
    failures: list[Fault] = []
    at = random.uniform(MIN_FAILURE_INTERVAL_S, MAX_FAILURE_INTERVAL_S)
    while at < seconds - quiet_period:
        lasts = random.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)
        pick = random.randrange(1_000)
        failures.append(Fault(round(at, 3), FaultKind.UPSTREAM_FAILS, lasts, pick))
        at += random.uniform(MIN_FAILURE_INTERVAL_S, MAX_FAILURE_INTERVAL_S)
    return failures
