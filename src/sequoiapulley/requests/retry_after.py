"""Delays after which a caller may retry a request, by reason."""

from __future__ import annotations

from typing import Final

from sequoiapulley.requests.messages import RefusalReason

RETRY_AFTER_MS: Final[dict[RefusalReason, int]] = {
    RefusalReason.OVERLOAD: 500,
    RefusalReason.DEADLINE: 250,
    RefusalReason.STORE_UNAVAILABLE: 1000,
    RefusalReason.NO_REPLICA: 1000,
    RefusalReason.IN_PROGRESS: 250,
    RefusalReason.SHUTTING_DOWN: 50,
    RefusalReason.HOME_UNREACHABLE: 500,
    RefusalReason.REFUSED_BY_UPSTREAM: 500,
}


def retry_after_ms(reason: RefusalReason | None) -> int | None:
    """Returns the milliseconds after which a caller may retry the key, or None for never."""
    return None if reason is None else RETRY_AFTER_MS.get(reason)
