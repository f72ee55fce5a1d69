"""The processes of one balancer: while one takes over from another, both run under shared limits.

Each process keeps a small file in the state folder, locked as long as it runs, and writes there
what it has done: which version of the set of disabled upstreams it applies, and whether it keeps to
its share of the limits. A file that nobody locks belongs to a process that is dead.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.proxy.atomic_files import write_all

log = logging.getLogger(__name__)

PREFIX = "lanelift-process-"
POLL_S = 0.05  # a tenth of the grace within which a disable must hold
AGREEMENT_POLL_S = POLL_S / 5
RETRY_S = 0.2  # between two tries to write where the folder refuses
NOTE_SIZE = 64  # bytes; a note is written and read at once
NOTE_FIELDS = 2


@dataclass(frozen=True, slots=True)
class ProcessNote:
    """What a process publishes to the others.

    Attributes:
        applied_version: The version of the set of disabled upstreams that it applies.
        is_within_share: It keeps to its share of the limits.
    """

    applied_version: int = 0
    is_within_share: bool = False

    def pack(self) -> bytes:
        """Encode it."""
        return f"{self.applied_version} {int(self.is_within_share)}\n".encode().ljust(NOTE_SIZE)

    @classmethod
    def unpack(cls, data: bytes) -> ProcessNote:
        """Decode it; a file that was just made and not written yet gives an empty note."""
        fields = data.decode("latin-1").split()
        if len(fields) != NOTE_FIELDS or not all(field.isdigit() for field in fields):
            return cls()
        return cls(int(fields[0]), fields[1] == "1")


class ProcessRegistry:
    """The processes of this balancer; without a folder a process knows of no other.

    Attributes:
        note: What this process publishes.
        known: The others' files, and their notes.
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
    def others(self) -> list[ProcessNote]:
        """The notes of the other processes."""
        return list(self.other_notes.values())

    @property
    def is_alone(self) -> bool:
        """Whether no other process is known."""
        return not self.other_notes

    def on_check(self, callback: Callable[[], None]) -> None:
        """Call this behind each periodic check, whether or not anything is new."""
        self._on_check.append(callback)

    def publish(self, note: ProcessNote) -> None:
        """Publish a note to the other processes."""
        self.note = note
        self._write_if_due()

    def check(self) -> None:
        """Find out which other processes run, and read their notes."""
        if self.folder is None:
            return
        self._write_if_due()
        try:
            paths = sorted(self.folder.glob(PREFIX + "*"))
        except OSError as error:  # those that were known are taken to run on
            log.error("state folder not readable: path=%s error=%s", self.folder, error)
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
        """Check now and periodically from now on."""
        self._timer = asyncio.get_running_loop().call_later(POLL_S, self.watch)
        self.check()
        for callback in self._on_check:
            callback()

    async def wait_for_others(
        self, condition: Callable[[ProcessNote], bool], seconds: float
    ) -> bool:
        """Wait until this holds for all the others; False where it does not in time."""
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
        """Make or write the file where it is out of date; a failure is tried again later."""
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
        """Make and lock a file.

        Until it is locked, another process takes it for that of a dead one, and removes it: then
        another is made.

        Raises:
            OSError: The folder refuses.
        """
        while self._descriptor is None:
            self._descriptor, self._path = tempfile.mkstemp(prefix=PREFIX, dir=folder)
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
        self._written = None  # a failed write may leave half of it
        write_all(self._descriptor, self.note.pack())
        self._written = self.note

    def _remove_file(self) -> None:
        """Remove the file: no other process sees this one any more."""
        if self._descriptor is None:
            return
        try:
            os.unlink(self._path)
        except FileNotFoundError:
            pass
        except OSError as error:
            log.error("process note not removed: path=%s error=%s", self._path, error)
        os.close(self._descriptor)
        self._descriptor = None
        self._written = None

    # ---- the others' files -----------------------------------------------------------------------

    def _read(self, path: Path) -> ProcessNote | None:
        """Read the note of a process; None: it is dead, or gone.

        Where that can't be found out, as this process is out of descriptors or the disk fails, its
        last known note stands.
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
