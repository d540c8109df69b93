"""Concurrent requests to many nodes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from result import Err, Result

from sequoiapulley.cli.node_client import Answer, call_node
from sequoiapulley.entry.operators_messages import MemberView

MAX_CONCURRENT_CALLS: Final = 32
DEAD_STATES: Final = frozenset({"dead"})
"""States of members that are not expected to answer."""


def live_members(members: Iterable[MemberView]) -> list[MemberView]:
    """Returns the members that are expected to answer, that is, all but the dead."""
    return [member for member in members if member.state not in DEAD_STATES]


def query_members(
    members: Sequence[MemberView], target: str, timeout: float
) -> Iterator[tuple[MemberView, Result[Answer, str]]]:
    """Sends a GET request to the operators' port of each member.

    Args:
        members: Members to query.
        target: Path and query.
        timeout: Timeout of each socket operation, in seconds.

    Yields:
        Each member with its answer or the reason for the failure, in the order of `members`.
    """

    def ask(member: MemberView) -> Result[Answer, str]:
        if not member.address:
            return Err("address unknown")
        result = call_node(member.address, "GET", target, None, timeout)
        return Err(f"no answer ({result.err_value})") if isinstance(result, Err) else result

    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        yield from zip(members, pool.map(ask, members), strict=True)
