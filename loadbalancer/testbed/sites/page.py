"""A page with one plot for each incident and load: what was served in time, by half seconds, by
rule.
"""

from __future__ import annotations

import html
from collections.abc import Sequence

from matplotlib import pyplot as plt

from loadbalancer.testbed.report import STYLE, image
from loadbalancer.testbed.sites.incidents import INCIDENTS
from loadbalancer.testbed.sites.world import Found

COLOURS = {"none": "#c62828", "plan": "#2e7d32", "nearest": "#f9a825", "equal": "#1565c0"}


def page(found: Sequence[Found]) -> str:
    groups: dict[tuple[str, float], dict[str, list[Found]]] = {}
    for f in found:
        groups.setdefault((f.incident, f.load), {}).setdefault(f.rule, []).append(f)
    parts = []
    for (incident, load), by_rule in sorted(groups.items()):
        figure, axes = plt.subplots(figsize=(9, 2.6), layout="constrained")
        for rule, runs in sorted(by_rule.items()):
            bins = min(len(f.series) for f in runs)
            share = [
                sum(f.series[i][1] for f in runs) / max(1, sum(f.series[i][0] for f in runs))
                for i in range(bins)
            ]
            axes.step(
                [i / 2 for i in range(bins)],
                share,
                where="post",
                lw=1,
                color=COLOURS[rule],
                label=rule,
            )
        for hit in INCIDENTS[incident]:
            axes.axvspan(hit.at_s, hit.at_s + hit.lasts_s, color="#000", alpha=0.07)
        axes.set_ylim(0, 1.02)
        axes.set_xlabel("seconds")
        axes.set_ylabel("in time, of first tries")
        axes.legend(fontsize=8, loc="lower right")
        parts.append(
            f"<h2>{html.escape(incident)}, load {load:g} of what is left</h2>{image(figure)}"
        )
    return (
        f"<!doctype html><meta charset=utf-8><title>sites</title>{STYLE}<h1>Sites</h1>"
        + "".join(parts)
    )
