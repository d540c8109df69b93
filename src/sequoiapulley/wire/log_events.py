"""Log events of the connections to upstreams."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe import Severity, define_event

SILENT_CONNECTIONS_CLOSED: Final = define_event(
    4501,
    "silent_connections_closed",
    Severity.WARNING,
    "A new connection to an upstream received a reply while an older connection received no data; "
    "idle connections unused since the older one became silent were closed. Logged at most every "
    "10 s per upstream.",
    "If it repeats, look for a firewall or NAT between node and upstream that drops idle "
    "connections, and raise its idle timeout.",
)
UPSTREAM_UNREACHABLE: Final = define_event(
    4502,
    "upstream_unreachable",
    Severity.WARNING,
    "No connection to an upstream could be opened. Logged at most every 10 s per upstream.",
    "Check that the upstream runs, listens on the configured address and is below its "
    "connection limit.",
)
REPLY_MALFORMED: Final = define_event(
    4503,
    "reply_malformed",
    Severity.WARNING,
    "A reply was truncated, violated the contract or had the id of another request; its "
    "connection was closed. Logged at most every 10 s per upstream.",
    "Check that the upstream's version conforms to docs/CONTRACTS.md.",
)
