"""Log events of non-idempotent requests, numbers 3100 to 3199."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe import Severity, define_event

RUN_ORDER_REPEATED: Final = define_event(
    3101,
    "run_order_repeated",
    Severity.WARNING,
    "A home received a run order twice, or from an earlier incarnation, and dropped it.",
)
CLAIM_UNAVAILABLE: Final = define_event(
    3102,
    "claim_unavailable",
    Severity.WARNING,
    "The store was unavailable when a request's key was claimed; the request did not run.",
    "Restore the store; callers may retry with the same key.",
)
CLAIM_UNREADABLE: Final = define_event(
    3103,
    "claim_unreadable",
    Severity.ERROR,
    "The store holds a claim record that this version cannot decode; its request does not run.",
    "Finish the upgrade of all nodes, or find out what else writes to keys below `requests/`.",
)
CLAIM_EXPIRED: Final = define_event(
    3104,
    "claim_expired",
    Severity.WARNING,
    "The holder of a claim did not report before it expired; its outcome is set to unknown.",
    "Ask the upstream whether the request ran before sending it under another key.",
)
RUN_UNKNOWN: Final = define_event(
    3105,
    "run_unknown",
    Severity.WARNING,
    "A request was sent to a home or an upstream, but no outcome was received.",
    "Ask the upstream whether the request ran before sending it under another key.",
)
OUTCOME_NOT_RECORDED: Final = define_event(
    3106,
    "outcome_not_recorded",
    Severity.ERROR,
    "Too many outcomes were waiting to be stored; the oldest was dropped and stays unrecorded.",
    "Restore the store; retries of the request receive an unknown outcome.",
)
