"""A picture of slopes: the points as measured, the line through them, and where it is only drawn
on.
"""

from __future__ import annotations

import io
import math
from collections.abc import Mapping, Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from loadbalancer.testbed.size.fit import Slope  # noqa: E402

COLUMNS = 3


def picture(slopes: Sequence[Slope], sizes: Mapping[str, float]) -> bytes:
    """PNG with one plot a slope. `sizes`: by what is counted, the size up to which the line is
    drawn.
    """
    rows = math.ceil(len(slopes) / COLUMNS)
    figure, axes = plt.subplots(
        rows, COLUMNS, figsize=(4.2 * COLUMNS, 3.1 * rows), layout="constrained", squeeze=False
    )
    for place, slope in zip(axes.flat, slopes, strict=False):
        xs, ys = zip(*slope.points, strict=True)
        until = max(slope.measured_to, sizes.get(slope.per, 0.0))
        place.plot(xs, ys, "o", color="#1565c0")
        for x0, x1, style in ((xs[0], xs[-1], "-"), (xs[-1], until, "--")):
            if x1 > x0:
                between = [x0 * (x1 / x0) ** (i / 40) if x0 > 0 else x1 * i / 40 for i in range(41)]
                place.plot(between, [slope.line(x) for x in between], style, color="#455a64", lw=1)
        if xs[0] > 0 and min(ys) > 0:
            place.set_xscale("log")
            place.set_yscale("log")
        place.set_title(f"{slope.name}\nworst point off by {slope.residue:.0%}", fontsize=8)
        place.set_xlabel(slope.per, fontsize=8)
        place.set_ylabel(slope.unit, fontsize=8)
        place.tick_params(labelsize=7)
    for place in list(axes.flat)[len(slopes) :]:
        place.set_visible(False)
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=70, metadata={"Software": None})
    plt.close(figure)
    return out.getvalue()
