"""Log events of the connections to upstreams."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe import Severity, define_event

SILENT_CONNECTIONS_CLOSED: Final = define_event(
    4501,
    "silent_connections_closed",
    Severity.WARNING,
    "A fresh connection to an upstream answered while an older one gave no byte; idle ones "
    "opened before were closed too. Logged at most every 10 s for an upstream.",
    "If it repeats, look for a firewall or NAT between node and upstream that forgets "
    "connections; raise its idle time-out.",
)
UPSTREAM_UNREACHABLE: Final = define_event(
    4502,
    "upstream_unreachable",
    Severity.WARNING,
    "No connection to an upstream could be opened. Logged at most every 10 s for an upstream.",
    "Check that the upstream runs, listens on the address in the configuration, and is below "
    "its limit of connections.",
)
REPLY_MALFORMED: Final = define_event(
    4503,
    "reply_malformed",
    Severity.WARNING,
    "A reply was truncated, broke the contract or carried another request's id. Logged at most "
    "every 10 s for an upstream.",
    "Compare the upstream's version with docs/CONTRACTS.md; its connection was closed.",
)
