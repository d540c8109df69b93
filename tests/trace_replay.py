"""Replays traces of searches and non-idempotent requests with a paused clock.

The schema of a trace is documented in docs/TRACES.md; the structs below define its types.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final, Protocol

from msgspec import Struct, json

from sequoiapulley.ids import NodeId, RequestId, ShardId
from sequoiapulley.model import Snapshot
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.requests.messages import RefusalReason, RequestOutcome, RunReport, RunState
from sequoiapulley.runtime import PausedClock
from sequoiapulley.search.actions import (
    DeliverAnswer,
    SearchAction,
    SendCancelSearch,
    SendGroupSearch,
)
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.messages import GroupReply, Hit, MissingReason, ShardReply
from tests.fake_store import FakeStore, Fault
from tests.search_fixtures import FixedHomes, make_configuration, make_keyed, make_search
from tests.test_request_coordinator import EntryNode

TRACES: Final = Path(__file__).parent / "traces"
START_S: Final = 1_000.0


class TraceError(Exception):
    """The observed actions of a step differ from the expected ones."""


class Header(Struct, forbid_unknown_fields=True):
    """Header in the first line of a trace."""

    trace: str
    """`search` or `request`."""
    about: str
    homes: tuple[NodeId, ...] = (NodeId("home-a"), NodeId("home-b"))
    entries: tuple[str, ...] = ("entry-1", "entry-2")


class Expected(Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One expected action or outcome of a step."""

    ask: NodeId | None = None
    cancel: NodeId | None = None
    answer: RequestId | None = None
    run: NodeId | None = None
    outcome: RequestId | None = None
    group: int | None = None
    order: int | None = None
    shards: tuple[ShardId, ...] | None = None
    snapshot: str | None = None
    covered: tuple[ShardId, ...] | None = None
    lacking: dict[ShardId, MissingReason] | None = None
    complete: bool | None = None
    hits: tuple[str, ...] | None = None
    state: RunState | None = None
    reason: RefusalReason | None = None
    body: str | None = None
    repeated: bool | None = None
    retry: bool | None = None


class Step(Struct, forbid_unknown_fields=True):
    """Step in one of the further lines of a trace."""

    at: float
    """Seconds since the start of the trace."""
    do: str
    expect: tuple[Expected, ...] = ()
    request: RequestId = RequestId("")
    deadline: float = 0.06
    """Seconds since the start of the trace."""
    min_coverage: float = 0.0
    early: float | None = None
    node: NodeId = NodeId("")
    group: int = 0
    shards: dict[ShardId, str] = {}
    """Reply of each shard: a snapshot, or `lacking <reason>` for a missing shard."""
    available: tuple[str, ...] = ()
    entry: str = "entry-1"
    key: str = "key-1"
    body: str = "{}"
    fault: Fault = Fault.NONE
    order: int = 0
    state: RunState = RunState.DONE
    reason: RefusalReason | None = None


class Player(Protocol):
    """Executes the steps of one kind of trace."""

    def apply(self, step: Step) -> list[Expected]:
        """Executes a step and returns the observed actions."""


class SearchPlayer:
    """Drives a search coordinator; group searches are numbered from 1 in sending order."""

    def __init__(self, header: Header) -> None:
        self.coordinator = SearchCoordinator(FixedHomes(*header.homes), MemoryLog(), first_id=1)
        self.coordinator.configure(make_configuration(), START_S)

    def apply(self, step: Step) -> list[Expected]:
        """Executes a step and returns the actions of the coordinator."""
        return [self._observed(action) for action in self._actions(step, START_S + step.at)]

    def _actions(self, step: Step, now: float) -> list[SearchAction]:
        if step.do == "start":
            early = None if step.early is None else START_S + step.early
            deadline = START_S + step.deadline
            request = make_search(step.request, deadline, step.min_coverage, early)
            return self.coordinator.start(request, now)
        if step.do == "reply":
            replies = tuple(self._reply(step, shard) for shard in step.shards)
            return self.coordinator.on_group_reply(step.node, GroupReply(step.group, replies), now)
        if step.do == "lost":
            return self.coordinator.on_node_lost(step.node, now)
        if step.do == "cancel":
            return self.coordinator.cancel(step.request, now)
        if step.do == "tick":
            return self.coordinator.tick(now)
        raise TraceError(f"unknown step {step.do!r}")

    def _reply(self, step: Step, shard: ShardId) -> ShardReply:
        available = tuple(Snapshot.parse(text) for text in step.available)
        outcome = step.shards[shard]
        if outcome.startswith("lacking "):
            reason = MissingReason(outcome.removeprefix("lacking "))
            return ShardReply(shard, reason=reason, available=available)
        hit = Hit(f"{shard}@{outcome}", 1.0, shard)
        return ShardReply(shard, Snapshot.parse(outcome), (hit,), None, available)

    def _observed(self, action: SearchAction) -> Expected:
        if isinstance(action, SendGroupSearch):
            message = action.message
            shards = tuple(target.shard for target in message.targets)
            snapshot = None if message.snapshot is None else str(message.snapshot)
            return Expected(
                ask=action.node, group=message.search_id, shards=shards, snapshot=snapshot
            )
        if isinstance(action, SendCancelSearch):
            return Expected(cancel=action.node, group=action.message.search_id)
        assert isinstance(action, DeliverAnswer)
        answer = action.answer
        return Expected(
            answer=answer.request_id,
            snapshot=None if answer.snapshot is None else str(answer.snapshot),
            covered=answer.covered,
            lacking={each.shard: each.reason for each in answer.lacking},
            complete=answer.complete,
            hits=tuple(hit.id for hit in answer.hits),
        )


class RequestPlayer:
    """Drives several entry nodes and one store; run orders are numbered from 1 over all nodes."""

    def __init__(self, header: Header) -> None:
        self.clock = PausedClock(START_S)
        self.store = FakeStore()
        self.incarnation = 1
        self.entries = {name: EntryNode(self.store, self.clock, name) for name in header.entries}
        self.orders: list[int] = []

    def apply(self, step: Step) -> list[Expected]:
        """Executes a step and returns the run orders and outcomes of the entry nodes."""
        self.clock.advance(START_S + step.at - self.clock.now())
        before = {
            name: (len(entry.orders), len(entry.outcomes)) for name, entry in self.entries.items()
        }
        self._act(step, self.entries[step.entry])
        observed: list[Expected] = []
        for name, (orders, outcomes) in before.items():
            for home, order in self.entries[name].orders[orders:]:
                self.orders.append(order.run_id)
                observed.append(Expected(run=home, order=len(self.orders), body=order.body))
            observed += [self._outcome(each) for each in self.entries[name].outcomes[outcomes:]]
        return observed

    def _act(self, step: Step, entry: EntryNode) -> None:
        if step.do == "start":
            deadline = START_S + step.deadline
            request = make_keyed(step.key, step.body, deadline, name=step.request)
            entry.coordinator.start(request)
        elif step.do == "store":
            self.store.step(fault=step.fault)
        elif step.do == "store_all":
            self.store.settle(step.fault)
        elif step.do == "delayed":
            self.store.apply_delayed()
        elif step.do == "report":
            report = RunReport(self.orders[step.order - 1], step.state, step.reason, step.body)
            entry.coordinator.on_report(step.node, report)
        elif step.do == "lost":
            entry.coordinator.on_node_lost(step.node)
        elif step.do == "tick":
            entry.coordinator.tick()
        elif step.do == "restart":
            self.incarnation += 1
            self.store.calls.clear()
            fresh = EntryNode(self.store, self.clock, step.entry, self.incarnation)
            fresh.orders, fresh.outcomes = entry.orders, entry.outcomes
            self.entries[step.entry] = fresh
        else:
            raise TraceError(f"unknown step {step.do!r}")

    def _outcome(self, outcome: RequestOutcome) -> Expected:
        return Expected(
            outcome=outcome.request_id,
            state=outcome.state,
            reason=outcome.reason,
            body=outcome.body,
            repeated=outcome.repeated,
            retry=outcome.retry_after_ms is not None,
        )


def replay(path: Path) -> int:
    """Replays one trace.

    Args:
        path: The trace file.

    Returns:
        The number of steps.

    Raises:
        TraceError: If the observed actions of a step differ from the expected ones.
    """
    lines = path.read_text(encoding="utf-8").splitlines()
    header = json.decode(lines[0], type=Header)
    players = {"search": SearchPlayer, "request": RequestPlayer}
    player: Player = players[header.trace](header)
    for number, line in enumerate(lines[1:], start=2):
        step = json.decode(line, type=Step)
        observed = player.apply(step)
        if observed == list(step.expect):
            continue
        found = json.encode(observed).decode()
        raise TraceError(f"{path.name}:{number}: unexpected actions: {found}")
    return len(lines) - 1
