"""How a daemon with a store begins: where the store is, and which document holds the rest of its
settings.

[store] addresses = ["127.0.0.1:7101", "127.0.0.1:7102"] service = "orders" balancer = "accra-1"
document = "balancer/orders"     # without it, the rest of the settings stands in this file folder =
"state"                 # for a copy of the document lease = "10s"                    # work of the
fleet passes on after an owner's silence of so long sites = true                     # take part
when a site is lost, emptied or comes back; `zone` is needed rows = true                      # the
box list goes out as rows of the feed, change by change # documents = true               # and as a
document, too, while balancers are there that know no rows # reach = {"10.0.0.1:7101" =
"127.0.0.1:9001"}   # behind address translation
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from pathlib import Path

import msgspec

from loadbalancer.__main__ import Config, Parts
from loadbalancer.daemon import documents
from loadbalancer.daemon.settings import read_raw, read_table
from loadbalancer.daemon.state_sync import LEASE_S, Keeper
from loadbalancer.leases.table import NAME
from loadbalancer.proxy.atomic_files import write_whole
from loadbalancer.settings import Json, Malformed, split_address
from loadbalancer.store.client import Client
from loadbalancer.store.documents import key
from loadbalancer.store.settings import TlsTable
from loadbalancer.units import Duration, convert

log = logging.getLogger(__name__)

MOST_NAME = 80  # of a service and of a balancer
LEAST_LEASE, MOST_LEASE = 500_000_000, 600_000_000_000
ASK_S, FIRST_S = (
    0.4,
    3.0,
)  # a start waits so long for the store: with a copy of its settings, and without one


class StoreTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    addresses: list[str]
    service: str
    balancer: str = "balancer"
    document: str = ""
    folder: str = ""
    lease: Duration = Duration(
        int(LEASE_S * 1e9)
    )  # work of the fleet passes on after an owner's silence
    rank: int = 0  # the lower, the sooner this one owns it
    reach: dict[
        str, str
    ] = {}  # where a node or an upstream that is known at one address is dialled instead
    sites: bool = (
        False  # take part in what the fleet does when a site is lost, emptied or comes back
    )
    rows: bool = False  # the list of upstreams is rows of the feed, in place of a document
    documents: bool = False  # beside rows: the document, for balancers that know none
    tls: TlsTable | None = None


class Boot:
    """Settings that name a store."""

    def __init__(self, path: Path, table: StoreTable, rest: Json) -> None:
        """Raises Malformed."""
        self.path = path
        self.table = table
        if not table.addresses:
            raise Malformed(f"{path}: store.addresses: at least one is needed")
        for address in (*table.addresses, *table.reach, *table.reach.values()):
            split_address(address)
        for what, name in (("service", table.service), ("balancer", table.balancer)):
            if len(name) > MOST_NAME or not NAME.match(name):
                raise Malformed(
                    f"{path}: store.{what}: {name[:60]!r} is no name: a letter or digit, then"
                    f" letters, digits and ._:@-, {MOST_NAME} characters at most"
                )
        if not LEAST_LEASE <= table.lease <= MOST_LEASE:
            raise Malformed(f"{path}: store.lease: must be 500ms to 10m")
        if not 0 <= table.rank < 1000:
            raise Malformed(f"{path}: store.rank: must be 0 to 999")
        if table.documents and not table.rows:
            raise Malformed(
                f"{path}: store.documents: goes with rows alone: without them the list is a"
                " document anyway"
            )
        if table.rows and "server" in rest:
            raise Malformed(
                f"{path}: store.rows: the list of upstreams is written down in server: there are"
                " no rows of it"
            )
        if table.document and rest:
            raise Malformed(
                f"{path}: {sorted(rest)[0]}: the rest of the settings stands in the document"
                f" {table.document}"
            )
        if table.document and not table.folder:
            raise Malformed(f"{path}: store.folder: is needed, for a copy of the document")
        folder = path.parent / table.folder
        self.cache = folder / "settings.toml" if table.document else None
        if self.cache is not None:
            try:
                folder.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                raise Malformed(f"{folder}: {error.strerror}") from None
        self.tls = table.tls.beside(path.parent) if table.tls else None
        self.fetched = False

    def client(self) -> Client:
        def context() -> ssl.SSLContext | None:
            return self.tls.context(False) if self.tls else None

        return Client(self.table.addresses, context, self.table.balancer, reach=self.table.reach)

    def read(self) -> Config:
        """The configuration; from the store the first time, then from the copy that the keeper
        replaces. Raises Malformed.
        """
        if self.cache is None:
            raw = read_table(self.path)
            raw.pop("store", None)
            return read_raw(raw, str(self.path))
        if not self.fetched:
            self.fetched = True
            asyncio.run(self._fetch())
        try:
            text = self.cache.read_text(encoding="utf-8")
        except OSError:
            raise Malformed(
                f"{self.table.document}: no store tells it, and there is no copy of it"
            ) from None
        return documents.read(self.table.document, text)

    async def _fetch(self) -> None:
        """The document as a majority has it; where none is there, what the nearest node knows is
        still newer than a copy here. With a copy, a start does not wait for long.
        """
        assert self.cache is not None
        name, patience = self.table.document, ASK_S if self.cache.exists() else FIRST_S
        clients = self.client(), self.client()
        linear = asyncio.ensure_future(clients[0].get(key(name), timeout_s=patience))
        stale = asyncio.ensure_future(clients[1].get(key(name), stale=True, timeout_s=patience))
        await asyncio.wait((linear, stale))
        for client in clients:
            await client.close()
        for found in (linear, stale):
            if found.exception() is None:
                row = found.result().rows[0]
                if row.value is not None:
                    try:
                        write_whole(self.cache, row.value)
                    except (
                        OSError
                    ) as error:  # the copy spares a start the store, so this one goes on
                        log.error("%s: %s", self.cache, error)
                return
        log.warning("%s: %s: the copy is used", name, linear.exception())

    def companion(self, parts: Parts) -> Keeper:
        return Keeper(
            self.client(),
            self.table.service,
            self.table.balancer,
            self.table.document,
            self.cache,
            parts,
            self.table.lease / 1e9,
            self.table.rank,
            self.table.reach,
            self.table.sites,
            self.table.rows,
            self.table.documents,
        )


def read_boot(path: Path) -> Boot | None:
    """None where the file names no store. Raises Malformed."""
    raw = read_table(path)
    if "store" not in raw:
        return None
    table = raw.pop("store")
    try:
        return Boot(path, convert(table, StoreTable), raw)
    except ValueError as error:
        raise Malformed(f"{path}: store: {error}") from None
