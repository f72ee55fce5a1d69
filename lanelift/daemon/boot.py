"""How a daemon with a store begins: where the store is, and which document holds the rest of its settings.

    [store]
    addresses = ["127.0.0.1:7101", "127.0.0.1:7102"]
    service = "orders"
    balancer = "accra-1"
    document = "balancer/orders"     # without it, the rest of the settings stands in this file
    folder = "state"                 # for a copy of the document
"""

from __future__ import annotations

import asyncio
import logging
import ssl
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from lanelift.__main__ import Config, Parts
from lanelift.daemon.keeper import Keeper, write_cache
from lanelift.daemon.settings import read_text
from lanelift.settings import Malformed, split_address
from lanelift.store.client import Client
from lanelift.store.documents import key
from lanelift.store.security import Tls
from lanelift.store.settings import Keys
from lanelift.units import convert

log = logging.getLogger(__name__)

ASK_S, FIRST_S = 0.4, 3.0  # a start waits so long for the store: with a copy of its settings, and without one


class StoreTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    addresses: list[str]
    service: str
    balancer: str = "balancer"
    document: str = ""
    folder: str = ""
    tls: Keys | None = None


class Boot:
    """Settings that name a store."""

    def __init__(self, path: Path, table: StoreTable, rest: dict[str, Any]) -> None:
        """Raises Malformed."""
        self.path = path
        self.table = table
        if not table.addresses:
            raise Malformed(f"{path}: store.addresses: at least one is needed")
        for address in table.addresses:
            split_address(address)
        if table.document and rest:
            raise Malformed(f"{path}: {sorted(rest)[0]}: the rest of the settings stands in the document"
                            f" {table.document}")
        if table.document and not table.folder:
            raise Malformed(f"{path}: store.folder: is needed, for a copy of the document")
        folder = path.parent / table.folder
        self.cache = folder / "settings.toml" if table.document else None
        if self.cache is not None:
            try:
                folder.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                raise Malformed(f"{folder}: {error.strerror}") from None
        keys = table.tls
        self.tls = Tls(path.parent / keys.certificate, path.parent / keys.key,
                       path.parent / keys.authority) if keys else None
        self.fetched = False

    def client(self) -> Client:
        def context() -> ssl.SSLContext | None:
            return self.tls.context(False) if self.tls else None
        return Client(self.table.addresses, context, self.table.balancer)

    def read(self) -> Config:
        """The configuration; from the store the first time, then from the copy that the keeper replaces.
        Raises Malformed."""
        if self.cache is None:
            return read_text(_without_store(self.path.read_text(encoding="utf-8")), str(self.path))
        if not self.fetched:
            self.fetched = True
            asyncio.run(self._fetch())
        try:
            text = self.cache.read_text(encoding="utf-8")
        except OSError:
            raise Malformed(f"{self.table.document}: no store tells it, and there is no copy of it") from None
        return read_text(text, self.table.document)

    async def _fetch(self) -> None:
        """The document as a majority has it; where none is there, what the nearest node knows is still newer
        than a copy here. With a copy, a start does not wait for long."""
        assert self.cache is not None
        name, patience = self.table.document, ASK_S if self.cache.exists() else FIRST_S
        clients = self.client(), self.client()
        linear = asyncio.ensure_future(clients[0].get(key(name), within_s=patience))
        stale = asyncio.ensure_future(clients[1].get(key(name), stale=True, within_s=patience))
        await asyncio.wait((linear, stale))
        for client in clients:
            await client.close()
        for found in (linear, stale):
            if found.exception() is None:
                row = found.result().rows[0]
                if row.value is not None:
                    write_cache(self.cache, row.value)
                return
        log.warning("%s: %s: the copy is used", name, linear.exception())

    def companion(self, parts: Parts) -> Keeper:
        return Keeper(self.client(), self.table.service, self.table.balancer, self.table.document, self.cache,
                      parts)


def _without_store(text: str) -> str:
    """The file's own settings: the table of the store is not one of them."""
    lines, skip = [], False
    for line in text.splitlines(keepends=True):
        if line.lstrip().startswith("["):
            skip = line.strip().startswith(("[store]", "[store."))
        if not skip:
            lines.append(line)
    return "".join(lines)


def read_boot(path: Path) -> Boot | None:
    """None where the file names no store. Raises Malformed."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise Malformed(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    if "store" not in raw:
        return None
    table = raw.pop("store")
    try:
        return Boot(path, convert(table, StoreTable), raw)
    except ValueError as error:
        raise Malformed(f"{path}: store: {error}") from None


