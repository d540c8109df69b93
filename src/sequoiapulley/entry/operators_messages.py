"""JSON bodies of the requests and answers on the operators' port."""

from __future__ import annotations

from msgspec import Struct, field

from sequoiapulley.ids import (
    ConfigVersion,
    EditId,
    FailureDomainName,
    NodeId,
    RegionName,
    WorkspaceName,
)
from sequoiapulley.observe.event_ring import EventRecord
from sequoiapulley.settings.finding import Finding


class ConfigView(Struct, frozen=True):
    """The active configuration of a node."""

    version: ConfigVersion
    """0 while the node has no configuration."""
    edit_id: EditId
    author: str
    edited_at: float
    """Seconds since the Unix epoch."""
    text: str


class HistoryEntry(Struct, frozen=True):
    """One accepted edit."""

    version: ConfigVersion
    edit_id: EditId
    author: str
    edited_at: float
    """Seconds since the Unix epoch."""


class HistoryView(Struct, frozen=True):
    """The accepted edits that are stored, newest first."""

    entries: tuple[HistoryEntry, ...]


class EditRequest(Struct, frozen=True):
    """A new version of the complete configuration text."""

    base_version: ConfigVersion
    """Version that the edit is based on."""
    edit_id: EditId
    """Unique id; a retry with the same id returns the edit that took effect."""
    author: str
    text: str


class EditAccepted(Struct, frozen=True):
    """The edit is stored and will become active on all nodes."""

    version: ConfigVersion


class EditRefused(Struct, frozen=True):
    """The edit conflicts with an edit that was accepted before."""

    current: ConfigView


class EditFindings(Struct, frozen=True):
    """The text of the edit is invalid."""

    findings: tuple[Finding, ...]


class EditUnavailable(Struct, frozen=True):
    """The store did not confirm the edit."""

    outcome_known: bool
    """True if the edit was not written; False if it may have taken effect."""
    detail: str


EditOutcome = EditAccepted | EditRefused | EditFindings | EditUnavailable


class MemberView(Struct, frozen=True):
    """One node in the view of the queried node."""

    node: NodeId
    state: str
    failure_domain: FailureDomainName = field(name="place")
    region: RegionName
    address: str
    """`HOST:PORT` of the node's operators' port; empty if unknown."""
    config_version: ConfigVersion


class StatusView(Struct, frozen=True):
    """The state of one node and its view of the others."""

    node: NodeId
    workspace: WorkspaceName = field(name="customer")
    version: ConfigVersion
    """Version of the active configuration of the queried node."""
    uptime_s: float
    members: tuple[MemberView, ...]
    """All known nodes, including the queried one."""
    in_flight: int
    """Number of searches and non-idempotent requests without an outcome yet."""
    homes: int
    """Number of upstreams whose preferred home is this node."""
    store_reachable: bool
    callers_address: str = ""
    """`HOST:PORT` of the callers' port."""


class ReadyView(Struct, frozen=True):
    """Readiness of a node to receive requests of callers."""

    ready: bool
    reasons: tuple[str, ...] = ()
    """Reasons why the node is not ready."""


class EventsView(Struct, frozen=True):
    """Log events of a node after a sequence number."""

    node: NodeId
    events: tuple[EventRecord, ...]
    dropped: int
    """Number of events after the sequence number that were evicted and are missing here."""
