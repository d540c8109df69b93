"""Decides whether an outlier may be ejected without overloading the remaining replicas."""

from __future__ import annotations

from collections.abc import Sequence

from sequoiapulley.upstream.upstream_state import UpstreamState


def may_eject(upstream: UpstreamState, replicas: Sequence[UpstreamState], now: float) -> bool:
    """Returns whether enough replicas remain in service without the outlier.

    An upstream that is down serves nothing, so one other replica in service suffices. For one that
    is only wrong or slow, half of the replicas must remain, with capacity for all requests in
    flight.

    Args:
        upstream: The outlier.
        replicas: All replicas of its instance.
        now: Clock reading in seconds.

    Returns:
        Whether the upstream may be ejected.
    """
    remaining = [other for other in replicas if other is not upstream and other.accepts_work]
    if not remaining:
        return False
    if upstream.health.has_hard_failure:
        return True
    if 2 * len(remaining) < len(replicas):
        return False
    capacity = sum(other.max_in_flight(now) for other in remaining)
    return capacity >= sum(replica.in_flight for replica in replicas)
