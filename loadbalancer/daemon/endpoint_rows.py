"""The list of upstreams as rows of the feed: its owner writes those that differ, the others keep a
table.

The store refuses a write that bears an old token, and the feed never goes back: so of two rows the
later one is the word of the later owner. What a deposed owner had not yet written is written by the
next one, which compares with what stands.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from loadbalancer.changefeed.messages import Row
from loadbalancer.daemon import row_codec
from loadbalancer.daemon.persisted import SavedList, decoded, save_list
from loadbalancer.daemon.row_codec import Keys, ListRow, differences
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.proxy.upstream import Endpoint
from loadbalancer.store.client import Client
from loadbalancer.store.commands import MAX_OPERATIONS, Op
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire import protocol
from loadbalancer.wallclock import unix_s

T = TypeVar("T")
OWN = 2  # of a write's operations: the owner's word, and the service where it is not there


class RowWriter:
    """As the owner. It knows what stands from reading it once a term, and from its own writes."""

    def __init__(
        self, client: Client, owner: LeaseClient, service: str, most: int = MAX_OPERATIONS
    ) -> None:
        self.client = client
        self.owner = owner
        self.service = service
        self.keys = Keys(service)
        self.most = most - OWN
        self.stored: dict[str, tuple[int, bytes]] = {}
        self.versions: dict[str, int] = {}  # of the service's row and the list's; 0: not there
        self.word: ListRow | None = None
        self.read_there = False  # is what stands known?
        self.touched: set[int] | None = (
            None  # upstreams that may differ from what stands; None: any
        )
        self.number = 0  # of this owner's writes

    def began(self) -> None:
        self.number = 0

    def touch(self, numbers: Iterable[int] | None) -> None:
        """These may have changed; None: any."""
        if numbers is None:
            self.touched = None
        elif self.touched is not None:
            self.touched.update(numbers)

    async def read(self) -> ListRow | None:
        """What stands, and the last owner's word. Read after the token was granted: nobody before
        can change it any more. Raises StoreError.
        """
        found = await self.client.get(self.keys.service, self.keys.list)
        scanned = await self.client.scan(self.keys.upstreams)
        self.versions = {row.key: row.version if row.value is not None else 0 for row in found.rows}
        self.stored = {
            row.key: (row.version, row.value) for row in scanned.rows if row.value is not None
        }
        self.word = _word(found.rows[1])
        if self.word is not None and self.word.token == self.owner.active_token:
            self.number = max(self.number, self.word.number)
        self.touched, self.read_there = None, True
        return self.word

    async def put(
        self,
        known: Callable[[Iterable[int] | None], Iterable[Endpoint]],
        token: int,
        version: int,
        source: str,
    ) -> bool:
        """Make the rows those of the list, as discovery at `source` told it at its `version`; was
        there anything to write? `known`: what is listed of some upstreams, None: of all, with the
        addresses that all know. Raises StoreError, and Malformed where one can't be a row: then
        nothing is written.
        """
        if not self.read_there:
            await self.read()
        wanted = {self.keys.upstream(e.entry.id): row_codec.packed(e) for e in known(self.touched)}
        stored: Mapping[str, tuple[int, bytes]] = self.stored
        if self.touched is not None:
            names = map(self.keys.upstream, self.touched)
            stored = {name: self.stored[name] for name in names if name in self.stored}
        batches = differences(stored, wanted, self.most)
        if not batches and (self.word is None or self.word.token != token):
            batches = [()]  # the new owner's word, at least: its later ones are bound to it
        self.touched = set()
        self.read_there = False  # until all is written
        for batch in batches:
            await self._write(
                batch, ListRow(token, self.number + 1, version, source, int(unix_s()))
            )
        self.read_there = True
        return bool(batches)

    async def _write(self, batch: row_codec.Batch, word: ListRow) -> None:
        service, listed = self.keys.service, self.keys.list
        ops = [*batch, Op(listed, row_codec.pack(word), self.versions[listed])]
        refs: list[tuple[str, ...]] = [(service,) if op.value is not None else () for op in ops]
        if not self.versions[service]:
            ops.append(Op(service, row_codec.pack(row_codec.ServiceRow(self.service)), 0))
            refs.append(())
        result = await self.owner.write_rows(ops, refs)
        for op, version in zip(ops, result.versions, strict=True):
            if op.key in self.versions:
                self.versions[op.key] = version
            elif op.value is None:
                del self.stored[op.key]
            else:
                self.stored[op.key] = version, op.value
        self.word, self.number = word, word.number


class RowTable:
    """As one of the others: the service's rows as the feed tells them."""

    def __init__(self, service: str) -> None:
        self.keys = Keys(service)
        self.endpoints: dict[str, Endpoint] = {}  # by KIND/NAME, with the addresses that all know
        self.word: ListRow | None = None
        self.came = asyncio.Event()

    @property
    def said(self) -> FencingPosition:
        return _order(self.word)

    def take(self, whole: bool, changed: Iterable[Row]) -> list[Endpoint]:
        """The upstreams that changed, those that went as gone; rows are such as `rows.check` let
        through.
        """
        if whole:
            self.endpoints, self.word = {}, None
        told: list[Endpoint] = []
        for row in changed:
            kind = row.key.partition("/")[0]
            if kind == "list":
                self.word = row_codec.unpack_list(row.value) if row.value is not None else None
            elif kind == "upstream" and row.value is not None:
                told.append(row_codec.endpoint_of(row_codec.unpack_upstream(row.value)))
                self.endpoints[row.key] = told[-1]
            elif row.key in self.endpoints:
                told.append(row_codec.gone(self.endpoints.pop(row.key).entry.id))
        self.came.set()
        return told

    def all(self) -> list[Endpoint]:
        return [self.endpoints[key] for key in sorted(self.endpoints)]


class StoredList:
    """The list as the store has it, for who only looks at it now and then: rows or document,
    whichever is the later owner's. Rows are read anew only where the owner has written since.
    """

    def __init__(self, client: Client, service: str) -> None:
        self.client = client
        self.keys = Keys(service)
        self.version = 0
        self.saved: SavedList | None = None

    async def of(
        self, document: protocol.Row, word: protocol.Row, stale: bool = False
    ) -> SavedList | None:
        """`document` and `word`: the rows of `list/SERVICE` and of the owner's word. Raises
        StoreError.
        """
        saved: SavedList | None = decoded(document, SavedList)
        said = _word(word)
        if said is None or (saved is not None and saved.token > said.token):
            return saved
        if self.saved is None or self.version != word.version:
            found = await self.client.scan(self.keys.upstreams, stale=stale)
            endpoints = [e for e in map(_endpoint, found.rows) if e is not None]
            self.saved = SavedList(
                said.at, save_list(endpoints), said.token, said.number, said.version, said.source
            )
            self.version = word.version
        return self.saved


def said(row: protocol.Row) -> FencingPosition:
    """Of the owner's word, as it stands in the store, its place among others."""
    return _order(_word(row))


def _order(word: ListRow | None) -> FencingPosition:
    return FencingPosition(word.token, word.number) if word is not None else FencingPosition()


def _word(row: protocol.Row) -> ListRow | None:
    return _read(row, row_codec.unpack_list)


def _endpoint(row: protocol.Row) -> Endpoint | None:
    found = _read(row, row_codec.unpack_upstream)
    return row_codec.endpoint_of(found) if found is not None else None


def _read(row: protocol.Row, unpack: Callable[[bytes], T]) -> T | None:
    """None where it is not there or does not read."""
    try:
        return unpack(row.value) if row.value is not None else None
    except ValueError:
        return None
