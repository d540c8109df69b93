"""Admission control for the queue of one instance; refuses work that cannot meet its deadline."""

from __future__ import annotations

from typing import Final

from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._work import Work
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.log_events import OVERLOAD_BEGAN, OVERLOAD_ENDED
from sequoiapulley.upstream.messages import Action

OVERLOAD_QUIET_S: Final = 2.0
"""Time without a refusal after which an overload has ended."""
NORMAL_QUEUE_SHARE: Final = 0.9
"""Fraction of its remaining time that new work may spend in the queue and in its exchange."""
OVERLOAD_QUEUE_SHARE: Final = 0.6
"""The same fraction during overload, which keeps the standing queue short."""


class Admission:
    """Refuses work early, preferably that of the caller with the most queued work."""

    def __init__(self, core: DispatchCore) -> None:
        """Creates the admission control.

        Args:
            core: State shared with the other components.
        """
        self._core = core

    def admit(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Decides whether new work is accepted; other queued work may be refused in its favour.

        Args:
            work: New work, not yet queued.
            now: Clock reading in seconds.
            actions: List to which the outcome of refused work is appended.

        Returns:
            Whether the work may be queued; otherwise it is finished.
        """
        instance = work.instance
        if self._core.registry.shares.exceeds_share(instance.service):
            self._mark_overloaded(instance, now)
            self._core.fail_work(work, MissingReason.OVERLOAD, now, actions)
            return False
        if self._fits(instance, work, now):
            return True
        self._mark_overloaded(instance, now)
        victim = None
        # Work without enough time for its own exchange replaces no other work.
        if work.deadline - now > instance.median_latency + instance.mean_latency:
            victim = instance.queue.victim_for(work.sub.caller)
        if victim is None:
            self._core.fail_work(work, MissingReason.OVERLOAD, now, actions)
            return False
        self._core.fail_work(victim, _drop_reason(victim), now, actions)
        return True

    def drop_if_late(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Finishes work that has too little time left for an exchange, before it is sent.

        During overload the 90th percentile of the latency must fit into the time left. Otherwise
        the 10th percentile suffices, as the slot would be idle without this work.

        Args:
            work: Work that would be sent now.
            now: Clock reading in seconds.
            actions: List to which the outcome is appended.

        Returns:
            Whether the work was finished.
        """
        instance = work.instance
        figures = instance.latency.figures
        if figures is None:
            return False
        needed = figures.p90 if self._update_overloaded(instance, now) else figures.p10
        if work.deadline - now > needed:
            return False
        self._mark_overloaded(instance, now)
        self._core.fail_work(work, _drop_reason(work), now, actions)
        return True

    def _fits(self, instance: InstanceState, work: Work, now: float) -> bool:
        """Returns whether new work is expected to be answered in its share of the time left.

        Work with a later deadline is normally served after it, so if the whole queue takes too
        long, only the work due by its deadline is counted.
        """
        queued = len(instance.queue)
        if not queued:
            return True
        time_per_request = instance.mean_latency / max(1, instance.capacity(now))
        share = (
            OVERLOAD_QUEUE_SHARE if self._update_overloaded(instance, now) else NORMAL_QUEUE_SHARE
        )
        time_for_queue = share * (work.deadline - now) - instance.median_latency
        if (queued + 1) * time_per_request <= time_for_queue:
            return True
        return (instance.queue.count_due_by(work.deadline) + 1) * time_per_request <= time_for_queue

    def _mark_overloaded(self, instance: InstanceState, now: float) -> None:
        if not instance.overloaded:
            self._core.log.log(OVERLOAD_BEGAN, service=instance.service, instance=instance.name)
        instance.overloaded = True
        instance.last_refusal_at = now

    def _update_overloaded(self, instance: InstanceState, now: float) -> bool:
        """Ends an overload without recent refusals; returns whether the instance is overloaded."""
        if instance.overloaded and now - instance.last_refusal_at > OVERLOAD_QUIET_S:
            instance.overloaded = False
            self._core.log.log(OVERLOAD_ENDED, service=instance.service, instance=instance.name)
        return instance.overloaded


def _drop_reason(work: Work) -> MissingReason:
    """Returns why work is dropped: overload if it was never sent, its deadline otherwise."""
    return MissingReason.DEADLINE if work.tried else MissingReason.OVERLOAD
