"""Decides when a search pins a snapshot and when it is rerun at a newer one."""

from __future__ import annotations

from typing import Final

from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.search.search_state import SearchState
from sequoiapulley.search.snapshot_tracker import SnapshotTracker

PIN_ANSWERED_SHARE: Final = 0.5
"""Share of shards whose replies suffice to pin a snapshot."""
MIN_REQUERY_TIME_S: Final = 0.006
"""Minimum time left to query shards again at the pinned snapshot."""
RERUN_STALE_SHARE: Final = 0.05
"""Share of shards that must no longer serve the pinned snapshot for a search to be rerun."""
RERUN_TIME_SHARE: Final = 0.4
"""Minimum share of the total time that must be left for a rerun."""


def choose_pin(search: SearchState, snapshots: SnapshotTracker, now: float) -> Snapshot | None:
    """Chooses the snapshot of a search that started without one.

    Args:
        search: The search to pin.
        snapshots: Tracks the snapshots that shards serve.
        now: Clock reading in seconds.

    Returns:
        The snapshot to pin now, or None if more replies are needed or one is already pinned. With
        enough time left, this is the snapshot that the most shards serve, and the shards that
        replied from another one are queried again. Otherwise it is the snapshot that the most
        replies come from, as these need no further query.
    """
    gather = search.gather
    if gather.snapshot is not None or not gather.buffered:
        return None
    answered = gather.total - gather.pending_count
    if answered < PIN_ANSWERED_SHARE * gather.total and now < search.pin_at:
        return None
    if search.answer_at - now < MIN_REQUERY_TIME_S:
        return gather.most_common_snapshot()
    return snapshots.choose(search.request.service, now) or gather.most_common_snapshot()


def choose_rerun(search: SearchState, snapshots: SnapshotTracker, now: float) -> Snapshot | None:
    """Chooses the newer snapshot at which a search is rerun; a search is rerun at most once.

    The search is rerun if too many shards no longer serve the pinned snapshot, enough time is
    left, and a newer snapshot is served by more shards than this attempt can still cover.

    Args:
        search: The search to rerun.
        snapshots: Tracks the snapshots that shards serve.
        now: Clock reading in seconds.

    Returns:
        The newer snapshot, or None to continue the current attempt.
    """
    gather = search.gather
    if search.first_attempt is not None or gather.snapshot is None or not gather.missing:
        return None
    request = search.request
    if request.deadline - now < RERUN_TIME_SHARE * (request.deadline - search.started):
        return None
    stale = sum(reason is MissingReason.SNAPSHOT for reason in gather.missing.values())
    if stale == 0 or stale < RERUN_STALE_SHARE * gather.total:
        return None
    newer = snapshots.choose(request.service, now)
    if newer is None or newer <= gather.snapshot:
        return None
    if snapshots.count_serving(request.service, newer) <= gather.total - len(gather.missing):
        return None
    return newer
