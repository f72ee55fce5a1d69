"""Encoding of an endpoint list as rows of the changefeed, and the planning of their writes.

    feed/service:SERVICE/service/SERVICE     the service; all other rows of its scope refer to it
    feed/service:SERVICE/list/SERVICE        position of the leader's last write; in every write
    feed/service:SERVICE/upstream/ID         an upstream; ID is its number in 16 hex digits

Values are msgpack arrays. New fields are only ever added at the end, so that an older version of
the program can decode the fields it supports. This module does no I/O.
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
    """An upstream with its canonical address. `started_ms` is a Unix time; 0 means long ago."""

    weight: int | float
    started_ms: int
    is_draining: bool


class ServiceRow(msgspec.Struct, frozen=True, array_like=True):
    """Declares a service; the rows of its scope refer to this row."""

    name: str


class ListRow(msgspec.Struct, frozen=True, array_like=True):
    """Position of the leader's last write.

    `sequence` counts the leader's writes under `token`. `discovery_version` is the version that
    discovery at `source` reported. `written_at_s` is a Unix time.
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
        """Return the key of an upstream's row."""
        return f"{self.upstreams}{number:016x}"


# ---- encoding and decoding -----------------------------------------------------------------------


def upstream_row(endpoint: Endpoint) -> UpstreamRow:
    """Return the row of an endpoint with a canonical address.

    Equal endpoints result in equal rows in every process.

    Raises:
        MalformedError: The row is not valid, so that balancers would reject it.
    """
    entry = endpoint.entry
    # A small integer is encoded in one byte, a float in nine.
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
    """Return the encoded row of an endpoint.

    Raises:
        MalformedError: The endpoint can't be encoded as a row; the message is one line.
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
    """Decode an upstream's row.

    Raises:
        ValueError: The value is not an upstream's row.
    """
    return _upstream_decoder.decode(value)


def decode_list(value: bytes) -> ListRow:
    """Decode the list's row.

    Raises:
        ValueError: The value is not a list's row.
    """
    return _list_decoder.decode(value)


def to_endpoint(row: UpstreamRow) -> Endpoint:
    """Return the endpoint that a row describes."""
    state = api.UpstreamState.DRAINING if row.is_draining else api.UpstreamState.READY
    entry = api.Upstream(row.id, state, row.zone, row.cell, float(row.weight), kind=row.kind)
    return Endpoint(entry, row.host, row.port, row.started_ms)


def removed_endpoint(number: int) -> Endpoint:
    """Return the delta entry for an upstream whose row was deleted."""
    return Endpoint(api.Upstream(number, api.UpstreamState.REMOVED), "", 0)


# ---- validation of received rows -----------------------------------------------------------------


def find_row_error(scope: str, row: Row) -> str:
    """Return in one line why this program can't use a row, or an empty string if it can."""
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
    """Plan the writes that turn the stored rows into the desired ones.

    Only rows that differ are written, in key order, so that the plan is deterministic. Deletions
    come last. Each operation is conditional on the stored version.

    Args:
        stored: Version and value by key.
        desired: Value by key.
        max_operations: Maximum number of operations in one write.
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
