"""Turns changes of the membership into changes of homes, entry addresses and links."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from circuits import BaseComponent, handler
from msgspec import DecodeError, msgpack
from result import Err

from sequoiapulley.daemon.log_events import VM_LIST_UNREADABLE
from sequoiapulley.daemon.node_events import MembersChanged, NodeLost, StrikeHeard
from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.fleet.orders import RumourKind
from sequoiapulley.fleet.udp_component import CHANNEL as MEMBERSHIP_CHANNEL
from sequoiapulley.fleet.udp_component import MembershipComponent
from sequoiapulley.ids import ConfigVersion, NodeId
from sequoiapulley.observe import LogSink
from sequoiapulley.platform.vm_list import VmList, VmListReply
from sequoiapulley.runtime import TimerQueue
from sequoiapulley.upstream.messages import NewStrike

VM_LIST_PERIOD_S: Final = 30.0
VM_LIST_FIRST_PERIOD_S: Final = 1.0
"""Period until another node is known."""


class FleetTask(BaseComponent):
    """Owns the polling of the VM list and carries rumours and changes between components."""

    channel = "node"

    def __init__(
        self,
        membership: MembershipComponent,
        vm_list: VmList,
        timers: TimerQueue,
        log: LogSink,
        version_heard: Callable[[NodeId, ConfigVersion], None],
        seed: int,
    ) -> None:
        """Initialise the task.

        Args:
            membership: Socket and decisions of the membership.
            vm_list: The platform's list.
            timers: Timers of the process.
            log: Where events go.
            version_heard: Takes the configuration version that a node has in force.
            seed: Seed of the jitter.
        """
        super().__init__()
        self._membership = membership
        self._vm_list = vm_list
        self._timers = timers
        self._log = log
        self._version_heard = version_heard
        self._random = Random(seed)
        self._vm_list_readable = True
        self._change_pending = False

    def start(self) -> None:
        """Fetches the list and announces the present members."""
        self._fetch()
        self._announce()

    def members(self) -> tuple[Member, ...]:
        """Returns the present view, this node first."""
        return self._membership.members()

    def set_config_version(self, version: ConfigVersion) -> None:
        """Tells the fleet which configuration is in force here."""
        self._membership.set_config_version(version)

    def leave(self) -> None:
        """Tells the fleet that this node leaves."""
        self._membership.leave()
        self._announce()

    @handler("member_changed", channel=MEMBERSHIP_CHANNEL)
    def _on_member_changed(self, member: Member, previous_state: MemberState | None) -> None:
        """Reports a lost node at once and the new view soon."""
        if member.state is MemberState.DEAD and previous_state is not None:
            self.fire(NodeLost(member.node), "node")
        if not self._change_pending:
            self._change_pending = True
            self._timers.call_later(0.0, self._announce)

    @handler("rumour_heard", channel=MEMBERSHIP_CHANNEL)
    def _on_rumour_heard(self, kind: RumourKind, body: bytes, _: NodeId) -> None:
        """Hands a strike of another node on; one that does not decode is ignored."""
        if kind is not RumourKind.QUARANTINE_STRIKE:
            return
        try:
            strike = msgpack.decode(body, type=NewStrike)
        except DecodeError:
            return
        self.fire(StrikeHeard(strike), "node")

    @handler("version_heard", channel=MEMBERSHIP_CHANNEL)
    def _on_version_heard(self, node: NodeId, version: ConfigVersion) -> None:
        """Hands the version in force on a node on."""
        self._version_heard(node, version)

    @handler("StrikeSeen")
    def _on_strike_seen(self, strike: NewStrike) -> None:
        """Tells all nodes of a strike."""
        self._membership.broadcast(RumourKind.QUARANTINE_STRIKE, msgpack.encode(strike))

    def _announce(self) -> None:
        """Fires the present view."""
        self._change_pending = False
        self.fire(MembersChanged(self._membership.members()), "node")

    def _fetch(self) -> None:
        """Fetches the VM list and plans the next fetch."""
        self._vm_list.fetch(self._on_vm_list)
        alone = len(self._membership.members()) == 1
        period = VM_LIST_FIRST_PERIOD_S if alone else VM_LIST_PERIOD_S
        self._timers.call_later(period * self._random.uniform(0.8, 1.2), self._fetch)

    def _on_vm_list(self, reply: VmListReply) -> None:
        """Hands the list to the membership."""
        if isinstance(reply, Err):
            if self._vm_list_readable:
                self._log.log(VM_LIST_UNREADABLE, error=reply.err_value)
            self._vm_list_readable = False
            return
        self._vm_list_readable = True
        self._membership.take_vm_list(reply.ok_value)
