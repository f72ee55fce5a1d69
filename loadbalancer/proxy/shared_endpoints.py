"""Files through which the processes of one balancer share their endpoint lists.

While two processes run, each has a file beside its process note, which it replaces atomically when
its list changes, and removes when it ends, unless another process has yet to read it.
"""

from __future__ import annotations

import logging
import time
from contextlib import suppress
from pathlib import Path
from typing import Final, NamedTuple

from loadbalancer.proxy.atomic_files import FileVersion, file_version, replace_file
from loadbalancer.proxy.process_handover import RETRY_S, ProcessRegistry, file_beside_note
from loadbalancer.proxy.shared_list import SharedList
from loadbalancer.settings import MalformedError

log = logging.getLogger(__name__)

PREFIX: Final = "lanelift-endpoints-"
MAX_FILE_BYTES: Final = 4 * 1024 * 1024


class ReadFile(NamedTuple):
    """A file that was read.

    Attributes:
        shared: Its list; None: the file is malformed.
    """

    version: FileVersion
    shared: SharedList | None


def list_path(note_path: Path) -> Path:
    """Return the file of a process, from the path of its process note."""
    return file_beside_note(note_path, PREFIX)


class SharedEndpoints:
    """The list that this process shares, and those of the others.

    Args:
        registry: The processes of this balancer.
    """

    def __init__(self, registry: ProcessRegistry) -> None:
        self.registry = registry
        self._written: SharedList | None = None
        self._retry_at_s = 0.0
        self._is_failure_logged = False
        self._read: dict[Path, ReadFile] = {}  # of the other processes that run
        self._ended: SharedList | None = None  # last list of the last process that ended in order

    @property
    def running(self) -> list[SharedList]:
        """The lists of the other processes that run, as last read."""
        return [file.shared for file in self._read.values() if file.shared is not None]

    @property
    def all(self) -> list[SharedList]:
        """The lists of the other processes, and the last one of the last that ended in order."""
        return [*self.running, self._ended] if self._ended is not None else self.running

    # ---- this process's file ---------------------------------------------------------------------

    def publish(self, shared: SharedList) -> None:
        """Share a list; without effect while no other process runs. A failed write is repeated."""
        note_path = self.registry.path
        now_s = time.monotonic()
        is_needed = not self.registry.is_alone and note_path is not None
        if not is_needed or shared == self._written or now_s < self._retry_at_s:
            return
        assert note_path is not None
        try:
            replace_file(list_path(note_path), shared.pack())
        except OSError as error:
            self._retry_at_s = now_s + RETRY_S
            if not self._is_failure_logged:
                log.warning("endpoint list not shared, retrying: error=%s", error)
            self._is_failure_logged = True
            return
        self._retry_at_s = 0.0
        self._is_failure_logged = False
        self._written = shared

    def close(self) -> None:
        """Remove this process's file, unless another process has yet to read it."""
        note_path = self.registry.path
        if self.registry.is_alone and note_path is not None:
            _unlink(list_path(note_path))

    # ---- the others' files -----------------------------------------------------------------------

    def remove_leftovers(self) -> None:
        """Remove files of processes that have ended, and that no process has read since."""
        if self.registry.folder is None:
            return
        # The files are listed first, because a process creates its note before them.
        paths = list(self.registry.folder.glob(PREFIX + "*"))
        self.registry.check()
        notes = [*self.registry.other_notes]
        if self.registry.path is not None:
            notes.append(self.registry.path)
        used = {list_path(note_path).name for note_path in notes}
        for path in paths:
            if path.name.partition(".")[0] not in used:
                _unlink(path)

    def read(self) -> None:
        """Read the files that have changed; that of a process that has ended for the last time."""
        current = {list_path(note_path) for note_path in self.registry.other_notes}
        for path in current | self._read.keys():
            self._read_file(path)
        for path in self._read.keys() - current:
            file = self._read.pop(path)
            if file.shared is not None and file.shared.ended_s is not None:
                self._ended = file.shared
            _unlink(path)

    def _read_file(self, path: Path) -> None:
        """Read a file if it has changed; if that fails, its last known list stays."""
        try:
            version = file_version(path)
            known = self._read.get(path)
            if known is not None and known.version == version:
                return
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES)
        except OSError:  # not there yet, or no descriptor is free: the next read makes up for it
            return
        try:
            shared = SharedList.unpack(data)
        except MalformedError as error:
            log.warning("shared endpoint list ignored: path=%s error=%s", path.name, error)
            shared = None
        self._read[path] = ReadFile(version, shared)


def _unlink(path: Path) -> None:
    with suppress(OSError):
        path.unlink()
