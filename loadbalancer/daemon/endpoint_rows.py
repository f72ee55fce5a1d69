"""The endpoint list as rows of the changefeed: the leader writes them, the followers copy them.

The store rejects a write with an old fencing token, and the changefeed never delivers an older
version after a newer one. So the later of two rows is from the later leader. If a leader is deposed
before it has written all rows, the next leader compares the stored rows with its list and writes
the missing ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from loadbalancer.changefeed.messages import Row
from loadbalancer.daemon import row_codec
from loadbalancer.daemon.persisted import SavedEndpointList, decode_row, save_endpoints
from loadbalancer.daemon.row_codec import ListRow, RowKeys, plan_writes
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.store.client import Client
from loadbalancer.store.commands import MAX_OPERATIONS, Op
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire import protocol
from loadbalancer.wallclock import unix_s

T = TypeVar("T")

# Operations of a write in addition to upstreams: the list's row, and the service's if missing.
OVERHEAD_OPERATIONS = 2

EndpointLookup = Callable[[Iterable[int] | None], Iterable[Endpoint]]


@dataclass(frozen=True, slots=True)
class DiscoveryVersion:
    """Version of an endpoint list, which each discovery server numbers on its own."""

    version: int
    source: str


class RowWriter:
    """Writes the rows of the list as its leader.

    It tracks the stored rows from one read per term and from its own writes.

    Args:
        client: Client of the store.
        lease: The lease under which rows are written.
        service: The service's name.
        max_operations: Maximum number of operations in one write.
    """

    def __init__(
        self, client: Client, lease: LeaseClient, service: str, max_operations: int = MAX_OPERATIONS
    ) -> None:
        self.client = client
        self.lease = lease
        self.service = service
        self.keys = RowKeys(service)
        self.max_upstreams = max_operations - OVERHEAD_OPERATIONS
        self.stored: dict[str, tuple[int, bytes]] = {}  # version and value of upstream rows by key
        self.versions: dict[str, int] = {}  # of the service's and the list's row; 0: missing
        self.last_position: ListRow | None = None
        self.is_synchronized = False  # whether `stored` equals the rows in the store
        self.changed_numbers: set[int] | None = None  # upstreams that may differ; None: any
        self.sequence = 0  # number of this leader's last write

    def begin_term(self) -> None:
        """Reset the sequence number of the writes for a new term."""
        self.sequence = 0

    def mark_changed(self, numbers: Iterable[int] | None) -> None:
        """Mark upstreams that may have changed; None: any."""
        if numbers is None:
            self.changed_numbers = None
        elif self.changed_numbers is not None:
            self.changed_numbers.update(numbers)

    async def read(self) -> ListRow | None:
        """Read all rows after the lease was acquired, when no earlier leader can change them.

        Returns:
            The position of the last write of any leader; None if there is none.

        Raises:
            StoreError: The store did not serve a read.
        """
        response = await self.client.get(self.keys.service, self.keys.list)
        scanned = await self.client.scan(self.keys.upstreams)
        self.versions = {
            row.key: row.version if row.value is not None else 0 for row in response.rows
        }
        self.stored = {
            row.key: (row.version, row.value) for row in scanned.rows if row.value is not None
        }
        position = _read_list(response.rows[1])
        if position is not None and position.token == self.lease.active_token:
            self.sequence = max(self.sequence, position.sequence)
        self.last_position = position
        self.changed_numbers = None
        self.is_synchronized = True
        return position

    async def write(self, lookup: EndpointLookup, token: int, discovery: DiscoveryVersion) -> bool:
        """Write the rows that differ from the list.

        Args:
            lookup: Returns the listed endpoints with the given numbers, or all, with canonical
                addresses.
            token: The lease's fencing token.
            discovery: Version of the list.

        Returns:
            Whether anything was written.

        Raises:
            StoreError: The store did not serve a read or a write.
            MalformedError: An endpoint can't be encoded as a row; nothing is written.
        """
        if not self.is_synchronized:
            await self.read()
        batches = self._plan(lookup)
        is_new_term = self.last_position is None or self.last_position.token != token
        if not batches and is_new_term:
            batches = [()]  # a new leader writes at least its position; later writes update it
        self.changed_numbers = set()
        self.is_synchronized = False  # until all batches are written
        for batch in batches:
            position = ListRow(
                token, self.sequence + 1, discovery.version, discovery.source, int(unix_s())
            )
            await self._write_batch(batch, position)
        self.is_synchronized = True
        return bool(batches)

    def _plan(self, lookup: EndpointLookup) -> list[row_codec.Batch]:
        desired = {
            self.keys.upstream(endpoint.entry.id): row_codec.encode_upstream(endpoint)
            for endpoint in lookup(self.changed_numbers)
        }
        stored: Mapping[str, tuple[int, bytes]] = self.stored
        if self.changed_numbers is not None:
            keys = map(self.keys.upstream, self.changed_numbers)
            stored = {key: self.stored[key] for key in keys if key in self.stored}
        return plan_writes(stored, desired, self.max_upstreams)

    async def _write_batch(self, batch: row_codec.Batch, position: ListRow) -> None:
        service_key, list_key = self.keys.service, self.keys.list
        operations = [*batch, Op(list_key, row_codec.encode(position), self.versions[list_key])]
        references: list[tuple[str, ...]] = [
            (service_key,) if operation.value is not None else () for operation in operations
        ]
        if not self.versions[service_key]:
            service_row = row_codec.encode(row_codec.ServiceRow(self.service))
            operations.append(Op(service_key, service_row, 0))
            references.append(())
        result = await self.lease.write_rows(operations, references)
        for operation, version in zip(operations, result.versions, strict=True):
            if operation.key in self.versions:
                self.versions[operation.key] = version
            elif operation.value is None:
                del self.stored[operation.key]
            else:
                self.stored[operation.key] = version, operation.value
        self.last_position = position
        self.sequence = position.sequence


class RowTable:
    """A follower's copy of the service's rows, as the changefeed delivers them."""

    def __init__(self, service: str) -> None:
        self.keys = RowKeys(service)
        self.endpoints: dict[str, Endpoint] = {}  # by KIND/NAME, with canonical addresses
        self.list_row: ListRow | None = None
        self.received = asyncio.Event()

    @property
    def position(self) -> FencingPosition:
        """Position of the leader's last write."""
        return _position_of(self.list_row)

    def update(self, is_snapshot: bool, changed: Iterable[Row]) -> list[Endpoint]:
        """Apply rows that `find_row_error` accepted.

        Args:
            is_snapshot: Whether `changed` has all existing rows.
            changed: The rows.

        Returns:
            The endpoints that changed; deleted endpoints have the state REMOVED.
        """
        if is_snapshot:
            self.endpoints = {}
            self.list_row = None
        delta: list[Endpoint] = []
        for row in changed:
            kind = row.key.partition("/")[0]
            if kind == "list":
                self.list_row = row_codec.decode_list(row.value) if row.value is not None else None
            elif kind == "upstream" and row.value is not None:
                endpoint = row_codec.to_endpoint(row_codec.decode_upstream(row.value))
                self.endpoints[row.key] = endpoint
                delta.append(endpoint)
            elif row.key in self.endpoints:
                delta.append(row_codec.removed_endpoint(self.endpoints.pop(row.key).entry.id))
        self.received.set()
        return delta

    def all(self) -> list[Endpoint]:
        """Return all endpoints, ordered by key."""
        return [self.endpoints[key] for key in sorted(self.endpoints)]


class EndpointListReader:
    """Reads the stored list repeatedly, from the rows or the document of the later leader.

    Rows are read again only if the leader has written since the previous read.
    """

    def __init__(self, client: Client, service: str) -> None:
        self.client = client
        self.keys = RowKeys(service)
        self.version = 0
        self.cached_list: SavedEndpointList | None = None

    async def read(
        self, document_row: protocol.Row, list_row: protocol.Row, stale: bool = False
    ) -> SavedEndpointList | None:
        """Return the list, or None if there is none.

        Args:
            document_row: The row of `list/SERVICE`.
            list_row: The row of the leader's position.
            stale: Whether a stale read from any node is sufficient.

        Raises:
            StoreError: The store did not serve a read.
        """
        document = decode_row(document_row, SavedEndpointList)
        position = _read_list(list_row)
        if position is None or (document is not None and document.token > position.token):
            return document
        if self.cached_list is None or self.version != list_row.version:
            response = await self.client.scan(self.keys.upstreams, stale=stale)
            endpoints = filter(None, map(_read_endpoint, response.rows))
            self.cached_list = SavedEndpointList(
                position.written_at_s,
                save_endpoints(endpoints),
                position.token,
                position.sequence,
                position.discovery_version,
                position.source,
            )
            self.version = list_row.version
        return self.cached_list


def position_of(row: protocol.Row) -> FencingPosition:
    """Return the position of the leader's last write, read from the list's row in the store."""
    return _position_of(_read_list(row))


def _position_of(list_row: ListRow | None) -> FencingPosition:
    return (
        FencingPosition(list_row.token, list_row.sequence)
        if list_row is not None
        else FencingPosition()
    )


def _read_list(row: protocol.Row) -> ListRow | None:
    return _read(row, row_codec.decode_list)


def _read_endpoint(row: protocol.Row) -> Endpoint | None:
    upstream = _read(row, row_codec.decode_upstream)
    return row_codec.to_endpoint(upstream) if upstream is not None else None


def _read(row: protocol.Row, decode: Callable[[bytes], T]) -> T | None:
    """Return the decoded value; None if the row does not exist or can't be decoded."""
    try:
        return decode(row.value) if row.value is not None else None
    except ValueError:
        return None
