"""Runs the soak test: `python -m soak.run --seed 7 --seconds 20`."""

from __future__ import annotations

import sys
from argparse import ArgumentParser
from asyncio import create_task, gather, run, sleep
from pathlib import Path
from random import SystemRandom
from time import monotonic
from typing import Final

from msgspec import Struct, json

from soak.caller import Caller
from soak.checker import ResultChecker, Violation
from soak.crowds import CrowdRunner, draw_crowds
from soak.inject import FaultInjector
from soak.plan import Fault, draw_cuts, draw_failures, draw_faults
from soak.testbed import DRAIN_S, SHARDS, Testbed
from soak.versions import LinkCutter, find_regressions

SEEDS_FILE: Final = Path(__file__).resolve().parent / "failed_seeds.json"
"""All seeds that have failed so far, each with its cause."""
QUIET_PERIOD_S: Final = 8.0
"""Time at the end of a run in which no fault starts, so that the fleet can recover."""
RECOVERY_WINDOW_S: Final = 3.0
"""Last part of the quiet period, in which `MIN_SERVED_SHARE` of the requests must be served."""
MIN_SERVED_SHARE: Final = 0.9
MEAN_PAUSES_S: Final = (*(0.03,) * 6, *(2.5,) * 24)
"""Mean pause of each caller; those with long ones have connections that are idle during a stop."""
SEED_RANGE: Final = 1_000_000


class SoakResult(Struct, frozen=True):
    """Result of the run of one seed."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    outcomes: dict[str, int]
    served_at_end: float
    """Share of requests in the recovery window that were served."""
    violations: tuple[Violation, ...]

    @property
    def passed(self) -> bool:
        """Whether there was no violation."""
        return not self.violations


async def soak(
    seed: int,
    seconds: float,
    network: int,
    keep: Path | None = None,
    check_recovery: bool = True,
    older: Path | None = None,
    cuts: bool = False,
    crowds: bool = False,
) -> SoakResult:
    """Runs one seed.

    Args:
        seed: Seed of the faults and the callers.
        seconds: Duration of the run.
        network: Third number of the nodes' loopback addresses; concurrent runs need different ones.
        keep: Folder to which the nodes' logs are copied if the run fails.
        check_recovery: Whether the run fails if too few requests are served in the recovery
            window; that share also depends on the load of the machine.
        older: Checkout of an older build; nodes change between the builds at each start.
        cuts: Whether the nodes of one failure domain are also cut off from the upstreams while
            configuration versions are written. Versions are not checked beside an older build.
        crowds: Whether crowds of clients outside the limits visit the nodes.
    """
    faults = [
        *draw_faults(seed, seconds, QUIET_PERIOD_S),
        *draw_failures(seed, seconds, QUIET_PERIOD_S),
    ]
    faults.sort(key=lambda fault: fault.at)
    testbed = Testbed(f"127.9.{network}", older, cuts, crowds)
    await testbed.open()
    try:
        checker = ResultChecker(testbed.upstreams, frozenset(SHARDS))
        hosts = [node.host for node in testbed.fleet.nodes]
        injector = FaultInjector(testbed, faults)
        injection = create_task(injector.run())
        cutter = LinkCutter(testbed, draw_cuts(seed, seconds, QUIET_PERIOD_S) if cuts else [])
        cutting = create_task(cutter.run())
        visitors = CrowdRunner(
            testbed, draw_crowds(seed, seconds, QUIET_PERIOD_S) if crowds else []
        )
        visiting = create_task(visitors.run())
        callers = [
            Caller(
                f"s{seed}-c{number}",
                hosts,
                testbed.failure_domains[number % 2],
                checker,
                seed + number,
                cuts,
            )
            for number in range(len(MEAN_PAUSES_S))
        ]
        runs = zip(callers, MEAN_PAUSES_S, strict=True)
        await gather(*(caller.run(seconds, pause) for caller, pause in runs))
        await gather(injection, cutting, visiting)
        checker.check_runs()
        checker.check_lost(testbed.work, testbed.trouble)
        checker.check_leaves(testbed.disturbed, DRAIN_S)
        if cuts and older is None:
            regressions = find_regressions(
                testbed.upstreams, checker.passages, testbed.written, testbed.disturbed
            )
            for request, detail in regressions:
                checker.add_violation("a configuration does not revert", request, detail)
        served_samples = [
            served
            for at, served in checker.availability_samples
            if at >= seconds - RECOVERY_WINDOW_S
        ]
        share = sum(served_samples) / max(1, len(served_samples))
        if check_recovery and share < MIN_SERVED_SHARE:
            checker.add_violation("the fleet recovers", "", f"{share:.2f} of the last served")
        for node in testbed.fleet.nodes:
            if b"Traceback" in node.log.read_bytes():
                checker.add_violation("a node does not fail", "", node.name)
            checker.check_memory(
                node.name, max(node.resident_kb(), visitors.most_kb.get(node.name, 0))
            )
        result = SoakResult(
            seed,
            seconds,
            tuple(faults),
            dict(checker.outcomes),
            round(share, 3),
            tuple(checker.violations),
        )
        if keep is not None and not result.passed:
            testbed.keep_logs(keep / f"seed-{seed}")
        return result
    finally:
        await sleep(0)
        testbed.close()


def main() -> None:
    """Runs the seeds given on the command line; exits with status 1 if one fails."""
    parser = ArgumentParser(description="Run real nodes under externally injected faults")
    parser.add_argument("--seed", type=int, action="append", help="seed to run; may be repeated")
    parser.add_argument("--fresh", type=int, default=0, help="number of random seeds to run")
    parser.add_argument(
        "--failed", action="store_true", help="run all seeds in soak/failed_seeds.json"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--network", type=int, default=7, help="third number of the nodes' loopback addresses"
    )
    parser.add_argument(
        "--report", type=Path, help="file to which results are appended, one JSON object per line"
    )
    parser.add_argument("--keep", type=Path, help="folder for the node logs of failed seeds")
    parser.add_argument("--cuts", action="store_true", help="also cut nodes off from all upstreams")
    parser.add_argument(
        "--crowds", action="store_true", help="also let clients outside the limits visit the nodes"
    )
    parser.add_argument(
        "--older", type=Path, help="checkout of an older build that serves beside this one"
    )
    args = parser.parse_args()
    if args.older is not None and not (args.older / "deploy" / "node.py").is_file():
        parser.error(f"--older {args.older}: no deploy/node.py")
    seeds = list(args.seed or [])
    seeds.extend(SystemRandom().randrange(SEED_RANGE) for _ in range(args.fresh))
    plays = [(seed, args.cuts, args.crowds) for seed in seeds]
    if args.failed:
        for item in json.decode(SEEDS_FILE.read_bytes()):
            plays.append((item["seed"], item.get("cuts", False), item.get("crowds", False)))
    failed = 0
    for seed, cuts, crowds in plays:
        started_at = monotonic()
        result = run(
            soak(
                seed,
                args.seconds,
                args.network,
                args.keep,
                older=args.older,
                cuts=cuts,
                crowds=crowds,
            )
        )
        failed += not result.passed
        verdict = "passed" if result.passed else "FAILED"
        print(f"seed {seed}: {verdict} in {monotonic() - started_at:.0f} s, {result.outcomes}")
        for violation in result.violations[:10]:
            print(f"  {violation.at} s {violation.promise}: {violation.request} {violation.detail}")
        sys.stdout.flush()
        if args.report is not None:
            with args.report.open("ab") as report:
                report.write(json.encode(result) + b"\n")
    print(f"{len(plays) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
