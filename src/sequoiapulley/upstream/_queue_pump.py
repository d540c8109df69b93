"""Sends queued work to replicas that have room."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.ids import Fingerprint
from sequoiapulley.search.messages import LackReason
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

MAX_HELD: Final = 16
"""Queued work that is passed over in one turn, as the free replicas do not suit it."""
POLL_S: Final = 0.002
"""Next look at a queue that no event will move."""
PROBE_TIME_FACTOR: Final = 4.0
"""A probe of an ejected upstream has this many typical latencies of time left."""


class QueuePump:
    """Moves work from the queue of its instance to upstreams."""

    def __init__(self, core: DispatchCore) -> None:
        """Initialise the pump.

        Args:
            core: Shared state.
        """
        self._core = core
        self._admission = Admission(core)
        self._isolated: dict[Fingerprint, Work] = {}
        self.serve_late: Callable[[InstanceState, float, list[Action]], None] = _serve_none
        """Sends the hedges that wait for room."""

    def submit(self, work: Work, now: float, actions: list[Action]) -> None:
        """Sends new work, queues it or refuses it."""
        self._core.ledger.add(work)
        if work.deadline <= now:
            self._core.give_up(work, LackReason.DEADLINE, now, actions)
            return
        if self._core.quarantine.refuses(work.fingerprint, now):
            self._core.give_up(work, LackReason.QUARANTINED, now, actions)
            return
        instance = work.instance
        if not self._admission.admit(work, now, actions):
            return
        if not len(instance.queue) and self._place(work, now, actions):
            return
        self.resubmit(work, now, actions)

    def resubmit(self, work: Work, now: float, actions: list[Action]) -> None:
        """Queues work for its first or another try."""
        work.instance.queue.push(work)
        self._core.ledger.timers.arm(work, work.deadline)
        self.pump(work.instance, now, actions)

    def pump(self, instance: InstanceState, now: float, actions: list[Action]) -> None:
        """Sends what can be sent now.

        Args:
            instance: The instance whose replicas or queue changed.
            now: Clock reading in seconds.
            actions: Receives orders and outcomes.
        """
        if instance.troubled:
            self._look_after(instance, now, actions)
        if instance.late:
            self.serve_late(instance, now, actions)
        queue = instance.queue
        if not len(queue):
            return
        held: list[Work] = []
        while len(held) < MAX_HELD and instance.has_room(now):
            work = queue.pop()
            if work is None:
                break
            if not self._place(work, now, actions):
                held.append(work)
        for work in held:
            queue.push(work)
        if held or not any(replica.in_flight for replica in instance.replicas):
            self._wake_soon(instance, now)

    def _look_after(self, instance: InstanceState, now: float, actions: list[Action]) -> None:
        """Ejects outliers and serves upstreams that are kept for suspected work."""
        for replica in instance.replicas:
            if replica.health.failures:
                self._eject_if_due(replica, instance, now)
            if replica.exclusive is not None:
                self._serve_exclusive(replica, now, actions)
        instance.settle(now)

    def usable(self, work: Work, now: float) -> list[UpstreamState]:
        """Lists the replicas that may serve work, ejected ones only if there is no other.

        Args:
            work: The work; replicas that it tried are left out.
            now: Clock reading in seconds.

        Returns:
            Replicas, with or without room.
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

    def _place(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends, reserves or finishes work; returns whether one of them was done."""
        if self._admission.drop_if_late(work, now, actions):
            return True
        instance = work.instance
        quarantine = self._core.quarantine
        plain = not instance.troubled and not work.tried and not quarantine.has_suspects
        if plain and _all_serve(instance, work, now):
            return self._place_plain(work, now, actions)
        usable = self.usable(work, now)
        if not usable:
            self._core.give_up(work, _lack_without_replica(work, now), now, actions)
            return True
        if quarantine.must_run_alone(work.fingerprint, instance.key, now):
            return self._isolate(work, usable, now, actions)
        probe = self._probe_for(work, now)
        if probe is not None:
            self._send(work, probe, now, actions)
            return True
        upstream = self._core.choice.choose(usable, len(instance.queue), instance.typical, now)
        if upstream is None:
            return False
        self._send(work, upstream, now, actions)
        return True

    def _place_plain(self, work: Work, now: float, actions: list[Action]) -> bool:
        """Sends work whose instance has nothing out of the ordinary, if there is room."""
        instance = work.instance
        upstream = self._core.choice.choose_plain(
            instance.replicas, len(instance.queue), instance.typical, now
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
        fresh = upstream.wants_fresh_connection or upstream.exclusive is work
        core.ledger.send(work, upstream, now, actions, fresh)
        look = work.deadline
        if not work.is_run:
            look = min(look, now + hedge_delay(work.instance))
        core.ledger.timers.arm(work, look)

    def _probe_for(self, work: Work, now: float) -> UpstreamState | None:
        """Returns an ejected replica whose probe the work can be, if it can be hedged in time."""
        if work.is_run or work.tries:
            return None
        if work.deadline - now < PROBE_TIME_FACTOR * work.instance.typical:
            return None
        for replica in work.instance.replicas:
            if replica.health.failures and replica.probe_due(now) and replica.has_room(now):
                return replica
        return None

    def _isolate(
        self, work: Work, usable: list[UpstreamState], now: float, actions: list[Action]
    ) -> bool:
        """Gives suspected work an upstream for itself, one work of a fingerprint at a time."""
        other = self._isolated.get(work.fingerprint)
        if other is not None and _is_isolated(other):
            return False
        free = [upstream for upstream in usable if upstream.exclusive is None]
        if not free:
            return False
        struck = self._core.quarantine.struck_upstreams(work.fingerprint, now)
        upstream = min(free, key=lambda found: (found.name in struck, found.in_flight))
        self._isolated = {key: kept for key, kept in self._isolated.items() if _is_isolated(kept)}
        self._isolated[work.fingerprint] = work
        work.instance.troubled = True
        upstream.exclusive = work
        work.reserved_on = upstream
        work.state = WorkState.RESERVED
        self._serve_exclusive(upstream, now, actions)
        return True

    def _serve_exclusive(self, upstream: UpstreamState, now: float, actions: list[Action]) -> None:
        """Sends reserved work once its upstream has run empty, or frees it if that leaves."""
        work = upstream.exclusive
        if work is None or work.state is not WorkState.RESERVED:
            return
        if upstream.drain.draining or not upstream.limit.ceiling:
            self._core.ledger.unreserve(work)
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
            log.log(UPSTREAM_EJECTED, upstream=upstream.name, seconds=health.until - now)
            return
        log.log(EJECTION_WITHHELD, upstream=upstream.name)
        health.on_success()

    def _wake_soon(self, instance: InstanceState, now: float) -> None:
        """Looks again soon, as time and not the end of an exchange makes room."""
        if not len(instance.queue) or (instance.due is not None and instance.due > now):
            return
        self._core.wakes.arm(instance, now + POLL_S)


def _serve_none(instance: InstanceState, now: float, actions: list[Action]) -> None:
    """Sends nothing."""


def _all_serve(instance: InstanceState, work: Work, now: float) -> bool:
    """Returns whether every replica may serve the snapshot of some work."""
    sub = work.sub
    if isinstance(sub, SubRun) or sub.snapshot is None:
        return True
    for replica in instance.replicas:
        if replica.available and not replica.may_serve(sub.snapshot, now):
            return False
    return True


def _lack_without_replica(work: Work, now: float) -> LackReason:
    """Returns why no replica may serve work: the failed try, the snapshot, or none is there."""
    if work.reason is not None:
        return work.reason
    sub = work.sub
    if isinstance(sub, SubSearch):
        for replica in work.instance.replicas:
            if replica.in_service and not replica.may_serve(sub.snapshot, now):
                return LackReason.SNAPSHOT
    return LackReason.NO_REPLICA


def _is_isolated(work: Work) -> bool:
    """Returns whether work waits for an upstream of its own or runs on one."""
    if work.state is WorkState.RESERVED:
        return True
    return work.state is WorkState.IN_FLIGHT and any(item.alone for item in work.exchanges)
