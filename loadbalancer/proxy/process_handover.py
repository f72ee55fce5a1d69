"""Coordination of the processes of one balancer, which share limits while one replaces another.

Each process keeps a small file in the state folder, and holds a lock on it while it runs. The file
states which version of the set of disabled upstreams the process applies, and whether it uses no
more than its share of the limits. An unlocked file belongs to a process that has exited.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.proxy.atomic_files import create_unique_file, write_all

log = logging.getLogger(__name__)

PREFIX = "lanelift-process-"
POLL_S = 0.05  # a tenth of the grace period within which a disable must take effect
AGREEMENT_POLL_S = POLL_S / 5
RETRY_S = 0.2  # interval between write attempts after a failure
NOTE_SIZE = 64  # bytes; a note is written and read in one call
NOTE_FIELDS = 2


def file_beside_note(note_path: Path, prefix: str) -> Path:
    """Return another file of a process, named by its own prefix, from the path of its note."""
    return note_path.with_name(prefix + note_path.name.removeprefix(PREFIX))


@dataclass(frozen=True, slots=True)
class ProcessNote:
    """State that a process publishes to the others.

    Attributes:
        applied_version: The version of the set of disabled upstreams that the process applies.
        is_within_share: Whether the process uses no more than its share of the limits.
    """

    applied_version: int = 0
    is_within_share: bool = False

    def pack(self) -> bytes:
        """Encode the note."""
        return f"{self.applied_version} {int(self.is_within_share)}\n".encode().ljust(NOTE_SIZE)

    @classmethod
    def unpack(cls, data: bytes) -> ProcessNote:
        """Decode a note; a file that is created but not written yet gives an empty one."""
        fields = data.decode("latin-1").split()
        if len(fields) != NOTE_FIELDS or not all(field.isdigit() for field in fields):
            return cls()
        return cls(int(fields[0]), fields[1] == "1")


class ProcessRegistry:
    """Registry of this balancer's processes; without a folder it finds no others.

    Attributes:
        note: The note that this process publishes.
        other_notes: The notes of the other processes, by file.
    """

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.note = ProcessNote()
        self.other_notes: dict[Path, ProcessNote] = {}
        self._on_check: list[Callable[[], None]] = []
        self._descriptor: int | None = None
        self._path = ""
        self._written: ProcessNote | None = None
        self._retry_at_s = 0.0
        self._is_failure_logged = False
        self._timer: asyncio.TimerHandle | None = None
        self.check()

    @property
    def path(self) -> Path | None:
        """The file of this process; None while it has none."""
        return Path(self._path) if self._path else None

    @property
    def is_failing(self) -> bool:
        """Whether this process could not register, so that others may run unknown to each other."""
        return self.folder is not None and self._descriptor is None

    @property
    def others(self) -> list[ProcessNote]:
        """The notes of the other processes."""
        return list(self.other_notes.values())

    @property
    def is_alone(self) -> bool:
        """Whether no other process is registered."""
        return not self.other_notes

    def on_check(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs after each periodic check, changed or not."""
        self._on_check.append(callback)

    def publish(self, note: ProcessNote) -> None:
        """Publish a note to the other processes."""
        self.note = note
        self._write_if_due()

    def check(self) -> None:
        """Find the other running processes, and read their notes."""
        if self.folder is None:
            return
        self._write_if_due()
        try:
            paths = sorted(self.folder.glob(PREFIX + "*"))
        except OSError as error:  # keeps the last known processes
            log.error("can't read state folder: path=%s error=%s", self.folder, error)
            return
        notes = {}
        for path in paths:
            note = self._read(path) if str(path) != self._path else None
            if note is not None:
                notes[path] = note
        if len(notes) != len(self.other_notes):
            log.info("other processes of this balancer: count=%d", len(notes))
        self.other_notes = notes

    def watch(self) -> None:
        """Check now, and then every `POLL_S`."""
        self._timer = asyncio.get_running_loop().call_later(POLL_S, self.watch)
        self.check()
        for callback in self._on_check:
            callback()

    async def wait_for_others(
        self, condition: Callable[[ProcessNote], bool], seconds: float
    ) -> bool:
        """Wait until a condition holds for all others; return False on timeout."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    self.check()
                    if all(condition(note) for note in self.others):
                        return True
                    await asyncio.sleep(AGREEMENT_POLL_S)
        except TimeoutError:
            return False

    def close(self) -> None:
        """Remove this process from the registry."""
        if self._timer is not None:
            self._timer.cancel()
        self._remove_file()

    # ---- this process's file ---------------------------------------------------------------------

    def _write_if_due(self) -> None:
        """Create or write the file if it is outdated; a failed attempt is retried later."""
        now_s = time.monotonic()
        is_current = self._descriptor is not None and self._written == self.note
        if self.folder is None or is_current or now_s < self._retry_at_s:
            return
        self._retry_at_s = now_s + RETRY_S
        try:
            if self._descriptor is None:
                self._create_file(self.folder)
            else:
                self._write()
        except OSError as error:
            if not self._is_failure_logged:
                log.error("process note not written, retrying: error=%s", error)
            self._is_failure_logged = True
            return
        self._is_failure_logged = False
        self._retry_at_s = 0.0

    def _create_file(self, folder: Path) -> None:
        """Create and lock a file.

        Another process may remove the file before it is locked, because an unlocked file seems to
        belong to a process that has exited. In that case another file is created.

        Raises:
            OSError: The file can't be created, locked or written.
        """
        while self._descriptor is None:
            self._descriptor, path = create_unique_file(folder, PREFIX)
            self._path = str(path)
            try:
                fcntl.flock(self._descriptor, fcntl.LOCK_EX)
                self._write()
                is_linked = os.fstat(self._descriptor).st_nlink > 0
            except OSError:
                self._remove_file()
                raise
            if not is_linked:
                self._remove_file()

    def _write(self) -> None:
        assert self._descriptor is not None
        self._written = None  # a failed write may be partial
        write_all(self._descriptor, self.note.pack())
        self._written = self.note

    def _remove_file(self) -> None:
        """Remove the file, so that the other processes no longer find this one."""
        if self._descriptor is None:
            return
        try:
            os.unlink(self._path)
        except FileNotFoundError:
            pass
        except OSError as error:
            log.error("can't remove process note: path=%s error=%s", self._path, error)
        os.close(self._descriptor)
        self._descriptor = None
        self._written = None

    # ---- the others' files -----------------------------------------------------------------------

    def _read(self, path: Path) -> ProcessNote | None:
        """Read the note of a process; None: the process has exited.

        If the file can't be opened or read, because this process is out of descriptors or the disk
        fails, the last known note is returned.
        """
        try:
            with open(path, "rb", buffering=0) as file:
                try:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except BlockingIOError:
                    return ProcessNote.unpack(file.read(NOTE_SIZE) or b"")
                path.unlink(missing_ok=True)
        except FileNotFoundError:
            return None
        except OSError:
            return self.other_notes.get(path)
        return None
