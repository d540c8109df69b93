"""Settings of one daemon process."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Final

from msgspec import Struct
from result import Err, Ok, Result

from sequoiapulley.ids import FailureDomainName, NodeId, RegionName, WorkspaceName
from sequoiapulley.settings.document import Problem, read_document
from sequoiapulley.settings.finding import Finding
from sequoiapulley.settings.section import LARGEST_PORT, Section

DEFAULT_ENTRY_LIFETIME_S: Final = 30.0
MIN_ENTRY_LIFETIME_S: Final = 1.0
MAX_ENTRY_LIFETIME_S: Final = 600.0

_LISTENERS: Final = ("callers", "operators", "link", "membership")
_SERVERS: Final = ("store", "vm_list")


class Endpoint(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `HOST:PORT`."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class TlsFiles(Struct, frozen=True):
    """Files of mutual TLS between nodes, PEM."""

    certificate: str
    key: str
    authority: str
    """Certificate of the authority that signs every node's certificate."""


class FanOut(Enum):
    """How the shards of a search are reached."""

    HOMES = "homes"
    """Through the home of each instance, which owns its limits and connections."""
    DIRECT = "direct"
    """By the entry itself, which has a share of every limit; for small fleets and comparison."""


class LogSettings(Struct, frozen=True):
    """How log events are written."""

    json: bool = False
    """One JSON object a line."""


class DaemonSettings(Struct, frozen=True):
    """Everything a daemon must know before it can reach the store."""

    node: NodeId
    workspace: WorkspaceName
    failure_domain: FailureDomainName
    region: RegionName
    callers: Endpoint
    """Where callers connect."""
    operators: Endpoint
    """Where operators and monitoring connect."""
    link: Endpoint
    """Where other nodes send searches and requests, grpc."""
    membership: Endpoint
    """Where other nodes probe, UDP."""
    store: Endpoint
    """The platform's key-value service."""
    vm_list: Endpoint
    """The platform's list of VMs."""
    membership_key_file: str | None = None
    """File with the key that signs membership datagrams."""
    tls: TlsFiles | None = None
    """Files of mutual TLS on `link`; None for plain text."""
    log: LogSettings = LogSettings()
    fan_out: FanOut = FanOut.HOMES
    """The same on all nodes of a fleet."""
    entry_lifetime_s: float = DEFAULT_ENTRY_LIFETIME_S
    """How long callers may keep an entry address, and a leaving node serves on, in seconds."""


def load_settings(path: str | Path) -> Result[DaemonSettings, tuple[Finding, ...]]:
    """Reads and checks a settings file.

    Args:
        path: JSON with comments.

    Returns:
        The settings, or every finding.
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
    """Checks the text of a settings file.

    Args:
        text: JSON with comments.
        file: Name for findings.

    Returns:
        The settings, or every finding in the order of the text.
    """
    document = read_document(text, file)
    if isinstance(document, Err):
        return document
    problems: list[Problem] = []
    settings = _read_settings(Section(document.ok_value.value, (), problems))
    findings = document.ok_value.place(problems)
    return Err(findings) if findings else Ok(settings)


def _read_settings(root: Section) -> DaemonSettings:
    endpoints = {key: _read_endpoint(root, key) for key in (*_LISTENERS, *_SERVERS)}
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
        **endpoints,
    )
    root.finish()
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
    port = section.integer("port", 1, LARGEST_PORT)
    section.finish()
    return Endpoint(host, port)


def _check_listeners(root: Section, endpoints: dict[str, Endpoint]) -> None:
    """Records two TCP listeners on one address; membership is UDP and may share a number."""
    seen: dict[Endpoint, str] = {}
    for key in _LISTENERS[:-1]:
        endpoint = endpoints[key]
        if not endpoint.host:
            continue
        other = seen.setdefault(endpoint, key)
        if other != key:
            root.report(f'"{other}" and "{key}" share one address', key)


def _read_tls(section: Section | None) -> TlsFiles | None:
    if section is None:
        return None
    files = TlsFiles(section.text("certificate"), section.text("key"), section.text("authority"))
    section.finish()
    return files


def _read_log(section: Section | None) -> LogSettings:
    if section is None:
        return LogSettings()
    log = LogSettings(json=section.flag("json", False))
    section.finish()
    return log
