"""Admission at the queue of one instance: what cannot finish in time is refused at once."""

from __future__ import annotations

from typing import Final

from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._work import Work
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.log_events import OVERLOAD_BEGAN, OVERLOAD_ENDED
from sequoiapulley.upstream.messages import Action

QUIET_S: Final = 2.0
"""Time without a refusal after which an overload is over."""
BURST_SHARE: Final = 0.9
"""Share of the time left that new work may spend in the queue."""
OVERLOAD_SHARE: Final = 0.6
"""The same while the instance is overloaded, to keep the standing queue short."""


class Admission:
    """Refuses early, and takes refusals from the caller that holds the most of the queue."""

    def __init__(self, core: DispatchCore) -> None:
        """Initialise the admission.

        Args:
            core: Shared state.
        """
        self._core = core

    def admit(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Decides whether new work may wait for its turn.

        Args:
            work: New work, not yet queued.
            now: Clock reading in seconds.
            actions: Receives the outcome of work that is refused.

        Returns:
            Whether the work may be queued; otherwise it is finished.
        """
        instance = work.instance
        if self._core.ledger.shares.exceeds(instance.service):
            self._mark(instance, now)
            self._core.give_up(work, LackReason.OVERLOAD, now, actions)
            return False
        if self._fits(instance, work, now):
            return True
        self._mark(instance, now)
        victim = None
        # Work with no time for its own exchange takes nobody's turn.
        if work.deadline - now > instance.typical + instance.mean:
            victim = instance.queue.victim_for(work.sub.caller)
        if victim is None:
            self._core.give_up(work, LackReason.OVERLOAD, now, actions)
            return False
        self._core.give_up(victim, _reason(victim), now, actions)
        return True

    def drop_if_late(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Finishes work that has no time left for an exchange, before it is sent.

        Under overload nine in ten exchanges must fit into the time left; otherwise one in ten,
        as a slot would stay free.

        Args:
            work: Work that would be sent now.
            now: Clock reading in seconds.
            actions: Receives the outcome.

        Returns:
            Whether the work was finished.
        """
        instance = work.instance
        figures = instance.latency.figures
        if figures is None:
            return False
        needed = figures.p90 if self._overloaded(instance, now) else figures.p10
        if work.deadline - now > needed:
            return False
        self._mark(instance, now)
        self._core.give_up(work, _reason(work), now, actions)
        return True

    def _fits(self, instance: InstanceState, work: Work, now: float) -> bool:
        queued = len(instance.queue)
        if not queued:
            return True
        turn = instance.mean / max(1, instance.capacity(now))
        share = OVERLOAD_SHARE if self._overloaded(instance, now) else BURST_SHARE
        time_for_queue = share * (work.deadline - now) - instance.typical
        if (queued + 1) * turn <= time_for_queue:
            return True
        return (instance.queue.ahead_of(work.deadline) + 1) * turn <= time_for_queue

    def _mark(self, instance: InstanceState, now: float) -> None:
        if not instance.overloaded:
            self._core.log.log(OVERLOAD_BEGAN, service=instance.service, instance=instance.name)
        instance.overloaded = True
        instance.refused_at = now

    def _overloaded(self, instance: InstanceState, now: float) -> bool:
        if instance.overloaded and now - instance.refused_at > QUIET_S:
            instance.overloaded = False
            self._core.log.log(OVERLOAD_ENDED, service=instance.service, instance=instance.name)
        return instance.overloaded


def _reason(work: Work) -> LackReason:
    """Returns why work is dropped: never sent is overload, otherwise time ran out."""
    return LackReason.DEADLINE if work.tried else LackReason.OVERLOAD
