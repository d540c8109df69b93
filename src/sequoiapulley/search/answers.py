"""Builds the answers to searches from the shard replies collected so far."""

from __future__ import annotations

from sequoiapulley.search.gather import Gather
from sequoiapulley.search.hit_merge import merge_hits
from sequoiapulley.search.messages import MissingReason, SearchAnswer, SearchRequest
from sequoiapulley.search.search_plan import SearchPlan
from sequoiapulley.search.search_state import SearchState, meets_min_coverage


def make_answer(search: SearchState, now: float) -> SearchAnswer:
    """Builds the answer to a search from the attempt that covers the most shards.

    Args:
        search: The search to answer.
        now: Clock reading in seconds.

    Returns:
        An answer from one snapshot. Each shard of the plan is either covered or missing in it.
    """
    request = search.request
    gather = search.best_gather()
    covered = gather.covered_shards()
    return SearchAnswer(
        request_id=request.request_id,
        snapshot=gather.snapshot if covered else None,
        hits=merge_hits(gather.covered.values(), request.limit),
        covered=covered,
        lacking=gather.missing_shards(),
        elapsed_ms=(now - search.started) * 1000,
        complete=meets_min_coverage(gather, request) and (bool(covered) or not gather.total),
    )


def make_refused_answer(request: SearchRequest, plan: SearchPlan | None = None) -> SearchAnswer:
    """Builds the answer to a search that is not run.

    Args:
        request: The refused search.
        plan: Shards of the search, or None if the service does not exist.

    Returns:
        An answer in which every shard is missing.
    """
    gather = Gather(plan.targets if plan else (), None)
    for target in gather.targets:
        gather.mark_missing(target.shard, MissingReason.OVERLOAD)
    return SearchAnswer(
        request_id=request.request_id,
        snapshot=None,
        hits=(),
        covered=(),
        lacking=gather.missing_shards(),
        elapsed_ms=0.0,
        complete=False,
    )
