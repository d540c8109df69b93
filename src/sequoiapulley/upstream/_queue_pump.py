"""Sends queued work to replicas that have capacity."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.ids import Fingerprint
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream._dispatch_core import DispatchCore
from sequoiapulley.upstream._work import Work, WorkState
from sequoiapulley.upstream.directory import InstanceState
from sequoiapulley.upstream.ejection import may_eject
from sequoiapulley.upstream.hedging import hedge_delay
from sequoiapulley.upstream.log_events import EJECTION_WITHHELD, UPSTREAM_EJECTED
from sequoiapulley.upstream.messages import Action, SubRun, SubSearch
from sequoiapulley.upstream.overload import Admission
from sequoiapulley.upstream.upstream_health import HealthState
from sequoiapulley.upstream.upstream_state import UpstreamState

MAX_SKIPPED: Final = 16
"""Maximum number of queued requests to skip in one pass because no free replica suits them."""
QUEUE_POLL_S: Final = 0.002
"""Delay until a queue is processed again if requests were skipped, or if nothing is in flight whose
end would trigger it."""
PROBE_TIME_FACTOR: Final = 4.0
"""Time that a probe of an ejected upstream must have left, as a multiple of the median latency."""


class QueuePump:
    """Sends the work in the queue of an instance to upstreams."""

    def __init__(self, core: DispatchCore) -> None:
        """Creates a pump.

        Args:
            core: State shared with the other components.
        """
        self._core = core
        self._admission = Admission(core)
        self._isolated_work: dict[Fingerprint, Work] = {}
        self.send_waiting_hedges: Callable[[InstanceState, float, list[Action]], None] = (
            _send_no_hedges
        )
        """Sends the hedged requests that wait for capacity."""

    def submit(self, work: Work, now: float, actions: list[Action]) -> None:
        """Sends new work, queues it or refuses it."""
        self._core.registry.add(work)
        if work.deadline <= now:
            self._core.fail_work(work, MissingReason.DEADLINE, now, actions)
            return
        if self._core.quarantine.is_refused(work.fingerprint, now):
            self._core.fail_work(work, MissingReason.QUARANTINED, now, actions)
            return
        instance = work.instance
        if not self._admission.admit(work, now, actions):
            return
        if not len(instance.queue) and self._dispatch(work, now, actions):
            return
        self.resubmit(work, now, actions)

    def resubmit(self, work: Work, now: float, actions: list[Action]) -> None:
        """Queues work for its first or a further try."""
        work.instance.queue.push(work)
        self._core.registry.timers.arm(work, work.deadline)
        self.pump(work.instance, now, actions)

    def pump(self, instance: InstanceState, now: float, actions: list[Action]) -> None:
        """Sends as much queued work as the replicas have capacity for.

        Args:
            instance: The instance whose replicas or queue changed.
            now: Clock reading in seconds.
            actions: List to which actions are appended.
        """
        if instance.degraded:
            self._maintain_replicas(instance, now, actions)
        if instance.awaiting_hedge:
            self.send_waiting_hedges(instance, now, actions)
        queue = instance.queue
        if not len(queue):
            return
        skipped: list[Work] = []
        while len(skipped) < MAX_SKIPPED and instance.has_room(now):
            work = queue.pop()
            if work is None:
                break
            if not self._dispatch(work, now, actions):
                skipped.append(work)
        for work in skipped:
            queue.push(work)
        if skipped or not any(replica.in_flight for replica in instance.replicas):
            self._schedule_wake(instance, now)

    def _maintain_replicas(
        self, instance: InstanceState, now: float, actions: list[Action]
    ) -> None:
        """Ejects outliers and sends suspected work to the upstreams reserved for it."""
        for replica in instance.replicas:
            if replica.health.failure_weight:
                self._eject_if_due(replica, instance, now)
            if replica.reserved_for is not None:
                self._send_reserved(replica, now, actions)
        instance.update_degraded(now)

    def usable(self, work: Work, now: float) -> list[UpstreamState]:
        """Returns the replicas that may serve work, ejected ones only if there is no other.

        Args:
            work: The work; replicas in `Work.tried` are excluded.
            now: Clock reading in seconds.

        Returns:
            Replicas, with or without capacity.
        """
        tried = work.tried
        found = [
            replica
            for replica in work.instance.replicas
            if not replica.drain.draining
            and replica.limit.ceiling > 0
            and replica.name not in tried
        ]
        sub = work.sub
        if isinstance(sub, SubSearch) and sub.snapshot is not None:
            found = [replica for replica in found if replica.may_serve(sub.snapshot, now)]
        serving = [replica for replica in found if replica.health.state is HealthState.IN_SERVICE]
        return serving or found

    def _dispatch(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends work, reserves an upstream for it or finishes it; returns False if none applies."""
        if self._admission.drop_if_late(work, now, actions):
            return True
        instance = work.instance
        quarantine = self._core.quarantine
        healthy = not instance.degraded and not work.tried and not quarantine.has_suspects
        if healthy and _all_may_serve(instance, work, now):
            return self._dispatch_healthy(work, now, actions)
        usable = self.usable(work, now)
        if not usable:
            self._core.fail_work(work, _reason_without_replica(work, now), now, actions)
            return True
        if quarantine.must_isolate(work.fingerprint, instance.key, now):
            return self._isolate(work, usable, now, actions)
        probe = self._probe_for(work, now)
        if probe is not None:
            self._send(work, probe, now, actions)
            return True
        upstream = self._core.selector.choose(
            usable, len(instance.queue), instance.median_latency, now
        )
        if upstream is None:
            return False
        self._send(work, upstream, now, actions)
        return True

    def _dispatch_healthy(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends work whose replicas are all healthy, if one of them has capacity."""
        instance = work.instance
        upstream = self._core.selector.choose_healthy(
            instance.replicas, len(instance.queue), instance.median_latency, now
        )
        if upstream is None:
            return False
        self._send(work, upstream, now, actions)
        return True

    def _send(self, work: Work, upstream: UpstreamState, now: float, actions: list[Action]) -> None:
        core = self._core
        if not work.tries:
            core.counts.first_tries += 1
            core.budget(work.instance.service).on_first_try(now)
        fresh = upstream.needs_fresh_connection or upstream.reserved_for is work
        core.registry.send(work, upstream, now, actions, fresh)
        next_check = work.deadline
        if not work.is_run:
            next_check = min(next_check, now + hedge_delay(work.instance))
        core.registry.timers.arm(work, next_check)

    def _probe_for(self, work: Work, now: float) -> UpstreamState | None:
        """Returns an ejected replica that is due for a probe, if the work may serve as the probe.

        The work must be an untried search with enough time left to be hedged.
        """
        if work.is_run or work.tries:
            return None
        if work.deadline - now < PROBE_TIME_FACTOR * work.instance.median_latency:
            return None
        for replica in work.instance.replicas:
            if replica.health.failure_weight and replica.probe_due(now) and replica.has_room(now):
                return replica
        return None

    def _isolate(
        self, work: Work, usable: list[UpstreamState], now: float, actions: list[Action]
    ) -> bool:
        """Reserves an upstream for suspected work, for one request of a fingerprint at a time.

        Upstreams without a strike against the request are preferred, as one loss there suffices
        for the second strike.
        """
        other = self._isolated_work.get(work.fingerprint)
        if other is not None and _is_isolated(other):
            return False
        free = [upstream for upstream in usable if upstream.reserved_for is None]
        if not free:
            return False
        struck = self._core.quarantine.struck_upstreams(work.fingerprint, now)
        upstream = min(free, key=lambda found: (found.name in struck, found.in_flight))
        self._isolated_work = {
            key: kept for key, kept in self._isolated_work.items() if _is_isolated(kept)
        }
        self._isolated_work[work.fingerprint] = work
        work.instance.degraded = True
        upstream.reserved_for = work
        work.reserved_on = upstream
        work.state = WorkState.RESERVED
        self._send_reserved(upstream, now, actions)
        return True

    def _send_reserved(self, upstream: UpstreamState, now: float, actions: list[Action]) -> None:
        """Sends the work for which an upstream is reserved once nothing else is in flight there.

        If the upstream drains or may no longer be used, the work is queued again.
        """
        work = upstream.reserved_for
        if work is None or work.state is not WorkState.RESERVED:
            return
        if upstream.drain.draining or not upstream.limit.ceiling:
            self._core.registry.unreserve(work)
            work.instance.queue.push(work)
            return
        if upstream.in_flight:
            return
        if not self._admission.drop_if_late(work, now, actions):
            self._send(work, upstream, now, actions)

    def _eject_if_due(self, upstream: UpstreamState, instance: InstanceState, now: float) -> None:
        health = upstream.health
        if not health.should_eject or health.state is HealthState.EJECTED:
            return
        log = self._core.log
        if may_eject(upstream, instance.replicas, now):
            health.eject(now)
            log.log(UPSTREAM_EJECTED, upstream=upstream.name, seconds=health.ejected_until - now)
            return
        log.log(EJECTION_WITHHELD, upstream=upstream.name)
        health.reset_failures()

    def _schedule_wake(self, instance: InstanceState, now: float) -> None:
        """Schedules the next pass over a queue, unless it is empty or a pass is scheduled."""
        if not len(instance.queue) or (instance.due is not None and instance.due > now):
            return
        self._core.wake_timers.arm(instance, now + QUEUE_POLL_S)


def _send_no_hedges(instance: InstanceState, now: float, actions: list[Action]) -> None:
    """Sends nothing; in place until `Hedging` sets its own function."""


def _all_may_serve(instance: InstanceState, work: Work, now: float) -> bool:
    """Returns whether every replica may serve the snapshot that the work requests."""
    sub = work.sub
    if isinstance(sub, SubRun) or sub.snapshot is None:
        return True
    for replica in instance.replicas:
        if replica.available and not replica.may_serve(sub.snapshot, now):
            return False
    return True


def _reason_without_replica(work: Work, now: float) -> MissingReason:
    """Returns why no replica may serve work: a failed try, its snapshot, or no replica at all."""
    if work.reason is not None:
        return work.reason
    sub = work.sub
    if isinstance(sub, SubSearch):
        for replica in work.instance.replicas:
            if replica.accepts_work and not replica.may_serve(sub.snapshot, now):
                return MissingReason.SNAPSHOT
    return MissingReason.NO_REPLICA


def _is_isolated(work: Work) -> bool:
    """Returns whether work waits for an upstream reserved for it or is in flight on one."""
    if work.state is WorkState.RESERVED:
        return True
    return work.state is WorkState.IN_FLIGHT and any(item.isolated for item in work.exchanges)
