"""Further tries of late searches: hedged requests, and replacement of silent connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._work import Work, WorkState
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.log_events import CONNECTIONS_SUSPECTED
from sequoiapulley.upstream.messages import Action

if TYPE_CHECKING:
    from sequoiapulley.upstream._queue_pump import QueuePump

MIN_HEDGE_DELAY_S: Final = 0.001
DEFAULT_HEDGE_DELAY_S: Final = 0.02
"""Hedging delay until an instance has `MIN_HEDGE_SAMPLES`."""
MIN_HEDGE_SAMPLES: Final = 32
SILENT_P99_FACTOR: Final = 3.0
"""Wait for a reply until its connection counts as silent, as a multiple of the 99th percentile."""
SILENT_MEDIAN_FACTOR: Final = 10.0
"""Cap on that wait, as a multiple of the median latency; the 97th percentile if that is longer."""
MIN_SILENT_DELAY_S: Final = 0.015
MAX_TRIES: Final = 3
"""Maximum number of exchanges for one sub-request, including hedged requests and replacements."""
RECHECK_S: Final = 0.002
"""Delay until a late search is checked again if no replica had capacity or the budget no token."""


def hedge_delay(instance: InstanceState) -> float:
    """Returns the delay after which a search is hedged: the 97th percentile, in seconds."""
    figures = instance.latency.figures
    if figures is None or instance.latency.count < MIN_HEDGE_SAMPLES:
        return DEFAULT_HEDGE_DELAY_S
    return figures.p97 if figures.p97 > MIN_HEDGE_DELAY_S else MIN_HEDGE_DELAY_S


def silent_delay(instance: InstanceState) -> float:
    """Returns the time without a reply after which a connection counts as silent, in seconds."""
    figures = instance.latency.figures
    if figures is None or instance.latency.count < MIN_HEDGE_SAMPLES:
        return 2 * DEFAULT_HEDGE_DELAY_S
    late_s = min(SILENT_P99_FACTOR * figures.p99, SILENT_MEDIAN_FACTOR * figures.p50)
    return max(MIN_SILENT_DELAY_S, late_s, figures.p97)


class Hedging:
    """Sends further tries of late searches and finishes work at its deadline."""

    def __init__(self, core: DispatchCore, pump: QueuePump) -> None:
        """Creates the policy.

        Args:
            core: State shared with the other components.
            pump: Selects the replicas that may serve work.
        """
        self._core = core
        self._pump = pump
        pump.send_waiting_hedges = self.send_waiting_hedges

    def on_due(self, work: Work, now: float, actions: list[Action]) -> None:
        """Processes work whose timer has expired.

        Args:
            work: Unfinished work.
            now: Clock reading in seconds.
            actions: List to which actions are appended.
        """
        if now >= work.deadline:
            reason = MissingReason.DEADLINE if work.tried else MissingReason.OVERLOAD
            self._core.fail_work(work, reason, now, actions)
            return
        next_check = work.deadline
        if work.state is WorkState.IN_FLIGHT and self._may_send_again(work, now):
            next_check = min(next_check, self._send_again(work, now, actions))
        self._core.registry.timers.arm(work, next_check)

    def send_waiting_hedges(
        self, instance: InstanceState, now: float, actions: list[Action]
    ) -> None:
        """Hedges searches that wait for capacity; they take precedence over the queue.

        Args:
            instance: The instance whose replicas may have capacity now.
            now: Clock reading in seconds.
            actions: List to which actions are appended.
        """
        for work in list(instance.awaiting_hedge):
            if not instance.has_room(now):
                return
            if len(work.exchanges) != 1 or not self._may_send_again(work, now):
                del instance.awaiting_hedge[work]
                continue
            self._hedge(work, now, actions)

    def _may_send_again(self, work: Work, now: float) -> bool:
        if work.is_run or work.tries >= MAX_TRIES:
            return False
        return not self._core.quarantine.is_suspected(work.fingerprint, now)

    def _send_again(self, work: Work, now: float, actions: list[Action]) -> float:
        """Sends a hedged request or a replacement if possible.

        Args:
            work: A search in flight that is late.
            now: Clock reading in seconds.
            actions: List to which actions are appended.

        Returns:
            The clock reading of the next check.
        """
        instance = work.instance
        oldest = work.exchanges[0]
        silent_at = oldest.sent_at + silent_delay(instance)
        if len(work.exchanges) > 1:
            # If the hedged request is late as well, the first connection is assumed to be silent.
            silent_at = min(silent_at, work.exchanges[-1].sent_at + hedge_delay(instance))
        if now >= silent_at and not work.replaced:
            if self._replace(work, now, actions):
                return now + hedge_delay(instance)
            return now + RECHECK_S
        if len(work.exchanges) > 1:
            return silent_at if not work.replaced else work.deadline
        if self._hedge(work, now, actions):
            return now + hedge_delay(instance)
        return now + max(RECHECK_S, instance.median_latency / 2)

    def _hedge(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends a late search to another replica that is expected to answer by the deadline."""
        instance = work.instance
        median_latency = instance.median_latency
        free = [
            replica
            for replica in self._pump.usable(work, now)
            if replica.accepts_work
            and replica.has_room(now)
            and now + replica.expected(median_latency, now) < work.deadline
        ]
        upstream = self._core.selector.choose(free, 0, median_latency, now)
        if upstream is None:
            if not instance.overloaded:
                instance.awaiting_hedge[work] = None
            return False
        instance.awaiting_hedge.pop(work, None)
        if not self._core.take_retry_token(work, now):
            return False
        self._core.counts.hedges += 1
        self._core.registry.send(work, upstream, now, actions, upstream.needs_fresh_connection)
        return True

    def _replace(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Replaces the oldest exchange of a search by one on a new connection to that upstream."""
        oldest = work.exchanges[0]
        upstream = oldest.upstream
        if not upstream.accepts_work or upstream.reserved_for is not None:
            return False
        self._core.budget(work.instance.service).on_fault()
        if not self._core.take_retry_token(work, now):
            return False
        work.replaced = True
        self._core.counts.replacements += 1
        # The new exchange precedes the cancellation, so that the transport can identify the
        # silent connection.
        self._core.registry.send(work, upstream, now, actions, fresh=True)
        self._core.registry.abandon(oldest, now, actions)
        self._core.log.log(CONNECTIONS_SUSPECTED, upstream=upstream.name)
        return True
