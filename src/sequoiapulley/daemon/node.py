"""The daemon's root component, which creates and connects all others."""

from __future__ import annotations

from collections.abc import Callable
from secrets import randbits
from signal import SIGINT, SIGTERM, signal
from typing import Any, Final

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from sequoiapulley.daemon.callers_backend import NodeCallersBackend
from sequoiapulley.daemon.config_task import ConfigTask
from sequoiapulley.daemon.connection_log import ConnectionLog
from sequoiapulley.daemon.error_log import ErrorLog
from sequoiapulley.daemon.fleet_task import FleetTask
from sequoiapulley.daemon.leave_task import LeaveTask
from sequoiapulley.daemon.log_events import NODE_STARTED
from sequoiapulley.daemon.message_router import MessageRouter
from sequoiapulley.daemon.node_events import (
    MessageArrived,
    MessageUnsent,
    NodeLost,
)
from sequoiapulley.daemon.open_sockets import OpenSockets
from sequoiapulley.daemon.operators_backend import NodeOperatorsBackend
from sequoiapulley.daemon.request_task import RequestTask
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.daemon.upstream_shares import LocalHomeResolver, UpstreamShares
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.entry.callers_port import CallersPort
from sequoiapulley.entry.guarded_server import GuardedServer
from sequoiapulley.entry.operators_port import OperatorsPort
from sequoiapulley.fleet.config_replicator import ConfigReplicator
from sequoiapulley.fleet.datagram_keys import DatagramKeys
from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.fleet.home_map import HomeMap
from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.fleet.membership import Membership
from sequoiapulley.fleet.udp_component import MembershipComponent, open_membership_socket
from sequoiapulley.ids import Incarnation, NodeId, UpstreamName
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.link.peer_link import LinkHandlers, LinkIdentity, PeerLink
from sequoiapulley.link.tls_files import TlsFiles
from sequoiapulley.model import Configuration
from sequoiapulley.observe import LogSink
from sequoiapulley.observe.metrics import CONNECTIONS_ENDED
from sequoiapulley.observe.node_observer import NodeObserver
from sequoiapulley.platform.http_store import HttpStore
from sequoiapulley.platform.http_vm_list import HttpVmList
from sequoiapulley.requests.coordinator import RequestCoordinator
from sequoiapulley.requests.messages import RequestOutcome
from sequoiapulley.requests.run_service import RunService
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.runtime.heap_freeze import freeze_heap
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_resolver import HomeResolver
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.settings.daemon_settings import DaemonSettings, FanOut
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.health_poller import HealthPoller, HealthReport
from sequoiapulley.upstream.http_codec import HttpExchangeCodec
from sequoiapulley.wire.connection_budget import ConnectionBudget
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent

LINK_STOP_GRACE_S: Final = 1.0
LINK_SOCKET_SHARE: Final = 0.5
"""Share of the sockets for connections that other nodes open: one or two of each."""
SEED_BITS: Final = 32
MS_PER_S: Final = 1_000


class _Call(Event):
    """A function that another thread schedules on the event loop's thread."""


class Node(BaseComponent):
    """Owns the components of one daemon and connects them."""

    channel = "node"

    def __init__(self, cfg: DaemonSettings, log: LogSink) -> None:
        """Creates the components and binds every port.

        Args:
            cfg: Settings of the daemon.
            log: Receives log events.

        Raises:
            OSError: If an address cannot be bound.
        """
        super().__init__()
        EPoll().register(self)
        self._cfg = cfg
        self.clock = SystemClock()
        self.observer = NodeObserver(cfg.node, self.clock, log)
        self._log: LogSink = self.observer
        self._on_error = ErrorLog(self._log)
        self.timers = TimerQueue(self.clock, self._on_error)
        self.incarnation = Incarnation(int(self.clock.wall() * MS_PER_S))
        self.homes = HomeMap()
        self.resolver: HomeResolver = self.homes
        if cfg.fan_out is FanOut.DIRECT:
            self.resolver = LocalHomeResolver(cfg.node)
        self.directory = EntryDirectory(cfg.node, cfg.entry_lifetime_s)
        self._shares: UpstreamShares | None = None
        self._wire_reactor()
        self._sockets = OpenSockets(self._reactor, self.timers)
        connection_log = ConnectionLog(
            self._log,
            self.clock,
            lambda reason: self.observer.metrics.count(CONNECTIONS_ENDED, reason),
        )
        self._budget = ConnectionBudget(cfg.resources, self._sockets.total, connection_log)
        self._wire_link()
        self._wire_fleet()
        self._wire_work()
        self._wire_ports()

    def _wire_reactor(self) -> None:
        """Creates the reactor, which owns the client sockets, and the clients of the platform."""
        self._reactor = Reactor(self.clock, self.timers, self._on_error)
        ReactorComponent(self._reactor, self.timers).register(self)
        # Replies of upstreams must not use up the budget for those of the platform.
        health_client = HttpClient(self._reactor, self.clock, self.timers)
        self._health = HealthPoller(
            health_client, self.timers, self._on_health, randbits(SEED_BITS)
        )
        client = HttpClient(self._reactor, self.clock, self.timers)
        self._store = HttpStore(client, self._cfg.store.host, self._cfg.store.port)
        self._vm_list = HttpVmList(client, self._cfg.vm_list.host, self._cfg.vm_list.port)

    def _wire_link(self) -> None:
        """Creates the link to other nodes and binds its port."""
        cfg = self._cfg
        identity = LinkIdentity(cfg.workspace, cfg.node, self.incarnation)
        handlers = LinkHandlers(self._on_message, self._on_unsent, self._on_peer_lost)
        tls = None
        if cfg.tls is not None:
            tls = TlsFiles(cfg.tls.authority, cfg.tls.certificate, cfg.tls.key)
        address = (cfg.link.host, cfg.link.port)
        most = int(cfg.resources.sockets * LINK_SOCKET_SHARE)
        self._link = PeerLink(identity, address, self._call_soon, handlers, self._log, tls, most)
        self._link_port = self._link.start()
        self._message_router = MessageRouter(cfg.node, self.incarnation, self._link).register(self)

    def _wire_fleet(self) -> None:
        """Creates the membership and the replication of the configuration."""
        cfg = self._cfg
        sock = open_membership_socket(cfg.membership.host, cfg.membership.port)
        local_member = Member(
            node=cfg.node,
            incarnation=self.incarnation,
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            host=cfg.membership.host,
            membership_port=sock.getsockname()[1],
            link_port=self._link_port,
            callers_port=cfg.callers.port,
            operators_port=cfg.operators.port,
        )
        membership = Membership(local_member, self._log, randbits(SEED_BITS), cfg.workspace)
        keys = DatagramKeys(cfg.membership_key_file, self._log)
        has_keys = cfg.membership_key_file is not None
        component = MembershipComponent(sock, membership, keys, self.timers, self._log, has_keys)
        self._membership = component.register(self)
        replicator = ConfigReplicator(local_member, self._log, randbits(SEED_BITS))
        self.config = ConfigTask(
            self.clock, self.timers, self._message_router, self._store, replicator, self._log
        ).register(self)
        self.fleet = FleetTask(
            self._membership,
            self._vm_list,
            self.timers,
            self._log,
            self.config.record_peer_version,
            randbits(SEED_BITS),
        ).register(self)
        self.config.on_version_applied = self.fleet.set_config_version

    def _wire_work(self) -> None:
        """Creates the tasks that run searches and requests."""
        dispatcher = Dispatcher(
            HttpExchangeCodec(),
            self._log,
            randbits(SEED_BITS),
            failure_domain=self._cfg.failure_domain,
        )
        self.upstreams = UpstreamTask(
            self.clock, self.timers, self._reactor, dispatcher, self._log
        ).register(self)
        self.searches = SearchTask(
            self.clock,
            self.timers,
            self._message_router,
            self.upstreams,
            SearchCoordinator(self.resolver, self._log),
            HomeService(self._log),
        ).register(self)
        self.requests = RequestTask(
            self.clock,
            self.timers,
            self._message_router,
            self.upstreams,
            self._make_request_coordinator,
            RunService(self._log),
        ).register(self)

    def _make_request_coordinator(
        self, finish: Callable[[RequestOutcome], None]
    ) -> RequestCoordinator:
        """Creates the coordinator of non-idempotent requests."""
        return RequestCoordinator(
            self._store,
            self._cfg.node,
            self.incarnation,
            self.resolver,
            self.clock,
            self._message_router.send,
            finish,
            self._log,
        )

    def _wire_ports(self) -> None:
        """Binds the ports of callers and operators, and creates the shutdown task."""
        cfg = self._cfg
        callers = NodeCallersBackend(
            cfg.node,
            self.incarnation,
            self.clock,
            self.config,
            self.searches,
            self.requests,
            self.directory,
            self.observer,
        )
        self.callers_port = CallersPort(
            cfg.callers.host, cfg.callers.port, self.timers, self.clock, callers, self._budget
        ).register(self)
        self.operators = NodeOperatorsBackend(
            cfg,
            self.clock,
            self.config,
            self.fleet,
            self.searches,
            self.requests,
            callers,
            self._count_home_upstreams,
            self.observer,
            self.upstreams,
            self._budget,
        )
        server = GuardedServer(
            cfg.operators.host, cfg.operators.port, "operators", self.timers, self._budget
        )
        self.operators_server = server.register(self)
        OperatorsPort(server, self.operators).register(self)
        self.leave = LeaveTask(
            self.timers,
            self._log,
            cfg.entry_lifetime_s,
            self._announce_leave,
            self._stop_accepting,
            self._count_unfinished,
            self._finish,
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, *_: Any) -> None:
        """Installs the signal handlers and starts the tasks."""
        for number in (SIGTERM, SIGINT):
            # A signal may interrupt other code, so the shutdown is scheduled on the event loop.
            signal(number, lambda *_: self.timers.call_later(0.0, self.leave.start))
        self.config.start()
        self.fleet.start()
        self._sockets.start(self._budget)
        self._log.log(
            NODE_STARTED,
            node=self._cfg.node,
            callers=self.callers_port.port,
            operators=self.operators_server.port,
            link=self._link_port,
        )

    @handler("MembersChanged")
    def _on_members_changed(self, members: tuple[Member, ...]) -> None:
        """Passes the current members to the components that depend on them."""
        self._link.update_members(members)
        self.homes.update_members(members)
        self.directory.update_members(members)
        self.config.update_members(members)
        self._update_upstream_shares()

    @handler("ConfigurationApplied", priority=1)
    def _on_configuration_applied(self, configuration: Configuration) -> None:
        """Applies a configuration to the shared components, before the tasks handle the event."""
        self.observer.configure(configuration.services.values(), self.config.check_s)
        self.homes.configure(configuration)
        self._update_upstream_shares()
        self.timers.call_later(0.0, freeze_heap)

    def _update_upstream_shares(self) -> None:
        """Computes this node's share of every upstream and passes it to the dispatcher."""
        configuration = self.config.configuration
        if configuration is None:
            return
        self._shares = UpstreamShares(
            self._cfg.node, configuration, self.resolver, self._count_preferred_homes()
        )
        self.upstreams.configure(configuration, self._shares.connections, self._shares.slots)
        self._health.configure(configuration, self._shares.home_upstreams())

    def _on_health(self, upstream: UpstreamName, report: HealthReport) -> None:
        """Passes an upstream's health report to the dispatcher."""
        self.upstreams.on_health_report(upstream, report)

    def _count_preferred_homes(self) -> int:
        """Returns the number of preferred homes of each upstream: 1, or all live nodes."""
        if self._cfg.fan_out is FanOut.HOMES:
            return 1
        states = [member.state for member in self.fleet.members()]
        return sum(state is not MemberState.DEAD for state in states)

    def _count_home_upstreams(self) -> int:
        """Returns the number of upstreams whose preferred home is this node."""
        return len(self._shares.home_upstreams()) if self._shares is not None else 0

    def _announce_leave(self) -> None:
        """Makes the readiness check fail and announces to the fleet that this node is leaving."""
        self.operators.shutting_down = True
        self.fleet.leave()

    def _stop_accepting(self) -> None:
        """Stops accepting callers and new requests; those in progress finish."""
        self.callers_port.stop_accepting()
        self.requests.begin_shutdown()

    def _count_unfinished(self) -> int:
        """Returns the number of searches and requests, unrecorded outcomes and open connections."""
        in_flight = self.searches.in_flight() + self.requests.in_flight()
        return int(
            in_flight + self.requests.unrecorded_outcomes() + self.callers_port.open_connections
        )

    def _finish(self) -> None:
        """Closes the ports and ends the event loop."""
        self.operators_server.stop_accepting()
        self._link.stop(LINK_STOP_GRACE_S)
        self._membership.close()
        self.stop()

    def _call_soon(self, function: Callable[[], None]) -> None:
        """Schedules a function on the event loop's thread; may be called from any thread."""
        self.fire(_Call(function))

    @handler("_Call")
    def _on_call(self, function: Callable[[], None]) -> None:
        """Runs a function that another thread has scheduled."""
        function()

    def _on_message(self, node: NodeId, incarnation: Incarnation, message: LinkMessage) -> None:
        """Publishes a message that the link received."""
        self.fire(MessageArrived(node, incarnation, message))

    def _on_unsent(self, node: NodeId, message: LinkMessage) -> None:
        """Reports a message that the link could not send."""
        self.fire(MessageUnsent(node, message))

    def _on_peer_lost(self, node: NodeId) -> None:
        """Reports that the last stream to a node was lost."""
        self.fire(NodeLost(node))
