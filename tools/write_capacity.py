"""Generates docs/CAPACITY.md and its plots from the stored benchmark results.

`python -m tools.write_capacity`
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from bench.run_all import RESULTS, load
from tools.capacity_limits import (
    MAX_UTILIZATION,
    MIN_IN_TIME_SHARE,
    REGION_ONE_WAY_S,
    SERVICE_TIME_S,
    designs,
    faults,
    hedge_rows,
    hops,
    limits,
    number,
    percent,
    processes_needed,
    straggler_rows,
    time_left,
)
from tools.capacity_model import (
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CORES,
    MAX_CONTROL_MEMORY_BYTES,
    MILLI,
    STORE_WRITES_PER_S,
    CapacityModel,
    Row,
    make_model,
)
from tools.capacity_plots import PLOTS, write_plots
from tools.capacity_sizes import TARGET, TODAY

ROOT: Final = Path(__file__).resolve().parent.parent
PAGE: Final = ROOT / "docs" / "CAPACITY.md"
TEMPLATE: Final = Path(__file__).resolve().parent / "capacity_page.md"
COMMAND: Final = "python -m tools.write_capacity"
BYTES_PER_MB: Final = 1e6
UTILIZATIONS: Final = (0.1, 0.3, 0.5, 0.7)


def render_page() -> str:
    """Renders the page.

    Returns:
        The page in Markdown.

    Raises:
        KeyError: The template has a placeholder without a text.
    """
    target, today = make_model(TARGET), make_model(TODAY)
    texts = {**_inline_figures(target), **_tables(target, today)}
    template = TEMPLATE.read_text(encoding="utf-8")
    return re.sub(r"\{\{(\w+)\}\}", lambda found: texts[found[1]], template)


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Formats a table in Markdown.

    Args:
        head: Column names.
        rows: Cells of each row.

    Returns:
        The lines of the table, joined.
    """
    names = list(head)
    lines = [names, ["---"] * len(names), *(list(row) for row in rows)]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


def _role_table(target: list[Row], today: list[Row]) -> str:
    rows = []
    for target_row, today_row in zip(target, today, strict=True):
        module = f"`{target_row.module}`"
        rows.append(
            [
                target_row.label,
                _cell(target_row.value),
                _cell(today_row.value),
                module,
                target_row.source,
            ]
        )
    return table(("figure", "target", "today", "carried by", "computed from"), rows)


def _cell(value: float | str) -> str:
    return value if isinstance(value, str) else number(value)


def _tables(target: CapacityModel, today: CapacityModel) -> dict[str, str]:
    return {
        "entry": _role_table(target.entry_rows(), today.entry_rows()),
        "home": _role_table(target.home_rows(), today.home_rows()),
        "watcher": _role_table(target.watcher_rows(), today.watcher_rows()),
        "member": _role_table(target.member_rows(), today.member_rows()),
        "control_table": _role_table(target.control_rows(), today.control_rows()),
        "cli": _role_table(target.cli_rows(), today.cli_rows()),
        "store": _role_table(target.store_rows(), today.store_rows()),
        "designs": _design_table(target, today),
        "limits": _limit_table(target),
        "limits_today": _limit_table(today),
        "hops": _hop_table(target, today),
        "left": _time_left_table(target, today),
        "hedges": table(
            ("tries", "late at each try at most", "extra load", "budget", "within"),
            hedge_rows(target),
        ),
        "stragglers": table(
            ("tries", "answers whole in time", "extra load"), straggler_rows(target)
        ),
        "faults": _fault_table(target),
        "faults_today": _fault_table(today),
        "slopes": _slope_table(target),
        "plots": "\n".join(f"![{name}](plots/{name}.svg)" for name in target.fitted_lines),
        "figures": _figure_table(target),
        "sources": _source_table(target),
    }


def _design_table(target: CapacityModel, today: CapacityModel) -> str:
    columns = designs(target)
    head = ["part", *(design.label for design in columns), "today's sizes, as built"]
    columns_parts = [*(design.parts for design in columns), today.parts()]
    rows = []
    for part in ("callers", "entry", "home", "link", "upstream", "observe", "total"):
        rows.append([part, *(number(getattr(parts, part)) for parts in columns_parts)])
    return table(head, rows)


def _limit_table(target: CapacityModel) -> str:
    rows = []
    for limit in limits(target):
        cells = [limit.label, number(limit.available), number(limit.required), number(limit.factor)]
        rows.append([*cells, limit.breaks_at, f"`{limit.module}`"])
    return table(("what", "there is", "needed", "factor", "breaks at", "carried by"), rows)


def _hop_table(target: CapacityModel, today: CapacityModel) -> str:
    columns = [
        hops(target, designs(target)[0], MAX_UTILIZATION),
        hops(target, designs(target)[-1], MAX_UTILIZATION),
        hops(today, designs(today)[0], MAX_UTILIZATION),
    ]
    rows = []
    for row_hops in zip(*columns, strict=True):
        rows.append([row_hops[0].label, *(number(hop.ms) for hop in row_hops), row_hops[0].source])
    budget = target.sizes.p99_s / MILLI
    left = [number(budget - sum(hop.ms for hop in column)) for column in columns]
    rows.append(["left for the upstream", *left, "the budget less the sum"])
    head = ("hop", "as built, ms", "with every change, ms", "today's sizes, as built, ms", "from")
    return table(head, rows)


def _time_left_table(target: CapacityModel, today: CapacityModel) -> str:
    rows = []
    for utilization in UTILIZATIONS:
        built, best, now = designs(target)[0], designs(target)[-1], designs(today)[0]
        cells = [percent(utilization)]
        for model, design in ((target, built), (target, best), (today, now)):
            left = number(time_left(model, design, utilization))
            cells.append(
                f"{left} ms, {processes_needed(design.parts.total, utilization)} processes"
            )
        rows.append(cells)
    return table(("busy", "as built", "with every change", "today's sizes, as built"), rows)


def _fault_table(model: CapacityModel) -> str:
    rows = [(f.label, f.work_lost, f.work_moved, f.settle_time, f.source) for f in faults(model)]
    return table(("failure", "work lost", "work moved", "time to settle", "from"), rows)


def _slope_table(target: CapacityModel) -> str:
    rows = []
    for line in target.fitted_lines.values():
        value_range = f"{number(line.min_slope)} to {number(line.max_slope)}"
        sizes = f"{number(line.points[0][0])} to {number(line.points[-1][0])}"
        cells = [line.name, f"{line.unit} per {line.per}", number(line.slope), value_range]
        rows.append([*cells, number(line.intercept), number(line.max_residual), sizes, line.source])
    head = (
        "line",
        "unit",
        "slope",
        "least to greatest",
        "at none",
        "spread",
        "measured at",
        "source",
    )
    return table(head, rows)


def _figure_table(target: CapacityModel) -> str:
    rows = []
    for name, figure in target.figures.items():
        value_range = f"{number(figure.low)} to {number(figure.high)}"
        if figure.low == figure.high:
            value_range = "one round kept"
        rows.append([name, number(figure.value), value_range, figure.source])
    return table(("figure", "value", "least to greatest", "source"), rows)


def _source_table(target: CapacityModel) -> str:
    used = {line.source for line in target.fitted_lines.values()}
    used |= {figure.source for figure in target.figures.values()}
    rows = []
    for name in sorted(used):
        run = load(name, RESULTS)
        loads = f"{run.load_before} to {run.load_after} of {run.cores} cores"
        rows.append([f"`{run.command}`", run.commit, run.at, run.python, loads])
    return table(("command", "commit", "at", "Python", "load average"), rows)


def _inline_figures(model: CapacityModel) -> dict[str, str]:
    """Returns the figures that the template places within sentences."""
    sizes, figure = model.sizes, model.figure
    columns = designs(model)
    cores, best = columns[0].parts.total, columns[-1].parts.total
    core, memory, traffic = (float(row.value) for row in model.control_rows())
    fits = (
        core <= MAX_CONTROL_CORES
        and memory <= MAX_CONTROL_MEMORY_BYTES
        and traffic <= MAX_CONTROL_BYTES_PER_S
    )
    slots = sizes.subs_per_upstream * SERVICE_TIME_S / sizes.slots
    homes = sizes.homes_per_query
    changes = 2 * (sizes.lost_per_day + sizes.restarts_per_day)
    return {
        "note": f"Rendered by `{COMMAND}` from `bench/results/`; do not edit.",
        "subs": number(sizes.queries_per_s * sizes.fan_out),
        "subs_per_node": number(sizes.subs_per_node),
        "subs_per_upstream": number(sizes.subs_per_upstream),
        "cores": number(cores),
        "cores_best": number(best),
        "slots_factor": number(slots),
        "service_ms": number(SERVICE_TIME_S / MILLI),
        "queries_fit": number(sizes.queries_per_s / cores),
        "control": "fits, as drawn out" if fits else "does not fit",
        "control_core": percent(core),
        "control_memory": number(memory / BYTES_PER_MB),
        "control_bytes": number(traffic),
        "store_writes": number(STORE_WRITES_PER_S),
        "homes": number(homes),
        "shards_per_home": number(sizes.fan_out / homes),
        "busy": percent(MAX_UTILIZATION),
        "processes": str(processes_needed(cores, MAX_UTILIZATION)),
        "processes_best": str(processes_needed(best, MAX_UTILIZATION)),
        "region_ms": number(2 * REGION_ONE_WAY_S / MILLI),
        "update_ms": number(figure("home_update_ms")),
        "build_ms": number(figure("home_build_ms")),
        "changes": number(changes),
        "calm": number(figure("calm_p99_ms")),
        "straggler": number(figure("straggler_p99_ms")),
        "replica": number(figure("replica_lost_p99_ms")),
        "shard_in_time": f"{100 * MIN_IN_TIME_SHARE ** (1 / sizes.fan_out):.4f}%",
        "calm_extra": percent(figure("calm_extra_load")),
        "false_deaths": _false_deaths(),
        "straggler_extra": percent(figure("straggler_extra_load")),
    }


def _false_deaths() -> str:
    result = load("membership_times", RESULTS).result
    rates = result["false_deaths_per_node_hour_at_30_percent_loss"]
    return ", ".join(f"{number(rate)} at {nodes} nodes" for nodes, rate in rates.items())


def main() -> None:
    """Writes the page and its plots."""
    PAGE.write_text(render_page(), encoding="utf-8")
    write_plots(make_model(TARGET).fitted_lines, PLOTS)


if __name__ == "__main__":
    main()
