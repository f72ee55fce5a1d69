"""What one balancer needs, by upstreams, tenants, classes and services: CPU time, memory, bytes.

The decision module is measured in processes of its own (`probe.py`), one for each size and repeat,
so that the program can be the one that the platform runs; figures are medians over the repeats.
"""

from __future__ import annotations

import json
import math
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from loadbalancer.policy import Balancer, api
from loadbalancer.proxy.configuration import Config
from loadbalancer.proxy.endpoint import Endpoint, upstream_number
from loadbalancer.settings import Json
from loadbalancer.testbed.size.fit import LEAST_SIZES, Slope, fit
from loadbalancer.testbed.topology import Unusable

PROBE = Path(__file__).with_name("probe.py")
LEAST_KB = 64.0  # the system counts pages: less than that is no figure
LONGEST_S = 600.0
SERVICE = "service-0001"


class Sizes(NamedTuple):
    """How large everything is made, how often, and for how long requests are played at which
    rate.
    """

    upstreams: Sequence[int] = (16, 64, 256, 1000, 4000, 16_000, 44_000)
    tenants: Sequence[int] = (10, 100, 1000, 4000, 10_000, 30_000, 73_000)
    classes: Sequence[int] = (10, 100, 1000, 2000, 4000, 9900)
    services: Sequence[int] = (1, 4, 16, 64, 256, 1000, 2900)
    pools: Sequence[int] = (1, 2, 4, 8, 16)
    repeats: int = 3
    seconds: float = 10.0
    per_s: float = 86.0


Figures = dict[str, float]
Heard = Callable[[str], None]


class Told(NamedTuple):
    """What is known of a run besides its figures, for the record."""

    command: str
    date: str
    suffix: str = ""  # of slopes' names, where it is not the program as the platform runs it


def probed(program: Path, **asked: Any) -> Figures:
    """One run of the probe beside the program in that folder. Raises Unusable."""
    env = {**os.environ, "PYTHONPATH": str(program)}
    try:
        done = subprocess.run(
            [sys.executable, "-P", str(PROBE), json.dumps(asked)],
            env=env,
            text=True,
            capture_output=True,
            timeout=LONGEST_S,
        )
    except subprocess.TimeoutExpired:
        raise Unusable(
            f"{asked['kind']} {asked['size']}: measuring took over {LONGEST_S:g} s"
        ) from None
    if done.returncode:
        why = (done.stderr.strip().splitlines() or [f"status {done.returncode}"])[-1]
        raise Unusable(f"{asked['kind']} {asked['size']}: measuring broke off: {why}")
    found: Figures = json.loads(done.stdout)
    return found


def medians(runs: Sequence[Figures]) -> Figures:
    return {name: statistics.median(run[name] for run in runs) for name in runs[0]}


class Series:
    """Figures by size, and the slopes through them."""

    def __init__(self, per: str, told: Told) -> None:
        self.per = per
        self.told = told
        self.by_size: dict[int, Figures] = {}

    def slope(
        self, figure: str, name: str, unit: str, part: float = 1.0, least: float = -math.inf
    ) -> list[Slope]:
        """Of this figure times `part`, over the sizes where it is `least` or more; none where that
        leaves too few.
        """
        points = [
            (size, found[figure] * part)
            for size, found in self.by_size.items()
            if found[figure] >= least
        ]
        if len(points) < min(LEAST_SIZES, len(self.by_size)):
            return []
        return [
            fit(
                points,
                name=f"balancer.{name}{self.told.suffix}",
                unit=unit,
                per=self.per,
                command=self.told.command,
                date=self.told.date,
            )
        ]

    def memory(self, figure: str, name: str) -> list[Slope]:
        return self.slope(figure, name, "MB", 1 / 1024, LEAST_KB)


def measured(
    program: Path,
    sizes: Sequence[int],
    repeats: int,
    told: Told,
    per: str,
    heard: Heard,
    **asked: Any,
) -> Series:
    """A series of the probe; sizes by turns, so that a busy minute of the machine falls on all of
    them.
    """
    runs: dict[int, list[Figures]] = {size: [] for size in sizes}
    for n in range(repeats):
        for size in sizes:
            if n == 0 or len(runs[size]) == n:
                runs[size].append(probed(program, size=size, **asked))
        heard(f"{asked['kind']}: {n + 1} of {repeats}")
    series = Series(per, told)
    series.by_size = {size: medians(found) for size, found in runs.items()}
    return series


def is_compiled(program: Path) -> bool:
    """Is the program in that folder? Raises Unusable where there is none."""
    if not (program / "loadbalancer" / "policy" / "api.py").is_file():
        raise Unusable(f"{program}: no program is there")
    found = probed(program, kind="classes", size=1, seconds=0.2, per_s=86)
    return bool(found["compiled"])


def module(program: Path, sizes: Sizes, told: Told, heard: Heard) -> list[Slope]:
    """The decision module, and what keeps its connections, by upstreams, by tenants, by classes."""
    by = {
        what: measured(
            program,
            counts,
            sizes.repeats,
            told,
            what,
            heard,
            kind=what,
            seconds=sizes.seconds,
            per_s=sizes.per_s,
        )
        for what, counts in (
            ("upstreams", sizes.upstreams),
            ("tenants", sizes.tenants),
            ("classes", sizes.classes),
        )
    }
    lists, tenants, classes = by["upstreams"], by["tenants"], by["classes"]
    return [
        *lists.slope("list_first", "list.first", "ms", 1e-3),
        *lists.slope("list_whole", "list.whole", "ms", 1e-3),
        *lists.slope("change", "list.change", "ms", 1e-3),
        *lists.memory("list_kb", "list.memory"),
        *lists.slope("targets_whole", "targets.whole", "ms", 1e-3),
        *lists.memory("endpoints_kb", "endpoints.memory"),
        *lists.memory("targets_kb", "targets.memory"),
        *lists.slope("event", "event.by-upstreams", "us"),
        *lists.slope("request", "request.by-upstreams", "us"),
        *lists.slope("worst_event", "worst-event.by-upstreams", "ms", 1e-3),
        *tenants.memory("kb", "tenants.memory"),
        *tenants.slope("event", "event.by-tenants", "us"),
        *tenants.slope("request", "request.by-tenants", "us"),
        *tenants.slope("second", "second.by-tenants", "ms", 1e-3),
        *tenants.slope("worst_event", "worst-event.by-tenants", "ms", 1e-3),
        *classes.memory("kb", "classes.memory"),
        *classes.slope("event", "event.by-classes", "us"),
        *classes.slope("worst_event", "worst-event.by-classes", "ms", 1e-3),
    ]


def pools(program: Path, sizes: Sizes, told: Told, heard: Heard) -> list[Slope]:
    """A change of one among 1,000 upstreams, by the sets of zones that classes are open to."""
    runs = Series("pools", told)
    for count in sizes.pools:
        runs.by_size[count] = medians(
            [
                probed(
                    program,
                    kind="upstreams",
                    size=1000,
                    seconds=1.0,
                    per_s=sizes.per_s,
                    classes=count,
                    pools=count,
                )
                for _ in range(sizes.repeats)
            ]
        )
    heard("pools")
    return runs.slope("change", "list.change.by-pools", "ms", 1e-3)


FLEETS = 1, 5, 40, 200  # balancers that share the upstreams


def fleets(program: Path, sizes: Sizes, told: Told, heard: Heard) -> list[Slope]:
    """By upstreams, for one of so many balancers: an event where each request has a key of its own,
    a change of one upstream, and how many upstreams are sent to.
    """
    slopes: list[Slope] = []
    for balancers in FLEETS:
        series = measured(
            program,
            sizes.upstreams,
            sizes.repeats,
            told,
            "upstreams",
            heard,
            kind="upstreams",
            seconds=sizes.seconds,
            per_s=sizes.per_s,
            balancers=balancers,
            keys=True,
        )
        of = f"of-{balancers}"
        slopes += [
            *series.slope("event", f"event.by-upstreams.{of}", "us"),
            *series.slope("change", f"list.change.{of}", "us"),
            *series.slope("met", f"upstreams-met.{of}", "1"),
        ]
    return slopes


def services(program: Path, sizes: Sizes, told: Told, heard: Heard) -> list[Slope]:
    """One process with a module for each of so many services of skewed size."""
    found = measured(
        program,
        sizes.services,
        sizes.repeats,
        told,
        "services",
        heard,
        kind="services",
        seconds=sizes.seconds,
        per_s=sizes.per_s,
    )
    return [
        *found.memory("kb", "services.memory"),
        *found.slope("start", "services.start", "ms", 1e-3),
        *found.slope("second", "second.by-services", "ms", 1e-3),
        *found.slope("event", "event.by-services", "us"),
        *found.slope("worst_event", "worst-event.by-services", "ms", 1e-3),
    ]


# ---- documents: settings, and the list as it is stored -------------------------------------------


def spent_ms(work: Callable[[], object], repeats: int) -> float:
    """CPU time of this thread, the middle one."""
    times = []
    for _ in range(repeats):
        began = time.thread_time_ns()
        work()
        times.append((time.thread_time_ns() - began) / 1e6)
    return statistics.median(times)


def document(tenants: int, classes: int) -> Json:
    """Operators' settings with so many; names as long as theirs."""
    return {
        "listen": "127.0.0.1:8080",
        "name": "balancer-0001",
        "discovery": "127.0.0.1:8500",
        "class": [
            {"name": f"route-{i:05d}", "aim": "250ms", "deadline": "2s", "effect": "safe"}
            for i in range(classes)
        ],
        "tenant": [
            {"name": f"tenant-{i:06d}", "share": 1.0, "quota": "340/s"} for i in range(tenants)
        ],
    }


def toml(found: Json) -> str:
    """As an operator would write it, a line a key."""
    lines = [
        f"{key} = {json.dumps(value)}"
        for key, value in found.items()
        if not isinstance(value, list)
    ]
    for table in ("class", "tenant"):
        for row in found[table]:
            lines += [
                "",
                f"[[{table}]]",
                *(f"{key} = {json.dumps(value)}" for key, value in row.items()),
            ]
    return "\n".join(lines) + "\n"


class Reading(NamedTuple):
    """How the program reads operators' settings."""

    parse: Callable[[str], Json]
    check: Callable[[Json], Config]


def settings(reading: Reading, sizes: Sizes, told: Told, heard: Heard) -> list[Slope]:
    """Settings as one document, by tenants and by classes, which stand in for routes: there are
    none yet.
    """
    slopes: list[Slope] = []
    for what, counts in (("tenants", sizes.tenants), ("classes", sizes.classes)):
        series = Series(what, told)
        for count in counts:
            raw = document(count if what == "tenants" else 10, count if what == "classes" else 1)
            as_toml, as_json = toml(raw), msgspec.json.encode(raw)
            checked = reading.check(raw)
            series.by_size[count] = {
                "toml": len(as_toml),
                "json": len(as_json),
                "parse": spent_ms(lambda: reading.parse(as_toml), sizes.repeats),  # noqa: B023
                "parse_json": spent_ms(lambda: msgspec.json.decode(as_json), sizes.repeats),  # noqa: B023
                "check": spent_ms(lambda: reading.check(raw), sizes.repeats),  # noqa: B023
                "build": spent_ms(lambda: Balancer(checked.settings, 7, 1), sizes.repeats),  # noqa: B023
            }
        heard(f"settings by {what}")
        slopes += [
            *series.slope("toml", f"settings.toml.by-{what}", "B"),
            *series.slope("json", f"settings.json.by-{what}", "B"),
            *series.slope("parse", f"settings.toml.parse.by-{what}", "ms"),
            *series.slope("parse_json", f"settings.json.parse.by-{what}", "ms"),
            *series.slope("check", f"settings.check.by-{what}", "ms"),
            *series.slope("build", f"settings.module.by-{what}", "ms"),
        ]
    return slopes


class Storing(NamedTuple):
    """How the program puts a list into the store, and takes it out."""

    encode: Callable[[list[Endpoint]], bytes]
    decode: Callable[[bytes], list[Endpoint]]


# An upstream as a row of its own: id, host, port, zone, kind, cell, weight, start in Unix ms,
# draining.
Row = tuple[int, str, int, str, str, int, float, int, bool]


def endpoints(count: int) -> list[Endpoint]:
    return [
        Endpoint(
            api.Upstream(
                upstream_number(f"{SERVICE}-{i}"),
                api.UpstreamState.READY,
                f"region-{i % 8}-zone-{i % 20}",
                i // 3,
                1.0,
                1 + i,
                "standard-8",
            ),
            f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}",
            8080,
            1_796_000_000_000 + i,
        )
        for i in range(count)
    ]


def stored(storing: Storing, sizes: Sizes, told: Told, heard: Heard) -> list[Slope]:
    """A list as it is stored and sent: one document, and a row for each upstream with its key."""
    series = Series("upstreams", told)
    of_row = msgspec.msgpack.Decoder(Row)
    to_row = msgspec.msgpack.Encoder()
    for count in sizes.upstreams:
        listed = endpoints(count)
        whole = storing.encode(listed)
        rows: list[Row] = [
            (
                e.entry.id,
                e.host,
                e.port,
                e.entry.zone,
                e.entry.kind,
                e.entry.cell,
                e.entry.weight,
                1_796_000_000_000 + i,
                False,
            )
            for i, e in enumerate(listed)
        ]
        values = [to_row.encode(row) for row in rows]
        keys = [f"feed/service:{SERVICE}/upstream/{row[0]:016x}" for row in rows]
        series.by_size[count] = {
            "json": len(whole),
            "rows": sum(map(len, values)) + sum(map(len, keys)),
            "encode": spent_ms(lambda: storing.encode(listed), sizes.repeats),  # noqa: B023
            "decode": spent_ms(lambda: storing.decode(whole), sizes.repeats),  # noqa: B023
            "rows_encode": spent_ms(lambda: [to_row.encode(r) for r in rows], sizes.repeats),  # noqa: B023
            "rows_decode": spent_ms(lambda: [of_row.decode(v) for v in values], sizes.repeats),  # noqa: B023
        }
    heard("the list as it is stored")
    return [
        *series.slope("json", "stored.list", "B"),
        *series.slope("rows", "stored.rows", "B"),
        *series.slope("encode", "stored.list.encode", "ms"),
        *series.slope("decode", "stored.list.decode", "ms"),
        *series.slope("rows_encode", "stored.rows.encode", "ms"),
        *series.slope("rows_decode", "stored.rows.decode", "ms"),
    ]
