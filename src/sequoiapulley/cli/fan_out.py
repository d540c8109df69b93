"""Asking many nodes the same question at once."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from result import Err, Result

from sequoiapulley.cli.node_client import Answer, call_node
from sequoiapulley.entry.operators_messages import MemberView

MOST_CALLS_AT_ONCE: Final = 32
GONE_STATES: Final = frozenset({"dead"})
"""States of members that nothing waits for."""


def live_members(members: Iterable[MemberView]) -> list[MemberView]:
    """Returns the members that are expected to answer."""
    return [member for member in members if member.state not in GONE_STATES]


def ask_each(
    members: Sequence[MemberView], target: str, timeout: float
) -> Iterator[tuple[MemberView, Result[Answer, str]]]:
    """Sends a GET to the operators' port of each member.

    Args:
        members: Who is asked.
        target: Path and query.
        timeout: Seconds to wait for one answer.

    Yields:
        Each member with its answer, or why there is none, in the order of the members.
    """

    def ask(member: MemberView) -> Result[Answer, str]:
        if not member.address:
            return Err("address unknown")
        result = call_node(member.address, "GET", target, None, timeout)
        return Err(f"no answer ({result.err_value})") if isinstance(result, Err) else result

    with ThreadPoolExecutor(MOST_CALLS_AT_ONCE) as pool:
        yield from zip(members, pool.map(ask, members), strict=True)
