"""`loadbalancer lease ...`: who owns which work of the fleet."""

from __future__ import annotations

import time
from typing import Annotated

import typer
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.cli.store import At, Authority, Cert, Key, Within, client, using
from loadbalancer.leases import table
from loadbalancer.leases.table import Lease
from loadbalancer.settings import MalformedError
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX, Release
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import unix_ms

app = typer.Typer(no_args_is_help=True, help="Leases: who owns which work of the fleet.")
Name = Annotated[str, typer.Argument(help="Of the lease, as `list` shows it.")]


def _when(ms: int) -> str:
    """By the clock of who asked: shown, never decided by."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(ms / 1000)) if ms else ""


def _lease(row: Row) -> Lease:
    """Raises MalformedError."""
    try:
        return table.unpack(row.value or b"")
    except ValueError as error:
        raise MalformedError(f"{row.key}: it does not read: {error}") from None


def _holder(lease: Lease) -> str:
    if not lease.holder:
        return "nobody"
    return f"{lease.holder}{' (offered, not taken yet)' if lease.is_offered else ''}"


@app.command("list")
def list_(at: At, certificate: Cert = None, key: Key = None, authority: Authority = None) -> None:
    """All leases, their owners and who waits."""
    found = using(client(at, certificate, key, authority), lambda c: c.scan(LEASE_PREFIX))
    rows = Table()
    for column in ("lease", "owner", "token", "since", "time", "waiting", "refused"):
        rows.add_column(column)
    for row in found.rows:
        lease = _lease(row)
        rows.add_row(
            lease.name,
            _holder(lease),
            table.format_token(lease.token),
            _when(lease.since_ms),
            f"{lease.ttl_ms / 1000:g} s",
            str(len(lease.candidates)),
            str(lease.rejected_writes),
        )
    out.print(rows)


@app.command()
def show(
    name: Name, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """One lease, with its candidates in their order."""
    row = using(client(at, certificate, key, authority), lambda c: c.get(LEASE_PREFIX + name)).rows[
        0
    ]
    if row.value is None:
        raise MalformedError(f"{name}: nobody ever asked for it")
    lease = _lease(row)
    out.print(
        f"{name}: {_holder(lease)}{f', {lease.note}' if lease.note else ''}\n"
        f"token {table.format_token(lease.token)}, since {_when(lease.since_ms)}, renewed within"
        f" {lease.ttl_ms / 1000:g} s; {lease.rejected_writes} writes refused"
        " that bore another token",
        soft_wrap=True,
    )
    for place, who in enumerate(lease.candidates, 1):
        out.print(f"  {place}. {who.holder}, rank {who.rank}, {who.note}", soft_wrap=True)


@app.command()
def release(
    name: Name,
    at: At,
    within: Within = 5.0,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Take a lease from its owner. It stops at its next look at the store, within the lease's time
    at the latest; what it still writes is refused at once.
    """

    async def work(c: Client) -> str:
        row = (await c.get(LEASE_PREFIX + name)).rows[0]
        lease = _lease(row) if row.value is not None else Lease(name)
        if not lease.holder:
            return f"{name}: nobody holds it"
        done = await c.release(Release(name, lease.claim, lease.token, unix_ms()), within)
        taken = f"taken from {lease.holder}, token {table.format_token(lease.token)}"
        return f"{name}: {done.text or taken}"

    out.print(using(client(at, certificate, key, authority, within_s=within), work), soft_wrap=True)


@app.command()
def history(
    name: Name,
    at: At,
    most: int = 20,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Who had it, newest first."""
    found = using(
        client(at, certificate, key, authority), lambda c: c.history(LEASE_PREFIX + name, most)
    )
    for row in found.rows:
        if row.value is None:
            continue
        lease = _lease(row)
        out.print(
            f"{_when(row.time_ms) or 'its time was over'}  token {table.format_token(lease.token)}"
            f"  {_holder(lease)}, {len(lease.candidates)} waiting",
            soft_wrap=True,
        )
