"""Decides whether this node is cut off from the upstreams."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from sequoiapulley.forward.log_events import CONTACT_LOST, CONTACT_REGAINED
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import UpstreamName
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import TimerQueue

SILENCE_S: Final = 0.15
"""Time without a reply of any upstream after which the node checks its links: a pause of a single
upstream lasts as long."""
MIN_SILENT: Final = 3
"""Minimum number of upstreams with failed or overdue tries for such a check."""
MIN_UNREACHABLE: Final = 5
"""Number of upstreams that lost or refused a connection within `WINDOW_S` for a check although
others reply, as open connections may outlive the loss of the links."""
WINDOW_S: Final = 1.0
CHECK_SAMPLE: Final = 8
"""Number of upstreams to which a check opens connections."""
MIN_SAMPLE: Final = 3
"""Minimum number of upstreams from which a check concludes anything."""
CHECK_TIMEOUT_S: Final = 0.25
"""Time for the connections of a check: several round trips between regions."""
CHECK_INTERVAL_S: Final = 1.0
"""Minimum interval between two checks while the node is in contact."""
RECHECK_INTERVAL_S: Final = 0.5
"""Interval of the checks while the node is cut off."""
RECHECK_SAMPLE: Final = 4
MAX_SHARE_IF_CUT_OFF: Final = 0.25
"""Share of the connections that upstreams accept up to which the node counts as cut off. Faults of
upstreams leave half of them or more."""
MIN_SHARE_IF_REGAINED: Final = 0.75
"""Share of the connections from which the node counts as in contact again."""


class _Check:
    """Connections to a sample of upstreams."""

    __slots__ = ("accepted", "ended", "pending", "size")

    def __init__(self, size: int) -> None:
        """Initialise a check without results."""
        self.size = size
        self.pending = size
        self.accepted = 0
        self.ended = False

    @property
    def share(self) -> float:
        """Share of the connections that were accepted."""
        return self.accepted / self.size


class UpstreamContact:
    """Watches replies and failed tries, and checks the links when they fail together.

    A node whose checks fail while other nodes are in contact is cut off: its requests have no way
    to the upstreams except by those nodes. It cannot tell that from upstreams that are all gone by
    itself; then no node is in contact, and nothing changes.
    """

    def __init__(
        self,
        timers: TimerQueue,
        random: Random,
        log: LogSink,
        upstreams: Callable[[], list[Upstream]],
    ) -> None:
        """Initialise in contact.

        Args:
            timers: Timers of the event loop.
            random: Selects the samples.
            log: Receives an event when the node is cut off or in contact again.
            upstreams: Returns the upstreams that should accept connections.
        """
        self._timers = timers
        self._clock = timers.clock
        self._random = random
        self._log = log
        self._upstreams = upstreams
        self._check: _Check | None = None
        self._checked_at = float("-inf")
        self._failed: dict[UpstreamName, float] = {}
        """Upstreams with a failed or overdue try since the last contact, with its time."""
        self._unreachable: dict[UpstreamName, float] = {}
        """Upstreams that lost or refused a connection within `WINDOW_S`, with its time."""
        self.last_contact = float("-inf")
        """Clock reading of the last reply or accepted connection of an upstream."""
        self.cut_off = False
        """Whether the node is cut off from the upstreams."""
        self.on_change: Callable[[], None] = _ignore_change
        """Called after `cut_off` has changed."""

    @property
    def age(self) -> float:
        """Seconds since the last contact with an upstream; infinite before the first one."""
        return self._clock.now() - self.last_contact

    def record_reply(self, upstream: Upstream) -> None:
        """Records that an upstream replied to a request."""
        self.last_contact = self._clock.now()
        self._failed.clear()
        self._unreachable.pop(upstream.record.name, None)

    def record_overdue(self, upstream: Upstream) -> None:
        """Records that an upstream has not replied in the usual time."""
        self._record_failure(upstream)

    def record_unreachable(self, upstream: Upstream) -> None:
        """Records that an upstream lost or refused a connection."""
        now = self._clock.now()
        self._unreachable[upstream.record.name] = now
        self._record_failure(upstream)

    def check_if_idle(self) -> None:
        """Checks the links with a few connections if this node has had no contact for a while.

        Other nodes need to know whether it is in contact before they hand requests over to it.
        """
        if self.age >= CHECK_INTERVAL_S and not self.cut_off:
            self._start_check(RECHECK_SAMPLE)

    def _record_failure(self, upstream: Upstream) -> None:
        """Records a failed or overdue try, and checks the links if there is reason to."""
        if self.cut_off:
            return
        if not self._failed:
            self._timers.call_later(SILENCE_S, self._check_if_silent)
        self._failed[upstream.record.name] = self._clock.now()
        self._check_if_silent()

    def _check_if_silent(self) -> None:
        """Checks the links if no upstream has replied, or several are unreachable."""
        now = self._clock.now()
        silent = self.age >= SILENCE_S and len(self._failed) >= MIN_SILENT
        if not silent:
            for name, at in tuple(self._unreachable.items()):
                if now - at > WINDOW_S:
                    del self._unreachable[name]
            if len(self._unreachable) < MIN_UNREACHABLE:
                return
        if now - self._checked_at >= CHECK_INTERVAL_S and not self.cut_off:
            self._start_check(CHECK_SAMPLE)

    def _start_check(self, sample: int) -> None:
        """Opens connections to a random sample of the upstreams."""
        if self._check is not None:
            return
        upstreams = self._upstreams()
        if len(upstreams) < MIN_SAMPLE:
            if self.cut_off:
                # Entries that have expired may return.
                self._schedule_recheck()
            return
        chosen = self._random.sample(upstreams, min(sample, len(upstreams)))
        check = self._check = _Check(len(chosen))
        self._checked_at = self._clock.now()
        self._timers.call_later(CHECK_TIMEOUT_S, lambda: self._end_check(check))
        for upstream in chosen:
            upstream.pool.check_alive(lambda alive: self._on_connection(check, alive))

    def _on_connection(self, check: _Check, alive: bool) -> None:
        """Counts one connection of a check."""
        if alive:
            self.last_contact = self._clock.now()
        if check.ended:
            return
        check.pending -= 1
        check.accepted += alive
        if not check.pending:
            self._end_check(check)

    def _end_check(self, check: _Check) -> None:
        """Concludes from a check whether this node is cut off."""
        if check.ended:
            return
        check.ended = True
        self._check = None
        if self.cut_off:
            if check.share >= MIN_SHARE_IF_REGAINED:
                self._set(False, check)
            else:
                self._schedule_recheck()
            return
        if check.share <= MAX_SHARE_IF_CUT_OFF:
            # Scheduled first, so that an unexpected error does not leave the node cut off.
            self._schedule_recheck()
            self._set(True, check)

    def _schedule_recheck(self) -> None:
        """Schedules the next check of a node that is cut off."""
        self._timers.call_later(RECHECK_INTERVAL_S, lambda: self._start_check(RECHECK_SAMPLE))

    def _set(self, cut_off: bool, check: _Check) -> None:
        """Changes whether this node is cut off, and logs it."""
        self.cut_off = cut_off
        self._failed.clear()
        self._unreachable.clear()
        self._log.log(
            CONTACT_LOST if cut_off else CONTACT_REGAINED,
            accepted=check.accepted,
            connections=check.size,
        )
        self.on_change()


def _ignore_change() -> None:
    """Does nothing: nobody acts on the change."""
