"""Tests of the membership component with real sockets, and of the datagram keys."""

from __future__ import annotations

from os import utime
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, socket
from tempfile import TemporaryDirectory
from unittest import TestCase

from circuits import Component, Manager
from circuits.core.pollers import EPoll
from msgspec.structs import replace

from sequoiapulley.fleet.datagram_keys import BadKeyFileError, DatagramKeys
from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.fleet.membership import Membership
from sequoiapulley.fleet.udp_component import MembershipComponent, open_membership_socket
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.platform.vm_list import VmRecord, VmState
from sequoiapulley.runtime import PausedClock, TimerQueue
from tests.membership_simulation import make_member

KEY = "0123456789abcdef0123456789abcdef"


class EventRecorder(Component):
    """Records the events of the membership component."""

    channel = "membership"

    def init(self) -> None:
        """Start with an empty record."""
        self.seen: list[tuple[str, MemberState | None]] = []

    def member_changed(self, member: Member, previous: MemberState | None) -> None:
        """Records a change of a member."""
        self.seen.append((member.node, previous))


class MembershipNode:
    """A membership component on a circuits event loop that the test runs step by step."""

    def __init__(self, number: int, key_file: str | None) -> None:
        """Bind a free port and register the component."""
        self.clock = PausedClock()
        self.timers = TimerQueue(self.clock)
        self.log = MemoryLog()
        sock = open_membership_socket("127.0.0.1", 0)
        port = sock.getsockname()[1]
        self.member = replace(make_member(number), host="127.0.0.1", membership_port=port)
        keys = DatagramKeys(key_file, self.log)
        membership = Membership(self.member, self.log, number)
        self.component = MembershipComponent(
            sock, membership, keys, self.timers, self.log, key_file is not None
        )
        self.manager = Manager()
        self.manager._running = True  # Otherwise ticks do not poll.
        self.events = EventRecorder().register(self.manager)
        EPoll().register(self.manager)
        self.component.register(self.manager)
        self.step()

    def step(self) -> None:
        """Advances the clock and runs the due timers and several ticks of the loop."""
        self.clock.advance(0.05)
        self.timers.run_due()
        for _ in range(6):
            self.manager.tick(0.001)


class MembershipComponentTest(TestCase):
    """Two nodes that communicate over real sockets."""

    def run_pair(self, first_key: str | None, second_key: str | None) -> list[MembershipNode]:
        nodes = [MembershipNode(0, first_key), MembershipNode(1, second_key)]
        for node in nodes:
            self.addCleanup(node.component.close)
        record = VmRecord(
            "vm",
            "127.0.0.1",
            nodes[0].member.membership_port,
            nodes[0].member.failure_domain,
            VmState.LIVE,
        )
        nodes[1].component.update_vm_list((record,))
        for _ in range(40):
            for node in nodes:
                node.step()
        return nodes

    def test_nodes_join_and_fire_events(self) -> None:
        one, two = self.run_pair(None, None)
        self.assertEqual([member.node for member in one.component.members()], ["n0", "n1"])
        self.assertEqual(two.events.seen, [("n0", None)])
        self.assertIn(5012, [event.number for event, _fields in one.log.entries])

    def test_datagrams_signed_with_another_key_are_refused(self) -> None:
        with TemporaryDirectory() as folder:
            good, bad = Path(folder, "good"), Path(folder, "bad")
            good.write_text(f"# shared\n{KEY}\n")
            bad.write_text(f"{KEY[::-1]}\n")
            one, _two = self.run_pair(str(good), str(bad))
            self.assertEqual(len(one.component.members()), 1)
            self.assertGreater(one.component.datagrams_refused, 0)
            refused = [e for e, _ in one.log.entries if e.number == 5007]
            self.assertEqual(len(refused), 1)
            one, _two = self.run_pair(str(good), str(good))
            self.assertEqual(len(one.component.members()), 2)

    def test_malformed_datagrams_are_ignored(self) -> None:
        node = MembershipNode(0, None)
        self.addCleanup(node.component.close)
        with socket(AF_INET, SOCK_DGRAM) as sock:
            for garbage in (b"", b"\xc1", b"\x90", bytes(3000)):
                sock.sendto(garbage, ("127.0.0.1", node.member.membership_port))
        node.step()
        self.assertEqual(node.component.datagrams_received, 4)
        self.assertEqual(len(node.component.members()), 1)


class DatagramKeysTest(TestCase):
    """Changed, missing and invalid key files."""

    def test_keys_rotate_without_restart_and_stay_in_use_after_the_file_is_deleted(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder, "keys")
            path.write_text(KEY)
            old = DatagramKeys(str(path), MemoryLog())
            signed = old.sign(b"hello", 0.0)
            path.write_text(f"{KEY[::-1]}\n{KEY}\n")
            utime(path, (1, 1))
            self.assertEqual(old.verify(signed, 10.0), b"hello")
            self.assertNotEqual(old.sign(b"hello", 10.0), signed)
            path.unlink()
            self.assertEqual(old.verify(signed, 20.0), b"hello")
            self.assertIsNone(old.verify(signed[:-1] + b"p", 20.0))

    def test_unusable_key_files_are_errors(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder, "keys")
            with self.assertRaisesRegex(BadKeyFileError, "cannot read"):
                DatagramKeys(str(path), MemoryLog())
            path.write_text("# nothing\n")
            with self.assertRaisesRegex(BadKeyFileError, "no key"):
                DatagramKeys(str(path), MemoryLog())
            path.write_text("short\n")
            with self.assertRaisesRegex(BadKeyFileError, "under 16"):
                DatagramKeys(str(path), MemoryLog())
