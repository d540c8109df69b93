"""Detection of silent connections to an upstream.

A connection is silent if it is still open at this end but no longer delivers any bytes, for example
because a firewall or an address translation has dropped its state.
"""

from __future__ import annotations

from collections.abc import Iterable

from sequoiapulley.upstream.pending_exchange import PendingExchange
from sequoiapulley.wire.http_connection import ConnectionState, HttpConnection


class SilenceTracker:
    """Tracks the exchanges of one upstream that received no byte of a reply."""

    def __init__(self) -> None:
        self._unanswered_at = 0.0

    def on_abandoned(self, conn: HttpConnection) -> None:
        """Records that the exchange on a busy connection is abandoned."""
        if not conn.reply_begun:
            self._unanswered_at = max(self._unanswered_at, conn.sent_at)

    def latest_unanswered_at(self, fresh: PendingExchange) -> float:
        """Returns when the latest request that received no byte was sent, after a reply to `fresh`.

        Idle connections that were last used before then are probably silent too.

        Args:
            fresh: An exchange with `fresh_connection` that has received its reply.

        Returns:
            A clock reading, or 0 if there is no such request.
        """
        suspect = fresh.suspect
        if suspect is None or suspect.last_used > fresh.submitted_at:
            return self._unanswered_at
        return max(self._unanswered_at, suspect.sent_at)


def longest_unanswered(conns: Iterable[HttpConnection]) -> HttpConnection | None:
    """Returns the connection that has waited longest for the first byte of a reply, if any."""
    longest: HttpConnection | None = None
    for conn in conns:
        if conn.state is not ConnectionState.BUSY or conn.reply_begun:
            continue
        if longest is None or conn.sent_at < longest.sent_at:
            longest = conn
    return longest
