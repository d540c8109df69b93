"""Serves callers' requests on the routes of the active configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.gather import Gather
from sequoiapulley.forward.handover import Handover, HandoverClient
from sequoiapulley.forward.initial_time_left import InitialTimeLeft
from sequoiapulley.forward.job import Job
from sequoiapulley.forward.log_events import CALLER_LEFT, REQUEST_ANSWERED, REQUEST_GIVEN_UP
from sequoiapulley.forward.messages import Answer, CallerRequest
from sequoiapulley.forward.refusal import Reason, error_answer
from sequoiapulley.forward.relay import Relay
from sequoiapulley.forward.route_table import Route, RouteIndex, RouteTable
from sequoiapulley.forward.shown_version import ShownVersion
from sequoiapulley.forward.split_shares import SplitShares
from sequoiapulley.ids import ConfigVersion

CALLER_ROUND_TRIP_S: Final = 0.012
"""Time that a request and its answer spend between caller and node: 3 ms each way, as stated by the
users, and another 6 ms for processing at both ends. The time to open the connection is already
deducted from the time left."""
STARTUP_HOLD_S: Final = 0.3
"""Time for which a node that has just started queues requests until it has read its state, which
takes some ten milliseconds while the store is available."""
FIRST_FAILURE_STATUS: Final = 500
UNROUTED_TIMEOUT_S: Final = 1.0
"""Time limit of a request that is handed over without a route and states none."""
NON_IDEMPOTENT_GOALS: Final = 4
"""Time that a node that shuts down must have left to accept a non-idempotent request, as a multiple
of the route's goal. One that is given up on while it runs leaves its outcome unknown."""


class Forwarder:
    """Selects the route of each request and starts a relay or a gather for it."""

    def __init__(self, ctx: ForwardContext) -> None:
        """Initialise without a configuration.

        Args:
            ctx: Shared components of the node.
        """
        self._ctx = ctx
        self._index: RouteIndex | None = None
        self._shares = SplitShares()
        self._initial_times_left: dict[str, InitialTimeLeft] = {}
        self._pending: list[Job] = []
        self._jobs: set[Job] = set()
        """Requests in progress."""
        self.shutdown_end: float | None = None
        """Clock reading at which the node gives up on all requests; None if it does not shut
        down."""
        self.handover: HandoverClient | None = None
        """Hands requests over to other nodes; None if there are none."""
        self.shown = ShownVersion()
        """Version that this node's callers may have seen."""
        self.state_read_at: Callable[[], float] = lambda: float("inf")
        """Returns the clock reading at which the store was in the state that this node has read."""

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self._jobs)

    @property
    def table(self) -> RouteTable | None:
        """The active configuration; None before the first one."""
        return self._index.table if self._index is not None else None

    @property
    def version(self) -> ConfigVersion:
        """Version of the active configuration; 0 if there is none."""
        return self._index.table.version if self._index is not None else ConfigVersion(0)

    def apply(self, table: RouteTable) -> bool:
        """Activates a configuration if its version is newer; returns whether it was."""
        if self._index is not None and table.version <= self._index.table.version:
            return False
        self._index = RouteIndex(table)
        self._shares.retain(table.routes)
        return True

    def handle(
        self, req: CallerRequest, on_answer: Callable[[Answer], None], may_hand_over: bool = True
    ) -> Job:
        """Serves one request.

        Args:
            req: The request.
            on_answer: Called once with the answer, possibly before this method returns.
            may_hand_over: Whether another node may serve it if this one is cut off.

        Returns:
            The job, which can cancel the request.
        """
        job = Job(self, req, on_answer, may_hand_over)
        self._jobs.add(job)
        if self._index is not None:
            self._begin(job, self._index)
            return job
        self._pending.append(job)
        hold_timer = self._ctx.timers.call_later(
            STARTUP_HOLD_S, lambda: _refuse(job, Reason.NO_CONFIGURATION)
        )
        job.set_timer(hold_timer)
        return job

    def serve_pending(self) -> None:
        """Serves the requests that were queued before the first configuration."""
        if self._index is None:
            return
        pending, self._pending = self._pending, []
        for job in pending:
            if not job.done:
                self._begin(job, self._index)

    def record_answer(self, job: Job, answer: Answer, reason: Reason | None) -> None:
        """Counts and logs the answer to a request."""
        self._jobs.discard(job)
        outcome = reason.value if reason is not None else str(answer.status)
        waited = self._ctx.clock.now() - job.req.arrived
        self._ctx.tally.outcomes[outcome] += 1
        if job.route is not None:
            self._ctx.tally.record_latency(job.route.name, waited)
        fields = {
            "id": job.req.id,
            "route": job.route.name if job.route is not None else "",
            "version": self.version,
            "status": answer.status,
            "ms": round(waited * 1000, 1),
        }
        if reason is not None or answer.status >= FIRST_FAILURE_STATUS:
            self._ctx.log.log(REQUEST_GIVEN_UP, reason=outcome, **fields)
            return
        target_ms = round(job.route.goal * 1000) if job.route is not None else 0
        self._ctx.log.log(REQUEST_ANSWERED, target_ms=target_ms, **fields)

    def record_disconnect(self, job: Job) -> None:
        """Counts and logs a caller that disconnected."""
        self._jobs.discard(job)
        self._ctx.tally.outcomes["caller_left"] += 1
        waited = round((self._ctx.clock.now() - job.req.arrived) * 1000, 1)
        self._ctx.log.log(CALLER_LEFT, id=job.req.id, ms=waited)

    def _begin(self, job: Job, index: RouteIndex) -> None:
        """Selects the route of a request and starts to process it."""
        req = job.req
        route = index.select(req.host, req.target.decode("latin-1"))
        if route is None:
            self._handle_unrouted(job)
            return
        job.route = route
        refused_for = self._ctx.crash_guard.refused_for(req)
        if refused_for:
            _refuse(job, Reason.CRASHES_UPSTREAMS, refused_for)
            return
        end = req.arrived + min(route.timeout, req.time_left or route.timeout)
        if self._ctx.clock.now() >= end:
            _refuse(job, Reason.EXPIRED)
            return
        if not self._may_end_in_time(route, end):
            _refuse(job, Reason.SHUTDOWN_NEAR)
            return
        job.set_timer(self._ctx.timers.call_at(end, job.time_out))
        job.deadline = end
        job.begin(self._make_handler(job, req, route, end))

    def _handle_unrouted(self, job: Job) -> None:
        """Refuses a request without a route, unless callers have seen a later configuration."""
        if self.handover is None or not self._is_behind or not self._may_hand_over(job):
            _refuse(job, Reason.NO_ROUTE)
            return
        req = job.req
        end = req.arrived + (req.time_left or UNROUTED_TIMEOUT_S)
        job.set_timer(self._ctx.timers.call_at(end, job.time_out))
        job.deadline = end
        job.begin(Handover(self._ctx, self.handover, req, False, end, job.finish))

    def end_jobs(self) -> int:
        """Answers all requests in progress with an error; returns their number."""
        jobs = tuple(self._jobs)
        for job in jobs:
            job.give_up(Reason.SHUTDOWN)
        return len(jobs)

    def _may_end_in_time(self, route: Route, end: float) -> bool:
        """Returns whether a request is likely to be answered before the node shuts down.

        Args:
            route: Route of the request.
            end: Clock reading at which the request times out.
        """
        if self.shutdown_end is None:
            return True
        usual = route.goal if route.idempotent else NON_IDEMPOTENT_GOALS * route.goal
        return min(end, self._ctx.clock.now() + usual) <= self.shutdown_end

    def hand_over_jobs(self) -> None:
        """Hands the requests in progress over that have no chance here, after a loss of contact.

        Those are idempotent ones that arrived after the last contact with an upstream.
        """
        since = self._ctx.contact.last_contact
        for job in tuple(self._jobs):
            route = job.route
            if route is None or not route.idempotent or job.req.arrived <= since:
                continue
            if job.handed_over or not self._may_hand_over(job):
                continue
            assert self.handover is not None
            may_have_run = job.stop_calls()
            job.begin(
                Handover(
                    self._ctx,
                    self.handover,
                    job.req,
                    route.idempotent,
                    job.deadline,
                    job.finish,
                    may_have_run,
                )
            )

    def _may_hand_over(self, job: Job) -> bool:
        """Returns whether another node should serve a request.

        That is the case while this node is cut off from the upstreams, and until it has applied the
        version with which others have served its callers meanwhile.
        """
        if self.handover is None or not job.may_hand_over:
            return False
        if not self._ctx.contact.cut_off and not self._is_behind:
            return False
        return self.handover.available

    @property
    def _is_behind(self) -> bool:
        """Whether callers of this node may have seen a version that it has not applied."""
        now = self._ctx.clock.now()
        return self.shown.is_ahead(self.version, self.state_read_at(), now)

    def _make_handler(
        self, job: Job, req: CallerRequest, route: Route, end: float
    ) -> Gather | Relay | Handover:
        """Returns the relay or the gather that serves a request, or its handover."""
        if self.handover is not None and self._may_hand_over(job):
            return Handover(self._ctx, self.handover, req, route.idempotent, end, job.finish)
        self.shown.record(self.version)
        if route.gather is None:
            service = self._shares.next_service(route)
            return Relay(self._ctx, req, route, service, end, job.finish)
        due = req.arrived + route.goal - CALLER_ROUND_TRIP_S - self._time_used(req, route)
        return Gather(self._ctx, req, route, route.gather, max(req.arrived, due), end, job.finish)

    def _time_used(self, req: CallerRequest, route: Route) -> float:
        """Returns the time that the caller spent before this request, in seconds.

        Callers send the time left until their deadline. The difference to the usual initial value
        was spent on a directory look-up, a new connection or an earlier attempt.
        """
        if req.time_left is None:
            return 0.0
        estimate = self._initial_times_left.setdefault(route.name, InitialTimeLeft())
        return max(0.0, estimate.observe(req.time_left) - req.time_left)


def _refuse(job: Job, reason: Reason, retry_after: float = 0.0) -> None:
    """Answers a request with an error before anything was sent to an upstream.

    Args:
        job: The request.
        reason: Why it is refused.
        retry_after: Time after which it can be served, in seconds; 0 if unknown.
    """
    job.finish(error_answer(reason, may_have_run=False, retry_after=retry_after), reason)
