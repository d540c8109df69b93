"""Tests of the configuration text: the resulting configuration and the findings."""

from __future__ import annotations

from pathlib import Path
from unittest import TestCase

from hypothesis import example, given
from hypothesis import strategies as st
from result import Err, Ok

from sequoiapulley.ids import ConfigVersion, ServiceName
from sequoiapulley.model.service import Upstream
from sequoiapulley.settings import parse_configuration
from tools.write_examples import EXAMPLES, WORKSPACES, render_example

VERSION = ConfigVersion(7)
VALID_TEXT = """{
  // A comment with "quotes" and {braces}.
  "customer": "c",
  "places": {"a": {"region": "r"}, "b": {"region": "r"}},
  "contracts": {"k": {"slots": 2, "connections": 60, "open_ms": 6}},
  "services": {
    "s": {"contract": "k", "depends_on": ["t"], "search": {"deadline_ms": 80},
          "instances": {"s-1": {
            "s-1-a": {"place": "a", "address": "10.0.0.1:9001"},
            "s-1-b": {"place": "b", "address": "[::1]:9001", "draining": true}}}},
    "t": {"contract": "k", "instances": {"t-1": {
            "t-1-a": {"place": "b", "address": "10.0.0.2:9001"}}}}, /* a trailing comma */
  },
}
"""


def findings_of(text: str) -> list[str]:
    """Returns the findings of a text, formatted as on the command line."""
    result = parse_configuration(text, VERSION, "f")
    return [str(finding) for finding in result.err_value] if isinstance(result, Err) else []


class ConfigurationTextTest(TestCase):
    """A valid text gives a configuration; an invalid one gives all findings with locations."""

    def test_reads_every_member(self) -> None:
        result = parse_configuration(VALID_TEXT, VERSION, "f")
        assert isinstance(result, Ok)
        cfg = result.ok_value
        service = cfg.services[ServiceName("s")]
        self.assertEqual((cfg.version, cfg.workspace, service.depends_on), (7, "c", ("t",)))
        self.assertEqual((service.search.deadline_ms, service.search.early_ms), (80.0, 40.0))
        last: Upstream = service.instances[0].upstreams[1]
        self.assertEqual(
            (last.host, last.port, last.draining, last.failure_domain), ("::1", 9001, True, "b")
        )

    def test_reports_all_findings_in_text_order(self) -> None:
        text = VALID_TEXT.replace('"depends_on": ["t"]', '"depends_on": ["t", "ghost"]')
        text = text.replace('"slots": 2', '"slots": 0').replace('"place": "a"', '"place": "z"')
        text = text.replace('"draining": true', '"drain": true').replace("10.0.0.2", "10.0.0.1")
        text = text.replace('"t": {"contract": "k"', '"t": {"contract": "q", "depends_on": ["s"]')
        self.assertEqual(
            findings_of(text),
            [
                'f:5:32: "slots" is 0, must be from 1 to 10000',
                'f:7:48: service "ghost" does not exist',
                'f:9:32: failure domain "z" does not exist',
                'f:10:62: unknown key "drain"; known here: address, draining, place',
                'f:11:23: contract "q" does not exist',
                "f:11:43: dependency cycle: s -> t -> s",
                'f:12:48: upstreams "s-1-a" and "t-1-a" have the same address',
            ],
        )

    def test_finds_duplicates(self) -> None:
        text = VALID_TEXT.replace('"t-1-a"', '"s-1-a"').replace('"t-1":', '"s-1":')
        text = text.replace('"customer": "c"', '"customer": "c", "customer": "d"')
        self.assertEqual(
            findings_of(text),
            [
                'f:3:20: duplicate key "customer"',
                'f:11:42: instance "s-1" is defined twice',
                'f:12:13: upstream "s-1-a" is defined twice',
            ],
        )

    def test_duplicate_key_alone_is_a_finding(self) -> None:
        text = VALID_TEXT.replace('"slots": 2', '"slots": 2, "slots": 2')
        self.assertEqual(findings_of(text), ['f:5:35: duplicate key "slots"'])

    def test_finds_wrong_types(self) -> None:
        text = VALID_TEXT.replace('"open_ms": 6', '"open_ms": "6", "reports_load": 1')
        text = text.replace('["t"]', '"t"').replace('{"region": "r"}', "5", 1)
        text = text.replace('"10.0.0.1:9001"', '"example.org:9001"').replace("[::1]:9001", "::1:x")
        found = [line.split(": ", 1)[1] for line in findings_of(text)]
        self.assertEqual(
            found,
            [
                "must be an object",
                '"open_ms" must be a number',
                '"reports_load" must be true or false',
                '"depends_on" must be a list of names',
                '"address" must be IP:PORT; "example.org" is not an IP address',
                '"address" must be IP:PORT with a port from 1 to 65535',
            ],
        )

    def test_locates_syntax_errors_after_comments(self) -> None:
        self.assertEqual(
            findings_of('// one\n{"a": /* two\n */ ]}'), ["f:3:5: not valid JSON: expecting value"]
        )
        self.assertEqual(findings_of('{"a": 1 /* open'), ["f:1:9: comment is not closed"])

    @given(st.text(max_size=200))
    @example("[" * 100_000)
    @example('{"a":' * 100_000)
    @example("9" * 10_000)
    @example("/*" * 100_000)
    @example(",/**/" * 50_000)
    @example(("," + " " * 999) * 200)
    @example('{"services": {' + ",".join(f'"s{i}": 5' for i in range(20_000)) + "}}")
    @example('{"customer": -1e999, "services": {"\\ud800": []}}')
    def test_arbitrary_text_gives_findings_with_a_location(self, text: str) -> None:
        result = parse_configuration(text, VERSION, "f")
        assert isinstance(result, Err)
        lines = text.split("\n")
        for finding in result.err_value:
            self.assertLessEqual(finding.line, len(lines))
            self.assertIn(finding.column, range(1, len(lines[finding.line - 1]) + 2))

    @given(st.data())
    def test_damaged_text_gives_configuration_or_findings(self, data: st.DataObject) -> None:
        start = data.draw(st.integers(0, len(VALID_TEXT)))
        end = data.draw(st.integers(start, min(len(VALID_TEXT), start + 20)))
        filler = data.draw(
            st.sampled_from(["", "null", "{}", "[]", "-1", '"x"', "true", ",", '"', "/*"])
        )
        result = parse_configuration(VALID_TEXT[:start] + filler + VALID_TEXT[end:], VERSION, "f")
        if isinstance(result, Err):
            self.assertTrue(all(f.line >= 1 and f.column >= 1 for f in result.err_value))
            self.assertTrue(result.err_value)

    def test_examples_are_current_and_of_the_stated_sizes(self) -> None:
        for workspace in WORKSPACES:
            path = Path(EXAMPLES / workspace.file)
            text = path.read_text(encoding="utf-8")
            self.assertEqual(text, render_example(workspace), f"run tools.write_examples: {path}")
            result = parse_configuration(text, VERSION, path.name)
            assert isinstance(result, Ok)
            sizes = [len(service.instances) for service in result.ok_value.services.values()]
            self.assertEqual(sizes, [20, 30, 1, 1])
