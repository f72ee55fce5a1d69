"""`loadbalancer lab size ...`: what each role costs by size, a slope at a time."""

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

import loadbalancer
from loadbalancer.cli import sizefleet
from loadbalancer.cli.console import out
from loadbalancer.daemon.documents import parse
from loadbalancer.daemon.persisted import SavedEndpointList, load_endpoints, save_endpoints
from loadbalancer.daemon.settings import read_raw
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.testbed import results
from loadbalancer.testbed.size import balancer as measure
from loadbalancer.testbed.size import beside, fit
from loadbalancer.testbed.size.balancer import Sizes
from loadbalancer.testbed.size.fit import Slope
from loadbalancer.testbed.topology import Unusable
from loadbalancer.wallclock import unix_s

app = typer.Typer(no_args_is_help=True, help="What each role costs by size, a slope at a time.")
PARTS = ("module", "pools", "services", "settings", "stored", "fleets", "sockets", "rest")
FILES = ("--json", "--plot", "--record")
HERE = Path(loadbalancer.__file__).parent.parent
MOST_LISTENERS = 1000  # upstreams that are played on sockets
# The size to design for, by what a slope counts: its last column, and how far a plot's line goes.
SIZES: Mapping[str, float] = {
    "upstreams": 44_000,
    "tenants": 73_000,
    "routes": 9_900,
    "classes": 9_900,
    "services": 2_900,
    "balancers": 2_900,
    "subscribers": 2_900,
    "watchers": 2_900,
    "names": 2_900,
    "rows": 127_000,
}

Json_ = Annotated[Path | None, typer.Option("--json", help="All that was found, as JSON.")]
Plot = Annotated[Path | None, typer.Option("--plot", help="A picture of the slopes, PNG.")]
Record = Annotated[
    Path | None,
    typer.Option("--record", help="Slopes go into this file, in place of those of the same names."),
]


def command(words: Sequence[str] = ()) -> str:
    """The command as it was given, but for where its results go."""
    words = words or sys.argv[1:]
    kept = [
        word
        for i, word in enumerate(words)
        if word.partition("=")[0] not in FILES and (i == 0 or words[i - 1] not in FILES)
    ]
    return shlex.join(["loadbalancer", *kept])


def today() -> str:
    return datetime.date.today().isoformat()


def give(
    title: str,
    slopes: Sequence[Slope],
    json_: Path | None,
    plot: Path | None,
    record: Path | None,
    figures: Mapping[str, float] | None = None,
) -> None:
    """A table of slopes, and of what else was measured (`figures`: with their units in their
    names); then what was asked for as files.
    """
    table = Table(title=title)
    for column in ("slope", "each", "at none", "unit", "per", "to", "off", "at the size"):
        words = column in ("slope", "unit", "per")
        table.add_column(column, justify="left" if words else "right", no_wrap=True)
    for s in slopes:
        size = SIZES.get(s.per, s.measured_to)
        value, extrapolated = s.at(size)
        table.add_row(
            s.name,
            f"{s.slope:.3g}",
            f"{s.intercept:.3g}",
            s.unit,
            s.per,
            f"{s.measured_to:.0f}",
            f"{s.residue:.0%}",
            f"{value:.4g} at {size:.0f}{'*' if extrapolated else ''}",
        )
    out.print(table)
    out.print(
        "each: in the unit, for one more; to: the largest size measured; off: of the line at "
        "its worst"
        " size; at the size: as measured, or * extrapolated",
        soft_wrap=True,
    )
    for name, value in (figures or {}).items():
        out.print(f"{name}: {value:.4g}", soft_wrap=True, highlight=False)
    if json_ is not None:
        results.write(
            json_,
            msgspec.json.format(
                msgspec.json.encode({"title": title, "slopes": slopes, "figures": figures or {}}),
                indent=1,
            )
            + b"\n",
        )
    if plot is not None:
        from loadbalancer.testbed.size.plot import picture

        results.write(plot, picture(slopes, SIZES))
    if record is not None:
        fit.record(record, slopes)


def _sizes(text: str, repeats: int, seconds: float) -> Sizes:
    """As measured by default, or these for all."""
    if repeats < 1 or seconds <= 0:
        raise Unusable("repeats are 1 at least, seconds over 0")
    if not text:
        return Sizes(repeats=repeats, seconds=seconds)
    try:
        counts = sorted({int(part) for part in text.split(",")})
    except ValueError:
        raise Unusable(f"--sizes: {text!r} are no whole numbers") from None
    if counts[0] < 1:
        raise Unusable("--sizes: they begin at 1")
    return Sizes(
        counts, counts, counts, counts, [min(count, 20) for count in counts], repeats, seconds
    )


def _encoded(endpoints: list[Endpoint]) -> bytes:
    return msgspec.json.encode(
        SavedEndpointList(unix_s(), save_endpoints(endpoints), 1, 1, 1, "127.0.0.1:8500")
    )


def _decoded(data: bytes) -> list[Endpoint]:
    return load_endpoints(msgspec.json.decode(data, type=SavedEndpointList))


@app.command()
def balancer(
    parts: Annotated[str, typer.Option(help="With commas between.")] = ",".join(PARTS[:-3]),
    program: Annotated[
        Path,
        typer.Option(
            help="Where the measured program stands, as .compiled; settings are read by this one."
        ),
    ] = HERE,
    sizes: Annotated[
        str, typer.Option(help="In place of the usual ones, with commas between.")
    ] = "",
    repeats: int = 3,
    seconds: Annotated[float, typer.Option(help="Of played or real requests, each time.")] = 10.0,
    rates: Annotated[str, typer.Option(help="Requests a second, on sockets.")] = "86,430",
    json_: Json_ = None,
    plot: Plot = None,
    record: Record = None,
) -> None:
    """What one balancer needs by upstreams, tenants, classes and services. Parts besides the usual:
    fleets (by upstreams, for one of 1, 5, 40 and 200 balancers), sockets (the 99th percentile that
    it adds to a request) and rest (a process that is asked nothing).
    """
    chosen = [part.strip() for part in parts.split(",")]
    if unknown := [part for part in chosen if part not in PARTS]:
        raise Unusable(f"--parts: {unknown[0]!r} is none of {', '.join(PARTS)}")
    given = _sizes(sizes, repeats, seconds)
    if len(given.upstreams) < fit.LEAST_SIZES:
        raise Unusable(f"--sizes: a slope takes {fit.LEAST_SIZES} at least")
    compiled = measure.is_compiled(program)
    told = measure.Told(command(), today(), "" if compiled else ".plain")
    try:
        asked = [float(part) for part in rates.split(",")]
    except ValueError:
        raise Unusable(f"--rates: {rates!r} are no numbers") from None

    def heard(what: str) -> None:
        out.print(f"[dim]{what}[/dim]", soft_wrap=True)

    # -P: the folder that this is called in has a program too.
    run = ("env", f"PYTHONPATH={program}", sys.executable, "-P", "-m", "loadbalancer")
    slopes: list[Slope] = []
    figures: dict[str, float] = {}
    for part in chosen:
        match part:
            case "module":
                slopes += measure.module(program, given, told, heard)
            case "pools":
                slopes += measure.pools(program, given, told, heard)
            case "services":
                slopes += measure.services(program, given, told, heard)
            case "fleets":
                slopes += measure.fleets(program, given, told, heard)
            case "settings":
                reading = measure.Reading(
                    lambda text: parse("size", text), lambda raw: read_raw(raw, "size")
                )
                slopes += measure.settings(reading, given, told._replace(suffix=""), heard)
            case "stored":
                storing = measure.Storing(_encoded, _decoded)
                slopes += measure.stored(storing, given, told._replace(suffix=""), heard)
            case "sockets":
                counts = [count for count in given.upstreams if count <= MOST_LISTENERS]
                found, figures = beside.added(run, counts, asked, repeats, seconds, told, heard)
                slopes += found
            case "rest":
                slopes += beside.at_rest(run, given.upstreams, given.tenants, seconds, told, heard)
    give(
        f"one balancer, {'compiled' if compiled else 'plain Python'}",
        slopes,
        json_,
        plot,
        record,
        figures,
    )


@app.command()
def show(
    path: Annotated[Path, typer.Argument(help="Recorded slopes.")] = Path(
        "docs/capacity/slopes.json"
    ),
    json_: Json_ = None,
    plot: Plot = None,
) -> None:
    """Slopes as they were recorded."""
    if not (slopes := fit.read(path)):
        raise Unusable(f"{path}: no slopes are recorded there")
    give(str(path), slopes, json_, plot, None)


@app.command()
def feed(
    parts: Annotated[str, typer.Option(help="With commas between; empty: all.")] = "",
    json_: Json_ = None,
    plot: Plot = None,
    record: Record = None,
) -> None:
    """What the feed's cores need, without sockets: CPU time and memory by subscribers and rows."""
    from loadbalancer.testbed.feed import measure as cores

    chosen = [part.strip() for part in parts.split(",")] if parts else list(cores.SERIES)
    if unknown := [part for part in chosen if part not in cores.SERIES]:
        raise Unusable(f"--parts: {unknown[0]!r} is none of {', '.join(cores.SERIES)}")
    said, day = command(), today()
    slopes = [slope for part in chosen for slope in cores.fitted(part, said, day)]
    give("the feed's cores", slopes, json_, plot, record)


@app.command()
def page(
    docs: Annotated[Path, typer.Argument(help="The folder of CAPACITY.md.")] = Path("docs"),
    write: Annotated[bool, typer.Option("--write", help="Put the page right.")] = False,
) -> None:
    """Work docs/CAPACITY.md out anew from its formulas and the recorded slopes; exit status 1 where
    it stood otherwise.
    """
    from loadbalancer.testbed.size.capacity import recompute

    if recompute(docs, write):
        out.print("the page stands as its slopes give it")
        return
    out.print(
        "the page was put right" if write else "the page stands otherwise: --write puts it right"
    )
    raise typer.Exit(0 if write else 1)


sizefleet.add_to(app)


def add_to(lab: typer.Typer) -> None:
    lab.add_typer(app, name="size")
