"""Checks that callers of a node do not see an older configuration after a newer one."""

from __future__ import annotations

from asyncio import get_running_loop, sleep
from collections.abc import Mapping
from typing import Final

from soak.checker import Passage
from soak.plan import LinkCut
from soak.testbed import VERSION_SERVICES, Testbed
from standins.platform_upstream import PlatformUpstream

ROLLBACK_SLACK_S: Final = 0.25
"""The users' `rollback_slack_ms`."""


class LinkCutter:
    """Cuts the links of one failure domain and writes configuration versions meanwhile."""

    def __init__(self, testbed: Testbed, cuts: list[LinkCut]) -> None:
        """Creates a cutter for cuts in order of start."""
        self._testbed = testbed
        self._cuts = cuts

    async def run(self) -> None:
        """Makes all cuts; returns once they are over."""
        clock = get_running_loop().time
        start = clock()
        for cut in self._cuts:
            await sleep(max(0.0, start + cut.at - clock()))
            trouble = self._testbed.note_trouble(self._testbed.cut_hosts)
            self._testbed.cut_links()
            end = start + cut.at + cut.lasts
            while clock() < end:
                self._testbed.put_configuration()
                await sleep(min(cut.version_interval, max(0.0, end - clock())))
            await self._testbed.restore_links()
            for item in trouble:
                item.ended_at = clock()


def find_regressions(
    upstreams: list[PlatformUpstream],
    passages: Mapping[str, Passage],
    written: list[tuple[int, float]],
    disturbed: list[tuple[str, float]],
) -> list[tuple[str, str]]:
    """Returns the requests that an older version served after a newer one, with a description.

    Args:
        upstreams: Upstreams; that of service `v-N` runs what is sent with the versions whose place
            in `written` is N modulo the number of such services.
        passages: Way of each answered request.
        written: Versions, each with the time at which it was written.
        disturbed: Hosts of nodes that were restarted or paused, each with the time; what a node's
            callers have seen before does not count after it.
    """
    runs: list[tuple[float, str, int]] = []
    for upstream in upstreams:
        prefix, _, suffix = upstream.service.partition("-")
        if prefix != "v":
            continue
        runs.extend((at, request, int(suffix)) for request, at in upstream.last_run_at.items())
    seen: dict[str, dict[int, float]] = {}
    found: list[tuple[str, str]] = []
    for at, request, number in sorted(runs):
        way = passages.get(request)
        candidates = [
            place
            for place, (_, since) in enumerate(written)
            if place % VERSION_SERVICES == number and since <= at
        ]
        if way is None or not candidates:
            continue
        place = candidates[-1]
        times = seen.setdefault(way.host, {})
        breaks = [broken_at for host, broken_at in disturbed if host == way.host]
        newer = [
            (later, since)
            for later, since in times.items()
            if later > place
            and way.sent_at > since + ROLLBACK_SLACK_S
            and not any(since <= broken_at <= at for broken_at in breaks)
        ]
        if newer:
            later, since = max(newer)
            detail = (
                f"{way.host} served version {written[place][0]} {way.sent_at - since:.2f} s after "
                f"an upstream saw {written[later][0]}"
            )
            found.append((request, detail))
        times.setdefault(place, at)
    return found
