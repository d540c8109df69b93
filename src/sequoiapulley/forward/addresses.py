"""Checks addresses that come from other processes before a socket uses them."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Final

from sequoiapulley.forward.state import NodeRecord

MAX_PORT: Final = 65_535


def check_addresses(record: NodeRecord) -> None:
    """Checks the addresses in a node's record.

    Raises:
        ValueError: If the host is no IPv4 address of one VM, or a port is out of range.
    """
    check_host(record.host)
    for port in (record.callers_port, record.peers_port, record.heartbeat_port):
        check_port(port)


def check_host(host: str) -> None:
    """Checks an IP address.

    A name in its place would block the event loop while it is resolved. An unspecified address
    would lead to this VM, a multicast or reserved one to no VM.

    Raises:
        ValueError: If it is not the IPv4 address of one VM.
    """
    address = IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f"{host} is not the address of one VM")


def check_port(port: int) -> None:
    """Checks a port number.

    Raises:
        ValueError: If it is out of range.
    """
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
