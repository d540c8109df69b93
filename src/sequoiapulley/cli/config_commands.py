"""Commands that check, show and change the configuration text."""

from __future__ import annotations

from pathlib import Path
from time import gmtime, monotonic, strftime
from typing import Annotated, Final
from uuid import uuid4

from cyclopts import App, Parameter
from msgspec import Struct
from result import Err

from sequoiapulley.cli._edit import (
    BASE_VERSION_PREFIX,
    choose_base_version,
    read_outcome,
    send_edit,
    split_base_version,
    user_name,
)
from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.cli.node_client import NodeClient
from sequoiapulley.cli.options import DEFAULT_OPTIONS, Options
from sequoiapulley.cli.output import format_difference, format_table, print_json
from sequoiapulley.cli.rollout import Rollout, wait_until_active
from sequoiapulley.entry.operators_messages import (
    ConfigView,
    EditRequest,
    HistoryView,
)
from sequoiapulley.ids import ConfigVersion, EditId
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.settings.finding import Finding
from sequoiapulley.settings.text import parse_configuration

NO_CONFIG: Final = ConfigView(ConfigVersion(0), EditId(""), "", 0.0, "")

config_app = App(name="config", help="Check, show and change the configuration text.")


class CheckReport(Struct, frozen=True):
    """Result of `config check`."""

    file: str
    findings: tuple[Finding, ...]
    services: int
    instances: int
    upstreams: int


class ApplyReport(Struct, frozen=True):
    """Result of `config apply`."""

    version: ConfigVersion
    edit_id: EditId
    difference: str
    """Unified diff from the previously active text to the applied one."""
    rollout: Rollout | None = None
    """None if the command did not wait for the nodes."""


@config_app.command
def check(file: Path, /, *, opts: Options = DEFAULT_OPTIONS) -> int:
    """Check a configuration file locally and print every finding as FILE:LINE:COL: message.

    Example: sequoiapulley config check examples/cedarline.json5

    Parameters
    ----------
    file
        Configuration file, JSON with comments.
    opts
        Options of every command.
    """
    result = parse_configuration(read_file(file), ConfigVersion(0), str(file))
    if isinstance(result, Err):
        report = CheckReport(str(file), result.err_value, 0, 0, 0)
        _print_findings(report, opts.json)
        return ExitCode.FINDINGS
    report = _count_configured(str(file), result.ok_value)
    if opts.json:
        print_json(report)
        return ExitCode.OK
    counts = f"{report.services} services, {report.instances} instances"
    print(f"{file}: no findings; {counts}, {report.upstreams} upstreams")
    return ExitCode.OK


@config_app.command
def show(*, opts: Options = DEFAULT_OPTIONS) -> int:
    """Print the active configuration text of a node, below a line with its version.

    Example: sequoiapulley config show --node 10.0.0.5:9300 > now.json5

    Parameters
    ----------
    opts
        Options of every command.
    """
    view = fetch_config(NodeClient(opts.node, opts.timeout))
    if opts.json:
        print_json(view)
        return ExitCode.OK
    if view.version == 0:
        message = "no configuration has been applied yet"
        raise CliError(ExitCode.FINDINGS, message, "Apply one: sequoiapulley config apply FILE")
    print(f"{BASE_VERSION_PREFIX}{view.version}")
    print(view.text, end="" if view.text.endswith("\n") else "\n")
    return ExitCode.OK


@config_app.command
def history(*, opts: Options = DEFAULT_OPTIONS) -> int:
    """List the accepted edits, newest first.

    Example: sequoiapulley config history
    """
    answer = NodeClient(opts.node, opts.timeout).get("/v1/config/history")
    view = answer.expect(HistoryView)
    if opts.json:
        print_json(view)
        return ExitCode.OK
    rows = [
        (str(entry.version), format_time(entry.edited_at), entry.author, entry.edit_id)
        for entry in view.entries
    ]
    print(format_table(("VERSION", "ACCEPTED (UTC)", "AUTHOR", "EDIT"), rows))
    return ExitCode.OK


@config_app.command
def apply(
    file: Path,
    /,
    *,
    opts: Options = DEFAULT_OPTIONS,
    base: Annotated[int | None, Parameter(negative="")] = None,
    author: str | None = None,
    edit_id: str | None = None,
    wait: float = 10.0,
) -> int:
    """Apply a configuration file, show the difference, and wait until all live nodes use it.

    Example: sequoiapulley config apply examples/cedarline.json5 --base 41

    Parameters
    ----------
    file
        Configuration file, JSON with comments.
    opts
        Options of every command.
    base
        Version that the file was edited from. Defaults to the version in the file's first line, as
        `config show` prints it, or else to the active version.
    author
        Author recorded in the history. Defaults to the login name.
    edit_id
        Id of an earlier attempt whose outcome is unknown; a retry with it cannot apply the edit
        twice.
    wait
        Seconds to wait for the nodes; 0 returns as soon as the edit is accepted.
    """
    content = read_file(file)
    result = parse_configuration(content, ConfigVersion(0), str(file))
    if isinstance(result, Err):
        _print_findings(CheckReport(str(file), result.err_value, 0, 0, 0), opts.json)
        return ExitCode.FINDINGS
    first_line_base, text = split_base_version(content)
    client = NodeClient(opts.node, opts.timeout)
    current = fetch_config(client)
    difference = format_difference(current.text, text, f"version {current.version}", str(file))
    if not opts.json:
        print(difference or "no difference")
    req = EditRequest(
        base_version=choose_base_version(base, first_line_base, current.version),
        edit_id=EditId(edit_id or uuid4().hex),
        author=author or user_name(),
        text=text,
    )
    started = monotonic()
    accepted = read_outcome(send_edit(client, req, str(file)), req, str(file))
    report = ApplyReport(accepted.version, req.edit_id, difference)
    if wait <= 0:
        _print_applied(report, opts.json)
        return ExitCode.OK
    rollout = wait_until_active(client, accepted.version, started, wait, opts.timeout)
    report = ApplyReport(accepted.version, req.edit_id, difference, rollout)
    _print_applied(report, opts.json)
    return ExitCode.LAGGING if rollout.lagging else ExitCode.OK


def read_file(file: Path) -> str:
    """Reads a text file.

    Args:
        file: Its path.

    Returns:
        The text.

    Raises:
        CliError: If the file cannot be read.
    """
    try:
        return file.read_text(encoding="utf-8")
    except OSError as exc:
        message = f'cannot read file "{file}": {exc.strerror}'
        raise CliError(ExitCode.USAGE, message, "Check the path.") from exc
    except UnicodeDecodeError as exc:
        message = f'file "{file}" is not UTF-8 (byte {exc.start})'
        raise CliError(ExitCode.USAGE, message, "Save it as UTF-8.") from exc


def fetch_config(client: NodeClient) -> ConfigView:
    """Returns the active configuration of a node; version 0 if it has none."""
    answer = client.get("/v1/config")
    return NO_CONFIG if answer.status == 404 else answer.expect(ConfigView)


def format_time(seconds: float) -> str:
    """Formats seconds since the Unix epoch as a date and time in UTC."""
    return strftime("%Y-%m-%d %H:%M:%S", gmtime(seconds))


def _print_findings(report: CheckReport, as_json: bool) -> None:
    if as_json:
        print_json(report)
        return
    for finding in report.findings:
        print(finding)


def _print_applied(report: ApplyReport, as_json: bool) -> None:
    if as_json:
        print_json(report)
        return
    rollout = report.rollout
    if rollout is None:
        print(f"version {report.version} is accepted")
        return
    if not rollout.lagging:
        count = len(rollout.in_force)
        print(f"version {report.version} is in force on {count} nodes after {rollout.took_s:.2f} s")
        return
    print(f"version {report.version} is accepted, but not yet in force everywhere; lagging:")
    for node in rollout.lagging:
        print(f"  {node.node} at {node.address or 'unknown address'}: {node.detail}")


def _count_configured(file: str, cfg: Configuration) -> CheckReport:
    instances = [instance for service in cfg.services.values() for instance in service.instances]
    upstreams = sum(len(instance.upstreams) for instance in instances)
    return CheckReport(file, (), len(cfg.services), len(instances), upstreams)
