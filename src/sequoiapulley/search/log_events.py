"""Log events of searches and non-idempotent requests, 3000 to 3999."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe import Severity, define_event

SEARCH_REFUSED: Final = define_event(
    3001,
    "search_refused",
    Severity.WARNING,
    "A node had as many searches in flight as it takes and refused one before it ran.",
    "Add nodes, or look for callers that send bursts.",
)
SEARCH_UNKNOWN_SERVICE: Final = define_event(
    3002,
    "search_unknown_service",
    Severity.WARNING,
    "A search named a service that is not in the configuration in force.",
    "Check the caller, or the latest edit of the configuration.",
)
REPLY_CROSSED: Final = define_event(
    3003,
    "reply_crossed",
    Severity.WARNING,
    "A node replied to a group search that was sent to another node; the reply was dropped.",
    "Report it if it repeats: nodes may share an address.",
)
HOME_LOST: Final = define_event(
    3004,
    "home_lost",
    Severity.INFO,
    "A home was lost with group searches in flight; they were sent to the next home.",
)
SEARCH_RERUN: Final = define_event(
    3005,
    "search_rerun",
    Severity.INFO,
    "Too many shards no longer served the snapshot of a search; it ran again at a newer one.",
    "Nothing if it comes with an index roll; otherwise keep old snapshots served for longer.",
)
GROUP_REFUSED: Final = define_event(
    3006,
    "group_refused",
    Severity.WARNING,
    "A home had as many sub-searches in flight as it takes and refused a group search.",
    "Add nodes, or look for a service with slow upstreams.",
)
HOME_SILENT: Final = define_event(
    3007,
    "home_silent",
    Severity.INFO,
    "A home sent no reply in its usual time; another home was asked as well.",
    "Look at the silent node if it repeats: it may be overloaded, paused or cut off.",
)
