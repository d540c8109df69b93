"""JSON bodies of the requests and answers on the callers' port."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from sequoiapulley.ids import FailureDomainName, NodeId

MAX_DEADLINE_MS = 600_000
"""Maximum deadline that a caller may request, in milliseconds."""
MAX_HITS = 1_000
"""Maximum number of hits that a caller may request."""

Share = Annotated[float, Meta(ge=0, le=1)]
DurationMs = Annotated[float, Meta(gt=0, le=MAX_DEADLINE_MS)]


class SearchBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /v1/services/{service}/search`.

    Fields with the default None take the value of the service's search policy if omitted.
    """

    query: Annotated[str, Meta(min_length=1, max_length=8_192)]
    limit: Annotated[int, Meta(ge=1, le=MAX_HITS)] = 20
    """Maximum number of hits; the default does not depend on the service."""
    deadline_ms: DurationMs | None = None
    min_coverage: Share | None = None
    early_ms: DurationMs | None = None
    """Time after which an answer that meets `min_coverage` is sent."""
    wait_for_coverage: bool | None = None
    """True waits for all shards until the deadline; `early_ms` is then ignored."""


class HitView(Struct, frozen=True):
    """One hit of an answer."""

    id: str
    score: float
    shard: str
    fields: dict[str, str]


class MissingShardView(Struct, frozen=True):
    """One shard that is missing from the answer."""

    shard: str
    reason: str


class SearchView(Struct, frozen=True):
    """The answer to a search."""

    request_id: str
    snapshot: str | None
    complete: bool
    covered: tuple[str, ...]
    lacking: tuple[MissingShardView, ...]
    hits: tuple[HitView, ...]
    elapsed_ms: float


class OutcomeView(Struct, frozen=True):
    """The outcome of a non-idempotent request."""

    request_id: str
    state: str
    """State of the request with this key: `done`, `not_run` or `unknown`."""
    attempt: str
    """State of this attempt alone. It is `not_run` while `state` is `unknown` if the key could not
    be looked up, as an earlier attempt may have run."""
    reason: str | None
    repeated: bool
    result: str | None
    """Answer of the upstream as JSON text, if `state` is `done`."""
    retry_after_ms: int | None


class TicketView(Struct, frozen=True):
    """An idempotency key that only the node that issued it accepts, without access to the store."""

    key: str


class EntryView(Struct, frozen=True):
    """Address of one entry node, which is a node that callers send their requests to."""

    host: str
    port: int
    node: NodeId
    failure_domain: FailureDomainName = field(name="place")


class EntriesView(Struct, frozen=True):
    """Answer of `GET /v1/entries`: addresses of entry nodes in order of preference."""

    addresses: tuple[EntryView, ...]
    lifetime_s: float
    """Time for which the caller may cache the answer, in seconds."""
