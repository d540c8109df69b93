"""A node that forwards callers' requests: every part, wired together on one event loop."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from typing import TYPE_CHECKING, Final, Protocol

from sequoiapulley.daemon.entry_port import EntryPort, PlatformCalls
from sequoiapulley.daemon.feed_sources import FeedSources
from sequoiapulley.daemon.heartbeat_port import HeartbeatPort
from sequoiapulley.daemon.heartbeat_task import HeartbeatTask
from sequoiapulley.daemon.node_life import NodeLife
from sequoiapulley.daemon.parts_port import PARTS_PATH, HttpPartsClient, PartsPort
from sequoiapulley.daemon.peer_source import PeerPort
from sequoiapulley.daemon.registration import Registration
from sequoiapulley.daemon.settings_task import SettingsTask
from sequoiapulley.daemon.settings_watch import SettingsWatch
from sequoiapulley.daemon.signal_pipe import SignalPipe
from sequoiapulley.forward.aggregators import Aggregators
from sequoiapulley.forward.change_log import ChangeLog
from sequoiapulley.forward.context import ForwardContext
from sequoiapulley.forward.contract import WireContract
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.forward.log_events import (
    DUTIES_CHANGED,
    NODE_LEAVING,
    NODE_STARTED,
    NODE_STOPPED,
)
from sequoiapulley.forward.messages import Answer
from sequoiapulley.forward.metrics import (
    PEERS_READY,
    STATE_AGE,
    UPSTREAM_CONNECTIONS,
    UPSTREAMS,
)
from sequoiapulley.forward.node_settings import Address, NodeSettings
from sequoiapulley.forward.peer_table import Heartbeat, NodeState, PeerTable
from sequoiapulley.forward.retry_quota import RetryQuota
from sequoiapulley.forward.roles import ENTRIES_PER_FAILURE_DOMAIN, reader_of, slack_share
from sequoiapulley.forward.route_table import CallerLimits
from sequoiapulley.forward.shared_state import SharedState
from sequoiapulley.forward.state import ChangeSet, NodeRecord, NodeRegistry, StateSource
from sequoiapulley.forward.state_feed import StateFeed
from sequoiapulley.forward.tally import Tally
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.forward.upstream_pool import UpstreamPool
from sequoiapulley.ids import FailureDomainName, Incarnation
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.observe.metric import Metric
from sequoiapulley.observe.metrics import CONFIG_VERSION, IN_FLIGHT, UPTIME_SECONDS
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.runtime.settled_heap import settle_heap
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.http_connection import ReplyBounds
from sequoiapulley.wire.http_server import HttpServer
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.server_connection import ServerLimits, ServerRequest

if TYPE_CHECKING:
    from sequoiapulley.daemon.forward_metrics import ForwardMetrics

TICK_S: Final = 0.25
"""Pause between two looks at peers and idle connections."""
LONGEST_POLL_S: Final = 1.0
STANDBY_NODES: Final = 2
"""Nodes of each failure domain beside the entries for which connections to upstreams are left."""
SAME_FAILURE_DOMAIN_WAY_S: Final = 0.0005
SAME_REGION_WAY_S: Final = 0.001
OTHER_REGION_WAY_S: Final = 0.02
"""Round trips assumed until replies tell better."""
DEFAULT_LIMITS: Final = ServerLimits()
LARGEST_REPLY: Final = ReplyBounds(unframed=True)
LARGEST_STATE: Final = ReplyBounds(body_bytes=16_777_216)


class Store(StateSource, NodeRegistry, Protocol):
    """The client of the store."""


class ForwardNode:
    """One process."""

    def __init__(
        self,
        cfg: NodeSettings,
        log: LogSink,
        contract: WireContract,
        calls: PlatformCalls,
        store_of: Callable[[HttpClient, Address], Store],
        settings: SettingsWatch,
    ) -> None:
        """Open every port.

        Args:
            cfg: Settings.
            log: Receives log events.
            contract: Form of requests to upstreams and of answers.
            calls: Form of callers' calls.
            store_of: Makes the client of the store.
            settings: Reads the settings again.

        Raises:
            OSError: If a port cannot be used.
        """
        self._log = log
        self._calls = calls
        self._clock = SystemClock()
        self._timers = TimerQueue(self._clock)
        self._reactor = Reactor(self._clock, self._timers)
        self._random = Random()
        self._settings = SettingsTask(cfg, settings, self._timers, log, self._on_settings)
        self._life = NodeLife()
        self._running = True
        self._duties = (False, False)
        self._started_at = self._clock.now()
        self._metrics: ForwardMetrics | None = None
        self._me = NodeRecord(
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
        model = LatencyModel(_assumed_ways(cfg))
        self._directory = UpstreamDirectory(
            self._clock,
            model,
            lambda record: UpstreamPool(
                self._reactor, self._timers, contract, record, LARGEST_REPLY
            ),
        )
        self._quota = RetryQuota(cfg.quota)
        self._tally = Tally()
        self._peers = PeerTable(self._me, log)
        parts_client = HttpClient(self._reactor, self._clock, self._timers, LARGEST_REPLY)
        self._aggregators = Aggregators(
            cfg.failure_domain,
            self._peers.ready,
            HttpPartsClient(parts_client),
            self._clock,
            log,
        )
        ctx = ForwardContext(
            self._clock,
            self._timers,
            contract,
            self._directory,
            model,
            self._quota,
            log,
            self._tally,
            self._aggregators,
        )
        self._forwarder = Forwarder(ctx)
        changes = ChangeLog()
        self._shared = SharedState(
            self._forwarder, self._directory, self._peers, changes, self._timers, log
        )
        self._client = HttpClient(self._reactor, self._clock, self._timers, LARGEST_STATE)
        store = store_of(self._client, cfg.store)
        self._sources = FeedSources(
            store,
            self._client,
            self._peers,
            self._forwarder,
            cfg.seeds,
            self._random,
            self._clock,
        )
        self._feed = StateFeed(self._sources, self._timers, log, self._random, self._take)
        self._registration = Registration(store, self._timers, self._random, self._me)
        self._peer_port = PeerPort(
            changes, self._timers, self._shared.image, lambda: self._feed.age
        )
        self._parts_port = PartsPort(ctx)
        self._heartbeat_port = HeartbeatPort(
            self._reactor, cfg.host, cfg.heartbeat_port, log, self._on_heartbeat
        )
        self._heartbeats = HeartbeatTask(
            self._heartbeat_port, self._peers, self._timers, self._heartbeat
        )
        self._entries = EntryPort(
            calls, self._peers, lambda: self._life.state is NodeState.READY, cfg.most_entry_ttl
        )
        self._callers = self._listen(cfg.callers, self._on_caller)
        self._others = [self._listen(cfg.peers, self._on_peer, ServerLimits(quick_acks=True))]
        for address in (cfg.readiness, cfg.directory):
            if address is not None:
                self._others.append(self._listen(address, self._entries.serve))
        if cfg.metrics is not None:
            self._others.append(self._listen(cfg.metrics, self._on_scrape))
        SignalPipe(
            self._reactor,
            {SIGTERM: self._leave, SIGINT: self._leave, SIGHUP: self._settings.reload},
        )

    def run(self) -> None:
        """Serves until the node has left."""
        cfg = self._settings.cfg
        self._log.log(NODE_STARTED, callers=cfg.callers.port, place=cfg.failure_domain)
        self._feed.start()
        self._registration.start()
        self._tick()
        self._settings.start()
        self._heartbeats.start()
        settle_heap()
        while self._running:
            self._reactor.run_once(LONGEST_POLL_S)
        self._log.log(NODE_STOPPED, requests=sum(self._tally.outcomes.values()))

    def _listen(
        self,
        address: Address,
        handler: Callable[[ServerRequest], None],
        limits: ServerLimits = DEFAULT_LIMITS,
    ) -> HttpServer:
        """Opens one listening port."""
        return HttpServer(self._reactor, self._timers, address.host, address.port, handler, limits)

    def _take(self, changes: ChangeSet, after_gap: bool) -> None:
        """Applies what was read from the store."""
        self._shared.take(changes, after_gap)
        self._sources.revision = max(self._sources.revision, changes.revision)
        self._note_ready()
        self._forwarder.serve_held()
        self._peer_port.wake()

    def _note_ready(self) -> None:
        """Becomes ready once there is a configuration, and applies its limits on callers."""
        table = self._forwarder.table
        if table is None:
            return
        self._callers.limits = _server_limits(table.limits)
        if self._life.become_ready():
            self._heartbeats.send_now()

    def _tick(self) -> None:
        """Looks after peers, idle connections and the end of a leaving node."""
        now = self._clock.now()
        self._peers.tick(now)
        self._refresh_shares()
        self._directory.sweep(now)
        if self._life.may_close(now, self._settings.cfg.grace, len(self._callers.connections)):
            self._close_callers()
        self._timers.call_later(TICK_S, self._tick)

    def _refresh_shares(self) -> None:
        """Divides what all nodes share: repeats, and connections to upstreams."""
        domains = max(1, len(self._settings.cfg.regions))
        nodes = 1 + len(self._peers.registered())
        is_entry = self._note_duties()
        if is_entry:
            self._aggregators.keep_connected()
        self._quota.slack_share = slack_share(is_entry, domains, nodes)
        table = self._forwarder.table
        if table is not None:
            users = min(nodes, (ENTRIES_PER_FAILURE_DOMAIN + STANDBY_NODES) * domains)
            self._directory.configure(table.services, users)

    def _note_duties(self) -> bool:
        """Logs a change of this node's duties; returns whether callers are sent to it."""
        live = self._peers.live_near()
        entry = self._entries.names_me()
        reader = reader_of(live, self._me.failure_domain) is self._me
        if (entry, reader) != self._duties:
            self._duties = (entry, reader)
            self._log.log(DUTIES_CHANGED, entry=entry, reader=reader, live=len(live))
        return entry

    def _heartbeat(self) -> Heartbeat:
        """Returns what this node is and knows."""
        return Heartbeat(
            record=self._me,
            state=self._life.state,
            version=self._forwarder.version,
            revision=self._feed.revision,
        )

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a peer's heartbeat."""
        self._peers.hear(heartbeat, self._clock.now())

    def _on_caller(self, req: ServerRequest) -> None:
        """Forwards a caller's request."""
        caller_req = self._calls.caller_request(req.parsed, self._clock.now())

        def on_answer(answer: Answer) -> None:
            req.answer(answer.status, answer.headers, answer.body)

        job = self._forwarder.handle(caller_req, on_answer)
        req.on_left = job.leave

    def _on_peer(self, req: ServerRequest) -> None:
        """Serves another node."""
        if req.parsed.target == PARTS_PATH.encode():
            self._parts_port.serve(req)
            return
        self._peer_port.serve(req)

    def _on_settings(self, cfg: NodeSettings) -> None:
        """Passes changed settings on."""
        self._quota.configure(cfg.quota)
        self._sources.seeds = cfg.seeds
        self._entries.most_ttl = cfg.most_entry_ttl

    def _on_scrape(self, req: ServerRequest) -> None:
        """Answers a scrape; the metrics library is loaded with the first one."""
        if self._metrics is None:
            # Imported late, as it takes a third of the memory of a node that nobody looks at.
            from sequoiapulley.daemon.forward_metrics import ForwardMetrics  # noqa: PLC0415

            self._metrics = ForwardMetrics(self._tally, self._gauges)
        self._metrics.serve(req)

    def _gauges(self) -> dict[Metric, float]:
        """Returns the present values of gauges."""
        return {
            CONFIG_VERSION: self._forwarder.version,
            IN_FLIGHT: self._forwarder.in_flight,
            UPTIME_SECONDS: self._clock.now() - self._started_at,
            UPSTREAMS: len(self._directory),
            UPSTREAM_CONNECTIONS: self._directory.connections_opened(),
            STATE_AGE: self._feed.age,
            PEERS_READY: len(self._peers.ready()),
        }

    def _leave(self) -> None:
        """Begins to leave: callers are sent elsewhere, and what comes is still served."""
        if not self._life.leave(self._clock.now()):
            return
        self._callers.leaving = True
        self._log.log(NODE_LEAVING, in_flight=self._callers.busy)
        self._heartbeats.send_now()
        self._registration.stop()

    def _close_callers(self) -> None:
        """Accepts no more callers, and ends the node once nothing is in flight."""
        self._callers.stop_listening()
        self._callers.close_idle()
        if not self._callers.busy:
            self._stop()

    def _stop(self) -> None:
        """Closes every port."""
        self._running = False
        self._feed.stop()
        for server in (self._callers, *self._others):
            server.close()
        self._heartbeat_port.close()


def _server_limits(limits: CallerLimits) -> ServerLimits:
    """Returns the bounds of the callers' port."""
    return ServerLimits(
        limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout
    )


def _assumed_ways(cfg: NodeSettings) -> dict[FailureDomainName, float]:
    """Returns round trips to assume until replies tell better, in seconds."""
    ways: dict[FailureDomainName, float] = {}
    for domain, region in cfg.regions.items():
        ways[domain] = SAME_REGION_WAY_S if region == cfg.region else OTHER_REGION_WAY_S
    ways[cfg.failure_domain] = SAME_FAILURE_DOMAIN_WAY_S
    return ways
