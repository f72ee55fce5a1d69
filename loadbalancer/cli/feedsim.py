"""`loadbalancer lab feed-sim`: the feed in virtual time, and bugs planted in it."""

from __future__ import annotations

from collections import Counter
from typing import Annotated

import typer

from loadbalancer.cli.console import out
from loadbalancer.testbed.feed.planted import PLANTS, catch, played
from loadbalancer.testbed.feed.sim import Options, play
from loadbalancer.testbed.topology import Unusable


def feed_sim(
    seeds: Annotated[int, typer.Option(min=1, help="How many.")] = 100,
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    nodes: Annotated[int, typer.Option(min=1, help="Of the store.")] = Options().nodes,
    balancers: Annotated[int, typer.Option(min=1)] = Options().balancers,
    seconds: Annotated[
        int, typer.Option(min=1, help="Of storms, in virtual time.")
    ] = Options().seconds,
    spoil: Annotated[bool, typer.Option(help="Rows are lost from balancers' tables.")] = False,
    planted: Annotated[str, typer.Option(help="A bug to plant; all: a seed that shows each.")] = "",
) -> None:
    """Nodes, balancers and lossy links in virtual time; one seed decides a run."""
    options = Options(nodes, balancers, seconds, spoil)
    if planted == "all":
        found = {name: catch(name, seeds, options) for name in PLANTS}
        for name, outcome in found.items():
            out.print(
                f"{name}: "
                + (
                    f"seed {outcome.seed}, {outcome.broken}"
                    if outcome
                    else f"not found in {seeds} seeds"
                ),
                soft_wrap=True,
            )
        raise typer.Exit(not all(found.values()))
    if planted and planted not in PLANTS:
        raise Unusable(f"--planted: {planted!r} is none of {', '.join(PLANTS)}")
    counts: Counter[str] = Counter()
    broken = 0
    for seed in range(first, first + seeds):
        outcome = played(planted, seed, options) if planted else play(seed, options)
        counts += outcome.counts
        if outcome.broken:
            broken += 1
            out.print(f"[red]seed {seed}, {outcome.broken}[/red]", soft_wrap=True)
    out.print(
        f"{seeds} seeds, {broken} broken; "
        + ", ".join(f"{count} {what}" for what, count in sorted(counts.items())),
        soft_wrap=True,
    )
    raise typer.Exit(bool(broken))


def add_to(app: typer.Typer) -> None:
    """The lab's group gets this verb."""
    app.command("feed-sim")(feed_sim)
