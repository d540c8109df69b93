"""Measures the processor time of dispatch decisions, per sub-request, at several fan-outs."""

from __future__ import annotations

import gc
import json
from statistics import median
from time import process_time
from typing import Final

from bench.paused_upstreams import SERVICE, SNAPSHOT, NullCodec, small_configuration
from sequoiapulley.ids import CallerId, Fingerprint, InstanceName, ShardId
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import ShardTarget
from sequoiapulley.upstream.baseline import BaselineDispatcher
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.messages import ReplyKind, SendExchange, SubSearch, UpstreamReply

FAN_OUTS: Final = (20, 60, 140, 560)
SUB_REQUESTS: Final = 28_000
"""Sub-requests per round; a multiple of every fan-out."""
ROUNDS: Final = 5
SERVICE_TIME_S: Final = 0.004
DEADLINE_S: Final = 0.060
MICROSECONDS: Final = 1e6


def time_round(dispatcher: Dispatcher, fan_out: int) -> float:
    """Measures one round of consecutive searches over all instances.

    Args:
        dispatcher: The dispatcher to measure.
        fan_out: Number of instances in the configuration.

    Returns:
        Microseconds per sub-request for submission, timers and reply together.
    """
    configuration = small_configuration(fan_out)
    dispatcher.configure(configuration, 0.0, lambda _: 55, lambda _: 2)
    targets = [
        ShardTarget(ShardId(f"i{number}"), SERVICE, InstanceName(f"i{number}"))
        for number in range(fan_out)
    ]
    reply = UpstreamReply(ReplyKind.OK, SNAPSHOT, body=b"ok")
    caller = CallerId("c")
    now = 0.0
    spent = 0.0
    # As in the daemon, later collections skip the objects that exist at the start.
    gc.collect()
    gc.freeze()
    for search in range(SUB_REQUESTS // fan_out):
        subs = [
            SubSearch(
                search * fan_out + number,
                target,
                caller,
                "q",
                10,
                Fingerprint(str(search)),
                SNAPSHOT,
                now + DEADLINE_S,
            )
            for number, target in enumerate(targets)
        ]
        sent = []
        started = process_time()
        for sub in subs:
            for action in dispatcher.submit_search(sub, now):
                if isinstance(action, SendExchange):
                    sent.append(action.exchange_id)
        now += SERVICE_TIME_S
        dispatcher.tick(now)
        for exchange_id in sent:
            dispatcher.on_reply(exchange_id, reply, now)
        dispatcher.next_due()
        spent += process_time() - started
    return spent / SUB_REQUESTS * MICROSECONDS


def run() -> dict[str, dict[str, float]]:
    """Measures both dispatchers at every fan-out.

    Returns:
        Median, minimum and maximum microseconds per sub-request, by dispatcher and fan-out.
    """
    results: dict[str, dict[str, float]] = {}
    for fan_out in FAN_OUTS:
        for name, kind in (("dispatcher", Dispatcher), ("baseline", BaselineDispatcher)):
            rounds = [time_round(kind(NullCodec(), MemoryLog()), fan_out) for _ in range(ROUNDS)]  # type: ignore[arg-type]
            results[f"{name} {fan_out}"] = {
                "us": round(median(rounds), 2),
                "least_us": round(min(rounds), 2),
                "greatest_us": round(max(rounds), 2),
            }
    return results


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
