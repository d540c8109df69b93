"""The backend of the callers' port: runs callers' searches and requests on this node."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Final

from sequoiapulley.daemon.config_task import ConfigTask
from sequoiapulley.daemon.request_task import RequestTask
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.entry.callers_messages import EntriesView, EntryView
from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.ids import (
    CallerId,
    FailureDomainName,
    IdempotencyKey,
    Incarnation,
    NodeId,
    RequestId,
    ServiceName,
)
from sequoiapulley.model import Service
from sequoiapulley.observe.node_observer import NodeObserver, RequestSample, SearchSample
from sequoiapulley.requests.messages import (
    KeyedRequest,
    RefusalReason,
    RequestOutcome,
    RunState,
)
from sequoiapulley.runtime import Clock
from sequoiapulley.search.messages import MissingReason, SearchAnswer, SearchRequest

REFUSED_SEARCH_REASONS: Final = frozenset({MissingReason.OVERLOAD, MissingReason.QUARANTINED})
"""A search that covers no shard counts as refused by the tier if all shards have these reasons."""
UNCOUNTED_REFUSALS: Final = frozenset(
    {RefusalReason.KEY_REUSED, RefusalReason.IN_PROGRESS, RefusalReason.QUARANTINED}
)
"""Reasons for which a non-idempotent request that did not run does not count as refused by the
tier."""


class NodeCallersBackend:
    """Passes callers' requests to the node's tasks and records a sample of each outcome."""

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        config: ConfigTask,
        searches: SearchTask,
        requests: RequestTask,
        directory: EntryDirectory,
        observer: NodeObserver,
    ) -> None:
        """Initialise the backend.

        Args:
            node: This node.
            incarnation: Its incarnation.
            clock: Clock of the process.
            config: Holds the active configuration.
            searches: Runs searches.
            requests: Runs non-idempotent requests.
            directory: Chooses entry addresses.
            observer: Receives a sample of each outcome.
        """
        self._prefix = f"{node}-{incarnation:x}-"
        self._sequence = count(1)
        self._clock = clock
        self._config = config
        self._searches = searches
        self._requests = requests
        self._directory = directory
        self._observer = observer

    def service(self, name: ServiceName) -> Service | None:
        """Returns a service of the active configuration, or None if there is none of that name."""
        configuration = self._config.configuration
        return configuration.services.get(name) if configuration is not None else None

    def new_request_id(self) -> RequestId:
        """Returns an id that is unique in the fleet."""
        return RequestId(f"{self._prefix}{next(self._sequence):x}")

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Starts a search; records a sample of its answer."""
        started_at = self._clock.now()

        def finish(answer: SearchAnswer) -> None:
            now = self._clock.now()
            sample = search_sample(request, answer, now - started_at, now <= request.deadline)
            self._observer.record_search(sample)
            done(answer)

        self._searches.start(request, finish)

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        """Starts a non-idempotent request; records a sample of its outcome."""
        started_at = self._clock.now()

        def finish(outcome: RequestOutcome) -> None:
            sample = request_sample(request, outcome, self._clock.now() - started_at)
            self._observer.record_request(sample)
            done(outcome)

        self._requests.start(request, finish)

    def issue_ticket(self) -> IdempotencyKey:
        """Returns a new idempotency key that only this node accepts."""
        return self._requests.issue_ticket()

    def on_caller_disconnected(self, request_id: RequestId) -> None:
        """Cancels a search whose caller has disconnected."""
        self._searches.cancel(request_id)

    def entries(self, caller: CallerId, failure_domain: FailureDomainName | None) -> EntriesView:
        """Chooses entry addresses for a caller."""
        answer = self._directory.answer(caller, failure_domain, self._clock.now())
        views = tuple(
            EntryView(address.host, address.port, address.node, address.failure_domain)
            for address in answer.addresses
        )
        return EntriesView(views, answer.lifetime_s)


def search_sample(
    request: SearchRequest, answer: SearchAnswer, seconds: float, in_time: bool
) -> SearchSample:
    """Returns the sample of a search's answer, for metrics and the burn report.

    Args:
        request: The search.
        answer: Its answer.
        seconds: Time from arrival to answer.
        in_time: Whether the answer came before the deadline.
    """
    reasons = [lacking.reason for lacking in answer.lacking]
    return SearchSample(
        service=request.service,
        seconds=seconds,
        in_time=in_time,
        covered=len(answer.covered),
        missing_reasons=tuple(reason.value for reason in reasons),
        complete=answer.complete,
        refused=not answer.covered and bool(reasons) and REFUSED_SEARCH_REASONS.issuperset(reasons),
    )


def request_sample(request: KeyedRequest, outcome: RequestOutcome, seconds: float) -> RequestSample:
    """Returns the sample of a non-idempotent request's outcome, for metrics and the burn report.

    Args:
        request: The request.
        outcome: Its outcome.
        seconds: Time from arrival to outcome.
    """
    not_run = outcome.state is RunState.NOT_RUN
    return RequestSample(
        service=request.service,
        seconds=seconds,
        state=outcome.state.value,
        reason=outcome.reason.value if outcome.reason is not None else "",
        refused=not_run and outcome.reason not in UNCOUNTED_REFUSALS,
    )
