"""Request state machine of the entry node: claims the key, runs once, records the outcome."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from secrets import randbits
from typing import Final

from msgspec.structs import replace

from sequoiapulley.ids import (
    IdempotencyKey,
    Incarnation,
    InstanceName,
    NodeId,
    ServiceName,
)
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.store import Store
from sequoiapulley.requests.attempt import Attempt, AttemptState
from sequoiapulley.requests.attempt_table import AttemptTable
from sequoiapulley.requests.claim_acquirer import (
    ClaimFailed,
    ClaimHeld,
    ClaimNotLocal,
    ClaimResult,
    ClaimUnreadable,
    ClaimWon,
)
from sequoiapulley.requests.claim_record import (
    MAX_OUTCOME_BYTES,
    ClaimRecord,
    ClaimState,
    claim_key,
    make_claim,
)
from sequoiapulley.requests.claim_registry import ClaimRegistry
from sequoiapulley.requests.log_events import (
    CLAIM_UNAVAILABLE,
    CLAIM_UNREADABLE,
    RUN_UNKNOWN,
)
from sequoiapulley.requests.messages import (
    KeyedRequest,
    RefusalReason,
    RequestOutcome,
    RunOrder,
    RunReport,
    RunState,
)
from sequoiapulley.requests.outcome_cache import OutcomeCache
from sequoiapulley.requests.outcomes import (
    done_outcome,
    earlier_outcome,
    refused_outcome,
    unknown_outcome,
)
from sequoiapulley.requests.store_claim_registry import StoreClaimRegistry
from sequoiapulley.requests.ticket_registry import TicketRegistry, is_ticket
from sequoiapulley.runtime import Clock
from sequoiapulley.search.home_resolver import HomeResolver

MAX_ATTEMPTS: Final = 4096
NETWORK_MARGIN_S: Final = 0.002
"""Time reserved for the network round trip between entry and home."""
MIN_ORDER_TIME_S: Final = 0.005
"""Minimum time left to send a run order; a claim that is not won by then is abandoned."""
LATE_REPORT_TIMEOUT_S: Final = 30.0
"""Time after the deadline during which a report is still recorded."""
CLAIM_TTL_S: Final = 2 * LATE_REPORT_TIMEOUT_S
"""Time after the deadline at which a claim expires."""
MAX_ATTEMPT_AGE_S: Final = 300.0
"""Maximum age of an attempt, by the wall clock, at which its run order is still sent."""
ID_RANDOM_BITS: Final = 31
ID_COUNTER_BITS: Final = 32


class RequestCoordinator:
    """Coordinates the non-idempotent requests of callers; each key runs at most once."""

    def __init__(
        self,
        store: Store,
        node: NodeId,
        incarnation: Incarnation,
        homes: HomeResolver,
        clock: Clock,
        send: Callable[[NodeId, RunOrder], bool],
        finish: Callable[[RequestOutcome], None],
        log: LogSink,
    ) -> None:
        """Initialise without a configuration.

        Args:
            store: The platform's store.
            node: Id of this node.
            incarnation: Incarnation of this node; it increases with every start.
            homes: Ranks the home nodes of an instance.
            clock: Source of time.
            send: Sends an order to a node at most once; returns False only if it was not sent.
            finish: Delivers the outcome to the caller.
            log: Receives the log events.
        """
        self._node = node
        self._incarnation = incarnation
        self._homes = homes
        self._clock = clock
        self._send = send
        self._finish = finish
        self._log = log
        self._store_claims = StoreClaimRegistry(store, node, incarnation, clock, log)
        self._tickets = TicketRegistry(node, incarnation)
        self._outcomes = OutcomeCache()
        # Run ids start at random, so that a late report to an earlier incarnation matches none.
        self._run_ids = count(randbits(ID_RANDOM_BITS) << ID_COUNTER_BITS)
        self._instances: dict[ServiceName, tuple[InstanceName, ...]] = {}
        self._attempts = AttemptTable()
        self._stopping = False

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._instances = {
            service.name: tuple(instance.name for instance in service.instances)
            for service in configuration.services.values()
        }

    def start(self, request: KeyedRequest) -> None:
        """Starts a request, or answers a retry with the outcome of the earlier attempt."""
        key = claim_key(request.service, request.key)
        expires = self._clock.wall() + request.deadline - self._clock.now() + CLAIM_TTL_S
        record = make_claim(request, self._node, self._incarnation, expires)
        cached = self._outcomes.get(key)
        if cached is not None:
            self._finish(earlier_outcome(request, record, cached))
            return
        earlier = self._attempts.get_by_key(key)
        if earlier is not None:
            self._finish(earlier_outcome(request, record, earlier.record))
            return
        reason = self._refusal_reason(request)
        if reason is not None:
            self._finish(refused_outcome(request, reason, key_checked=False))
            return
        run_id = next(self._run_ids)
        record = replace(record, claim_id=f"{record.claim_id}/{run_id}")
        attempt = Attempt(
            request, run_id, key, record, self._clock.wall(), self._registry_for(request)
        )
        self._attempts.add(attempt)
        self._attempts.set_timer(attempt, request.deadline - MIN_ORDER_TIME_S)
        self._attempts.set_timer(attempt, request.deadline)
        attempt.registry.acquire(
            request, key, record, lambda result: self._on_claim(attempt, result)
        )

    def on_report(self, node: NodeId, report: RunReport) -> None:
        """Processes the report of a home node; one that matches no order of this node is dropped.

        Args:
            node: The node that sent the report.
            report: The result of the run order.
        """
        attempt = self._attempts.get(report.run_id)
        if attempt is None or attempt.home != node:
            return
        if attempt.state not in (AttemptState.RUNNING, AttemptState.LATE):
            return
        if report.state is RunState.DONE:
            self._record_done(attempt, report.body)
            return
        if report.state is RunState.NOT_RUN and attempt.state is AttemptState.RUNNING:
            self._refuse_run(attempt, report.reason or RefusalReason.REFUSED_BY_UPSTREAM)
            return
        # After the deadline this includes `NOT_RUN`: the caller has received `unknown`, which means
        # that the key never runs again.
        self._record_unknown(attempt, report.reason)

    def on_node_lost(self, node: NodeId) -> None:
        """Records the outcome of every run order at a lost node as unknown."""
        for attempt in self._attempts.sent_to(node):
            self._record_unknown(attempt, RefusalReason.HOME_UNREACHABLE)

    def issue_ticket(self) -> IdempotencyKey:
        """Returns a new ticket: a key that runs only in this process, without the store."""
        return self._tickets.issue()

    def begin_shutdown(self) -> None:
        """Refuses new requests from now on; those in flight continue."""
        self._stopping = True

    def tick(self) -> None:
        """Answers requests at their deadline, retries writes and closes late run orders."""
        now = self._clock.now()
        for attempt in self._attempts.pop_due(now):
            self._on_timer(attempt, now)
        self._store_claims.tick()

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` must be called next, or None."""
        dues = (self._attempts.next_due(), self._store_claims.next_due())
        return min((due for due in dues if due is not None), default=None)

    def in_flight(self) -> int:
        """Returns the number of requests whose caller has not received an outcome."""
        return self._attempts.count_unanswered()

    def unrecorded_outcomes(self) -> int:
        """Returns the number of outcomes that the store has not confirmed."""
        return self._store_claims.pending()

    def _registry_for(self, request: KeyedRequest) -> ClaimRegistry:
        return self._tickets if is_ticket(request.key) else self._store_claims

    def _refusal_reason(self, request: KeyedRequest) -> RefusalReason | None:
        if self._stopping:
            return RefusalReason.SHUTTING_DOWN
        if len(self._attempts) >= MAX_ATTEMPTS:
            return RefusalReason.OVERLOAD
        if not self._instances.get(request.service):
            return RefusalReason.NO_REPLICA
        if request.deadline - self._clock.now() <= MIN_ORDER_TIME_S + NETWORK_MARGIN_S:
            return RefusalReason.DEADLINE
        return None

    def _on_claim(self, attempt: Attempt, result: ClaimResult) -> None:
        if attempt.state is AttemptState.ABANDONED:
            self._close_abandoned(attempt, result)
            return
        if isinstance(result, ClaimWon):
            attempt.revision = result.revision
            self._run(attempt)
            return
        if isinstance(result, ClaimHeld):
            self._on_held(attempt, result)
            return
        if isinstance(result, ClaimNotLocal):
            self._close_unknown(attempt, RefusalReason.TICKET_ELSEWHERE)
            return
        if isinstance(result, ClaimUnreadable):
            self._log.log(CLAIM_UNREADABLE, key=attempt.store_key)
            self._close_unknown(attempt, RefusalReason.STORE_UNAVAILABLE)
            return
        self._log.log(CLAIM_UNAVAILABLE, key=attempt.store_key)
        self._answer_not_run(attempt, RefusalReason.STORE_UNAVAILABLE)
        self._close_abandoned(attempt, result)

    def _close_abandoned(self, attempt: Attempt, result: ClaimResult) -> None:
        if isinstance(result, ClaimWon):
            attempt.revision = result.revision
            self._release(attempt)
            return
        if isinstance(result, ClaimFailed) and result.may_exist:
            self._release(attempt)
            return
        self._attempts.close(attempt)

    def _on_held(self, attempt: Attempt, held: ClaimHeld) -> None:
        def on_resolved(record: ClaimRecord) -> None:
            self._answer(attempt, earlier_outcome(attempt.request, attempt.record, record))
            self._attempts.close(attempt)

        attempt.state = AttemptState.RESOLVING
        attempt.registry.resolve(attempt.store_key, held, on_resolved)

    def _run(self, attempt: Attempt) -> None:
        request = attempt.request
        time_left = request.deadline - self._clock.now() - NETWORK_MARGIN_S
        # The monotonic clock may stop while the VM is suspended, so the wall clock is checked too.
        age = self._clock.wall() - attempt.started_wall
        if time_left < MIN_ORDER_TIME_S or age > MAX_ATTEMPT_AGE_S:
            self._refuse_run(attempt, RefusalReason.DEADLINE)
            return
        instances = self._instances.get(request.service, ())
        if not instances:
            self._refuse_run(attempt, RefusalReason.NO_REPLICA)
            return
        # The store key ends in a hash, which spreads the keys over the instances.
        instance = instances[int(attempt.store_key[-8:], 16) % len(instances)]
        order = attempt.make_run_order(instance, time_left)
        attempt.state = AttemptState.RUNNING
        for home in self._homes.homes_of(request.service, instance):
            attempt.home = home
            if self._send(home, order):
                return
        attempt.home = None
        self._refuse_run(attempt, RefusalReason.HOME_UNREACHABLE)

    def _on_timer(self, attempt: Attempt, now: float) -> None:
        if attempt.state is AttemptState.CLAIMING:
            self._answer_not_run(attempt, RefusalReason.STORE_UNAVAILABLE)
            attempt.state = AttemptState.ABANDONED
            return
        if now < attempt.request.deadline:
            return
        if attempt.state is AttemptState.RESOLVING:
            self._close_unknown(attempt, RefusalReason.IN_PROGRESS)
            return
        if attempt.state is AttemptState.RUNNING:
            self._log.log(RUN_UNKNOWN, key=attempt.store_key, home=attempt.home)
            self._answer(attempt, unknown_outcome(attempt.request, RefusalReason.DEADLINE))
            attempt.state = AttemptState.LATE
            attempt.closes_at = now + LATE_REPORT_TIMEOUT_S
            self._attempts.set_timer(attempt, attempt.closes_at)
            return
        if attempt.state is AttemptState.RECORDING:
            self._answer(attempt, done_outcome(attempt.request, attempt.answer))
            return
        if attempt.state is AttemptState.LATE and now >= attempt.closes_at:
            self._record_unknown(attempt, RefusalReason.DEADLINE)

    def _record_done(self, attempt: Attempt, body: str) -> None:
        fits = len(body.encode()) <= MAX_OUTCOME_BYTES
        attempt.state = AttemptState.RECORDING
        attempt.answer = body
        attempt.record = replace(
            attempt.record,
            state=ClaimState.DONE,
            body=body if fits else "",
            body_omitted=not fits,
        )
        self._outcomes.put(attempt.store_key, attempt.record)
        attempt.registry.record_outcome(
            attempt.store_key, attempt.record, attempt.revision, lambda: self._on_recorded(attempt)
        )

    def _on_recorded(self, attempt: Attempt) -> None:
        self._answer(attempt, done_outcome(attempt.request, attempt.answer))
        self._attempts.close(attempt)

    def _record_unknown(self, attempt: Attempt, reason: RefusalReason | None) -> None:
        self._log.log(RUN_UNKNOWN, key=attempt.store_key, home=attempt.home)
        attempt.record = replace(attempt.record, state=ClaimState.UNKNOWN, reason=reason)
        self._outcomes.put(attempt.store_key, attempt.record)
        self._answer(attempt, unknown_outcome(attempt.request, reason))
        self._close_and_record(attempt)

    def _refuse_run(self, attempt: Attempt, reason: RefusalReason) -> None:
        self._answer_not_run(attempt, reason)
        self._release(attempt)

    def _release(self, attempt: Attempt) -> None:
        attempt.record = replace(attempt.record, state=ClaimState.RELEASED)
        self._close_and_record(attempt)

    def _close_and_record(self, attempt: Attempt) -> None:
        self._attempts.close(attempt)
        attempt.registry.record_outcome(attempt.store_key, attempt.record, attempt.revision)

    def _close_unknown(self, attempt: Attempt, reason: RefusalReason) -> None:
        self._answer(attempt, unknown_outcome(attempt.request, reason))
        self._attempts.close(attempt)

    def _answer_not_run(self, attempt: Attempt, reason: RefusalReason) -> None:
        checked = attempt.revision is not None
        self._answer(attempt, refused_outcome(attempt.request, reason, checked))

    def _answer(self, attempt: Attempt, outcome: RequestOutcome) -> None:
        if attempt.answered:
            return
        attempt.answered = True
        self._finish(outcome)
