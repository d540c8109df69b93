"""Decides whether an outlier may be ejected without drowning the replicas that remain."""

from __future__ import annotations

from collections.abc import Sequence

from sequoiapulley.upstream.upstream_state import UpstreamState


def may_eject(upstream: UpstreamState, replicas: Sequence[UpstreamState], now: float) -> bool:
    """Checks the floor under the replicas in service.

    An upstream that is down carries nothing, so it goes while one other replica stays. One that
    is only wrong or slow goes while half of the replicas stay and can carry what is in flight.

    Args:
        upstream: The outlier.
        replicas: All replicas of its instance.
        now: Clock reading in seconds.

    Returns:
        Whether the upstream may be ejected.
    """
    rest = [other for other in replicas if other is not upstream and other.in_service]
    if not rest:
        return False
    if upstream.health.hard:
        return True
    if 2 * len(rest) < len(replicas):
        return False
    carried = sum(other.allowed(now) for other in rest)
    return carried >= sum(replica.in_flight for replica in replicas)
