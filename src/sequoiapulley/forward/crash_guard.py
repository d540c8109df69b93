"""Keeps requests that crash upstreams from being sent on, together with the other nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

from msgspec import Struct

from sequoiapulley.forward.log_events import CRASHING_REQUEST_REFUSED, CRASHING_REQUEST_SUSPECTED
from sequoiapulley.forward.messages import CallerRequest
from sequoiapulley.forward.route_table import MS_PER_S
from sequoiapulley.forward.state import RequestRefusal
from sequoiapulley.forward.upstream import Upstream
from sequoiapulley.ids import Fingerprint, InstanceName, ServiceName, UpstreamName
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.quarantine import (
    MAX_ENTRIES,
    REFUSED_TTL_S,
    STRIKES_TO_REFUSE,
    InstanceKey,
    Quarantine,
    Strike,
)
from sequoiapulley.runtime import TimerQueue

FIRST_REFUSAL_S: Final = 3.0
"""Time for which a request is refused after two strikes: three times the time in which the users'
upstreams restart. It may have been in flight beside another request that crashed both upstreams."""
STRIKES_FOR_GOOD: Final = STRIKES_TO_REFUSE + 1
"""Number of strikes that refuse a request for `REFUSED_TTL_S`."""
SUSPECT_S: Final = REFUSED_TTL_S
"""Time for which a request is suspected; one that crashes upstreams may come seldom."""
NEWS_S: Final = 3.0
"""Time for which heartbeats carry a strike: two intervals between failure domains, in case one
datagram is lost."""
MAX_NEWS: Final = 8
"""Maximum number of recent strikes in a heartbeat, which is one datagram."""
MAX_REFUSALS: Final = 8
"""Maximum number of refused requests in a heartbeat in addition; it carries them in turn, so that
nodes that start later learn all of them."""


class StrikeNews(Struct, frozen=True, array_like=True):
    """A strike that nodes tell each other in heartbeats."""

    strike: Strike
    refused_for: float
    """Remaining time for which the request is refused, in seconds; 0 if it is only suspected."""
    suspected_for: float
    """Remaining time for which the request is suspected, in seconds; 0 after the last strike."""


class Prober(Protocol):
    """A call to one service that waits until it may send a suspected request."""

    service: ServiceName

    def continue_probe(self) -> None:
        """Asks again whether the request may be sent."""


class _Suspect:
    """Tries of a suspected request on this node."""

    __slots__ = ("lost_in_company", "probes", "ran_well", "waiting")

    def __init__(self) -> None:
        """Initialise without tries."""
        self.probes: list[Prober] = []
        """Calls with a probe in flight."""
        self.waiting: list[Prober] = []
        self.ran_well = False
        """Whether an upstream replied to a probe, so that services may be probed in parallel."""
        self.lost_in_company = False
        """Whether a probe was lost at an upstream that had other requests in flight."""


class _RecentStrike:
    """A strike that heartbeats carry for some time."""

    __slots__ = ("learned_at", "sends", "strike")

    def __init__(self, strike: Strike, now: float) -> None:
        """Initialise a strike that no heartbeat has carried yet."""
        self.strike = strike
        self.learned_at = now
        self.sends = 0


class _ToldStrike:
    """The latest strike against a request that this node told others."""

    __slots__ = ("refused", "strikes", "told_at")

    def __init__(self, strikes: int, refused: bool, now: float) -> None:
        """Initialise a strike that is told now.

        Args:
            strikes: Number of strikes.
            refused: Whether the request was refused for it.
            now: Clock reading in seconds.
        """
        self.strikes = strikes
        self.refused = refused
        self.told_at = now


class CrashGuard:
    """Decides which requests are suspected to crash upstreams, and which are refused for it.

    A request that is lost with its connection is suspected. It is then sent to one upstream at a
    time, a probe, preferably to one where nothing else is in flight. If that upstream is lost, too,
    and does not accept a new connection, all nodes refuse the request, for a short time at first. A
    reply to the probe ends the suspicion.

    If an upstream of another service has replied meanwhile, as other shards do, later losses count
    against the request at this service alone.
    """

    def __init__(self, timers: TimerQueue, log: LogSink) -> None:
        """Initialise without suspected requests.

        Args:
            timers: Timers of the event loop.
            log: Receives an event for each request that is suspected or refused.
        """
        self._timers = timers
        self._clock = timers.clock
        self._log = log
        self._table = Quarantine(SUSPECT_S, FIRST_REFUSAL_S)
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._recent: list[_RecentStrike] = []
        self._told: dict[Fingerprint, _ToldStrike] = {}
        self._last_request: CallerRequest | None = None
        self._last_fingerprint = Fingerprint("")
        self._next_refusal = 0
        self.on_news: Callable[[], None] = _ignore_news
        """Called when there is a strike to tell the other nodes."""
        self.on_refusal: Callable[[RequestRefusal], None] = _ignore_refusal
        """Called when this node refuses a request by its own losses."""
        self.is_cut_off: Callable[[], bool] = _never
        """Returns whether this node is cut off, so that its losses tell nothing of a request."""

    @property
    def refused_requests(self) -> int:
        """Number of requests that are refused, or will be after one more loss."""
        return len(self._table.refusals(self._clock.now()))

    def refused_for(self, req: CallerRequest, service: ServiceName | None = None) -> float:
        """Returns the remaining time for which a request is refused, in seconds; 0 if it is not.

        Args:
            req: The request.
            service: The service to send it to; None for all services.
        """
        if not self._table.has_refusals:
            return 0.0
        now = self._clock.now()
        fingerprint = self._fingerprint(req)
        refused_for = self._table.refused_for(fingerprint, now)
        if service is None:
            return refused_for
        return max(refused_for, self._table.refused_for(_at_service(fingerprint, service), now))

    def is_suspected(self, req: CallerRequest) -> bool:
        """Returns whether a request is suspected and has not run well since."""
        if not self._table.has_suspects:
            return False
        fingerprint = self._fingerprint(req)
        if not self._table.is_suspected(fingerprint, self._clock.now()):
            return False
        suspect = self._suspects.get(fingerprint)
        return suspect is None or not suspect.ran_well

    def must_probe(self, req: CallerRequest, service: ServiceName) -> bool:
        """Returns whether a request may be sent to a service only as a probe."""
        if not self._table.has_suspects:
            return False
        if self.is_suspected(req):
            return True
        now = self._clock.now()
        fingerprint = self._fingerprint(req)
        if self._table.must_isolate(fingerprint, _key(service), now):
            return True
        return self._table.is_suspected(_at_service(fingerprint, service), now)

    def start_probe(self, req: CallerRequest, call: Prober, others_replied: bool = False) -> bool:
        """Starts a probe, unless another one of the request is in flight on this node.

        Args:
            req: The request.
            call: The call that may send the request.
            others_replied: Whether upstreams of other services have replied to it, so that services
                may be probed in parallel.

        Returns:
            Whether the call may send the request. If not, its `continue_probe` is called when that
            may have changed.
        """
        suspect = self._suspects.setdefault(self._fingerprint(req), _Suspect())
        rivals = [
            probe
            for probe in suspect.probes
            if not (suspect.ran_well or others_replied) or probe.service == call.service
        ]
        if not rivals:
            suspect.probes.append(call)
            return True
        if call not in suspect.waiting:
            suspect.waiting.append(call)
        return False

    def end_probe(self, req: CallerRequest, call: Prober) -> None:
        """Ends the probe of a call, if it has one, or its wait for one."""
        if not self._suspects:
            return
        fingerprint = self._fingerprint(req)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        if call in suspect.waiting:
            suspect.waiting.remove(call)
        if call in suspect.probes:
            suspect.probes.remove(call)
            # Later, so that calls of the same request that end together do not start a probe.
            self._timers.call_later(0.0, lambda: self._wake(fingerprint))

    def record_reply(
        self, req: CallerRequest, upstream: Upstream, sent_at: float, probe: bool
    ) -> None:
        """Records that an upstream replied to a request, so that it has survived it.

        Args:
            req: The request.
            upstream: The upstream.
            sent_at: Clock reading at which the request was sent.
            probe: Whether it was sent as a probe.
        """
        if not self._table.has_suspects:
            return
        fingerprint = self._fingerprint(req)
        if probe and fingerprint in self._suspects:
            self._suspects[fingerprint].ran_well = True
        service = upstream.record.service
        now = self._clock.now()
        for subject in (fingerprint, _at_service(fingerprint, service)):
            self._table.on_answered(subject, _key(service), sent_at, now)

    def record_loss(
        self,
        req: CallerRequest,
        upstream: Upstream,
        others_replied: bool,
        done: Callable[[bool], None],
    ) -> None:
        """Records that an upstream closed the connection before it replied to a request.

        The request is suspected at once. An upstream that accepts a new connection afterwards has
        not crashed, which ends the suspicion.

        Args:
            req: The request.
            upstream: The upstream.
            others_replied: Whether upstreams of other services have replied to the same request.
            done: Called with whether the upstream has crashed, once it is known.
        """
        fingerprint = self._fingerprint(req)
        name, key = upstream.record.name, _key(upstream.record.service)
        subject = (
            _at_service(fingerprint, upstream.record.service) if others_replied else fingerprint
        )
        self._table.on_lost(subject, name, key, False, self._clock.now())

        def on_checked(alive: bool) -> None:
            now = self._clock.now()
            crashed = not alive and not self.is_cut_off()
            if not crashed:
                self._table.on_answered(subject, key, now, now)
                self._wake(fingerprint)
            elif self._table.is_suspected(subject, now) and not self._told.get(subject):
                self._tell(Strike(subject, name, 1), "lost here")
            done(crashed)

        upstream.pool.check_alive(on_checked)

    def record_crashes(
        self, req: CallerRequest, crashed: Mapping[ServiceName, UpstreamName]
    ) -> None:
        """Records that a request has crashed upstreams of several services and none has replied.

        Args:
            req: The request.
            crashed: The upstreams, by service.
        """
        now = self._clock.now()
        fingerprint = self._fingerprint(req)
        for service, name in crashed.items():
            strike = self._table.on_lost(fingerprint, name, _key(service), True, now)
            if strike is None or strike.strikes < STRIKES_TO_REFUSE:
                continue
            self._tell(strike, "lost at several services")
            self._keep(strike, now)
            return

    def record_lost_probe(
        self,
        req: CallerRequest,
        upstream: Upstream,
        alone: bool,
        others_replied: bool,
        done: Callable[[bool], None],
    ) -> None:
        """Records that an upstream closed the connection before it replied to a probe.

        Args:
            req: The request.
            upstream: The upstream.
            alone: Whether nothing else was in flight there when the probe was sent.
            others_replied: Whether upstreams of other services have replied to the same request.
            done: Called with whether the upstream has crashed, once it is known.
        """
        fingerprint = self._fingerprint(req)
        name, key = upstream.record.name, _key(upstream.record.service)

        def on_checked(alive: bool) -> None:
            now = self._clock.now()
            if alive or self.is_cut_off():
                self._table.on_answered(fingerprint, key, now, now)
                self._wake(fingerprint)
                done(False)
                return
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            # Under load no upstream may be free of other requests.
            isolated = alone or suspect.lost_in_company
            suspect.lost_in_company = True
            subject = fingerprint
            if suspect.ran_well or others_replied:
                subject = _at_service(fingerprint, upstream.record.service)
            strike = self._table.on_lost(subject, name, key, isolated, now)
            if strike is not None:
                self._tell(strike, "lost here")
                self._keep(strike, now)
            done(True)

        upstream.pool.check_alive(on_checked)

    def hear(
        self,
        news: Iterable[StrikeNews],
        service_of: Callable[[UpstreamName], ServiceName | None],
        source: str,
    ) -> None:
        """Records strikes that another node or the store told.

        Args:
            news: The strikes.
            service_of: Returns the service of an upstream, or None if it is not known.
            source: The other node or the store, for the log.
        """
        now = self._clock.now()
        for item in news:
            strike = item.strike
            if not _is_plausible(item) or self._is_known(item):
                continue
            service = service_of(strike.upstream)
            key = _key(service) if service is not None else None
            self._table.on_strike(
                strike.fingerprint,
                strike.upstream,
                key,
                strike.strikes,
                now,
                item.refused_for,
                item.suspected_for,
            )
            self._tell(strike, f"told by {source}")

    def restore(self, refusal: RequestRefusal) -> None:
        """Applies a refused request that the store has kept."""
        left = min(REFUSED_TTL_S, refusal.expires_ms / MS_PER_S - self._clock.wall())
        strike = Strike(refusal.fingerprint, UpstreamName(""), refusal.strikes)
        for_good = strike.strikes >= STRIKES_FOR_GOOD
        news = StrikeNews(strike, left if for_good else 0.0, 0.0 if for_good else left)
        self.hear((news,), lambda name: None, "the store")

    def news(self) -> tuple[StrikeNews, ...]:
        """Returns the strikes for the next heartbeat: recent ones, and refused requests in turn."""
        now = self._clock.now()
        self._recent = [item for item in self._recent if now - item.learned_at < NEWS_S]
        chosen = sorted(self._recent, key=lambda item: (item.sends, -item.strike.strikes))
        strikes = []
        for item in chosen[:MAX_NEWS]:
            item.sends += 1
            strikes.append(item.strike)
        refusals = self._table.refusals(now)
        for _ in range(min(MAX_REFUSALS, len(refusals))):
            self._next_refusal = (self._next_refusal + 1) % len(refusals)
            strikes.append(refusals[self._next_refusal])
        return tuple(self._news_of(strike, now) for strike in dict.fromkeys(strikes))

    def sweep(self) -> None:
        """Ends suspicions and refusals that have expired."""
        now = self._clock.now()
        self._table.expire(now)
        for fingerprint, told in tuple(self._told.items()):
            if now - told.told_at >= SUSPECT_S:
                del self._told[fingerprint]
        for fingerprint, suspect in tuple(self._suspects.items()):
            if not suspect.probes and not suspect.waiting:
                self._forget(fingerprint)

    def _keep(self, strike: Strike, now: float) -> None:
        """Has a refused request kept for nodes that start later."""
        fingerprint = strike.fingerprint
        left = max(
            self._table.refused_for(fingerprint, now), self._table.suspected_for(fingerprint, now)
        )
        expires_ms = round((self._clock.wall() + left) * MS_PER_S)
        self.on_refusal(RequestRefusal(fingerprint, strike.strikes, expires_ms))

    def _tell(self, strike: Strike, cause: str) -> None:
        """Logs a new strike, passes it on to other nodes and wakes the calls that wait."""
        now = self._clock.now()
        refused_for = round(self._table.refused_for(strike.fingerprint, now), 3)
        self._log.log(
            CRASHING_REQUEST_REFUSED if refused_for else CRASHING_REQUEST_SUSPECTED,
            fingerprint=strike.fingerprint,
            upstream=strike.upstream,
            strikes=strike.strikes,
            cause=cause,
            refused_s=refused_for,
        )
        self._told[strike.fingerprint] = _ToldStrike(strike.strikes, refused_for > 0.0, now)
        self._recent.append(_RecentStrike(strike, now))
        del self._recent[:-MAX_ENTRIES]
        self._wake(strike.fingerprint)
        self.on_news()

    def _is_known(self, news: StrikeNews) -> bool:
        """Returns whether the news of a strike would change nothing, or were told before.

        Each strike refuses a request once. The store tells of one without its refusal.
        """
        strike = news.strike
        told = self._told.get(strike.fingerprint)
        # A suspicion that a reply has ended is not renewed by the same news.
        if told is None or strike.strikes > told.strikes:
            return False
        has_refused = told.refused or strike.strikes < told.strikes
        return has_refused or news.refused_for <= 0.0

    def _news_of(self, strike: Strike, now: float) -> StrikeNews:
        """Returns a strike with the times for which it still counts."""
        refused_for = self._table.refused_for(strike.fingerprint, now)
        suspected_for = self._table.suspected_for(strike.fingerprint, now)
        return StrikeNews(strike, round(refused_for, 3), round(suspected_for, 3))

    def _fingerprint(self, req: CallerRequest) -> Fingerprint:
        """Returns the fingerprint of a request; the calls to many shards ask for the same one."""
        if req is not self._last_request:
            self._last_request = req
            self._last_fingerprint = req.fingerprint
        return self._last_fingerprint

    def _wake(self, fingerprint: Fingerprint) -> None:
        """Lets the calls that wait ask again."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        waiting, suspect.waiting = suspect.waiting, []
        for call in waiting:
            call.continue_probe()

    def _forget(self, fingerprint: Fingerprint) -> None:
        """Forgets the tries of a request that is not suspected any more."""
        if not self._table.is_suspected(fingerprint, self._clock.now()):
            self._suspects.pop(fingerprint, None)


def _key(service: ServiceName) -> InstanceKey:
    """Returns the key of a service's upstreams in the quarantine."""
    return service, InstanceName("")


def _is_plausible(news: StrikeNews) -> bool:
    """Returns whether the times of a strike that another node told are usable."""
    for seconds in (news.refused_for, news.suspected_for):
        if not 0.0 <= seconds <= REFUSED_TTL_S:
            return False
    return news.refused_for + news.suspected_for > 0.0


def _at_service(fingerprint: Fingerprint, service: ServiceName) -> Fingerprint:
    """Returns the fingerprint that stands for a request at one service alone."""
    return Fingerprint(f"{fingerprint}/{service}")


def _never() -> bool:
    """Returns that this node is not cut off; the default until the node sets its own function."""
    return False


def _ignore_refusal(_refusal: RequestRefusal) -> None:
    """Does nothing: there is no store."""


def _ignore_news() -> None:
    """Does nothing: the node has no peers."""
