"""Signs that connections to an upstream have gone silent."""

from __future__ import annotations

from collections.abc import Iterable

from sequoiapulley.upstream.flight import Flight
from sequoiapulley.wire.http_connection import ConnectionState, HttpConnection


class SilenceSigns:
    """Remembers the exchanges of one upstream that got no byte of a reply."""

    def __init__(self) -> None:
        """Initialise without signs."""
        self._unanswered_at = 0.0

    def note_given_up(self, conn: HttpConnection) -> None:
        """Takes note that the exchange on a busy connection is given up."""
        if not conn.reply_begun:
            self._unanswered_at = max(self._unanswered_at, conn.sent_at)

    def silent_since(self, fresh: Flight) -> float:
        """Returns since when connections may be silent, now that a fresh one has answered.

        What lost track of one connection has probably lost those that have not worked since.

        Args:
            fresh: The exchange that was answered on the fresh connection.

        Returns:
            A clock reading, or 0 if there is no sign.
        """
        suspect = fresh.suspect
        if suspect is None or suspect.last_used > fresh.ordered_at:
            return self._unanswered_at
        return max(self._unanswered_at, suspect.sent_at)


def longest_waiting(conns: Iterable[HttpConnection]) -> HttpConnection | None:
    """Returns the connection whose exchange has waited longest without a byte, if any."""
    longest: HttpConnection | None = None
    for conn in conns:
        if conn.state is not ConnectionState.BUSY or conn.reply_begun:
            continue
        if longest is None or conn.sent_at < longest.sent_at:
            longest = conn
    return longest
