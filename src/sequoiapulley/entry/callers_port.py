"""The callers' HTTP port: entry nodes, searches, non-idempotent requests and tickets."""

from __future__ import annotations

from collections.abc import Callable
from socket import socket
from typing import Any, Final, NoReturn, Protocol
from urllib.parse import parse_qs

from circuits import handler
from circuits.web.wrappers import Request, Response
from msgspec import Struct, json
from xxhash import xxh3_128_hexdigest

from sequoiapulley.decoding import DecodingError, decode_json
from sequoiapulley.entry.callers_messages import (
    EntriesView,
    HitView,
    MissingShardView,
    OutcomeView,
    SearchBody,
    SearchView,
    TicketView,
)
from sequoiapulley.entry.guarded_server import GuardedServer
from sequoiapulley.ids import (
    CallerId,
    FailureDomainName,
    Fingerprint,
    IdempotencyKey,
    RequestId,
    ServiceName,
)
from sequoiapulley.model import Service
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason, RequestOutcome, RunState
from sequoiapulley.runtime import Clock, TimerQueue
from sequoiapulley.search.messages import MissingReason, SearchAnswer, SearchRequest
from sequoiapulley.wire.connection_budget import ConnectionBudget

MAX_KEY_LENGTH: Final = 128
MAX_CALLER_LENGTH: Final = 64
REQUEST_DEADLINE_MS: Final = 5_000.0
"""Deadline of every non-idempotent request; callers cannot choose it."""
OVERLOAD_RETRY_S: Final = 1
"""`Retry-After` header of a search that is answered with status 503."""

_NOT_RUN_STATUS: Final = {
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.TICKET_ELSEWHERE: 422,
}


class CallersBackend(Protocol):
    """Operations of the node that the port uses."""

    def service(self, name: ServiceName) -> Service | None:
        """Returns a service of the active configuration, or None if it does not exist."""

    def new_request_id(self) -> RequestId:
        """Returns an id that is unique in the fleet."""

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Starts a search; `done` is called once."""

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        """Starts a non-idempotent request; `done` is called once."""

    def issue_ticket(self) -> IdempotencyKey:
        """Returns a new key that only this node accepts, without access to the store."""

    def on_caller_disconnected(self, request_id: RequestId) -> None:
        """Cancels the search of a caller that disconnected."""

    def entries(self, caller: CallerId, failure_domain: FailureDomainName | None) -> EntriesView:
        """Chooses entry nodes for a caller."""


class _RefusedRequestError(Exception):
    """A request is refused with a 4xx status, a code and a message."""

    def __init__(self, status: int, code: str, message: str) -> None:
        """Initialise the error.

        Args:
            status: HTTP status code.
            code: Stable snake_case code.
            message: Text for people.
        """
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class _Caller(Struct, frozen=True):
    """Name and failure domain of a caller."""

    caller: CallerId
    failure_domain: FailureDomainName | None


class CallersPort(GuardedServer):
    """HTTP server for callers."""

    def __init__(
        self,
        host: str,
        port: int,
        timers: TimerQueue,
        clock: Clock,
        backend: CallersBackend,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """Binds the port.

        Args:
            host: IP address to listen on.
            port: TCP port; 0 lets the operating system choose.
            timers: Timers of the process.
            clock: Clock of the process.
            backend: The node behind the port.
            budget: Limits on all connections of the process; None for a budget of the port's own.

        Raises:
            OSError: If the address cannot be bound.
        """
        super().__init__(host, port, "callers", timers, budget)
        self._clock = clock
        self._backend = backend
        self._active_searches: dict[socket, RequestId] = {}

    @handler("request")
    def _on_request(self, req: Request, res: Response, *_: Any) -> bool:
        """Routes one request; the answer is sent at once or by a later callback."""
        try:
            self._route(req, res)
        except _RefusedRequestError as exc:
            self.answer_error(res, exc.status, exc.code, exc.message)
        return True

    @handler("CallerDisconnected")
    def _on_caller_disconnected(self, sock: socket) -> None:
        """Cancels the search of a caller that disconnected."""
        request_id = self._active_searches.pop(sock, None)
        if request_id is not None:
            self._backend.on_caller_disconnected(request_id)

    def _route(self, req: Request, res: Response) -> None:
        """Calls the handler of a path."""
        parts = req.path.strip("/").split("/")
        if parts == ["v1", "entries"]:
            self._expect_method(req, "GET")
            self._answer_entries(req, res)
            return
        if len(parts) != 4 or parts[:2] != ["v1", "services"]:
            self._refuse_path(req)
        service = self._service(ServiceName(parts[2]))
        if parts[3] == "search":
            self._expect_method(req, "POST")
            self._start_search(req, res, service)
            return
        if parts[3] == "tickets":
            self._expect_method(req, "POST")
            self.answer(res, 200, TicketView(self._backend.issue_ticket()))
            return
        if parts[3] == "requests":
            self._expect_method(req, "POST")
            self._start_run(req, res, service)
            return
        self._refuse_path(req)

    def _expect_method(self, req: Request, method: str) -> None:
        """Refuses methods other than that of the route."""
        if req.method != method:
            message = f"{req.path} takes {method}, not {req.method}"
            raise _RefusedRequestError(405, "method_not_allowed", message)

    def _refuse_path(self, req: Request) -> NoReturn:
        """Refuses a path without a route."""
        raise _RefusedRequestError(404, "no_such_path", f"path {req.path!r} does not exist")

    def _service(self, name: ServiceName) -> Service:
        """Returns the service named in the path."""
        service = self._backend.service(name)
        if service is None:
            message = f"service {name!r} does not exist in the configuration"
            raise _RefusedRequestError(404, "no_such_service", message)
        return service

    def _identify(self, req: Request) -> _Caller:
        """Reads the name and failure domain of the caller from the headers.

        Without an `X-Caller` header, the IP address of the client is the name.
        """
        name = req.headers.get("x-caller") or req.remote.ip
        if len(name) > MAX_CALLER_LENGTH:
            message = f"X-Caller is longer than {MAX_CALLER_LENGTH} characters"
            raise _RefusedRequestError(400, "bad_caller", message)
        domain = req.headers.get("x-place")
        return _Caller(CallerId(name), FailureDomainName(domain) if domain else None)

    def _answer_entries(self, req: Request, res: Response) -> None:
        """Sends the addresses of the entry nodes that the caller should use.

        Query parameters override the headers.
        """
        identity = self._identify(req)
        query = parse_qs(req.qs or "")
        domain = (
            FailureDomainName(query["place"][0]) if "place" in query else identity.failure_domain
        )
        caller = CallerId(query["caller"][0]) if "caller" in query else identity.caller
        self.answer(res, 200, self._backend.entries(caller, domain))

    def _start_search(self, req: Request, res: Response, service: Service) -> None:
        """Starts a search."""
        body = self._decode_search(req)
        request = self._search_request(self._identify(req).caller, service, body)
        sock = req.sock
        self._active_searches[sock] = request.request_id

        def done(answer: SearchAnswer) -> None:
            self._active_searches.pop(sock, None)
            self._answer_search(res, answer)

        self._backend.search(request, done)

    def _decode_search(self, req: Request) -> SearchBody:
        """Decodes and validates the body of a search."""
        try:
            return decode_json(req.body.read(), SearchBody)
        except DecodingError as exc:
            raise _RefusedRequestError(400, "bad_search", f"search body: {exc}") from exc

    def _search_request(
        self, caller: CallerId, service: Service, body: SearchBody
    ) -> SearchRequest:
        """Builds the search request; fields that are None take the service's value."""
        now = self._clock.now()
        policy = service.search
        deadline_ms = body.deadline_ms or policy.deadline_ms
        wait = policy.wait_for_coverage
        if body.wait_for_coverage is not None:
            wait = body.wait_for_coverage
        early_ms = body.early_ms or policy.early_ms
        min_coverage = policy.min_coverage if body.min_coverage is None else body.min_coverage
        return SearchRequest(
            request_id=self._backend.new_request_id(),
            caller=caller,
            service=service.name,
            query=body.query,
            limit=body.limit,
            deadline=now + deadline_ms / 1_000,
            min_coverage=min_coverage,
            early_at=None if wait else now + min(early_ms, deadline_ms) / 1_000,
            fingerprint=_fingerprint(service.name, body.query),
        )

    def _answer_search(self, res: Response, answer: SearchAnswer) -> None:
        """Sends the answer to a search.

        The status is 200 also for an incomplete answer. Without any covered shard it is 422 if all
        reasons are quarantine, and 503 if all are quarantine or overload.
        """
        refused = {MissingReason.OVERLOAD, MissingReason.QUARANTINED}
        reasons = {lacking.reason for lacking in answer.lacking}
        status, retry_after = 200, 0
        if not answer.covered and reasons == {MissingReason.QUARANTINED}:
            status = 422
        elif not answer.covered and reasons and reasons <= refused:
            status, retry_after = 503, OVERLOAD_RETRY_S
        self.answer(res, status, _search_view(answer), retry_after)

    def _start_run(self, req: Request, res: Response, service: Service) -> None:
        """Starts a non-idempotent request."""
        key = req.headers.get("idempotency-key")
        if not key or len(key) > MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
            message = f"Idempotency-Key needs 1 to {MAX_KEY_LENGTH} printable ASCII characters"
            raise _RefusedRequestError(400, "bad_idempotency_key", message)
        body = self._canonical_body(req)
        request = KeyedRequest(
            request_id=self._backend.new_request_id(),
            caller=self._identify(req).caller,
            service=service.name,
            key=IdempotencyKey(key),
            body=body,
            fingerprint=_fingerprint(service.name, body),
            deadline=self._clock.now() + REQUEST_DEADLINE_MS / 1_000,
        )
        self._backend.run(request, lambda outcome: self._answer_run(res, outcome))

    def _canonical_body(self, req: Request) -> str:
        """Validates the JSON body and returns it in canonical form, with sorted keys."""
        try:
            return json.encode(json.decode(req.body.read()), order="sorted").decode()
        except (ValueError, RecursionError) as exc:
            raise _RefusedRequestError(400, "bad_request_body", f"request body: {exc}") from exc

    def _answer_run(self, res: Response, outcome: RequestOutcome) -> None:
        """Sends the outcome of a non-idempotent request."""
        view = outcome_view(outcome)
        retry_after = -(-outcome.retry_after_ms // 1_000) if outcome.retry_after_ms else 0
        self.answer(res, _outcome_status(outcome), view, retry_after)


def outcome_view(outcome: RequestOutcome) -> OutcomeView:
    """Builds the wire form of an outcome.

    A request is reported as `not_run` only if its key was looked up. Otherwise an earlier attempt
    with the same key may have run; only this attempt is known not to have run.
    """
    state = outcome.state
    if state is RunState.NOT_RUN and not outcome.key_checked:
        state = RunState.UNKNOWN
    return OutcomeView(
        request_id=outcome.request_id,
        state=state.value,
        attempt=outcome.state.value,
        reason=outcome.reason.value if outcome.reason else None,
        repeated=outcome.repeated,
        result=outcome.body or None,
        retry_after_ms=outcome.retry_after_ms,
    )


def _outcome_status(outcome: RequestOutcome) -> int:
    """Returns the HTTP status of an outcome."""
    if outcome.state is RunState.DONE:
        return 200
    if outcome.state is RunState.UNKNOWN:
        return 504
    if outcome.reason is None:
        return 503
    return _NOT_RUN_STATUS.get(outcome.reason, 503)


def _fingerprint(service: ServiceName, body: str) -> Fingerprint:
    """Hashes service and body, which identify identical requests."""
    return Fingerprint(xxh3_128_hexdigest(f"{service}\n{body}".encode()))


def _search_view(answer: SearchAnswer) -> SearchView:
    """Builds the wire form of an answer."""
    return SearchView(
        request_id=answer.request_id,
        snapshot=str(answer.snapshot) if answer.snapshot else None,
        complete=answer.complete,
        covered=tuple(answer.covered),
        lacking=tuple(MissingShardView(item.shard, item.reason.value) for item in answer.lacking),
        hits=tuple(HitView(hit.id, hit.score, hit.shard, hit.fields) for hit in answer.hits),
        elapsed_ms=round(answer.elapsed_ms, 3),
    )
