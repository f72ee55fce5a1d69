"""The operators' settings: a TOML file that stands in for the platform's JSON. Unknown keys,
missing units and contradictions are one-line errors that name the file and the key.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from loadbalancer.__main__ import MEMORY_MB, SOCKETS, Config
from loadbalancer.proxy.discovery import read_list
from loadbalancer.proxy.resource_limits import RESERVE
from loadbalancer.settings import Json, Malformed, read_settings, split_address, write_class
from loadbalancer.units import Duration, PerSecond, Size, convert, read_toml, repeated

MS = 1_000_000
LEAST_MEMORY = 32 << 20


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


class Class(Part, frozen=True):
    name: str
    aim: Duration
    deadline: Duration
    effect: Literal["safe", "unsafe"] = "unsafe"
    worth: float = 1.0


class Tenant(Part, frozen=True):
    name: str
    share: float
    quota: PerSecond = PerSecond(0)


class Server(Part, frozen=True):
    """An upstream of a fixed list."""

    id: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0


class Retries(Part, frozen=True):
    attempts: int = 3
    second_copies: bool = True
    tell_when_to_return: bool = True
    longest_told: Duration = Duration(1500 * MS)


class Limits(Part, frozen=True):
    descriptors: int = SOCKETS
    memory: Size = Size(MEMORY_MB << 20)
    open_requests: int = 20_000
    connect: Duration = Duration(250 * MS)
    idle_connections: Duration = Duration(15_000 * MS)


class Drains(Part, frozen=True):
    grace: Duration = Duration(500 * MS)
    cold_from: float = 0.3
    cold: Duration = Duration(0)


class File(Part, frozen=True):
    """The whole file."""

    listen: str
    classes: list[Class] = msgspec.field(name="class")
    name: str = "lanelift"
    discovery: str = ""
    ask: bool = True  # discovery is asked, it does not push
    operators: str = ""  # their door
    zone: str = ""
    number: int = 0  # this balancer's, of `of`
    of: int = 1
    seed: int = 0
    state: str = ""  # a folder that outlives the process
    probes: bool = False
    tenants: list[Tenant] = msgspec.field(name="tenant", default_factory=list)
    servers: list[Server] = msgspec.field(name="server", default_factory=list)
    retries: Retries = Retries()
    limits: Limits = Limits()
    drains: Drains = Drains()


def contradictions(f: File) -> str:
    """The first thing that can't be, as `key: why`; empty if there is none."""
    if bool(f.discovery) == bool(f.servers):
        return "discovery and [[server]]: exactly one of the two tells which upstreams there are"
    if not f.classes:
        return "class: at least one is needed"
    for what, names in (
        ("class", [c.name for c in f.classes]),
        ("tenant", [t.name for t in f.tenants]),
        ("server", [s.id for s in f.servers]),
    ):
        twice = repeated(names)
        if twice:
            return f"{what}: {twice} stands there twice"
    for c in f.classes:
        if not 0 < c.aim <= c.deadline:
            return f"class {c.name}: aim must be more than nothing and no longer than deadline"
    for t in f.tenants:
        if t.share <= 0:
            return f"tenant {t.name}: share must be more than nothing"
    if not 0 <= f.number < f.of:
        return "number: must be below of"
    if f.limits.descriptors < 2 * RESERVE:
        return f"limits.descriptors: must be {2 * RESERVE} at least"
    if f.limits.memory < LEAST_MEMORY:
        return "limits.memory: must be 32MiB at least"
    if f.operators and f.operators == f.listen:
        return "operators: must be an address of its own"
    if f.retries.attempts < 1:
        return "retries.attempts: must be 1 at least"
    if not 0 < f.drains.cold_from <= 1:
        return "drains.cold_from: must be over 0 and at most 1"
    return ""


def read_file(path: Path) -> Config:
    """The configuration from the operators' file. Raises Malformed with one line."""
    return read_raw(read_table(path), str(path))


def read_table(path: Path) -> Json:
    """The file as parsed TOML. Raises Malformed with one line."""
    try:
        return read_toml(path)
    except ValueError as error:
        raise Malformed(f"{path}: {error}") from None


def read_raw(raw: Json, where: str) -> Config:
    """The configuration from the operators' settings, parsed TOML; `where` they stand is told in
    errors. Raises Malformed.
    """
    try:
        file = convert(raw, File)
        wrong = contradictions(file)
        if wrong:
            raise Malformed(wrong)
        return config(file)
    except (ValueError, Malformed) as error:
        raise Malformed(f"{where}: {error}") from None


def config(f: File) -> Config:
    fixed: Json | None = None
    if f.servers:
        fixed = {
            "version": 1,
            "full": True,
            "servers": [
                {
                    "id": s.id,
                    "addr": s.address,
                    "zone": s.zone,
                    "kind": s.kind,
                    "cell": s.cell,
                    "state": "Ready",
                }
                for s in f.servers
            ],
        }
        for server in f.servers:
            split_address(server.address)
        if len(read_list(fixed)[2]) != len(f.servers):
            raise Malformed("server: an address must be IP:PORT")
    listen = split_address(f.listen)
    discovery = split_address(f.discovery) if f.discovery else ("", 0)
    return Config(
        listen,
        discovery,
        f.seed,
        f.limits.descriptors,
        read_settings(settings(f)),
        None,
        None,
        [],
        None,
        split_address(f.operators) if f.operators else None,
        f.name,
        f.limits.memory >> 20,
        Path(f.state) if f.state else None,
        fixed,
    )


def settings(f: File) -> Json:
    """The settings object in the platform's form."""
    return {
        "me": f.number,
        "replicas_of_me": f.of,
        "locality": f.zone,
        "registry_mode": "ask" if f.discovery and f.ask else "push",
        "profiles": [
            write_class(c.name, c.effect == "safe", c.aim, c.deadline, c.worth) for c in f.classes
        ],
        "realms": [
            {"name": t.name, "share": t.share, "quota_per_s": float(t.quota)} for t in f.tenants
        ],
        "limits": {
            "send_cap": f.retries.attempts,
            "second_copies": f.retries.second_copies,
            "may_cancel": True,
            "probes": f.probes,
            "retry_after": f.retries.tell_when_to_return,
            "max_retry_after_ns": int(f.retries.longest_told),
            "max_open": f.limits.open_requests,
            "connect_timeout_ns": int(f.limits.connect),
            "conn_idle_ns": int(f.limits.idle_connections),
        },
        "rules": {
            "stop_sending_within_ns": int(f.drains.grace),
            "cold_from": f.drains.cold_from,
            "cold_ns": int(f.drains.cold),
        },
    }
