"""`loadbalancer roll ...`: boxes taken out for a restart, a few at a time, by one owner for all
balancers.
"""

from __future__ import annotations

import getpass
import uuid
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Annotated

import msgspec
import typer
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.cli.store import At, Authority, Cert, Key, client, using
from loadbalancer.daemon.persisted import decode_row
from loadbalancer.daemon.rolling_restart import explain_wait, find_error
from loadbalancer.daemon.rolling_restart_reader import (
    RollingRestartKeys,
    RollingRestartReader,
)
from loadbalancer.daemon.rolling_restart_state import (
    UNKNOWN_RATIO,
    Phase,
    RollingRestart,
    State,
    UpstreamRestart,
)
from loadbalancer.leases import table
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.settings import MalformedError
from loadbalancer.store.client import Client
from loadbalancer.store.errors import ConflictError
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.wallclock import unix_ms

app = typer.Typer(no_args_is_help=True, help="Take boxes out for a restart, a few at a time.")
Service = Annotated[
    str,
    typer.Option(
        envvar=["LOADBALANCER_SERVICE", "LANELIFT_SERVICE"], help="As in the balancers' [store]."
    ),
]


@app.command()
def start(
    service: Service,
    at: At,
    pick: Annotated[list[str], typer.Option(help="Names of boxes, with commas between.")],
    at_once: Annotated[int, typer.Option(help="Boxes out of use at once, at most.")] = 1,
    per_site: Annotated[
        int, typer.Option(help="Of one site, at most; 0: no bound of its own.")
    ] = 0,
    least: Annotated[float, typer.Option(help="Part of all boxes that stays in use.")] = 0.7,
    warm: Annotated[float, typer.Option(help="Seconds until a box that is back is warm.")] = 30.0,
    wait: Annotated[float, typer.Option(help="Seconds that a restart may take.")] = 900.0,
    door: Annotated[
        str,
        typer.Option(
            help="Path at which a quiet box is asked to restart; empty: operators restart it."
        ),
    ] = "",
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Begin a roll; it goes on whatever becomes of this command."""
    names = [name.strip() for part in pick for name in part.split(",") if name.strip()]
    boxes = tuple(UpstreamRestart(name, upstream_number(name)) for name in names)
    by = "unknown"
    with suppress(KeyError, OSError):
        by = getpass.getuser()
    roll = RollingRestart(
        uuid.uuid4().hex[:8],
        boxes,
        at_once,
        per_site,
        least,
        warm,
        wait,
        started_by=by,
        started_ms=unix_ms(),
        restart_path=door,
    )
    why = find_error(roll)
    if why:
        raise MalformedError(why)

    async def work(c: Client) -> str:
        row = (await c.get(RollingRestartKeys(service).restart)).rows[0]
        old = decode_row(row, RollingRestart)
        if old is not None and old.state is not State.ENDED:
            raise MalformedError(
                f"roll {old.id} of {old.started_by} is not over:"
                " `loadbalancer roll status` shows it"
            )
        await c.put(
            RollingRestartKeys(service).restart,
            msgspec.json.encode(roll),
            row.version,
            options=WriteOptions(note=f"begun by {by}"),
        )
        return f"roll {roll.id} of {len(boxes)} boxes has begun"

    out.print(using(client(at, certificate, key, authority), work), soft_wrap=True)


@app.command()
def status(
    service: Service, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """Where it stands, and what holds it up."""

    async def work(c: Client) -> None:
        observation = await RollingRestartReader(c, service).read()
        roll, view = observation.restart, observation.view
        if roll is None:
            out.print("there never was a roll")
            return
        state = roll.state.value + (f": {roll.pause_reason}" if roll.pause_reason else "")
        out.print(
            f"roll {roll.id} by {roll.started_by}: {state};"
            f" {roll.max_unavailable} at once, step {roll.step_count}",
            soft_wrap=True,
        )
        rows = Table()
        for column in ("box", "phase", "for", "listed"):
            rows.add_column(column)
        for box in roll.upstreams:
            listed = view.upstreams.get(box.number)
            rows.add_row(
                box.name,
                box.phase.value,
                f"{(view.now_ms - box.since_ms) / 1000:.0f} s" if box.since_ms else "",
                "no" if listed is None else "ready" if listed.is_ready else "draining",
            )
        out.print(rows)
        why = explain_wait(roll, view)
        if why and roll.state is State.RUNNING:
            out.print(f"waits: {why}", soft_wrap=True)

    using(client(at, certificate, key, authority), work)


def _change(
    service: str, made: Client, change: Callable[[RollingRestart], RollingRestart], note: str
) -> None:
    """An operator's word, merged into what the owner does meanwhile. Raises MalformedError."""

    async def work(c: Client) -> str:
        while True:
            row = (await c.get(RollingRestartKeys(service).restart)).rows[0]
            roll = decode_row(row, RollingRestart)
            if roll is None or roll.state is State.ENDED:
                raise MalformedError("there is no roll under way")
            with suppress(ConflictError):
                await c.put(
                    RollingRestartKeys(service).restart,
                    msgspec.json.encode(change(roll)),
                    row.version,
                    options=WriteOptions(note=note),
                )
                return f"roll {roll.id}: {note}"

    told: Callable[[Client], Awaitable[str]] = work
    out.print(using(made, told), soft_wrap=True)


@app.command()
def pause(
    service: Service, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """Take nothing more out; what is out goes on to its end."""
    _change(
        service,
        client(at, certificate, key, authority),
        lambda r: msgspec.structs.replace(
            r,
            state=State.PAUSED if r.state is State.RUNNING else r.state,
            pause_reason="an operator paused it",
        ),
        "paused",
    )


@app.command()
def resume(
    service: Service, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """Go on after a pause, by an operator or by itself."""
    _change(
        service,
        client(at, certificate, key, authority),
        lambda r: msgspec.structs.replace(
            r,
            state=State.RUNNING if r.state is State.PAUSED else r.state,
            pause_reason="",
            success_ratio=UNKNOWN_RATIO,
        ),
        "goes on",
    )


@app.command()
def abort(
    service: Service, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """Put back what it took out, and end it."""
    _change(
        service,
        client(at, certificate, key, authority),
        lambda r: msgspec.structs.replace(
            r, state=State.ABORTING, pause_reason="an operator aborted it"
        ),
        "aborting",
    )


@app.command()
def forget(
    balancer: Annotated[str, typer.Argument(help="A balancer that is gone for good.")],
    service: Service,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Say that a balancer which is silent will not come back, and has nothing under way."""

    async def work(c: Client) -> str:
        keys = RollingRestartKeys(service)
        report, name = (await c.get(keys.reports + balancer, keys.names + balancer)).rows
        if report.value is None:
            raise MalformedError(f"{balancer}: it never reported")
        if name.value is not None and table.unpack(name.value).is_held:
            raise MalformedError(f"{balancer}: it holds its name, so it is there")
        await c.delete(
            keys.reports + balancer,
            report.version,
            options=WriteOptions(note="forgotten by an operator"),
        )
        return f"{balancer} is forgotten"

    out.print(using(client(at, certificate, key, authority), work), soft_wrap=True)


@app.command()
def restarted(
    box: Annotated[str, typer.Argument(help="Its name.")],
    service: Service,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Say that a box which is quiet was restarted, where no discovery tells it."""

    def change(roll: RollingRestart) -> RollingRestart:
        if not any(b.name == box and b.phase is Phase.DRAINED for b in roll.upstreams):
            raise MalformedError(f"{box}: it is not quiet in this roll")
        return msgspec.structs.replace(
            roll,
            upstreams=tuple(
                msgspec.structs.replace(b, is_confirmed=True) if b.name == box else b
                for b in roll.upstreams
            ),
        )

    _change(service, client(at, certificate, key, authority), change, f"{box} is restarted")
