"""A topology: what a lab run is made of, read from TOML. Unknown keys, missing units and
contradictions are one-line errors that name the file and the key.

A figure given as a range is drawn from it, by the run's seed: one file stands for many days.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any, Literal

import msgspec

from loadbalancer.policy import api
from loadbalancer.settings import Json, write_class
from loadbalancer.units import (
    Duration,
    Numbers,
    PerSecond,
    Times,
    convert,
    duration,
    first_duplicate,
    format_duration,
)

MS = 1_000_000
SEND_CAP, COPIES = 4, 2  # attempts of a request in all, and at once


class Unusable(Exception):
    """A file that can't be used: one line that says where and why."""


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file: unknown keys are errors."""


class Machine(Part, frozen=True):
    """A kind of box. `speed` is against the yardstick that work is measured on."""

    name: str
    share: float = 1.0
    cores: int = 2
    speed: Numbers = Numbers(1.0, 1.0)
    queue: Numbers = Numbers(3, 7)  # requests that may wait, over those in work
    crowd_slows: Numbers = Numbers(0.15, 0.45)  # speed lost while more than `crowd_at` are held
    crowd_at: Numbers = Numbers(5.5, 8.8)
    choke_at: Numbers = Numbers(4, 7)  # held for `choke_after`, it turns slower by `choke`
    choke_after: Times = Times(1500 * MS, 2500 * MS)
    choke: Numbers = Numbers(2, 3.4)
    choke_rest: Times = Times(
        2800 * MS, 4800 * MS
    )  # below a quarter of its cores busy for this long
    choke_most: Times = Times(16_000 * MS, 28_000 * MS)
    cold_from: Numbers = Numbers(0.3, 0.6)
    cold: Times = Times(3400 * MS, 8900 * MS)
    errors: Numbers = Numbers(0, 0.003)


class Fleet(Part, frozen=True):
    machines: list[Machine]
    boxes: int = 13
    cell: int = 4  # boxes that share which keys they have met
    key_gain: Numbers = Numbers(0.28, 0.68)  # work saved on a key that is remembered
    key_memory: Times = Times(2100 * MS, 12_000 * MS)
    keys_per_core: Numbers = Numbers(12, 23)
    handshake_work: Times = Times(550_000, 3 * MS)
    handshake_rtts: int = 2
    connections: int = 1200  # that one box holds
    connect_timeout: Duration = Duration(100 * MS)
    idle: Duration = Duration(30_000 * MS)
    probe_work: Times = Times(87_000, 170_000)
    report_every: Times = Times(440 * MS, 1200 * MS)
    report_late: Times = Times(99 * MS, 450 * MS)
    report_noise: Numbers = Numbers(0.004, 0.075)


class Network(Part, frozen=True):
    zones: list[str]
    same: Times = Times(160_000, 310_000)  # one way
    cross: Times = Times(700_000, 1_300_000)
    client: Times = Times(250_000, 1_100_000)
    jitter: float = 0.2


class Discovery(Part, frozen=True):
    mode: Literal["ask", "push"] = "ask"
    notice: Times = Times(1100 * MS, 3900 * MS)  # until what drains, restarts or goes is listed so
    added: Times = Times(420 * MS, 1800 * MS)
    service: Duration = Duration(2 * MS)  # of one call; calls wait in turn
    patience: Duration = Duration(1000 * MS)  # a call that would wait longer fails
    ask_within: Duration = Duration(10_000 * MS)


class Balancers(Part, frozen=True):
    count: int = 4
    tick: Duration = Duration(2 * MS)  # virtual time: events are handed over together so often
    notice: Times = Times(
        800 * MS, 3700 * MS
    )  # the front goes on sending to a dead one for this long
    restart: Times = Times(300 * MS, 1400 * MS)  # a killed one comes back after this
    unequal: float = 1.0  # virtual time: what the busiest gets, against the least busy


class Class(Part, frozen=True):
    name: str
    share: float
    work: Times
    aim: Duration
    deadline: Duration
    effect: Literal["safe", "unsafe"] = "unsafe"
    worth: float = 1.0
    spread: Numbers = Numbers(0.9, 1.3)  # coefficient of variation of the work


class Tenant(Part, frozen=True):
    name: str
    share: float
    usage: Numbers = Numbers(0.55, 1.2)  # of its share, before all are scaled to the load


class Clients(Part, frozen=True):
    rate: PerSecond = PerSecond(340)
    load: float = 0.0  # in place of `rate`: part of what the fleet can do without remembered keys
    swing: float = 0.0  # the rate rises and falls by this part over a run
    keys: Numbers = Numbers(330, 870)
    key_skew: Numbers = Numbers(0.55, 0.95)  # exponent of Zipf's law
    retries: Numbers = Numbers(1, 2)
    try_part: Numbers = Numbers(0.4, 0.8)  # of its class's deadline that one try may take
    backoff: Times = Times(10 * MS, 77 * MS)  # doubles
    honour: Numbers = Numbers(0.08, 0.44)  # part of clients that stay away as long as told
    impatient: float = 0.0  # part of tries whose client leaves early
    over_share_worth: float = 0.2
    quota_of_capacity: float = 0.85
    new_connections: float = 0.0  # sockets: part of requests that come on a connection of their own


class Rules(Part, frozen=True):
    drain_grace: Duration = Duration(500 * MS)
    fall_multiple: float = 3.0
    overload_for: Duration = Duration(1500 * MS)
    answer_grace: Duration = Duration(20 * MS)


class Goal(Part, frozen=True):
    whole: float = 0.5
    worst_window: float = 0.1
    worst_class: float = 0.3
    worst_tenant: float = 0.1
    window: Duration = Duration(10_000 * MS)
    waste: float = 0.2
    cross_zone: float = 0.029
    probe: float = 0.01
    late_fail: float = 0.03


FaultKind = Literal[
    "slow",
    "errors",
    "partition",
    "kill",
    "restart",
    "rolling_restart",
    "drain",
    "kill_balancers",
    "rolling_balancers",
    "late_reports",
    "list_down",
    "list_flap",
    "surge",
    "heavy_tail",
    "spoilt",
    "unfinished",
]
ON_BOXES = frozenset(
    {"slow", "errors", "partition", "kill", "restart", "rolling_restart", "drain", "spoilt"}
)
ON_BALANCERS = frozenset({"kill_balancers", "rolling_balancers"})


class Fault(Part, frozen=True):
    """Something that goes wrong. Which boxes or balancers it meets is drawn by the run's seed,
    unless named.

    `size`: slow: times slower; errors, spoilt: the part that fails; surge: times the rate;
    heavy_tail: times the work of a share `part` of one class; late_reports: seconds; rolling_*: how
    many at a time, as a part.
    """

    kind: FaultKind
    at: Duration
    lasts: Duration = Duration(10_000 * MS)
    part: float = 0.1
    size: float = 1.0
    only: list[int] = []  # these, in place of a part
    tenant: str = ""  # surge: of this one alone
    class_: str = msgspec.field(default="", name="class")


class Topology(Part, frozen=True):
    name: str
    length: Duration
    network: Network
    fleet: Fleet
    classes: list[Class] = msgspec.field(name="class")
    tenants: list[Tenant] = msgspec.field(name="tenant", default_factory=list)
    discovery: Discovery = Discovery()
    balancers: Balancers = Balancers()
    clients: Clients = Clients()
    rules: Rules = Rules()
    goal: Goal = Goal()
    faults: list[Fault] = msgspec.field(name="fault", default_factory=list)
    chance: int = 0  # faults drawn by the seed, over those of the file

    @property
    def slow_start_ns(self) -> int:
        longest: int = max(m.cold.high for m in self.fleet.machines)
        return longest

    @property
    def slow_start_capacity(self) -> float:
        least: float = min(m.cold_from.low for m in self.fleet.machines)
        return least


def contradictions(t: Topology) -> str:
    """The first thing in a topology that can't be, as `key: why`; empty if there is none."""
    names = {c.name for c in t.classes}
    counts = (
        ("fleet.boxes", t.fleet.boxes),
        ("balancers.count", t.balancers.count),
        ("length", t.length),
        ("fleet.cell", t.fleet.cell),
        ("balancers.tick", t.balancers.tick),
    )
    for key, value in counts:
        if value < 1:
            return f"{key}: must be more than nothing"
    if not t.classes or not t.fleet.machines or not t.network.zones:
        return "class, fleet.machines and network.zones: at least one of each"
    for what, listed in (
        ("class", t.classes),
        ("tenant", t.tenants),
        ("fleet.machines", t.fleet.machines),
    ):
        twice = first_duplicate(entry.name for entry in listed)
        if twice:
            return f"{what}: {twice} stands there twice"
        if listed and sum(entry.share for entry in listed) <= 0:
            return f"{what}: the shares add up to nothing"
    if t.balancers.unequal < 1:
        return "balancers.unequal: must be 1 at least"
    for c in t.classes:
        if c.aim > c.deadline:
            return f"class {c.name}: aim is longer than deadline"
    for i, fault in enumerate(t.faults):
        where = f"fault {i + 1} ({fault.kind})"
        if fault.at >= t.length:
            return f"{where}: at lies behind the end of the run"
        if not 0 < fault.part <= 1:
            return f"{where}: part must be over 0 and at most 1"
        limit = t.fleet.boxes if fault.kind in ON_BOXES else t.balancers.count
        if any(not 0 <= n < limit for n in fault.only):
            return f"{where}: only names what is not there"
        if fault.class_ and fault.class_ not in names:
            return f"{where}: no class {fault.class_}"
        if fault.tenant and fault.tenant not in {tenant.name for tenant in t.tenants}:
            return f"{where}: no tenant {fault.tenant}"
        if fault.kind in ("slow", "surge", "heavy_tail") and fault.size <= 1:
            return f"{where}: size must be over 1"
    return ""


def read(raw: Any, where: str) -> Topology:
    """A topology from parsed TOML or JSON. Raises Unusable with one line."""
    try:
        topology = convert(raw, Topology)
    except ValueError as error:
        raise Unusable(f"{where}: {error}") from None
    wrong = contradictions(topology)
    if wrong:
        raise Unusable(f"{where}: {wrong}")
    return topology


def bundled() -> list[str]:
    """The topologies that come with the package."""
    return sorted(
        entry.name.removesuffix(".toml")
        for entry in resources.files("loadbalancer.testbed").joinpath("worlds").iterdir()
        if entry.name.endswith(".toml")
    )


def load(name: str, changes: list[str] | None = None) -> Topology:
    """A topology by the path of its file, or by the name of one that comes with the package.
    `changes` are `key=value` with dotted keys and TOML values, put in place of what the file
    says.
    """
    path = Path(name)
    if name in bundled():
        text = (
            resources.files("loadbalancer.testbed")
            .joinpath("worlds", f"{name}.toml")
            .read_text(encoding="utf-8")
        )
    else:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, ValueError) as error:
            why = getattr(error, "strerror", None) or error
            raise Unusable(f"{name}: {why}; bundled are {', '.join(bundled())}") from None
    try:
        raw = tomllib.loads(text)
        for change in changes or []:
            _change(raw, change)
    except (tomllib.TOMLDecodeError, ValueError) as error:
        raise Unusable(f"{name}: {error}") from None
    return read(raw, name)


def _change(raw: Json, change: str) -> None:
    key, equals, value = change.partition("=")
    if not equals:
        raise ValueError(f"{change!r} is not KEY=VALUE")
    try:
        parsed = tomllib.loads(f"v = {value}")["v"]
    except tomllib.TOMLDecodeError:
        parsed = value
    *path, last = key.strip().split(".")
    table = raw
    for name in path:
        table = table.setdefault(name, {})
        if not isinstance(table, dict):
            raise ValueError(f"{key}: {name} is no table")
    table[last] = parsed


def source(part: Any) -> Any:
    """A topology, or a part of it, as plain data that `read` reads back to the same."""
    match part:
        case Part():
            found = {
                f.encode_name: source(getattr(part, f.name)) for f in msgspec.structs.fields(part)
            }
            # What stands at nothing is left out: a list of faults stays readable.
            return {key: value for key, value in found.items() if value != [] and value != ""}
        case Duration():
            return format_duration(part)
        case PerSecond():
            return f"{float(part)!r}/s"
        case Times():
            return [format_duration(part.low), format_duration(part.high)]
        case Numbers():
            return [float(part.low), float(part.high)]
        case list():
            return [source(entry) for entry in part]
        case _:
            return part


def settings(t: Topology, me: int, quotas: dict[str, float]) -> Json:
    """The settings object that balancer `me` is given, in the platform's form (see
    `loadbalancer.settings`).
    """
    return {
        "me": me,
        "replicas_of_me": t.balancers.count,
        "locality": zone_of(t, me),
        "registry_mode": t.discovery.mode,
        "profiles": [
            write_class(c.name, c.effect == "safe", c.aim, c.deadline, c.worth) for c in t.classes
        ],
        "realms": [
            {"name": n.name, "share": n.share, "quota_per_s": quotas[n.name]} for n in t.tenants
        ],
        "limits": {
            "send_cap": SEND_CAP,
            "second_copies": COPIES > 1,
            "may_cancel": True,
            "probes": True,
            "retry_after": True,
            "max_retry_after_ns": int(duration("1500ms")),
            "connect_timeout_ns": int(t.fleet.connect_timeout),
            "conn_idle_ns": int(t.fleet.idle),
        },
        "rules": {
            "stop_sending_within_ns": int(t.rules.drain_grace),
            "ask_within_ns": int(t.discovery.ask_within),
            "cold_from": t.slow_start_capacity,
            "cold_ns": t.slow_start_ns,
            "fall_multiple": t.rules.fall_multiple,
            "overload_for_ns": int(t.rules.overload_for),
        },
        "prices": {"cross_zone": t.goal.cross_zone, "waste": t.goal.waste, "probe": t.goal.probe},
        "load_report": {"columns": ["util", "latency_ms"], "how": "probe"},
    }


def zone_of(t: Topology, me: int) -> str:
    return t.network.zones[me % len(t.network.zones)]


def effects(t: Topology) -> dict[str, api.Effect]:
    return {
        c.name: api.Effect.IDEMPOTENT if c.effect == "safe" else api.Effect.NON_IDEMPOTENT
        for c in t.classes
    }
