"""Log events of searches, numbers 3000 to 3099."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe import Severity, define_event

SEARCH_REFUSED: Final = define_event(
    3001,
    "search_refused",
    Severity.WARNING,
    "A node had its maximum number of searches in flight and refused one before it ran.",
    "Add nodes, or look for callers that send bursts.",
)
SEARCH_UNKNOWN_SERVICE: Final = define_event(
    3002,
    "search_unknown_service",
    Severity.WARNING,
    "A search named a service that is not in the active configuration.",
    "Check the caller, or the latest change of the configuration.",
)
REPLY_CROSSED: Final = define_event(
    3003,
    "reply_crossed",
    Severity.WARNING,
    "A node replied to a group search that was sent to another node; the reply was dropped.",
    "If it recurs, check whether two nodes share an address, and report it.",
)
HOME_LOST: Final = define_event(
    3004,
    "home_lost",
    Severity.INFO,
    "A home was lost with group searches in flight; their shards were sent to the next home.",
)
SEARCH_RERUN: Final = define_event(
    3005,
    "search_rerun",
    Severity.INFO,
    "Too many shards no longer served the snapshot of a search; it was rerun at a newer one.",
    "Nothing to do during an index roll; otherwise let upstreams serve old snapshots for longer.",
)
GROUP_REFUSED: Final = define_event(
    3006,
    "group_refused",
    Severity.WARNING,
    "A home had its maximum number of sub-searches in flight and refused a group search.",
    "Add nodes, or look for a service with slow upstreams.",
)
HOME_SILENT: Final = define_event(
    3007,
    "home_silent",
    Severity.INFO,
    "A home sent no reply within its usual time; a hedged request was sent to another home.",
    "If it recurs, check the unresponsive node: it may be overloaded, paused or partitioned.",
)
