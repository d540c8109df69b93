"""The backend of the operators' port: edits, state and metrics of this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from result import Err, Ok

from sequoiapulley.daemon.callers_backend import NodeCallersBackend
from sequoiapulley.daemon.config_task import ConfigTask
from sequoiapulley.daemon.fleet_task import FleetTask
from sequoiapulley.daemon.request_task import RequestTask
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.entry.operators_messages import (
    ConfigView,
    EditAccepted,
    EditFindings,
    EditOutcome,
    EditRefused,
    EditRequest,
    EditUnavailable,
    EventsView,
    HistoryEntry,
    HistoryView,
    MemberView,
    ReadyView,
    StatusView,
)
from sequoiapulley.fleet.config_editor import EditConflict, EditReply
from sequoiapulley.fleet.config_record import ConfigRecord
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import CallerId, ConfigVersion, EditId, FailureDomainName
from sequoiapulley.observe.burn_messages import NodeBurnReport
from sequoiapulley.observe.node_observer import NodeObserver, NodeSample
from sequoiapulley.platform.store import StoreErrorKind
from sequoiapulley.runtime import Clock
from sequoiapulley.settings.daemon_settings import DaemonSettings
from sequoiapulley.settings.text import ParsedConfiguration
from sequoiapulley.wire.connection_budget import ConnectionBudget

EDIT_TEXT_NAME: Final = "edit"
"""Stated in findings in place of a file name, as an edit is no file."""


class NodeOperatorsBackend:
    """Serves operators' requests from the node's tasks."""

    def __init__(
        self,
        cfg: DaemonSettings,
        clock: Clock,
        config: ConfigTask,
        fleet: FleetTask,
        searches: SearchTask,
        requests: RequestTask,
        callers: NodeCallersBackend,
        count_home_upstreams: Callable[[], int],
        observer: NodeObserver,
        upstreams: UpstreamTask,
        budget: ConnectionBudget,
    ) -> None:
        """Initialise the backend.

        Args:
            cfg: Settings of the daemon.
            clock: Clock of the process.
            config: Holds the active configuration and writes edits.
            fleet: Holds the members of the fleet.
            searches: Counts searches in flight.
            requests: Counts non-idempotent requests in flight.
            callers: Chooses entry addresses.
            count_home_upstreams: Returns the number of upstreams whose preferred home is this node.
            observer: Holds metrics, the burn report and recent log events.
            upstreams: Counts the work sent to upstreams.
            budget: Counts the accepted connections.
        """
        self._cfg = cfg
        self._clock = clock
        self._started_at = clock.now()
        self._config = config
        self._fleet = fleet
        self._searches = searches
        self._requests = requests
        self._callers = callers
        self._count_home_upstreams = count_home_upstreams
        self._observer = observer
        self._upstreams = upstreams
        self._budget = budget
        self.shutting_down = False

    def config(self) -> ConfigView:
        """Returns the newest configuration record of this node; version 0 if there is none."""
        record = self._config.record()
        if record is None:
            return ConfigView(ConfigVersion(0), EditId(""), "", 0.0, "")
        return _config_view(record)

    def edit(self, req: EditRequest, done: Callable[[EditOutcome], None]) -> None:
        """Validates an edit and writes it to the store."""

        def checked(result: ParsedConfiguration) -> None:
            if isinstance(result, Err):
                done(EditFindings(result.err_value))
                return
            self._config.edit(
                req.base_version,
                req.edit_id,
                req.author,
                req.text,
                lambda reply: done(_edit_outcome(reply)),
            )

        version = ConfigVersion(req.base_version + 1)
        self._config.check_text(req.text, version, EDIT_TEXT_NAME, checked)

    def history(self, done: Callable[[HistoryView | None], None]) -> None:
        """Reads the accepted edits; the result is None while the store is unreachable."""
        if not self._config.store_reachable:
            done(None)
            return
        self._config.history(lambda records: done(_history_view(records)))

    def status(self) -> StatusView:
        """Returns the state of this node and the members of the fleet as it sees them."""
        return StatusView(
            node=self._cfg.node,
            workspace=self._cfg.workspace,
            version=self._active_version(),
            uptime_s=self._uptime(),
            members=tuple(_member_view(member) for member in self._fleet.members()),
            in_flight=self._in_flight(),
            homes=self._count_home_upstreams(),
            store_reachable=self._config.store_reachable,
            callers_address=str(self._cfg.callers),
        )

    def entries(self, caller: str, failure_domain: str) -> Struct:
        """Returns the addresses that a caller should use."""
        return self._callers.entries(
            CallerId(caller), FailureDomainName(failure_domain) if failure_domain else None
        )

    def events(self, after: int) -> EventsView:
        """Returns the recent log events after a sequence number."""
        recent = self._observer.recent_events(after)
        return EventsView(self._cfg.node, recent.events, recent.dropped)

    def burn(self) -> NodeBurnReport:
        """Returns this node's part of the burn report."""
        return self._observer.node_burn_report()

    def ready(self) -> ReadyView:
        """Returns whether this node should receive callers, with the reasons if not."""
        reasons = []
        if self._config.configuration is None:
            reasons.append("no configuration is in force")
        if self.shutting_down:
            reasons.append("the node is leaving")
        return ReadyView(not reasons, tuple(reasons))

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        sample = NodeSample(
            config_version=self._active_version(),
            member_states=tuple(member.state.value for member in self._fleet.members()),
            in_flight=self._in_flight(),
            homes=self._count_home_upstreams(),
            store_reachable=self._config.store_reachable,
            uptime_s=self._uptime(),
            upstreams=self._upstreams.sample(),
            connections=len(self._budget.connections),
            connection_bytes=self._budget.used,
        )
        return self._observer.render(sample)

    def _uptime(self) -> float:
        """Returns the time since the start in seconds."""
        return self._clock.now() - self._started_at

    def _in_flight(self) -> int:
        """Returns the number of searches and requests in flight."""
        return int(self._searches.in_flight() + self._requests.in_flight())

    def _active_version(self) -> ConfigVersion:
        """Returns the active configuration's version, 0 if there is none."""
        configuration = self._config.configuration
        return configuration.version if configuration is not None else ConfigVersion(0)


def _config_view(record: ConfigRecord) -> ConfigView:
    """Builds the wire form of a record."""
    return ConfigView(record.version, record.edit_id, record.author, record.edited_at, record.text)


def _history_view(records: tuple[ConfigRecord, ...]) -> HistoryView:
    """Builds the wire form of the accepted edits."""
    return HistoryView(
        tuple(
            HistoryEntry(record.version, record.edit_id, record.author, record.edited_at)
            for record in records
        )
    )


def _member_view(member: Member) -> MemberView:
    """Builds the wire form of a member."""
    return MemberView(
        node=member.node,
        state=member.state.value,
        failure_domain=member.failure_domain,
        region=member.region,
        address=f"{member.host}:{member.operators_port}",
        config_version=member.config_version,
    )


def _edit_outcome(reply: EditReply) -> EditOutcome:
    """Builds the wire form of an edit's outcome."""
    if isinstance(reply, Ok):
        return EditAccepted(reply.ok_value.version)
    error = reply.err_value
    if isinstance(error, EditConflict):
        return EditRefused(_config_view(error.current))
    outcome_known = error.kind is not StoreErrorKind.NO_REPLY
    return EditUnavailable(outcome_known, error.detail)
