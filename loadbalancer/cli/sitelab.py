"""`loadbalancer lab sites ...`: whole sites lost in virtual time, and what the cores are worth."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.testbed import experiments, results, topology
from loadbalancer.testbed.sites.incidents import INCIDENTS
from loadbalancer.testbed.sites.world import RULES, Shape
from loadbalancer.testbed.topology import Unusable

app = typer.Typer(no_args_is_help=True, help="Whole sites lost, cut off and back, in virtual time.")
Workers = Annotated[int, typer.Option(help="Processes; 0: all cores but one.")]


def _numbers(text: str, what: str) -> list[float]:
    try:
        return [float(part) for part in text.split(",")]
    except ValueError:
        raise Unusable(f"{what}: {text!r} are no numbers") from None


def _names(text: str, known: tuple[str, ...], what: str) -> list[str]:
    names = [part.strip() for part in text.split(",")]
    for name in names:
        if name not in known:
            raise Unusable(f"{what}: {name!r} is none of {', '.join(known)}")
    return names


@app.command()
def run(
    incidents: Annotated[str, typer.Option(help="With commas between; all: each.")] = "lost",
    loads: Annotated[str, typer.Option(help="Of what is left meanwhile.")] = "0.65,0.95",
    rules: str = "none,plan",
    sites: int = 4,
    balancers: Annotated[int, typer.Option(help="A site.")] = 4,
    boxes: Annotated[int, typer.Option(help="A site.")] = 6,
    seeds: int = 4,
    world: str = "mass",
    workers: Workers = 0,
    out_: Annotated[Path | None, typer.Option("--out")] = None,
    plot: Annotated[Path | None, typer.Option(help="A page, a plot for each incident.")] = None,
) -> None:
    """Play incidents with the plan, without it, and by simpler rules, on the same seeds; exit
    status 1 where a rule broke.
    """
    from loadbalancer.testbed.sites.measure import compare, lines

    if not (2 <= sites <= 8 and 1 <= balancers <= 200 and 1 <= boxes <= 200 and 1 <= seeds <= 1000):
        raise Unusable("sites are 2 to 8, balancers and boxes 1 to 200 a site, seeds 1 to 1000")
    which = (
        list(INCIDENTS)
        if incidents == "all"
        else _names(incidents, tuple(INCIDENTS), "--incidents")
    )
    shapes = [Shape(sites, balancers, boxes, load) for load in _numbers(loads, "--loads")]
    found = compare(
        topology.load(world),
        shapes,
        which,
        _names(rules, RULES, "--rules"),
        seeds,
        workers or experiments.cores(),
        lambda done, of: out.print(f"[dim]{done} of {of}[/dim]") if done % 20 == 0 else None,
    )
    table = Table(title=f"{sites} sites of {balancers} balancers and {boxes} boxes, {seeds} seeds")
    for column in (
        "incident",
        "load",
        "rule",
        "first 5 s",
        "during",
        "of the best",
        "10 s after",
        "worst tenant",
        "dip",
        "back s",
        "not back",
        "gain during",
        "gain after",
    ):
        table.add_column(column, justify="right")
    rows = lines(found)
    for row in rows:
        table.add_row(
            row.incident,
            f"{row.load:g}",
            row.rule,
            f"{row.first:.3f}",
            f"{row.during:.3f}",
            f"{row.during / max(1e-9, row.top):.2f}",
            f"{row.after:.3f}",
            f"{row.tenant:.3f}",
            f"{100 * row.dip:.1f}",
            f"{row.back_s:g}",
            str(row.late),
            f"{row.gain[0]:+.1f} ± {row.gain[1]:.1f}",
            f"{row.gain_after[0]:+.1f} ± {row.gain_after[1]:.1f}",
        )
    out.print(table)
    if out_ is not None:
        results.write(
            out_,
            results.encoded(
                {
                    "format": results.FORMAT,
                    "sites": True,
                    "runs": [dataclasses.asdict(f) for f in found],
                }
            ),
        )
    if plot is not None:
        from loadbalancer.testbed.sites.page import page

        results.write(plot, page(found).encode())
    broken = [f for f in found if f.broken]
    for f in broken:
        out.print(f"[red]{f.incident}, load {f.load:g}, {f.rule}, seed {f.seed}: {f.broken}[/red]")
    if broken:
        raise typer.Exit(1)


@app.command()
def detect(
    rates: Annotated[str, typer.Option(help="Tries a second of one balancer.")] = "2,10,50",
    losses: Annotated[str, typer.Option(help="Part of tries that fail anyhow.")] = "0.01,0.05,0.1",
    seeds: int = 20,
    boxes: Annotated[int, typer.Option(help="A site.")] = 50,
) -> None:
    """How soon one balancer by itself believes that a site is lost, and how often wrongly."""
    from loadbalancer.testbed.sites.measure import detect

    table = Table(title=f"4 sites of {boxes} boxes, {seeds} seeds")
    for column in (
        "tries/s",
        "lost anyhow",
        "p50 s",
        "p99 s",
        "not in 2 min",
        "false alarms an hour",
    ):
        table.add_column(column, justify="right")
    for rate in _numbers(rates, "--rates"):
        for loss in _numbers(losses, "--losses"):
            found = detect(rate, loss, seeds, boxes=boxes)
            middle, late, _ = results.spread(found.seconds)
            table.add_row(
                f"{rate:g}",
                f"{loss:g}",
                f"{middle:.1f}",
                f"{late:.1f}",
                str(seeds - len(found.seconds)),
                f"{found.alarms:.2f}",
            )
    out.print(table)


@app.command()
def optimum(count: Annotated[int, typer.Option(help="Drawn fleets.")] = 2000) -> None:
    """How far the plan's rule is from the cheapest way, found by a solver."""
    from loadbalancer.testbed.sites.measure import regret

    over = sorted(regret(count))
    middle, late, most = results.spread(over)
    exact = sum(x < 1e-6 for x in over)
    out.print(
        f"{count} fleets of 3 to 8 sites, one lost: the optimum in {exact / count:.0%}; over it by"
        f" {sum(over) / count:.2%} on average, {middle:.2%} at the median, {late:.1%} at 99%,"
        f" {most:.1%} at most",
        soft_wrap=True,
    )


@app.command()
def returns(
    rate: float = 400.0,
    bears: float = 300.0,
    seconds: Annotated[float, typer.Option(help="That there is too little room.")] = 8.0,
) -> None:
    """How refused clients return that do as they are told: by the plan's times, and after a fixed
    second.
    """
    from loadbalancer.testbed.sites.measure import returns

    if not 0 < bears <= rate or seconds <= 0:
        raise Unusable("bears must be over 0 and at most the rate, seconds over 0")
    table = Table(title=f"{rate:g}/s come, {bears:g}/s are let in from 5 s on, for {seconds:g} s")
    for column in (
        "told",
        "most in 100 ms, of the usual",
        "usual again after s",
        "arrivals in 100 ms, each 2 s",
    ):
        table.add_column(column)
    for plan in (False, True):
        found = returns(rate, bears, seconds, 1, plan)
        means = [sum(found.arrivals[i : i + 10]) / 10 for i in range(40, 240, 20)]
        table.add_row(
            found.how,
            f"{found.peak:.2f}",
            f"{found.settled_s:g}",
            " ".join(f"{m:.0f}" for m in means),
        )
    out.print(table)


def add_to(lab: typer.Typer) -> None:
    lab.add_typer(app, name="sites")
