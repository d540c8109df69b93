"""Command that prints the recent log events of a node."""

from __future__ import annotations

from time import sleep
from typing import Final

from sequoiapulley.cli.config_commands import format_time
from sequoiapulley.cli.exit_code import ExitCode
from sequoiapulley.cli.node_client import NodeClient
from sequoiapulley.cli.options import DEFAULT_OPTIONS, Options
from sequoiapulley.cli.output import print_json
from sequoiapulley.entry.operators_messages import EventsView

POLL_INTERVAL_S: Final = 1.0
"""Interval between two requests with `--follow`."""


def events(*, after: int = 0, follow: bool = False, opts: Options = DEFAULT_OPTIONS) -> int:
    """Show the log events in a node's memory; docs/EVENTS.md lists the remedy for each.

    Example: sequoiapulley events --node 10.0.0.5:9300 --follow

    Parameters
    ----------
    after
        Show only events after this sequence number; all events if it exceeds the latest one, as it
        may after a restart of the node.
    follow
        Print new events until interrupted.
    opts
        Options of every command.
    """
    client = NodeClient(opts.node, opts.timeout)
    while True:
        view = client.get("/v1/events", after=str(after)).expect(EventsView)
        _print_events(view, after, opts.json)
        after = view.events[-1].sequence if view.events else after
        if not follow:
            return ExitCode.OK
        try:
            sleep(POLL_INTERVAL_S)
        except KeyboardInterrupt:
            return ExitCode.OK


def _print_events(view: EventsView, after: int, as_json: bool) -> None:
    if as_json:
        print_json(view)
        return
    if view.dropped and after:
        print(f"({view.dropped} events are no longer kept)")
    for event in view.events:
        fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
        severity = event.severity.upper().ljust(7)
        print(f"{format_time(event.at)} {severity} {event.code} {event.name} {fields}".rstrip())
