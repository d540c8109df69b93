"""Maps replies and losses of upstreams to outcomes, never claiming more than is known."""

from __future__ import annotations

from typing import Final

from sequoiapulley.model.snapshot import Snapshot
from sequoiapulley.requests.messages import RefusalReason, RunReport, RunState
from sequoiapulley.search.messages import LackReason, ShardReply
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

LACK_BY_REPLY: Final = {
    ReplyKind.SHED: LackReason.OVERLOAD,
    ReplyKind.DRAINING: LackReason.NO_REPLICA,
    ReplyKind.WRONG_SNAPSHOT: LackReason.SNAPSHOT,
    ReplyKind.EXPIRED: LackReason.DEADLINE,
    ReplyKind.ERROR: LackReason.UPSTREAM_ERROR,
    ReplyKind.MALFORMED: LackReason.TRUNCATED,
}
LACK_BY_LOSS: Final = {
    LossKind.NOT_SENT: LackReason.NO_REPLICA,
    LossKind.CONNECT_FAILED: LackReason.NO_REPLICA,
    LossKind.CONNECTION_LOST: LackReason.NO_REPLICA,
    LossKind.DISCARDED: LackReason.NO_REPLICA,
}
REFUSAL_BY_REPLY: Final = {
    ReplyKind.SHED: RefusalReason.OVERLOAD,
    ReplyKind.DRAINING: RefusalReason.REFUSED_BY_UPSTREAM,
    ReplyKind.EXPIRED: RefusalReason.DEADLINE,
}
REFUSAL_BY_LACK: Final = {
    LackReason.OVERLOAD: RefusalReason.OVERLOAD,
    LackReason.DEADLINE: RefusalReason.DEADLINE,
    LackReason.NO_REPLICA: RefusalReason.NO_REPLICA,
    LackReason.QUARANTINED: RefusalReason.QUARANTINED,
}
NOT_SENT_LOSSES: Final = frozenset({LossKind.NOT_SENT, LossKind.CONNECT_FAILED})


def classify_search_reply(sub: SubSearch, reply: UpstreamReply) -> ReplyKind:
    """Checks a reply against the snapshot that its search asked for.

    Args:
        sub: The sub-search.
        reply: The reply of an upstream.

    Returns:
        The kind of the reply; OK only if the hits may be handed over.
    """
    if reply.kind is not ReplyKind.OK:
        return reply.kind
    if reply.snapshot is None:
        return ReplyKind.MALFORMED
    if sub.snapshot is not None and reply.snapshot != sub.snapshot:
        return ReplyKind.WRONG_SNAPSHOT
    return ReplyKind.OK


def lacking(
    sub: SubSearch, reason: LackReason, available: tuple[Snapshot, ...] = ()
) -> FinishSearch:
    """Returns the outcome of a sub-search whose shard is lacking."""
    reply = ShardReply(shard=sub.target.shard, reason=reason, available=available)
    return FinishSearch(sub_id=sub.sub_id, reply=reply)


def not_run(sub: SubRun, reason: RefusalReason | None) -> FinishRun:
    """Returns the outcome of a run that is proved not to have run."""
    return FinishRun(sub.sub_id, RunReport(sub.run_id, RunState.NOT_RUN, reason))


def unknown(sub: SubRun) -> FinishRun:
    """Returns the outcome of a run that may have run."""
    return FinishRun(sub.sub_id, RunReport(sub.run_id, RunState.UNKNOWN))


def run_outcome(sub: SubRun, reply: UpstreamReply, codec: ExchangeCodec) -> FinishRun:
    """Returns what a reply proves about a non-idempotent request.

    Args:
        sub: The request.
        reply: The reply of the one upstream that received it.
        codec: Decodes the result.

    Returns:
        Done with the result, not run if the upstream says so, unknown otherwise.
    """
    if reply.kind is ReplyKind.OK:
        try:
            body = codec.decode_run(reply.body)
        except ValueError:
            return unknown(sub)
        return FinishRun(sub.sub_id, RunReport(sub.run_id, RunState.DONE, body=body))
    refusal = REFUSAL_BY_REPLY.get(reply.kind)
    if refusal is not None:
        return not_run(sub, refusal)
    return unknown(sub)
