"""Measures the cost of a message between two nodes, in batches of 1, 8 and 32 messages.

The two nodes are processes connected over loopback. Processor time is that of the requesting
process: sending, grpc, receiving and delivery to the handler. A round ends when all messages of
its batch are answered.
"""

from __future__ import annotations

from json import dumps
from multiprocessing import get_context
from multiprocessing.connection import Connection
from queue import SimpleQueue
from statistics import median
from time import perf_counter, process_time
from typing import Any, Final

from msgspec.structs import replace

from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import (
    CallerId,
    Fingerprint,
    Incarnation,
    InstanceName,
    NodeId,
    ServiceName,
    ShardId,
    WorkspaceName,
)
from sequoiapulley.link.messages import LinkMessage
from sequoiapulley.link.peer_link import LinkHandlers, LinkIdentity, PeerLink
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import GroupReply, GroupSearch, Hit, ShardReply, ShardTarget
from tests.membership_simulation import make_member

BATCHES: Final = (1, 8, 32)
MESSAGES: Final = 6400
WARM_UP_ROUNDS: Final = 50
TIMEOUT_S: Final = 10.0


class _Endpoint:
    """One end of the link."""

    def __init__(self, number: int, answers: bool) -> None:
        """Starts the link on a free port.

        Args:
            number: Number of the node.
            answers: Reply to every search instead of queueing it.
        """
        self.inbox: SimpleQueue[LinkMessage] = SimpleQueue()
        self.member = replace(make_member(number), host="127.0.0.1")
        self._answers = answers
        handlers = LinkHandlers(self._on_message, lambda *_: None, lambda *_: None)
        identity = LinkIdentity(WorkspaceName("c"), self.member.node, Incarnation(1))
        self.link = PeerLink(identity, ("127.0.0.1", 0), lambda call: call(), handlers, MemoryLog())
        self.member = replace(self.member, link_port=self.link.start())

    def _on_message(self, node: NodeId, _inc: Incarnation, message: LinkMessage) -> None:
        if self._answers and isinstance(message, GroupSearch):
            self.link.send(node, _reply(message))
            return
        self.inbox.put(message)


def run() -> dict[str, Any]:
    """Measures all batch sizes.

    Returns:
        Per batch size: processor time of one process per message, and times of a round.
    """
    context = get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=_answer_until_stopped, args=(child_pipe,))
    process.start()
    requester = _Endpoint(1, answers=False)
    try:
        target = replace(make_member(2), host="127.0.0.1", link_port=parent_pipe.recv())
        requester.link.update_members((target,))
        points = [_measure(requester, target, batch) for batch in BATCHES]
    finally:
        requester.link.stop(0.2)
        parent_pipe.send("stop")
        process.join(TIMEOUT_S)
    return {"ends": "two processes on loopback, plaintext", "points": points}


def _answer_until_stopped(pipe: Connection) -> None:
    end = _Endpoint(2, answers=True)
    pipe.send(end.member.link_port)
    pipe.recv()
    end.link.stop(0.2)


def _measure(requester: _Endpoint, target: Member, batch: int) -> dict[str, float]:
    for _ in range(WARM_UP_ROUNDS):
        _round(requester, target, batch)
    rounds = MESSAGES // batch
    frames = requester.link.counters.frames_sent
    started = process_time()
    times = sorted(_round(requester, target, batch) for _ in range(rounds))
    used = process_time() - started
    # In a round the process sends `batch` messages and receives as many.
    return {
        "batch": batch,
        "processor_us_per_message": round(used / (2 * rounds * batch) * 1e6, 1),
        "round_trip_us_p50": round(median(times) * 1e6, 1),
        "round_trip_us_p99": round(times[int(len(times) * 0.99)] * 1e6, 1),
        "frames_per_round": round((requester.link.counters.frames_sent - frames) / rounds, 2),
    }


def _round(requester: _Endpoint, target: Member, batch: int) -> float:
    started = perf_counter()
    for number in range(batch):
        requester.link.send(target.node, _search(number))
    for _ in range(batch):
        requester.inbox.get(timeout=TIMEOUT_S)
    return perf_counter() - started


def _search(number: int) -> GroupSearch:
    targets = tuple(
        ShardTarget(ShardId(f"i{n}"), ServiceName("planner-desk"), InstanceName(f"i{n}"))
        for n in range(4)
    )
    return GroupSearch(
        number, CallerId("desk-1"), "tiles", 20, Fingerprint("f" * 16), None, 0.05, targets
    )


def _reply(search: GroupSearch) -> GroupReply:
    replies = tuple(
        ShardReply(t.shard, hits=(Hit("plan-1", 0.5, t.shard), Hit("plan-2", 0.4, t.shard)))
        for t in search.targets
    )
    return GroupReply(search.search_id, replies)


if __name__ == "__main__":
    print(dumps(run(), indent=2))
