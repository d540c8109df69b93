"""A callers' backend that reports every outcome to the node's observer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from sequoiapulley.entry.callers_messages import EntriesView
from sequoiapulley.ids import CallerId, PlaceName, RequestId, ServiceName
from sequoiapulley.model import Service
from sequoiapulley.observe.node_observer import NodeObserver, RequestSample, SearchSample
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason, RequestOutcome, RunState
from sequoiapulley.runtime import Clock
from sequoiapulley.search.messages import LackReason, SearchAnswer, SearchRequest

if TYPE_CHECKING:
    from sequoiapulley.entry.callers_port import CallersBackend

SEARCH_REFUSALS: Final = frozenset({LackReason.OVERLOAD, LackReason.QUARANTINED})
"""Reasons that make an answer without any shard a refusal."""
CALLERS_FAULTS: Final = frozenset({RefusalReason.KEY_REUSED, RefusalReason.IN_PROGRESS})
"""Refusals that spend no error budget: the caller used one key for two requests."""


class ObservedCallersBackend:
    """Hands everything on to another backend and reports what becomes of it."""

    def __init__(self, inner: CallersBackend, observer: NodeObserver, clock: Clock) -> None:
        """Initialise the backend.

        Args:
            inner: Backend that does the work.
            observer: Receives one sample per outcome.
            clock: Clock of the process.
        """
        self._inner = inner
        self._observer = observer
        self._clock = clock

    def service(self, name: ServiceName) -> Service | None:
        """Finds a service of the configuration in force."""
        return self._inner.service(name)

    def new_request_id(self) -> RequestId:
        """Returns an id that no other request of the fleet has."""
        return self._inner.new_request_id()

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Starts a search; `done` runs once."""
        started = self._clock.now()

        def answered(answer: SearchAnswer) -> None:
            now = self._clock.now()
            self._observer.search_answered(_search_sample(request, answer, started, now))
            done(answer)

        self._inner.search(request, answered)

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        """Starts a non-idempotent request; `done` runs once."""
        started = self._clock.now()

        def finished(outcome: RequestOutcome) -> None:
            seconds = self._clock.now() - started
            self._observer.request_finished(_request_sample(request, outcome, seconds))
            done(outcome)

        self._inner.run(request, finished)

    def caller_left(self, request_id: RequestId) -> None:
        """Tells that nobody waits for a search any more; it is not counted."""
        self._inner.caller_left(request_id)

    def entries(self, caller: CallerId, place: PlaceName | None) -> EntriesView:
        """Chooses entry addresses for a caller."""
        return self._inner.entries(caller, place)


def _search_sample(
    request: SearchRequest, answer: SearchAnswer, started: float, now: float
) -> SearchSample:
    reasons = {item.reason for item in answer.lacking}
    return SearchSample(
        service=request.service,
        seconds=now - started,
        in_time=now <= request.deadline,
        covered=len(answer.covered),
        lacking=tuple(item.reason.value for item in answer.lacking),
        complete=answer.complete,
        refused=not answer.covered and bool(reasons) and reasons <= SEARCH_REFUSALS,
    )


def _request_sample(
    request: KeyedRequest, outcome: RequestOutcome, seconds: float
) -> RequestSample:
    not_run = outcome.state is RunState.NOT_RUN
    return RequestSample(
        service=request.service,
        seconds=seconds,
        state=outcome.state.value,
        reason=outcome.reason.value if outcome.reason else "",
        refused=not_run and outcome.reason not in CALLERS_FAULTS,
    )
