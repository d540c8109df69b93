"""Fits straight lines to the stored benchmark results.

`python -m bench.slopes` prints them. A slope is the cost of one more shard, node or upstream.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from msgspec import Struct

from bench.run_all import RESULTS, load
from bench.slope_lines import LINES, LineSource

Point = tuple[float, float]


class FittedLine(Struct, frozen=True, kw_only=True):
    """A straight line fitted to measured points."""

    name: str
    """Name of the measured quantity."""
    unit: str
    """Unit of the measured values."""
    per: str
    """Unit of size, such as a shard."""
    slope: float
    """Increase for one more of `per`."""
    intercept: float
    """Value at zero of `per`."""
    min_slope: float
    """Lowest slope of several fits: to all points, to all but one point, and to the lowest or the
    highest round at every size."""
    max_slope: float
    """Highest slope of the same fits."""
    max_residual: float
    """Largest vertical distance of a point from the line."""
    points: tuple[Point, ...]
    """Measured sizes and values."""
    source: str
    """Benchmark that measured it."""

    def at(self, size: float) -> float:
        """Evaluates the line at a size.

        A line with a negative slope is not extrapolated: it is constant beyond the last point.

        Args:
            size: Number of `per`.

        Returns:
            The value, at least 0.
        """
        if self.slope >= 0:
            return max(0.0, self.intercept + self.slope * size)
        last = self.points[-1][0]
        return max(0.0, self.intercept + self.slope * min(size, last))


def fit(points: tuple[Point, ...]) -> tuple[float, float]:
    """Fits a straight line by least squares.

    Args:
        points: Measured points, with at least two different sizes.

    Returns:
        Slope and intercept.

    Raises:
        ValueError: All points have the same size, or there are none.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count if count else 0.0
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    if squares == 0:
        raise ValueError(f"{count} points without two different sizes define no line")
    mean_y = sum(y for _, y in points) / count
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    return slope, mean_y - slope * mean_x


def fit_all_lines(folder: Path = RESULTS) -> dict[str, FittedLine]:
    """Fits every line to its stored result.

    Args:
        folder: Folder of the stored results.

    Returns:
        Fitted lines by name.
    """
    results: dict[str, Any] = {}
    fitted_lines = {}
    for line in LINES:
        if line.source not in results:
            results[line.source] = load(line.source, folder).result
        fitted_lines[line.name] = _fit_line(line, results[line.source])
    return fitted_lines


def pick(value: Any, path: str) -> Any:
    """Returns the part of a result at a path.

    Args:
        value: The result.
        path: Keys and list indices, joined by dots.

    Returns:
        The part.
    """
    for key in path.split("."):
        value = value[int(key)] if isinstance(value, list) else value[key]
    return value


def _fit_line(line: LineSource, result: Any) -> FittedLine:
    rows = _rows(line, result)
    points = _points(line, rows, line.y)
    slope, intercept = fit(points)
    slopes = [slope]
    for path in (line.low, line.high):
        if path:
            slopes.append(fit(_points(line, rows, path))[0])
    if len(points) > 2:
        slopes += [fit(points[:n] + points[n + 1 :])[0] for n in range(len(points))]
    return FittedLine(
        name=line.name,
        unit=line.unit,
        per=line.per,
        slope=slope,
        intercept=intercept,
        min_slope=min(slopes),
        max_slope=max(slopes),
        max_residual=max(abs(y - intercept - slope * x) for x, y in points),
        points=points,
        source=line.source,
    )


def _rows(line: LineSource, result: Any) -> list[dict[str, Any]]:
    """Returns the rows of a line; sizes that are keys of a mapping become a column."""
    if line.source == "dispatch_cost":
        names = [name for name in result if name.split()[0] == line.rows]
        return [{line.x: float(name.split()[1]), **result[name]} for name in names]
    rows = pick(result, line.rows)
    if isinstance(rows, dict):
        return [{line.x: float(size), **row} for size, row in rows.items()]
    return [row for row in rows if line.x in row and line.y.split(".")[0] in row]


def _points(line: LineSource, rows: list[dict[str, Any]], path: str) -> tuple[Point, ...]:
    points = []
    for row in rows:
        x, y = float(row[line.x]), float(pick(row, path))
        points.append((x, x * y if line.per_unit else y))
    # Two rows may hold the same point.
    return tuple(dict.fromkeys(points))


def main() -> None:
    """Prints all fitted lines."""
    for fitted in fit_all_lines().values():
        line = (
            f"{fitted.slope:12.6g} {fitted.unit} per {fitted.per}, {fitted.intercept:.6g} at none"
        )
        print(f"{fitted.name:<22} {line} ({fitted.min_slope:.6g} to {fitted.max_slope:.6g})")


if __name__ == "__main__":
    main()
