"""The upstreams that operators have disabled: the set, its file, and who is notified of a change.

The file in the state folder is the truth for every process of this balancer: it is replaced
atomically, under a lock, and each process checks it periodically. A change counts as made once it
is saved and all processes apply it. What could not be saved is pending: it holds here at once, and
is written again with bounded pauses until it is saved, merged into what other processes have saved
meanwhile.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import time
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple, Protocol

from loadbalancer.proxy.admin_api import CallDeclinedError
from loadbalancer.proxy.atomic_files import remove_leftovers, replace_file
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.settings import MalformedError, checked, required

log = logging.getLogger(__name__)

FILE = "lanelift-disabled.json"
LOCK = "lanelift-disabled.lock"
FORMAT = 1
MAX_FILE_BYTES = 1024 * 1024
# An answer is owed within 1 s. A lock is held for a moment; the other process checks periodically.
LOCK_TIMEOUT_S = 0.2
LOCK_POLL_S = 0.005
AGREEMENT_TIMEOUT_S = 0.5
MIN_RETRY_S = 0.1  # between two writes that fail
MAX_RETRY_S = 2.0


class Upstreams(Protocol):
    """What applies the set."""

    def was_listed(self, name: str) -> bool:
        """Whether any endpoint list has ever named this upstream."""

    def set_disabled(self, name: str, is_disabled: bool) -> None:
        """Disable an upstream, or enable it again."""


class FileVersion(NamedTuple):
    """Identifies one replacement of the file."""

    inode: int
    modified_ns: int


class DisabledSet(NamedTuple):
    """The set as the file has it."""

    names: frozenset[str]
    version: int


class DisabledUpstreams:
    """The set of disabled upstreams; without a folder it lives as long as the process.

    Attributes:
        balancer: A file that another balancer left is not used.
        names: Those that are disabled: as saved, and what is pending.
        saved: The set as the file has it.
        version: The file's version.
        pending: Changes that the file does not have; True: disabled.
    """

    def __init__(
        self,
        folder: Path | None,
        balancer: str,
        registry: ProcessRegistry,
        upstreams: Upstreams,
    ) -> None:
        self.folder = folder
        self.balancer = balancer
        self.registry = registry
        self.upstreams = upstreams
        self.names: frozenset[str] = frozenset()
        self.saved: frozenset[str] = frozenset()
        self.version = 0
        self.pending: dict[str, bool] = {}
        self._is_file_missing = False  # it is gone, or can't be used: it is to be written again
        self._retry_at_s = 0.0
        self._retry_pause_s = MIN_RETRY_S
        self._read_version: FileVersion | None = None
        self._is_read_error_logged = False
        self._change_lock = asyncio.Lock()
        self._on_change: list[Callable[[str, bool], None]] = []

    def start(self) -> None:
        """Apply the file, now and whenever it changes."""
        if self.folder is not None and not (self.folder / FILE).exists():
            log.info("no upstream is disabled, file not found: path=%s", FILE)
        self._remove_leftovers()
        self.refresh()
        self.registry.on_check(self.refresh)

    def on_change(self, callback: Callable[[str, bool], None]) -> None:
        """Call this with each change that operators request here."""
        self._on_change.append(callback)

    async def disable(self, name: str) -> None:
        """Send no new request to this upstream.

        Raises:
            CallDeclinedError: It holds here, but is not saved or not applied everywhere yet.
        """
        await self._change(name, True)

    async def enable(self, name: str) -> None:
        """Use this upstream again.

        Raises:
            CallDeclinedError: It could not be saved, and the upstream is disabled as before.
        """
        await self._change(name, False)

    async def _change(self, name: str, is_disabled: bool) -> None:
        if name not in self.names and not self.upstreams.was_listed(name):
            raise CallDeclinedError(HTTPStatus.NOT_FOUND, f"no upstream {name} was ever listed")
        async with self._change_lock:
            if self.folder is None:
                names = self.names | {name} if is_disabled else self.names - {name}
                self._apply_saved(DisabledSet(names, self.version + 1))
            else:
                await self._save_change(name, is_disabled)
            version = self.version
            # The policy has been notified once the loop has turned.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for callback in self._on_change:
            callback(name, is_disabled)
        if not await self.registry.wait_for_others(
            lambda note: note.applied_version >= version, AGREEMENT_TIMEOUT_S
        ):
            raise CallDeclinedError(
                HTTPStatus.SERVICE_UNAVAILABLE, "done here, not yet by another process: repeat"
            )

    async def _save_change(self, name: str, is_disabled: bool) -> None:
        """Save a change.

        A disable binds from 1 s after the call on, whatever is answered: it holds at once, and is
        pending. An enable is made once it is saved.
        """
        if is_disabled:
            self.pending[name] = True
            self._apply()
        else:
            self.pending.pop(name, None)
        try:
            async with self._locked():
                self._save({} if is_disabled else {name: False})
        except (OSError, TimeoutError) as error:
            log.error("disabled upstreams not saved: error=%s", error)
            raise CallDeclinedError(
                HTTPStatus.SERVICE_UNAVAILABLE, f"not saved: {error or 'the file is locked'}"
            ) from None

    async def adopt(self, names: frozenset[str]) -> None:
        """Adopt the set of the service's balancers; it holds here even if it can't be saved yet."""
        async with self._change_lock:
            if names == self.names:
                return
            if self.folder is None:
                self._apply_saved(DisabledSet(names, self.version + 1))
                return
            self.pending = {name: name in names for name in names ^ self.saved}
            self._apply()
            try:
                async with self._locked():
                    self._save({})
            except (OSError, TimeoutError) as error:
                log.error("disabled upstreams not saved, retrying: error=%s", error)

    # ---- the file --------------------------------------------------------------------------------

    @contextmanager
    def _lock_file(self) -> Iterator[BinaryIO]:
        assert self.folder is not None
        with open(self.folder / LOCK, "ab") as lock:
            yield lock

    @asynccontextmanager
    async def _locked(self) -> AsyncIterator[None]:
        """Hold the file's lock.

        Raises:
            TimeoutError: Another process holds it.
        """
        with self._lock_file() as lock:
            async with asyncio.timeout(LOCK_TIMEOUT_S):
                while not _try_lock(lock):  # noqa: ASYNC110 (a lock on a file has no event)
                    await asyncio.sleep(LOCK_POLL_S)
            yield

    def _save(self, changes: Mapping[str, bool]) -> None:
        """Write what is pending, and these changes, on top of the file. The lock is held.

        Raises:
            OSError: It failed, and what was pending still is.
        """
        assert self.folder is not None
        self._read_if_changed()
        names = _with_changes(self.saved, {**self.pending, **changes})
        version = self.version
        if names != self.saved or self._is_file_missing:
            applied = (note.applied_version for note in self.registry.others)
            version = 1 + max(version, *applied, 0)
            document = {
                "format": FORMAT,
                "balancer": self.balancer,
                "version": version,
                "disabled": sorted(names),
            }
            replace_file(self.folder / FILE, json.dumps(document).encode())
        self.pending.clear()
        self._is_file_missing = False
        self._retry_pause_s = MIN_RETRY_S
        self._apply_saved(DisabledSet(names, version))

    def _write_pending(self) -> None:
        """Write once more, unless a change is under way, or a write failed a moment ago."""
        now_s = time.monotonic()
        has_work = bool(self.pending) or self._is_file_missing
        if not has_work or self._change_lock.locked() or now_s < self._retry_at_s:
            return
        self._retry_at_s = now_s + self._retry_pause_s
        self._retry_pause_s = min(2 * self._retry_pause_s, MAX_RETRY_S)
        try:
            with self._lock_file() as lock:
                if _try_lock(lock):
                    self._save({})
                    log.info("disabled upstreams saved: version=%d", self.version)
        except OSError as error:
            log.error("disabled upstreams not saved, retrying: error=%s", error)

    def _remove_leftovers(self) -> None:
        """Remove what a process that was killed in the middle of a write has left."""
        if self.folder is None:
            return
        try:
            with self._lock_file() as lock:
                if _try_lock(lock):
                    remove_leftovers(self.folder / FILE)
        except OSError as error:
            log.error("leftovers not removed: path=%s error=%s", LOCK, error)

    def refresh(self) -> None:
        """Read and apply the file where it has changed, and write what is pending."""
        if self.folder is not None:
            self._read_if_changed()
            self._write_pending()

    def _read_if_changed(self) -> None:
        """Read the file.

        One that can't be used changes nothing: the set stands, and is written again by a process
        that knows it. One that can't be read is read again.
        """
        assert self.folder is not None
        path = self.folder / FILE
        try:
            stat = path.stat()
            version = FileVersion(stat.st_ino, stat.st_mtime_ns)
            if version == self._read_version:
                return
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            self._on_unusable_file("it is gone")
            return
        except OSError as error:
            if not self._is_read_error_logged:
                log.error("disabled upstreams can't be read: path=%s error=%s", FILE, error)
            self._is_read_error_logged = True
            return
        self._read_version = version
        self._is_read_error_logged = False
        self._load(data)

    def _load(self, data: bytes) -> None:
        try:
            loaded = self._parse(json.loads(data))
        except (ValueError, RecursionError, MalformedError) as error:
            self._on_unusable_file(str(error), always_log=True)
            return
        self._is_file_missing = False
        if loaded.version > self.version:
            self._apply_saved(loaded)

    def _on_unusable_file(self, reason: str, always_log: bool = False) -> None:
        """Note that the file can't be used; it is written again where a set was known."""
        if (self.version or always_log) and not self._is_file_missing:
            log.warning("file of disabled upstreams ignored: path=%s reason=%s", FILE, reason)
        self._is_file_missing = bool(self.version)

    def _parse(self, raw: Any) -> DisabledSet:
        raw = checked(raw, FILE, dict)
        if required(raw, "format", int) != FORMAT:
            raise MalformedError(f"format {raw['format']} is not known")
        if required(raw, "balancer", str) != self.balancer:
            raise MalformedError(f"it is balancer {raw['balancer']}'s")
        names = frozenset(
            checked(name, "disabled", str) for name in required(raw, "disabled", list)
        )
        return DisabledSet(names, required(raw, "version", int))

    # ---- in force --------------------------------------------------------------------------------

    def _apply_saved(self, saved: DisabledSet) -> None:
        """Apply the file's set, and publish to the other processes that it is applied here."""
        self.saved = saved.names
        self.version = saved.version
        self._apply()
        self.registry.publish(replace(self.registry.note, applied_version=saved.version))

    def _apply(self) -> None:
        """Apply the file's set, and what is pending beyond it."""
        names = _with_changes(self.saved, self.pending)
        for name in sorted(names - self.names):
            log.info("upstream disabled: upstream=%s", name)
            self.upstreams.set_disabled(name, True)
        for name in sorted(self.names - names):
            log.info("upstream enabled: upstream=%s", name)
            self.upstreams.set_disabled(name, False)
        self.names = names


def _with_changes(names: frozenset[str], changes: Mapping[str, bool]) -> frozenset[str]:
    """The set with these disabled (True) or enabled."""
    disabled = {name for name, is_disabled in changes.items() if is_disabled}
    return names - changes.keys() | disabled


def _try_lock(lock: BinaryIO) -> bool:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
