"""`loadbalancer lab size store`: what one node of the store costs."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from loadbalancer.cli.clusters import Keep, folder
from loadbalancer.cli.console import out
from loadbalancer.cli.sizelab import Json_, Plot, Record, give, today
from loadbalancer.daemon.state_sync import StateSync, StateSyncOptions
from loadbalancer.proxy.process import Parts
from loadbalancer.store.client import Client
from loadbalancer.store.durable.watch_events import MAX_EVENTS
from loadbalancer.testbed.size import keepers, sessions, storecommits, storefeed, storenode
from loadbalancer.testbed.size.series import Series
from loadbalancer.testbed.topology import Unusable

DESIGNED_FOR = 2_900  # balancers


@dataclass(frozen=True, slots=True)
class Sizes:
    """What each part is measured at."""

    watchers: tuple[int, ...] = (100, 300, 1000, 2000)
    changes: int = 30
    rest_s: float = 11.0  # two of the words that a watch says at rest
    operations: tuple[int, ...] = (1, 16, 64, 256)
    bytes: tuple[int, ...] = (100, 1_000, 10_000, 100_000)
    writers: tuple[int, ...] = (1, 4, 16, 64, 256)
    names: tuple[int, ...] = (100, 300, 1000, 2900)
    driven_s: float = 4.0
    balancers: tuple[int, ...] = (5, 10, 20, 40)
    watched_s: float = 15.0  # three of the times that a balancer puts what it learnt
    settle_s: float = keepers.SETTLE_S
    rows: tuple[int, ...] = (1_000, 4_000, 16_000, 44_000, 127_000)
    held: tuple[int, ...] = (1_000, 4_000, 16_000, 44_000)  # by a node that begins anew
    missed: tuple[int, ...] = (500, 2_000, 8_000, 16_000, 39_000)
    sessions: tuple[int, ...] = (500, 1_000, 1_500, 2_000, 2_100, 2_900)
    subscribers: tuple[int, ...] = (100, 300, 1000, 2000)
    bookmarks_s: float = 30.0  # two of a node's bookmarks
    upstreams: int = 44_000
    returning: tuple[int, ...] = (40, 100, 200, 400)
    scopes: tuple[int, ...] = (10, 30, 100, 300)


SMALL = Sizes(
    (2, 4, 6, 8),
    2,
    0.2,
    (1, 2, 3, 4),
    (100, 200, 300, 400),
    (1, 2, 3, 4),
    (2, 4, 6, 8),
    0.1,
    (1, 2, 3, 4),
    0.5,
    1.0,
    (100, 200, 300, 400),
    (10, 20, 30, 40),
    (5, 10, 15, 20),
    (5, 10, 15, 20),
    (2, 4, 6, 8),
    0.2,
    200,
    (2, 4, 6, 8),
    (2, 4, 6, 8),
)

Measure = Callable[[Path, Sizes, storenode.Heard], Awaitable[list[Series]]]


def keeper(client: Client, service: str, name: str, parts: Parts) -> StateSync:
    return StateSync(client, parts, StateSyncOptions(service, name, has_site_failover=True))


async def _rest(where: Path, s: Sizes, heard: storenode.Heard) -> list[Series]:
    return [
        series
        for apart in (False, True)
        for series in await keepers.at_rest(
            where, keeper, s.balancers, apart, s.watched_s, heard, s.settle_s
        )
    ]


async def _sessions(where: Path, s: Sizes, heard: storenode.Heard) -> list[Series]:
    return sessions.sessions(where, s.sessions, heard)


PARTS: dict[str, Measure] = {
    "watch": lambda where, s, heard: storenode.watch(where, s.watchers, s.changes, s.rest_s, heard),
    "elsewhere": lambda where, s, heard: storenode.elsewhere(
        where, s.watchers, 10 * s.changes, heard
    ),
    "rows": lambda where, s, heard: storenode.rows(where, s.rows, heard),
    "commits": lambda where, s, heard: storecommits.commits(
        where, s.operations, s.bytes, s.writers, s.driven_s, heard
    ),
    "claims": lambda where, s, heard: storecommits.claims(where, s.names, s.driven_s, heard),
    "catchup": lambda where, s, heard: storecommits.catch_up(where, s.held, s.missed, heard),
    "rest": _rest,
    "sessions": _sessions,
    "feed": lambda where, s, heard: storefeed.hearing(
        where, s.subscribers, s.changes, s.bookmarks_s, s.rest_s, s.upstreams, heard
    ),
    "feed-rows": lambda where, s, heard: storefeed.held_rows(where, s.rows, heard),
    "feed-return": lambda where, s, heard: storefeed.returning(
        where, s.returning, s.scopes, s.upstreams, heard
    ),
}


def figures(found: list[Series]) -> dict[str, float]:
    """What no line is looked for; and how long the changes that are kept for watchers last where as
    many balancers as designed for are at rest.
    """
    told = {name: y for s in found if not s.line for name, y in s.figures().items()}
    for s in found:
        if s.name.startswith("store.rest.") and s.name.endswith("_changes"):
            told[f"{s.name}, seconds of changes kept at {DESIGNED_FOR} balancers"] = (
                MAX_EVENTS / max(1e-9, s.slope("", "").at(DESIGNED_FOR).value)
            )
    return told


def store(
    parts: Annotated[str, typer.Option(help="With commas between.")] = ",".join(PARTS),
    small: Annotated[
        bool,
        typer.Option(
            "--small", help="Sizes of some seconds, that show that it runs; nothing to record."
        ),
    ] = False,
    keep: Keep = None,
    json_: Json_ = None,
    plot: Plot = None,
    record: Record = None,
) -> None:
    """What one node of the store needs by watchers, rows, writes, names and balancers: real nodes,
    CPU time of their own.
    """
    chosen = [part.strip() for part in parts.split(",")]
    if unknown := [part for part in chosen if part not in PARTS]:
        raise Unusable(f"--parts: {unknown[0]!r} is none of {', '.join(PARTS)}")
    if small and record is not None:
        raise Unusable("--record: not with --small, whose figures are no slopes of the store")
    found: list[Series] = []
    loads = {"the machine's load average, at the beginning": os.getloadavg()[0]}

    async def measured(where: Path) -> None:
        for part in chosen:
            (where / part).mkdir()
            found.extend(await PARTS[part](where / part, SMALL if small else Sizes(), heard))

    def heard(what: str) -> None:
        out.print(f"[dim]{what}[/dim]", soft_wrap=True)

    with folder(keep) as where:
        uvloop.run(measured(where))
    # What goes where on this machine tells nobody how to measure it again.
    said, day = f"loadbalancer lab size store --parts {','.join(chosen)}", today()
    loads["the machine's load average, at the end"] = os.getloadavg()[0]
    give(
        "one node of the store",
        [s.slope(said, day) for s in found if s.line],
        json_,
        plot,
        record,
        {**figures(found), **loads},
    )


def add_to(app: typer.Typer) -> None:
    """The group of sizes gets this verb."""
    app.command("store")(store)
