"""The processes of one balancer: while one takes over from another, both run, under limits set for
one.

Each keeps a small file in the state folder, locked for as long as it lives, and writes there what
it has done: which version of the operators' set it obeys, and whether it makes do with its part of
the limits. A file that nobody locks belongs to a process that is dead.
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
POLL_S = 0.05  # a tenth of the grace in which a ban must hold: the folder is looked at so often
RETRY_S = 0.2  # between two tries to write where the folder refuses
NOTE_SIZE = 64  # bytes: a note is written and read whole


@dataclass(frozen=True, slots=True)
class Note:
    """What a process tells the others."""

    obeys: int = 0  # the version of the operators' set
    shares: bool = False  # it keeps to its part of the limits

    def pack(self) -> bytes:
        return f"{self.obeys} {int(self.shares)}\n".encode().ljust(NOTE_SIZE)

    @classmethod
    def unpack(cls, data: bytes) -> Note:
        words = data.decode("latin-1").split()
        if len(words) != 2 or not all(word.isdigit() for word in words):
            return cls()  # just made, and not written yet
        return cls(int(words[0]), words[1] == "1")


class Siblings:
    """Without a folder a process knows of no other."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.note = Note()
        self.known: dict[Path, Note] = {}  # the others' files, and what they say
        self.changed: list[
            Callable[[], None]
        ] = []  # told at each look, whether or not anything is new
        self.own: int | None = None
        self.path = ""
        self.written: Note | None = None  # what the file of its own has
        self.retry_s = 0.0  # not tried again before
        self.complained = False  # the folder refuses, and that was said
        self.timer: asyncio.TimerHandle | None = None
        self.look()

    def _make(self, folder: Path) -> None:
        """Make and lock a file of its own. Until it is locked, another process takes it for that of
        a dead one, and removes it: then another is made. Raises OSError.
        """
        while self.own is None:
            self.own, self.path = tempfile.mkstemp(prefix=PREFIX, dir=folder)
            try:
                fcntl.flock(self.own, fcntl.LOCK_EX)
                self._write()
                there = os.fstat(self.own).st_nlink > 0
            except OSError:
                self._drop()
                raise
            if not there:
                self._drop()

    def _write(self) -> None:
        assert self.own is not None
        self.written = None  # half of it may be there
        write_all(self.own, self.note.pack())
        self.written = self.note

    def _drop(self) -> None:
        """Without a file of its own, no other process sees this one."""
        if self.own is not None:
            try:
                os.unlink(self.path)
            except FileNotFoundError:
                pass
            except OSError as error:
                log.error("%s: %s", self.path, error)
            os.close(self.own)
            self.own = self.written = None

    @property
    def others(self) -> list[Note]:
        """What the other processes say."""
        return list(self.known.values())

    @property
    def alone(self) -> bool:
        return not self.known

    def publish(self, note: Note) -> None:
        self.note = note
        self._tell()

    def _tell(self) -> None:
        """See to it that a file of its own is there and says what is so. What fails is tried again
        at each look.
        """
        now = time.monotonic()
        if (
            self.folder is None
            or (self.own is not None and self.written == self.note)
            or now < self.retry_s
        ):
            return
        self.retry_s = now + RETRY_S
        try:
            if self.own is None:
                self._make(self.folder)
            else:
                self._write()
            self.complained, self.retry_s = False, 0.0
        except OSError as error:
            if not self.complained:
                log.error(
                    "other processes of this balancer are not told of this one yet: %s", error
                )
            self.complained = True

    def look(self) -> None:
        """Who else is there now, and what do they say?"""
        if self.folder is None:
            return
        self._tell()
        try:
            paths = sorted(self.folder.glob(PREFIX + "*"))
        except OSError as error:  # whoever was there is there, for all that is known
            log.error("%s: %s", self.folder, error)
            return
        found = {}
        for path in paths:
            note = self._read(path) if str(path) != self.path else None
            if note is not None:
                found[path] = note
        if len(found) != len(self.known):
            log.info("other processes of this balancer: %d", len(found))
        self.known = found

    def _read(self, path: Path) -> Note | None:
        """What the process of this file says; None: it is dead, or gone. Where that can't be told,
        as this process is out of descriptors or the disk errs, it says what it said before.
        """
        try:
            with open(path, "rb", buffering=0) as file:
                try:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except BlockingIOError:
                    return Note.unpack(file.read(NOTE_SIZE) or b"")
                path.unlink(missing_ok=True)
        except FileNotFoundError:
            return None
        except OSError:
            return self.known.get(path)
        return None

    def watch(self) -> None:
        """Look now and from now on, whatever a look comes to."""
        self.timer = asyncio.get_running_loop().call_later(POLL_S, self.watch)
        self.look()
        for tell in self.changed:
            tell()

    async def agreed(self, holds: Callable[[Note], bool], seconds: float) -> bool:
        """Wait until this holds for all the others; False if it does not in time."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    self.look()
                    if all(holds(note) for note in self.others):
                        return True
                    await asyncio.sleep(POLL_S / 5)
        except TimeoutError:
            return False

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self._drop()
