"""`loadbalancer feed ...`: how far balancers have come with what was written."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import typer
import uvloop
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.cli.store import At, Authority, Cert, Key, addresses, client
from loadbalancer.settings import MalformedError
from loadbalancer.store import feed_progress
from loadbalancer.store.errors import NotInForceError
from loadbalancer.store.feed_progress import MemberStatusReader, Rollout
from loadbalancer.units import duration

app = typer.Typer(no_args_is_help=True, help="The feed: on which balancers a revision is in force.")
T = TypeVar("T")
Despite = Annotated[
    bool, typer.Option("--despite-refusals", help="Rows that are refused are no failure.")
]
Balancers = Annotated[
    int,
    typer.Option(
        "--balancers",
        min=0,
        help="So many must have it; members that do not answer are then no failure.",
    ),
]


def asking(
    at: str,
    certificate: Path | None,
    key: Path | None,
    authority: Path | None,
    work: Callable[[MemberStatusReader], Awaitable[T]],
) -> T:
    """Raises MalformedError."""
    members = MemberStatusReader(
        addresses(at), lambda address: client(address, certificate, key, authority)
    )

    async def go() -> T:
        try:
            return await work(members)
        finally:
            await members.close()

    return uvloop.run(go())


def seconds(text: str) -> float:
    """`4s`, or as for other commands, a number of seconds. Raises MalformedError."""
    try:
        found = float(text) if text.replace(".", "", 1).isdigit() else duration(text) / 1e9
    except ValueError as error:
        raise MalformedError(f"--within: {error}") from None
    if not 0 < found < math.inf:
        raise MalformedError("--within: must be more than 0")
    return found


@app.command()
def status(
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
    revision: Annotated[int, typer.Option(help="0: the newest that a member has applied.")] = 0,
    as_json: Annotated[bool, typer.Option("--json", help="All of it, for programs.")] = False,
) -> None:
    """On how many balancers a revision is in force, who lags and by how much, and what is
    refused.
    """
    found = asking(at, certificate, key, authority, MemberStatusReader.statuses)
    if all("trouble" in s for s in found):
        raise NotInForceError("; ".join(f"{s['address']}: {s['trouble']}" for s in found))
    total = feed_progress.aggregate_reports(found, revision or None)
    if as_json:
        print(
            msgspec.json.format(
                msgspec.json.encode(
                    {
                        "rollout": total,
                        "members": [
                            {
                                name: s.get(name)
                                for name in ("node", "address", "applied", "feed", "trouble")
                            }
                            for s in found
                        ],
                    }
                ),
                indent=1,
            ).decode()
        )
    else:
        show(found, total)


def show(found: list[Mapping[str, Any]], total: Rollout) -> None:
    table = Table()
    for column in (
        "node",
        "address",
        "revision",
        "balancers",
        "furthest behind",
        "parked",
        "waiting",
        "snapshots",
        "resumes",
        "later",
        "sent MB",
        "refusals",
        "trouble",
    ):
        table.add_column(
            column, justify="left" if column in ("node", "address", "trouble") else "right"
        )
    for s in found:
        if "trouble" in s:
            table.add_row("?", s["address"], *[""] * 10, s["trouble"])
            continue
        feed, here = s["feed"], next((m["address"] for m in s["members"] if m["here"]), "")
        if feed is None:
            table.add_row(
                s["node"], here, str(s["applied"]), "0", *[""] * 8, "no rows, and nobody asked"
            )
            continue
        table.add_row(
            s["node"],
            here,
            str(feed["revision"]),
            str(feed["subscribers"]),
            str(feed["reached"][0][0]) if feed["reached"] else "",
            *(str(feed[name]) for name in ("parked", "waiting", "snapshots", "resumes", "later")),
            f"{feed['sent_bytes'] / 1e6:.1f}",
            str(feed["refusals"]),
            "",
        )
    out.print(table)
    out.print(
        f"revision {total.revision} is in force on {total.in_force} of {total.balancers} balancers",
        soft_wrap=True,
    )
    for one in total.lagging:
        out.print(
            f"  {one.name} at {one.node}: revision {one.revision}, {one.since_ms / 1000:.1f} s "
            f"behind",
            soft_wrap=True,
        )
    for line in (*total.lagging_nodes, *total.unreachable):
        out.print(f"  {line}", soft_wrap=True)
    if total.rejected_count:
        out.print(
            f"{total.rejected_count} rows are refused, and what was good before stands:",
            soft_wrap=True,
        )
    for row in total.rejected:
        out.print(
            f"  {row.name}: {row.refusal.scope} {row.refusal.key} at version {row.refusal.version}:"
            f" {row.refusal.reason}",
            soft_wrap=True,
        )


@app.command()
def wait(
    revision: Annotated[int, typer.Argument(help="As the write told it.", min=1)],
    at: At,
    within: Annotated[str, typer.Option("--within", help="Then it has failed: 4s, 500ms.")] = "4s",
    balancers: Balancers = 0,
    despite_refusals: Despite = False,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Until a revision is in force on all balancers; fails in one line that names who lags."""
    within_s = seconds(within)
    done, took_s = asking(
        at,
        certificate,
        key,
        authority,
        lambda members: feed_progress.wait(
            members, feed_progress.RolloutGoal(revision, within_s, balancers, despite_refusals)
        ),
    )
    out.print(
        f"revision {revision} is in force on {done.in_force} balancers, after {took_s:.2f} s",
        soft_wrap=True,
    )
