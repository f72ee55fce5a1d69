"""`loadbalancer store ...`: make, run and look after the nodes of the replicated store."""

from __future__ import annotations

import json
import logging
import sys
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
import uvloop
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.settings import MalformedError
from loadbalancer.store import run as running
from loadbalancer.store.client import Client
from loadbalancer.store.durable import state_files
from loadbalancer.store.durable.state_directory import STATE
from loadbalancer.store.feed_progress import STATUS_TIMEOUT_S, MemberStatusReader
from loadbalancer.store.security import TlsFiles
from loadbalancer.store.settings import read_store

app = typer.Typer(no_args_is_help=True, help="The replicated store: its nodes, members, copies.")
T = TypeVar("T")

Settings = Annotated[Path, typer.Option("--settings", help="The node's settings, a TOML file.")]
At = Annotated[
    str,
    typer.Option(
        "--at",
        envvar=["LOADBALANCER_STORE", "LANELIFT_STORE"],
        help="Addresses of members, HOST:PORT, with commas between.",
    ),
]
Cert = Annotated[
    Path | None,
    typer.Option(
        "--certificate",
        envvar=["LOADBALANCER_STORE_CERTIFICATE", "LANELIFT_STORE_CERTIFICATE"],
        help="Of this client, PEM.",
    ),
]
Key = Annotated[
    Path | None, typer.Option("--key", envvar=["LOADBALANCER_STORE_KEY", "LANELIFT_STORE_KEY"])
]
Authority = Annotated[
    Path | None,
    typer.Option(
        "--authority", envvar=["LOADBALANCER_STORE_AUTHORITY", "LANELIFT_STORE_AUTHORITY"]
    ),
]
Within = Annotated[float, typer.Option("--within", help="Seconds until it is given up.")]
NAME = Annotated[str, typer.Option(help="Of the node, for people.")]


def addresses(at: str) -> list[str]:
    """Raises MalformedError."""
    found = [a.strip() for a in at.split(",") if a.strip()]
    if not found:
        raise MalformedError("--at: addresses of members are needed, HOST:PORT")
    return found


def client(
    at: str,
    certificate: Path | None,
    key: Path | None,
    authority: Path | None,
    name: str = "loadbalancer command",
    within_s: float = 5.0,
) -> Client:
    """Raises MalformedError."""
    known = addresses(at)
    if not certificate:
        return Client(known, name=name, deadline_s=within_s)
    if not key or not authority:
        raise MalformedError("--key and --authority: both go with --certificate")
    context = TlsFiles(certificate, key, authority).context(False)
    return Client(known, lambda: context, name=name, deadline_s=within_s)


def using(made: Client, work: Callable[[Client], Awaitable[T]]) -> T:
    async def go() -> T:
        try:
            return await work(made)
        finally:
            await made.close()

    return uvloop.run(go())


def number(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise MalformedError(
            f"{text!r} is no node's number: `loadbalancer store status` shows them"
        ) from None


@app.command()
def init(
    settings: Settings,
    name: NAME = "",
    cluster: Annotated[str, typer.Option(help="Its name; drawn where it is not told.")] = "",
) -> None:
    """Make a new cluster of one node, in an empty folder."""
    made = running.init(read_store(settings), cluster, name)
    out.print(
        f"cluster {made.cluster}, node {made.node:x}: run it with"
        f" loadbalancer store run --settings {settings}",
        soft_wrap=True,
    )


@app.command()
def run(settings: Settings) -> None:
    """Run a node until SIGTERM."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    read = read_store(settings)
    sys.setswitchinterval(
        0.0005
    )  # the disk's thread must not wait long for the loop's, when it is done
    why = uvloop.run(
        running.serve(read, lambda r: print(f"listening on port {r.server.port}", flush=True))
    )
    if why:
        print(f"loadbalancer: {why}", file=sys.stderr)
        raise typer.Exit(1)


@app.command()
def join(
    settings: Settings,
    at: At,
    name: NAME = "",
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 10.0,
) -> None:
    """Make a node's folder and have the cluster take it in as a learner; run it, and promote it
    when it has caught up.
    """
    read = read_store(settings)

    async def work(c: Client) -> None:
        status = await c.status()
        made = running.prepare(read, status["cluster"], name)
        try:
            await c.administer("learn", made.node, read.advertise)
        except BaseException:
            out.print(
                f"the folder {read.folder} is made, the cluster has not taken the node in: "
                f"remove it"
                " and try again",
                soft_wrap=True,
            )
            raise
        out.print(
            f"cluster {made.cluster}, node {made.node:x}, a learner: run it with"
            f" loadbalancer store run --settings {settings},"
            f" then loadbalancer store promote {made.node:x}",
            soft_wrap=True,
        )

    using(client(at, certificate, key, authority, within_s=within), work)


def _manage(
    what: str,
    node: str,
    at: str,
    certificate: Path | None,
    key: Path | None,
    authority: Path | None,
    within: float,
) -> None:
    made = client(at, certificate, key, authority, within_s=within)
    out.print(using(made, lambda c: c.administer(what, number(node) if node else 0)))


@app.command()
def promote(
    node: str,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 10.0,
) -> None:
    """Give a learner a vote."""
    _manage("promote", node, at, certificate, key, authority, within)


@app.command()
def remove(
    node: str,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 10.0,
) -> None:
    """Remove a member for good. Its number never returns."""
    _manage("remove", node, at, certificate, key, authority, within)


@app.command()
def transfer(
    node: str,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 10.0,
) -> None:
    """Hand leadership to this voter."""
    _manage("transfer", node, at, certificate, key, authority, within)


@app.command()
def snapshot(
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 60.0,
) -> None:
    """Have the node make the snapshot that it sends to members far behind, now."""
    _manage("snapshot", "", at, certificate, key, authority, within)


@app.command()
def status(
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 5.0,
    as_json: Annotated[bool, typer.Option("--json", help="All of it, for programs.")] = False,
) -> None:
    """What each member says of itself, and who leads."""
    members = MemberStatusReader(
        addresses(at), lambda address: client(address, certificate, key, authority)
    )

    async def work() -> list[Mapping[str, Any]]:
        try:
            return await members.statuses(min(within, STATUS_TIMEOUT_S))
        finally:
            await members.close()

    found = uvloop.run(work())
    if as_json:
        print(json.dumps(found, indent=1))
    else:
        show(found)
    if all("trouble" in s for s in found):
        raise typer.Exit(1)


def show(found: list[Mapping[str, Any]]) -> None:
    clusters = sorted({s["cluster"] for s in found if "cluster" in s})
    table = Table(title=f"cluster {', '.join(clusters) or 'unknown'}")
    for column in (
        "node",
        "name",
        "address",
        "role",
        "term",
        "last",
        "commit",
        "applied",
        "lag",
        "sync p50 ms",
        "sync p99 ms",
        "trouble",
    ):
        table.add_column(
            column,
            justify="left" if column in ("node", "name", "trouble") else "right",
            no_wrap=column in ("node", "address"),
        )
    lags = {
        m["node"]: m["lag"] for s in found for m in s.get("members", ()) if m["lag"] is not None
    }
    for s in found:
        if "trouble" in s:
            table.add_row("?", "", s["address"], *[""] * 8, s["trouble"])
            continue
        me = next((m for m in s["members"] if m["here"]), None)
        troubles = [
            t
            for t in (
                "removed" if s["removed"] else "",
                f"no leader for {s['leaderless_ms']} ms" if not s["leader"] else "",
                f"disk full for {s['disk_full_s']} s" if s["disk_full_s"] else "",
            )
            if t
        ]
        role = s["role"] if me is None or me["voter"] else "learner"
        lag = lags.get(s["node"])
        table.add_row(
            s["node"],
            s["name"],
            me["address"] if me else "",
            role,
            str(s["term"]),
            str(s["last"]),
            str(s["commit"]),
            str(s["applied"]),
            "" if lag is None else str(lag),
            str(s["sync_p50_ms"]),
            str(s["sync_p99_ms"]),
            "; ".join(troubles),
        )
    out.print(table)


@app.command()
def backup(
    copy: Annotated[Path, typer.Argument(help="Where the copy goes.")],
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    within: Within = 60.0,
) -> None:
    """Copy the state as of one entry, checked, while everything goes on."""
    fresh = copy.with_name(copy.name + ".new")
    try:
        with open(fresh, "wb") as file:
            index, _, size, checksum = using(
                client(at, certificate, key, authority), lambda c: c.read_backup(file.write, within)
            )
        if fresh.stat().st_size != size or state_files.file_checksum(fresh) != checksum:
            raise MalformedError(f"{copy}: it did not come whole: try again")
        fresh.rename(copy)
    finally:
        fresh.unlink(missing_ok=True)
    out.print(f"{copy}: entries up to {index}, {size} bytes")


@app.command()
def restore(
    copy: Annotated[Path, typer.Argument(help="A copy, or the state.db of a stopped node.")],
    settings: Settings,
    name: NAME = "",
    cluster: Annotated[
        str, typer.Option(help="The new cluster's name; drawn where not told.")
    ] = "",
) -> None:
    """Make a new cluster of one node with what a copy holds."""
    made = running.restore(read_store(settings), copy, cluster, name)
    out.print(
        f"cluster {made.cluster}, node {made.node:x}: run it with"
        f" loadbalancer store run --settings {settings}; other nodes join it anew",
        soft_wrap=True,
    )


@app.command()
def verify(
    settings: Annotated[Path | None, typer.Option("--settings", help="Of a stopped node.")] = None,
    copy: Annotated[Path | None, typer.Option("--copy", help="A copy.")] = None,
) -> None:
    """Read all of a folder or a copy, and say what is wrong with it."""
    wrong: list[str] = []
    if settings is not None:
        wrong += running.verify(read_store(settings))
    if copy is not None:
        why = state_files.verify(copy)
        if why:
            wrong.append(f"{copy}: {why}")
        else:
            meta = state_files.describe_snapshot(copy)
            out.print(f"{copy}: entries up to {meta.index}, {meta.size} bytes")
    if settings is None and copy is None:
        raise MalformedError("--settings or --copy: one of them is needed")
    for line in wrong:
        print(f"loadbalancer: {line}", file=sys.stderr)
    if wrong:
        raise typer.Exit(1)
    out.print(f"{'copy' if settings is None else STATE + ' and log'}: good")
