"""Tests of heartbeats between nodes, over sockets."""

from __future__ import annotations

from socket import AF_INET, SOCK_DGRAM, socket
from unittest import TestCase

from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from sequoiapulley.daemon.heartbeat_port import MAX_DATAGRAM_BYTES, HeartbeatPort
from sequoiapulley.forward.crash_guard import StrikeNews
from sequoiapulley.forward.peer_table import Heartbeat, LeavingUpstream
from sequoiapulley.ids import Fingerprint, UpstreamName
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.quarantine import Strike
from tests.state_fixtures import heartbeat, node
from tests.wire_support import Loop

NEWS = 16


def news_of(name_length: int, count: int = NEWS) -> Heartbeat:
    """Returns a heartbeat with announced shutdowns and strikes of upstreams with long names."""
    names = [UpstreamName(f"i-{number:0{name_length - 2}}") for number in range(count)]
    strikes = [Strike(Fingerprint(f"{number:032x}"), names[number], 3) for number in range(count)]
    record = node("front-some-failure-domain-a-123", "some-failure-domain-a", "some-region")
    return replace(
        heartbeat(replace(record, host="127.0.0.2")),
        leaving=tuple(LeavingUpstream(name, 1_700_000_000_000) for name in names),
        strikes=tuple(StrikeNews(strike, 2.999, 599.999) for strike in strikes),
    )


class HeartbeatPortTest(TestCase):
    """A node sends heartbeats to another one, and to one of a build that reads 2,048 bytes."""

    def setUp(self) -> None:
        self.loop = Loop()
        self.log = MemoryLog()
        self.received: list[Heartbeat] = []
        self.other = socket(AF_INET, SOCK_DGRAM)
        self.addCleanup(self.other.close)
        self.other.bind(("127.0.0.1", 0))
        self.other.settimeout(5.0)
        number = self.other.getsockname()[1]
        self.peer = replace(node("n2"), host="127.0.0.1", heartbeat_port=number)
        self.port = HeartbeatPort(
            self.loop.reactor, "127.0.0.2", number, self.log, self.received.append
        )
        self.addCleanup(self.port.close)

    # Guards against a node that its peers lose sight of while it has much news, and against news
    # that is left out each time.
    def test_news_that_does_not_fit_is_sent_in_turns(self) -> None:
        for length in (4, 29, 200):
            with self.subTest(length=length):
                sent = news_of(length)
                strikes: set[StrikeNews] = set()
                leaving: set[LeavingUpstream] = set()
                for _ in range(NEWS):
                    self.port.send(sent, [self.peer])
                    data = self.other.recv(65_536)
                    self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
                    found = decode(data, type=Heartbeat)
                    self.assertEqual(found.record, sent.record)
                    strikes.update(found.strikes)
                    leaving.update(found.leaving)
                self.assertEqual(strikes, set(sent.strikes))
                self.assertEqual(leaving, set(sent.leaving))

    # Guards against a heartbeat of the build in production that is cut at 2,048 bytes.
    def test_heartbeat_of_an_earlier_build_with_more_bytes_is_understood(self) -> None:
        sent = news_of(29)
        data = encode(sent)
        self.assertGreater(len(data), MAX_DATAGRAM_BYTES)
        self.other.sendto(data, ("127.0.0.2", self.other.getsockname()[1]))
        self.loop.until(lambda: bool(self.received or self.log.entries))
        self.assertEqual(self.received, [sent])
