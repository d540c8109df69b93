"""Log events of non-idempotent requests, 3100 to 3199."""

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
    "The store could not be reached to claim a request's key; the request did not run.",
    "Restore the store; callers may repeat with the same key.",
)
CLAIM_UNREADABLE: Final = define_event(
    3103,
    "claim_unreadable",
    Severity.ERROR,
    "The store holds a claim record that this version cannot read; its request is not run.",
    "Finish the upgrade of all nodes, or ask who else writes below `requests/`.",
)
CLAIM_EXPIRED: Final = define_event(
    3104,
    "claim_expired",
    Severity.WARNING,
    "A claim outlived its holder's time to report; its outcome is recorded as unknown.",
    "Ask the upstream whether the request ran before sending it under another key.",
)
RUN_UNKNOWN: Final = define_event(
    3105,
    "run_unknown",
    Severity.WARNING,
    "A request was sent to a home or upstream and no outcome came back.",
    "Ask the upstream whether the request ran before sending it under another key.",
)
OUTCOME_NOT_RECORDED: Final = define_event(
    3106,
    "outcome_not_recorded",
    Severity.ERROR,
    "Too many outcomes waited for the store; the oldest was given up and stays unrecorded.",
    "Restore the store; repeats of the request are told that its outcome is unknown.",
)
