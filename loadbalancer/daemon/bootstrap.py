"""Startup of a balancer whose settings file has a `[store]` table.

[store]
addresses = ["127.0.0.1:7101", "127.0.0.1:7102"]
service = "orders"
balancer = "accra-1"
document = "balancer/orders"   # has all other settings; without it, this file has them
folder = "state"               # for the local copy of the document
lease = "10s"                  # a leader that does not renew its lease for this long is replaced
sites = true                   # take part in site failover; requires `zone`
rows = true                    # publish the endpoint list as rows of the changefeed
# documents = true             # also publish it as a document, for balancers without row support
# reach = {"10.0.0.1:7101" = "127.0.0.1:9001"}   # with network address translation
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from pathlib import Path

import msgspec

from loadbalancer.daemon import documents
from loadbalancer.daemon.settings import read_raw, read_table
from loadbalancer.daemon.state_sync import LEASE_S, StateSync, StateSyncOptions
from loadbalancer.leases.table import NAME
from loadbalancer.proxy.atomic_files import replace_file
from loadbalancer.proxy.configuration import Config
from loadbalancer.proxy.process import Parts
from loadbalancer.settings import Json, MalformedError, split_address
from loadbalancer.store.client import Client
from loadbalancer.store.documents import key
from loadbalancer.store.settings import TlsTable
from loadbalancer.units import Duration, convert

log = logging.getLogger(__name__)

MAX_NAME_LENGTH = 80  # of a service and of a balancer
MAX_SHOWN_NAME = 60
MIN_LEASE_NS = 500_000_000
MAX_LEASE_NS = 600_000_000_000
RANK_LIMIT = 1000
NS_PER_S = 1e9
# How long startup waits for the store: with a local copy of the settings, and without one.
FETCH_TIMEOUT_S = 0.4
FIRST_FETCH_TIMEOUT_S = 3.0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `[store]` table."""

    addresses: list[str]
    service: str
    balancer: str = "balancer"
    document: str = ""
    folder: str = ""
    lease: Duration = Duration(int(LEASE_S * NS_PER_S))
    rank: int = 0  # among the candidates for a lease, the lowest rank acquires it first
    # Canonical address of a node or an upstream -> the address to dial instead.
    address_map: dict[str, str] = msgspec.field(name="reach", default_factory=dict)
    sites: bool = False
    rows: bool = False
    documents: bool = False
    tls: TlsTable | None = None


class Bootstrap:
    """Reads the settings of a balancer that uses a store, and creates its state sync."""

    def __init__(self, path: Path, store: StoreSettings, other_settings: Json) -> None:
        """Validate the settings and create the folder for the local copy.

        Args:
            path: The settings file.
            store: Its `[store]` table.
            other_settings: All other settings in the file.

        Raises:
            MalformedError: The settings are not valid.
        """
        _validate(path, store)
        _validate_combination(path, store, other_settings)
        self.path = path
        self.store = store
        folder = path.parent / store.folder
        self.copy_path = folder / "settings.toml" if store.document else None
        if self.copy_path is not None:
            try:
                folder.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                raise MalformedError(f"{folder}: {error.strerror}") from None
        self.tls = store.tls.beside(path.parent) if store.tls else None
        self.is_fetched = False

    def create_client(self) -> Client:
        """Return a new client of the store."""

        def tls_context() -> ssl.SSLContext | None:
            return self.tls.context(False) if self.tls else None

        return Client(
            self.store.addresses,
            tls_context,
            self.store.balancer,
            address_map=self.store.address_map,
        )

    def read(self) -> Config:
        """Return the configuration.

        The first call fetches a settings document from the store. Later calls read the local copy,
        which the state sync keeps up to date.

        Raises:
            MalformedError: The settings are not valid, or neither the store nor a local copy is
                available.
        """
        if self.copy_path is None:
            raw = read_table(self.path)
            raw.pop("store", None)
            return read_raw(raw, str(self.path))
        if not self.is_fetched:
            self.is_fetched = True
            timeout_s = FETCH_TIMEOUT_S if self.copy_path.exists() else FIRST_FETCH_TIMEOUT_S
            asyncio.run(self._fetch(self.copy_path, timeout_s))
        try:
            text = self.copy_path.read_text(encoding="utf-8")
        except OSError:
            raise MalformedError(
                f"{self.store.document}: not available from the store, and no local copy exists"
            ) from None
        return documents.read_balancer(self.store.document, text)

    async def _fetch(self, copy_path: Path, timeout_s: float) -> None:
        """Update the local copy from the store.

        A linearizable read is preferred. If it fails, the result of a stale read from the nearest
        node is used, which is still newer than the local copy.
        """
        document = self.store.document
        clients = self.create_client(), self.create_client()
        linearizable = asyncio.ensure_future(clients[0].get(key(document), timeout_s=timeout_s))
        stale = asyncio.ensure_future(
            clients[1].get(key(document), stale=True, timeout_s=timeout_s)
        )
        await asyncio.wait((linearizable, stale))
        for client in clients:
            await client.close()
        for read in (linearizable, stale):
            if read.exception() is None:
                value = read.result().rows[0].value
                if value is not None:
                    _write_copy(copy_path, value)
                return
        log.warning(
            "store not available, using the local copy of the settings: document=%s error=%s",
            document,
            linearizable.exception(),
        )

    def create_state_sync(self, parts: Parts) -> StateSync:
        """Return the state sync of a balancer."""
        options = StateSyncOptions(
            service=self.store.service,
            balancer=self.store.balancer,
            document=self.store.document,
            settings_copy=self.copy_path,
            lease_s=self.store.lease / NS_PER_S,
            rank=self.store.rank,
            address_map=self.store.address_map,
            has_site_failover=self.store.sites,
            publishes_rows=self.store.rows,
            publishes_documents=self.store.documents,
        )
        return StateSync(self.create_client(), parts, options)


def read_bootstrap(path: Path) -> Bootstrap | None:
    """Read a settings file.

    Returns:
        The bootstrap; None if the file has no `[store]` table.

    Raises:
        MalformedError: The settings are not valid.
    """
    raw = read_table(path)
    if "store" not in raw:
        return None
    table = raw.pop("store")
    try:
        return Bootstrap(path, convert(table, StoreSettings), raw)
    except ValueError as error:
        raise MalformedError(f"{path}: store: {error}") from None


def _validate(path: Path, store: StoreSettings) -> None:
    if not store.addresses:
        raise MalformedError(f"{path}: store.addresses: at least one address is required")
    for address in (*store.addresses, *store.address_map, *store.address_map.values()):
        split_address(address)
    for field, name in (("service", store.service), ("balancer", store.balancer)):
        if len(name) > MAX_NAME_LENGTH or not NAME.match(name):
            raise MalformedError(
                f"{path}: store.{field}: {name[:MAX_SHOWN_NAME]!r} is not a valid name: it must be"
                " a letter or digit, followed by letters, digits and ._:@-,"
                f" {MAX_NAME_LENGTH} characters at most"
            )
    if not MIN_LEASE_NS <= store.lease <= MAX_LEASE_NS:
        raise MalformedError(f"{path}: store.lease: must be 500ms to 10m")
    if not 0 <= store.rank < RANK_LIMIT:
        raise MalformedError(f"{path}: store.rank: must be 0 to {RANK_LIMIT - 1}")


def _validate_combination(path: Path, store: StoreSettings, other_settings: Json) -> None:
    if store.documents and not store.rows:
        raise MalformedError(
            f"{path}: store.documents: goes with rows alone: without them the list is a"
            " document anyway"
        )
    if store.rows and "server" in other_settings:
        raise MalformedError(
            f"{path}: store.rows: the list of upstreams is in [[server]], and rows require"
            " discovery"
        )
    if store.document and other_settings:
        raise MalformedError(
            f"{path}: {min(other_settings)}: must be set in the document {store.document}"
        )
    if store.document and not store.folder:
        raise MalformedError(f"{path}: store.folder: is required for the copy of the document")


def _write_copy(path: Path, value: bytes) -> None:
    """Write the local copy.

    A failure is only logged: the copy is for later starts, and this start can continue without it.
    """
    try:
        replace_file(path, value)
    except OSError as error:
        log.error("settings copy not written: path=%s error=%s", path, error)
