"""The upstreams that operators have taken out: the set, its file, and who has to know of a change.

The file in the state folder is the truth for every process of this balancer: it is replaced as a whole, under
a lock, and each process looks at it every `POLL_S`. A change counts as made once all of them obey it.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import os
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from typing import Any, Protocol

from lanelift.net.management import No
from lanelift.net.siblings import Siblings
from lanelift.settings import Malformed, need, typed

log = logging.getLogger(__name__)

FILE, LOCK = "lanelift-disabled.json", "lanelift-disabled.lock"
FORMAT = 1
MAX_FILE = 1024 * 1024
# An answer is owed within 1 s. A lock is held for a moment; the other process looks every POLL_S.
LOCK_S, AGREE_S = 0.2, 0.5
LOCK_POLL_S = 0.005


class Upstreams(Protocol):
    """Whoever has to keep to the set."""

    def listed(self, name: str) -> bool: ...

    def ban(self, name: str, on: bool) -> None: ...


class DisabledUpstreams:
    """Without a folder the set lives as long as the process."""

    def __init__(self, folder: Path | None, balancer: str, siblings: Siblings, upstreams: Upstreams) -> None:
        self.folder = folder
        self.balancer = balancer  # a file that another balancer left is not believed
        self.siblings = siblings
        self.upstreams = upstreams
        self.names: frozenset[str] = frozenset()
        self.version = 0
        self.seen: tuple[int, int] | None = None  # the file as it was when it was last read
        self.turn = asyncio.Lock()
        self.heard: list[Callable[[str, bool], None]] = []  # who is told what operators asked for here

    def start(self) -> None:
        if self.folder is not None and not (self.folder / FILE).exists():
            log.info("no upstream is disabled: there is no %s yet", FILE)
        self.refresh()
        self.siblings.changed.append(self.refresh)

    async def disable(self, name: str) -> None:
        await self._change(name, True)

    async def enable(self, name: str) -> None:
        await self._change(name, False)

    async def _change(self, name: str, on: bool) -> None:
        if name not in self.names and not self.upstreams.listed(name):
            raise No(HTTPStatus.NOT_FOUND, f"no upstream {name} was ever listed")
        async with self.turn:
            version = await self._write(name, on) if self.folder is not None else self.version + 1
            if self.folder is None:
                self._take(self.names | {name} if on else self.names - {name}, version)
            # The module has heard of it once the loop has turned.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for hear in self.heard:
            hear(name, on)
        if not await self.siblings.agreed(lambda note: note.obeys >= version, AGREE_S):
            raise No(HTTPStatus.SERVICE_UNAVAILABLE, "done here, not yet by another process: repeat")

    async def adopt(self, names: frozenset[str]) -> None:
        """The set as all balancers of the service keep it. It holds here even if it can't be saved."""
        async with self.turn:
            if names == self.names:
                return
            version = 1 + max(self.version, *(note.obeys for note in self.siblings.others), 0)
            self._take(names, version)
            if self.folder is not None:
                try:
                    async with self._locked(self.folder / LOCK):
                        self._save(names, version)
                except (OSError, TimeoutError) as error:
                    log.error("the set of disabled upstreams is not saved: %s", error)

    async def _write(self, name: str, on: bool) -> int:
        assert self.folder is not None
        try:
            async with self._locked(self.folder / LOCK):
                self.refresh()
                names = self.names | {name} if on else self.names - {name}
                version = self.version
                if names != self.names:
                    version = 1 + max(version, *(note.obeys for note in self.siblings.others), 0)
                    # It holds here even if it can't be saved.
                    self._take(names, version)
                    self._save(names, version)
                return version
        except (OSError, TimeoutError) as error:
            log.error("the set of disabled upstreams is not saved: %s", error)
            raise No(HTTPStatus.SERVICE_UNAVAILABLE, f"not saved: {error or 'the file is locked'}") from None

    @asynccontextmanager
    async def _locked(self, path: Path) -> AsyncIterator[None]:
        with open(path, "ab") as lock:
            async with asyncio.timeout(LOCK_S):
                while True:
                    with suppress(BlockingIOError):
                        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                        break
                    await asyncio.sleep(LOCK_POLL_S)
            yield

    def _save(self, names: frozenset[str], version: int) -> None:
        """Replaced as a whole. The folder does not outlive the machine, so there is nothing to sync for."""
        assert self.folder is not None
        whole = {"format": FORMAT, "balancer": self.balancer, "version": version, "disabled": sorted(names)}
        number, path = tempfile.mkstemp(prefix=FILE + ".", dir=self.folder)
        try:
            with open(number, "w", encoding="utf-8") as file:
                json.dump(whole, file)
            os.replace(path, self.folder / FILE)
        except OSError:
            Path(path).unlink(missing_ok=True)
            raise

    def refresh(self) -> None:
        """Read the file if it is another than before, and do as it says. One that can't be used changes
        nothing: what is out stays out."""
        if self.folder is None:
            return
        path = self.folder / FILE
        try:
            stat = path.stat()
            if (stat.st_ino, stat.st_mtime_ns) == self.seen:
                return
            self.seen = stat.st_ino, stat.st_mtime_ns
            with open(path, "rb") as file:
                names, version = self._read(json.loads(file.read(MAX_FILE)))
        except FileNotFoundError:
            if not self.version:
                return  # there never was one
            self._restore("it has gone")
            return
        except (OSError, ValueError, RecursionError, Malformed) as error:
            self._restore(str(error))
            return
        if version > self.version:
            self._take(names, version)

    def _restore(self, why: str) -> None:
        """The file can't be used. Whoever knows the set puts it back."""
        log.warning("%s is left aside: %s", FILE, why)
        if self.version:
            try:
                self._save(self.names, self.version)
            except OSError as error:
                log.error("the set of disabled upstreams is not saved: %s", error)

    def _read(self, raw: Any) -> tuple[frozenset[str], int]:
        raw = typed(raw, FILE, dict)
        if need(raw, "format", int) != FORMAT:
            raise Malformed(f"format {raw['format']} is not known")
        if need(raw, "balancer", str) != self.balancer:
            raise Malformed(f"it is balancer {raw['balancer']}'s")
        names = frozenset(typed(name, "disabled", str) for name in need(raw, "disabled", list))
        return names, need(raw, "version", int)

    def _take(self, names: frozenset[str], version: int) -> None:
        for name in sorted(names - self.names):
            log.info("upstream %s is disabled", name)
            self.upstreams.ban(name, True)
        for name in sorted(self.names - names):
            log.info("upstream %s is enabled", name)
            self.upstreams.ban(name, False)
        self.names, self.version = names, version
        self.siblings.publish(replace(self.siblings.note, obeys=version))
