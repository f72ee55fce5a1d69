"""`loadbalancer lab size fleet`: hollow balancers at real nodes of the store."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.table import Table

from loadbalancer.cli.clusters import Keep, folder
from loadbalancer.cli.console import out
from loadbalancer.settings import Json
from loadbalancer.testbed import results
from loadbalancer.testbed.topology import Unusable

Phase = Callable[[Any], Awaitable[None]]


def fleet(
    balancers: Annotated[
        str, typer.Option(help="With commas between; all else is in proportion.")
    ] = "100",
    seed: int = 1,
    documents: Annotated[
        bool,
        typer.Option("--documents", help="Without the feed: a document a service, as before it."),
    ] = False,
    phases: Annotated[str, typer.Option(help="With commas between; all: each.")] = "all",
    fault: Annotated[
        str, typer.Option(help="node, one-way, region or stopped, in place of phases.")
    ] = "",
    nodes: int = 9,
    voters: int = 3,
    each: Annotated[int, typer.Option(help="Balancers of a process.")] = 200,
    links: Annotated[int, typer.Option(help="Processes of relays.")] = 3,
    bookmark: Annotated[
        float, typer.Option(help="Seconds between a quiet node's words; 0: as the program has it.")
    ] = 0.0,
    deciding: Annotated[
        float, typer.Option(help="Part of the balancers that have the module.")
    ] = 0.0,
    rate: Annotated[
        float, typer.Option(help="Requests a second of each of these, of a model.")
    ] = 0.0,
    far_ms: Annotated[float, typer.Option(help="One way between regions.")] = 20.0,
    dense: Annotated[float, typer.Option(help="Times the changes of a usual day.")] = 10.0,
    quiet: Annotated[float, typer.Option(help="Seconds.")] = 15.0,
    usual: Annotated[float, typer.Option(help="Seconds.")] = 60.0,
    release: Annotated[float, typer.Option(help="Seconds.")] = 20.0,
    cut: Annotated[float, typer.Option(help="Seconds, in place of an hour.")] = 10.0,
    patience: Annotated[float, typer.Option(help="Seconds until all must have all.")] = 90.0,
    keep: Keep = None,
    out_: Annotated[Path | None, typer.Option("--out")] = None,
    plot: Annotated[Path | None, typer.Option(help="A page with plots.")] = None,
) -> None:
    """Load, a usual day, a release, a zone and a node lost, a region cut, all of a region started:
    how soon a change is in force, and what that costs. Exit status 1 where a balancer has not what
    the store has.
    """
    from loadbalancer.cli.hollow import MODULE, Written
    from loadbalancer.testbed.size.fleet import Fleet, Plan
    from loadbalancer.testbed.size.phases import FAULTS, PHASES, Times, play
    from loadbalancer.testbed.size.world import Shape

    steps = _steps(fault, FAULTS, "--fault") if fault else _steps(phases, PHASES, "--phases")
    times = Times(quiet, usual, release, cut, patience, dense)
    runs: list[Json] = []
    for text in balancers.split(","):
        if not text.strip().isdigit():
            raise Unusable(f"--balancers: {text!r} is no number")
        plan = Plan(
            Shape().scaled(int(text)),
            seed,
            not documents,
            nodes,
            voters,
            each,
            links,
            bookmark,
            deciding,
            rate,
            far_ms,
        )
        with folder(keep) as where:
            found = uvloop.run(play(Fleet(plan, where, Written(), MODULE), times, steps, _said))
        show(found)
        runs.append(found)
        if out_ is not None:
            results.write(
                out_, results.encoded({"format": results.FORMAT, "size": "fleet", "runs": runs})
            )
    if plot is not None:
        from loadbalancer.testbed.size.page import page

        results.write(plot, page(runs))
    if any(found["wrong"] for found in runs):
        raise typer.Exit(1)


def _said(line: str) -> None:
    out.print(f"[dim]{time.strftime('%H:%M:%S')}  {line}[/dim]", soft_wrap=True, highlight=False)


def _steps(text: str, known: Mapping[str, Phase], option: str) -> list[Phase]:
    names = list(known) if text == "all" else [name.strip() for name in text.split(",")]
    for name in names:
        if name not in known:
            raise Unusable(f"{option}: {name!r} is none of {', '.join(known)}")
    return [known[name] for name in names]


def show(found: Json) -> None:
    """A run in a table."""
    from loadbalancer.testbed.size.page import COLUMNS, row, way

    shape, world = found["plan"]["shape"], found["world"]
    table = Table(
        title=f"{shape['balancers']} balancers, {shape['upstreams']} upstreams, {shape['services']}"
        f" services, {found['plan']['nodes']} nodes, {way(found)}, seed {found['plan']['seed']}"
    )
    for column in COLUMNS:
        table.add_column(column, justify="right")
    for phase in found["phases"]:
        table.add_row(*row(phase))
    out.print(table)
    load = found["phases"][0]
    out.print(
        f"a balancer carries {world['carried_mean']:g} services with {world['rows_mean']:.0f} "
        f"rows, at "
        f"most {world['carried_most']} and {world['rows_most']}; it takes "
        f"{load['balancer_mb']:.2f} MB "
        f"on top of {load['base_mb']:.0f} MB of the program",
        soft_wrap=True,
    )
    for line in found["wrong"]:
        out.print(f"[red]{line}[/red]", soft_wrap=True)
    out.print(
        "all balancers have what the store has, none went back"
        if not found["wrong"]
        else f"wrong: {len(found['wrong'])}",
        f"{found['seconds']:.0f} s",
    )


def add_to(size: typer.Typer) -> None:
    """The group gets this verb."""
    size.command()(fleet)
