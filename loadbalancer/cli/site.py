"""`loadbalancer site ...`: what the fleet does about its sites, what a loss would come to, and
operators' words.
"""

from __future__ import annotations

import getpass
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Annotated

import msgspec
import typer
from rich.table import Table as Rows

from loadbalancer.cli.console import out
from loadbalancer.cli.store import At, Authority, Cert, Key, client, using
from loadbalancer.daemon.persisted import decode_row
from loadbalancer.daemon.site_documents import SiteKeys, SitePlanDocument
from loadbalancer.daemon.site_reader import SiteObservation, SiteReader
from loadbalancer.failover.fleet_model import EXCESS, FIRST_CLASS, Fleet
from loadbalancer.failover.plan import (
    FailoverPlan,
    losses_over_capacity,
    plan_for_loss,
    plans_for_losses,
)
from loadbalancer.failover.shedding import Shedding
from loadbalancer.failover.site_reports import collect_opinions, judge_site
from loadbalancer.failover.site_state import DesiredState, apply_operator_request
from loadbalancer.leases import table as leases
from loadbalancer.settings import MalformedError
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX
from loadbalancer.store.errors import ConflictError
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.units import duration

app = typer.Typer(
    no_args_is_help=True, help="Sites: what is lost, where its load goes, how it comes back."
)
Service = Annotated[
    str,
    typer.Option(
        envvar=["LOADBALANCER_SERVICE", "LANELIFT_SERVICE"], help="As in the balancers' [store]."
    ),
]
Name = Annotated[str, typer.Argument(help="Of a site, as in the document of sites.")]
LEVELS = ("nothing", "excess over shares", "repeats", "copies")


def _seconds(text: str) -> float:
    """Raises MalformedError."""
    try:
        return float(duration(text)) / 1e9
    except ValueError as error:
        raise MalformedError(str(error)) from None


def _level(fleet: Fleet, shedding: Shedding) -> str:
    if not shedding.level:
        return LEVELS[0]
    name = (
        LEVELS[shedding.level]
        if shedding.level < FIRST_CLASS
        else f"class {', '.join(fleet.class_levels[shedding.level - FIRST_CLASS])}"
    )
    return f"{shedding.fraction:.0%} of {name}" + (
        " and all before it" if shedding.level > EXCESS else ""
    )


async def _looked(c: Client, service: str) -> SiteObservation:
    """Raises StoreError, MalformedError."""
    return await SiteReader(c, service).read()


@app.command()
def status(
    service: Service, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """Each site: what the fleet takes it to be and why, and what it gets."""

    async def work(c: Client) -> None:
        seen = await _looked(c, service)
        owner = (await c.get(f"{LEASE_PREFIX}work/site/{service}")).rows[0]
        held = leases.unpack(owner.value) if owner.value is not None else None
        who = (
            f"{held.holder.split('@')[0]}, token {leases.format_token(held.token)}"
            if (held is not None and held.is_held)
            else "nobody"
        )
        blind = seen.snapshot.blocked_reason
        out.print(
            f"owner: {who}; {len(seen.snapshot.reports)} balancers tell"
            + (f"; the work rests: {blind}" if blind else ""),
            soft_wrap=True,
        )
        what = collect_opinions(seen.snapshot.reports)
        verdicts = {
            n: judge_site(n, what, seen.snapshot.ready.get(n, 0), seen.snapshot.usual.get(n, 0))
            for n in seen.sites
        }
        rows = Rows()
        for column in ("site", "seen as", "aim", "stage", "gets", "since it failed", "why"):
            rows.add_column(column)
        for name in seen.sites:
            course, v = seen.plan.state_of(name), verdicts[name]
            rows.add_row(
                name,
                v.health.value,
                course.desired.value + (f" by {course.operator}" if course.operator else ""),
                "apart" if course.is_partitioned else course.stage.value,
                f"{course.fraction:.0%}",
                str(course.failures),
                course.reason or v.reason,
            )
        out.print(rows)
        o = seen.plan.traffic_shares
        if o.excess or o.retries or o.classes or not o.allows_hedging:
            classes = ", ".join(f"{part:.0%} of {k}" for k, part in o.classes.items())
            out.print(
                f"refused: {o.excess:.0%} beyond shares, {o.retries:.0%} of repeats, "
                f"{'no copies' if not o.allows_hedging else 'copies as usual'}"
                + (f", {classes}" if classes else ""),
                soft_wrap=True,
            )

    using(client(at, certificate, key, authority), work)


@app.command()
def metrics(
    service: Service, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """The same as text for Prometheus (for a collector that reads files, say)."""
    from prometheus_client import CollectorRegistry, Gauge, generate_latest

    async def work(c: Client) -> bytes:
        seen = await _looked(c, service)
        registry = CollectorRegistry()
        part = Gauge(
            "lanelift_site_part", "of its usual load that a site gets", ["site"], registry=registry
        )
        state = Gauge(
            "lanelift_site_state",
            "1: what the fleet takes it to be",
            ["site", "state"],
            registry=registry,
        )
        refused = Gauge(
            "lanelift_refused_part",
            "refused while there is too little room",
            ["what"],
            registry=registry,
        )
        left = Gauge(
            "lanelift_site_loss_worth",
            "part of the worth that would be left without it",
            ["site"],
            registry=registry,
        )
        what, fleet = collect_opinions(seen.snapshot.reports), seen.fleet
        for name in seen.sites:
            part.labels(name).set(seen.plan.state_of(name).fraction)
            now = judge_site(
                name, what, seen.snapshot.ready.get(name, 0), seen.snapshot.usual.get(name, 0)
            ).health
            state.labels(name, now.value).set(1)
            if fleet.loads and len(seen.sites) > 1:
                t = plan_for_loss(fleet, [name])
                left.labels(name).set(t.served.fraction)
        o = seen.plan.traffic_shares
        for rung, value in (
            ("excess", o.excess),
            ("repeats", o.retries),
            ("copies", float(not o.allows_hedging)),
            *((f"class {k}", v) for k, v in o.classes.items()),
        ):
            refused.labels(rung).set(value)
        return generate_latest(registry)

    told: Callable[[Client], Awaitable[bytes]] = work
    typer.echo(using(client(at, certificate, key, authority), told).decode(), nl=False)


def _row(fleet: Fleet, t: FailoverPlan) -> tuple[str, ...]:
    worst_tenant = min(t.served.by_tenant.items(), key=lambda it: it[1], default=("-", 1.0))
    worst_class = min(t.served.by_class.items(), key=lambda it: it[1], default=("-", 1.0))
    return (
        " and ".join(sorted(t.lost)) or "none",
        f"{t.served.fraction:.1%}",
        _level(fleet, t.shedding),
        f"{worst_class[0]} {worst_class[1]:.0%}",
        f"{worst_tenant[0]} {worst_tenant[1]:.0%}",
        ", ".join(f"{n} {fill:.0%}" for n, fill in sorted(t.utilisation.items())),
    )


@app.command()
def plan(
    service: Service,
    at: At,
    lose: Annotated[
        str, typer.Option(help="Sites, with commas between; empty: each and each two.")
    ] = "",
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """What a loss now would come to: worth that is left, what is refused, how full the others are.
    Exit status 1 where the loss of one site is more than the others bear.
    """

    async def work(c: Client) -> bool:
        seen = await _looked(c, service)
        fleet = seen.fleet
        if not seen.sites:
            raise MalformedError(seen.snapshot.blocked_reason)
        if not fleet.loads:
            raise MalformedError("no balancer tells of any load: there is nothing to plan with")
        names = [n.strip() for n in lose.split(",") if n.strip()]
        unknown = [n for n in names if n not in seen.sites]
        if unknown or len(names) >= len(seen.sites):
            raise MalformedError(
                f"{unknown[0]}: there is no such site" if unknown else "all sites can't be lost"
            )
        found = (
            {frozenset(names): plan_for_loss(fleet, names)} if names else plans_for_losses(fleet)
        )
        rows = Rows()
        for column in ("lost", "worth left", "refused", "worst class", "worst tenant", "filled to"):
            rows.add_column(column)
        for t in found.values():
            rows.add_row(*_row(fleet, t))
        out.print(rows)
        if names:
            for origin, to in found[frozenset(names)].shares.items():
                goes = ", ".join(f"{t} {part:.0%}" for t, part in to.items())
                out.print(f"what comes in at {origin} goes to {goes}", soft_wrap=True)
        short = losses_over_capacity(found)
        for gone in short:
            out.print(
                f"[red]the others do not bear the loss of {' and '.join(sorted(gone))}[/red]",
                soft_wrap=True,
            )
        return bool(short)

    told: Callable[[Client], Awaitable[bool]] = work
    if using(client(at, certificate, key, authority), told):
        raise typer.Exit(1)


def _order(
    service: str,
    made: Client,
    name: str,
    aim: DesiredState,
    drain_s: float = 0.0,
    hold_s: float = 0.0,
    force: bool = False,
) -> None:
    """An operator's word, merged into what the owner does meanwhile. Raises MalformedError."""
    by = "an operator"
    with suppress(KeyError, OSError):
        by = getpass.getuser()

    async def work(c: Client) -> str:
        seen = await _looked(c, service)
        fleet = seen.fleet
        if name not in seen.sites:
            raise MalformedError(
                f"{name}: there is no such site in the document of sites"
                if seen.sites
                else seen.snapshot.blocked_reason
            )
        if aim is not DesiredState.ACTIVE and not force and fleet.loads:
            out_ = {x.site for x in seen.plan.site_states if x.fraction < 1} | {name}
            if out_ >= set(seen.sites):
                raise MalformedError("all sites would be out")
            t = plan_for_loss(fleet, out_)
            if t.shedding.level > EXCESS:
                raise MalformedError(
                    f"the others do not bear it: {_level(fleet, t.shedding)} would be"
                    f" refused, {t.served.fraction:.0%} of the worth be left; --force"
                    " does it all the same"
                )
        while True:
            row = (await c.get(SiteKeys(service).plan)).rows[0]
            doc = decode_row(row, SitePlanDocument) or SitePlanDocument()
            try:
                course = apply_operator_request(doc.state_of(name), aim, by, drain_s, hold_s)
            except ValueError as error:
                raise MalformedError(str(error)) from None
            with suppress(ConflictError):
                value = msgspec.json.encode(doc.with_state(course))
                await c.put(
                    SiteKeys(service).plan,
                    value,
                    row.version,
                    WriteOptions(note=course.reason[:200]),
                )
                return f"site {name}: {course.reason}"

    told: Callable[[Client], Awaitable[str]] = work
    out.print(using(made, told), soft_wrap=True)


Force = Annotated[bool, typer.Option("--force", help="Even where the others do not bear it.")]


@app.command()
def drain(
    name: Name,
    service: Service,
    at: At,
    over: Annotated[str, typer.Option(help="In which it is emptied, with a unit.")] = "5m",
    force: Force = False,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Empty a site, without one failure; it stays so until `return`."""
    _order(
        service,
        client(at, certificate, key, authority),
        name,
        DesiredState.DRAINED,
        _seconds(over),
        force=force,
    )


@app.command()
def hold(
    name: Name,
    service: Service,
    at: At,
    force: Force = False,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Take a site out at once, and keep it out."""
    _order(
        service,
        client(at, certificate, key, authority),
        name,
        DesiredState.DRAINED,
        0.0,
        force=force,
    )


@app.command("return")
def return_(
    name: Name,
    service: Service,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Let a site that is held, drained or drilled come back, in stages."""
    _order(service, client(at, certificate, key, authority), name, DesiredState.ACTIVE)


@app.command()
def drill(
    name: Name,
    service: Service,
    at: At,
    over: Annotated[str, typer.Option(help="In which it is emptied.")] = "5m",
    empty: Annotated[str, typer.Option("--for", help="How long it stays so.")] = "1m",
    force: Force = False,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """A drain that ends itself: when its time is over, or at once when service falls."""
    _order(
        service,
        client(at, certificate, key, authority),
        name,
        DesiredState.DRILL,
        _seconds(over),
        _seconds(empty),
        force,
    )
