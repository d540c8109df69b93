"""Computes the capacity limits, the latency budget and the cost of failures."""

from __future__ import annotations

from math import ceil, log
from typing import Final

from msgspec import Struct

from sequoiapulley.fleet.config_record import MAX_RECORD_BYTES
from sequoiapulley.search.home_service import BATCH_DELAY_S, SUB_MARGIN_S
from sequoiapulley.search.search_state import ANSWER_MARGIN_S
from sequoiapulley.upstream.retry_budget import EARNED_PER_TRY
from tools.capacity_model import (
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CORES,
    MAX_CONTROL_MEMORY_BYTES,
    MICRO,
    MILLI,
    NOT_MEASURED,
    CapacityModel,
    Parts,
)

MIN_IN_TIME_SHARE: Final = 0.99
MAX_ACTIVATION_S: Final = 3.0
"""Time within which a configuration change must be in force on every node."""
SERVICE_TIME_S: Final = 0.004
"""Median service time of the stand-in upstreams."""
SHARDS_PER_HOME: Final = 16
"""Shards of a search that each home would serve if a search used fewer homes."""
QUERIES_PER_EXCHANGE: Final = 8
"""Searches that one upstream exchange would carry if sub-requests were batched."""
CALLER_ONE_WAY_S: Final = 0.003
"""One-way latency between a caller and an entry node."""
FAILURE_DOMAIN_ONE_WAY_S: Final = 0.001
"""One-way latency between failure domains, the higher of the two workspaces' figures."""
REGION_ONE_WAY_S: Final = 0.020
"""One-way latency between regions, the higher of the two workspaces' figures."""
MAX_UTILIZATION: Final = 0.7
"""Maximum utilization of a core; above it, queueing delay uses up the latency budget."""


class Limit(Struct, frozen=True):
    """A limited resource and the demand for it."""

    label: str
    """The resource, with its unit."""
    available: float
    """Amount available."""
    required: float
    """Amount required at the model's sizes."""
    breaks_at: str
    """Size at which the demand reaches the limit."""
    module: str
    """Module in which the limit applies."""

    @property
    def factor(self) -> float:
        """Ratio of the demand to the limit; the sizes fit if it is at most 1."""
        return self.required / self.available


class Hop(Struct, frozen=True):
    """A component of the latency of one answer."""

    label: str
    """Name of the component."""
    ms: float
    """Latency in milliseconds."""
    source: str
    """Figures or constants from which it is computed."""


class Design(Struct, frozen=True):
    """A design variant and the processor time of a node under it."""

    label: str
    """Name of the variant."""
    parts: Parts
    """Processor time by part, in cores."""


class Fault(Struct, frozen=True):
    """A failure in normal operation and its cost."""

    label: str
    """The failure and its frequency."""
    work_lost: str
    """Work lost."""
    work_moved: str
    """Work moved to other nodes."""
    settle_time: str
    """Time until the fleet has converged."""
    source: str
    """Modules and fitted lines that the figures come from."""


def limits(model: CapacityModel) -> list[Limit]:
    """Returns the capacity limits, the most exceeded first."""
    sizes = model.sizes
    cores = model.parts().total
    upstream_rate = sizes.slots / SERVICE_TIME_S
    text_line = model.fitted_lines["text_bytes"]
    activation = model.fitted_lines["edit_seconds"]
    control = model.control_rows()
    core, memory, traffic = (float(row.value) for row in control)
    bytes_per_upstream = (
        model.fitted_lines["configuration_bytes"].slope
        + model.fitted_lines["upstream_state_bytes"].slope
        + 2 * text_line.slope
    )
    spare_memory = (MAX_CONTROL_MEMORY_BYTES - memory) / bytes_per_upstream
    traffic_slope = max(model.fitted_lines["control_bytes"].slope, 1e-9)
    max_nodes = sizes.nodes + (MAX_CONTROL_BYTES_PER_S - traffic) / traffic_slope
    query_rate = sizes.queries_per_s
    rows = [
        Limit(
            "slots of an upstream, one sub-request an exchange, 4 ms each (sub-requests/s)",
            upstream_rate,
            sizes.subs_per_upstream,
            f"{number(query_rate * upstream_rate / sizes.subs_per_upstream)} queries/s",
            "upstream/concurrency_limit.py",
        ),
        Limit(
            "one process of a node (cores)",
            1.0,
            cores,
            f"{number(query_rate / cores)} queries/s",
            "upstream/dispatcher.py",
        ),
        Limit(
            "one value of the store (bytes)",
            MAX_RECORD_BYTES,
            text_line.at(sizes.upstreams),
            f"{number((MAX_RECORD_BYTES - text_line.intercept) / text_line.slope)} upstreams",
            "fleet/config_record.py",
        ),
        Limit(
            "memory for control (bytes)",
            MAX_CONTROL_MEMORY_BYTES,
            memory,
            f"{number(sizes.upstreams + spare_memory)} upstreams",
            "daemon/node.py",
        ),
        Limit(
            "processor time for control (cores)",
            MAX_CONTROL_CORES,
            core,
            "not drawn out",
            "fleet/membership.py",
        ),
        Limit(
            "bytes/s for control",
            MAX_CONTROL_BYTES_PER_S,
            traffic,
            f"{number(max_nodes)} nodes",
            "fleet/udp_component.py",
        ),
        Limit(
            "time until a change is in force (s)",
            MAX_ACTIVATION_S,
            model.at_nodes("edit_seconds"),
            f"{number((MAX_ACTIVATION_S - activation.intercept) / activation.slope)} nodes",
            "fleet/config_replicator.py",
        ),
        Limit(
            "connections of an upstream, one view",
            sizes.connections,
            # The preferred home's 2 * slots + SPARE_CONNECTIONS and the standby's slots + 1.
            3 * sizes.slots + 3,
            f"{sizes.connections - 3 * sizes.slots - 3} nodes with another view",
            "daemon/upstream_shares.py",
        ),
    ]
    return sorted(rows, key=lambda row: -row.factor)


def designs(model: CapacityModel) -> list[Design]:
    """Returns the design as built and variants that would need less processor time."""
    fewer_homes = min(
        float(ceil(model.sizes.fan_out / SHARDS_PER_HOME)), model.sizes.homes_per_query
    )
    shared = float(QUERIES_PER_EXCHANGE)
    return [
        Design("as built", model.parts()),
        Design(f"{SHARDS_PER_HOME} shards of a search at one home", model.parts(fewer_homes)),
        Design(
            f"the same, and {QUERIES_PER_EXCHANGE} queries an exchange",
            model.parts(fewer_homes, shared),
        ),
        Design(
            "the same, and the bare loop's cost of an exchange",
            model.parts(fewer_homes, shared, True),
        ),
    ]


def hops(model: CapacityModel, design: Design, utilization: float) -> list[Hop]:
    """Returns the latency components of one answer, except the upstream's service time.

    Args:
        model: The model of the fleet.
        design: The design variant.
        utilization: Utilization of a processor, from 0 to 1.

    Returns:
        Components, in the order of the page.
    """
    rate = model.sizes.queries_per_node
    entry_ms = (design.parts.callers + design.parts.entry) / rate / MILLI
    exchange_ms = model.fitted_lines["upstream_exchange"].slope * MICRO / MILLI
    # 99th percentile of the waiting time in an M/M/1 queue, as a multiple of the service time.
    wait_factor = log(100 * utilization) / (1 - utilization)
    margins = ANSWER_MARGIN_S + SUB_MARGIN_S
    return [
        Hop("caller to entry and back", 2 * CALLER_ONE_WAY_S / MILLI, "the customers' figures"),
        Hop("callers' HTTP, plan and merge", entry_ms, "callers_request, entry_search"),
        Hop(
            "waiting for the entry's processor, p99",
            entry_ms * wait_factor,
            "M/M/1 on the line above",
        ),
        Hop(
            "link, p99 of one frame and its answer",
            model.figure("link_round_p99") * MICRO / MILLI,
            "link_round_p99",
        ),
        Hop(
            "entry to home and back, another failure domain",
            2 * FAILURE_DOMAIN_ONE_WAY_S / MILLI,
            "the customers' figures",
        ),
        Hop("batch delay at the home", BATCH_DELAY_S / MILLI, "search/home_service.py"),
        Hop("exchange at the home", exchange_ms, "upstream_exchange"),
        Hop(
            "waiting for the home's processor, p99",
            exchange_ms * wait_factor,
            "M/M/1 on the line above",
        ),
        Hop(
            "margins kept before the deadline",
            margins / MILLI,
            "search/search_state.py, search/home_service.py",
        ),
    ]


def hedge_rows(model: CapacityModel) -> list[tuple[str, str, str, str, str]]:
    """Returns the tolerable share of late tries and the extra load, for 1 to 3 tries a shard."""
    fan_out = model.sizes.fan_out
    allowed = 1 - MIN_IN_TIME_SHARE ** (1 / fan_out)
    rows = []
    for tries in (1, 2, 3):
        late = allowed ** (1 / tries)
        extra = sum(late**count for count in range(1, tries))
        fits = "yes" if extra <= EARNED_PER_TRY else "no"
        rows.append((str(tries), percent(late), percent(extra), percent(EARNED_PER_TRY), fits))
    return rows


def straggler_rows(model: CapacityModel) -> list[tuple[str, str, str]]:
    """Returns the share of answers in time and the extra load if 1 in 100 tries is late."""
    late = 0.01
    rows = []
    for tries in (1, 2, 3):
        in_time = (1 - late**tries) ** model.sizes.fan_out
        extra = sum(late**count for count in range(1, tries))
        rows.append((str(tries), percent(in_time), percent(extra)))
    return rows


def faults(model: CapacityModel) -> list[Fault]:
    """Returns the failures expected in normal operation and the cost of each."""
    sizes = model.sizes
    rate = sizes.queries_per_node
    own_share = 1 / sizes.nodes
    moved_share = own_share + model.figure("moved_beyond_own")
    domain_share = 1 / sizes.failure_domains
    dead_s = model.at_nodes("seconds_until_dead")
    third_dead_s = model.at_nodes("seconds_third_dead")
    left_s = model.at_nodes("seconds_left")
    open_searches = rate * sizes.p99_s
    open_sub_requests = sizes.subs_per_node * sizes.p99_s
    missed_changes = sizes.changes_per_day / 24
    healed_s = model.at_nodes("seconds_healed")
    return [
        Fault(
            f"a VM fails, {number(sizes.lost_per_day)} a day",
            f"{number(open_searches)} searches of its callers; "
            f"{number(open_sub_requests)} sub-requests asked again at second homes",
            f"{percent(moved_share)} of the instances",
            f"{number(dead_s)} s until dead everywhere; entries avoid it after 3 silent groups",
            "`fleet/membership.py`, `search/home_health.py`; seconds_until_dead",
        ),
        Fault(
            f"a VM is restarted, {number(sizes.restarts_per_day)} a day",
            "none by design; not measured under this load",
            f"{percent(moved_share)} of the instances, away and back",
            f"{number(left_s)} s until every node has seen it leave",
            "`daemon/leave_task.py`; seconds_left",
        ),
        Fault(
            "a rack or switch, weekly",
            NOT_MEASURED + "; the size of a rack is not known",
            NOT_MEASURED,
            f"{number(third_dead_s)} s when a third of the nodes go at once; fewer not measured",
            "`fleet/membership.py`; seconds_third_dead",
        ),
        Fault(
            "a failure domain, every other month",
            f"{number(open_searches * sizes.nodes * domain_share)} searches of its callers",
            f"{percent(domain_share)} of the instances at least",
            f"{number(third_dead_s)} s when a third of the nodes go at once; fewer not measured",
            "`fleet/home_map.py`; seconds_third_dead",
        ),
        Fault(
            "regions parted for an hour",
            "by design none that one region holds; the rest is listed as lacking; not measured",
            NOT_MEASURED,
            f"{number(healed_s)} s after healing; {number(missed_changes)} changes behind, "
            f"{number(missed_changes * model.at_nodes('edit_bytes'))} bytes a node as deltas",
            "`fleet/_view_sync.py`, `fleet/config_replicator.py`; seconds_healed, edit_bytes",
        ),
    ]


def time_left(model: CapacityModel, design: Design, utilization: float) -> float:
    """Returns the part of the latency budget that is left for the upstream.

    Args:
        model: The model of the fleet.
        design: The design variant.
        utilization: Utilization of a processor, from 0 to 1.

    Returns:
        Milliseconds; negative if the other components exceed the budget.
    """
    spent = sum(hop.ms for hop in hops(model, design, utilization))
    return model.sizes.p99_s / MILLI - spent


def processes_needed(cores: float, utilization: float) -> int:
    """Returns the number of processes that a node needs at a utilization of each."""
    return ceil(cores / utilization)


def number(value: float) -> str:
    """Formats a figure with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def percent(share: float) -> str:
    """Formats a share from 0 to 1 as a percentage."""
    return f"{100 * share:.3g}%"
