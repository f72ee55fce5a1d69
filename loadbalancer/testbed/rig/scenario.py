"""A scenario as operators write it: which processes there are, how long they run, and what goes
wrong when.

    name = "late owner"
    lasts = "12s"
    lease = "2s"
    nodes = 3
    balancers = 3
    boxes = 4
    sites = {a = ["node-0", "balancer-0"], b = ["node-1"]}

    [[fault]]
    when = {process = "@list", says = "claim", nth = 2}     # or: at = "3s"
    do = "stop"
    on = "@list"
    lasts = "5s"

Processes are `node-N`, `balancer-N`, `box-N`, `discovery`, `clients` and `judge`. Patterns are
those of fnmatch; `@SITE` means all of a site, `@list` who owns the list at that moment (`@roll`,
`@site` alike), `@leader` who leads the store; with `!` ahead all that is not meant.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Literal, get_args

import msgspec

from loadbalancer.testbed.topology import Unusable
from loadbalancer.units import Duration, convert, read_toml

SECOND = 1_000_000_000
OnLink = Literal["cut", "hold", "refuse", "reset", "delay", "trickle", "lossy"]
OnProcess = Literal[
    "kill",
    "stop",
    "restart",
    "lose",
    "leave",
    "fast",
    "slow",
    "jump",
    "full",
    "slowdisk",
    "old",
    "upgrade",
]
OnBox = Literal["down"]
OnWorld = Literal["boxes", "discovery-down"]
Kind = Literal[OnLink, OnProcess, OnBox, OnWorld]
LINKS, PROCESSES, WORLD = get_args(OnLink), get_args(OnProcess), get_args(OnWorld)
OWNERS = ("@list", "@roll", "@site", "@leader")


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


class Moment(Part, frozen=True):
    """When the `nth` message of this kind from `process` has passed its relay, and nothing behind
    it has; what answers it comes after the fault. Counted from `after` on.
    """

    process: str
    says: str
    nth: int = 1
    to: str = "*"
    after: Duration = Duration(0)


class Fault(Part, frozen=True):
    """`link`: dialler>listener; `way`: bytes of which direction it hits. `size`: ms of delay, bytes
    a second of a trickle, part of the time that is lost, how many boxes there are from then on.
    """

    do: Kind
    at: Duration = Duration(0)
    when: Moment | None = None
    on: str = ""
    link: str = ""
    way: Literal["both", "to", "from"] = "both"
    lasts: Duration = Duration(0)
    size: float = 0.0


class Rolled(Part, frozen=True):
    """A roll that operators begin at the start; they restart each box once it is quiet."""

    boxes: int
    at_once: int = 1
    per_site: int = 0
    warm: Duration = Duration(SECOND)
    door: bool = False  # the roll's owner restarts them by their own door, in place of operators


class Tenant(Part, frozen=True):
    """`part`: of the clients' requests; `quota`: what is its share, requests a second."""

    name: str
    part: float
    quota: float
    share: float = 1.0


class Expected(Part, frozen=True):
    """What clients shall find between two moments: at least such a part of what they asked is
    served, of one tenant or class or of all. `within`: of a tenant's requests, no more than its
    quota count.
    """

    after: Duration
    before: Duration
    served: float
    tenant: str = ""
    kind: str = ""
    within: bool = False


class Ordered(Part, frozen=True):
    """An operator's word about a site, by the command that operators use."""

    at: Duration
    words: str  # as after `loadbalancer site`


class Scenario(Part, frozen=True):
    name: str
    lasts: Duration = Duration(12 * SECOND)
    settle: Duration = Duration(20 * SECOND)  # within which all must be well after the last fault
    lease: Duration = Duration(2 * SECOND)
    election: Duration = Duration(300_000_000)
    nodes: int = 3
    balancers: int = 3
    boxes: int = 4
    rate: float = 40.0  # clients' requests a second, all together
    sites: dict[str, list[str]] = {}
    alone: bool = False  # balancers without the store, to be held against those with it
    document: bool = False  # balancers' settings stand in the store
    listed: int = 0  # names that discovery lists beyond the boxes, at the addresses of the boxes
    fill_mb: int = 0  # of state that the store holds beforehand
    old: list[str] = []  # processes that begin with an older program, which knows no leases
    older_lists: bool = (
        False  # a balancer of an older program puts its list over the owner's each second
    )
    roll: Rolled | None = None
    sited: bool = False  # balancers take part in what the fleet does about its sites
    cores: int = 0  # of a box, each with one request at a time; 0: as many as come
    work: Duration = Duration(10_000_000)  # that a box takes for a request, warm
    queue: int = 8  # that wait at a box; more are turned away
    cold: Duration = Duration(0)  # a box that was started is cold for so long
    bears: float = 0.0  # requests a second that a site is said to bear; 0: what its boxes can do
    tenants: tuple[Tenant, ...] = msgspec.field(name="tenant", default=())
    expects: tuple[Expected, ...] = msgspec.field(name="expect", default=())
    orders: tuple[Ordered, ...] = msgspec.field(name="order", default=())
    writers: int = 0  # of the store, past all relays, with a ledger of their own
    chance: int = 0  # faults drawn by seed on top
    every: Duration = Duration(
        0
    )  # or so many that one comes in each stretch of this length, to nodes alone
    faults: tuple[Fault, ...] = msgspec.field(name="fault", default=())


def contradiction(s: Scenario) -> str:
    """The first thing that can't be, in one line; empty: nothing."""
    if not (1 <= s.nodes <= 7 and 0 <= s.balancers <= 32 and 1 <= s.boxes <= 64):
        return "nodes must be 1 to 7, balancers 0 to 32, boxes 1 to 64"
    if not 0 <= s.listed <= 2000 or not 0 <= s.fill_mb <= 1000:
        return "listed must be 0 to 2000, fill_mb 0 to 1000"
    if not s.balancers and (s.roll is not None or not s.writers):
        return "without balancers there are writers, and no roll"
    if s.roll is not None and not 1 <= s.roll.boxes <= s.boxes:
        return "roll.boxes must be 1 to boxes"
    if s.sited and not s.sites:
        return "sited: without sites there is nothing to do"
    names = {t.name for t in s.tenants}
    for e in s.expects:
        if e.after >= e.before or not 0 <= e.served <= 1 or (e.tenant and e.tenant not in names):
            return "expect: needs after < before, a part, and a tenant that is there"
    for number, f in enumerate(s.faults, 1):
        where = f"fault {number} ({f.do})"
        if (f.when is None) is (f.at == 0):
            return f"{where}: either `at` or `when` says when it begins"
        if f.do in LINKS and (not f.link or f.on):
            return f"{where}: it is set on a `link`"
        if f.do in LINKS and ">" not in f.link:
            return f"{where}: a link is DIALLER>LISTENER, not {f.link!r}"
        if f.do in (*PROCESSES, "down") and (not f.on or f.link):
            return f"{where}: it is set `on` a process or a box"
        if f.do not in LINKS and f.way != "both":
            return f"{where}: only a link has a `way`"
        if f.do in ("delay", "trickle", "lossy", "boxes") and f.size <= 0:
            return f"{where}: needs a `size`"
        for pattern in [
            p.removeprefix("!") for p in (f.on, *f.link.split(">")) if p.lstrip("!")[:1] == "@"
        ]:
            if pattern not in OWNERS and pattern[1:] not in s.sites:
                return f"{where}: there is no site {pattern}"
    return ""


def read(path: Path) -> Scenario:
    """Raises Unusable, in one line."""
    try:
        return parsed(read_toml(path))
    except ValueError as error:
        raise Unusable(f"{path}: {error}") from None


def parsed(raw: Any) -> Scenario:
    """Raises ValueError, in one line."""
    scenario: Scenario = convert(raw, Scenario)
    wrong = contradiction(scenario)
    if wrong:
        raise ValueError(wrong)
    return scenario


def builtin(name: str) -> Path:
    """A scenario that comes with the package, or a file. Raises Unusable."""
    own = Path(__file__).parent / "scenarios" / f"{name}.toml"
    if own.exists():
        return own
    if Path(name).is_file():
        return Path(name)
    known = ", ".join(sorted(p.stem for p in own.parent.glob("*.toml")))
    raise Unusable(f"there is no scenario {name}: it is a file, or one of {known}")


def source(s: Scenario) -> Any:
    """As it is read again, with units."""

    def written(value: Any) -> Any:
        if isinstance(value, Duration):
            return f"{int(value)}ns"
        raise TypeError

    return msgspec.to_builtins(s, enc_hook=written)


SAYS = ("claim", "write", "release", "get", "watch", "append", "request")


def drawn(s: Scenario, seed: int) -> tuple[Fault, ...]:
    """The faults of a run: those of the file, and so many by chance."""
    rng = random.Random(f"{seed}/rig/{s.name}")
    churned = (
        tuple(_churn(s, rng, number) for number in range(int(s.lasts / s.every))) if s.every else ()
    )
    return s.faults + tuple(_draw(s, rng) for _ in range(s.chance)) + churned


def _churn(s: Scenario, rng: random.Random, number: int) -> Fault:
    """Kills, stops and losses of nodes in turn; one of them at a time is lost for good."""
    at = Duration(int((number + rng.uniform(0.2, 0.8)) * s.every))
    lasts = Duration(int(rng.uniform(0.1, 0.9) * s.every))
    who = "@leader" if rng.random() < 0.3 else f"node-{number % s.nodes}"
    if number % 7 == 3:
        return Fault("lose", at, on=who, lasts=lasts)
    return Fault(rng.choice(["kill", "kill", "kill", "stop"]), at, on=who, lasts=lasts)


def _draw(s: Scenario, rng: random.Random) -> Fault:
    processes = [f"node-{i}" for i in range(s.nodes)] + [
        f"balancer-{i}" for i in range(s.balancers)
    ]
    owner = "@roll" if s.roll is not None else "@site" if s.sited else "@list"
    who = rng.choice([*processes, owner, owner, owner, "@leader"])
    lasts = Duration(int(rng.uniform(0.2, 2.5) * s.lease))
    at = Duration(int(rng.uniform(0.15, 0.8) * s.lasts))
    when = None
    if rng.random() < 0.5 and not who.startswith("node") and who != "@leader":
        when = Moment(who, rng.choice(SAYS[:5]), rng.randint(1, 3), after=at)
        at = Duration(0)
    what: Kind = rng.choice(
        [
            "kill",
            "stop",
            "stop",
            "leave",
            "restart",
            "cut",
            "cut",
            "hold",
            "refuse",
            "reset",
            "delay",
            "lossy",
            "boxes",
            "discovery-down",
        ]
    )
    if s.sited and rng.random() < 0.5:
        site = rng.choice(sorted(s.sites))
        far = Duration(int(rng.uniform(1, 5) * s.lease))
        if rng.random() < 0.4:
            return Fault("down", at, when, on=f"@{site}", lasts=far)
        link = rng.choice([f"@{site}>!@{site}", f"!@{site}>@{site}"])
        return Fault(
            rng.choice(["cut", "cut", "hold", "refuse", "lossy"]),
            at,
            when,
            link=link,
            way=rng.choice(["both", "both", "to", "from"]),
            lasts=far,
            size=0.1,
        )
    if what in PROCESSES:
        return Fault(what, at, when, on=who, lasts=lasts)
    if what == "boxes":
        return Fault(what, at, when, size=float(rng.randint(1, s.boxes)))
    if what == "discovery-down":
        return Fault(what, at, when, lasts=lasts)
    link = rng.choice(
        [f"{who}>*", f"*>{who}", f"{who}>node-*", f"{who}>discovery", f"node-*>{who}"]
    )
    size = {"delay": rng.uniform(5, 300), "lossy": rng.uniform(0.05, 0.5)}.get(what, 0.0)
    return Fault(
        what,
        at,
        when,
        link=link,
        way=rng.choice(["both", "both", "to", "from"]),
        lasts=lasts,
        size=round(size, 2),
    )


def quiet(s: Scenario, faults: Sequence[Fault]) -> Scenario:
    """The same, with just these faults."""
    return msgspec.structs.replace(s, faults=tuple(faults), chance=0)
