"""Keeps refused requests in the store, for nodes that start later."""

from __future__ import annotations

from typing import Final

from result import Err

from sequoiapulley.forward.log_events import REFUSAL_NOT_KEPT
from sequoiapulley.forward.route_table import MS_PER_S
from sequoiapulley.forward.state import AnnounceReply, RefusalStore, RequestRefusal
from sequoiapulley.ids import Fingerprint
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue

RETRY_INTERVAL_S: Final = 2.0
"""Time between two attempts; outages of the store last seconds."""
MIN_TTL_S: Final = 1.0
"""Shortest lease that the store grants."""


class RefusalTask:
    """Writes each refused request to the store until the store has accepted it."""

    def __init__(self, store: RefusalStore, timers: TimerQueue, log: LogSink) -> None:
        """Initialise without refused requests.

        Args:
            store: The store client.
            timers: Timers of the event loop.
            log: Receives an event for each attempt that failed.
        """
        self._store = store
        self._timers = timers
        self._log = log
        self._latest: dict[Fingerprint, RequestRefusal] = {}
        """Refused requests that the store has not accepted yet."""

    def keep(self, refusal: RequestRefusal) -> None:
        """Writes a refused request; replaces an earlier one of the same fingerprint."""
        is_new = refusal.fingerprint not in self._latest
        self._latest[refusal.fingerprint] = refusal
        if is_new:
            self._write(refusal.fingerprint)

    def _write(self, fingerprint: Fingerprint) -> None:
        """Writes the latest state of a refused request, unless it has expired."""
        refusal = self._latest[fingerprint]
        ttl = refusal.expires_ms / MS_PER_S - self._timers.clock.wall()
        if ttl < MIN_TTL_S:
            del self._latest[fingerprint]
            return
        self._store.keep_refusal(refusal, ttl, lambda reply: self._on_reply(refusal, reply))

    def _on_reply(self, refusal: RequestRefusal, reply: AnnounceReply) -> None:
        """Ends the writes of a refused request, or schedules the next one."""
        fingerprint = refusal.fingerprint
        if isinstance(reply, Err):
            error = reply.err_value.detail
            self._log.log(REFUSAL_NOT_KEPT, fingerprint=fingerprint, error=error)
            self._timers.call_later(RETRY_INTERVAL_S, lambda: self._write(fingerprint))
        elif self._latest[fingerprint] != refusal:
            self._write(fingerprint)
        else:
            del self._latest[fingerprint]
