"""Runs the soak: `python -m soak.run --seed 7 --seconds 20`."""

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
from soak.inject import Injector
from soak.ledger import Ledger, Violation
from soak.plan import Fault, draw_faults
from soak.world import SHARDS, World

SEEDS_FILE: Final = Path(__file__).resolve().parent / "failed_seeds.json"
"""Every seed that ever failed, with a line on its cause."""
CALM_S: Final = 8.0
"""Time at the end without new faults, in which the fleet must recover."""
JUDGED_S: Final = 3.0
"""Last part of that time, in which nearly all requests must be served."""
LEAST_SERVED: Final = 0.9
CALLERS: Final = 6
PAUSE_S: Final = 0.03
SEED_RANGE: Final = 1_000_000


class SoakResult(Struct, frozen=True):
    """What came of one seed."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    outcomes: dict[str, int]
    served_at_end: float
    """Share of the last requests that were served."""
    violations: tuple[Violation, ...]

    @property
    def passed(self) -> bool:
        """Whether every promise held and the fleet recovered."""
        return not self.violations


async def soak(
    seed: int,
    seconds: float,
    network: int,
    keep: Path | None = None,
    judge_recovery: bool = True,
) -> SoakResult:
    """Runs one seed.

    Args:
        seed: Seed of faults and callers.
        seconds: Length.
        network: Third number of the nodes' loopback addresses; concurrent soaks need others.
        keep: Folder for the nodes' logs if the seed fails.
        judge_recovery: Whether the share that is served at the end counts; it depends on how busy
            the machine is.
    """
    faults = draw_faults(seed, seconds, CALM_S)
    world = World(f"127.9.{network}")
    await world.open()
    try:
        ledger = Ledger(world.upstreams, frozenset(SHARDS))
        hosts = [node.host for node in world.fleet.nodes]
        injector = Injector(world, faults)
        injecting = create_task(injector.run())
        callers = [
            Caller(
                f"s{seed}-c{number}",
                hosts,
                world.failure_domains[number % 2],
                ledger,
                seed + number,
            )
            for number in range(CALLERS)
        ]
        await gather(*(caller.run(seconds, PAUSE_S) for caller in callers))
        await injecting
        ledger.check_runs()
        last = [served for at, served in ledger.served if at >= seconds - JUDGED_S]
        share = sum(last) / max(1, len(last))
        if judge_recovery and share < LEAST_SERVED:
            ledger.break_promise("the fleet recovers", "", f"{share:.2f} of the last served")
        for node in world.fleet.nodes:
            if b"Traceback" in node.log.read_bytes():
                ledger.break_promise("a node does not fail", "", node.name)
        result = SoakResult(
            seed,
            seconds,
            tuple(faults),
            dict(ledger.outcomes),
            round(share, 3),
            tuple(ledger.violations),
        )
        if keep is not None and not result.passed:
            world.keep_logs(keep / f"seed-{seed}")
        return result
    finally:
        await sleep(0)
        world.close()


def main() -> None:
    """Runs the seeds of the command line and exits with 1 if one failed."""
    parser = ArgumentParser(description="Soak real nodes under faults from outside")
    parser.add_argument("--seed", type=int, action="append", help="a seed; may be repeated")
    parser.add_argument("--fresh", type=int, default=0, help="number of new seeds")
    parser.add_argument("--failed", action="store_true", help="every seed that ever failed")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--network", type=int, default=7, help="third number of the addresses")
    parser.add_argument("--report", type=Path, help="file for the results, one JSON object a line")
    parser.add_argument("--keep", type=Path, help="folder for the logs of failed seeds")
    args = parser.parse_args()
    seeds = list(args.seed or [])
    if args.failed:
        seeds.extend(item["seed"] for item in json.decode(SEEDS_FILE.read_bytes()))
    seeds.extend(SystemRandom().randrange(SEED_RANGE) for _ in range(args.fresh))
    failed = 0
    for seed in seeds:
        began = monotonic()
        result = run(soak(seed, args.seconds, args.network, args.keep))
        failed += not result.passed
        verdict = "passed" if result.passed else "FAILED"
        print(f"seed {seed}: {verdict} in {monotonic() - began:.0f} s, {result.outcomes}")
        for violation in result.violations[:10]:
            print(f"  {violation.at} s {violation.promise}: {violation.request} {violation.detail}")
        sys.stdout.flush()
        if args.report is not None:
            with args.report.open("ab") as report:
                report.write(json.encode(result) + b"\n")
    print(f"{len(seeds) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
