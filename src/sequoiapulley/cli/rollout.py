"""Polling of the nodes until a configuration version is active on every live one."""

from __future__ import annotations

from time import monotonic, sleep
from typing import Final

from msgspec import Struct
from result import Err, Result

from sequoiapulley.cli.exit_code import CliError
from sequoiapulley.cli.fan_out import live_members, query_members
from sequoiapulley.cli.node_client import Answer, NodeClient
from sequoiapulley.entry.operators_messages import MemberView, StatusView
from sequoiapulley.ids import ConfigVersion, NodeId

POLL_INTERVAL_S: Final = 0.1
"""Interval between two polls of the nodes."""


class LaggingNode(Struct, frozen=True):
    """A live node that has reported neither the version nor a later one."""

    node: NodeId
    address: str
    detail: str


class Rollout(Struct, frozen=True):
    """Progress of a configuration version over the live nodes."""

    took_s: float
    """Seconds from sending the edit to the end of the last poll."""
    in_force: tuple[NodeId, ...]
    lagging: tuple[LaggingNode, ...]


def wait_until_active(
    client: NodeClient, version: ConfigVersion, started: float, wait: float, timeout: float
) -> Rollout:
    """Polls every live node until all report the version, or until the wait time has elapsed.

    Args:
        client: Client for the node that lists the members.
        version: Version of the accepted edit; later versions count as well.
        started: Monotonic time in seconds at which the edit was sent.
        wait: Seconds after `started` to wait for the nodes.
        timeout: Timeout of each socket operation, in seconds.

    Returns:
        The nodes with the version and those without.
    """
    in_force: dict[NodeId, None] = {}
    while True:
        lagging = _poll_members(client, version, in_force, min(timeout, wait))
        elapsed = monotonic() - started
        if not lagging or elapsed >= wait:
            return Rollout(elapsed, tuple(in_force), tuple(lagging))
        sleep(POLL_INTERVAL_S)


def _poll_members(
    client: NodeClient, version: ConfigVersion, in_force: dict[NodeId, None], timeout: float
) -> list[LaggingNode]:
    """Polls the members not in `in_force`, adds those with the version, and returns the others.

    Args:
        client: Client for the node that lists the members.
        version: Version to find; later versions count as well.
        in_force: Nodes with the version, as the keys of a dict, which keeps their order. The
            function extends it.
        timeout: Timeout of each socket operation, in seconds.

    Returns:
        The lagging nodes; if the list of members is not available, one item with the id `all`.
    """
    try:
        members = client.get("/v1/status").expect(StatusView).members
    except CliError as exc:
        return [LaggingNode(NodeId("all"), "", exc.message)]
    pending = [member for member in live_members(members) if member.node not in in_force]
    lagging: list[LaggingNode] = []
    for member, result in query_members(pending, "/v1/status", timeout):
        detail = _lag_reason(member, result, version)
        if detail is None:
            in_force[member.node] = None
            continue
        lagging.append(LaggingNode(member.node, member.address, detail))
    return lagging


def _lag_reason(
    member: MemberView, result: Result[Answer, str], version: ConfigVersion
) -> str | None:
    """Returns the reason why a member lags, or None if it has the version."""
    if isinstance(result, Err):
        return f"{result.err_value}; peers have heard of version {member.config_version}"
    try:
        status = result.ok_value.expect(StatusView)
    except CliError as exc:
        return exc.message
    return None if status.version >= version else f"has version {status.version}"
