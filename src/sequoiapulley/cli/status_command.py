"""The state of the nodes."""

from __future__ import annotations

from sequoiapulley.cli.exit_code import ExitCode
from sequoiapulley.cli.node_client import NodeClient
from sequoiapulley.cli.options import DEFAULT_OPTIONS, Options
from sequoiapulley.cli.output import format_table, print_json
from sequoiapulley.entry.operators_messages import StatusView


def status(*, opts: Options = DEFAULT_OPTIONS) -> int:
    """Show a node's state and the members it knows.

    Example: sequoiapulley status --node 10.0.0.5:9300
    """
    view = NodeClient(opts.node, opts.timeout).get("/v1/status").expect(StatusView)
    if opts.json:
        print_json(view)
        return ExitCode.OK
    store = (
        "reachable" if view.store_reachable else "UNREACHABLE: edits are stopped, searches go on"
    )
    print(f"node {view.node} of {view.customer}, up {view.uptime_s:.0f} s")
    print(f"configuration version {view.version}; store {store}")
    print(f"{view.in_flight} in flight; home of {view.homes} upstreams")
    rows = [
        (
            member.node,
            member.state,
            member.place,
            member.region,
            member.address or "-",
            str(member.config_version),
        )
        for member in view.members
    ]
    print(format_table(("NODE", "STATE", "PLACE", "REGION", "OPERATORS", "VERSION"), rows))
    behind = [member.node for member in view.members if member.config_version < view.version]
    if behind:
        print(f"behind version {view.version}: {', '.join(behind)}")
    return ExitCode.OK
