"""The node that forwards callers' requests: its components, connected on one event loop."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from typing import TYPE_CHECKING, Final, Protocol

from sequoiapulley.daemon.connection_log import ConnectionLog
from sequoiapulley.daemon.entry_port import CallerCodec, EntryPort
from sequoiapulley.daemon.error_log import ErrorLog
from sequoiapulley.daemon.feed_sources import FeedSourceSelector
from sequoiapulley.daemon.handover_client import HttpHandoverClient
from sequoiapulley.daemon.handover_port import HANDOVER_PATH, HandoverPort, peer_limits
from sequoiapulley.daemon.heartbeat_port import HeartbeatPort
from sequoiapulley.daemon.heartbeat_task import HeartbeatTask
from sequoiapulley.daemon.node_lifecycle import NodeLifecycle
from sequoiapulley.daemon.parts_port import PARTS_PATH, HttpPartsClient, PartsPort
from sequoiapulley.daemon.peer_source import PeerPort
from sequoiapulley.daemon.refusal_task import RefusalTask
from sequoiapulley.daemon.registration import Registration
from sequoiapulley.daemon.settings_task import SettingsTask
from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.daemon.signal_pipe import SignalPipe
from sequoiapulley.daemon.version_news import VersionNews
from sequoiapulley.forward.aggregators import Aggregators
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.contract import WireContract
from sequoiapulley.forward.crash_guard import CrashGuard
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.forward.learning import record_leaving
from sequoiapulley.forward.log_events import (
    CALLERS_CLOSED,
    DUTIES_CHANGED,
    NODE_LEAVING,
    NODE_STARTED,
    NODE_STOPPED,
    REQUESTS_ENDED,
)
from sequoiapulley.forward.messages import Answer
from sequoiapulley.forward.metrics import (
    CUT_OFF,
    PEERS_READY,
    REFUSED_REQUESTS,
    STATE_AGE,
    STORE_ERA,
    UPSTREAM_CONNECTIONS,
    UPSTREAMS,
)
from sequoiapulley.forward.node_settings import Address, NodeSettings
from sequoiapulley.forward.peer_table import (
    ROLE_CANDIDATES,
    Heartbeat,
    LeavingUpstream,
    NodeState,
    PeerTable,
)
from sequoiapulley.forward.refusal import Reason
from sequoiapulley.forward.retry_quota import RetryQuota
from sequoiapulley.forward.roles import (
    ENTRIES_PER_FAILURE_DOMAIN,
    limit_share,
    ranked,
    slack_share,
)
from sequoiapulley.forward.route_table import CallerLimits
from sequoiapulley.forward.shared_state import SharedState
from sequoiapulley.forward.state import (
    ChangeSet,
    NodeRecord,
    NodeRegistry,
    RefusalStore,
    StateSource,
)
from sequoiapulley.forward.state_feed import StateFeed
from sequoiapulley.forward.store_availability import StoreAvailability
from sequoiapulley.forward.store_position import NO_POSITION
from sequoiapulley.forward.table_history import TableHistory
from sequoiapulley.forward.tally import Tally
from sequoiapulley.forward.upstream_contact import UpstreamContact
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.forward.upstream_pool import UpstreamPool
from sequoiapulley.ids import FailureDomainName, Incarnation
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.observe.metric import Metric
from sequoiapulley.observe.metrics import (
    CONFIG_VERSION,
    CONNECTION_BYTES,
    IN_FLIGHT,
    OPEN_CONNECTIONS,
    UPTIME_SECONDS,
)
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.runtime.heap_freeze import freeze_initial_heap
from sequoiapulley.wire.connection_budget import ConnectionBudget
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.http_server import HttpServer
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.receive_budget import ReceiveBudget
from sequoiapulley.wire.server_connection import ServerLimits, ServerRequest

if TYPE_CHECKING:
    from sequoiapulley.daemon.forward_metrics import ForwardMetrics

MAX_HANDOVER_CONNECTIONS: Final = 64
"""Maximum number of connections to one node for requests that are handed over to it, a small part
of the descriptors of the smallest VMs."""
MAINTENANCE_INTERVAL_S: Final = 0.25
"""Interval between two checks of peers and idle connections."""
MAX_POLL_S: Final = 1.0
STATE_AGE_DIGITS: Final = 2
"""Decimal digits of a state's age in heartbeats."""
STANDBY_NODES: Final = 2
"""Nodes of each failure domain, besides the entry nodes, that also get a share of the upstreams'
connections, so that they can replace an entry node."""
SAME_FAILURE_DOMAIN_ROUND_TRIP_S: Final = 0.0005
SAME_REGION_ROUND_TRIP_S: Final = 0.001
OTHER_REGION_ROUND_TRIP_S: Final = 0.02
"""Network round trips assumed until replies have been measured."""
DEFAULT_SERVER_LIMITS: Final = ServerLimits()
MAX_REPLY_BYTES: Final = 1_048_576
"""Maximum size of an upstream's reply; it is as large as a value of the platform's store."""
LARGE_REPLIES_BYTES: Final = 8_388_608
"""Memory for incomplete large replies: a share of that of the smallest VMs, which have 152 MB."""
MAX_STATE_REPLY_BYTES: Final = 8_388_608
"""Maximum size of a reply of the store or of a peer, several times a full state of 4,300 upstreams;
incomplete ones have memory for two of that size."""


class Store(StateSource, NodeRegistry, RefusalStore, Protocol):
    """The store client: reads shared state, registers this node and keeps refused requests."""


class ForwardNode:
    """Owns the components of one forwarding process and runs its event loop."""

    def __init__(
        self,
        cfg: NodeSettings,
        log: LogSink,
        contract: WireContract,
        codec: CallerCodec,
        make_store: Callable[[HttpClient, Address], Store],
        watch: SettingsWatch,
    ) -> None:
        """Create the components and bind every port.

        Args:
            cfg: Settings.
            log: Receives log events.
            contract: Encodes requests to upstreams and decodes their replies.
            codec: Decodes callers' requests and encodes directory answers.
            make_store: Creates the store client.
            watch: Detects changes of the settings file and reads it.

        Raises:
            OSError: If a port cannot be bound.
        """
        self._log = log
        self._codec = codec
        self._clock = SystemClock()
        on_error = ErrorLog(log)
        self._timers = TimerQueue(self._clock, on_error)
        self._reactor = Reactor(self._clock, self._timers, on_error)
        self._random = Random()
        self._connection_log = ConnectionLog(log, self._clock)
        self._budget = ConnectionBudget(
            cfg.resources, lambda: self._reactor.sockets, self._connection_log
        )
        self._settings_task = SettingsTask(cfg, watch, self._timers, log, self._on_settings)
        self._lifecycle = NodeLifecycle()
        self._running = True
        self._roles = (False, False)
        """Whether this node is an entry node, and whether it is the store reader."""
        self._started_at = self._clock.now()
        self._metrics: ForwardMetrics | None = None
        self._local_node = NodeRecord(
            name=cfg.name,
            incarnation=Incarnation(int(self._clock.wall() * 1000)),
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            host=cfg.host,
            callers_port=cfg.callers.port,
            peers_port=cfg.peers.port,
            heartbeat_port=cfg.heartbeat_port,
            capacity=cfg.capacity,
        )
        reply_bounds = ReplyBounds(
            body_bytes=MAX_REPLY_BYTES, unframed=True, budget=ReceiveBudget(LARGE_REPLIES_BYTES)
        )
        model = LatencyModel(_assumed_round_trips(cfg))
        self._directory = UpstreamDirectory(
            self._clock,
            model,
            lambda record: UpstreamPool(
                self._reactor, self._timers, contract, record, reply_bounds
            ),
        )
        self._directory.drain = cfg.drain
        self._directory.limit_share = self._limit_share
        self._quota = RetryQuota(cfg.quota)
        self._tally = Tally()
        self._crash_guard = CrashGuard(self._timers, log)
        self._contact = UpstreamContact(self._timers, self._random, log, self._directory.accepting)
        self._contact.on_change = self._on_contact_change
        self._crash_guard.is_cut_off = lambda: self._contact.cut_off
        self._peers = PeerTable(self._local_node, log)
        parts_client = HttpClient(self._reactor, self._clock, self._timers, reply_bounds)
        self._aggregators = Aggregators(
            cfg.failure_domain,
            self._peers.ready,
            HttpPartsClient(parts_client),
            self._clock,
            log,
        )
        self._ctx = ctx = ForwardContext(
            self._clock,
            self._timers,
            contract,
            self._directory,
            model,
            self._quota,
            log,
            self._tally,
            self._crash_guard,
            self._contact,
            self._aggregators,
        )
        self._forwarder = Forwarder(ctx)
        handover_client = HttpClient(
            self._reactor, self._clock, self._timers, reply_bounds, MAX_HANDOVER_CONNECTIONS
        )
        self._forwarder.handover = HttpHandoverClient(
            handover_client, self._peers, self._clock, self._forwarder.shown
        )
        self._handover_port = HandoverPort(
            self._forwarder, self._contact, self._peers.latest_version, self._timers, log
        )
        changes = ChangeLog()
        history = TableHistory()
        self._shared_state = SharedState(
            self._forwarder,
            self._directory,
            self._peers,
            self._crash_guard,
            changes,
            history,
            self._timers,
            log,
        )
        state_bounds = ReplyBounds(
            body_bytes=MAX_STATE_REPLY_BYTES, budget=ReceiveBudget(2 * MAX_STATE_REPLY_BYTES)
        )
        self._client = HttpClient(self._reactor, self._clock, self._timers, state_bounds)
        store = make_store(self._client, cfg.store)
        self._sources = FeedSourceSelector(
            store,
            self._client,
            self._peers,
            self._forwarder,
            cfg.seeds,
            self._random,
            self._clock,
        )
        self._availability = StoreAvailability()
        self._feed = StateFeed(
            self._sources,
            self._timers,
            log,
            self._random,
            self._apply_changes,
            self._availability,
        )
        self._forwarder.state_read_at = lambda: self._feed.read_at
        self._registration = Registration(store, self._timers, self._random, self._local_node)
        self._peer_port = PeerPort(
            changes,
            self._timers,
            self._shared_state.full_state,
            history.delta_after,
            lambda: self._feed.age,
            lambda: self._feed.receiving,
            self._tally,
            log,
        )
        self._parts_port = PartsPort(ctx)
        self._heartbeat_port = HeartbeatPort(
            self._reactor, cfg.host, cfg.heartbeat_port, log, self._on_heartbeat
        )
        self._heartbeats = HeartbeatTask(
            self._heartbeat_port, self._peers, self._timers, self._make_heartbeat
        )
        self._version_news = VersionNews(
            self._forwarder, self._peers, self._heartbeats, self._feed.read_soon
        )
        self._crash_guard.on_news = self._heartbeats.send_soon
        self._crash_guard.on_refusal = RefusalTask(store, self._timers, log).keep
        self._entry_port = EntryPort(
            codec,
            self._peers,
            lambda: self._lifecycle.state is NodeState.READY,
            lambda: self._contact.cut_off,
            cfg.most_entry_ttl,
        )
        self._callers_server = self._listen(cfg.callers, self._on_caller_request)
        self._peer_server = self._listen(
            cfg.peers, self._on_peer_request, peer_limits(CallerLimits())
        )
        self._other_servers = [self._peer_server]
        for address in (cfg.readiness, cfg.directory):
            if address is not None:
                self._other_servers.append(self._listen(address, self._entry_port.serve))
        if cfg.metrics is not None:
            self._other_servers.append(self._listen(cfg.metrics, self._on_scrape))
        SignalPipe(
            self._reactor,
            {
                SIGTERM: self._begin_shutdown,
                SIGINT: self._begin_shutdown,
                SIGHUP: self._settings_task.reload,
            },
        )

    def run(self) -> None:
        """Serves until the node has shut down."""
        cfg = self._settings_task.cfg
        self._log.log(NODE_STARTED, callers=cfg.callers.port, place=cfg.failure_domain)
        self._feed.start()
        self._registration.start(cfg.first_start)
        self._tick()
        self._settings_task.start()
        self._heartbeats.start()
        freeze_initial_heap()
        while self._running:
            self._reactor.run_once(MAX_POLL_S)

    def _listen(
        self,
        address: Address,
        handler: Callable[[ServerRequest], None],
        limits: ServerLimits = DEFAULT_SERVER_LIMITS,
    ) -> HttpServer:
        """Starts an HTTP server on an address."""
        return HttpServer(
            self._reactor,
            self._timers,
            address.host,
            address.port,
            handler,
            limits,
            self._budget,
        )

    def _apply_changes(self, changes: ChangeSet, after_outage: bool) -> None:
        """Applies changes read from the store or from a peer."""
        position = self._sources.position
        if position != NO_POSITION and changes.era > position.era:
            self._registration.check_after_restore()
        try:
            self._shared_state.apply_changes(changes, after_outage)
        finally:
            # One change that fails must not keep the others from callers and peers.
            self._sources.position = max(self._sources.position, changes.position)
            self._update_readiness()
            self._forwarder.serve_pending()
            self._peer_port.wake()
            self._handover_port.wake()
            self._version_news.spread()

    def _update_readiness(self) -> None:
        """Applies the active configuration's limits on callers and marks the node as ready."""
        table = self._forwarder.table
        if table is None:
            return
        self._callers_server.limits = _server_limits(table.limits)
        self._peer_server.limits = peer_limits(table.limits)
        if self._lifecycle.mark_ready():
            self._heartbeats.send_now()

    def _tick(self) -> None:
        """Expires peers and idle connections, and completes a shutdown that is due."""
        # The next run is scheduled first, so that an unexpected error does not end the series.
        self._timers.call_later(MAINTENANCE_INTERVAL_S, self._tick)
        now = self._clock.now()
        self._peers.mark_lost_peers(now)
        self._refresh_shares()
        self._directory.sweep(now)
        self._directory.update_limit_shares(now)
        self._crash_guard.sweep()
        self._budget.enforce()
        self._check_contact()
        grace = self._lifecycle.shortest_grace(self._settings_task.cfg.grace)
        if self._lifecycle.may_stop_accepting(now, grace, len(self._callers_server.connections)):
            self._close_callers()

    def _check_contact(self) -> None:
        """Checks the links to the upstreams if cut-off peers may need this node."""
        if not self._peers.cut_off() or self._lifecycle.state is not NodeState.READY:
            return
        domain = self._local_node.failure_domain
        local = [node for node in self._peers.ready() if node.failure_domain == domain]
        if self._local_node in ranked([*local, self._local_node])[:ROLE_CANDIDATES]:
            self._contact.check_if_idle()

    def _on_contact_change(self) -> None:
        """Tells the peers that this node is cut off or in contact again."""
        self._heartbeats.send_now()
        if self._contact.cut_off:
            self._forwarder.hand_over_jobs()
        else:
            self._forwarder.shown.end_cut(self._clock.now())
            self._feed.read_soon()

    def _refresh_shares(self) -> None:
        """Updates this node's shares of the retry quota and of the upstreams' connections."""
        # `regions` maps each failure domain to its region.
        domains = max(1, len(self._settings_task.cfg.regions))
        nodes = 1 + len(self._peers.registered())
        is_entry = self._update_roles()
        if is_entry:
            self._aggregators.preopen_connections()
        self._quota.slack_share = slack_share(is_entry, domains, nodes)
        table = self._forwarder.table
        if table is not None:
            sharing_nodes = min(nodes, (ENTRIES_PER_FAILURE_DOMAIN + STANDBY_NODES) * domains)
            self._directory.configure(table.services, sharing_nodes)

    def _limit_share(self, failure_domain: FailureDomainName) -> float:
        """Returns this node's share of the limits of the upstreams of a failure domain."""
        ready = self._peers.ready()
        if self._lifecycle.state is NodeState.READY:
            ready.append(self._local_node)
        domains = len(self._settings_task.cfg.regions)
        nodes = 1 + len(self._peers.registered())
        return limit_share(self._local_node, ready, failure_domain, domains, nodes)

    def _update_roles(self) -> bool:
        """Logs a change of this node's roles; returns whether it is an entry node."""
        live = self._peers.live_local_nodes()
        entry = self._entry_port.is_entry_node()
        reader = self._peers.store_reader() is self._local_node
        if (entry, reader) != self._roles:
            self._roles = (entry, reader)
            self._log.log(DUTIES_CHANGED, entry=entry, reader=reader, live=len(live))
        return entry

    def _make_heartbeat(self) -> Heartbeat:
        """Returns a heartbeat with this node's record, state, configuration and revision."""
        return Heartbeat(
            record=self._local_node,
            state=self._lifecycle.state,
            version=self._forwarder.version,
            revision=self._feed.position.revision,
            era=self._feed.position.era,
            leaving=tuple(
                LeavingUpstream(record.name, record.started_ms)
                for record in self._directory.announced_leaving()
            ),
            state_age=round(self._feed.age, STATE_AGE_DIGITS),
            strikes=self._crash_guard.news(),
            cut_off=self._contact.cut_off,
            contact_age=round(self._contact.age, STATE_AGE_DIGITS),
            compares_versions=True,
        )

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Records a peer's heartbeat and the shutdowns of upstreams that it carries."""
        now = self._clock.now()
        self._peers.record_heartbeat(heartbeat, now)
        if heartbeat.state_age >= 0.0:
            self._availability.record(now - heartbeat.state_age)
        for news in heartbeat.leaving:
            upstream = self._directory.find(news.name)
            if upstream is not None and upstream.record.started_ms == news.started_ms:
                record_leaving(self._ctx, upstream, f"announced to {heartbeat.record.name}")
        self._crash_guard.hear(heartbeat.strikes, self._directory.service_of, heartbeat.record.name)
        self._version_news.hear(heartbeat.version)

    def _on_caller_request(self, req: ServerRequest) -> None:
        """Forwards a caller's request."""
        caller_req = self._codec.decode_request(req.parsed, self._clock.now())

        def on_answer(answer: Answer) -> None:
            req.answer(answer.status, answer.headers, answer.body)

        job = self._forwarder.handle(caller_req, on_answer)
        req.on_disconnect = job.disconnect
        req.on_give_up = partial(job.give_up, Reason.RESOURCES)

    def _on_peer_request(self, req: ServerRequest) -> None:
        """Answers a request of another node, for parts or for state."""
        if req.parsed.target == PARTS_PATH.encode():
            self._parts_port.serve(req)
            return
        if req.parsed.target == HANDOVER_PATH.encode():
            self._handover_port.serve(req)
            return
        self._peer_port.serve(req)

    def _on_settings(self, cfg: NodeSettings) -> None:
        """Applies reloaded settings to the components that use them."""
        self._quota.configure(cfg.quota)
        self._budget.configure(cfg.resources)
        self._sources.seeds = cfg.seeds
        self._directory.drain = cfg.drain
        self._entry_port.max_ttl = cfg.most_entry_ttl
        if self._lifecycle.state is NodeState.LEAVING:
            self._schedule_shutdown_end()

    def _on_scrape(self, req: ServerRequest) -> None:
        """Answers a metrics scrape; the first one loads the metrics library."""
        if self._metrics is None:
            # The import would be a third of the memory of a node that is never scraped.
            from sequoiapulley.daemon.forward_metrics import ForwardMetrics  # noqa: PLC0415

            self._metrics = ForwardMetrics(self._tally, self._connection_log.ended, self._gauges)
        self._metrics.serve(req)

    def _gauges(self) -> dict[Metric, float]:
        """Returns the current values of the gauges."""
        return {
            CONFIG_VERSION: self._forwarder.version,
            IN_FLIGHT: self._forwarder.in_flight,
            UPTIME_SECONDS: self._clock.now() - self._started_at,
            UPSTREAMS: len(self._directory),
            UPSTREAM_CONNECTIONS: self._directory.connections_opened(),
            STATE_AGE: self._feed.age,
            STORE_ERA: self._feed.position.era,
            PEERS_READY: len(self._peers.ready()),
            REFUSED_REQUESTS: self._crash_guard.refused_requests,
            CUT_OFF: float(self._contact.cut_off),
            CONNECTION_BYTES: self._budget.used,
            OPEN_CONNECTIONS: len(self._budget.connections),
        }

    def _begin_shutdown(self) -> None:
        """Starts a graceful shutdown: the directory stops listing this node, which still serves."""
        if not self._lifecycle.begin_shutdown(self._clock.now()):
            return
        self._callers_server.shutting_down = True
        self._log.log(NODE_LEAVING, in_flight=self._callers_server.busy)
        self._schedule_shutdown_end()
        self._heartbeats.send_now()
        self._registration.stop()
        # The file may have changed without a signal since the last check.
        self._settings_task.check()

    def _close_callers(self) -> None:
        """Stops accepting callers, and stops the node once nothing is in flight."""
        if self._callers_server.stop_listening():
            self._log.log(
                CALLERS_CLOSED,
                connections=len(self._callers_server.connections),
                in_flight=self._forwarder.in_flight,
                parts=self._parts_port.in_flight,
            )
        self._callers_server.close_idle()
        in_flight = self._forwarder.in_flight + self._parts_port.in_flight
        # Open connections are busy, or closing with an answer that is on its way.
        is_delivered = not self._callers_server.connections and not self._peer_server.undelivered
        if not in_flight and is_delivered:
            self._stop()

    def _schedule_shutdown_end(self) -> None:
        """Sets when this node, which shuts down, answers all open requests, and when it stops."""
        grace = self._lifecycle.shortest_grace(self._settings_task.cfg.grace)
        end = self._lifecycle.answer_end(grace)
        self._forwarder.shutdown_end = end
        self._timers.call_at(end, self._end_requests)
        self._timers.call_at(self._lifecycle.stop_end(grace), self._stop)

    def _end_requests(self) -> None:
        """Answers all open requests, as the node would be terminated while they wait."""
        ended = self._forwarder.end_jobs()
        if ended:
            self._log.log(REQUESTS_ENDED, requests=ended)

    def _stop(self) -> None:
        """Ends the event loop and closes every port."""
        if not self._running:
            return
        self._running = False
        self._log.log(
            NODE_STOPPED,
            requests=sum(self._tally.outcomes.values()),
            connections=len(self._callers_server.connections),
            unanswered=self._forwarder.in_flight + self._parts_port.in_flight,
            undelivered=self._callers_server.undelivered,
        )
        self._feed.stop()
        for server in (self._callers_server, *self._other_servers):
            server.close()
        self._heartbeat_port.close()


def _server_limits(limits: CallerLimits) -> ServerLimits:
    """Returns the limits of the callers' port."""
    return ServerLimits(
        limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout
    )


def _assumed_round_trips(cfg: NodeSettings) -> dict[FailureDomainName, float]:
    """Returns the round trip to assume for each failure domain until it is measured, in seconds."""
    round_trips: dict[FailureDomainName, float] = {}
    for domain, region in cfg.regions.items():
        round_trips[domain] = (
            SAME_REGION_ROUND_TRIP_S if region == cfg.region else OTHER_REGION_ROUND_TRIP_S
        )
    round_trips[cfg.failure_domain] = SAME_FAILURE_DOMAIN_ROUND_TRIP_S
    return round_trips
