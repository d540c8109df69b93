"""Command that shows the state of the nodes."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace
from result import Err

from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.cli.fan_out import live_members, query_members
from sequoiapulley.cli.node_client import NodeClient
from sequoiapulley.cli.options import DEFAULT_OPTIONS, Options
from sequoiapulley.cli.output import format_table, print_json
from sequoiapulley.entry.operators_messages import MemberView, StatusView
from sequoiapulley.ids import NodeId
from sequoiapulley.observe.burn_report import UnresponsiveNode


class FleetStatus(Struct, frozen=True):
    """State of the queried node and configuration versions of the members."""

    asked: StatusView
    """Status of the queried node. The version of a member is the one that it reported itself or, if
    it is dead or did not answer, the last one that the queried node received."""
    silent: tuple[UnresponsiveNode, ...]
    """Live members without a usable answer."""


def status(*, opts: Options = DEFAULT_OPTIONS) -> int:
    """Show the state of a node and its member list, with the version that each live member reports.

    Example: sequoiapulley status --node 10.0.0.5:9300

    Parameters
    ----------
    opts
        Options of every command.
    """
    view = NodeClient(opts.node, opts.timeout).get("/v1/status").expect(StatusView)
    fleet = _query_member_versions(view, opts.timeout)
    if opts.json:
        print_json(fleet)
    else:
        _print_status(fleet)
    return ExitCode.PARTIAL if fleet.silent else ExitCode.OK


def _query_member_versions(view: StatusView, timeout: float) -> FleetStatus:
    """Returns the status with each member's version replaced by the one that it reports itself."""
    members = {member.node: member for member in sorted(view.members, key=lambda m: m.node)}
    unresponsive: list[UnresponsiveNode] = []
    for member, result in query_members(live_members(members.values()), "/v1/status", timeout):
        if isinstance(result, Err):
            unresponsive.append(UnresponsiveNode(member.node, member.address, result.err_value))
            continue
        try:
            own = result.ok_value.expect(StatusView)
        except CliError as exc:
            unresponsive.append(UnresponsiveNode(member.node, member.address, exc.message))
            continue
        members[member.node] = replace(member, config_version=own.version)
    return FleetStatus(replace(view, members=tuple(members.values())), tuple(unresponsive))


def _print_status(fleet: FleetStatus) -> None:
    view = fleet.asked
    store = (
        "reachable" if view.store_reachable else "UNREACHABLE: edits are stopped, searches go on"
    )
    print(f"node {view.node} of {view.workspace}, up {view.uptime_s:.0f} s")
    print(f"configuration version {view.version}; store {store}")
    print(f"{view.in_flight} in flight; home of {view.homes} upstreams")
    unresponsive = {node.node for node in fleet.silent}
    rows = [_row(member, unresponsive) for member in view.members]
    print(format_table(("NODE", "STATE", "PLACE", "REGION", "OPERATORS", "VERSION"), rows))
    for node in fleet.silent:
        print(f"MISSING {node.node} at {node.address}: {node.detail}")
    newest = max((member.config_version for member in view.members), default=view.version)
    live = live_members(view.members)
    behind = [member.node for member in live if member.config_version < newest]
    if behind:
        print(f"behind version {newest}: {', '.join(behind)}")


def _row(member: MemberView, unresponsive: set[NodeId]) -> tuple[str, ...]:
    """Returns the cells of a member; `?` marks the version of one without a usable answer."""
    mark = "?" if member.node in unresponsive else ""
    version = f"{member.config_version}{mark}"
    address = member.address or "-"
    return (member.node, member.state, member.failure_domain, member.region, address, version)
