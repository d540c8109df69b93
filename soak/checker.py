"""Collects the results of the soak's callers and checks the guarantees of the system."""

from __future__ import annotations

from asyncio import get_running_loop
from collections import Counter
from enum import Enum
from typing import Final

from msgspec import Struct

from sequoiapulley.forward.record_merge import RECORD_BYTES
from soak.loss import LossFinder, LostRequest, Trouble, Work
from standins.platform_upstream import PlatformUpstream

TOP_K: Final = 5
MIN_PARTS: Final = 2
"""Minimum number of parts in a successful merged answer: half of the shards."""
NOT_EXECUTED_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that assert that a non-idempotent request has not run."""
FINAL_STATUSES: Final = range(200, 600)
MAX_RESIDENT_KB: Final = 152_000
"""Memory of the smallest VMs."""
LATE_S: Final = 1.0
"""Time after the deadline from which a final answer counts as late, unless its node was paused; no
check uses it."""


class RequestKind(Enum):
    """Kind of a request, with its method and path."""

    MERGED = "GET /g/x"
    SINGLE = "GET /i/x"
    """Idempotent request to one service."""
    NON_IDEMPOTENT = "POST /o/x"
    VERSIONED = "GET /v/x"
    """Idempotent request to the service that stands for the configuration version."""


class Violation(Struct, frozen=True):
    """One violation of a guarantee."""

    at: float
    """Seconds since the start of the run."""
    promise: str
    request: str
    detail: str


class Answer(Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    """Header values by lower-case name."""
    body: bytes


class Passage(Struct, frozen=True):
    """Way of one request through the fleet; times are of the event loop."""

    host: str
    """Address of the node that the caller asked."""
    sent_at: float
    answered_at: float


class ResultChecker:
    """Checks each answer on arrival, and the executed requests at the end of the run."""

    def __init__(self, upstreams: list[PlatformUpstream], shards: frozenset[str]) -> None:
        """Creates a checker without results.

        Args:
            upstreams: All upstreams of the run.
            shards: Services whose parts are merged on the merged route.
        """
        self._upstreams = upstreams
        self._shards = shards
        self._started_at = get_running_loop().time()
        self._refused_status: dict[str, int] = {}
        """Status by id of the non-idempotent requests that were reported as not executed."""
        self.non_idempotent: set[str] = set()
        """Ids of the non-idempotent requests, which may run at most once."""
        self.passages: dict[str, Passage] = {}
        """Way of each request that was answered, by its id."""
        self.lost: list[LostRequest] = []
        """Requests whose connection ended without a complete answer."""
        self.outcomes: Counter[str] = Counter()
        self.violations: list[Violation] = []
        self.availability_samples: list[tuple[float, bool]] = []
        """Start of each request (seconds since the start of the run) and whether it was served."""

    def record_outcome(self, outcome: str, started_at: float, served: bool) -> None:
        """Records the outcome of a request; `started_at` is a time of the event loop."""
        self.outcomes[outcome] += 1
        self.availability_samples.append((started_at - self._started_at, served))

    def check_answer(self, request: str, kind: RequestKind, answer: Answer) -> None:
        """Checks one answer, and notes a refusal that `check_runs` compares with the runs."""
        if answer.status in NOT_EXECUTED_STATUSES and kind is RequestKind.NON_IDEMPOTENT:
            self._refused_status[request] = answer.status
        if answer.status not in FINAL_STATUSES:
            self.add_violation("a status is one of HTTP", request, str(answer.status))
        if answer.status == 404:
            self.add_violation("known routes are served", request, "404")
        attempt = answer.headers.get("x-attempt-id", request)
        if attempt != request:
            self.add_violation("an answer is of its request", request, attempt)
        if kind is RequestKind.MERGED and answer.status == 200:
            self._check_merged(request, answer)
            return
        seal = answer.headers.get("x-server-seal", "")
        if not seal and answer.status != 200:
            # The node's own failure.
            return
        served = [u for u in self._upstreams if u.seal(request) == seal]
        if len(served) != 1 or answer.status not in served[0].statuses.get(request, ()):
            detail = f"status {answer.status} with seal {seal!r}"
            self.add_violation("an answer is the upstream's own", request, detail)
        elif answer.status == 200 and answer.body != served[0].part(request):
            self.add_violation("a body is the upstream's own", request, seal)

    def check_lost(self, work: list[Work], trouble: list[Trouble]) -> None:
        """Checks that nodes didn't drop requests around planned work."""
        finder = LossFinder(self._upstreams, work, trouble)
        for lost, detail in finder.find(self.lost):
            at = round(lost.ended_at - self._started_at, 2)
            promise = "a request ends with an answer"
            self.violations.append(Violation(at, promise, lost.request, detail))

    def check_runs(self) -> None:
        """Compares the requests that upstreams executed with the answers that callers received."""
        runs: Counter[str] = Counter()
        for upstream in self._upstreams:
            runs.update(upstream.runs)
        for request in self.non_idempotent:
            if runs[request] > 1:
                self.add_violation("runs at most once", request, f"ran {runs[request]} times")
            if request in self._refused_status and runs[request]:
                status = self._refused_status[request]
                self.add_violation("a refusal is true", request, f"status {status}, and it ran")

    def check_leaves(self, disturbed: list[tuple[str, float]], drain: float) -> None:
        """Checks that nodes kept away from upstreams whose announced shutdown they had passed on.

        Args:
            disturbed: Hosts of nodes that were restarted or paused, each with the time.
            drain: Time after the announcement in which requests may still be sent, in seconds.
        """
        for upstream in self._upstreams:
            announced: dict[str, float] = {}
            for request in upstream.leaving_arrivals:
                if not request:
                    announced.clear()
                way = self.passages.get(request)
                if way is None:
                    continue
                first = announced.setdefault(way.host, way.answered_at)
                excused = any(
                    host == way.host and first <= at <= way.answered_at for host, at in disturbed
                )
                if way.sent_at > first + drain and not excused:
                    detail = f"{upstream.name} {way.sent_at - first:.1f} s after it said so"
                    self.add_violation("a leaving upstream gets nothing new", request, detail)

    def check_memory(self, name: str, resident_kb: int) -> None:
        """Checks the memory of a node at the end of the run."""
        if resident_kb > MAX_RESIDENT_KB:
            self.add_violation("memory is bounded", "", f"{name}: {resident_kb} kB")

    def add_violation(self, promise: str, request: str, detail: str) -> None:
        """Records the violation of a guarantee."""
        at = round(get_running_loop().time() - self._started_at, 2)
        self.violations.append(Violation(at, promise, request, detail))

    def _check_merged(self, request: str, answer: Answer) -> None:
        """Checks a merged answer against the parts listed in its headers."""
        seals = [seal.strip() for seal in answer.headers.get("x-part-seals", "").split(",")]
        missing = int(answer.headers.get("x-missing-parts", "0"))
        parts = {u.seal(request): u for u in self._upstreams}
        services = {parts[seal].service for seal in seals if seal in parts}
        if len(services) != len(seals) or not services <= self._shards:
            self.add_violation("parts are of this request, one a shard", request, str(seals))
            return
        if len(seals) + missing != len(self._shards) or len(seals) < MIN_PARTS:
            detail = f"{len(seals)} parts, {missing} missing"
            self.add_violation("coverage is true", request, detail)
        all_records = b"".join(parts[seal].part(request) for seal in seals)
        starts = range(0, len(all_records), RECORD_BYTES)
        records = sorted((all_records[at : at + RECORD_BYTES] for at in starts), reverse=True)
        if answer.body != b"".join(records[:TOP_K]):
            self.add_violation("the greatest records are merged", request, str(seals))
