"""Encoding of an endpoint list as rows of the changefeed, and the planning of writes. Pure.

    feed/service:SERVICE/service/SERVICE     the service; every other row of its scope refers to it
    feed/service:SERVICE/list/SERVICE        the leader's last position: part of each of its writes
    feed/service:SERVICE/upstream/ID         an upstream; ID is its number in 16 hex digits

Values are msgpack arrays. Fields are only ever added at the end: a program that knows fewer of
them reads those it knows.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Mapping

import msgspec

from loadbalancer.changefeed.messages import MAX_ROW_BYTES, PREFIX, SERVICE, Row
from loadbalancer.daemon.persisted import UpstreamLocation
from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.endpoint_list import MAX_STARTED_MS
from loadbalancer.settings import MalformedError
from loadbalancer.store.commands import MAX_OPERATIONS, Op

Batch = tuple[Op, ...]  # the operations of one write

PORT_LIMIT = 1 << 16
ID_LIMIT = 1 << 64
MAX_SHOWN_NAME = 80
MAX_SHOWN_KIND = 40


class UpstreamRow(UpstreamLocation, frozen=True, array_like=True):
    """An upstream with its canonical address. `started_ms`: Unix time, 0: long ago."""

    weight: int | float
    started_ms: int
    is_draining: bool


class ServiceRow(msgspec.Struct, frozen=True, array_like=True):
    """Declares a service, so that references to it resolve."""

    name: str


class ListRow(msgspec.Struct, frozen=True, array_like=True):
    """Position of the leader's last write.

    `sequence` counts its writes under `token`; `discovery_version` is what discovery at `source`
    reported; `written_at_s` is Unix time.
    """

    token: int
    sequence: int
    discovery_version: int
    source: str
    written_at_s: int


_upstream_decoder = msgspec.msgpack.Decoder(UpstreamRow)
_service_decoder = msgspec.msgpack.Decoder(ServiceRow)
_list_decoder = msgspec.msgpack.Decoder(ListRow)
encode = msgspec.msgpack.Encoder().encode


class RowKeys:
    """Store keys of one service's rows."""

    def __init__(self, service: str) -> None:
        self.scope = SERVICE + service
        self.prefix = f"{PREFIX}{self.scope}/"
        self.upstreams = f"{self.prefix}upstream/"
        self.service = f"{self.prefix}service/{service}"
        self.list = f"{self.prefix}list/{service}"

    def upstream(self, number: int) -> str:
        """Returns the key of an upstream's row."""
        return f"{self.upstreams}{number:016x}"


# ---- an upstream's row ---------------------------------------------------------------------------


def upstream_row(endpoint: Endpoint) -> UpstreamRow:
    """Returns the row of an endpoint with its canonical address.

    Every process that knows the same of an endpoint makes an equal row.

    Raises:
        MalformedError: No balancer would accept the row.
    """
    entry = endpoint.entry
    # A whole number takes one byte in place of nine.
    weight = int(entry.weight) if entry.weight == int(entry.weight) else entry.weight
    row = UpstreamRow(
        entry.id,
        endpoint.host,
        endpoint.port,
        entry.zone,
        entry.kind,
        entry.cell,
        weight,
        endpoint.started_ms,
        entry.state is api.UpstreamState.DRAINING,
    )
    error = _find_upstream_error(row)
    if error:
        raise MalformedError(error)
    return row


def encode_upstream(endpoint: Endpoint) -> bytes:
    """Returns the encoded row of an endpoint.

    Raises:
        MalformedError: The endpoint can't be a row; the message is one line.
    """
    try:
        value = encode(upstream_row(endpoint))
    except (MalformedError, ValueError, OverflowError) as error:
        raise MalformedError(f"upstream {endpoint.entry.id:016x}: {error}") from None
    if len(value) > MAX_ROW_BYTES:
        raise MalformedError(
            f"upstream {endpoint.entry.id:016x}: a row has {MAX_ROW_BYTES} bytes at most,"
            f" not {len(value)}"
        )
    return value


def decode_upstream(value: bytes) -> UpstreamRow:
    """Decodes an upstream's row.

    Raises:
        ValueError: The value is not such a row.
    """
    return _upstream_decoder.decode(value)


def decode_list(value: bytes) -> ListRow:
    """Decodes the list's row.

    Raises:
        ValueError: The value is not such a row.
    """
    return _list_decoder.decode(value)


def to_endpoint(row: UpstreamRow) -> Endpoint:
    """Returns the endpoint that a row describes."""
    state = api.UpstreamState.DRAINING if row.is_draining else api.UpstreamState.READY
    entry = api.Upstream(row.id, state, row.zone, row.cell, float(row.weight), kind=row.kind)
    return Endpoint(entry, row.host, row.port, row.started_ms)


def removed_endpoint(number: int) -> Endpoint:
    """Returns the delta entry of an upstream whose row was deleted."""
    return Endpoint(api.Upstream(number, api.UpstreamState.REMOVED), "", 0)


# ---- validation of received rows -----------------------------------------------------------------


def find_row_error(scope: str, row: Row) -> str:
    """Returns why this program can't use a row, in one line; empty if it can."""
    if row.value is None:
        return ""
    kind, _, name = row.key.partition("/")
    service = scope.removeprefix(SERVICE) if scope.startswith(SERVICE) else ""
    if not service or kind not in {"upstream", "service", "list"}:
        return f"this program knows no {kind[:MAX_SHOWN_KIND]} here"
    try:
        if kind == "upstream":
            return _find_named_upstream_error(name, row.value)
        if kind == "service":
            declared = _service_decoder.decode(row.value).name
            return "" if name == declared == service else f"it says {declared[:MAX_SHOWN_NAME]!r}"
        decode_list(row.value)
    except ValueError as error:
        return " ".join(str(error).split())
    return "" if name == service else f"it is not {service}'s"


def _find_named_upstream_error(name: str, value: bytes) -> str:
    row = decode_upstream(value)
    error = _find_upstream_error(row)
    if error:
        return error
    return "" if name == f"{row.id:016x}" else f"its id is {row.id:016x}"


def _find_upstream_error(row: UpstreamRow) -> str:
    try:
        ipaddress.ip_address(row.host)
    except ValueError as error:
        return f"host: {error}"
    if not 0 < row.port < PORT_LIMIT:
        return "port: must be 1 to 65535"
    if not 0 <= row.id < ID_LIMIT:
        return "id: must have 64 bits"
    if not (math.isfinite(row.weight) and 0 <= row.started_ms <= MAX_STARTED_MS):
        return "weight or started_ms is out of range"
    return ""


# ---- planning of writes --------------------------------------------------------------------------


def plan_writes(
    stored: Mapping[str, tuple[int, bytes]],
    desired: Mapping[str, bytes],
    max_operations: int = MAX_OPERATIONS,
) -> list[Batch]:
    """Plans the writes that turn the stored rows into the desired ones.

    Only rows that differ are written, in the order of their keys, so that equal work makes equal
    writes; deletions come after all else. Each operation is conditional on the stored version.

    Args:
        stored: Version and value by key.
        desired: Value by key.
        max_operations: Operations of one write.
    """
    operations = [
        Op(key, value, stored[key][0] if key in stored else 0)
        for key, value in sorted(desired.items())
        if key not in stored or stored[key][1] != value
    ]
    operations += [Op(key, None, stored[key][0]) for key in sorted(stored.keys() - desired.keys())]
    return [
        tuple(operations[start : start + max_operations])
        for start in range(0, len(operations), max_operations)
    ]
