"""Log events of a home node's dispatcher, 4000 to 4999."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

UPSTREAM_EJECTED: Final = define_event(
    4001,
    "upstream_ejected",
    Severity.WARNING,
    "An upstream failed several times in a row and receives no work until its next probe.",
    "Check the upstream; it returns to service automatically after one good reply.",
)
UPSTREAM_RESTORED: Final = define_event(
    4002,
    "upstream_restored",
    Severity.INFO,
    "An ejected upstream answered a probe and is back in service, with a slow start if it was"
    " down.",
)
EJECTION_WITHHELD: Final = define_event(
    4003,
    "ejection_withheld",
    Severity.WARNING,
    "An upstream failed several times in a row but stays in service, because the other replicas"
    " could not take over its work.",
    "Repair the upstreams of the instance or add one.",
)
UPSTREAM_LEAVING: Final = define_event(
    4010,
    "upstream_leaving",
    Severity.INFO,
    "A reply or a load report announced that an upstream is draining; it receives no new work.",
)
UPSTREAM_STAYS: Final = define_event(
    4011,
    "upstream_stays",
    Severity.INFO,
    "Repeated load reports showed that an upstream is no longer draining; it receives new work.",
)
REQUEST_SUSPECTED: Final = define_event(
    4020,
    "request_suspected",
    Severity.WARNING,
    "An upstream closed its connection with the request in flight; the request is no longer hedged"
    " and is retried in isolation.",
    "No action is needed unless the same fingerprint is quarantined later.",
)
REQUEST_QUARANTINED: Final = define_event(
    4021,
    "request_quarantined",
    Severity.ERROR,
    "An upstream closed its connection while a suspected request was isolated there; all nodes"
    " refuse the request.",
    "Find the caller by the fingerprint and fix the upstreams' fault; the entry expires.",
)
CONNECTIONS_SUSPECTED: Final = define_event(
    4030,
    "connections_suspected",
    Severity.INFO,
    "A reply of an upstream took longer than its latency history allows; the request is sent again"
    " on a new connection.",
    "If it recurs, look for a firewall or address translation that drops connection state.",
)
OVERLOAD_BEGAN: Final = define_event(
    4040,
    "overload_began",
    Severity.WARNING,
    "An instance received more work than its upstreams can finish in time; some is refused without"
    " being sent.",
    "Add upstreams to the instance, or look for a caller that sends bursts.",
)
OVERLOAD_ENDED: Final = define_event(
    4041,
    "overload_ended",
    Severity.INFO,
    "An instance has refused no work for some seconds after an overload.",
)
BUDGET_SPENT: Final = define_event(
    4050,
    "retry_budget_spent",
    Severity.INFO,
    "The budget of a service for retries and hedged requests is used up; failed or late tries are"
    " not repeated.",
    "Look for the fault that causes the retries.",
)
