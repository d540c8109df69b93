"""The daemon's command line."""

from __future__ import annotations

from pathlib import Path
from sys import exit as exit_process
from sys import stderr
from typing import Final

from absl import logging
from cyclopts import App
from result import Err

from sequoiapulley import __version__
from sequoiapulley.daemon.log_events import ADDRESS_IN_USE, KEY_FILE_UNUSABLE, SETTINGS_INVALID
from sequoiapulley.daemon.node import Node
from sequoiapulley.fleet.datagram_keys import BadKeyFileError
from sequoiapulley.observe.absl_log import AbslLog
from sequoiapulley.settings.daemon_settings import load_settings

EXIT_BAD_SETTINGS: Final = 2
EXIT_ADDRESS_IN_USE: Final = 3

app = App(name="sequoiapulleyd", version=__version__, help="Serve a query tier over many shards.")


@app.default
def serve(settings: Path, *, check: bool = False) -> None:
    """Serve callers until SIGTERM, then shut down gracefully.

    Example: `sequoiapulleyd /etc/sequoiapulley/daemon.json5`

    Args:
        settings: Settings file, JSON with comments.
        check: Validate the settings file and exit.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    result = load_settings(settings)
    if isinstance(result, Err):
        for finding in result.err_value:
            print(finding, file=stderr)
        AbslLog().log(SETTINGS_INVALID, file=settings, findings=len(result.err_value))
        exit_process(EXIT_BAD_SETTINGS)
    if check:
        return
    cfg = result.ok_value
    log = AbslLog(cfg.log.json)
    try:
        node = Node(cfg, log)
    except (BadKeyFileError, FileNotFoundError, PermissionError) as exc:
        log.log(KEY_FILE_UNUSABLE, error=exc)
        exit_process(EXIT_BAD_SETTINGS)
    except OSError as exc:
        log.log(ADDRESS_IN_USE, error=exc)
        exit_process(EXIT_ADDRESS_IN_USE)
    node.run()


def main() -> None:
    """Parses the command line and runs the daemon."""
    app()


if __name__ == "__main__":
    main()
