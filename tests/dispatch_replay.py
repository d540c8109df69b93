"""Replays dispatch traces: JSON lines with events at clock readings and with expected outcomes.

Each line has `at` (seconds) and either `do` or `expect`. Values of `do`, with their fields:
`configure` (instances, replicas, slots, draining), `search` (id, wait, instance, fingerprint,
caller), `run` (id, wait, instance, fingerprint), `reply` (to, kind, snapshot, available, draining),
`lose` (to, loss), `report` (upstream, load, draining), `strike` (fingerprint, upstream, strikes)
and `cancel` (id). `to` is the id of a sub-request, `<id>@<upstream>`, `*` or `*@<upstream>`. An
upstream is a name, `first:<id>` for the first upstream that received a sub-request, or `other:<id>`
for the other one.

Values of `expect`: `answer` (id), `lacking` (id, reason), `run` (id, state, reason), `open` (id,
count, fresh), `sent` (upstream, count), `strikes` (list) and `nothing_open`.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Final

from sequoiapulley.ids import ExchangeId, Fingerprint, UpstreamName
from sequoiapulley.model import Snapshot
from sequoiapulley.upstream.messages import LossKind, ReplyKind, UpstreamReply
from tests.upstream_fakes import SNAPSHOT, DispatcherHarness, configuration, run, search

TRACES: Final = Path(__file__).parent / "traces"


class TraceReplay:
    """Replays one trace; the harness also checks every action."""

    def __init__(self, path: Path) -> None:
        """Reads a trace whose first line is a `configure` at 0."""
        self.lines = [json.loads(line) for line in path.read_text().splitlines() if line]
        self.harness = DispatcherHarness(
            self._configuration(self.lines[0]), self.lines[0].get("slots", 2)
        )

    def play(self) -> None:
        """Replays all lines in order."""
        for number, line in enumerate(self.lines[1:], start=2):
            self.harness.advance(line["at"] - self.harness.now)
            name = line.get("do") or line["expect"]
            step = getattr(self, f"_{'do' if 'do' in line else 'expect'}_{name}")
            try:
                step(line)
            except AssertionError as exc:
                raise AssertionError(f"line {number}: {line}: {exc}") from exc

    def _configuration(self, line: dict[str, Any]) -> Any:
        draining = frozenset(line.get("draining", ()))
        size = (line.get("instances", 1), line.get("replicas", 2), line.get("slots", 2))
        return configuration(*size, draining)

    def _upstream(self, text: str) -> str:
        kind, _, sub_id = text.partition(":")
        if kind == "first":
            return str(self.harness.sent[int(sub_id)][0].upstream)
        if kind == "other":
            first = self.harness.sent[int(sub_id)][0].upstream
            stem = first.rpartition("-")[0]
            return f"{stem}-1" if first.endswith("-0") else f"{stem}-0"
        return text

    def _exchanges(self, to: str) -> list[ExchangeId]:
        sub, _, upstream = str(to).partition("@")
        found = list(self.harness.open) if sub == "*" else self.harness.exchanges_of(int(sub))
        if upstream:
            name = self._upstream(upstream)
            found = [key for key in found if self.harness.open[key].upstream == name]
        assert found, "nothing is in flight there"
        return found

    def _do_configure(self, line: dict[str, Any]) -> None:
        line = {**line, "draining": [self._upstream(name) for name in line.get("draining", ())]}
        self.harness.configure(self._configuration(line))

    def _do_search(self, line: dict[str, Any]) -> None:
        deadline = self.harness.now + line.get("wait", 0.06)
        instance, caller = line.get("instance", 0), line.get("caller", "caller")
        name = line.get("fingerprint", f"f{line['id']}")
        self.harness.submit(search(line["id"], deadline, instance, caller, name))

    def _do_run(self, line: dict[str, Any]) -> None:
        deadline = self.harness.now + line.get("wait", 0.06)
        name = line.get("fingerprint", f"f{line['id']}")
        self.harness.submit(run(line["id"], deadline, line.get("instance", 0), name))

    def _do_reply(self, line: dict[str, Any]) -> None:
        reply = UpstreamReply(
            ReplyKind(line.get("kind", "ok")),
            Snapshot.parse(line["snapshot"]) if "snapshot" in line else SNAPSHOT,
            tuple(Snapshot.parse(text) for text in line.get("available", ())),
            b"ok",
            line.get("draining", False),
        )
        for exchange_id in self._exchanges(line["to"]):
            if exchange_id in self.harness.open:
                self.harness.reply(exchange_id, reply)

    def _do_lose(self, line: dict[str, Any]) -> None:
        for exchange_id in self._exchanges(line["to"]):
            if exchange_id in self.harness.open:
                self.harness.lose(exchange_id, LossKind(line.get("loss", "connection_lost")))

    def _do_report(self, line: dict[str, Any]) -> None:
        name = self._upstream(line["upstream"])
        self.harness.report(name, line.get("draining", False), line.get("load"))

    def _do_strike(self, line: dict[str, Any]) -> None:
        name = Fingerprint(line["fingerprint"])
        upstream = UpstreamName(line.get("upstream", "elsewhere"))
        strikes = line.get("strikes", 1)
        self.harness.apply(
            self.harness.dispatcher.on_strike(name, upstream, self.harness.now, strikes)
        )

    def _do_cancel(self, line: dict[str, Any]) -> None:
        self.harness.cancel(line["id"])

    def _expect_answer(self, line: dict[str, Any]) -> None:
        reply = self.harness.searches.get(line["id"])
        assert reply is not None, "no outcome yet"
        assert reply.reason is None, f"lacking: {reply.reason}"

    def _expect_lacking(self, line: dict[str, Any]) -> None:
        reply = self.harness.searches.get(line["id"])
        assert reply is not None, "no outcome yet"
        found = reply.reason.value if reply.reason else "answered"
        assert found == line["reason"], f"found {found}"

    def _expect_run(self, line: dict[str, Any]) -> None:
        report = self.harness.runs.get(line["id"])
        assert report is not None, "no outcome yet"
        assert report.state.value == line["state"], f"found {report.state}"
        reason = report.reason.value if report.reason else None
        assert reason == line.get("reason"), f"found {reason}"

    def _expect_open(self, line: dict[str, Any]) -> None:
        found = [self.harness.open[key] for key in self.harness.exchanges_of(line["id"])]
        assert len(found) == line["count"], f"found {len(found)}"
        fresh = sum(action.fresh_connection for action in found)
        assert fresh == line.get("fresh", fresh), f"{fresh} on fresh connections"

    def _expect_sent(self, line: dict[str, Any]) -> None:
        found = self.harness.sends[self._upstream(line["upstream"])]
        assert found == line["count"], f"found {found}"

    def _expect_strikes(self, line: dict[str, Any]) -> None:
        found = [strike.strikes for strike in self.harness.strikes]
        assert found == line["list"], f"found {found}"

    def _expect_nothing_open(self, line: dict[str, Any]) -> None:
        assert not self.harness.open, f"{len(self.harness.open)} open"
