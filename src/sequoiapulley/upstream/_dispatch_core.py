"""What the parts of the dispatch decisions share."""

from __future__ import annotations

from random import Random

from sequoiapulley.ids import Fingerprint, ServiceName
from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.search.messages import LackReason
from sequoiapulley.upstream._ledger import Ledger
from sequoiapulley.upstream._timer_heap import TimerHeap
from sequoiapulley.upstream._work import Work
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.directory import Directory, InstanceState
from sequoiapulley.upstream.dispatch_counts import DispatchCounts
from sequoiapulley.upstream.log_events import BUDGET_SPENT, REQUEST_QUARANTINED
from sequoiapulley.upstream.messages import Action, SubRun
from sequoiapulley.upstream.outcomes import REFUSAL_BY_LACK, lacking, not_run, unknown
from sequoiapulley.upstream.quarantine import Quarantine
from sequoiapulley.upstream.replica_choice import ReplicaChoice
from sequoiapulley.upstream.retry_budget import RetryBudget


class DispatchCore:
    """State of one home's dispatch, and the ways to end work."""

    def __init__(self, codec: ExchangeCodec, log: LogSink, seed: int) -> None:
        """Initialise without upstreams.

        Args:
            codec: Encodes requests and decodes replies.
            log: Sink of numbered events.
            seed: Seed of the random choices.
        """
        self.codec = codec
        self.log = log
        self.counts = DispatchCounts()
        self.directory = Directory()
        self.ledger = Ledger(codec, self.counts)
        self.quarantine = Quarantine()
        self.choice = ReplicaChoice(Random(seed))
        self.wakes: TimerHeap[InstanceState] = TimerHeap()
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def budget(self, service: ServiceName) -> RetryBudget:
        """Returns the budget for retries and hedges of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def pay(self, work: Work, now: float) -> bool:
        """Takes a token for one extra try of some work; returns whether there was one."""
        budget = self.budget(work.instance.service)
        if budget.take():
            return True
        self.counts.budget_denied += 1
        if budget.tell_denial(now):
            self.log.log(BUDGET_SPENT, service=work.instance.service)
        return False

    def give_up(self, work: Work, reason: LackReason, now: float, actions: list[Action]) -> None:
        """Finishes work without an answer; a run in flight may have run.

        Args:
            work: The work.
            reason: Why there is no answer.
            now: Clock reading in seconds.
            actions: Receives the outcome and the cancels.
        """
        sub = work.sub
        if reason is LackReason.OVERLOAD and not work.tried:
            self.counts.refused += 1
        if reason is LackReason.QUARANTINED:
            self.counts.quarantined += 1
        if not isinstance(sub, SubRun):
            actions.append(lacking(sub, reason, available_at(work.instance)))
        elif work.exchanges:
            actions.append(unknown(sub))
        else:
            actions.append(not_run(sub, REFUSAL_BY_LACK[reason]))
        self.ledger.close(work, now, actions)

    def refuse_everywhere(
        self, fingerprint: Fingerprint, now: float, actions: list[Action]
    ) -> None:
        """Finishes all work with a quarantined fingerprint, but for runs in flight."""
        self.log.log(REQUEST_QUARANTINED, fingerprint=fingerprint)
        for work in self.ledger.all_work():
            if work.fingerprint != fingerprint or (work.is_run and work.exchanges):
                continue
            self.give_up(work, LackReason.QUARANTINED, now, actions)


def available_at(instance: InstanceState) -> tuple[Snapshot, ...]:
    """Returns the snapshots that the replicas of an instance were last seen to serve."""
    found: set[Snapshot] = set()
    for replica in instance.replicas:
        found.update(replica.available)
        found.update(replica.reported_available)
    return tuple(sorted(found))
