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


class FaultKind(Enum):
    """Kind of an injected fault."""

    NODE_KILL = "node_kill"
    """A node's process is killed and restarted."""
    NODE_PAUSE = "node_pause"
    NODE_STOP = "node_stop"
    """A node is shut down with SIGTERM and restarted once it has exited."""
    HERD_KILL = "herd_kill"
    """All nodes are killed at the same time."""
    STORE_DOWN = "store_down"
    STORE_RESET = "store_reset"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    STORE_SILENT = "store_silent"
    """Open connections to the store stop forwarding data; new connections work."""
    STORE_CUT = "store_cut"
    """Replies of the store are dropped."""
    UPSTREAM_DELAY = "upstream_delay"
    UPSTREAM_CUT = "upstream_cut"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_RESET = "upstream_reset"
    UPSTREAM_REFUSES = "upstream_refuses"
    UPSTREAM_FAILS = "upstream_fails"
    UPSTREAM_LOSES = "upstream_loses"
    UPSTREAM_CUTS_REPLIES = "upstream_cuts_replies"
    UPSTREAM_DRAINS = "upstream_drains"
    CONFIG_CHANGE = "config_change"
    CONFIG_STORM = "config_storm"
    FORGED_ENTRY = "forged_entry"
    """Another client writes an entry that cannot be decoded."""


class Fault(Struct, frozen=True):
    """One scheduled fault."""

    at: float
    """Seconds from the start of the run to the start of the fault."""
    kind: FaultKind
    lasts: float
    """Duration in seconds, for faults that are reverted."""
    pick: int
    """Index of the affected node or upstream, modulo the number of them."""


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
        faults.append(Fault(round(at, 3), random.choice(kinds), lasts, random.randrange(1_000)))
        at += random.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S)
    return faults
