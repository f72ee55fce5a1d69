"""A page for one run: its timeline of processes, faults, owners and service, and what was wrong."""

from __future__ import annotations

import html

from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from loadbalancer.settings import Json
from loadbalancer.testbed.report import STYLE, image, table

OWNED, DOWN, FAULT = "#2e7d32", "#c62828", "#f9a825"


def _timeline(found: Json) -> str:
    end = max([row[0] for row in found["service"]], default=1.0) + 0.5
    holders = sorted({o[2].split("@")[0] for o in found["owners"]} | set(found["down"]))
    figure, (top, bottom) = plt.subplots(
        2,
        1,
        figsize=(10, 1.8 + 0.32 * len(holders) + 2.4),
        sharex=True,
        layout="constrained",
        height_ratios=[1 + len(holders) / 3, 2],
    )
    for y, name in enumerate(holders):
        for lease, token, holder, begin, over in found["owners"]:
            if holder.split("@")[0] == name:
                top.broken_barh([(begin, max(0.02, over - begin))], (y - 0.4, 0.5), color=OWNED)
                top.text(
                    max(0.0, begin),
                    y - 0.36,
                    f"{lease.split('/')[1]} {token}",
                    fontsize=7,
                    color="white",
                )
        top.broken_barh(
            [(a, b - a) for a, b in found["down"].get(name, [])], (y + 0.15, 0.25), color=DOWN
        )
    top.set_yticks(range(len(holders)), holders, fontsize=8)
    top.set_title("green: owns (with its token); red: stopped or dead", fontsize=9, loc="left")
    _faults(top, found)
    times = [row[0] for row in found["service"]]
    for place, colour, label in ((1, "#222", "asked"), (2, OWNED, "served")):
        bottom.step(
            times,
            [row[place] * 2 for row in found["service"]],
            where="post",
            color=colour,
            lw=1,
            label=label,
        )
    bottom.set_ylabel("a second")
    bottom.set_xlabel("seconds")
    bottom.set_ylim(bottom=0)
    bottom.set_xlim(0, end)
    bottom.legend(fontsize=8)
    _faults(bottom, found)
    return image(figure)


def _faults(axes: Axes, found: Json) -> None:
    for at, what in found["events"]:
        if not what.endswith(": over") and what.split(" ")[0] in KINDS:
            axes.axvline(at, color=FAULT, lw=1)


KINDS = {
    "cut",
    "hold",
    "refuse",
    "reset",
    "delay",
    "trickle",
    "lossy",
    "kill",
    "stop",
    "restart",
    "lose",
    "leave",
    "fast",
    "slow",
    "jump",
    "full",
    "slowdisk",
    "boxes",
    "discovery-down",
}


def page(found: Json) -> bytes:
    """A result of the rig as one HTML page."""
    title = f"{found['name']}, seed {found['seed']}"
    wrong = (
        "<p class=good>Nothing wrong.</p>"
        if not found["wrong"]
        else "<ul class=bad>"
        + "".join(f"<li>{html.escape(line)}</li>" for line in found["wrong"])
        + "</ul>"
    )
    events = "".join(
        f"<tr><td class=n>{at:.3f}</td><td>{html.escape(what)}</td></tr>"
        for at, what in found["events"]
    )
    tails = "".join(
        f"<h3>{html.escape(name)}</h3><pre>{html.escape(chr(10).join(lines[-15:]))}</pre>"
        for name, lines in found["tails"].items()
    )
    body = (
        f"<h1>{html.escape(title)}</h1>{wrong}{_timeline(found)}<h2>Figures</h2>"
        f"{table(list(found['figures'].items()))}<h2>Events</h2><table>{events}</table>"
        f"<h2>Logs</h2>{tails}"
    )
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<style>{STYLE}</style><body>{body}</body></html>\n"
    ).encode()
