"""Computes what fits, what breaks first, the latency budget and the cost of failures."""

from __future__ import annotations

from math import ceil, log
from typing import Final

from msgspec import Struct

from sequoiapulley.fleet.config_record import MAX_RECORD_BYTES
from sequoiapulley.search.home_service import BATCH_DELAY_S, SUB_MARGIN_S
from sequoiapulley.search.search_state import ANSWER_MARGIN_S
from sequoiapulley.upstream.retry_budget import EARNED_PER_TRY
from tools.capacity_model import (
    CONTROL_BYTES_PER_S,
    CONTROL_CORE,
    CONTROL_MEMORY,
    MICRO,
    MILLI,
    NOT_MEASURED,
    CapacityModel,
    Parts,
)

IN_TIME: Final = 0.99
IN_FORCE_S: Final = 3.0
SERVICE_S: Final = 0.004
"""Median service time of the stand-in upstreams."""
GROUP_SHARDS: Final = 16
"""Shards that narrower groups would put at one home."""
SHARED_QUERIES: Final = 8
"""Searches that one exchange would carry."""
CLIENT_S: Final = 0.003
"""One way between a caller and the system."""
FAILURE_DOMAIN_S: Final = 0.001
"""One way between failure domains, the longer of the two workspaces'."""
REGION_S: Final = 0.020
"""One way between regions, the longer of the two workspaces'."""
CORES_FOR_QUEUEING: Final = 0.7
"""Share of a core that may be busy before queueing takes the time of an answer."""


class Limit(Struct, frozen=True):
    """A size at which something no longer fits."""

    what: str
    """What runs out."""
    has: float
    """What there is."""
    needs: float
    """What the sizes need of it."""
    breaks_at: str
    """Size at which it runs out."""
    module: str
    """Module concerned."""

    @property
    def factor(self) -> float:
        """How many times too much; at most 1 fits."""
        return self.needs / self.has


class Hop(Struct, frozen=True):
    """A part of an answer's time."""

    what: str
    """Where the time goes."""
    ms: float
    """Milliseconds on the way of one answer."""
    source: str
    """What it is computed from."""


class Design(Struct, frozen=True):
    """A design and the processor time that a node needs with it."""

    what: str
    """Which design."""
    parts: Parts
    """Cores by part."""


class Fault(Struct, frozen=True):
    """An ordinary failure and what it costs."""

    what: str
    """What fails, and how often."""
    lost: str
    """Work lost."""
    moved: str
    """Work moved."""
    settled: str
    """Time until the fleet is settled."""
    source: str
    """Mechanism and lines."""


def limits(model: CapacityModel) -> list[Limit]:
    """Lists what runs out, the worst first."""
    sizes = model.sizes
    cores = model.parts().total
    upstream_rate = sizes.slots / SERVICE_S
    text = model.slopes["text_bytes"]
    in_force = model.slopes["edit_seconds"]
    control = model.control_rows()
    core, memory, traffic = (float(row.value) for row in control)
    per_upstream = (
        model.slopes["configuration_bytes"].slope
        + model.slopes["upstream_state_bytes"].slope
        + 2 * text.slope
    )
    spare_memory = (CONTROL_MEMORY - memory) / per_upstream
    traffic_slope = max(model.slopes["control_bytes"].slope, 1e-9)
    nodes_at = sizes.nodes + (CONTROL_BYTES_PER_S - traffic) / traffic_slope
    fair = sizes.queries_per_s
    rows = [
        Limit(
            "slots of an upstream, one sub-request an exchange, 4 ms each (sub-requests/s)",
            upstream_rate,
            sizes.subs_per_upstream,
            f"{number(fair * upstream_rate / sizes.subs_per_upstream)} queries/s",
            "upstream/concurrency_limit.py",
        ),
        Limit(
            "one process of a node (cores)",
            1.0,
            cores,
            f"{number(fair / cores)} queries/s",
            "upstream/dispatcher.py",
        ),
        Limit(
            "one value of the store (bytes)",
            MAX_RECORD_BYTES,
            text.at(sizes.upstreams),
            f"{number((MAX_RECORD_BYTES - text.base) / text.slope)} upstreams",
            "fleet/config_record.py",
        ),
        Limit(
            "memory for control (bytes)",
            CONTROL_MEMORY,
            memory,
            f"{number(sizes.upstreams + spare_memory)} upstreams",
            "daemon/node.py",
        ),
        Limit(
            "processor time for control (cores)",
            CONTROL_CORE,
            core,
            "not drawn out",
            "fleet/membership.py",
        ),
        Limit(
            "bytes/s for control",
            CONTROL_BYTES_PER_S,
            traffic,
            f"{number(nodes_at)} nodes",
            "fleet/udp_component.py",
        ),
        Limit(
            "time until a change is in force (s)",
            IN_FORCE_S,
            model.at_nodes("edit_seconds"),
            f"{number((IN_FORCE_S - in_force.base) / in_force.slope)} nodes",
            "fleet/config_spread.py",
        ),
        Limit(
            "connections of an upstream, one view",
            sizes.connections,
            3 * sizes.slots + 3,
            f"{sizes.connections - 3 * sizes.slots - 3} nodes with another view",
            "daemon/upstream_shares.py",
        ),
    ]
    return sorted(rows, key=lambda row: -row.factor)


def designs(model: CapacityModel) -> list[Design]:
    """Lists the design as built and the changes that would lower its processor time."""
    narrow = min(float(ceil(model.sizes.fan_out / GROUP_SHARDS)), model.sizes.homes_per_query)
    shared = float(SHARED_QUERIES)
    return [
        Design("as built", model.parts()),
        Design(f"{GROUP_SHARDS} shards of a search at one home", model.parts(narrow)),
        Design(f"the same, and {SHARED_QUERIES} queries an exchange", model.parts(narrow, shared)),
        Design(
            "the same, and the bare loop's cost of an exchange", model.parts(narrow, shared, True)
        ),
    ]


def hops(model: CapacityModel, design: Design, queued_at: float) -> list[Hop]:
    """Lists the parts of one answer's time, apart from the upstream's own.

    Args:
        model: The model of the fleet.
        design: The design in force.
        queued_at: Share of a processor that is busy.

    Returns:
        Parts in their order.
    """
    rate = model.sizes.queries_per_node
    entry_ms = (design.parts.callers + design.parts.entry) / rate / MILLI
    exchange_ms = model.slopes["upstream_exchange"].slope * MICRO / MILLI
    wait = log(100 * queued_at) / (1 - queued_at)
    margins = ANSWER_MARGIN_S + SUB_MARGIN_S
    return [
        Hop("caller to entry and back", 2 * CLIENT_S / MILLI, "the customers' figures"),
        Hop("callers' HTTP, plan and merge", entry_ms, "callers_request, entry_search"),
        Hop("waiting for the entry's processor, p99", entry_ms * wait, "M/M/1 on the line above"),
        Hop(
            "link, p99 of one frame and its answer",
            model.figure("link_round_p99") * MICRO / MILLI,
            "link_round_p99",
        ),
        Hop(
            "entry to home and back, another failure domain",
            2 * FAILURE_DOMAIN_S / MILLI,
            "the customers' figures",
        ),
        Hop("batch delay at the home", BATCH_DELAY_S / MILLI, "search/home_service.py"),
        Hop("exchange at the home", exchange_ms, "upstream_exchange"),
        Hop("waiting for the home's processor, p99", exchange_ms * wait, "M/M/1 on the line above"),
        Hop(
            "margins kept before the deadline",
            margins / MILLI,
            "search/search_state.py, search/home_service.py",
        ),
    ]


def hedge_rows(model: CapacityModel) -> list[tuple[str, str, str, str, str]]:
    """Lists how many shards may be late and what hedges it takes."""
    fan_out = model.sizes.fan_out
    allowed = 1 - IN_TIME ** (1 / fan_out)
    rows = []
    for tries in (1, 2, 3):
        late = allowed ** (1 / tries)
        extra = sum(late**count for count in range(1, tries))
        fits = "yes" if extra <= EARNED_PER_TRY else "no"
        rows.append((str(tries), percent(late), percent(extra), percent(EARNED_PER_TRY), fits))
    return rows


def straggler_rows(model: CapacityModel) -> list[tuple[str, str, str]]:
    """Lists the answers in time and the extra load when 1 in 100 tries is late."""
    late = 0.01
    rows = []
    for tries in (1, 2, 3):
        in_time = (1 - late**tries) ** model.sizes.fan_out
        extra = sum(late**count for count in range(1, tries))
        rows.append((str(tries), percent(in_time), percent(extra)))
    return rows


def faults(model: CapacityModel) -> list[Fault]:
    """Lists the failures of an ordinary day and what each costs."""
    sizes = model.sizes
    rate = sizes.queries_per_node
    own = 1 / sizes.nodes
    moved = own + model.figure("moved_beyond_own")
    domain = 1 / sizes.failure_domains
    dead = model.at_nodes("seconds_until_dead")
    third = model.at_nodes("seconds_third_dead")
    left = model.at_nodes("seconds_left")
    open_there = rate * sizes.p99_s
    asked = sizes.subs_per_node * sizes.p99_s
    behind = sizes.changes_per_day / 24
    healed = model.at_nodes("seconds_healed")
    return [
        Fault(
            f"a VM fails, {number(sizes.lost_per_day)} a day",
            f"{number(open_there)} searches of its callers; {number(asked)} sub-requests asked "
            "again at second homes",
            f"{percent(moved)} of the instances",
            f"{number(dead)} s until dead everywhere; entries avoid it after 3 silent groups",
            "`fleet/membership.py`, `search/home_health.py`; seconds_until_dead",
        ),
        Fault(
            f"a VM is restarted, {number(sizes.restarts_per_day)} a day",
            "none by design; not measured under this load",
            f"{percent(moved)} of the instances, away and back",
            f"{number(left)} s until every node has seen it leave",
            "`daemon/leave_task.py`; seconds_left",
        ),
        Fault(
            "a rack or switch, weekly",
            NOT_MEASURED + "; the size of a rack is not known",
            NOT_MEASURED,
            f"{number(third)} s when a third of the nodes go at once; fewer not measured",
            "`fleet/membership.py`; seconds_third_dead",
        ),
        Fault(
            "a failure domain, every other month",
            f"{number(open_there * sizes.nodes * domain)} searches of its callers",
            f"{percent(domain)} of the instances at least",
            f"{number(third)} s when a third of the nodes go at once; fewer not measured",
            "`fleet/home_map.py`; seconds_third_dead",
        ),
        Fault(
            "regions parted for an hour",
            "by design none that one region holds; the rest is listed as lacking; not measured",
            NOT_MEASURED,
            f"{number(healed)} s after healing; {number(behind)} changes behind, "
            f"{number(behind * model.at_nodes('edit_bytes'))} bytes a node as deltas",
            "`fleet/_view_sync.py`, `fleet/config_spread.py`; seconds_healed, edit_bytes",
        ),
    ]


def time_left(model: CapacityModel, design: Design, busy: float) -> float:
    """Returns the milliseconds that the other parts leave for the upstream.

    Args:
        model: The model of the fleet.
        design: The design in force.
        busy: Share of a processor that is busy.

    Returns:
        Milliseconds; below zero when nothing is left.
    """
    spent = sum(hop.ms for hop in hops(model, design, busy))
    return model.sizes.p99_s / MILLI - spent


def processes_needed(cores: float, busy: float) -> int:
    """Returns how many processes a node needs when each may be busy for this share."""
    return ceil(cores / busy)


def number(value: float) -> str:
    """Writes a figure with three digits that count."""
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def percent(share: float) -> str:
    """Writes a share from 0 to 1 as a percentage."""
    return f"{100 * share:.3g}%"
