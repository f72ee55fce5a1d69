"""`loadbalancer lab ...`: run, replay, compare, hunt, worlds, report."""

from __future__ import annotations

import asyncio
import random
import shlex
import sys
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.table import Table

import loadbalancer
from loadbalancer.cli.console import out
from loadbalancer.settings import Json
from loadbalancer.testbed import experiments, results, topology
from loadbalancer.testbed import scale as scaling
from loadbalancer.testbed.capacity.measure import measure
from loadbalancer.testbed.connection_memory import ConnectionState, measure_connections
from loadbalancer.testbed.hosts import Host, SpreadHost
from loadbalancer.testbed.policies import policy
from loadbalancer.testbed.soak.checker import Breach
from loadbalancer.testbed.soak.crowd import Behavior
from loadbalancer.testbed.soak.flood import Flood
from loadbalancer.testbed.soak.plan import CROWD_CONNECTIONS, Plan
from loadbalancer.testbed.soak.run import play
from loadbalancer.testbed.soak.troubles import Trouble
from loadbalancer.testbed.topology import Topology, Unusable
from loadbalancer.testbed.virtual import Instances, World
from loadbalancer.units import duration

app = typer.Typer(no_args_is_help=True, help="An emulated fleet, faults, and a ledger that judges.")

World_ = Annotated[
    str, typer.Argument(help="A bundled world's name, or a topology file.", metavar="WORLD")
]
Set = Annotated[
    list[str] | None, typer.Option("--set", help="KEY=VALUE in place of what the file says.")
]
Seed = Annotated[int, typer.Option(help="It decides all that is drawn.")]
Policy = Annotated[
    str,
    typer.Option("--policy", help="here, a textbook policy, a module's file, or a git revision."),
]
Out = Annotated[Path | None, typer.Option("--out", help="Where the result goes, as JSON.")]
CROWD_EVERY = 3  # of the seeds of a soak
BREACHES_SHOWN = 5  # of each rule
PROGRAM = Path(loadbalancer.__file__).parent.parent
Workers = Annotated[
    int, typer.Option(help="Processes; 0: in this one, or all cores but one for many runs.")
]


def breaches_exit(found: Json) -> None:
    """A broken rule is no success, and a run that the lab spoilt is none at all."""
    if found.get("void"):
        print(f"loadbalancer: void: {found['void']}", file=sys.stderr)
        raise typer.Exit(3)
    if found["broken"]:
        raise typer.Exit(1)


@app.command()
def run(
    world: World_ = "brief",
    seed: Seed = 1,
    set_: Set = None,
    policy_: Policy = "here",
    out_: Out = None,
    workers: Workers = 0,
    minutes: Annotated[
        float, typer.Option(help="Play this long in place of the file's length.")
    ] = 0.0,
    sockets: Annotated[
        bool, typer.Option("--sockets", help="Real processes on loopback, in real time.")
    ] = False,
) -> None:
    """Play a world once: in virtual time, or with real balancers on sockets."""
    t = topology.load(world, _with_length(set_, minutes))
    if sockets:
        found = _on_sockets(t, seed)
    else:
        maker = policy(policy_)
        host: Instances = SpreadHost(workers, maker) if workers else Host(maker)
        outcome = World(t, seed, host).run()
        found = results.result(t, seed, outcome, policy_)
        out.print(
            f"[dim]decision module: {host.spent_ns / 1000 / max(1, host.events):.1f} us an event, "
            f"{host.events} events[/dim]"
        )
    show(found)
    _keep(found, out_)
    breaches_exit(found)


def _with_length(set_: list[str] | None, minutes: float) -> list[str]:
    return [*(set_ or []), *([f"length='{round(minutes * 60_000)}ms'"] if minutes else [])]


def _on_sockets(t: Topology, seed: int) -> Json:
    from loadbalancer.cli.live import Live
    from loadbalancer.testbed.sockets.conductor import run as run_sockets

    with Live(t) as live:
        return run_sockets(t, seed, live.look)


def _keep(found: Json, path: Path | None) -> None:
    if path is not None:
        results.write(path, results.encoded(found))
        out.print(f"result in {path}")


@app.command()
def replay(
    result: Annotated[Path, typer.Argument(help="A result of `run` or `hunt` in virtual time.")],
    policy_: Policy = "",
) -> None:
    """Play a result's run again from its seed, and say whether it came out the same, byte for
    byte.
    """
    old = results.read(result)
    if old["drive"] != "virtual":
        raise Unusable(f"{result}: only runs in virtual time can be played again")
    t = topology.read(old["topology"], str(result))
    name = policy_ or old["versions"]["policy"]
    faults = experiments.faults_from(old["faults"])
    outcome = World(t, old["seed"], Host(policy(name)), faults).run()
    found = results.result(t, old["seed"], outcome, name)
    show(found)
    same = results.encoded(found) == results.encoded(old)
    out.print(
        "the same, byte for byte"
        if same
        else "[yellow]not the same: another module or model[/yellow]"
    )
    breaches_exit(found)


@app.command()
def compare(
    a: Annotated[str, typer.Argument(help="A policy, as for --policy.")],
    b: Annotated[str, typer.Argument(help="Another one.")],
    world: Annotated[
        str, typer.Option(help="A bundled world's name, or a topology file.")
    ] = "brief",
    seeds: Annotated[int, typer.Option(help="How many pairs.", min=2)] = 20,
    first: int = 1,
    set_: Set = None,
    workers: Workers = 0,
) -> None:
    """Two policies on the same seeds: means, and the interval in which the difference lies in
    95%.
    """
    t = topology.load(world, set_)
    of_a, of_b = experiments.compare(
        t, a, b, range(first, first + seeds), workers or experiments.cores(), _progress
    )
    table = Table(title=f"{world}, {seeds} seeds")
    for column in ("figure", a, b, "difference (95%)", ""):
        table.add_column(column)
    for d in experiments.differences(of_a, of_b):
        table.add_row(
            d.figure,
            f"{d.a:.4f}",
            f"{d.b:.4f}",
            f"{d.b - d.a:+.4f} ({d.low:+.4f} to {d.high:+.4f})",
            "noise" if d.noise else "",
        )
    out.print(table)
    for name, played in ((a, of_a), (b, of_b)):
        broken = [p for p in played if p.broken]
        for p in broken[:3]:
            out.print(f"[red]{name}: seed {p.seed} breaks {', '.join(p.broken)}: {p.breach}[/red]")
        if broken:
            out.print(f"{name}: rules broken on {len(broken)} of {len(played)} seeds")


def _progress(done: int, of: int) -> None:
    if sys.stderr.isatty():
        print(f"\r{done}/{of}", end="\n" if done == of else "", file=sys.stderr, flush=True)


@app.command()
def hunt(
    world: World_ = "quiet",
    minutes: float = 1.0,
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    chance: Annotated[int, typer.Option(help="Faults drawn for each schedule.")] = 4,
    set_: Set = None,
    policy_: Policy = "here",
    corpus: Annotated[Path, typer.Option(help="Where finds go.")] = Path("found"),
    workers: Workers = 0,
) -> None:
    """Draw fault schedules, look for broken rules and collapse, and shrink what is found."""
    t = topology.load(world, [*(set_ or []), f"chance={chance}"])

    def heard(done: int, finds: list[experiments.Find]) -> None:
        out.print(f"{done} schedules played, {len(finds)} finds")

    finds = experiments.hunt(
        t,
        policy_,
        duration(f"{minutes}m") / 1e9,
        first,
        workers or experiments.cores(),
        heard=heard,
    )
    for find in finds:
        found = results.result(t, find.seed, find.outcome, policy_)
        path = corpus / f"{find.what.replace(' ', '-')}-{t.name}-{find.seed}.json"
        results.write(path, results.encoded(found))
        out.print(
            f"[red]{find.what}[/red] at seed {find.seed}: {experiments.breach(find.outcome)}; "
            f"{len(find.outcome.faults)} faults left: "
            f"{', '.join(f.kind for f in find.outcome.faults)}; "
            f"play it again: loadbalancer lab replay {path}"
        )
    if finds:
        raise typer.Exit(1)


@app.command()
def capacity(
    connections: int = 32,
    seconds: Annotated[float, typer.Option(help="Of each turn.")] = 3.0,
    pairs: Annotated[int, typer.Option(help="Turns of each.", min=1)] = 5,
    command: Annotated[str, typer.Option(help="Another balancer's command line.")] = "",
) -> None:
    """Requests a second of one balancer on one core, beside a bare relay on the same core."""
    found = measure(
        connections,
        seconds,
        pairs,
        shlex.split(command),
        lambda pair, ours, relay: out.print(
            f"pair {pair}: balancer {ours:,.0f}/s, relay {relay:,.0f}/s, ratio {ours / relay:.4f}"
        ),
    )
    table = Table(title=f"{connections} connections, answers of 200 bytes, keep-alive")
    for column in ("", "requests/s", "CPU us a request", "peak MB", "p50 ms", "p99 ms", "p99.9 ms"):
        table.add_column(column, justify="right")
    for name in ("balancer", "relay"):
        side = found[name]
        table.add_row(
            name,
            f"{side['per_s']:,.0f}",
            f"{side['cpu_us']:.0f}",
            f"{side['peak_mb']:.1f}",
            *(f"{ms:.2f}" for ms in side["ms"].values()),
        )
        if side["wrong"]:
            out.print(f"[red]{name}: {side['wrong']} answers other than 200[/red]")
    out.print(table)
    ratio = found["ratio"]
    out.print(
        f"ratio {ratio['median']:.4f} ({ratio['least']:.4f} to {ratio['most']:.4f}); times are "
        f"those at"
        " half of each one's rate, from when a request was due"
    )


@app.command()
def scale(
    sizes: Annotated[
        str, typer.Option(help="BOXESxBALANCERS, with commas between.")
    ] = "13x4,100x32",
    seed: Seed = 1,
    policy_: Policy = "here",
    workers: Workers = 0,
    out_: Out = None,
) -> None:
    """Fleets of many sizes: calm, 30% of boxes restarted, half of the balancers gone, a surge of
    three.
    """
    pairs = []
    for text in sizes.split(","):
        boxes, by, balancers = text.strip().partition("x")
        if (
            not by
            or not boxes.isdigit()
            or not balancers.isdigit()
            or not int(boxes) * int(balancers)
        ):
            raise Unusable(f"--sizes: {text!r} is not BOXESxBALANCERS")
        pairs.append((int(boxes), int(balancers)))
    rows = scaling.measure(
        topology.load("quiet"),
        pairs,
        list(scaling.SCENARIOS),
        seed,
        policy_,
        workers or experiments.cores(),
        lambda row: out.print(f"{row.boxes}x{row.balancers} {row.scenario}: {row.whole:.4f}"),
    )
    table = Table(
        title=f"load {scaling.LOAD}, {scaling.LENGTH_S} s, fault at {scaling.AT_S} s, seed {seed}"
    )
    for column in (
        "boxes x balancers",
        "scenario",
        "worth",
        "p99 ms",
        "attempts",
        "spread",
        "worst s",
        "back s",
        "tries",
        "rules",
    ):
        table.add_column(column, justify="right")
    for row in rows:
        table.add_row(
            f"{row.boxes} x {row.balancers}",
            row.scenario,
            f"{row.whole:.4f}",
            f"{row.p99_ms:.0f}",
            f"{row.attempts:.3f}",
            f"{row.spread:.3f}",
            f"{row.worst:.3f}",
            "no" if row.back_s < 0 else f"{row.back_s:.1f}",
            f"{row.amplified:.2f}",
            ", ".join(row.broken) or "kept",
        )
    out.print(table)
    costs = scaling.decision_costs(policy_, pairs)
    for cost in costs:
        out.print(
            f"{cost['boxes']} x {cost['balancers']}: {cost['steady']:.0f} us an event steady, "
            f"{cost['failing']:.0f} with failing boxes, {cost['crowded']:.0f} in a crowd, "
            f"{cost['change']:.0f} a list change"
        )
    if out_ is not None:
        results.write(out_, results.encoded({"runs": scaling.as_json(rows), "decisions": costs}))


@app.command()
def soak(
    seed: Seed = 1,
    seeds: Annotated[int, typer.Option(help="How many, from there on.", min=1)] = 1,
    seconds: Annotated[float, typer.Option(help="Of each, once all are ready.", min=3.0)] = 30.0,
    balancers: Annotated[int, typer.Option(help="Real processes.", min=1, max=300)] = 24,
    upstreams: Annotated[int, typer.Option(min=2, max=100)] = 8,
    rate: Annotated[float, typer.Option(help="Requests a second of each balancer.")] = 4.0,
    program: Annotated[Path, typer.Option(help="Where it stands, as .compiled.")] = PROGRAM,
    only: Annotated[str, typer.Option(help="Troubles by name, commas between; empty: all.")] = "",
    ask: Annotated[bool, typer.Option("--ask", help="Lists are asked for, not pushed.")] = False,
    repeated: Annotated[
        float, typer.Option(help="Share of all responses behind which a second one follows.")
    ] = 0.0,
    cold: Annotated[
        bool, typer.Option("--cold", help="Upstreams come back cold under a burst.")
    ] = False,
    crowd: Annotated[
        str, typer.Option(help="What a crowd does, commas between; `mixed`: all in turn.")
    ] = "",
    crowd_connections: Annotated[int, typer.Option(help="Of each balancer's crowd.", min=1)] = (
        CROWD_CONNECTIONS
    ),
    memory_mb: Annotated[int | None, typer.Option(help="The memory limit of a balancer.")] = None,
    descriptors: Annotated[int | None, typer.Option(help="The limit on its descriptors.")] = None,
    flood: Annotated[
        Flood | None, typer.Option(help="What one client sends to each balancer at full speed.")
    ] = None,
    long_answers: Annotated[
        float, typer.Option(help="Share of the requests whose answer is long and written slowly.")
    ] = 0.0,
    long_messages: Annotated[
        float,
        typer.Option(help="Share of the requests with a long body, or an answer in lumps."),
    ] = 0.0,
    discovery_delay: Annotated[
        float,
        typer.Option(help="All of discovery's answers are late, by up to so many s.", max=6.0),
    ] = 0.0,
    first_call: Annotated[
        float,
        typer.Option(help="The first call on a connection to discovery takes up to so many s."),
    ] = 0.0,
    replacements: Annotated[
        bool, typer.Option("--replacements", help="All balancers are replaced, in series.")
    ] = False,
) -> None:
    """Real balancers on loopback under troubles that overlap, judged by the rules; a breach is
    status 1.
    """
    names = frozenset(name for name in only.split(",") if name)
    if unknown := sorted(names - {trouble.name.lower() for trouble in Trouble}):
        raise Unusable(
            f"--only: {unknown[0]!r} is none of "
            f"{', '.join(trouble.name.lower() for trouble in Trouble)}"
        )
    broken = False
    for number in range(seed, seed + seeds):
        plan = Plan(
            number,
            seconds,
            balancers,
            upstreams,
            rate,
            program.resolve(),
            not ask,
            only=names,
            repeated=repeated,
            crowd=_crowd(crowd, not names and number % CROWD_EVERY == 0),
            cold_returns=cold,
            crowd_connections=crowd_connections,
            memory_mb=memory_mb,
            descriptors=descriptors,
            long_answers=long_answers,
            flood=flood,
            long_messages=long_messages,
            discovery_delay_s=random.Random(number).uniform(0.0, discovery_delay),
            first_call_s=random.Random(f"{number}/first call").uniform(0.0, first_call),
            replacements=replacements,
        )
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            verdict = runner.run(play(plan))
        counts = ", ".join(f"{count} {name}" for name, count in sorted(verdict.counts.items()))
        out.print(
            f"seed {number}: {len(verdict.breaches)} breaches, {len(verdict.unsure)} unsure; "
            f"{len(verdict.history.troubles)} troubles; {counts}"
            f"; at most {max(p.memory_mb for p in verdict.history.processes):.1f} MB"
            f"{f'; fullest window {verdict.fullest_window:.2f}' if cold else ''}"
            f"{'' if verdict.shimmed else '; no compiler, so no system call failed'}",
            soft_wrap=True,
        )
        _show_breaches(verdict.breaches)
        broken = broken or bool(verdict.breaches)
    if broken:
        raise typer.Exit(1)


def _crowd(names: str, by_seed: bool) -> tuple[Behavior, ...]:
    """Return what a crowd does: as named, or the usual crowd of some seeds."""
    if not names:
        return (Behavior.HALF_HEAD,) if by_seed else ()
    if names == "mixed":
        return tuple(Behavior)
    by_name = {behavior.name.lower(): behavior for behavior in Behavior}
    if unknown := sorted(set(names.split(",")) - by_name.keys()):
        raise Unusable(f"--crowd: {unknown[0]!r} is none of mixed, {', '.join(by_name)}")
    return tuple(by_name[name] for name in names.split(","))


def _show_breaches(breaches: list[Breach]) -> None:
    """Print the count of each rule, and its first breaches."""
    by_rule: dict[str, list[Breach]] = {}
    for breach in breaches:
        by_rule.setdefault(breach.rule, []).append(breach)
    for rule, found in sorted(by_rule.items()):
        out.print(f"  {rule}: {len(found)}")
        for breach in found[:BREACHES_SHOWN]:
            out.print(f"    {breach.what}", soft_wrap=True)


@app.command(name="connection-memory")
def connection_memory(
    program: Annotated[Path, typer.Option(help="Where it stands, as .compiled.")] = PROGRAM,
    connections: Annotated[int, typer.Option(help="In each state.", min=1, max=1000)] = 400,
) -> None:
    """Resident memory of a balancer at rest, and what each connection adds, by its state."""
    for state in ConnectionState:
        found = measure_connections(program.resolve(), state, connections)
        out.print(
            f"{state.value}: {found.per_connection / 1000:.1f} kB a connection; "
            f"at rest {found.rest / 1_000_000:.1f} MB"
        )


@app.command()
def worlds() -> None:
    """The topologies that come with the package."""
    for name in topology.bundled():
        t = topology.load(name)
        out.print(
            f"{name}: {t.fleet.boxes} boxes, {t.balancers.count} balancers, {len(t.faults)} faults"
        )


@app.command()
def report(
    result: Annotated[Path, typer.Argument(help="A result of `run`.")],
    out_: Annotated[Path, typer.Option("--out", help="The page.")] = Path("report.html"),
) -> None:
    """Make a page with plots of a result."""
    from loadbalancer.testbed.report import page

    results.write(out_, page(results.read(result)))
    out.print(f"report in {out_}")


def show(found: Json) -> None:
    """A run in a table."""
    table = Table(title=f"{found['topology']['name']}, seed {found['seed']}, {found['drive']}")
    table.add_column("figure")
    table.add_column("value", justify="right")
    counts: dict[str, Any] = found["counts"]
    rows: list[tuple[str, str]] = [
        ("score (service less penalties)", f"{found['score']:.4f}"),
        ("worth served, whole run", f"{found['whole']:.4f}"),
        ("worst window", f"{found['worst_window']:.4f}"),
        *((f"class {name}", f"{part:.4f}") for name, part in found["by_class"].items()),
        ("first tries", str(counts.get("first tries", 0))),
        ("attempts a first try", f"{found['attempts_per_first_try']:.3f}"),
        ("tries a first try", f"{found['tries_per_first_try']:.3f}"),
        *(
            (f"answers {name}", str(counts[name]))
            for name in ("served", "refused", "failed", "unreached", "none")
            if name in counts
        ),
        *((f"latency {name} ms", f"{ms:.1f}") for name, ms in found["latency_ms"].items()),
        ("spread of load over boxes", f"{found['load_spread']:.3f}"),
        ("rules broken", ", ".join(f"{k}: {v}" for k, v in found["broken"].items()) or "none"),
    ]
    for row in rows:
        table.add_row(*row)
    out.print(table)
    for breach in found["breaches"][:5]:
        out.print(f"[red]{breach['rule']}[/red]: {breach['what']}")
