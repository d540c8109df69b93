"""Checks addresses that come from other processes before a socket uses them."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Final

from sequoiapulley.forward.state import NodeRecord

MAX_PORT: Final = 65_535


def check_addresses(record: NodeRecord) -> None:
    """Checks the addresses in a node's record.

    A name instead of an IP address would block the event loop while it is resolved.

    Raises:
        ValueError: If the host is no IPv4 address or a port is out of range.
    """
    IPv4Address(record.host)
    for port in (record.callers_port, record.peers_port, record.heartbeat_port):
        check_port(port)


def check_port(port: int) -> None:
    """Checks a port number.

    Raises:
        ValueError: If it is out of range.
    """
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
