"""Second tries of searches that are late: hedges, and replacements of silent connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._work import Work, WorkState
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.log_events import CONNECTIONS_SUSPECTED
from sequoiapulley.upstream.messages import Action

if TYPE_CHECKING:
    from sequoiapulley.upstream._queue_pump import QueuePump

SHORTEST_HEDGE_S: Final = 0.001
DEFAULT_HEDGE_S: Final = 0.02
"""Delay of hedges until an instance has `MIN_SAMPLES`."""
MIN_SAMPLES: Final = 32
SILENT_FACTOR: Final = 3.0
SILENT_MEDIANS: Final = 10.0
"""A reply is never waited for longer than this many median latencies, or the 97th percentile."""
SHORTEST_SILENT_S: Final = 0.015
MAX_TRIES: Final = 3
RECHECK_S: Final = 0.002
"""Next look at a late search whose hedge had no room or no token."""


def hedge_delay(instance: InstanceState) -> float:
    """Returns the time after which a search is hedged: the 97th percentile, in seconds."""
    figures = instance.latency.figures
    if figures is None or instance.latency.count < MIN_SAMPLES:
        return DEFAULT_HEDGE_S
    return figures.p97 if figures.p97 > SHORTEST_HEDGE_S else SHORTEST_HEDGE_S


def silent_delay(instance: InstanceState) -> float:
    """Returns the time after which a connection without a reply is taken as silent."""
    figures = instance.latency.figures
    if figures is None or instance.latency.count < MIN_SAMPLES:
        return 2 * DEFAULT_HEDGE_S
    late = min(SILENT_FACTOR * figures.p99, SILENT_MEDIANS * figures.p50)
    return max(SHORTEST_SILENT_S, late, figures.p97)


class Hedging:
    """Looks at searches that are late."""

    def __init__(self, core: DispatchCore, pump: QueuePump) -> None:
        """Initialise the policy.

        Args:
            core: Shared state.
            pump: Knows the replicas that may serve work.
        """
        self._core = core
        self._pump = pump
        pump.serve_late = self.serve_late

    def on_due(self, work: Work, now: float, actions: list[Action]) -> None:
        """Looks at work whose timer is due.

        Args:
            work: Unfinished work.
            now: Clock reading in seconds.
            actions: Receives orders and outcomes.
        """
        if now >= work.deadline:
            reason = LackReason.DEADLINE if work.tried else LackReason.OVERLOAD
            self._core.give_up(work, reason, now, actions)
            return
        look = work.deadline
        if work.state is WorkState.IN_FLIGHT and self._may_try_again(work, now):
            look = min(look, self._try_again(work, now, actions))
        self._core.ledger.timers.arm(work, look)

    def serve_late(self, instance: InstanceState, now: float, actions: list[Action]) -> None:
        """Hedges searches that waited for room; they come before the queue.

        Args:
            instance: The instance whose replicas may have room now.
            now: Clock reading in seconds.
            actions: Receives orders.
        """
        for work in list(instance.late):
            if not instance.has_room(now):
                return
            if len(work.exchanges) != 1 or not self._may_try_again(work, now):
                del instance.late[work]
                continue
            self._hedge(work, now, actions)

    def _may_try_again(self, work: Work, now: float) -> bool:
        if work.is_run or work.tries >= MAX_TRIES:
            return False
        return not self._core.quarantine.suspects(work.fingerprint, now)

    def _try_again(self, work: Work, now: float, actions: list[Action]) -> float:
        """Hedges or replaces if possible; returns the clock reading of the next look."""
        instance = work.instance
        oldest = work.exchanges[0]
        silent_at = oldest.sent_at + silent_delay(instance)
        if len(work.exchanges) > 1:
            # When the hedge is late as well, the first try is later than the history allows.
            silent_at = min(silent_at, work.exchanges[-1].sent_at + hedge_delay(instance))
        if now >= silent_at and not work.replaced:
            if self._replace(work, now, actions):
                return now + hedge_delay(instance)
            return now + RECHECK_S
        if len(work.exchanges) > 1:
            return silent_at if not work.replaced else work.deadline
        if self._hedge(work, now, actions):
            return now + hedge_delay(instance)
        return now + max(RECHECK_S, instance.typical / 2)

    def _hedge(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends a late search to another replica, if that may still answer in time."""
        instance = work.instance
        typical = instance.typical
        free = [
            replica
            for replica in self._pump.usable(work, now)
            if replica.in_service
            and replica.has_room(now)
            and now + replica.expected(typical, now) < work.deadline
        ]
        upstream = self._core.choice.choose(free, 0, typical, now)
        if upstream is None:
            if not instance.overloaded:
                instance.late[work] = None
            return False
        instance.late.pop(work, None)
        if not self._core.pay(work, now):
            return False
        self._core.counts.hedges += 1
        self._core.ledger.send(work, upstream, now, actions, upstream.wants_fresh_connection)
        return True

    def _replace(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends a search again on a new connection and gives the silent one up."""
        oldest = work.exchanges[0]
        upstream = oldest.upstream
        if not upstream.in_service or upstream.exclusive is not None:
            return False
        self._core.budget(work.instance.service).on_fault()
        if not self._core.pay(work, now):
            return False
        work.replaced = True
        self._core.counts.replacements += 1
        # The order comes before the cancel, so that the transport sees which one was silent.
        self._core.ledger.send(work, upstream, now, actions, fresh=True)
        self._core.ledger.abandon(oldest, now, actions)
        self._core.log.log(CONNECTIONS_SUSPECTED, upstream=upstream.name)
        return True
