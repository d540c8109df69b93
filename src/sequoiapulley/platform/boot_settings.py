"""Reads the settings file that the platform provides to a node."""

from __future__ import annotations

from pathlib import Path
from tomllib import loads
from typing import Any, Final

from msgspec import Struct, convert, field
from result import Err, Ok, Result

from sequoiapulley.forward.addresses import check_port
from sequoiapulley.forward.node_settings import Address, NodeSettings
from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.forward.route_table import MS_PER_S
from sequoiapulley.ids import FailureDomainName, NodeId, RegionName
from sequoiapulley.wire.connection_budget import ResourceLimits

DEFAULT_PEERS_PORT: Final = 7380
"""First port for traffic between nodes if the file has no `internal_ports`."""


class _Bounds(Struct):
    """Limits and periods from the platform's rules; others in the table are ignored."""

    grace_s: float = 6.0
    """Time from the stop signal to the forced exit of the process."""
    drain_ms: float = 3000.0
    """Time for which an upstream serves after it announced its shutdown."""
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 100.0
    ttl_max_s: float = 5.0
    """Maximum time for which callers cache the answer to an entry node query."""


class _Listen(Struct):
    """Addresses on which the node listens, each as `IP:PORT`."""

    front: str
    """Address for callers."""
    ready: str | None = None
    """Address for readiness checks."""
    directory: str | None = None
    """Address for entry node queries."""
    control: str | None = None
    """Address for other nodes; if missing, the node's IP and its first internal port."""


class _Limits(Struct):
    """Resources of the process."""

    cpu_share: float = 1.0
    cores: float = 1.0
    """Speed of the CPU relative to one core; not a number of cores, despite the name."""
    memory_mb: int = 0
    """Memory in MB; 0 if the file does not state it."""
    max_fds: int = 0
    """Maximum number of descriptors; 0 if the file does not state it."""


class _Platform(Struct):
    """Address of the platform's key-value store."""

    address: str


class _SettingsFile(Struct):
    """The fields of the settings file that a node uses; others are ignored."""

    node_name: str
    ip: str
    zone: str
    region: str
    listen_addrs: _Listen
    platform: _Platform
    initial_start: bool = False
    """Whether the whole fleet starts for the first time; false when one process starts again."""
    internal_ports: list[int] = []
    """First and last port for traffic between nodes, TCP and UDP."""
    seeds: list[str] = []
    zones: dict[str, str] = {}
    """Region of each zone (failure domain)."""
    limits: _Limits = field(default_factory=_Limits)
    bounds: _Bounds = field(default_factory=_Bounds)


def load_boot_settings(path: Path) -> Result[NodeSettings, str]:
    """Reads the settings file.

    Args:
        path: Path of the TOML file.

    Returns:
        The settings, or a message that describes the error in the file.
    """
    try:
        doc: dict[str, Any] = loads(path.read_text(encoding="utf-8"))
        boot = convert(doc, type=_SettingsFile, strict=False)
        return Ok(_settings(boot))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"cannot be read: {exc}")
    except (ValueError, RecursionError) as exc:
        # The decoders raise the latter for values that nest deep.
        return Err(str(exc))


def _settings(boot: _SettingsFile) -> NodeSettings:
    """Converts the file's fields to `NodeSettings`.

    Raises:
        ValueError: If an address is not of the form `IP:PORT`.
    """
    first_port = boot.internal_ports[0] if boot.internal_ports else DEFAULT_PEERS_PORT
    listen = boot.listen_addrs
    control = _optional_address(listen.control)
    return NodeSettings(
        name=NodeId(boot.node_name),
        failure_domain=FailureDomainName(boot.zone),
        region=RegionName(boot.region),
        host=boot.ip,
        regions={FailureDomainName(zone): RegionName(name) for zone, name in boot.zones.items()},
        store=_address(boot.platform.address),
        callers=_address(listen.front),
        readiness=_optional_address(listen.ready),
        directory=_optional_address(listen.directory),
        peers=control or Address(boot.ip, first_port),
        heartbeat_port=first_port,
        seeds=tuple(_address(seed) for seed in boot.seeds),
        quota=QuotaSettings(
            ratio=boot.bounds.retry_ratio,
            slack=boot.bounds.retry_slack,
            window=boot.bounds.retry_window_s,
        ),
        first_start=boot.initial_start,
        grace=boot.bounds.grace_s,
        drain=boot.bounds.drain_ms / MS_PER_S,
        most_entry_ttl=boot.bounds.ttl_max_s,
        capacity=boot.limits.cpu_share * boot.limits.cores,
        resources=ResourceLimits(boot.limits.memory_mb, boot.limits.max_fds),
    )


def _address(text: str) -> Address:
    """Decodes an address of the form `IP:PORT`.

    Raises:
        ValueError: If the text is not of that form, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"address {text!r} is not IP:PORT")
    check_port(int(port))
    return Address(host, int(port))


def _optional_address(text: str | None) -> Address | None:
    """Decodes an address; returns None if the text is missing or empty."""
    return _address(text) if text else None
