"""Answers to searches, made from what an attempt collected."""

from __future__ import annotations

from sequoiapulley.search.gather import Gather
from sequoiapulley.search.hit_merge import merge_hits
from sequoiapulley.search.messages import LackReason, SearchAnswer, SearchRequest
from sequoiapulley.search.search_plan import SearchPlan
from sequoiapulley.search.search_state import SearchState, is_enough


def make_answer(search: SearchState, now: float) -> SearchAnswer:
    """Makes the answer of a search from its better attempt.

    Args:
        search: The search.
        now: Clock reading in seconds.

    Returns:
        An answer at one snapshot whose covered and lacking shards are all shards of the plan.
    """
    request = search.request
    gather = search.best_gather()
    covered = gather.covered_shards()
    return SearchAnswer(
        request_id=request.request_id,
        snapshot=gather.snapshot if covered else None,
        hits=merge_hits(gather.covered.values(), request.limit),
        covered=covered,
        lacking=gather.lacking_shards(),
        elapsed_ms=(now - search.started) * 1000,
        complete=is_enough(gather, request) and (bool(covered) or not gather.total),
    )


def refuse_search(request: SearchRequest, plan: SearchPlan | None = None) -> SearchAnswer:
    """Makes the answer of a search that is not run.

    Args:
        request: The search.
        plan: Its shards, or None when the service does not exist.

    Returns:
        An answer that lacks every shard.
    """
    gather = Gather(plan.targets if plan else (), None)
    for target in gather.targets:
        gather.lack(target.shard, LackReason.OVERLOAD)
    return SearchAnswer(
        request_id=request.request_id,
        snapshot=None,
        hits=(),
        covered=(),
        lacking=gather.lacking_shards(),
        elapsed_ms=0.0,
        complete=False,
    )
