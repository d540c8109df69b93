"""Command line of the forwarding node, which runs on the users' platform."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from os import environ
from pathlib import Path
from sys import exit as exit_process
from typing import Final

from msgspec.structs import replace
from result import Err

from sequoiapulley.daemon.forward_node import ForwardNode
from sequoiapulley.daemon.log_events import ADDRESS_IN_USE, SETTINGS_INVALID
from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.observe.line_log import LineLog
from sequoiapulley.platform.boot_settings import load_boot_settings
from sequoiapulley.platform.caller_codec import PlatformCallerCodec
from sequoiapulley.platform.kv_source import KvSource
from sequoiapulley.platform.names import SETTINGS_VARIABLE
from sequoiapulley.platform.platform_contract import PlatformContract
from sequoiapulley.runtime import SystemClock
from sequoiapulley.wire.http_client import HttpClient

EXIT_BAD_SETTINGS: Final = 2
EXIT_ADDRESS_IN_USE: Final = 3


def _arguments() -> Namespace:
    """Parses the command line with argparse, as importing cyclopts would slow down the start."""
    parser = ArgumentParser(description="Forward callers' requests on the users' platform")
    parser.add_argument("--metrics-port", type=int, default=0, help="TCP port of /metrics; 0: none")
    return parser.parse_args()


def main() -> None:
    """Serves callers until SIGTERM, then shuts down gracefully."""
    args = _arguments()
    path = Path(environ.get(SETTINGS_VARIABLE, ""))
    result = load_boot_settings(path)
    if isinstance(result, Err):
        log = LineLog(SystemClock(), "unnamed")
        log.log(SETTINGS_INVALID, file=path, error=result.err_value)
        exit_process(EXIT_BAD_SETTINGS)
    cfg = result.ok_value
    if args.metrics_port:
        cfg = replace(cfg, metrics=Address(cfg.host, args.metrics_port))
    log = LineLog(SystemClock(), cfg.name)
    watch = SettingsWatch(path, load_boot_settings, log)

    def make_store(client: HttpClient, address: Address) -> KvSource:
        return KvSource(client, address.host, address.port)

    try:
        node = ForwardNode(cfg, log, PlatformContract(), PlatformCallerCodec(), make_store, watch)
    except OSError as exc:
        log.log(ADDRESS_IN_USE, error=str(exc))
        exit_process(EXIT_ADDRESS_IN_USE)
    node.run()


if __name__ == "__main__":
    main()
