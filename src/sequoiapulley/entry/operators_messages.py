"""Messages of the operators' HTTP port."""

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
    """The configuration that a node has in force."""

    version: ConfigVersion
    """0 while the node has none."""
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
    """The accepted edits that are kept, newest first."""

    entries: tuple[HistoryEntry, ...]


class EditRequest(Struct, frozen=True):
    """An operator's edit of the whole text."""

    base_version: ConfigVersion
    """Version that the operator edited."""
    edit_id: EditId
    """Unique; a repeat with the same id finds the edit that took effect."""
    author: str
    text: str


class EditAccepted(Struct, frozen=True):
    """The edit is in the store and will be in force everywhere."""

    version: ConfigVersion


class EditRefused(Struct, frozen=True):
    """Another edit came first."""

    current: ConfigView


class EditFindings(Struct, frozen=True):
    """The text has faults."""

    findings: tuple[Finding, ...]


class EditUnavailable(Struct, frozen=True):
    """The store did not confirm the edit."""

    outcome_known: bool
    """True if nothing was written; False if the edit may have taken effect."""
    detail: str


EditOutcome = EditAccepted | EditRefused | EditFindings | EditUnavailable


class MemberView(Struct, frozen=True):
    """One node as the asked node sees it."""

    node: NodeId
    state: str
    failure_domain: FailureDomainName = field(name="place")
    region: RegionName
    address: str
    """Operators' `HOST:PORT` of the node; empty when unknown."""
    config_version: ConfigVersion


class StatusView(Struct, frozen=True):
    """The state of one node and its view of the others."""

    node: NodeId
    workspace: WorkspaceName = field(name="customer")
    version: ConfigVersion
    """Configuration in force on the asked node."""
    uptime_s: float
    members: tuple[MemberView, ...]
    """Every node known, the asked one included."""
    in_flight: int
    """Searches and requests being answered."""
    homes: int
    """Upstreams whose connections this node owns."""
    store_reachable: bool
    callers_address: str = ""
    """`HOST:PORT` where callers reach the node."""


class ReadyView(Struct, frozen=True):
    """Whether a node should receive callers."""

    ready: bool
    reasons: tuple[str, ...] = ()
    """What is missing while it is not ready."""


class EventsView(Struct, frozen=True):
    """Log events of a node after a sequence number."""

    node: NodeId
    events: tuple[EventRecord, ...]
    dropped: int
    """Events after the asked number that are no longer kept."""
