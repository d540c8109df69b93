"""Entry point of the command-line tool."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from cyclopts import App, CycloptsError

from sequoiapulley.cli.config_commands import config_app
from sequoiapulley.cli.events_command import events
from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.cli.explain_command import explain
from sequoiapulley.cli.output import print_error
from sequoiapulley.cli.report_commands import report_app
from sequoiapulley.cli.search_commands import entries, search
from sequoiapulley.cli.status_command import status
from sequoiapulley.cli.timeline_command import timeline

app = App(
    name="sequoiapulley",
    help="Operate and monitor a sequoiapulley fleet through the operators' port of any node.",
)
app.command(config_app)
app.command(status)
app.command(entries)
app.command(search)
app.command(report_app)
app.command(events)
app.command(explain)
app.command(timeline)
app.register_install_completion_command()


def run(tokens: Sequence[str]) -> int:
    """Runs one command.

    Args:
        tokens: Command-line arguments without the program name.

    Returns:
        The exit code.
    """
    try:
        code = app(tokens, exit_on_error=False, result_action="return_value")
    except CycloptsError:
        return ExitCode.USAGE
    except CliError as exc:
        print_error(exc, "--json" in tokens)
        return exc.code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    return int(code or 0)


def main() -> None:
    """Runs the command line and exits."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
