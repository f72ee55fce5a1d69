"""Lists and learnt state as they stand in the store: with clock time in place of a process's
own.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

import msgspec

from loadbalancer.policy import api
from loadbalancer.proxy.upstream import Endpoint
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import age_s, unix_s

log = logging.getLogger(__name__)

SAME_START_S = 0.1  # an older program saved starts rounded to this


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
    """`token`: of the owner that put it, and its count of lists; 0 where a program without owners
    did. `version`: discovery's own, which counts for itself at each `source`.
    """

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
    per_request_ns: float = msgspec.field(name="each_ns")
    calm: float
    window: float
    paces: dict[int, tuple[float, float]]


def save_list(endpoints: list[Endpoint]) -> list[SavedEndpoint]:
    """In a fixed order, so that equal lists are equal bytes."""
    return sorted(
        (
            SavedEndpoint(
                e.entry.id,
                e.host,
                e.port,
                e.entry.zone,
                e.entry.kind,
                e.entry.cell,
                e.entry.weight,
                e.started_ms / 1000,
                e.entry.state is api.UpstreamState.DRAINING,
            )
            for e in endpoints
        ),
        key=lambda s: s.id,
    )


def load_list(saved: SavedList) -> list[Endpoint]:
    """The endpoints as they were listed."""
    return [
        Endpoint(
            api.Upstream(
                s.id,
                api.UpstreamState.DRAINING if s.draining else api.UpstreamState.READY,
                s.zone,
                s.cell,
                s.weight,
                kind=s.kind,
            ),
            s.host,
            s.port,
            round(s.started * 1000),
        )
        for s in saved.servers
    ]


def save_learnt(learnt: api.LearnedState, listed: Mapping[int, Endpoint]) -> SavedLearnt:
    """`listed`: the upstreams as they are listed; what was learnt of others is not kept."""
    paces = {
        n: (round(pace, 4), listed[n].started_ms / 1000)
        for n, (pace, _) in learnt.relative_service_times.items()
        if n in listed
    }
    return SavedLearnt(
        unix_s(),
        learnt.rate,
        dict(learnt.demands),
        dict(learnt.service_times),
        learnt.per_request_ns,
        learnt.baseline_latency_ratio,
        learnt.window,
        paces,
    )


def load_learnt(saved: SavedLearnt, listed: Mapping[int, Endpoint]) -> api.LearnedState | None:
    """`listed`: upstreams as they are listed now; what was learnt of an earlier start is left out.
    None where nobody can tell how old it is: the clock was stepped.
    """
    age = age_s(saved.at)
    if age is None:
        return None
    paces = {
        n: (pace, listed[n].entry.started_ns)
        for n, (pace, started) in saved.paces.items()
        if n in listed and abs(listed[n].started_ms / 1000 - started) < SAME_START_S
    }
    return api.LearnedState(
        int(age * 1e9),
        saved.rate,
        saved.demands,
        saved.taken,
        saved.per_request_ns,
        saved.calm,
        saved.window,
        paces,
    )


def decoded(row: Row, kind: type[Any]) -> Any:
    """None where there is none, or it does not read: another version of the program may have
    written it.
    """
    if row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=kind)
    except ValueError as error:
        log.warning("store: %s is left aside: %s", row.key, error)
        return None
