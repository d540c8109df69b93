"""One daemon: every component of a node, wired together."""

from __future__ import annotations

from collections.abc import Callable
from secrets import randbits
from signal import SIGINT, SIGTERM, signal
from typing import Any, Final

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from sequoiapulley.daemon.callers_backend import NodeCallersBackend
from sequoiapulley.daemon.config_task import ConfigTask
from sequoiapulley.daemon.fleet_task import FleetTask
from sequoiapulley.daemon.leave_task import LeaveTask
from sequoiapulley.daemon.log_events import NODE_STARTED
from sequoiapulley.daemon.node_events import (
    MessageArrived,
    MessageUnsent,
    NodeLost,
)
from sequoiapulley.daemon.operators_backend import NodeOperatorsBackend
from sequoiapulley.daemon.postbox import Postbox
from sequoiapulley.daemon.request_task import RequestTask
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.daemon.upstream_shares import SelfAsHome, UpstreamShares
from sequoiapulley.daemon.upstream_task import UpstreamTask
from sequoiapulley.entry.callers_port import CallersPort
from sequoiapulley.entry.guarded_server import GuardedServer
from sequoiapulley.entry.operators_port import OperatorsPort
from sequoiapulley.fleet.config_spread import ConfigSpread
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
from sequoiapulley.observe.node_observer import NodeObserver
from sequoiapulley.platform.http_store import HttpStore
from sequoiapulley.platform.http_vm_list import HttpVmList
from sequoiapulley.requests.coordinator import RequestCoordinator
from sequoiapulley.requests.messages import RequestOutcome
from sequoiapulley.requests.run_service import RunService
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.runtime.settled_heap import settle_heap
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_resolver import HomeResolver
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.settings.daemon_settings import DaemonSettings, FanOut
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.health_poller import HealthPoller, HealthReport
from sequoiapulley.upstream.http_codec import HttpExchangeCodec
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.reactor import Reactor
from sequoiapulley.wire.reactor_component import ReactorComponent

LINK_STOP_GRACE_S: Final = 1.0
SEED_BITS: Final = 32
MS_PER_S: Final = 1_000


class _Call(Event):
    """Carries a function from another thread to the event loop's."""


class Node(BaseComponent):
    """The root component of the daemon."""

    channel = "node"

    def __init__(self, cfg: DaemonSettings, log: LogSink) -> None:
        """Binds every port and wires the components.

        Args:
            cfg: Settings of the daemon.
            log: Where events go.

        Raises:
            OSError: If an address cannot be bound.
        """
        super().__init__()
        EPoll().register(self)
        self._cfg = cfg
        self.clock = SystemClock()
        self.observer = NodeObserver(cfg.node, self.clock, log)
        self._log: LogSink = self.observer
        self.timers = TimerQueue(self.clock)
        self.incarnation = Incarnation(int(self.clock.wall() * MS_PER_S))
        self.homes = HomeMap()
        self.resolver: HomeResolver = self.homes
        if cfg.fan_out is FanOut.DIRECT:
            self.resolver = SelfAsHome(cfg.node)
        self.directory = EntryDirectory(cfg.node, cfg.entry_lifetime_s)
        self._shares: UpstreamShares | None = None
        self._wire_reactor()
        self._wire_link()
        self._wire_fleet()
        self._wire_work()
        self._wire_ports()

    def _wire_reactor(self) -> None:
        """Makes the owner of client sockets and the platform's clients."""
        self._reactor = Reactor(self.clock, self.timers)
        ReactorComponent(self._reactor, self.timers).register(self)
        http = HttpClient(self._reactor, self.clock, self.timers)
        self._health = HealthPoller(http, self.timers, self._on_health, randbits(SEED_BITS))
        self._store = HttpStore(http, self._cfg.store.host, self._cfg.store.port)
        self._vm_list = HttpVmList(http, self._cfg.vm_list.host, self._cfg.vm_list.port)

    def _wire_link(self) -> None:
        """Binds the link to other nodes."""
        cfg = self._cfg
        identity = LinkIdentity(cfg.workspace, cfg.node, self.incarnation)
        handlers = LinkHandlers(self._on_message, self._on_unsent, self._on_peer_lost)
        tls = None
        if cfg.tls is not None:
            tls = TlsFiles(cfg.tls.authority, cfg.tls.certificate, cfg.tls.key)
        address = (cfg.link.host, cfg.link.port)
        self._link = PeerLink(identity, address, self._call_soon, handlers, self._log, tls)
        self._link_port = self._link.start()
        self._postbox = Postbox(cfg.node, self.incarnation, self._link).register(self)

    def _wire_fleet(self) -> None:
        """Makes the membership and the spread of the configuration."""
        cfg = self._cfg
        sock = open_membership_socket(cfg.membership.host, cfg.membership.port)
        me = Member(
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
        membership = Membership(me, self._log, randbits(SEED_BITS), cfg.workspace)
        keys = DatagramKeys(cfg.membership_key_file, self._log)
        has_keys = cfg.membership_key_file is not None
        component = MembershipComponent(sock, membership, keys, self.timers, self._log, has_keys)
        self._membership = component.register(self)
        spread = ConfigSpread(me, self._log, randbits(SEED_BITS))
        self.config = ConfigTask(
            self.clock, self.timers, self._postbox, self._store, spread, self._log
        ).register(self)
        self.fleet = FleetTask(
            self._membership,
            self._vm_list,
            self.timers,
            self._log,
            self.config.version_heard,
            randbits(SEED_BITS),
        ).register(self)
        self.config.on_version = self.fleet.set_config_version

    def _wire_work(self) -> None:
        """Makes the tasks that serve searches and requests."""
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
            self._postbox,
            self.upstreams,
            SearchCoordinator(self.resolver, self._log),
            HomeService(self._log),
        ).register(self)
        self.requests = RequestTask(
            self.clock,
            self.timers,
            self._postbox,
            self.upstreams,
            self._make_request_coordinator,
            RunService(self._log),
        ).register(self)

    def _make_request_coordinator(
        self, finish: Callable[[RequestOutcome], None]
    ) -> RequestCoordinator:
        """Builds the decisions about non-idempotent requests."""
        return RequestCoordinator(
            self._store,
            self._cfg.node,
            self.incarnation,
            self.resolver,
            self.clock,
            self._postbox.send,
            finish,
            self._log,
        )

    def _wire_ports(self) -> None:
        """Binds the ports of callers and operators and prepares leaving."""
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
            cfg.callers.host, cfg.callers.port, self.timers, self.clock, callers
        ).register(self)
        self.operators = NodeOperatorsBackend(
            cfg,
            self.clock,
            self.config,
            self.fleet,
            self.searches,
            self.requests,
            callers,
            self._count_homes,
            self.observer,
            self.upstreams,
        )
        server = GuardedServer(cfg.operators.host, cfg.operators.port, "operators", self.timers)
        self.operators_server = server.register(self)
        OperatorsPort(server, self.operators).register(self)
        self.leave = LeaveTask(
            self.timers,
            self._log,
            cfg.entry_lifetime_s,
            self._announce_leave,
            self._close_entry,
            self._unfinished,
            self._finish,
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, *_: Any) -> None:
        """Takes the signals and starts the tasks."""
        for number in (SIGTERM, SIGINT):
            # A signal may arrive in the middle of a decision, so the work waits for its turn.
            signal(number, lambda *_: self.timers.call_later(0.0, self.leave.start))
        self.config.start()
        self.fleet.start()
        self._log.log(
            NODE_STARTED,
            node=self._cfg.node,
            callers=self.callers_port.port,
            operators=self.operators_server.port,
            link=self._link_port,
        )

    @handler("MembersChanged")
    def _on_members_changed(self, members: tuple[Member, ...]) -> None:
        """Takes the view of the fleet wherever it matters."""
        self._link.update_members(members)
        self.homes.update_members(members)
        self.directory.update_members(members)
        self.config.update_members(members)
        self._share_upstreams()

    @handler("ConfigurationApplied", priority=1)
    def _on_configuration_applied(self, configuration: Configuration) -> None:
        """Takes a configuration before the tasks do."""
        self.observer.configure(configuration.services.values(), self.config.check_s)
        self.homes.configure(configuration)
        self._share_upstreams()
        self.timers.call_later(0.0, settle_heap)

    def _share_upstreams(self) -> None:
        """Computes this node's share of every upstream and hands it to the dispatcher."""
        configuration = self.config.configuration
        if configuration is None:
            return
        self._shares = UpstreamShares(
            self._cfg.node, configuration, self.resolver, self._count_owners()
        )
        self.upstreams.configure(configuration, self._shares.connections, self._shares.slots)
        self._health.configure(configuration, self._shares.home_upstreams())

    def _on_health(self, upstream: UpstreamName, report: HealthReport) -> None:
        """Hands an upstream's own report to the dispatcher."""
        self.upstreams.take_report(upstream, report)

    def _count_owners(self) -> int:
        """Counts the nodes that share each upstream as preferred homes."""
        if self._cfg.fan_out is FanOut.HOMES:
            return 1
        states = [member.state for member in self.fleet.members()]
        return sum(state is not MemberState.DEAD for state in states)

    def _count_homes(self) -> int:
        """Counts the upstreams whose preferred home is this node."""
        return len(self._shares.home_upstreams()) if self._shares is not None else 0

    def _announce_leave(self) -> None:
        """Tells the fleet and the readiness check that this node leaves."""
        self.operators.leaving = True
        self.fleet.leave()

    def _close_entry(self) -> None:
        """Takes no new callers; answers in progress finish."""
        self.callers_port.stop_accepting()
        self.requests.begin_shutdown()

    def _unfinished(self) -> int:
        """Counts what a stop would cut off."""
        in_flight = self.searches.in_flight() + self.requests.in_flight()
        return int(in_flight + self.requests.unsettled() + self.callers_port.open_connections)

    def _finish(self) -> None:
        """Ends the process."""
        self.operators_server.stop_accepting()
        self._link.stop(LINK_STOP_GRACE_S)
        self._membership.close()
        self.stop()

    def _call_soon(self, function: Callable[[], None]) -> None:
        """Runs a function on the event loop's thread; safe in any thread."""
        self.fire(_Call(function))

    @handler("_Call")
    def _on_call(self, function: Callable[[], None]) -> None:
        """Runs a function that another thread handed over."""
        function()

    def _on_message(self, node: NodeId, incarnation: Incarnation, message: LinkMessage) -> None:
        """Takes a message from the link."""
        self.fire(MessageArrived(node, incarnation, message))

    def _on_unsent(self, node: NodeId, message: LinkMessage) -> None:
        """Takes a message back that never left."""
        self.fire(MessageUnsent(node, message))

    def _on_peer_lost(self, node: NodeId) -> None:
        """Takes the loss of the last stream to a node."""
        self.fire(NodeLost(node))
