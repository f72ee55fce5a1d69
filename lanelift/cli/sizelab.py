"""`lanelift lab size ...`: what each role costs by size, a slope at a time."""

from __future__ import annotations

import datetime
import shlex
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.table import Table

from lanelift.cli.console import out
from lanelift.lab import results
from lanelift.lab.size import fit
from lanelift.lab.size.fit import Slope
from lanelift.lab.topology import Unusable

app = typer.Typer(no_args_is_help=True, help="What each role costs by size, a slope at a time.")
# The size to design for, by what a slope counts: its last column, and how far a plot's line goes.
SIZES: Mapping[str, float] = {"upstreams": 44_000, "tenants": 73_000, "routes": 9_900, "services": 2_900,
                              "balancers": 2_900, "subscribers": 2_900}

Json_ = Annotated[Path | None, typer.Option("--json", help="All that was found, as JSON.")]
Plot = Annotated[Path | None, typer.Option("--plot", help="A picture of the slopes, PNG.")]
Record = Annotated[Path | None, typer.Option("--record",
    help="Slopes go into this file, in place of those of the same names.")]


def command() -> str:
    """The command as it was given."""
    return shlex.join(["lanelift", *sys.argv[1:]])


def today() -> str:
    return datetime.date.today().isoformat()


def give(title: str, slopes: Sequence[Slope], json_: Path | None, plot: Path | None, record: Path | None,
         figures: Mapping[str, float] | None = None) -> None:
    """A table of slopes, and of what else was measured (`figures`: with their units in their names); then
    what was asked for as files."""
    table = Table(title=title)
    for column in ("slope", "each", "at none", "unit", "per", "measured", "worst off", "at the size"):
        table.add_column(column, justify="left" if column in ("slope", "unit", "per") else "right")
    for s in slopes:
        size = SIZES.get(s.per, s.measured_to)
        value, extrapolated = s.at(size)
        table.add_row(s.name, f"{s.slope:.4g}", f"{s.intercept:.4g}", s.unit, s.per,
                      f"{s.points[0][0]:g} to {s.measured_to:g}", f"{s.residue:.0%}",
                      f"{value:.4g} at {size:g}{', extrapolated' if extrapolated else ''}")
    out.print(table)
    for name, value in (figures or {}).items():
        out.print(f"{name}: {value:.4g}", soft_wrap=True, highlight=False)
    if json_ is not None:
        results.write(json_, msgspec.json.format(msgspec.json.encode(
            {"title": title, "slopes": slopes, "figures": figures or {}}), indent=1) + b"\n")
    if plot is not None:
        from lanelift.lab.size.plot import picture
        results.write(plot, picture(slopes, SIZES))
    if record is not None:
        fit.record(record, slopes)


@app.command()
def show(path: Annotated[Path, typer.Argument(help="Recorded slopes.")] = Path("docs/capacity/slopes.json"),
         json_: Json_ = None, plot: Plot = None) -> None:
    """Slopes as they were recorded."""
    if not (slopes := fit.read(path)):
        raise Unusable(f"{path}: no slopes are recorded there")
    give(str(path), slopes, json_, plot, None)


def add_to(lab: typer.Typer) -> None:
    lab.add_typer(app, name="size")
