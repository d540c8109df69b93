"""Waiting until every live node reports a configuration in force."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep
from typing import Final

from msgspec import Struct
from result import Err

from sequoiapulley.cli.exit_code import CliError
from sequoiapulley.cli.node_client import NodeClient, call_node
from sequoiapulley.entry.operators_messages import MemberView, StatusView
from sequoiapulley.ids import ConfigVersion, NodeId

POLL_INTERVAL: Final = 0.1
"""Seconds between two rounds of questions."""
MOST_CALLS_AT_ONCE: Final = 32
GONE_STATES: Final = frozenset({"dead", "left"})
"""States of members that no edit waits for."""


class LaggingNode(Struct, frozen=True):
    """A live node that has not reported the version."""

    node: NodeId
    address: str
    detail: str


class Rollout(Struct, frozen=True):
    """How far a version has come."""

    took_s: float
    """Seconds from sending the edit to the last report."""
    in_force: tuple[NodeId, ...]
    lagging: tuple[LaggingNode, ...]


def wait_until_in_force(
    client: NodeClient, version: ConfigVersion, started: float, wait: float, timeout: float
) -> Rollout:
    """Asks every live node for its version until all report it or the time is over.

    Args:
        client: Client whose first answering node names the members.
        version: Accepted version.
        started: Monotonic seconds when the edit was sent.
        wait: Seconds to wait.
        timeout: Seconds to wait for one answer.

    Returns:
        Who has the version and who lags.
    """
    in_force: dict[NodeId, None] = {}
    while True:
        lagging = _ask_round(client, version, in_force, min(timeout, wait))
        elapsed = monotonic() - started
        if not lagging or elapsed >= wait:
            return Rollout(elapsed, tuple(in_force), tuple(lagging))
        sleep(POLL_INTERVAL)


def _ask_round(
    client: NodeClient, version: ConfigVersion, in_force: dict[NodeId, None], timeout: float
) -> list[LaggingNode]:
    """Asks the members that have not reported yet, and returns those that still lag."""
    try:
        members = client.get("/v1/status").expect(StatusView).members
    except CliError as exc:
        return [LaggingNode(NodeId("all"), "", exc.message)]
    pending = [
        member
        for member in members
        if member.state not in GONE_STATES and member.node not in in_force
    ]
    lagging: list[LaggingNode] = []
    with ThreadPoolExecutor(MOST_CALLS_AT_ONCE) as pool:
        details = pool.map(lambda member: _ask_member(member, version, timeout), pending)
        for member, detail in zip(pending, details, strict=True):
            if detail is None:
                in_force[member.node] = None
                continue
            lagging.append(LaggingNode(member.node, member.address, detail))
    return lagging


def _ask_member(member: MemberView, version: ConfigVersion, timeout: float) -> str | None:
    """Returns why a member lags, or None if it reports the version."""
    if not member.address:
        return f"reported version {member.config_version} to its peers, address unknown"
    result = call_node(member.address, "GET", "/v1/status", None, timeout)
    if isinstance(result, Err):
        return f"no answer ({result.err_value})"
    try:
        status = result.ok_value.expect(StatusView)
    except CliError as exc:
        return exc.message
    return None if status.version >= version else f"has version {status.version}"
