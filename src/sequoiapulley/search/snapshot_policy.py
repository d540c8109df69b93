"""When a search pins a snapshot, and when it runs again at a newer one."""

from __future__ import annotations

from typing import Final

from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.search.messages import LackReason
from sequoiapulley.search.search_state import SearchState
from sequoiapulley.search.snapshot_book import SnapshotBook

PIN_SHARE: Final = 0.5
MIN_REASK_S: Final = 0.006
RERUN_LACKING_SHARE: Final = 0.05
RERUN_TIME_SHARE: Final = 0.4


def choose_pin(search: SearchState, book: SnapshotBook, now: float) -> Snapshot | None:
    """Chooses the snapshot of a search that started without one.

    Args:
        search: The search.
        book: What is known of the shards' snapshots.
        now: Clock reading in seconds.

    Returns:
        The snapshot to pin now, or None to wait for more replies or if one is pinned.
    """
    gather = search.gather
    if gather.snapshot is not None or not gather.held:
        return None
    answered = gather.total - gather.open_count
    if answered < PIN_SHARE * gather.total and now < search.pin_at:
        return None
    if search.answer_at - now < MIN_REASK_S:
        return gather.most_held()
    return book.choose(search.request.service, now) or gather.most_held()


def choose_rerun(search: SearchState, book: SnapshotBook, now: float) -> Snapshot | None:
    """Chooses the newer snapshot at which a search runs again, once at most.

    It runs again if too many shards no longer serve the pinned snapshot, enough time is left,
    and a newer snapshot is known to cover more than this attempt still can.

    Args:
        search: The search.
        book: What is known of the shards' snapshots.
        now: Clock reading in seconds.

    Returns:
        The newer snapshot, or None to go on.
    """
    gather = search.gather
    if search.earlier is not None or gather.snapshot is None or not gather.lacking:
        return None
    request = search.request
    if request.deadline - now < RERUN_TIME_SHARE * (request.deadline - search.started):
        return None
    moved = sum(reason is LackReason.SNAPSHOT for reason in gather.lacking.values())
    if moved == 0 or moved < RERUN_LACKING_SHARE * gather.total:
        return None
    newer = book.choose(request.service, now)
    if newer is None or newer <= gather.snapshot:
        return None
    if book.coverage_of(request.service, newer) <= gather.total - len(gather.lacking):
        return None
    return newer
