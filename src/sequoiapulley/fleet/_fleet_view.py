"""A node's view of the fleet and the rules by which it changes."""

from __future__ import annotations

from math import log10
from typing import Final

from msgspec.structs import replace

from sequoiapulley.fleet._broadcast_queue import BroadcastQueue
from sequoiapulley.fleet._member_table import (
    Listing,
    MemberRecord,
    MemberTable,
    member_digest,
    supersedes,
)
from sequoiapulley.fleet.actions import MemberChanged, MembershipAction
from sequoiapulley.fleet.log_events import (
    MEMBER_DEAD,
    MEMBER_FORGOTTEN,
    MEMBER_JOINED,
    MEMBER_LEAVING,
    MEMBER_REFUTED,
    MEMBER_SUSPECTED,
    VM_LIST_DISAGREES,
)
from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.ids import ConfigVersion, Incarnation
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.platform.vm_list import VmRecord, VmState

SUSPICION_S: Final = 3.0
"""Time for a suspect to refute; longer in a fleet of more than ten nodes."""
MIN_REFUTATION_S: Final = 1.0
"""Time to refute that a suspect has even if other nodes report it dead; scaled likewise."""
UNLISTED_SUSPICION_RATIO: Final = 0.5
"""Shortens the suspicion of members that are not in the VM list, or are leaving there."""
UNLISTED_DEAD_RETENTION_S: Final = 3 * 3600.0
LISTED_DEAD_RETENTION_S: Final = 24 * 3600.0
MAX_DEAD_MEMBERS: Final = 1200
REFUTABLE_STATES: Final = frozenset({MemberState.SUSPECT, MemberState.DEAD})
STATE_EVENTS: Final = {
    MemberState.ALIVE: MEMBER_REFUTED,
    MemberState.SUSPECT: MEMBER_SUSPECTED,
    MemberState.LEAVING: MEMBER_LEAVING,
    MemberState.DEAD: MEMBER_DEAD,
}


class FleetView:
    """Holds the records of the local node and of all other members, and queues their updates.

    Changes of members are appended to the `actions` passed by the caller.
    """

    def __init__(
        self, local_member: Member, table: MemberTable, queue: BroadcastQueue, log: LogSink
    ) -> None:
        """Initialise a view that contains only the local node.

        Args:
            local_member: Record of the local node.
            table: Empty table for the other members.
            queue: Receives the updates to gossip.
            log: Receives log events.
        """
        self.local_member = local_member
        self.table = table
        self._queue = queue
        self._log = log
        self._unlisted = 0
        queue.add_member(local_member)

    @property
    def digest(self) -> int:
        """Hash of the local node and of all other members that are not dead."""
        return self.table.digest ^ member_digest(self.local_member)

    def members(self) -> tuple[Member, ...]:
        """Returns the local node, then all other known members, including the dead."""
        return (self.local_member, *(record.member for record in self.table.records()))

    def apply(
        self, update: Member, now: float, actions: list[MembershipAction], propagate: bool = True
    ) -> None:
        """Applies the record of a member that another node sent.

        Args:
            update: The received record.
            now: Clock reading in seconds.
            actions: Changes are appended to this list.
            propagate: Whether a member that was unknown here is gossiped to other nodes.
        """
        if update.node == self.local_member.node:
            self._refute(update)
            return
        record = self.table.get(update.node)
        if record is None:
            if update.state is not MemberState.DEAD:
                self._add(update, now, actions, propagate)
            return
        if not supersedes(update, record.member):
            return
        if update.state is MemberState.DEAD and record.member.state is not MemberState.LEAVING:
            self._suspect(record, update, now, actions)
            return
        self._update(record, update, now, actions)

    def set_state(
        self, record: MemberRecord, state: MemberState, now: float, actions: list[MembershipAction]
    ) -> None:
        """Sets the state of a member as detected by this node itself."""
        self._update(record, replace(record.member, state=state), now, actions)

    def expire_suspects(self, now: float, actions: list[MembershipAction]) -> None:
        """Declares the suspects dead that did not refute the suspicion in time."""
        for node in list(self.table.present()):
            record = self.table.get(node)
            if record is None or record.member.state is not MemberState.SUSPECT:
                continue
            if now >= record.suspect_until:
                self.set_state(record, MemberState.DEAD, now, actions)

    def raise_incarnation(self, state: MemberState, above: int = 0) -> None:
        """Raises the local node's incarnation and gossips its record.

        Args:
            state: New state of the local node.
            above: Incarnation that the new one must exceed.
        """
        incarnation = Incarnation(max(above, self.local_member.incarnation) + 1)
        self.local_member = replace(self.local_member, state=state, incarnation=incarnation)
        self._queue.add_member(self.local_member)

    def update_version(self, record: MemberRecord, version: ConfigVersion) -> bool:
        """Stores the configuration version reported by a member; returns whether it changed."""
        if version == record.member.config_version:
            return False
        self.table.set_version(record, version)
        return True

    def update_vm_list(self, records: tuple[VmRecord, ...]) -> None:
        """Stores each member's status in the platform's VM list."""
        listed = {NodeAddress((vm.host, vm.port)): vm.state for vm in records}
        unlisted = 0
        for record in self.table.records():
            record.listing = _listing(listed, record.member.address)
            if record.listing is Listing.ABSENT and record.member.state is MemberState.ALIVE:
                unlisted += 1
        if unlisted and unlisted != self._unlisted:
            self._log.log(VM_LIST_DISAGREES, unlisted=unlisted, listed=len(listed))
        self._unlisted = unlisted

    def evict_expired(self, now: float) -> None:
        """Removes members that have been dead for long, sooner if the platform does not list them.

        If more than `MAX_DEAD_MEMBERS` are dead, those dead the longest are removed at once.
        """
        dead = [record for record in self.table.records() if _is_dead(record)]
        dead.sort(key=lambda record: record.changed_at)
        excess = len(dead) - MAX_DEAD_MEMBERS
        for position, record in enumerate(dead):
            age = now - record.changed_at
            retention = (
                UNLISTED_DEAD_RETENTION_S
                if record.listing is Listing.ABSENT
                else LISTED_DEAD_RETENTION_S
            )
            if age < retention and position >= excess:
                continue
            self.table.evict(record.member.node)
            self._log.log(MEMBER_FORGOTTEN, node=record.member.node, dead_seconds=round(age))

    def restart_suspicions(self, gap: float, now: float) -> None:
        """Restarts suspicion timeouts, and shifts times of state changes, after a pause.

        The pause thus shortens neither the time to refute nor the time for which dead members are
        kept.

        Args:
            gap: Length of the pause in seconds, negative if the clock went back.
            now: Clock reading in seconds.
        """
        for record in self.table.records():
            record.changed_at = min(record.changed_at + max(gap, 0.0), now)
            record.suspect_until = now + self._suspicion_time(record)

    def _refute(self, update_of_local: Member) -> None:
        """Refutes a received record of the local node that is newer, suspect or dead."""
        if update_of_local.incarnation > self.local_member.incarnation:
            self.raise_incarnation(self.local_member.state, update_of_local.incarnation)
        elif (
            update_of_local.incarnation == self.local_member.incarnation
            and update_of_local.state in REFUTABLE_STATES
        ):
            self.raise_incarnation(self.local_member.state)

    def _add(
        self, member: Member, now: float, actions: list[MembershipAction], propagate: bool
    ) -> None:
        record = self.table.put(member, now)
        if member.state is MemberState.SUSPECT:
            record.suspect_until = now + self._suspicion_time(record)
        if propagate:
            self._queue.add_member(member)
        self._log.log(MEMBER_JOINED, node=member.node, place=member.failure_domain)
        actions.append(MemberChanged(member, None))

    def _suspect(
        self, record: MemberRecord, update: Member, now: float, actions: list[MembershipAction]
    ) -> None:
        """Suspects a member that another node reported dead, so that it can refute the report."""
        if record.member.state is MemberState.SUSPECT:
            earliest = record.changed_at + self._scale_with_fleet_size(MIN_REFUTATION_S)
            record.suspect_until = min(record.suspect_until, max(now, earliest))
            if update.incarnation == record.member.incarnation:
                return
        self._update(record, replace(update, state=MemberState.SUSPECT), now, actions)

    def _update(
        self, record: MemberRecord, member: Member, now: float, actions: list[MembershipAction]
    ) -> None:
        previous = record.member
        newest = max(member.config_version, previous.config_version)
        member = replace(member, config_version=newest)
        self.table.put(member, now)
        if member.state is MemberState.SUSPECT:
            record.suspect_until = now + self._suspicion_time(record)
        self._queue.add_member(member)
        if member.state is not previous.state:
            event = STATE_EVENTS[member.state]
            self._log.log(
                event, node=member.node, place=member.failure_domain, was=previous.state.value
            )
        actions.append(MemberChanged(member, previous.state))

    def _suspicion_time(self, record: MemberRecord) -> float:
        seconds = self._scale_with_fleet_size(SUSPICION_S)
        if record.listing in (Listing.ABSENT, Listing.LEAVING):
            seconds *= UNLISTED_SUSPICION_RATIO
        return seconds

    def _scale_with_fleet_size(self, seconds: float) -> float:
        """Scales a time with the fleet size, as gossip takes longer in a larger fleet."""
        return seconds * max(1.0, log10(len(self.table.present()) + 1))


def _listing(listed: dict[NodeAddress, VmState], address: NodeAddress) -> Listing:
    if not listed:
        return Listing.UNKNOWN
    state = listed.get(address)
    if state is None:
        return Listing.ABSENT
    return Listing.LIVE if state is VmState.LIVE else Listing.LEAVING


def _is_dead(record: MemberRecord) -> bool:
    return record.member.state is MemberState.DEAD
