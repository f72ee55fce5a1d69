"""The upstreams that operators have taken out: the set, its file, and who has to know of a change.

The file in the state folder is the truth for every process of this balancer: it is replaced as a
whole, under a lock, and each process looks at it every `POLL_S`. A change counts as made once it is
saved and all of them obey it. What could not be saved is owed: it holds here at once, and is
written until it is written, with bounded pauses, merged into what other processes have saved
meanwhile.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from typing import Any, BinaryIO, Protocol

from loadbalancer.proxy.admin_api import No
from loadbalancer.proxy.atomic_files import clear, write_whole
from loadbalancer.proxy.process_handover import Siblings
from loadbalancer.settings import MalformedError, checked, required

log = logging.getLogger(__name__)

FILE, LOCK = "lanelift-disabled.json", "lanelift-disabled.lock"
FORMAT = 1
MAX_FILE = 1024 * 1024
# An answer is owed within 1 s. A lock is held for a moment; the other process looks every POLL_S.
LOCK_S, AGREE_S = 0.2, 0.5
LOCK_POLL_S = 0.005
RETRY_S = 0.1, 2.0  # pauses between two writes that fail: the first, and the longest


class Upstreams(Protocol):
    """Whoever has to keep to the set."""

    def listed(self, name: str) -> bool: ...

    def ban(self, name: str, on: bool) -> None: ...


class DisabledUpstreams:
    """Without a folder the set lives as long as the process."""

    def __init__(
        self, folder: Path | None, balancer: str, siblings: Siblings, upstreams: Upstreams
    ) -> None:
        self.folder = folder
        self.balancer = balancer  # a file that another balancer left is not believed
        self.siblings = siblings
        self.upstreams = upstreams
        self.names: frozenset[str] = (
            frozenset()
        )  # those that are out: as saved, but for what is owed
        self.saved: frozenset[str] = frozenset()  # the set as the file has it
        self.version = 0  # and its version
        self.owed: dict[str, bool] = {}  # changes that the file does not have: out, or back
        self.missing = False  # the file has gone, or can't be used: it is to be put back
        self.retry_s, self.pause_s = (
            0.0,
            RETRY_S[0],
        )  # not written again before, and how long after that
        self.seen: tuple[int, int] | None = None  # the file as it was when it was last read
        self.seen_broken = False  # it could not be read, and that was said
        self.turn = asyncio.Lock()
        self.heard: list[
            Callable[[str, bool], None]
        ] = []  # who is told what operators asked for here

    def start(self) -> None:
        """Do as the file says, now and whenever it changes."""
        if self.folder is not None and not (self.folder / FILE).exists():
            log.info("no upstream is disabled: there is no %s yet", FILE)
        self._clear()
        self.refresh()
        self.siblings.changed.append(self.refresh)

    async def disable(self, name: str) -> None:
        """Nothing new to this upstream. Raises No."""
        await self._change(name, True)

    async def enable(self, name: str) -> None:
        """Put it back. Raises No: then it is out as before."""
        await self._change(name, False)

    async def _change(self, name: str, on: bool) -> None:
        if name not in self.names and not self.upstreams.listed(name):
            raise No(HTTPStatus.NOT_FOUND, f"no upstream {name} was ever listed")
        async with self.turn:
            if self.folder is None:
                self._take(self.names | {name} if on else self.names - {name}, self.version + 1)
            else:
                await self._save_change(name, on)
            version = self.version
            # The module has heard of it once the loop has turned.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for hear in self.heard:
            hear(name, on)
        if not await self.siblings.agreed(lambda note: note.obeys >= version, AGREE_S):
            raise No(
                HTTPStatus.SERVICE_UNAVAILABLE, "done here, not yet by another process: repeat"
            )

    async def _save_change(self, name: str, on: bool) -> None:
        """A disable binds from 1 s after the call on, whatever is answered: it holds at once, and
        is owed. An enable is made once it is saved.
        """
        if on:
            self.owed[name] = True
            self._obey()
        else:
            self.owed.pop(name, None)
        try:
            async with self._locked():
                self._save({} if on else {name: False})
        except (OSError, TimeoutError) as error:
            log.error("the set of disabled upstreams is not saved: %s", error)
            raise No(
                HTTPStatus.SERVICE_UNAVAILABLE, f"not saved: {error or 'the file is locked'}"
            ) from None

    async def adopt(self, names: frozenset[str]) -> None:
        """The set as all balancers of the service keep it. It holds here even if it can't be saved
        yet.
        """
        async with self.turn:
            if names == self.names:
                return
            if self.folder is None:
                self._take(names, self.version + 1)
                return
            self.owed = {name: name in names for name in names ^ self.saved}
            self._obey()
            try:
                async with self._locked():
                    self._save({})
            except (OSError, TimeoutError) as error:
                log.error("the set of disabled upstreams is not saved yet: %s", error)

    # ---- the file --------------------------------------------------------------------------------

    @asynccontextmanager
    async def _locked(self) -> AsyncIterator[None]:
        assert self.folder is not None
        with open(self.folder / LOCK, "ab") as lock:
            async with asyncio.timeout(LOCK_S):
                while not _lock(lock):
                    await asyncio.sleep(LOCK_POLL_S)
            yield

    def _save(self, more: Mapping[str, bool]) -> None:
        """Write what is owed, and these changes, on top of what the file has now. The lock is held.
        Raises OSError: then all of it is still owed, but for `more`.
        """
        assert self.folder is not None
        self._read_again()
        changes = {**self.owed, **more}
        names = _changed(self.saved, changes)
        version = self.version
        if names != self.saved or self.missing:
            version = 1 + max(version, *(note.obeys for note in self.siblings.others), 0)
            whole = {
                "format": FORMAT,
                "balancer": self.balancer,
                "version": version,
                "disabled": sorted(names),
            }
            write_whole(self.folder / FILE, json.dumps(whole).encode())
        self.owed.clear()
        self.missing = False
        self.pause_s = RETRY_S[0]
        self._take(names, version)

    def _write_owed(self) -> None:
        """Once more, unless somebody is at it, or it failed a moment ago."""
        now = time.monotonic()
        if (
            self.folder is None
            or not (self.owed or self.missing)
            or self.turn.locked()
            or now < self.retry_s
        ):
            return
        self.retry_s, self.pause_s = now + self.pause_s, min(2 * self.pause_s, RETRY_S[1])
        try:
            with open(self.folder / LOCK, "ab") as lock:
                if _lock(lock):
                    self._save({})
                    log.info("the set of disabled upstreams is saved")
        except OSError as error:
            log.error("the set of disabled upstreams is not saved yet: %s", error)

    def _clear(self) -> None:
        """Remove what a process that was killed in the middle of a write has left."""
        if self.folder is None:
            return
        try:
            with open(self.folder / LOCK, "ab") as lock:
                if _lock(lock):
                    clear(self.folder / FILE)
        except OSError as error:
            log.error("%s: %s", LOCK, error)

    def refresh(self) -> None:
        """Read the file if it is another than before, and do as it says; write what is owed."""
        if self.folder is not None:
            self._read_again()
            self._write_owed()

    def _read_again(self) -> None:
        """One that can't be used changes nothing: what is out stays out, and whoever knows the set
        puts it back. One that can't be read is read again.
        """
        assert self.folder is not None
        path = self.folder / FILE
        try:
            stat = path.stat()
            now = stat.st_ino, stat.st_mtime_ns
            if now == self.seen:
                return
            with open(path, "rb") as file:
                data = file.read(MAX_FILE)
        except FileNotFoundError:
            self._lost("it has gone")
            return
        except OSError as error:
            if not self.seen_broken:
                log.error("%s can't be read: %s", FILE, error)
            self.seen_broken = True
            return
        self.seen, self.seen_broken = now, False
        try:
            names, version = self._parse(json.loads(data))
        except (ValueError, RecursionError, MalformedError) as error:
            self._lost(str(error), always=True)
            return
        self.missing = False
        if version > self.version:
            self._take(names, version)

    def _lost(self, why: str, always: bool = False) -> None:
        """The file can't be used. It is put back where a set was known; `always`: said in any
        case.
        """
        if (self.version or always) and not self.missing:
            log.warning("%s is left aside: %s", FILE, why)
        self.missing = bool(self.version)

    def _parse(self, raw: Any) -> tuple[frozenset[str], int]:
        raw = checked(raw, FILE, dict)
        if required(raw, "format", int) != FORMAT:
            raise MalformedError(f"format {raw['format']} is not known")
        if required(raw, "balancer", str) != self.balancer:
            raise MalformedError(f"it is balancer {raw['balancer']}'s")
        names = frozenset(
            checked(name, "disabled", str) for name in required(raw, "disabled", list)
        )
        return names, required(raw, "version", int)

    # ---- in force --------------------------------------------------------------------------------

    def _take(self, saved: frozenset[str], version: int) -> None:
        """The file has this, and all processes are told that it is obeyed here."""
        self.saved, self.version = saved, version
        self._obey()
        self.siblings.publish(replace(self.siblings.note, obeys=version))

    def _obey(self) -> None:
        """Do as the file says, and what is owed beyond it."""
        names = _changed(self.saved, self.owed)
        for name in sorted(names - self.names):
            log.info("upstream %s is disabled", name)
            self.upstreams.ban(name, True)
        for name in sorted(self.names - names):
            log.info("upstream %s is enabled", name)
            self.upstreams.ban(name, False)
        self.names = names


def _changed(names: frozenset[str], changes: Mapping[str, bool]) -> frozenset[str]:
    """The set with these put out (True) or back."""
    out = {name for name, on in changes.items() if on}
    return names - changes.keys() | out


def _lock(file: BinaryIO) -> bool:
    """Take the lock, unless another process has it. Raises OSError."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
