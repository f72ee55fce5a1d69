"""A page for runs of a hollow fleet: each phase's figures beside what is allowed, and plots over
sizes.
"""

from __future__ import annotations

import html
from collections.abc import Callable, Sequence

from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from loadbalancer.settings import Json
from loadbalancer.testbed.report import STYLE, image

FORCE_S, BYTES_S, CPU, READY_S = 4.0, 4096.0, 0.017, 10.0  # what the users allow
COLUMNS = (
    "phase",
    "changes",
    "50 in 100 s",
    "99 s",
    "all s",
    "bytes/s",
    "worst minute",
    "CPU",
    "node CPU, most",
    "node MB, most",
    "behind",
)


def row(phase: Json) -> tuple[str, ...]:
    """By `COLUMNS`."""
    force, sent, use = phase["in_force"], phase["bytes_s"], phase["use"]
    return (
        phase["phase"],
        str(force["changes"]),
        f"{force['p50_s']:.3f}",
        f"{force['p99_s']:.3f}",
        f"{force['most_s']:.3f}",
        f"{sent['mean']:.0f}",
        f"{sent['worst_minute']:.0f}",
        f"{100 * use['balancer_cpu']:.3f}%",
        f"{100 * use['node_cpu_most']:.1f}%",
        str(max(use["node_mb"], default=0)),
        str(phase["behind"]),
    )


def way(found: Json) -> str:
    return "rows over the feed" if found["plan"]["rows"] else "a document a service"


def _plot(
    axes: Axes, runs: Sequence[Json], figure: Callable[[Json], float], limit: float, what: str
) -> None:
    names = list(dict.fromkeys(p["phase"] for r in runs for p in r["phases"]))
    palette = plt.get_cmap("tab10")
    for rows, line in ((True, "-"), (False, ":")):
        for k, name in enumerate(names):
            points = sorted(
                (r["plan"]["shape"]["balancers"], figure(p))
                for r in runs
                if r["plan"]["rows"] is rows
                for p in r["phases"]
                if p["phase"] == name
            )
            if points:
                axes.plot(
                    *zip(*points, strict=True),
                    line,
                    marker="o",
                    ms=3,
                    color=palette(k % 10),
                    label=name if rows else f"{name}, documents",
                )
    axes.axhline(limit, color="#c62828", lw=1, ls="--")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("balancers")
    axes.set_ylabel(what)


def page(runs: Sequence[Json]) -> bytes:
    """Results of `loadbalancer lab size fleet`, of any sizes, as one HTML page."""
    figure, parts = plt.subplots(1, 3, figsize=(15, 5), layout="constrained")
    _plot(
        parts[0], runs, lambda p: float(p["in_force"]["most_s"]), FORCE_S, "in force on the last, s"
    )
    _plot(parts[1], runs, lambda p: float(p["bytes_s"]["mean"]), BYTES_S, "bytes/s a balancer")
    _plot(
        parts[2],
        runs,
        lambda p: float(p["use"]["balancer_cpu"]),
        CPU,
        "CPU a balancer, part of a core",
    )
    parts[0].legend(fontsize=7)
    head = "".join(f"<th>{html.escape(c)}</th>" for c in COLUMNS)
    body = []
    for found in runs:
        wrong = "".join(f"<li>{html.escape(w)}</li>" for w in found["wrong"])
        verdict = (
            f"<ul class=bad>{wrong}</ul>"
            if wrong
            else "<p class=good>All had all, none went back.</p>"
        )
        lines = "".join(
            "<tr>" + "".join(f"<td class=n>{html.escape(c)}</td>" for c in row(p)) + "</tr>"
            for p in found["phases"]
        )
        notes = "".join(
            f"<li>{html.escape(p['phase'])}: {html.escape(p['note'])}</li>" for p in found["phases"]
        )
        body.append(
            f"<h2>{found['plan']['shape']['balancers']} balancers, {way(found)}, seed "
            f"{found['plan']['seed']}</h2>"
            f"{verdict}<table><tr>{head}</tr>{lines}</table><ul>{notes}</ul>"
        )
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>Hollow fleet</title>"
        f"<style>{STYLE}</style><body><h1>Hollow fleet</h1><p>Red: what is "
        f"allowed.</p>{image(figure)}"
        f"{''.join(body)}</body></html>\n"
    ).encode()
