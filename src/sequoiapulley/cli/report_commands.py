"""Commands that report over all nodes."""

from __future__ import annotations

from pathlib import Path

from cyclopts import App
from result import Err

from sequoiapulley.cli.burn_page import render_burn_page
from sequoiapulley.cli.burn_table import format_burn
from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.cli.fan_out import live_members, query_members
from sequoiapulley.cli.node_client import NodeClient
from sequoiapulley.cli.options import DEFAULT_OPTIONS, Options
from sequoiapulley.cli.output import print_json
from sequoiapulley.entry.operators_messages import MemberView, StatusView
from sequoiapulley.observe.burn_messages import NodeBurnReport
from sequoiapulley.observe.burn_report import BurnReport, UnresponsiveNode, merge_node_reports

report_app = App(name="report", help="Reports over all nodes.")


@report_app.command
def burn(*, html: Path | None = None, opts: Options = DEFAULT_OPTIONS) -> int:
    """Show how fast each service spends its error budget, over all live nodes.

    Example: sequoiapulley report burn --html burn.html

    Parameters
    ----------
    html
        File that receives the report as one page with plots.
    opts
        Options of every command.
    """
    client = NodeClient(opts.node, opts.timeout)
    status = client.get("/v1/status").expect(StatusView)
    report = _collect(live_members(status.members), opts.timeout)
    if html is not None:
        _write(html, render_burn_page(report))
    if opts.json:
        print_json(report)
    else:
        print(format_burn(report))
    return ExitCode.PARTIAL if report.silent else ExitCode.OK


def _collect(members: list[MemberView], timeout: float) -> BurnReport:
    node_reports: list[NodeBurnReport] = []
    unresponsive: list[UnresponsiveNode] = []
    for member, result in query_members(members, "/v1/burn", timeout):
        if isinstance(result, Err):
            unresponsive.append(UnresponsiveNode(member.node, member.address, result.err_value))
            continue
        try:
            node_reports.append(result.ok_value.expect(NodeBurnReport))
        except CliError as exc:
            unresponsive.append(UnresponsiveNode(member.node, member.address, exc.message))
    return merge_node_reports(node_reports, unresponsive)


def _write(file: Path, page: str) -> None:
    try:
        file.write_text(page, encoding="utf-8")
    except OSError as exc:
        message = f'cannot write file "{file}": {exc.strerror}'
        raise CliError(
            ExitCode.USAGE, message, "Give a file in a directory that you can write to."
        ) from exc
