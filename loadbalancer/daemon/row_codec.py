"""What stands in the rows of the feed that a balancer goes by, and which rows have to be written.
Pure.

    feed/service:SERVICE/service/SERVICE     the service; every other row of its scope names it
    feed/service:SERVICE/list/SERVICE        the list owner's last word: each of its writes has one
    feed/service:SERVICE/upstream/ID         an upstream; ID is its number in lower-case hex, 16
    digits

Values are msgpack arrays. Fields are only ever added at the end: what knows fewer reads the ones it
knows.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Mapping

import msgspec

from loadbalancer.changefeed.messages import MOST_ROW, PREFIX, SERVICE, Row
from loadbalancer.daemon.persisted import Located
from loadbalancer.policy import api
from loadbalancer.proxy.discovery import LATEST_MS
from loadbalancer.proxy.upstream import Endpoint
from loadbalancer.settings import Malformed
from loadbalancer.store.commands import MAX_OPERATIONS, Op

Batch = tuple[Op, ...]  # of one write


class UpstreamRow(Located, frozen=True, array_like=True):
    """id, host (an IP address), port, zone, kind, cell; `started_ms`: Unix time, 0: long ago."""

    weight: int | float
    started_ms: int
    draining: bool


class ServiceRow(msgspec.Struct, frozen=True, array_like=True):
    """There is such a service: what names it refers to something."""

    name: str


class ListRow(msgspec.Struct, frozen=True, array_like=True):
    """The list's owner has written under `token` so often (`number`), the last time at `at` (Unix
    seconds), as discovery at `source` told it at its `version`.
    """

    token: int
    number: int
    version: int
    source: str
    at: int


_upstreams = msgspec.msgpack.Decoder(UpstreamRow)
_services = msgspec.msgpack.Decoder(ServiceRow)
_lists = msgspec.msgpack.Decoder(ListRow)
pack = msgspec.msgpack.Encoder().encode


class Keys:
    """Of one service."""

    def __init__(self, service: str) -> None:
        self.scope = SERVICE + service
        self.within = f"{PREFIX}{self.scope}/"
        self.upstreams = f"{self.within}upstream/"
        self.service = f"{self.within}service/{service}"
        self.list = f"{self.within}list/{service}"

    def upstream(self, number: int) -> str:
        return f"{self.upstreams}{number:016x}"


# ---- an upstream's row ---------------------------------------------------------------------------


def row_of(endpoint: Endpoint) -> UpstreamRow:
    """An upstream with the address that all know. Equal in every process that heard the same of it.
    Raises Malformed where no balancer would take the row.
    """
    e = endpoint.entry
    weight = (
        int(e.weight) if e.weight == int(e.weight) else e.weight
    )  # a whole one takes a byte, not nine
    row = UpstreamRow(
        e.id,
        endpoint.host,
        endpoint.port,
        e.zone,
        e.kind,
        e.cell,
        weight,
        endpoint.started_ms,
        e.state is api.UpstreamState.DRAINING,
    )
    wrong = _wrong(row)
    if wrong:
        raise Malformed(wrong)
    return row


def packed(endpoint: Endpoint) -> bytes:
    """Raises Malformed, in one line."""
    try:
        value = pack(row_of(endpoint))
    except (Malformed, ValueError, OverflowError) as error:
        raise Malformed(f"upstream {endpoint.entry.id:016x}: {error}") from None
    if len(value) > MOST_ROW:
        raise Malformed(
            f"upstream {endpoint.entry.id:016x}: a row has {MOST_ROW} bytes at most,"
            f" not {len(value)}"
        )
    return value


def unpack_upstream(value: bytes) -> UpstreamRow:
    """Raises ValueError."""
    return _upstreams.decode(value)


def unpack_list(value: bytes) -> ListRow:
    """Raises ValueError."""
    return _lists.decode(value)


def endpoint_of(row: UpstreamRow) -> Endpoint:
    state = api.UpstreamState.DRAINING if row.draining else api.UpstreamState.READY
    entry = api.Upstream(row.id, state, row.zone, row.cell, float(row.weight), kind=row.kind)
    return Endpoint(entry, row.host, row.port, row.started_ms)


def gone(number: int) -> Endpoint:
    """What is told of an upstream whose row was deleted."""
    return Endpoint(api.Upstream(number, api.UpstreamState.REMOVED), "", 0)


# ---- what a balancer takes -----------------------------------------------------------------------


def check(scope: str, row: Row) -> str:
    """Why this program can't go by the row, in one line; empty: it can."""
    if row.value is None:
        return ""
    kind, _, name = row.key.partition("/")
    service = scope.removeprefix(SERVICE) if scope.startswith(SERVICE) else ""
    try:
        if kind == "upstream" and service:
            found = unpack_upstream(row.value)
            return _wrong(found) or (
                "" if name == f"{found.id:016x}" else f"its id is {found.id:016x}"
            )
        if kind == "service" and service:
            named = _services.decode(row.value).name
            return "" if name == named == service else f"it says {named[:80]!r}"
        if kind == "list" and service:
            unpack_list(row.value)
            return "" if name == service else f"it is not {service}'s"
    except ValueError as error:
        return " ".join(str(error).split())
    return f"this program knows no {kind[:40]} here"


def _wrong(row: UpstreamRow) -> str:
    try:
        ipaddress.ip_address(row.host)
    except ValueError as error:
        return f"host: {error}"
    if not 0 < row.port < 65536:
        return "port: must be 1 to 65535"
    if not 0 <= row.id < 1 << 64:
        return "id: must have 64 bits"
    if not (math.isfinite(row.weight) and 0 <= row.started_ms <= LATEST_MS):
        return "weight or started_ms is out of range"
    return ""


# ---- what is to be written -----------------------------------------------------------------------


def differences(
    stored: Mapping[str, tuple[int, bytes]], wanted: Mapping[str, bytes], most: int = MAX_OPERATIONS
) -> list[Batch]:
    """The writes that turn what stands, version and value by key, into what is wanted: only what
    differs, in the order of keys, so that equal work is equal writes; what goes is deleted after
    all else is there. Each operation is bound to the version that stands, none has more than
    `most`.
    """
    ops = [
        Op(key, value, stored[key][0] if key in stored else 0)
        for key, value in sorted(wanted.items())
        if key not in stored or stored[key][1] != value
    ]
    ops += [Op(key, None, stored[key][0]) for key in sorted(stored.keys() - wanted.keys())]
    return [tuple(ops[at : at + most]) for at in range(0, len(ops), most)]
