"""Tests of the link between nodes and of its frames, over real sockets on loopback."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from queue import Queue
from socket import SHUT_RDWR, create_connection, create_server
from threading import Thread
from typing import Any
from unittest import TestCase

import grpc
from msgspec import Raw, Struct
from msgspec.msgpack import encode

from sequoiapulley.fleet.config_messages import ConfigRequest
from sequoiapulley.ids import ConfigVersion, EditId, Incarnation, NodeId, WorkspaceName
from sequoiapulley.link.frame_codec import (
    FRAME_TARGET_BYTES,
    MAX_MESSAGE_BYTES,
    BadFrameError,
    decode_frame,
    encode_frames,
    encode_hello,
)
from sequoiapulley.link.messages import LinkHello
from sequoiapulley.link.peer_link import LinkHandlers, LinkIdentity, PeerLink, PeerLinkStartError
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import CancelSearch
from tests.membership_simulation import make_member

TIMEOUT_S = 10.0


class LinkEndpoint:
    """A started link and what its handlers received; they run on the gRPC thread here."""

    def __init__(
        self, number: int, workspace: str = "cedarline", incarnation: int = 5, **options: Any
    ) -> None:
        """Starts the link on a free port."""
        self.number = number
        self.node = NodeId(f"n{number}")
        self.messages: Queue[Any] = Queue()
        self.lost: Queue[NodeId] = Queue()
        self.unsent: list[Any] = []
        self.log = MemoryLog()
        handlers = LinkHandlers(
            on_message=lambda node, inc, message: self.messages.put((node, inc, message)),
            on_unsent=lambda _node, message: self.unsent.append(message),
            on_peer_lost=self.lost.put,
        )
        identity = LinkIdentity(WorkspaceName(workspace), self.node, Incarnation(incarnation))
        self.link = PeerLink(
            identity, ("127.0.0.1", 0), lambda call: call(), handlers, self.log, **options
        )
        self.port = self.link.start()

    def set_peers(self, *others: LinkEndpoint) -> None:
        """Sets the members of the link to other endpoints."""
        members = []
        for other in others:
            member = make_member(other.number)
            members.append(
                type(member)(
                    node=other.node,
                    incarnation=member.incarnation,
                    failure_domain=member.failure_domain,
                    region=member.region,
                    host="127.0.0.1",
                    membership_port=0,
                    link_port=other.port,
                    callers_port=0,
                    operators_port=0,
                )
            )
        self.link.update_members(tuple(members))


class PeerLinkTest(TestCase):
    """Two link endpoints on loopback."""

    def start(self, number: int, **options: Any) -> LinkEndpoint:
        end = LinkEndpoint(number, **options)
        self.addCleanup(end.link.stop, 0.2)
        return end

    def test_messages_arrive_in_order_and_answers_use_the_same_stream(self) -> None:
        one, two = self.start(1), self.start(2)
        one.set_peers(two)
        for number in range(500):
            self.assertTrue(one.link.send(two.node, CancelSearch(number)))
        received = [two.messages.get(timeout=TIMEOUT_S) for _ in range(500)]
        self.assertEqual(received, [(one.node, 5, CancelSearch(n)) for n in range(500)])
        self.assertTrue(two.link.send(one.node, CancelSearch(7)))
        self.assertEqual(one.messages.get(timeout=TIMEOUT_S), (two.node, 5, CancelSearch(7)))
        self.assertLess(one.link.counters.frames_sent, 500)

    def test_lost_peer_is_reported_and_unsent_messages_are_returned(self) -> None:
        one, two = self.start(1), self.start(2)
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(1))
        two.messages.get(timeout=TIMEOUT_S)
        two.link.stop(0.1)
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), two.node)
        self.assertTrue(one.link.send(two.node, CancelSearch(2)))
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), two.node)
        self.assertEqual(one.unsent, [CancelSearch(2)])
        self.assertFalse(one.link.send(NodeId("stranger"), CancelSearch(3)))

    def test_node_of_another_workspace_is_refused(self) -> None:
        one, two = self.start(1), self.start(2, workspace="senderos")
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(1))
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), two.node)
        self.assertEqual(two.link.counters.refused_peers, 1)
        self.assertTrue(two.messages.empty())

    def test_node_with_another_id_at_the_address_receives_nothing(self) -> None:
        one, two = self.start(1), self.start(2)
        one.set_peers(two)
        two.node = NodeId("n9")
        one.set_peers(two)
        one.link.send(NodeId("n9"), CancelSearch(1))
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), "n9")
        self.assertEqual(one.unsent, [CancelSearch(1)])

    def test_unresponsive_stream_is_closed_and_a_new_one_works(self) -> None:
        two = self.start(2)
        relay = StallingRelay(two.port)
        self.addCleanup(relay.close)
        one = self.start(1)
        real_port, two.port = two.port, relay.port
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(1))
        two.messages.get(timeout=TIMEOUT_S)
        relay.stalled = True
        one.link.send(two.node, CancelSearch(2))
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), two.node)
        two.port = real_port
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(3))
        self.assertEqual(two.messages.get(timeout=TIMEOUT_S)[2], CancelSearch(3))

    def test_broken_connection_is_reported_at_once_and_a_new_one_works(self) -> None:
        two = self.start(2)
        relay = StallingRelay(two.port)
        one = self.start(1)
        real_port, two.port = two.port, relay.port
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(1))
        two.messages.get(timeout=TIMEOUT_S)
        relay.close()
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), two.node)
        two.port = real_port
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(2))
        self.assertEqual(two.messages.get(timeout=TIMEOUT_S)[2], CancelSearch(2))

    def test_oversized_message_is_returned_and_the_stream_stays_open(self) -> None:
        one, two = self.start(1), self.start(2)
        one.set_peers(two)
        oversized_message = ConfigRequest(ConfigVersion(1), EditId("x" * MAX_MESSAGE_BYTES))
        one.link.send(two.node, oversized_message)
        one.link.send(two.node, CancelSearch(1))
        self.assertEqual(two.messages.get(timeout=TIMEOUT_S)[2], CancelSearch(1))
        self.assertEqual(one.unsent, [oversized_message])
        self.assertTrue(one.lost.empty())

    def test_restarted_node_replaces_its_unresponsive_stream_at_once(self) -> None:
        two = self.start(2)
        relay = StallingRelay(two.port)
        self.addCleanup(relay.close)
        one = self.start(1)
        two.port = relay.port
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(1))
        two.messages.get(timeout=TIMEOUT_S)
        relay.stalled = True
        restarted = self.start(2, incarnation=6)
        restarted.set_peers(one)
        restarted.link.send(one.node, CancelSearch(2))
        self.assertEqual(one.messages.get(timeout=TIMEOUT_S), (two.node, 6, CancelSearch(2)))
        self.assertEqual(one.lost.get(timeout=TIMEOUT_S), two.node)
        one.link.send(two.node, CancelSearch(3))
        self.assertEqual(restarted.messages.get(timeout=TIMEOUT_S)[2], CancelSearch(3))

    def test_port_in_use_is_an_error(self) -> None:
        with create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            identity = LinkIdentity(WorkspaceName("c"), NodeId("x"), Incarnation(1))
            handlers = LinkHandlers(lambda *_: None, lambda *_: None, lambda *_: None)
            link = PeerLink(identity, ("127.0.0.1", port), lambda f: f(), handlers, MemoryLog())
            with self.assertRaisesRegex(PeerLinkStartError, f"127.0.0.1:{port}"):
                link.start()

    def test_hello_of_an_unknown_protocol_version_is_refused(self) -> None:
        two = self.start(2)
        for version, oldest, accepted in ((0, 0, False), (9, 9, False), (9, 1, True)):
            hello = LinkHello(WorkspaceName("cedarline"), NodeId("v"), Incarnation(1))
            frame = encode_hello(type(hello)(hello.workspace, hello.node, 1, version, oldest))
            self.assertEqual(self.hello_is_answered(two.port, frame), accepted, (version, oldest))
        self.assertFalse(self.hello_is_answered(two.port, b"\xff\x00garbage"))

    def hello_is_answered(self, port: int, frame: bytes) -> bool:
        """Returns whether a hello answers the first frame of a gRPC client."""
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            method = channel.stream_stream("/sequoiapulley.Link/Exchange")
            try:
                return bool(next(iter(method(iter([frame]), timeout=TIMEOUT_S))))
            except grpc.RpcError:
                return False


class StallingRelay:
    """TCP relay to a port; drops all bytes while `stalled` is set."""

    def __init__(self, target: int) -> None:
        """Listens on a free port."""
        self.stalled = False
        self._target = target
        self._server = create_server(("127.0.0.1", 0))
        self.port = self._server.getsockname()[1]
        self._sockets: list[Any] = [self._server]
        Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes every socket."""
        for sock in self._sockets:
            with suppress(OSError):
                sock.shutdown(SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        try:
            client, _address = self._server.accept()
        except OSError:
            return
        outgoing = create_connection(("127.0.0.1", self._target))
        self._sockets += [client, outgoing]
        Thread(target=self._copy, args=(client, outgoing), daemon=True).start()
        Thread(target=self._copy, args=(outgoing, client), daemon=True).start()

    def _copy(self, source: Any, target: Any) -> None:
        try:
            while data := source.recv(65536):
                if not self.stalled:
                    target.sendall(data)
        except OSError:
            return


class FrameCodecTest(TestCase):
    """Frames of newer peers, and invalid or large frames."""

    def test_unknown_kinds_are_counted_and_skipped(self) -> None:
        class NewerType(Struct, tag="novelty"):
            size: int

        frame = encode([Raw(encode(NewerType(1))), Raw(encode(CancelSearch(4)))])
        decoded = decode_frame(frame)
        self.assertEqual((decoded.messages, decoded.unknown), ([CancelSearch(4)], 1))

    def test_newer_fields_are_ignored(self) -> None:
        class NewerFields(Struct, tag="cancel_search"):
            search_id: int
            why: str

        self.assertEqual(decode_frame(encode([NewerFields(4, "late")])).messages, [CancelSearch(4)])

    def test_truncated_and_oversized_frames_are_errors(self) -> None:
        frame = encode([CancelSearch(4)])
        for broken in (frame[:-1], b"", b"\xc1", bytes(5_000_000)):
            with self.assertRaises(BadFrameError):
                decode_frame(broken)

    def test_frames_are_bounded(self) -> None:
        big = ConfigRequest(ConfigVersion(1), EditId("x" * (FRAME_TARGET_BYTES // 2)))
        oversized_message = ConfigRequest(ConfigVersion(1), EditId("x" * MAX_MESSAGE_BYTES))
        encoded = encode_frames(deque([big, oversized_message, big, big, CancelSearch(1)]))
        counts = [len(decode_frame(frame).messages) for frame in encoded.frames]
        self.assertEqual((counts, encoded.oversized), ([1, 1, 2], [oversized_message]))
