"""The processes of one balancer: while one takes over from another, both run, under limits set for one.

Each keeps a small file in the state folder, locked for as long as it lives, and writes there what it has
done: which version of the operators' set it obeys, and whether it makes do with its part of the limits. A
file that nobody locks belongs to a process that is dead.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

log = logging.getLogger(__name__)

PREFIX = "lanelift-process-"
POLL_S = 0.05  # a tenth of the grace in which a ban must hold: the folder is looked at so often
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
        self.others: list[Note] = []
        self.changed: list[Callable[[], None]] = []  # told at each look, whether or not anything is new
        self.own: int | None = None
        self.path = ""
        self.timer: asyncio.TimerHandle | None = None
        if folder is None:
            return
        try:
            # Until it is locked, another process takes the file for that of a dead one, and removes it.
            while not self._make(folder):
                self.close()
        except OSError as error:
            log.error("other processes of this balancer can't be seen: %s", error)
            self.close()
        self.look()

    def _make(self, folder: Path) -> bool:
        """Make and lock a file of its own; False if it was gone by then."""
        self.own, self.path = tempfile.mkstemp(prefix=PREFIX, dir=folder)
        fcntl.flock(self.own, fcntl.LOCK_EX)
        os.pwrite(self.own, self.note.pack(), 0)
        return os.fstat(self.own).st_nlink > 0

    @property
    def alone(self) -> bool:
        return not self.others

    def publish(self, note: Note) -> None:
        if note != self.note:
            self.note = note
            if self.own is not None:
                try:
                    os.pwrite(self.own, note.pack(), 0)
                except OSError as error:
                    log.error("other processes of this balancer are not told: %s", error)

    def look(self) -> None:
        """Who else is there now, and what do they say?"""
        if self.own is None or self.folder is None:
            return
        found = []
        for path in sorted(self.folder.glob(PREFIX + "*")):
            if str(path) == self.path:
                continue
            try:
                with open(path, "rb", buffering=0) as file:
                    try:
                        fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                    except BlockingIOError:
                        found.append(Note.unpack(file.read(NOTE_SIZE) or b""))
                    else:
                        path.unlink(missing_ok=True)
            except OSError:
                continue  # it has gone meanwhile
        if len(found) != len(self.others):
            log.info("other processes of this balancer: %d", len(found))
        self.others = found

    def watch(self) -> None:
        """Look now and from now on."""
        self.look()
        for tell in self.changed:
            tell()
        self.timer = asyncio.get_running_loop().call_later(POLL_S, self.watch)

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
        if self.own is not None:
            Path(self.path).unlink(missing_ok=True)
            os.close(self.own)
            self.own = None
