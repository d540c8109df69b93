"""State shared by the components of the dispatcher."""

from __future__ import annotations

from random import Random

from sequoiapulley.ids import Fingerprint, ServiceName
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.quarantine import Quarantine
from sequoiapulley.search.messages import MissingReason
from sequoiapulley.upstream._timer_heap import TimerHeap
from sequoiapulley.upstream._work import Work
from sequoiapulley.upstream._work_registry import WorkRegistry
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.directory import Directory, InstanceState
from sequoiapulley.upstream.dispatch_counts import DispatchCounts
from sequoiapulley.upstream.log_events import BUDGET_SPENT, REQUEST_QUARANTINED
from sequoiapulley.upstream.messages import Action, SubRun
from sequoiapulley.upstream.outcomes import (
    REFUSAL_BY_MISSING,
    missing_outcome,
    not_run_outcome,
    unknown_outcome,
)
from sequoiapulley.upstream.replica_selector import ReplicaSelector
from sequoiapulley.upstream.retry_budget import RetryBudget


class DispatchCore:
    """State of one home node's dispatcher, and the methods that finish work without an answer."""

    def __init__(self, codec: ExchangeCodec, log: LogSink, seed: int) -> None:
        """Creates the state of a dispatcher without upstreams.

        Args:
            codec: Encodes requests and decodes replies.
            log: Sink of numbered events.
            seed: Seed of the random choices.
        """
        self.codec = codec
        self.log = log
        self.counts = DispatchCounts()
        self.directory = Directory()
        self.registry = WorkRegistry(codec, self.counts)
        self.quarantine = Quarantine()
        self.selector = ReplicaSelector(Random(seed))
        self.wake_timers: TimerHeap[InstanceState] = TimerHeap()
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def budget(self, service: ServiceName) -> RetryBudget:
        """Returns the budget for retries and hedged requests of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def take_retry_token(self, work: Work, now: float) -> bool:
        """Takes a token for one more try of some work; returns whether one was available."""
        budget = self.budget(work.instance.service)
        if budget.take_token():
            return True
        self.counts.budget_denied += 1
        if budget.should_log_denial(now):
            self.log.log(BUDGET_SPENT, service=work.instance.service)
        return False

    def fail_work(
        self, work: Work, reason: MissingReason, now: float, actions: list[Action]
    ) -> None:
        """Finishes work without an answer; a run that is in flight has the outcome unknown.

        Args:
            work: The work.
            reason: Why there is no answer.
            now: Clock reading in seconds.
            actions: List to which the outcome and the cancellations are appended.
        """
        sub = work.sub
        if reason is MissingReason.OVERLOAD and not work.tried:
            self.counts.refused += 1
        if reason is MissingReason.QUARANTINED:
            self.counts.quarantined += 1
        if not isinstance(sub, SubRun):
            actions.append(missing_outcome(sub, reason, available_snapshots(work.instance)))
        elif work.exchanges:
            actions.append(unknown_outcome(sub))
        else:
            actions.append(not_run_outcome(sub, REFUSAL_BY_MISSING[reason]))
        self.registry.close(work, now, actions)

    def fail_quarantined(self, fingerprint: Fingerprint, now: float, actions: list[Action]) -> None:
        """Finishes all work with a quarantined fingerprint, except runs in flight."""
        self.log.log(REQUEST_QUARANTINED, fingerprint=fingerprint)
        for work in self.registry.all_work():
            if work.fingerprint != fingerprint or (work.is_run and work.exchanges):
                continue
            self.fail_work(work, MissingReason.QUARANTINED, now, actions)


def available_snapshots(instance: InstanceState) -> tuple[Snapshot, ...]:
    """Returns the snapshots in the latest lists of the replicas of an instance."""
    found: set[Snapshot] = set()
    for replica in instance.replicas:
        found.update(replica.available)
        found.update(replica.reported_available)
    return tuple(sorted(found))
