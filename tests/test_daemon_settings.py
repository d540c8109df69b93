"""Tests of the settings file of the daemon."""

from __future__ import annotations

from json import dumps
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from sequoiapulley.settings import Endpoint, load_settings, parse_settings
from tools.write_examples import EXAMPLES

EXAMPLE = EXAMPLES / "daemon.json5"
KEYS = st.sampled_from(["node", "callers", "host", "port", "tls", "log", "x"])
SCALARS = st.none() | st.booleans() | st.floats() | st.text(max_size=5)
VALUES = st.recursive(SCALARS, lambda inner: st.dictionaries(KEYS, inner), max_leaves=12)


class DaemonSettingsTest(TestCase):
    """A valid file gives all settings; an invalid one gives all findings."""

    def test_reads_the_example(self) -> None:
        result = load_settings(EXAMPLE)
        assert isinstance(result, Ok)
        settings = result.ok_value
        self.assertEqual(settings.operators, Endpoint("127.0.0.1", 9300))
        self.assertEqual(
            (settings.failure_domain, settings.tls, settings.log.json), ("burnaby-a", None, False)
        )

    def test_reports_all_findings_at_once(self) -> None:
        text = EXAMPLE.read_text(encoding="utf-8")
        text = text.replace('"port": 9300', '"port": 99999').replace(
            '"tls": null', '"tls": {"key": "k"}'
        )
        text = text.replace('"region"', '"regoin"').replace('"port": 9200', '"port": 9100')
        text = text.replace('"store": {"host": "127.0.0.1"', '"store": {"host": "store.example"')
        result = parse_settings(text, "d")
        assert isinstance(result, Err)
        self.assertEqual(
            [(f.line, f.message) for f in result.err_value],
            [
                (2, '"region" is missing'),
                (8, 'unknown key "regoin"; known here: callers, customer, entry_lifetime_s, '
                 "fan_out, limits, link, log, membership, membership_key_file, node, operators, "
                 "place, region, store, tls, vm_list"),
                (12, '"callers" and "link" have the same address'),
                (13, '"port" is 99999, must be from 1 to 65535'),
                (17, '"host" must be an IP address; "store.example" is not'),
                (23, '"authority" is missing'),
                (23, '"certificate" is missing'),
            ],
        )  # fmt: skip

    def test_unreadable_file_is_named(self) -> None:
        result = load_settings(EXAMPLE.with_name("none.json5"))
        assert isinstance(result, Err)
        self.assertIn("none.json5:1:1: cannot read the file: No such", str(result.err_value[0]))

    @given(VALUES)
    def test_arbitrary_value_gives_findings(self, value: object) -> None:
        result = parse_settings(dumps(value), "d")
        assert isinstance(result, Err)
        self.assertTrue(all(f.line == 1 and f.column >= 1 for f in result.err_value))
