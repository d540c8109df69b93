"""Computes the cost of each role of a node at a deployment size, from fitted benchmark lines."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from bench.single_figures import Figure, all_figures
from bench.slopes import FittedLine, fit_all_lines
from sequoiapulley.daemon.fleet_task import VM_LIST_PERIOD_S
from sequoiapulley.daemon.upstream_shares import SPARE_CONNECTIONS
from sequoiapulley.fleet.config_record import MAX_RECORD_BYTES
from sequoiapulley.fleet.config_replicator import WATCHERS_PER_FAILURE_DOMAIN
from tools.capacity_sizes import DAY_S, Sizes

MICRO: Final = 1e-6
MILLI: Final = 1e-3
MEASURED_HOMES: Final = 15
"""Number of homes of a search in `bench.gather_cost`."""
STORE_WRITES_PER_S: Final = 300.0
"""Assumed write rate of the platform's store; only "several hundred" per second is stated."""
MAX_CONTROL_CORES: Final = 0.037
"""Budget of one node for control: membership, configuration distribution and home assignment."""
MAX_CONTROL_BYTES_PER_S: Final = 3_000.0
"""Budget of one node for control traffic, sent and received."""
MAX_CONTROL_MEMORY_BYTES: Final = 128_000_000.0
"""Budget of one node for the memory that it uses when idle."""
NOT_MEASURED: Final = "not measured"


class Row(Struct, frozen=True):
    """One figure of a role."""

    label: str
    """Name of the figure, with its unit."""
    value: float | str
    """The figure, or the reason why there is none."""
    module: str
    """Module in which the cost arises, relative to src/sequoiapulley."""
    source: str
    """What it is computed from: names of fitted lines and single figures, `sizes` for the
    deployment size alone, `contract` for the upstreams' contract, `constant` for a constant of the
    code, or `none`."""


class Parts(Struct, frozen=True):
    """Processor time of one node, in cores, by part."""

    callers: float
    """Callers' HTTP."""
    entry: float
    """Planning, gathering and merging at the entry, with its codec."""
    home: float
    """Batching and pruning at the home, with its codec."""
    link: float
    """Messages between nodes, both roles."""
    upstream: float
    """Exchanges with upstreams, from sub-search to hits."""
    observe: float
    """Metrics and burn counts."""

    @property
    def total(self) -> float:
        """Sum over all parts, in cores."""
        first = self.callers + self.entry + self.home
        return first + self.link + self.upstream + self.observe


class CapacityModel:
    """Computes the costs of one deployment."""

    def __init__(
        self, sizes: Sizes, fitted_lines: dict[str, FittedLine], figures: dict[str, Figure]
    ) -> None:
        """Creates the model.

        Args:
            sizes: Size and load of the deployment.
            fitted_lines: Fitted lines by name.
            figures: Single figures by name.
        """
        self.sizes = sizes
        self.fitted_lines = fitted_lines
        self.figures = figures

    def figure(self, name: str) -> float:
        """Returns the value of a single figure."""
        return self.figures[name].value

    def at_nodes(self, name: str) -> float:
        """Evaluates a line at the number of nodes."""
        return self.fitted_lines[name].at(self.sizes.nodes)

    def at_upstreams(self, name: str) -> float:
        """Evaluates a line at the number of upstreams."""
        return self.fitted_lines[name].at(self.sizes.upstreams)

    def search_cost(self, name: str, homes: float) -> float:
        """Returns the cost of one search, from a line over the number of shards in a search.

        The line's slope is the cost of a shard. Its intercept, measured with `MEASURED_HOMES`
        homes, is divided among them as the cost of a home and scaled to `homes`.

        Args:
            name: Name of the line.
            homes: Number of homes of a search.

        Returns:
            Cost of one search, in the unit of the line.
        """
        line = self.fitted_lines[name]
        per_home = max(0.0, line.intercept) / MEASURED_HOMES
        return per_home * homes + line.slope * self.sizes.fan_out

    def parts(
        self, homes: float | None = None, queries_per_exchange: float = 1.0, bare: bool = False
    ) -> Parts:
        """Computes the processor time of one node.

        Args:
            homes: Number of homes of a search; by default the expected number for shards drawn at
                random.
            queries_per_exchange: Number of searches that share one exchange with an upstream.
            bare: Use the cost of an exchange on the bare loop.

        Returns:
            Cores by part.
        """
        rate = self.sizes.queries_per_node
        homes = self.sizes.homes_per_query if homes is None else homes
        line = self.fitted_lines["bare_exchange" if bare else "upstream_exchange"]
        # A node sends or receives a request and a reply for each home of a search, as the entry of
        # its own searches and, on average as often, as a home of other entries' searches.
        messages = 4 * rate * homes
        return Parts(
            callers=rate * self.fitted_lines["callers_request"].at(self.sizes.fan_out) * MICRO,
            entry=rate * self.search_cost("entry_search", homes) * MICRO,
            home=rate * self.search_cost("home_search", homes) * MICRO,
            # Each message is sent alone, as in a batch of 1.
            link=messages * self.fitted_lines["link_frame"].at(1) * MICRO,
            upstream=self.sizes.subs_per_node * line.slope * MICRO / queries_per_exchange,
            observe=rate * self.figure("observe_us") * MICRO,
        )

    def entry_rows(self) -> list[Row]:
        """Returns the figures of one entry node."""
        sizes, parts, homes = self.sizes, self.parts(), self.sizes.homes_per_query
        rate = sizes.queries_per_node
        reply_bytes = rate * self.search_cost("reply_bytes", homes)
        callers = "entry/callers_port.py"
        gather = "search/coordinator.py"
        return [
            Row("searches/s", rate, callers, "sizes"),
            Row("searches open at once", rate * sizes.p99_s, gather, "sizes"),
            Row("homes asked by one search", homes, "search/home_selector.py", "sizes"),
            Row("messages/s to and from homes", 2 * rate * homes, "link/peer_link.py", "sizes"),
            Row("bytes/s of replies from homes", reply_bytes, gather, "reply_bytes"),
            Row("cores, callers' HTTP", parts.callers, callers, "callers_request"),
            Row("cores, plan, gather and merge", parts.entry, gather, "entry_search"),
            Row("cores, link", parts.link / 2, "link/peer_link.py", "link_frame"),
            Row("cores, counting", parts.observe, "observe/node_observer.py", "observe_us"),
            Row("streams to other nodes", sizes.nodes - 1, "link/_transport.py", "sizes"),
            Row("memory of open searches", NOT_MEASURED, "search/search_state.py", "none"),
        ]

    def home_rows(self) -> list[Row]:
        """Returns the figures of one home node."""
        sizes, parts = self.sizes, self.parts()
        owned = sizes.upstreams / sizes.nodes
        preferred = min(2 * sizes.slots + SPARE_CONNECTIONS, sizes.connections)
        standby = min(sizes.slots + 1, sizes.connections)
        busiest = self.figure("busiest_home")
        shares = "daemon/upstream_shares.py"
        homes = "fleet/home_map.py"
        state_line = self.fitted_lines["upstream_state_bytes"]
        return [
            Row("sub-requests/s", sizes.subs_per_node, "search/home_service.py", "sizes"),
            Row("the same at the busiest", sizes.subs_per_node * busiest, homes, "busiest_home"),
            Row("upstreams, preferred home", owned, homes, "sizes"),
            Row("connections, one view", owned * (preferred + standby), shares, "contract"),
            Row(
                "connections at most, views apart",
                owned * (preferred + standby) + sizes.upstreams - 2 * owned,
                shares,
                "contract",
            ),
            Row("connections at one upstream, one view", preferred + standby, shares, "contract"),
            Row("cores, exchanges", parts.upstream, "upstream/dispatcher.py", "upstream_exchange"),
            Row("cores, batches", parts.home, "search/home_service.py", "home_search"),
            Row("cores, link", parts.link / 2, "link/peer_link.py", "link_frame"),
            Row(
                "state of all upstreams, bytes",
                state_line.at(sizes.upstreams),
                "upstream/upstream_state.py",
                "upstream_state_bytes",
            ),
            Row(
                "ms to move homes at a change of members",
                # Measured with 2,150 instances; the time grows with their number.
                self.figure("home_update_ms") * sizes.instances / 2_150,
                homes,
                "home_update_ms",
            ),
        ]

    def watcher_rows(self) -> list[Row]:
        """Returns the figures of configuration distribution at one node."""
        sizes = self.sizes
        replicator = "fleet/config_replicator.py"
        check = self.at_upstreams("text_check")
        rate = sizes.changes_per_day / DAY_S
        return [
            Row(
                "watchers in the fleet",
                WATCHERS_PER_FAILURE_DOMAIN * sizes.failure_domains,
                replicator,
                "constant",
            ),
            Row("bytes of the text", self.at_upstreams("text_bytes"), replicator, "text_bytes"),
            Row(
                "bytes/s for changes", self.at_nodes("edit_bytes") * rate, replicator, "edit_bytes"
            ),
            Row(
                "s until in force everywhere",
                self.at_nodes("edit_seconds"),
                replicator,
                "edit_seconds",
            ),
            Row("ms to check the text", check, "settings/text.py", "text_check"),
            Row(
                "longest step of the check, ms",
                self.at_upstreams("text_check_step"),
                "settings/text.py",
                "text_check_step",
            ),
            Row("cores, checks", check * MILLI * rate, "settings/text.py", "text_check"),
            Row(
                "configuration in memory, bytes",
                self.at_upstreams("configuration_bytes"),
                "model/configuration.py",
                "configuration_bytes",
            ),
        ]

    def member_rows(self) -> list[Row]:
        """Returns the figures of membership at one node."""
        fleet = "fleet/membership.py"
        udp = "fleet/udp_component.py"
        restart_bytes = self.at_nodes("restart_bytes") * self._node_changes_per_s()
        return [
            Row("datagrams/s sent", self.at_nodes("control_messages"), fleet, "control_messages"),
            Row("bytes/s sent and received", self.at_nodes("control_bytes"), udp, "control_bytes"),
            Row("bytes/s for restarts and losses", restart_bytes, fleet, "restart_bytes"),
            Row("cores", self.at_nodes("control_core"), fleet, "control_core"),
            Row(
                "bytes of the view",
                self.figure("member_bytes") * self.sizes.nodes,
                "fleet/_member_table.py",
                "member_bytes",
            ),
            Row("sockets", 1, udp, "constant"),
        ]

    def control_rows(self) -> list[Row]:
        """Returns the totals of control (membership, configuration, homes) at one node."""
        # Homes move twice for each VM that fails or restarts: when it goes and when it is back.
        changes = 2 * self._node_changes_per_s()
        # Measured with 2,150 instances; the time grows with their number.
        home_update_ms = self.figure("home_update_ms") * self.sizes.instances / 2_150
        check_ms_per_s = self.at_upstreams("text_check") * self.sizes.changes_per_day / DAY_S
        core = self.at_nodes("control_core") + (changes * home_update_ms + check_ms_per_s) * MILLI
        rate = self.sizes.changes_per_day / DAY_S
        traffic = self.at_nodes("control_bytes") + self.at_nodes("edit_bytes") * rate
        traffic += self.at_nodes("restart_bytes") * self._node_changes_per_s()
        return [
            Row("core share", core, "daemon/fleet_task.py", "control_core, text_check"),
            Row("memory, bytes", self.memory(), "daemon/node.py", "state_size, recorder_bytes"),
            Row("bytes/s", traffic, "fleet/udp_component.py", "control, edit and restart_bytes"),
        ]

    def memory(self) -> float:
        """Returns the bytes used by an idle node: libraries, configuration, state and counters."""
        state = self.at_upstreams("configuration_bytes") + self.at_upstreams("upstream_state_bytes")
        members = max(0.0, self.fitted_lines["member_state_bytes"].slope) + self.figure(
            "member_bytes"
        )
        texts = 2 * self.at_upstreams("text_bytes")
        fixed = self.figure("resident_bytes") + self.figure("recorder_bytes")
        return fixed + state + members * self.sizes.nodes + texts

    def cli_rows(self) -> list[Row]:
        """Returns the figures of the operators' command-line tool."""
        nodes = self.sizes.nodes
        part = self.figure("burn_part_bytes")
        return [
            Row("nodes asked by `status`", nodes, "cli/fan_out.py", "sizes"),
            Row(
                "ms to merge a burn report",
                self.at_nodes("burn_merge"),
                "observe/burn_report.py",
                "burn_merge",
            ),
            Row("bytes read for it", part * nodes, "cli/report_commands.py", "burn_part_bytes"),
            Row(
                "s that `config apply` waits",
                self.at_nodes("edit_seconds"),
                "cli/rollout.py",
                "edit_seconds",
            ),
            Row("processor time of one command", NOT_MEASURED, "cli/main.py", "none"),
        ]

    def store_rows(self) -> list[Row]:
        """Returns the load of the whole fleet on the platform's store."""
        sizes = self.sizes
        calls = self.figure("request_store_calls")
        text_line = self.fitted_lines["text_bytes"]
        record = "fleet/config_record.py"
        watchers = WATCHERS_PER_FAILURE_DOMAIN * sizes.failure_domains
        # The benchmark simulates three failure domains; calls grow with the number of watchers.
        per_failure_domain = self.at_nodes("store_calls") / 3
        outage_per_failure_domain = self.at_nodes("store_calls_in_outage") / 3
        return [
            Row("waiting watches", watchers, "fleet/config_replicator.py", "constant"),
            Row(
                "calls/s, quiet",
                per_failure_domain * sizes.failure_domains,
                "fleet/config_replicator.py",
                "store_calls",
            ),
            Row(
                "calls/s, outage",
                outage_per_failure_domain * sizes.failure_domains,
                "fleet/config_replicator.py",
                "store_calls_in_outage",
            ),
            Row(
                "reads/s of the VM list",
                sizes.nodes / VM_LIST_PERIOD_S,
                "platform/http_vm_list.py",
                "constant",
            ),
            Row(
                "writes/s for changes",
                sizes.changes_per_day / DAY_S,
                "fleet/config_editor.py",
                "sizes",
            ),
            Row(
                "calls of a non-idempotent request",
                calls,
                "requests/store_claim_registry.py",
                "request_store_calls",
            ),
            Row(
                "such requests/s at most",
                STORE_WRITES_PER_S / calls,
                "requests/claim_acquirer.py",
                "request_store_calls",
            ),
            Row("bytes of the text", text_line.at(sizes.upstreams), record, "text_bytes"),
            Row(
                "upstreams at a full value",
                (MAX_RECORD_BYTES - text_line.intercept) / text_line.slope,
                record,
                "text_bytes",
            ),
        ]

    def _node_changes_per_s(self) -> float:
        return (self.sizes.lost_per_day + self.sizes.restarts_per_day) / DAY_S


def make_model(sizes: Sizes) -> CapacityModel:
    """Builds the model of a deployment from the stored benchmark results."""
    return CapacityModel(sizes, fit_all_lines(), all_figures())
