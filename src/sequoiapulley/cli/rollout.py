"""Waiting until every live node reports a configuration in force."""

from __future__ import annotations

from time import monotonic, sleep
from typing import Final

from msgspec import Struct
from result import Err, Result

from sequoiapulley.cli.exit_code import CliError
from sequoiapulley.cli.fan_out import ask_each, live_members
from sequoiapulley.cli.node_client import Answer, NodeClient
from sequoiapulley.entry.operators_messages import MemberView, StatusView
from sequoiapulley.ids import ConfigVersion, NodeId

POLL_INTERVAL: Final = 0.1
"""Seconds between two rounds of questions."""


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
    pending = [member for member in live_members(members) if member.node not in in_force]
    lagging: list[LaggingNode] = []
    for member, result in ask_each(pending, "/v1/status", timeout):
        detail = _why_lagging(member, result, version)
        if detail is None:
            in_force[member.node] = None
            continue
        lagging.append(LaggingNode(member.node, member.address, detail))
    return lagging


def _why_lagging(
    member: MemberView, result: Result[Answer, str], version: ConfigVersion
) -> str | None:
    """Returns why a member lags, or None if it reports the version."""
    if isinstance(result, Err):
        return f"{result.err_value}; peers have heard of version {member.config_version}"
    try:
        status = result.ok_value.expect(StatusView)
    except CliError as exc:
        return exc.message
    return None if status.version >= version else f"has version {status.version}"
