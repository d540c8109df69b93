"""Maps replies and losses of upstreams to outcomes that state only what is certain."""

from __future__ import annotations

from typing import Final

from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.requests.messages import RefusalReason, RunReport, RunState
from sequoiapulley.search.messages import MissingReason, ShardReply
from sequoiapulley.upstream.codec import ExchangeCodec
from sequoiapulley.upstream.messages import (
    FinishRun,
    FinishSearch,
    LossKind,
    ReplyKind,
    SubRun,
    SubSearch,
    UpstreamReply,
)

MISSING_BY_REPLY: Final = {
    ReplyKind.SHED: MissingReason.OVERLOAD,
    ReplyKind.DRAINING: MissingReason.NO_REPLICA,
    ReplyKind.WRONG_SNAPSHOT: MissingReason.SNAPSHOT,
    ReplyKind.EXPIRED: MissingReason.DEADLINE,
    ReplyKind.ERROR: MissingReason.UPSTREAM_ERROR,
    ReplyKind.MALFORMED: MissingReason.TRUNCATED,
}
MISSING_BY_LOSS: Final = {
    LossKind.NOT_SENT: MissingReason.NO_REPLICA,
    LossKind.CONNECT_FAILED: MissingReason.NO_REPLICA,
    LossKind.CONNECTION_LOST: MissingReason.NO_REPLICA,
    LossKind.DISCARDED: MissingReason.NO_REPLICA,
}
REFUSAL_BY_REPLY: Final = {
    ReplyKind.SHED: RefusalReason.OVERLOAD,
    ReplyKind.DRAINING: RefusalReason.REFUSED_BY_UPSTREAM,
    ReplyKind.EXPIRED: RefusalReason.DEADLINE,
}
REFUSAL_BY_MISSING: Final = {
    MissingReason.OVERLOAD: RefusalReason.OVERLOAD,
    MissingReason.DEADLINE: RefusalReason.DEADLINE,
    MissingReason.NO_REPLICA: RefusalReason.NO_REPLICA,
    MissingReason.QUARANTINED: RefusalReason.QUARANTINED,
}
NOT_SENT_LOSSES: Final = frozenset({LossKind.NOT_SENT, LossKind.CONNECT_FAILED})


def classify_search_reply(sub: SubSearch, reply: UpstreamReply) -> ReplyKind:
    """Checks a reply against the snapshot that the search requested.

    Args:
        sub: The sub-search.
        reply: The reply of an upstream.

    Returns:
        The kind of the reply; `OK` only if the hits are from the requested snapshot.
    """
    if reply.kind is not ReplyKind.OK:
        return reply.kind
    if reply.snapshot is None:
        return ReplyKind.MALFORMED
    if sub.snapshot is not None and reply.snapshot != sub.snapshot:
        return ReplyKind.WRONG_SNAPSHOT
    return ReplyKind.OK


def missing_outcome(
    sub: SubSearch, reason: MissingReason, available: tuple[Snapshot, ...] = ()
) -> FinishSearch:
    """Returns the outcome of a sub-search whose shard is missing from the answer."""
    reply = ShardReply(shard=sub.target.shard, reason=reason, available=available)
    return FinishSearch(sub_id=sub.sub_id, reply=reply)


def not_run_outcome(sub: SubRun, reason: RefusalReason | None) -> FinishRun:
    """Returns the outcome of a non-idempotent request that certainly did not run."""
    return FinishRun(sub.sub_id, RunReport(sub.run_id, RunState.NOT_RUN, reason))


def unknown_outcome(sub: SubRun) -> FinishRun:
    """Returns the outcome of a non-idempotent request that may have run."""
    return FinishRun(sub.sub_id, RunReport(sub.run_id, RunState.UNKNOWN))


def run_outcome(sub: SubRun, reply: UpstreamReply, codec: ExchangeCodec) -> FinishRun:
    """Returns the outcome that a reply establishes for a non-idempotent request.

    Args:
        sub: The request.
        reply: The reply of the only upstream that received it.
        codec: Decodes the result.

    Returns:
        Done with the result, not run if the upstream refused the request, unknown otherwise.
    """
    if reply.kind is ReplyKind.OK:
        try:
            body = codec.decode_run(reply.body)
        except ValueError:
            return unknown_outcome(sub)
        return FinishRun(sub.sub_id, RunReport(sub.run_id, RunState.DONE, body=body))
    refusal = REFUSAL_BY_REPLY.get(reply.kind)
    if refusal is not None:
        return not_run_outcome(sub, refusal)
    return unknown_outcome(sub)
