"""Reads the platform's settings file."""

from __future__ import annotations

from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any, Final

from msgspec import DecodeError, Struct, ValidationError, convert, field
from result import Err, Ok, Result

from sequoiapulley.forward.node_settings import Address, NodeSettings
from sequoiapulley.forward.retry_quota import QuotaSettings
from sequoiapulley.ids import FailureDomainName, NodeId, RegionName

DEFAULT_PEERS_PORT: Final = 7380
"""First port between nodes where the file names none."""


class _Bounds(Struct):
    """Figures of the rules that a node needs."""

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 100.0
    ttl_max_s: float = 5.0


class _Listen(Struct):
    """Addresses of what the role serves."""

    front: str
    """Callers' address."""
    ready: str | None = None
    directory: str | None = None
    control: str | None = None


class _Limits(Struct):
    """What the machine gives the process."""

    cpu_share: float = 1.0
    cores: float = 1.0
    """Speed of the processor relative to one core, although it reads like a number of cores."""


class _Platform(Struct):
    """Where the store is."""

    address: str


class _Boot(Struct):
    """The fields of the file that a node needs; others are ignored."""

    node_name: str
    ip: str
    zone: str
    region: str
    listen_addrs: _Listen
    platform: _Platform
    internal_ports: list[int] = []
    """First and last port for traffic between nodes, over TCP and UDP."""
    seeds: list[str] = []
    zones: dict[str, str] = {}
    """Region of each zone."""
    limits: _Limits = field(default_factory=_Limits)
    bounds: _Bounds = field(default_factory=_Bounds)


def load_boot_settings(path: Path) -> Result[NodeSettings, str]:
    """Reads the settings file.

    Args:
        path: The file, TOML.

    Returns:
        The settings, or what is wrong with the file.
    """
    try:
        doc: dict[str, Any] = loads(path.read_text(encoding="utf-8"))
        boot = convert(doc, type=_Boot, strict=False)
        return Ok(_settings(boot))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"cannot be read: {exc}")
    except (TOMLDecodeError, DecodeError, ValidationError, ValueError) as exc:
        return Err(str(exc))


def _settings(boot: _Boot) -> NodeSettings:
    """Turns the file's fields into the project's settings.

    Raises:
        ValueError: If an address cannot be read.
    """
    first_port = boot.internal_ports[0] if boot.internal_ports else DEFAULT_PEERS_PORT
    listen = boot.listen_addrs
    control = _optional(listen.control)
    return NodeSettings(
        name=NodeId(boot.node_name),
        failure_domain=FailureDomainName(boot.zone),
        region=RegionName(boot.region),
        host=boot.ip,
        regions={FailureDomainName(zone): RegionName(name) for zone, name in boot.zones.items()},
        store=_address(boot.platform.address),
        callers=_address(listen.front),
        readiness=_optional(listen.ready),
        directory=_optional(listen.directory),
        peers=control or Address(boot.ip, first_port),
        heartbeat_port=first_port,
        seeds=tuple(_address(seed) for seed in boot.seeds),
        quota=QuotaSettings(
            ratio=boot.bounds.retry_ratio,
            slack=boot.bounds.retry_slack,
            window=boot.bounds.retry_window_s,
        ),
        grace=boot.bounds.grace_s,
        most_entry_ttl=boot.bounds.ttl_max_s,
        capacity=boot.limits.cpu_share * boot.limits.cores,
    )


def _address(text: str) -> Address:
    """Decodes `IP:PORT`.

    Raises:
        ValueError: If it is not of that form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {text!r} is not IP:PORT")
    return Address(host, int(port))


def _optional(text: str | None) -> Address | None:
    """Decodes an address that may be missing."""
    return _address(text) if text else None
