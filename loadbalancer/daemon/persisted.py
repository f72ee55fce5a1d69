"""Stored form of endpoint lists and learned state.

Stored times are wall-clock times, because a monotonic clock is valid in one process only. The
field names in the store are those set by `msgspec.field(name=...)`.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import age_s, unix_s

log = logging.getLogger(__name__)

START_TIME_TOLERANCE_S = 0.1  # an older version of the program rounded saved start times to this
MS_PER_S = 1000
NS_PER_S = 1e9

T = TypeVar("T")


class UpstreamLocation(msgspec.Struct, frozen=True):
    """An upstream's number in the policy and its canonical address."""

    id: int
    host: str
    port: int
    zone: str
    kind: str
    cell: int


class SavedEndpoint(UpstreamLocation, frozen=True):
    """An entry of a stored list. `started_s` is a Unix time; 0 means long ago."""

    weight: float
    started_s: float = msgspec.field(name="started")
    is_draining: bool = msgspec.field(name="draining")


class SavedEndpointList(msgspec.Struct, frozen=True):
    """A stored endpoint list.

    `token` is the token of the leader that published the list, and `sequence` the number of the
    list under that token. Both are 0 if a program without leases wrote the list. Each `source`
    numbers its `discovery_version` independently.
    """

    saved_at_s: float = msgspec.field(name="at")
    endpoints: list[SavedEndpoint] = msgspec.field(name="servers")
    token: int = 0
    sequence: int = msgspec.field(name="number", default=0)
    discovery_version: int = msgspec.field(name="version", default=-1)
    source: str = ""


class SavedLearnedState(msgspec.Struct, frozen=True):
    """The policy's learned state.

    `relative_service_times` has, for each upstream, its service time relative to the others' and
    the Unix time of the upstream's start for which the value was learned.
    """

    saved_at_s: float = msgspec.field(name="at")
    rate: float
    demands: dict[str, float]
    service_times_ns: dict[str, float] = msgspec.field(name="taken")
    per_request_ns: float = msgspec.field(name="each_ns")
    baseline_latency_ratio: float = msgspec.field(name="calm")
    window: float
    relative_service_times: dict[int, tuple[float, float]] = msgspec.field(name="paces")


class LeaderConfirmation(msgspec.Struct, frozen=True):
    """A leader's confirmation that its publication with number `sequence` is still current."""

    token: int
    sequence: int = msgspec.field(name="number")
    heartbeat: int = msgspec.field(name="beat")


def save_endpoints(endpoints: Iterable[Endpoint]) -> list[SavedEndpoint]:
    """Return the endpoints in stored form, sorted so that equal lists have equal encodings."""
    return sorted(map(_save_endpoint, endpoints), key=lambda saved: saved.id)


def _save_endpoint(endpoint: Endpoint) -> SavedEndpoint:
    entry = endpoint.entry
    return SavedEndpoint(
        entry.id,
        endpoint.host,
        endpoint.port,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.weight,
        endpoint.started_ms / MS_PER_S,
        entry.state is api.UpstreamState.DRAINING,
    )


def load_endpoints(saved: SavedEndpointList) -> list[Endpoint]:
    """Return the endpoints of a stored list."""
    return [_load_endpoint(endpoint) for endpoint in saved.endpoints]


def _load_endpoint(saved: SavedEndpoint) -> Endpoint:
    state = api.UpstreamState.DRAINING if saved.is_draining else api.UpstreamState.READY
    entry = api.Upstream(saved.id, state, saved.zone, saved.cell, saved.weight, kind=saved.kind)
    return Endpoint(entry, saved.host, saved.port, round(saved.started_s * MS_PER_S))


def save_learned_state(
    learned: api.LearnedState, endpoints: Mapping[int, Endpoint]
) -> SavedLearnedState:
    """Return learned state in its stored form.

    Args:
        learned: The policy's learned state.
        endpoints: The endpoints in the current list; the state of other endpoints is dropped.
    """
    relative_service_times = {
        number: (round(ratio, 4), endpoints[number].started_ms / MS_PER_S)
        for number, (ratio, _) in learned.relative_service_times.items()
        if number in endpoints
    }
    return SavedLearnedState(
        unix_s(),
        learned.rate,
        dict(learned.demands),
        dict(learned.service_times),
        learned.per_request_ns,
        learned.baseline_latency_ratio,
        learned.window,
        relative_service_times,
    )


def load_learned_state(
    saved: SavedLearnedState, endpoints: Mapping[int, Endpoint]
) -> api.LearnedState | None:
    """Return learned state for the policy.

    Args:
        saved: The stored form.
        endpoints: The endpoints in the current list; state learned for an earlier start of an
            endpoint is dropped.

    Returns:
        The learned state; None if its age is unknown because the wall clock was stepped.
    """
    age = age_s(saved.saved_at_s)
    if age is None:
        return None
    relative_service_times = {
        number: (ratio, endpoints[number].entry.started_ns)
        for number, (ratio, started_s) in saved.relative_service_times.items()
        if number in endpoints
        and abs(endpoints[number].started_ms / MS_PER_S - started_s) < START_TIME_TOLERANCE_S
    }
    return api.LearnedState(
        int(age * NS_PER_S),
        saved.rate,
        saved.demands,
        saved.service_times_ns,
        saved.per_request_ns,
        saved.baseline_latency_ratio,
        saved.window,
        relative_service_times,
    )


def decode_row(row: Row, kind: type[T]) -> T | None:
    """Decode a row's JSON value.

    Returns:
        The decoded value; None if the row does not exist or can't be decoded, because another
        version of the program may have written it.
    """
    if row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=kind)
    except ValueError as error:
        log.warning("store row ignored: key=%s error=%s", row.key, error)
        return None
