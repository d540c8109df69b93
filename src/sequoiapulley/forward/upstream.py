"""State of one upstream on this node: its record, latency, failures and load."""

from __future__ import annotations

from typing import Final

from sequoiapulley.forward.exchange import Pool
from sequoiapulley.forward.messages import LoadReport, UpstreamRecord
from sequoiapulley.forward.request_limit import RequestLimit

SLOWNESS_WEIGHT: Final = 0.3
"""Weight of a new sample; a slow upstream is detected after two or three requests."""
SLOWNESS_HALF_LIFE_S: Final = 2.0
"""Half-life of the difference between an old estimate and the typical value, so that a slow
upstream is used again."""
MAX_SLOWNESS: Final = 40.0
"""Upper limit of one sample, so that the effect of a pause decays within a few seconds."""
FAILURE_WEIGHT: Final = 0.25
"""Weight of one outcome in the share of requests that fail or are refused."""
UNREACHABLE_WEIGHT: Final = 0.8
"""Weight of an outcome without a connection. As a busy upstream still accepts connections, this is
stronger evidence of a fault."""
FAILURE_HALF_LIFE_S: Final = 1.5
"""Half-life of the failure share without new outcomes."""
FAILURE_PENALTY_S: Final = 0.1
"""Expected cost of a failed request: about one more try with its round trip."""
MAX_SILENCE_S: Final = 0.5
"""Upper limit of the silence that is taken into account, so that a recovered upstream is used
again: about the time of a failed connect."""
SILENCE_HALF_LIFE_S: Final = 1.5
"""Half-life of the last observed silence while no request is overdue."""
MAX_LOAD_REPORT_AGE_S: Final = 0.2
"""Age after which a load report is ignored."""
DRAIN_MARGIN_S: Final = 1.0
"""Time before the end of an upstream's drain after which it receives no request: a request waits
for a connection for up to half a second, and callers' requests are on their way meanwhile."""
COLD_START_RATIO: Final = 1.6
"""Processing time of an upstream that has just started, relative to its usual one."""


class Upstream:
    """State of one upstream on this node, from which the time of a request is estimated.

    Its silence is the time since the first unanswered send, while replies are overdue. It is
    called silent, which means unresponsive, once its silence has reached `MAX_SILENCE_S`.
    """

    __slots__ = (
        "_cold_until",
        "_failure_share",
        "_failure_share_at",
        "_load",
        "_load_at",
        "_silence",
        "_silence_at",
        "_slowness",
        "_slowness_at",
        "_unanswered_since",
        "_was_silent",
        "address_reassigned",
        "leaving_since",
        "limit",
        "overdue_requests",
        "paused_until",
        "pool",
        "record",
        "retired",
    )

    def __init__(self, record: UpstreamRecord, pool: Pool, now: float) -> None:
        """Initialise an upstream without samples.

        Args:
            record: The upstream's record.
            pool: Its connection pool.
            now: Clock reading in seconds.
        """
        self.record = record
        self.pool = pool
        self.retired = record.draining
        """Whether it receives no new requests, because it drains or was removed."""
        self.address_reassigned = False
        """Whether another upstream replied at its address; cleared only by a restart of this
        one."""
        self.leaving_since: float | None = None
        """Clock reading at which this node learned that it announced its shutdown, or None."""
        self.paused_until = float("-inf")
        """Clock reading until which it requested a pause of this node."""
        self.limit: RequestLimit | None = None
        """Limit on this node's requests, while it states one."""
        self.overdue_requests = 0
        """Number of overdue requests of this node in flight."""
        self._slowness = 1.0
        self._slowness_at = now
        self._failure_share = 0.0
        self._failure_share_at = now
        self._silence = 0.0
        self._silence_at = now
        self._unanswered_since: float | None = None
        self._was_silent = False
        self._load: LoadReport | None = None
        self._load_at = now
        self._cold_until = now + record.cold_for

    def slowness(self, now: float) -> float:
        """Returns its processing time relative to the typical one."""
        age = now - self._slowness_at
        slowness = 1.0 + (self._slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)
        if now < self._cold_until:
            slowness = max(slowness, COLD_START_RATIO)
        return slowness

    def failure_share(self, now: float) -> float:
        """Returns the share of its requests that fail or are refused, 0 to 1."""
        return self._failure_share * 0.5 ** ((now - self._failure_share_at) / FAILURE_HALF_LIFE_S)

    def record_latency(self, ratio: float, now: float) -> None:
        """Records the time of a reply, or the time so far of an overdue one.

        Args:
            ratio: Processing time relative to the typical one.
            now: Clock reading in seconds.
        """
        sample = min(ratio, MAX_SLOWNESS)
        before = self.slowness(now)
        self._slowness = before + SLOWNESS_WEIGHT * (sample - before)
        self._slowness_at = now

    def record_send(self, now: float) -> None:
        """Records a send: the silence starts with the first send that has no reply.

        After a time without requests it continues from the decayed last observation.
        """
        if self.limit is not None:
            self.limit.record_send(now)
        if self._unanswered_since is None or self.pool.busy == 0:
            self._unanswered_since = now - self.silence(now)

    def record_received(self) -> None:
        """Records that bytes were received, regardless of their content."""
        self._unanswered_since = None
        self._silence = 0.0

    def record_silence(self, now: float) -> None:
        """Stores the current silence as the last observed one, when a send got no reply in time."""
        if self._unanswered_since is not None:
            self._silence = min(MAX_SILENCE_S, now - self._unanswered_since)
            self._silence_at = now

    def silence(self, now: float) -> float:
        """Returns the time without any reply, in seconds; 0 while replies arrive in time.

        Without overdue requests the last observation decays, as the upstream may have recovered.
        """
        if self.overdue_requests and self._unanswered_since is not None:
            return min(MAX_SILENCE_S, now - self._unanswered_since)
        return self._silence * 0.5 ** ((now - self._silence_at) / SILENCE_HALF_LIFE_S)

    def poll_silence_change(self, now: float) -> bool | None:
        """Returns whether it is silent if that changed since the last call, else None."""
        silent = self._was_silent
        if self.silence(now) >= MAX_SILENCE_S:
            silent = True
        elif self._unanswered_since is None:
            silent = False
        if silent is self._was_silent:
            return None
        self._was_silent = silent
        return silent

    def accepts_requests(self, now: float) -> bool:
        """Returns whether it may receive new requests."""
        return (
            not self.retired
            and not self.address_reassigned
            and self.leaving_since is None
            and now >= self.paused_until
            and (self.limit is None or self.limit.allows(now))
        )

    def is_last_resort(self, drain: float, now: float) -> bool:
        """Returns whether it may still receive requests that no other upstream accepts.

        Args:
            drain: Time for which an upstream serves after it announced its shutdown, in seconds.
            now: Clock reading in seconds.
        """
        if self.leaving_since is None or self.retired or self.address_reassigned:
            return False
        if self.limit is not None and not self.limit.allows(now):
            return False
        return now >= self.paused_until and now < self.leaving_since + drain - DRAIN_MARGIN_S

    def pause_left(self, now: float) -> float:
        """Returns the time until it accepts requests again; infinite if it will not."""
        if self.retired or self.address_reassigned or self.leaving_since is not None:
            return float("inf")
        limited_for = 0.0 if self.limit is None else self.limit.wait(now)
        return max(0.0, self.paused_until - now, limited_for)

    def record_end(self, failed: bool, unreachable: bool, now: float) -> None:
        """Records the outcome of a request.

        Args:
            failed: Whether it was refused, lost or answered with a failure.
            unreachable: Whether no connection could be opened.
            now: Clock reading in seconds.
        """
        before = self.failure_share(now)
        weight = UNREACHABLE_WEIGHT if unreachable else FAILURE_WEIGHT
        self._failure_share = before + weight * ((1.0 if failed else 0.0) - before)
        self._failure_share_at = now

    def record_load(self, load: LoadReport, now: float) -> None:
        """Stores the load that the upstream reported."""
        self._load = load
        self._load_at = now

    def expected_time(self, round_trip: float, processing_time: float, now: float) -> float:
        """Returns the expected time of one more request, in seconds.

        Args:
            round_trip: Round trip to its failure domain in seconds.
            processing_time: Typical processing time in seconds.
            now: Clock reading in seconds.
        """
        queued = max(self.pool.busy, self._reported_busy(now))
        slots = max(1, self.record.slots)
        ahead = max(0, queued + 1 - slots) / slots
        time = round_trip + processing_time * self.slowness(now) * (1 + ahead)
        time += self.failure_share(now) * FAILURE_PENALTY_S
        if self.overdue_requests:
            time += processing_time * self.overdue_requests * 4
        if not self.pool.has_room:
            time += processing_time
        return max(time, self.silence(now))

    def _reported_busy(self, now: float) -> int:
        """Returns its running and queued requests by its load report; 0 if that is too old."""
        if self._load is None or now - self._load_at > MAX_LOAD_REPORT_AGE_S:
            return 0
        return self._load.running + self._load.waiting
