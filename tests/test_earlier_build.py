"""Tests that nodes of this build and of the build in production understand each other.

`messages/` holds messages and records as the build in production writes them. When `production` in
deploy/system.toml moves on, the file of that build is added and named here.
"""

from __future__ import annotations

from base64 import b64decode
from pathlib import Path
from tomllib import loads
from typing import Final
from unittest import TestCase

from msgspec import NODEFAULT, ValidationError, defstruct
from msgspec.json import decode as decode_json
from msgspec.msgpack import decode, encode
from msgspec.structs import fields

from sequoiapulley.daemon.handover_port import HandoverReply, HandoverRequest
from sequoiapulley.daemon.state_reply import decode_state
from sequoiapulley.forward.aggregators import PartsReply, PartsRequest
from sequoiapulley.forward.crash_guard import StrikeNews
from sequoiapulley.forward.peer_table import Heartbeat
from sequoiapulley.forward.state import (
    NodeChange,
    NodeRecord,
    NodeRemoval,
    RequestRefusal,
    TableChange,
    UnreadableEntry,
    UpstreamChange,
    UpstreamRemoval,
)
from sequoiapulley.platform.documents import decode_item, encode_node, encode_refusal
from tests.state_fixtures import table

ROOT: Final = Path(__file__).resolve().parent.parent
PRODUCTION: Final = "eb332d6"
POSITIONAL: Final = {
    "heartbeat": Heartbeat,
    "node_record": NodeRecord,
    "strike_news": StrikeNews,
    "parts_request": PartsRequest,
    "parts_reply": PartsReply,
    "handover_request": HandoverRequest,
    "handover_reply": HandoverReply,
}
"""Messages whose fields are told by position."""


def _recorded() -> dict[str, dict[str, object]]:
    """Returns what the build in production writes, by name."""
    text = (ROOT / "tests" / "messages" / f"{PRODUCTION}.json").read_text()
    found: dict[str, dict[str, object]] = decode_json(text)
    return found


class EarlierBuildTest(TestCase):
    """Messages of the build in production, and messages to it."""

    def setUp(self) -> None:
        self.recorded = _recorded()

    def message(self, name: str) -> bytes:
        """Returns a recorded message."""
        return b64decode(str(self.recorded[name]["message"]))

    def test_recorded_build_is_the_one_in_production(self) -> None:
        settings = loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertTrue(settings["production"].startswith(PRODUCTION))

    # Guards against a message whose positions move, which an earlier node reads as other fields.
    def test_positions_only_grow_at_the_end(self) -> None:
        for name, shape in POSITIONAL.items():
            before = self.recorded[name]["positions"]
            assert isinstance(before, list)
            now = [field.name for field in fields(shape)]
            self.assertEqual(now[: len(before)], before, name)
            for field in fields(shape)[len(before) :]:
                self.assertFalse(field.required, f"{name}: {field.name} has no default")

    def test_messages_of_the_earlier_build_decode(self) -> None:
        for name, shape in POSITIONAL.items():
            before = self.recorded[name]["positions"]
            assert isinstance(before, list)
            decoded = decode(self.message(name), type=shape)
            older = decode(self.message(name))
            again = decode(encode(decoded))
            self.assertEqual(again[: len(before)], older, name)
            for field, value in zip(
                fields(shape)[len(before) :], again[len(before) :], strict=True
            ):
                default = field.default
                if default is NODEFAULT:
                    default = field.default_factory()
                self.assertEqual(value, default, f"{name}: {field.name}")

    def test_earlier_build_decodes_messages_of_this_one(self) -> None:
        for name, shape in POSITIONAL.items():
            before = self.recorded[name]["positions"]
            assert isinstance(before, list)
            kinds = {field.name: field.type for field in fields(shape)}
            older = defstruct(
                "Older", [(field, kinds[field]) for field in before], array_like=True, frozen=True
            )
            sent = decode(self.message(name), type=shape)
            received = decode(encode(sent), type=older)
            for field in before:
                self.assertEqual(getattr(received, field), getattr(sent, field), f"{name}: {field}")

    def test_state_of_the_earlier_build_decodes(self) -> None:
        state = decode_state(self.message("state_reply"), None)
        kinds = [type(change) for change in state.changes]
        self.assertEqual(
            kinds,
            [
                TableChange,
                UpstreamChange,
                UpstreamRemoval,
                NodeChange,
                NodeRemoval,
                RequestRefusal,
                UnreadableEntry,
            ],
        )
        self.assertEqual((state.revision, state.era, state.age, state.whole), (42, 1, 0.25, True))

    def test_difference_of_the_earlier_build_applies(self) -> None:
        earlier = table(7)
        state = decode_state(self.message("state_delta"), earlier)
        (change,) = state.changes
        assert isinstance(change, TableChange)
        self.assertEqual(change.table, table(9))

    # Guards against fields and kinds of changes that an earlier node does not know how to read.
    def test_state_is_written_as_the_earlier_build_writes_it(self) -> None:
        sent = decode(self.message("state_reply"))
        state = decode_state(self.message("state_reply"), None)
        again = decode(encode(state))
        self.assertEqual(again, sent)

    def test_records_in_the_store_stay_the_same(self) -> None:
        for name, written in (("stored_node", encode_node), ("stored_refusal", encode_refusal)):
            found = decode_item(str(self.recorded[name]["key"]), self.message(name))
            record = found.record if isinstance(found, NodeChange) else found
            self.assertEqual(written(record), self.message(name))  # type: ignore[operator]

    def test_cut_off_and_malformed_messages_are_refused(self) -> None:
        for name, shape in POSITIONAL.items():
            whole = self.message(name)
            for broken in (whole[: len(whole) // 2], b"\xc1", encode({"a": 1}), encode([1])):
                with self.assertRaises((ValidationError, ValueError), msg=name):
                    decode(broken, type=shape)
