"""Event-loop component that runs the membership protocol over a UDP socket."""

from __future__ import annotations

from socket import AF_INET, SOCK_DGRAM, socket
from typing import Any, Final

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from sequoiapulley.fleet.actions import (
    BroadcastKind,
    BroadcastReceived,
    MemberChanged,
    MembershipAction,
    PeerVersionReceived,
    SendDatagram,
)
from sequoiapulley.fleet.datagram_keys import DatagramKeys
from sequoiapulley.fleet.log_events import DATAGRAM_REFUSED, NO_KEY_FILE
from sequoiapulley.fleet.member import Member, MemberState, NodeAddress
from sequoiapulley.fleet.membership import Membership
from sequoiapulley.ids import ConfigVersion, NodeId
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.platform.vm_list import VmRecord
from sequoiapulley.runtime import TimerQueue, WakeUpTimer

MAX_RECEIVED_BYTES: Final = 2048
MAX_DATAGRAMS_PER_WAKE: Final = 64
REFUSAL_LOG_PERIOD_S: Final = 60.0
CHANNEL: Final = "membership"


def open_membership_socket(host: str, port: int) -> socket:
    """Creates a non-blocking UDP socket and binds it.

    Args:
        host: IP address.
        port: Port, or 0 for any free port.

    Returns:
        The socket.

    Raises:
        OSError: If the address cannot be bound.
    """
    sock = socket(AF_INET, SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


class MembershipComponent(BaseComponent):
    """Owns the socket, and performs the actions of the membership logic.

    Fires the nested events on its channel. The public methods must be called on the event loop's
    thread.
    """

    channel = CHANNEL

    class MemberChangedEvent(Event):
        """A member joined, changed its state or raised its incarnation.

        Args:
            member: New record of the member.
            previous_state: Previous state of the member, or None for a new one.
        """

        name = "member_changed"

        def __init__(self, member: Member, previous_state: MemberState | None) -> None:
            super().__init__(member, previous_state)

    class BroadcastReceivedEvent(Event):
        """A broadcast message of another node was received."""

        name = "broadcast_received"

        def __init__(self, kind: BroadcastKind, body: bytes, origin: NodeId) -> None:
            super().__init__(kind, body, origin)

    class PeerVersionReceivedEvent(Event):
        """A node reported an active configuration version; see `PeerVersionReceived`."""

        name = "peer_version_received"

        def __init__(self, node: NodeId, version: ConfigVersion) -> None:
            super().__init__(node, version)

    def __init__(
        self,
        sock: socket,
        membership: Membership,
        keys: DatagramKeys,
        timers: TimerQueue,
        log: LogSink,
        has_keys: bool = True,
    ) -> None:
        """Initialise the component.

        Args:
            sock: Socket from `open_membership_socket`, which the component closes.
            membership: The membership logic.
            keys: Keys that authenticate the datagrams.
            timers: Timers of the event loop.
            log: Receives log events.
            has_keys: Whether `keys` has a key file; a warning is logged if not.
        """
        super().__init__(channel=CHANNEL)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.datagrams_sent = 0
        self.datagrams_received = 0
        self.datagrams_refused = 0
        self._sock = sock
        self._membership = membership
        self._keys = keys
        self._timers = timers
        self._log = log
        self._wake_up = WakeUpTimer(timers, membership.next_due, self._tick)
        self._poller: Any = None
        self._refusal_logged_at = float("-inf")
        if not has_keys:
            log.log(NO_KEY_FILE, address=sock.getsockname()[0])

    def members(self) -> tuple[Member, ...]:
        """Returns the current view of the fleet, the local node first."""
        return self._membership.members()

    def broadcast(self, kind: BroadcastKind, body: bytes) -> None:
        """Broadcasts a short message to all nodes."""
        now = self._timers.clock.now()
        self._membership.broadcast(kind, body, now)
        self._wake_up.rearm()

    def set_config_version(self, version: ConfigVersion) -> None:
        """Sets the active configuration version of the local node."""
        self._membership.set_config_version(version, self._timers.clock.now())

    def update_vm_list(self, records: tuple[VmRecord, ...]) -> None:
        """Updates the platform's VM list."""
        self._execute(self._membership.on_vm_list(records, self._timers.clock.now()))

    def leave(self) -> None:
        """Announces the graceful shutdown of this node, which still replies to probes."""
        self._execute(self._membership.leave(self._timers.clock.now()))

    def close(self) -> None:
        """Stops the timer and closes the socket."""
        self._wake_up.cancel()
        if self._poller is not None:
            self._poller.discard(self._sock)
        self._sock.close()

    @handler("registered", "started", channel="*")
    def _on_registered_or_started(self, _component: Any, _manager: Any = None) -> None:
        if self._poller is not None:
            return
        self._poller = findcmp(self.root, BasePoller)
        if self._poller is None:
            return
        self._poller.addReader(self, self._sock)
        self._tick()

    @handler("_read")
    def _on_readable(self, _sock: Any) -> None:
        now = self._timers.clock.now()
        for _ in range(MAX_DATAGRAMS_PER_WAKE):
            try:
                signed, address = self._sock.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # The kernel reports here that a datagram sent earlier was refused.
                continue
            self._receive(signed, NodeAddress((address[0], address[1])), now)

    def _receive(self, signed: bytes, address: NodeAddress, now: float) -> None:
        self.datagrams_received += 1
        self.bytes_received += len(signed)
        payload = self._keys.verify(signed, now)
        if payload is None:
            self.datagrams_refused += 1
            self._log_refusal(address, now)
            return
        self._execute(self._membership.on_message(address, payload, now))

    def _log_refusal(self, address: NodeAddress, now: float) -> None:
        if now - self._refusal_logged_at < REFUSAL_LOG_PERIOD_S:
            return
        self._refusal_logged_at = now
        self._log.log(DATAGRAM_REFUSED, sender=address[0], refused=self.datagrams_refused)

    def _tick(self) -> None:
        self._execute(self._membership.tick(self._timers.clock.now()))

    def _execute(self, actions: list[MembershipAction]) -> None:
        try:
            for action in actions:
                self._execute_one(action)
        finally:
            self._wake_up.rearm()

    def _execute_one(self, action: MembershipAction) -> None:
        if isinstance(action, SendDatagram):
            self._send(action)
        elif isinstance(action, MemberChanged):
            self.fire(self.MemberChangedEvent(action.member, action.previous_state))
        elif isinstance(action, BroadcastReceived):
            self.fire(self.BroadcastReceivedEvent(action.kind, action.body, action.origin))
        elif isinstance(action, PeerVersionReceived):
            self.fire(self.PeerVersionReceivedEvent(action.node, action.version))

    def _send(self, action: SendDatagram) -> None:
        signed = self._keys.sign(action.payload, self._timers.clock.now())
        try:
            self._sock.sendto(signed, action.address)
        except (OSError, OverflowError):
            # The protocol tolerates this in the same way as a datagram lost by the network. The
            # latter error is that of a port out of range.
            return
        self.datagrams_sent += 1
        self.bytes_sent += len(signed)
