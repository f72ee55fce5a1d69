"""`loadbalancer lab rig ...`: real processes of the program with faults between them."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.testbed import experiments, results
from loadbalancer.testbed.rig import scenario as scenarios
from loadbalancer.testbed.rig.run import Result, play
from loadbalancer.testbed.topology import Unusable

app = typer.Typer(
    no_args_is_help=True, help="Real processes of the program, and faults between them."
)
Name = Annotated[str, typer.Argument(help="A scenario of the package, or a TOML file.")]
Out = Annotated[Path | None, typer.Option("--out", help="Where the result goes, JSON.")]


def written(result: Result) -> dict[str, Any]:
    return {"format": results.FORMAT, "rig": True, **dataclasses.asdict(result)}


def told(result: Result, where: Path | None) -> None:
    for at, what in result.events:
        out.print(f"[dim]{at:8.3f}  {what}[/dim]", soft_wrap=True, highlight=False)
    out.print(
        ", ".join(f"{what} {value:g}" for what, value in result.figures.items()), soft_wrap=True
    )
    for line in result.wrong:
        out.print(f"[red]{line}[/red]", soft_wrap=True)
    if where is not None:
        results.write(where, results.encoded(written(result)))
    out.print(
        f"{result.name}, seed {result.seed}: {'wrong' if result.wrong else 'all held'}, "
        f"{result.seconds:.0f} s"
    )
    if result.wrong:
        raise typer.Exit(1)


@app.command()
def run(name: Name, seed: int = 1, where: Out = None) -> None:
    """Play a scenario; exit status 1 where something did not hold."""
    told(play(scenarios.read(scenarios.builtin(name)), seed), where)


@app.command()
def replay(
    result: Annotated[Path, typer.Argument(help="A result of `run` or `hunt`.")], where: Out = None
) -> None:
    """Play the schedule of a result again."""
    found = _read(result)
    try:
        scenario = scenarios.parsed({**found["scenario"], "chance": 0, "fault": found["faults"]})
    except (ValueError, KeyError) as error:
        raise Unusable(f"{result}: {error}") from None
    told(play(scenario, int(found["seed"])), where)


@app.command()
def report(result: Path, where: Annotated[Path, typer.Option("--out", help="The page.")]) -> None:
    """A page with the timeline of a result."""
    from loadbalancer.testbed.rig.page import page

    results.write(where, page(_read(result)))


@app.command()
def hunt(
    name: Name = "storm",
    minutes: float = 10.0,
    first: int = 1,
    workers: Annotated[int, typer.Option(help="Runs side by side; 0: a third of the cores.")] = 0,
    keep: Annotated[Path | None, typer.Option(help="A folder for what is found.")] = None,
) -> None:
    """Draw schedules by seed and shrink what fails; exit status 1 where something was found."""
    from loadbalancer.testbed.rig.hunt import Hunted, hunt

    scenario = scenarios.read(scenarios.builtin(name))
    if not scenario.chance:
        raise Unusable(f"{name}: nothing is left to chance in it")

    def heard(hunted: Hunted) -> None:
        out.print(f"[dim]{hunted.played} played, {len(hunted.found)} found[/dim]")
        for (
            result
        ) in hunted.found:  # as it is, should the run be interrupted before it is made smaller
            keep_one(result)

    def keep_one(result: Result) -> Path | None:
        if keep is None:
            return None
        path = keep / f"{result.name}-{result.seed}.json"
        results.write(path, results.encoded(written(result)))
        return path

    found = hunt(
        scenario, 60 * minutes, first, workers or max(1, experiments.cores() // 3), heard=heard
    )
    table = Table(title=f"{found.played} schedules of {name}")
    for column in ("figure", "median", "99%", "most"):
        table.add_column(column, justify="right")
    for figure in sorted({key for row in found.figures for key in row}):
        values = results.spread([row[figure] for row in found.figures if figure in row])
        table.add_row(figure, *(f"{value:g}" for value in values))
    out.print(table)
    if found.unusable:
        out.print(f"{found.unusable} could not begin: the machine was too busy")
    for result in found.found:
        out.print(f"[red]seed {result.seed}: {result.wrong[0]}[/red]", soft_wrap=True)
        path = keep_one(result)
        if path is not None:
            out.print(f"play it again: loadbalancer lab rig replay {path}", soft_wrap=True)
    if found.found:
        raise typer.Exit(1)


@app.command()
def cost(
    leases: Annotated[str, typer.Option(help="With commas between.")] = "1,10,100",
    holders: int = 200,
    seconds: float = 20.0,
    ttl: Annotated[float, typer.Option(help="Of a lease, seconds.")] = 10.0,
) -> None:
    """Commits, bytes and CPU a minute of so many leases over so many holders."""
    from loadbalancer.cli.clusters import folder
    from loadbalancer.testbed.rig.cost import lease_cost

    table = Table(title=f"{holders} holders, leases of {ttl:g} s, a minute")
    for column in (
        "leases",
        "owned",
        "commits",
        "bytes written",
        "CPU s of 3 nodes",
        "CPU ms of a holder",
    ):
        table.add_column(column, justify="right")
    for count in leases.split(","):
        with folder(None) as where:
            found = uvloop.run(lease_cost(where, int(count), holders, seconds, ttl))
        table.add_row(
            count,
            str(found["owned"]),
            f"{found['commits']:,}",
            f"{found['bytes']:,}",
            f"{found['node_cpu_s']}",
            f"{found['holder_cpu_ms']}",
        )
    out.print(table)


@app.command()
def gaps(
    times: int = 5, lease: Annotated[float, typer.Option(help="Its time in seconds.")] = 2.0
) -> None:
    """How long a work is without an owner, by how the owner went."""
    from loadbalancer.testbed.rig.cost import without_owner

    found = without_owner(times, lease, lambda line: out.print(f"[dim]{line}[/dim]"))
    table = Table(title=f"seconds without an owner, lease of {lease:g} s, {times} times")
    for column in ("how it went", "median", "99%", "most"):
        table.add_column(column)
    for how, row in found.items():
        table.add_row(how, *(f"{value:g}" for value in row))
    out.print(table)


def _read(path: Path) -> dict[str, Any]:
    """Raises Unusable."""
    found = results.read(path)
    if not found.get("rig"):
        raise Unusable(f"{path}: no result of the rig")
    return found


def add_to(lab: typer.Typer) -> None:
    lab.add_typer(app, name="rig")
