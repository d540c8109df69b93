"""Settings file of a daemon process."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Final

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.ids import FailureDomainName, NodeId, RegionName, WorkspaceName
from sequoiapulley.settings.document import Problem, read_document
from sequoiapulley.settings.finding import Finding
from sequoiapulley.settings.section import MAX_PORT, Section
from sequoiapulley.wire.connection_budget import ResourceLimits

DEFAULT_ENTRY_LIFETIME_S: Final = 30.0
MIN_ENTRY_LIFETIME_S: Final = 1.0
MAX_ENTRY_LIFETIME_S: Final = 600.0
MAX_MEMORY_MB: Final = 16_777_216
MAX_FDS: Final = 1_048_576

_LISTENERS: Final = ("callers", "operators", "link", "membership")
_PLATFORM_SERVERS: Final = ("store", "vm_list")


class Endpoint(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `HOST:PORT`."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class TlsFiles(Struct, frozen=True):
    """PEM files for mutual TLS between nodes."""

    certificate: str
    key: str
    authority: str
    """Certificate of the authority that signs the certificates of all nodes."""


class FanOut(Enum):
    """How an entry node sends a search to the upstreams of its shards."""

    HOMES = "homes"
    """Through the home node of each instance, which owns the limits and connections of its
    upstreams."""
    DIRECT = "direct"
    """Directly from the entry node, which has a share of each limit; for small fleets and for
    comparison with `HOMES`."""


class LogSettings(Struct, frozen=True):
    """Format of the log."""

    json: bool = False
    """Whether to write one JSON object per line instead of text."""


class DaemonSettings(Struct, frozen=True):
    """Settings that a daemon needs before it can connect to the store.

    The file calls the workspace `customer` and the failure domain `place`.
    """

    node: NodeId
    workspace: WorkspaceName
    failure_domain: FailureDomainName
    region: RegionName
    callers: Endpoint
    """Listening address for callers."""
    operators: Endpoint
    """Listening address for operators and monitoring."""
    link: Endpoint
    """Listening address for searches and requests from other nodes, gRPC."""
    membership: Endpoint
    """Listening address for membership probes from other nodes, UDP."""
    store: Endpoint
    """Address of the platform's key-value store."""
    vm_list: Endpoint
    """Address of the platform's VM list."""
    membership_key_file: str | None = None
    """File that contains the key used to sign membership datagrams."""
    tls: TlsFiles | None = None
    """Files for mutual TLS on `link`; None for plaintext."""
    log: LogSettings = LogSettings()
    fan_out: FanOut = FanOut.HOMES
    """Must be the same on all nodes of a fleet."""
    entry_lifetime_s: float = DEFAULT_ENTRY_LIFETIME_S
    """Time that callers may cache the address of an entry node, in seconds; a node that shuts down
    continues to serve for this time."""
    resources: ResourceLimits = ResourceLimits()
    """Memory and descriptors of the VM, `limits` in the file."""


def load_settings(path: str | Path) -> Result[DaemonSettings, tuple[Finding, ...]]:
    """Reads and validates a settings file.

    Args:
        path: Path of the file, JSON with comments.

    Returns:
        The settings, or all findings.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        return Err((Finding(file, 1, 1, f"cannot read the file: {exc.strerror}"),))
    except UnicodeDecodeError:
        return Err((Finding(file, 1, 1, "the file is not UTF-8"),))
    return parse_settings(text, file)


def parse_settings(text: str, file: str) -> Result[DaemonSettings, tuple[Finding, ...]]:
    """Parses and validates the text of a settings file.

    Args:
        text: JSON with comments.
        file: File name for findings.

    Returns:
        The settings, or all findings in text order.
    """
    document = read_document(text, file)
    if isinstance(document, Err):
        return document
    problems: list[Problem] = []
    settings = _read_settings(Section(document.ok_value.value, (), problems))
    findings = document.ok_value.locate(problems)
    return Err(findings) if findings else Ok(settings)


def _read_settings(root: Section) -> DaemonSettings:
    endpoints = {key: _read_endpoint(root, key) for key in (*_LISTENERS, *_PLATFORM_SERVERS)}
    _check_listeners(root, endpoints)
    settings = DaemonSettings(
        node=NodeId(root.name("node")),
        workspace=WorkspaceName(root.name("customer")),
        failure_domain=FailureDomainName(root.name("place")),
        region=RegionName(root.name("region")),
        membership_key_file=root.text("membership_key_file", "") or None,
        tls=_read_tls(root.section("tls")),
        log=_read_log(root.section("log")),
        fan_out=_read_fan_out(root),
        entry_lifetime_s=root.number(
            "entry_lifetime_s",
            MIN_ENTRY_LIFETIME_S,
            MAX_ENTRY_LIFETIME_S,
            DEFAULT_ENTRY_LIFETIME_S,
        ),
        resources=_read_limits(root.section("limits")),
        **endpoints,
    )
    root.report_unknown_keys()
    return settings


def _read_fan_out(root: Section) -> FanOut:
    text = root.text("fan_out", FanOut.HOMES.value)
    try:
        return FanOut(text)
    except ValueError:
        known = ", ".join(f'"{mode.value}"' for mode in FanOut)
        root.report(f'"fan_out" must be one of {known}; "{text}" is not', "fan_out")
        return FanOut.HOMES


def _read_endpoint(root: Section, key: str) -> Endpoint:
    section = root.section(key, required=True)
    if section is None:
        return Endpoint("", 0)
    host = section.ip("host")
    port = section.integer("port", 1, MAX_PORT)
    section.report_unknown_keys()
    return Endpoint(host, port)


def _check_listeners(root: Section, endpoints: dict[str, Endpoint]) -> None:
    """Reports TCP listeners with the same address.

    The membership listener, the last one, uses UDP and may have the same port.
    """
    seen: dict[Endpoint, str] = {}
    for key in _LISTENERS[:-1]:
        endpoint = endpoints[key]
        if not endpoint.host:
            continue
        other = seen.setdefault(endpoint, key)
        if other != key:
            root.report(f'"{other}" and "{key}" have the same address', key)


def _read_tls(section: Section | None) -> TlsFiles | None:
    if section is None:
        return None
    files = TlsFiles(section.text("certificate"), section.text("key"), section.text("authority"))
    section.report_unknown_keys()
    return files


def _read_log(section: Section | None) -> LogSettings:
    if section is None:
        return LogSettings()
    log = LogSettings(json=section.flag("json", False))
    section.report_unknown_keys()
    return log


def _read_limits(section: Section | None) -> ResourceLimits:
    if section is None:
        return ResourceLimits()
    limits = ResourceLimits(
        section.integer("memory_mb", 0, MAX_MEMORY_MB, 0), section.integer("max_fds", 0, MAX_FDS, 0)
    )
    section.report_unknown_keys()
    return limits
