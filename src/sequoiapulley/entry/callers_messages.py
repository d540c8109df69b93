"""What callers send and receive, as JSON."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from sequoiapulley.ids import FailureDomainName, NodeId

MAX_DEADLINE_MS = 600_000
"""Longest deadline a caller may ask for, in milliseconds."""
MAX_HITS = 1_000

Share = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(gt=0, le=MAX_DEADLINE_MS)]


class SearchBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /v1/services/{service}/search`; what is left out comes from the service."""

    query: Annotated[str, Meta(min_length=1, max_length=8_192)]
    limit: Annotated[int, Meta(ge=1, le=MAX_HITS)] = 20
    deadline_ms: Milliseconds | None = None
    min_coverage: Share | None = None
    early_ms: Milliseconds | None = None
    wait_for_coverage: bool | None = None


class HitView(Struct, frozen=True):
    """One hit of an answer."""

    id: str
    score: float
    shard: str
    fields: dict[str, str]


class LackingView(Struct, frozen=True):
    """One shard that the answer lacks."""

    shard: str
    reason: str


class SearchView(Struct, frozen=True):
    """The answer to a search."""

    request_id: str
    snapshot: str | None
    complete: bool
    covered: tuple[str, ...]
    lacking: tuple[LackingView, ...]
    hits: tuple[HitView, ...]
    elapsed_ms: float


class OutcomeView(Struct, frozen=True):
    """The outcome of a non-idempotent request."""

    request_id: str
    state: str
    """`done`, `not_run` or `unknown`, of the request that the key names."""
    attempt: str
    """The same of this attempt alone; `not_run` beside an `unknown` request when the key could
    not be looked up, so that an earlier attempt may have run."""
    reason: str | None
    repeated: bool
    result: str | None
    """The upstream's answer, JSON text, when `state` is `done`."""
    retry_after_ms: int | None


class TicketView(Struct, frozen=True):
    """A key that runs on the node that gave it, without the store."""

    key: str


class EntryView(Struct, frozen=True):
    """One address that a caller may use."""

    host: str
    port: int
    node: NodeId
    failure_domain: FailureDomainName = field(name="place")


class EntriesView(Struct, frozen=True):
    """Answer of `GET /v1/entries`: addresses in order of preference."""

    addresses: tuple[EntryView, ...]
    lifetime_s: float
    """How long the caller may keep the answer, in seconds."""
