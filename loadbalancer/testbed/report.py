"""A page for one result: what was judged, and plots of the run, in one file that needs nothing
beside it.
"""

from __future__ import annotations

import base64
import html
import io
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from loadbalancer.settings import Json  # noqa: E402
from loadbalancer.testbed.model.series import SERIES_NS  # noqa: E402

COLOURS = {"good": "#2e7d32", "late": "#f9a825", "refused": "#1565c0", "failed": "#c62828"}
MOST_LABELLED = 60
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;
color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .7em;
text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}img{max-width:100%}.bad{color:#c62828;font-weight:600}
.good{color:#2e7d32;font-weight:600}h2{margin-top:1.6em}"""


def image(figure: Figure) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    plt.close(figure)
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def _faults(axes: Axes, found: Json) -> None:
    """The time of each step, over the plot."""
    from loadbalancer.units import duration

    top = axes.get_ylim()[1]
    for i, fault in enumerate(found["faults"]):
        at = duration(fault["at"]) / 1e9
        axes.axvspan(at, at + duration(fault["lasts"]) / 1e9, color="#888", alpha=0.12, lw=0)
        axes.text(
            at, top * (0.97 - 0.07 * (i % 4)), fault["kind"].replace("_", " "), fontsize=8, va="top"
        )


def _answers(found: Json) -> str:
    series = found["series"]
    step = SERIES_NS / 1e9
    times = [i * step for i in range(len(series))]
    figure, axes = plt.subplots(figsize=(10, 3.6), layout="constrained")
    rows = {name: [m[name] / step for m in series] for name in COLOURS}
    axes.stackplot(
        times, *rows.values(), labels=list(rows), colors=list(COLOURS.values()), alpha=0.85
    )
    axes.plot(
        times, [m["asked"] / step for m in series], color="#222", lw=1, label="asked, first tries"
    )
    axes.plot(
        times,
        [m["retries"] / step for m in series],
        color="#7b1fa2",
        lw=1,
        label="clients' retries",
    )
    axes.set_xlabel("seconds")
    axes.set_ylabel("a second")
    axes.margins(x=0)
    _faults(axes, found)
    axes.legend(loc="lower right", fontsize=8, ncols=3)
    return image(figure)


def _slowest(found: Json) -> str:
    series = found["series"]
    step = SERIES_NS / 1e9
    figure, axes = plt.subplots(figsize=(10, 2.6), layout="constrained")
    axes.step(
        [i * step for i in range(len(series))],
        [m["slowest_us"] / 1000 for m in series],
        where="post",
        color="#455a64",
        lw=1,
    )
    axes.set_xlabel("seconds")
    axes.set_ylabel("slowest answer, ms")
    axes.margins(x=0)
    _faults(axes, found)
    return image(figure)


def _boxes(found: Json) -> str:
    boxes = found["boxes"]
    figure, axes = plt.subplots(figsize=(10, 2.8), layout="constrained")
    kinds = sorted({b["machine"] for b in boxes})
    palette = plt.get_cmap("tab10")
    for k, kind in enumerate(kinds):
        of_kind = [(i, b["load"]) for i, b in enumerate(boxes) if b["machine"] == kind]
        axes.bar(
            [i for i, _ in of_kind], [load for _, load in of_kind], color=palette(k), label=kind
        )
    axes.set_ylabel("work done, part of capacity")
    axes.set_xlabel("box")
    if len(boxes) <= MOST_LABELLED:
        axes.set_xticks(range(len(boxes)))
    axes.legend(fontsize=8)
    return image(figure)


def _curve(found: Json) -> str:
    from hdrh.histogram import HdrHistogram

    figure, axes = plt.subplots(figsize=(10, 2.8), layout="constrained")
    nines = [50, 75, 90, 95, 99, 99.5, 99.9, 99.99]
    for name, text in found["histograms"].items():
        histogram = HdrHistogram.decode(text)
        if histogram.get_total_count():
            times = [histogram.get_value_at_percentile(n) / 1000 for n in nines]
            axes.plot([1 / (1 - n / 100) for n in nines], times, marker="o", ms=3, label=name)
    axes.set_xscale("log")
    axes.set_xticks([1 / (1 - n / 100) for n in nines], [f"{n:g}%" for n in nines], fontsize=7)
    axes.minorticks_off()
    axes.set_ylabel("ms, from when it was wanted")
    axes.legend(fontsize=8)
    return image(figure)


def table(rows: list[tuple[str, Any]]) -> str:
    cells = "".join(
        f"<tr><td>{html.escape(name)}</td><td class=n>{html.escape(str(value))}</td></tr>"
        for name, value in rows
    )
    return f"<table>{cells}</table>"


def page(found: Json) -> bytes:
    """A result, as `lab.results` lays it out, as one HTML page."""
    broken = found["broken"]
    rules = (
        "<p class=good>All rules kept.</p>"
        if not broken
        else "<p class=bad>Rules broken: "
        + html.escape(", ".join(f"{k} ({v})" for k, v in broken.items()))
        + "</p><ul>"
        + "".join(
            f"<li>{html.escape(b['rule'])}: {html.escape(b['what'])}</li>"
            for b in found["breaches"][:20]
        )
        + "</ul>"
    )
    void = f"<p class=bad>Void: {html.escape(found['void'])}</p>" if found.get("void") else ""
    counts = found["counts"]
    title = f"{found['topology']['name']}, seed {found['seed']}, {found['drive']}"
    figures = table(
        [
            ("score", f"{found['score']:.4f}"),
            ("worth served", f"{found['whole']:.4f}"),
            ("worst window", f"{found['worst_window']:.4f}"),
            *((f"class {k}", f"{v:.4f}") for k, v in found["by_class"].items()),
            *((f"member {k}", f"{v:.4f}") for k, v in found["by_tenant"].items()),
        ]
    )
    more = table(
        [
            *((name, counts[name]) for name in counts),
            ("attempts a first try", found["attempts_per_first_try"]),
            ("tries a first try", found["tries_per_first_try"]),
            *((f"latency {k}, ms", v) for k, v in found["latency_ms"].items()),
        ]
    )
    versions = ", ".join(f"{k} {v}" for k, v in found["versions"].items())
    body = (
        f"<h1>{html.escape(title)}</h1>{void}{rules}"
        f"<h2>Answers</h2>{_answers(found)}{_slowest(found)}"
        f"<h2>Latency</h2>{_curve(found)}<h2>Boxes</h2>{_boxes(found)}"
        f"<h2>Figures</h2>{figures}<h2>Counts</h2>{more}<p>{html.escape(versions)}</p>"
    )
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<style>{STYLE}</style><body>{body}</body></html>\n"
    ).encode()
