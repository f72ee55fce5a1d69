"""Slopes: what one more upstream, tenant, subscriber or change costs, by a line through measured
sizes.

A slope counts with at least four sizes, and says how far the worst of them lies from its line and
up to where it was measured. Recorded slopes stand in one file, by name, from which a page may be
worked out.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
import numpy as np

from loadbalancer.testbed import results
from loadbalancer.testbed.topology import Unusable

LEAST_SIZES = 4
DIGITS = 6  # significant ones of a recorded figure
LEAST_PART = 1e-6  # of the largest figure: a smaller one is weighed as if it were that


class Estimate(NamedTuple):
    """What a slope gives for a size; `extrapolated`: that size lies outside of what was
    measured.
    """

    value: float
    extrapolated: bool


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A line `intercept + slope * x` through `points` (x, y).

    `unit` is that of y, as `us`, and `per` is what x counts, as `upstreams`, so `slope` is in unit
    per one of them. `residue` is the largest distance of a point from the line, as a part of the
    larger of the two; 0.1 says that the line is off by a tenth at the worst size; from a half on it
    is hardly a line, and what it gives beyond `measured_to`, the largest x, is worth little.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residue: float
    measured_to: float
    command: str
    date: str

    def at(self, x: float) -> Estimate:
        """Between sizes that were measured what lies between their points; outside of them the
        line.
        """
        xs, ys = zip(*self.points, strict=True)
        if xs[0] <= x <= xs[-1]:
            return Estimate(float(np.interp(x, xs, ys)), False)
        return Estimate(self.line(x), True)

    def line(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit(
    points: Iterable[Sequence[float]],
    *,
    name: str = "",
    unit: str = "",
    per: str = "",
    command: str = "",
    date: str = "",
) -> Slope:
    """The line of least squares, each distance taken as a part of its point: noise grows with the
    figure, and a plain fit would follow the largest size alone. Raises Unusable where there are
    fewer than four sizes.
    """
    pairs = sorted((_rounded(float(x)), _rounded(float(y))) for x, y in points)
    sizes = {x for x, _ in pairs}
    if len(sizes) < LEAST_SIZES:
        raise Unusable(
            f"{name or 'a slope'}: {len(sizes)} sizes were measured, "
            f"a slope takes {LEAST_SIZES} at least"
        )
    if not all(math.isfinite(n) for pair in pairs for n in pair):
        raise Unusable(f"{name or 'a slope'}: a figure is no finite number")
    x, y = np.array(pairs).T
    weights = 1.0 / np.maximum(np.abs(y), max(1e-300, LEAST_PART * float(np.abs(y).max())))
    terms = np.column_stack((x, np.ones_like(x))) * weights[:, None]
    slope, intercept = (float(n) for n in np.linalg.lstsq(terms, y * weights)[0])
    line = intercept + slope * x
    off = np.abs(y - line) / np.maximum(np.maximum(np.abs(y), np.abs(line)), 1e-300)
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=pairs,
        slope=_rounded(slope),
        intercept=_rounded(intercept),
        residue=_rounded(float(off.max())),
        measured_to=pairs[-1][0],
        command=command,
        date=date,
    )


def _rounded(value: float) -> float:
    return float(f"{value:.{DIGITS}g}")


def read(path: Path) -> list[Slope]:
    """Recorded slopes by name; none where there is no file. Raises Unusable."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        raise Unusable(f"{path}: {error.strerror}") from None
    try:
        return msgspec.json.decode(data, type=list[Slope])
    except ValueError as error:
        raise Unusable(f"{path}: {error}") from None


def record(path: Path, slopes: Iterable[Slope]) -> None:
    """Put them into the file in place of those of the same names. Raises Unusable."""
    known = {s.name: s for s in [*read(path), *slopes]}
    results.write(path, encoded(known[name] for name in sorted(known)))


def encoded(slopes: Iterable[Slope]) -> bytes:
    """Equal slopes are equal bytes, a figure a line."""
    return msgspec.json.format(msgspec.json.encode(list(slopes)), indent=1) + b"\n"
