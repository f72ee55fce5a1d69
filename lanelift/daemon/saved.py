"""Lists and learnt state as they stand in the store: with clock time in place of a process's own."""

from __future__ import annotations

import logging
import time
from typing import Any

import msgspec

from lanelift import interface as api
from lanelift.net.upstream import Endpoint
from lanelift.store.wire.protocol import Row

log = logging.getLogger(__name__)


class Located(msgspec.Struct, frozen=True):
    """An upstream, as the module numbers it, and where it is, as all balancers know it."""

    id: int
    host: str
    port: int
    zone: str
    kind: str
    cell: int


class SavedEndpoint(Located, frozen=True):
    """An entry of a list, with clock time in place of this process's."""

    weight: float
    started: float  # Unix time; 0: long ago
    draining: bool


class SavedList(msgspec.Struct, frozen=True):
    """`token`: of the owner that put it, and its count of lists; 0 where a program without owners did.
    `version`: discovery's own, which counts for itself at each `source`."""

    at: float
    servers: list[SavedEndpoint]
    token: int = 0
    number: int = 0
    version: int = -1
    source: str = ""


class SavedLearnt(msgspec.Struct, frozen=True):
    """`paces`: by upstream, its pace and Unix time of the start that it was learnt of."""

    at: float
    rate: float
    demands: dict[str, float]
    taken: dict[str, float]
    each_ns: float
    calm: float
    window: float
    paces: dict[int, tuple[float, float]]


def _wall(started_ns: int) -> float:
    """Monotonic nanoseconds as Unix time, to the millisecond."""
    if not started_ns:
        return 0.0
    return round(time.time() - (time.monotonic_ns() - started_ns) / 1e9, 3)


def _mono(wall: float) -> int:
    return 0 if not wall else time.monotonic_ns() - int((time.time() - wall) * 1e9)


def save_list(endpoints: list[Endpoint]) -> list[SavedEndpoint]:
    """In a fixed order, so that equal lists are equal bytes."""
    return sorted((SavedEndpoint(e.entry.id, e.host, e.port, e.entry.zone, e.entry.kind, e.entry.cell,
                                 e.entry.weight, round(_wall(e.entry.started_ns), 1),
                                 e.entry.state is api.State.DRAINING) for e in endpoints), key=lambda s: s.id)


def load_list(saved: SavedList) -> list[Endpoint]:
    return [Endpoint(api.Upstream(s.id, api.State.DRAINING if s.draining else api.State.READY, s.zone, s.cell,
                                  s.weight, _mono(s.started), s.kind), s.host, s.port) for s in saved.servers]


def save_learnt(learnt: api.Learnt) -> SavedLearnt:
    return SavedLearnt(time.time(), learnt.rate, dict(learnt.demands), dict(learnt.taken), learnt.each_ns,
                       learnt.calm, learnt.window,
                       {n: (round(pace, 4), _wall(started)) for n, (pace, started) in learnt.paces.items()})


def load_learnt(saved: SavedLearnt, listed: dict[int, int]) -> api.Learnt:
    """`listed`: upstreams and the starts that they are listed with; clocks are only so exact."""
    paces = {}
    for number, (pace, started) in saved.paces.items():
        now = listed.get(number, 0)
        if bool(now) == bool(started) and abs(_wall(now) - started) < 1.0:
            paces[number] = pace, now
    age = int(max(0.0, time.time() - saved.at) * 1e9)
    return api.Learnt(age, saved.rate, saved.demands, saved.taken, saved.each_ns, saved.calm, saved.window,
                      paces)


def decoded(row: Row, kind: type[Any]) -> Any:
    """None where there is none, or it does not read: another version of the program may have written it."""
    if row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=kind)
    except ValueError as error:
        log.warning("store: %s is left aside: %s", row.key, error)
        return None
