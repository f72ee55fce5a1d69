"""Maintains the set of upstreams that operators have disabled, its file and its change listeners.

The file in the state folder is authoritative for all processes of this balancer. It is replaced
atomically, under a lock, and each process checks it periodically. A change is complete once it is
saved and all processes apply it. A change that could not be saved is pending: this process applies
it immediately, and retries the write with a bounded backoff. Each retry merges the pending changes
into the set that other processes have saved since.
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
from loadbalancer.proxy.atomic_files import (
    FileVersion,
    file_version,
    remove_leftovers,
    replace_file,
)
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.settings import MalformedError, checked, required

log = logging.getLogger(__name__)

FILE = "lanelift-disabled.json"
LOCK = "lanelift-disabled.lock"
FORMAT = 1
MAX_FILE_BYTES = 1024 * 1024
# The call must be answered within 1 s. Locks are held briefly; the other process polls the file.
LOCK_TIMEOUT_S = 0.2
LOCK_POLL_S = 0.005
AGREEMENT_TIMEOUT_S = 0.5
MIN_RETRY_S = 0.1  # backoff between failed writes
MAX_RETRY_S = 2.0


class Upstreams(Protocol):
    """Component that applies the set."""

    def was_listed(self, name: str) -> bool:
        """Return whether any endpoint list has ever contained this upstream."""

    def set_disabled(self, name: str, is_disabled: bool) -> None:
        """Disable or enable an upstream."""


class DisabledSet(NamedTuple):
    """Content of the file."""

    names: frozenset[str]
    version: int


class DisabledUpstreams:
    """Set of disabled upstreams; without a folder it is lost when the process exits.

    Attributes:
        balancer: The balancer's name; a file written by another balancer is ignored.
        names: The upstreams that are disabled, including pending changes.
        saved: The set in the file.
        version: The file's version.
        pending: Changes that are not saved yet; True: disabled.
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
        self._is_file_missing = False  # missing or unusable, and must be rewritten
        self._retry_at_s = 0.0
        self._retry_pause_s = MIN_RETRY_S
        self._read_version: FileVersion | None = None
        self._is_read_error_logged = False
        self._change_lock = asyncio.Lock()
        self._on_change: list[Callable[[str, bool], None]] = []

    def start(self) -> None:
        """Apply the file now and whenever it changes."""
        if self.folder is not None and not (self.folder / FILE).exists():
            log.info("no upstream is disabled, file not found: path=%s", FILE)
        self._remove_leftovers()
        self.refresh()
        self.registry.on_check(self.refresh)

    def on_change(self, callback: Callable[[str, bool], None]) -> None:
        """Register a callback for changes that operators request from this process."""
        self._on_change.append(callback)

    async def disable(self, name: str) -> None:
        """Stop sending new requests to an upstream.

        Raises:
            CallDeclinedError: The upstream is unknown; or the change applies here, but is not saved
                or is not yet applied by another process.
        """
        await self._change(name, True)

    async def enable(self, name: str) -> None:
        """Resume sending requests to an upstream.

        Raises:
            CallDeclinedError: The upstream is unknown; or the change could not be saved, and the
                upstream stays disabled; or the change is not yet applied by another process.
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
            # The policy has been notified after the event loop has run an iteration.
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

        A disable must be in effect 1 s after the call, whatever the answer, so it applies
        immediately and is pending until it is saved. An enable applies once it is saved.
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
        """Adopt the set shared by the service's balancers, even if it can't be saved yet."""
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
            TimeoutError: Another process holds the lock.
        """
        with self._lock_file() as lock:
            async with asyncio.timeout(LOCK_TIMEOUT_S):
                while not _try_lock(lock):  # noqa: ASYNC110 (a lock on a file has no event)
                    await asyncio.sleep(LOCK_POLL_S)
            yield

    def _save(self, changes: Mapping[str, bool]) -> None:
        """Merge pending changes and these changes into the file. The caller holds the lock.

        Raises:
            OSError: The write failed; pending changes stay pending.
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
        """Retry the write, unless a change is in progress or the backoff is not over."""
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
        """Remove temporary files of a process that was killed during a write."""
        if self.folder is None:
            return
        try:
            with self._lock_file() as lock:
                if _try_lock(lock):
                    remove_leftovers(self.folder / FILE)
        except OSError as error:
            log.error("can't remove leftover files: path=%s error=%s", LOCK, error)

    def refresh(self) -> None:
        """Read and apply the file if it has changed, and write pending changes."""
        if self.folder is not None:
            self._read_if_changed()
            self._write_pending()

    def _read_if_changed(self) -> None:
        """Read the file if it has changed.

        An unusable file does not change the set; a process that has loaded a set rewrites the file.
        A file that can't be read is read again at the next check.
        """
        assert self.folder is not None
        path = self.folder / FILE
        try:
            version = file_version(path)
            if version == self._read_version:
                return
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            self._on_unusable_file("the file is missing")
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
        """Handle an unusable file; it is rewritten if a set was loaded or saved before."""
        if (self.version or always_log) and not self._is_file_missing:
            log.warning("file of disabled upstreams ignored: path=%s reason=%s", FILE, reason)
        self._is_file_missing = bool(self.version)

    def _parse(self, raw: Any) -> DisabledSet:
        raw = checked(raw, FILE, dict)
        if required(raw, "format", int) != FORMAT:
            raise MalformedError(f"format {raw['format']} is not supported")
        if required(raw, "balancer", str) != self.balancer:
            raise MalformedError(f"the file belongs to balancer {raw['balancer']}, not to this one")
        names = frozenset(
            checked(name, "disabled", str) for name in required(raw, "disabled", list)
        )
        return DisabledSet(names, required(raw, "version", int))

    # ---- applying the set ------------------------------------------------------------------------

    def _apply_saved(self, saved: DisabledSet) -> None:
        """Apply the set in the file, and publish its version to the other processes."""
        self.saved = saved.names
        self.version = saved.version
        self._apply()
        self.registry.publish(replace(self.registry.note, applied_version=saved.version))

    def _apply(self) -> None:
        """Apply the set in the file together with the pending changes."""
        names = _with_changes(self.saved, self.pending)
        for name in sorted(names - self.names):
            log.info("upstream disabled: upstream=%s", name)
            self.upstreams.set_disabled(name, True)
        for name in sorted(self.names - names):
            log.info("upstream enabled: upstream=%s", name)
            self.upstreams.set_disabled(name, False)
        self.names = names


def _with_changes(names: frozenset[str], changes: Mapping[str, bool]) -> frozenset[str]:
    """Return the set after changes; True disables an upstream, False enables it."""
    disabled = {name for name, is_disabled in changes.items() if is_disabled}
    return names - changes.keys() | disabled


def _try_lock(lock: BinaryIO) -> bool:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
