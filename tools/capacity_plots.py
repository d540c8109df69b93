"""Plots of the fitted lines, one SVG file each."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import matplotlib
from matplotlib.figure import Figure

from bench.slopes import FittedLine

PLOTS: Final = Path(__file__).resolve().parent.parent / "docs" / "plots"
WIDTH_INCHES: Final = 4.0
HEIGHT_INCHES: Final = 2.6


def write_plots(fitted_lines: dict[str, FittedLine], folder: Path) -> None:
    """Writes one plot for each line.

    Args:
        fitted_lines: Fitted lines by name.
        folder: Folder of the plots; created if it does not exist.
    """
    folder.mkdir(exist_ok=True)
    # With a fixed salt, and no date below, the same results always give identical files.
    matplotlib.rcParams["svg.hashsalt"] = "sequoiapulley"
    for line in fitted_lines.values():
        figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
        axes = figure.add_subplot()
        sizes = [x for x, _ in line.points]
        axes.plot(sizes, [y for _, y in line.points], "o", color="black")
        axes.plot(sizes, [line.intercept + line.slope * x for x in sizes], "-", color="tab:blue")
        axes.set_title(line.name)
        axes.set_xlabel(line.per)
        axes.set_ylabel(line.unit)
        axes.set_ylim(bottom=0)
        figure.savefig(folder / f"{line.name}.svg", metadata={"Date": None})
