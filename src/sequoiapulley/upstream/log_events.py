"""Log events of the dispatch decisions of a home, 4000 to 4999."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

UPSTREAM_EJECTED: Final = define_event(
    4001,
    "upstream_ejected",
    Severity.WARNING,
    "An upstream failed several times in a row and gets no work until its probe is due.",
    "Look at the upstream; it returns by itself after one good reply.",
)
UPSTREAM_RESTORED: Final = define_event(
    4002,
    "upstream_restored",
    Severity.INFO,
    "An ejected upstream answered a probe and comes back to its share over some seconds.",
)
EJECTION_WITHHELD: Final = define_event(
    4003,
    "ejection_withheld",
    Severity.WARNING,
    "An upstream failed several times in a row but the other replicas could not carry its work.",
    "Repair the instance's upstreams or add one.",
)
UPSTREAM_LEAVING: Final = define_event(
    4010,
    "upstream_leaving",
    Severity.INFO,
    "A reply or a load report said that an upstream leaves; it gets no new work.",
)
UPSTREAM_STAYS: Final = define_event(
    4011,
    "upstream_stays",
    Severity.INFO,
    "Repeated load reports said that an upstream no longer leaves; it gets new work.",
)
REQUEST_SUSPECTED: Final = define_event(
    4020,
    "request_suspected",
    Severity.WARNING,
    "An upstream closed its connection with the request in flight; it is not hedged any more and"
    " is tried again alone.",
    "Nothing, unless the same fingerprint is quarantined next.",
)
REQUEST_QUARANTINED: Final = define_event(
    4021,
    "request_quarantined",
    Severity.ERROR,
    "A request took a second upstream down while it was alone there; it is refused everywhere.",
    "Find the caller by the fingerprint and repair the upstreams' fault; the entry expires.",
)
CONNECTIONS_SUSPECTED: Final = define_event(
    4030,
    "connections_suspected",
    Severity.INFO,
    "Replies of an upstream stayed out longer than its history allows; new connections are tried.",
    "If it repeats, look for a firewall or address translation that forgets connections.",
)
OVERLOAD_BEGAN: Final = define_event(
    4040,
    "overload_began",
    Severity.WARNING,
    "An instance got more work than its upstreams can finish in time; some is refused as not run.",
    "Add upstreams to the instance, or look for a caller that sends a burst.",
)
OVERLOAD_ENDED: Final = define_event(
    4041,
    "overload_ended",
    Severity.INFO,
    "An instance refused no work for some seconds after an overload.",
)
BUDGET_SPENT: Final = define_event(
    4050,
    "retry_budget_spent",
    Severity.INFO,
    "A service's budget for retries and hedges ran out; tries that fail or straggle stay so.",
    "Look for the fault that costs so many retries.",
)
