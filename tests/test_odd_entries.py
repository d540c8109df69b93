"""Tests of odd entries and messages of other writers: deeply nested, in every key and message."""

from __future__ import annotations

from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from tempfile import TemporaryDirectory
from time import sleep
from typing import Final
from unittest import TestCase

from msgspec import json
from result import Err, Ok

from sequoiapulley.cli.exit_code import CliError
from sequoiapulley.cli.log_records import read_records
from sequoiapulley.cli.node_client import Answer
from sequoiapulley.daemon.state_reply import StateReplyError, decode_state, encode_state
from sequoiapulley.decoding import MAX_DETAIL_CHARS, DecodingError, decode_json, decode_msgpack
from sequoiapulley.entry.operators_messages import EditRequest
from sequoiapulley.fleet._datagram import BadDatagramError, decode_datagram
from sequoiapulley.fleet.config_record import BadConfigRecordError, decode_record
from sequoiapulley.forward.state import (
    ChangeSet,
    RegisteredReply,
    UnreadableEntry,
    UpstreamChange,
)
from sequoiapulley.ids import ConfigVersion, ExchangeId, LeaseId, ShardId
from sequoiapulley.link.frame_codec import BadFrameError, decode_frame, decode_hello
from sequoiapulley.platform.boot_settings import load_boot_settings
from sequoiapulley.platform.http_store import HttpStore
from sequoiapulley.platform.http_vm_list import HttpVmList
from sequoiapulley.platform.store import StoreErrorKind, StoreReply
from sequoiapulley.platform.vm_list import VmListReply
from sequoiapulley.requests.claim_record import decode_claim
from sequoiapulley.upstream.health_poller import decode_health
from sequoiapulley.upstream.http_contract import (
    ContractError,
    HttpContract,
    decode_run_body,
    decode_search_body,
)
from sequoiapulley.upstream.messages import ReplyKind
from sequoiapulley.wire.http_client import HttpClient
from sequoiapulley.wire.reply_parser import ParsedReply
from standins.platform_fleet import CALLERS_PORT, FleetSettings, PlatformFleet
from standins.platform_upstream import PlatformUpstream
from tests.kv_source_case import TIMEOUT_S, KvSourceCase
from tests.node_process_case import NodeProcessCase
from tests.state_fixtures import node
from tests.test_platform_documents import CONFIGURATION, UPSTREAM
from tests.wire_support import Loop, ScriptedServer

LEVELS: Final = 100_000
"""Nesting of the entries; the decoders bear a thousand levels at most."""
APPLY_S: Final = 3.0
"""Bound on the time from the store's acknowledgement of a configuration to its activation."""
PAUSE_S: Final = 0.3
"""Time in which the nodes read the odd entries alone."""
KEYS: Final = ("servers/odd", "op/config", "nodes/odd", "refusals/odd", "other/odd")
"""A key of each kind that a node reads."""


def nested_json(levels: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Returns a JSON object with one field that nests deep."""
    return b'{"labels":' + opening * levels + closing * levels + b"}"


NESTED: Final = {
    "lists": nested_json(LEVELS),
    "objects": nested_json(LEVELS, b'{"a":', b"}").replace(b":}", b":1}"),
    "cut short": nested_json(LEVELS)[: LEVELS // 2],
    "bare": b"[" * LEVELS,
    "in an entry": json.encode(UPSTREAM)[:-1] + b"," + nested_json(LEVELS)[1:],
}
LARGE_NUMBERS: Final = (b"1" + b"0" * 30, b"-" + b"9" * 30, b"9" * 5_000, b"1e400")
NUMBERS: Final = (
    ("servers/odd", ("max_concurrency", "sequence", "born"), UPSTREAM),
    ("op/config", ("version",), CONFIGURATION),
    (
        "refusals/" + "f" * 32,
        ("strikes", "expires_ms"),
        {"type": "refusal", "fingerprint": "f" * 32},
    ),
)
"""Keys, their fields that hold numbers, and an entry to which these are added."""
ODD_TEXTS: Final = {
    "address": (
        *("10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1: 80"),
        *("10.0.0.1:" + "9" * 5_000, "10.0.0.1:\u0663\u0663", "10.0.0.1", ":80", "", "host:80"),
        *("0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::1]:80", "10.0.0.1\r\n:80"),
    ),
    "state": ("", "READY", "gone", "ready\u0000"),
    "service": ("",),
}
ODD_NAMES: Final = ("", "a\r\nX-Attempt-Id: b", "\u0142", "\u00e9", "a\u0000", "a\u2028b")
HUGE_CHARS: Final = 700_000
"""Size of a value near the store's limit of a megabyte."""
ODD_VALUES: Final = (
    *NESTED.values(),
    json.encode({**UPSTREAM, "service": "s", "born": 0}).replace(
        b'"born":0', b'"born":' + b"9" * 30
    ),
    json.encode({**UPSTREAM, "service": "s", "address": "127.0.0.1:70000"}),
    json.encode({**UPSTREAM, "service": "s", "address": "0.0.0.0:80"}),
    json.encode({**UPSTREAM, "service": "s", "zone": "x" * HUGE_CHARS}),
)
"""Values that name no upstream under any key."""
NESTED_MSGPACK: Final = b"\x91" * LEVELS + b"\x01"


class OddEntryTest(KvSourceCase):
    """The source of a node's state, with an odd entry beside those that hold."""

    def setUp(self) -> None:
        super().setUp()
        self.server.put("servers/whole", json.encode(UPSTREAM))

    def assert_others_hold(self, key: str, value: bytes) -> list[ChangeSet]:
        """Writes an entry; checks that it names no upstream and that the others are read."""
        self.server.remove("servers/holds")
        after = self.read_all().revision
        self.server.put("servers/holds", json.encode(UPSTREAM))
        self.server.put(key, value)
        # As a running node reads it, and as one that starts does.
        found = [self.read_changes(after, wait=0.0).unwrap(), self.read_all(exact=False)]
        for changes in found:
            named = {
                str(change.record.name)
                for change in changes.changes
                if isinstance(change, UpstreamChange)
            }
            self.assertEqual(named - {"whole"}, {"holds"}, key)
        return found

    # Guards against CONFIG of review case 3: after such an entry no node read the store again.
    def test_nested_entry_leaves_the_others_in_force(self) -> None:
        for key in KEYS:
            for name, value in NESTED.items():
                with self.subTest(key=key, name=name):
                    for changes in self.assert_others_hold(key, value):
                        unreadable = [
                            change
                            for change in changes.changes
                            if isinstance(change, UnreadableEntry)
                        ]
                        keys = [change.key for change in unreadable]
                        self.assertEqual(keys, [key] if key != "other/odd" else [])
                        self.server.remove(key)

    # Guards against peers that cannot be told the state: a number in it did not fit their messages.
    def test_entry_with_a_number_too_large_leaves_the_others_in_force(self) -> None:
        for key, fields, base in NUMBERS:
            for number in LARGE_NUMBERS:
                value = json.encode({**base, **dict.fromkeys(fields, 0)})
                for field in fields:
                    with self.subTest(key=key, field=field, number=number):
                        odd = value.replace(
                            b'"%b":0' % field.encode(), b'"%b":%b' % (field.encode(), number)
                        )
                        self.assertNotEqual(odd, value)
                        for changes in self.assert_others_hold(key, odd):
                            body = encode_state(changes, ConfigVersion(0), lambda _base: None)
                            self.assertEqual(decode_state(body, None), changes)

    # Guards against requests that cannot be sent, or go to the node itself, because of an entry.
    def test_entry_with_an_odd_address_or_name_leaves_the_others_in_force(self) -> None:
        for field, texts in ODD_TEXTS.items():
            for text in texts:
                with self.subTest(field=field, text=text[:40]):
                    self.assert_others_hold("servers/odd", json.encode({**UPSTREAM, field: text}))
        for name in ODD_NAMES:
            with self.subTest(name=name):
                self.assert_others_hold(f"servers/{name}", json.encode(UPSTREAM))
                self.server.remove(f"servers/{name}")

    # Guards against memory and messages that one entry of the largest size fills on every node.
    def test_huge_entry_leaves_the_others_in_force(self) -> None:
        for field in ("service", "zone", "state", "address"):
            value = json.encode({**UPSTREAM, field: "x" * HUGE_CHARS})
            for changes in self.assert_others_hold("servers/odd", value):
                self.assertLess(
                    len(encode_state(changes, ConfigVersion(0), lambda _base: None)), 2_000
                )
        record = json.encode(node("odd"))
        for position_of_text in (2, 3):
            fields = json.decode(record)
            fields[4] = "10.0.0.1"
            fields[position_of_text] = "x" * HUGE_CHARS
            self.assert_others_hold("nodes/odd", json.encode(fields))

    # Guards against a record of another writer that takes the place of a node's, or of a request's.
    def test_entry_that_is_not_about_its_key_is_unreadable(self) -> None:
        fields = json.decode(json.encode(node("other")))
        fields[4] = "10.0.0.1"
        refusal = {"type": "refusal", "fingerprint": "f" * 32, "strikes": 3, "expires_ms": 1}
        for key, value in (("nodes/odd", fields), ("refusals/odd", refusal)):
            for changes in self.assert_others_hold(key, json.encode(value)):
                kinds = [
                    type(change)
                    for change in changes.changes
                    if not isinstance(change, UpstreamChange)
                ]
                self.assertEqual(kinds, [UnreadableEntry], key)
            self.server.remove(key)

    # Guards against a node that never registers again: its own key held such an entry.
    def test_nested_entry_under_the_own_key_is_no_registration(self) -> None:
        record = node("odd")
        self.server.put("nodes/odd", NESTED["lists"])
        found: list[RegisteredReply] = []
        self.source.is_registered(record, LeaseId("1"), found.append)
        self.loop.until(lambda: bool(found))
        self.assertEqual(found[0], Ok(False))
        leases: list[object] = []
        self.source.find_lease(record, leases.append)
        self.loop.until(lambda: bool(leases))
        self.assertEqual(leases[0], Ok(None))


class NestedReplyTest(TestCase):
    """Replies that nest deep, from a server that is not what it should be."""

    def setUp(self) -> None:
        self.loop = Loop()
        self.server = ScriptedServer(self.loop)
        self.addCleanup(self.server.close)
        self.client = HttpClient(self.loop.reactor, self.loop.clock, self.loop.timers)
        self.addCleanup(self.client.close)

    def serve(self, body: bytes) -> None:
        """Answers one call."""
        self.server.accept().sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )

    # Guards against a call that ends without a result, so that its task never goes on.
    def test_calls_end_with_an_error(self) -> None:
        store = HttpStore(self.client, "127.0.0.1", self.server.port)
        values: list[StoreReply] = []
        store.get("k", values.append)
        self.serve(NESTED["lists"])
        self.loop.until(lambda: bool(values))
        self.assertIs(values[0].unwrap_err().kind, StoreErrorKind.NO_REPLY)
        self.client.close()
        vms: list[VmListReply] = []
        HttpVmList(self.client, "127.0.0.1", self.server.port).fetch(vms.append)
        self.serve(NESTED["lists"])
        self.loop.until(lambda: bool(vms))
        self.assertIsInstance(vms[0], Err)


class NestedMessageTest(TestCase):
    """The decoders of both programs report a message that nests deep as one they cannot read."""

    # Guards against an unexpected error where a decoder's own errors are handled.
    def test_each_decoder_raises_its_error(self) -> None:
        text = NESTED["lists"]
        cases: dict[str, tuple[Callable[[], object], type[Exception]]] = {
            "configuration": (lambda: decode_record(text), BadConfigRecordError),
            "datagram": (lambda: decode_datagram(NESTED_MSGPACK), BadDatagramError),
            "frame": (lambda: decode_frame(b"\x91" + NESTED_MSGPACK), BadFrameError),
            "hello": (lambda: decode_hello(NESTED_MSGPACK), BadFrameError),
            "state": (lambda: decode_state(NESTED_MSGPACK, None), StateReplyError),
            "search reply": (lambda: decode_search_body(text, ShardId("s")), ContractError),
            "run reply": (lambda: decode_run_body(text), ContractError),
            "answer": (lambda: Answer("n", 200, text).decode(EditRequest), CliError),
            "JSON": (lambda: decode_json(text, EditRequest), DecodingError),
            "MessagePack": (lambda: decode_msgpack(NESTED_MSGPACK, EditRequest), DecodingError),
        }
        for name, (decode, error) in cases.items():
            with self.subTest(name), self.assertRaises(error):
                decode()

    def test_each_decoder_without_an_error_returns_none(self) -> None:
        text = NESTED["lists"]
        self.assertIsNone(decode_claim(text))
        self.assertIsNone(decode_health(text))
        self.assertEqual(read_records([text.decode()]), [])
        reply = HttpContract().decode(ExchangeId(1), ParsedReply(200, [], text, True))
        self.assertIs(reply.kind, ReplyKind.MALFORMED)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text("x = " + "[" * LEVELS + "]" * LEVELS)
            self.assertIsInstance(load_boot_settings(path), Err)

    # Guards against log lines as long as the message that they are about.
    def test_errors_are_short(self) -> None:
        with self.assertRaises(DecodingError) as caught:
            decode_json(b'"' + b"x" * LEVELS, EditRequest)
        self.assertLess(len(str(caught.exception)), MAX_DETAIL_CHARS + 100)


class NodeProcessTest(NodeProcessCase):
    """Two nodes, of which one reads from the other, with odd entries in the store."""

    def setUp(self) -> None:
        super().setUp()
        self.upstream = PlatformUpstream("u-1", "s", "127.0.0.1", "p")
        self.upstream.start()
        self.addCleanup(self.upstream.stop)
        self.store.put(f"servers/{self.upstream.name}", json.encode(self.upstream.record()))
        shape = FleetSettings("127.9.6", f"{self.store.host}:{self.store.port}", {"p": "g"})
        self.fleet = PlatformFleet(shape, ["p", "p"])
        self.addCleanup(self.fleet.close)

    def put_configuration(self, version: int, prefix: str) -> None:
        route = {
            "name": "r",
            "host": "x.example",
            "prefix": prefix,
            "type": "idempotent",
            "timeout_ms": 2000,
            "goal_ms": 500,
            "max_attempts": 2,
            "service": "s",
        }
        self.store.put("op/config", json.encode({"version": version, "routes": [route]}))

    def status(self, host: str, path: str) -> int:
        conn = HTTPConnection(host, CALLERS_PORT, timeout=TIMEOUT_S)
        try:
            headers = {"Host": "x.example", "X-Attempt-Id": path, "X-Deadline-Ms": "2000"}
            conn.request("GET", path, headers=headers)
            return conn.getresponse().status
        finally:
            conn.close()

    def until_served(self, path: str, limit: float = TIMEOUT_S) -> None:
        hosts = [node.host for node in self.fleet.nodes]
        self.until(lambda: all(self.status(host, path) == 200 for host in hosts), limit)

    # Guards against nodes that end, or stop following the store, because of another writer's entry.
    def test_nodes_follow_the_store_beside_odd_entries(self) -> None:
        for number, value in enumerate(ODD_VALUES):
            for key in KEYS[:1] + KEYS[2:]:
                self.store.put(f"{key}-{number}", value)
        self.put_configuration(10, "/a/")
        self.fleet.start()
        self.until(lambda: all(self.ready(node) for node in self.fleet.nodes))
        self.until_served("/a/1")
        for version, value in enumerate(ODD_VALUES, 11):
            for key in KEYS:
                self.store.put(key, value)
            sleep(PAUSE_S)
            self.put_configuration(version, f"/v{version}/")
            self.until_served(f"/v{version}/1", APPLY_S)
