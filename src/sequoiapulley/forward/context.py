"""Components that all requests on a node share."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.forward.aggregators import Aggregators
from sequoiapulley.forward.contract import WireContract
from sequoiapulley.forward.crash_guard import CrashGuard
from sequoiapulley.forward.latency_model import LatencyModel
from sequoiapulley.forward.retry_quota import RetryQuota
from sequoiapulley.forward.tally import Tally
from sequoiapulley.forward.upstream_contact import UpstreamContact
from sequoiapulley.forward.upstream_directory import UpstreamDirectory
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.runtime import Clock, TimerQueue


class ForwardContext(Struct, frozen=True):
    """Components that all requests on a node share."""

    clock: Clock
    timers: TimerQueue
    contract: WireContract
    directory: UpstreamDirectory
    model: LatencyModel
    quota: RetryQuota
    log: LogSink
    tally: Tally
    crash_guard: CrashGuard
    contact: UpstreamContact
    aggregators: Aggregators | None = None
    """Selects remote nodes that merge parts; None if there are none."""
