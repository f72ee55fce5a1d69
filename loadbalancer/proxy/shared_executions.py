"""Ids of requests that may have run, shared by the processes of one balancer while two run.

Each process appends the ids that it sends to upstreams to a file beside its process note, before
the first byte is written. The other process reads them, so that an id that comes again there is not
executed once more. The file of a process that has exited is read once more and removed.
"""

from __future__ import annotations

import logging
import os
from contextlib import suppress
from pathlib import Path
from typing import Final

from loadbalancer.policy.execution_history import KEPT_NS
from loadbalancer.proxy.process_handover import ProcessRegistry, file_beside_note

log = logging.getLogger(__name__)

PREFIX: Final = "lanelift-executed-"
MAX_FILE_BYTES: Final = 256 * 1024  # the file counts as memory; beyond it, it begins anew
MAX_IDS: Final = 4096  # of other processes; the oldest is forgotten first
FIELDS: Final = 2


def executions_path(note_path: Path) -> Path:
    """Return the file of a process, from the path of its process note."""
    return file_beside_note(note_path, PREFIX)


class SharedExecutions:
    """The ids that this process shares, and those of the others.

    Args:
        registry: The processes of this balancer.
    """

    def __init__(self, registry: ProcessRegistry) -> None:
        self.registry = registry
        self._offsets: dict[Path, int] = {}  # of the other processes' files
        self._sent_ns: dict[str, int] = {}  # by id, of the other processes
        self._has_file = False
        registry.on_check(self.read)

    def publish(self, request_id: str, sent_ns: int) -> None:
        """Share an id that is about to be sent; without effect while no other process runs."""
        note_path = self.registry.path
        if self.registry.is_alone or note_path is None:
            return
        path = executions_path(note_path)
        try:
            is_full = self._has_file and path.stat().st_size >= MAX_FILE_BYTES
            with open(path, "wb" if is_full else "ab", buffering=0) as file:
                file.write(f"{sent_ns} {request_id}\n".encode("latin-1"))
            self._has_file = True
        except OSError as error:
            log.error("executed request not shared: request=%s error=%s", request_id, error)

    def sent_ns(self, request_id: str, now_ns: int) -> int | None:
        """Return when another process sent this id; None if it did not, or long ago."""
        if not self.registry.is_alone:
            self.read()
        sent_ns = self._sent_ns.get(request_id)
        return None if sent_ns is None or now_ns - sent_ns >= KEPT_NS else sent_ns

    def read(self) -> None:
        """Read what the other processes have shared since the last time."""
        current = {executions_path(note_path) for note_path in self.registry.other_notes}
        for path in current | self._offsets.keys():
            self._read_file(path)
        for path in self._offsets.keys() - current:
            del self._offsets[path]
            self._unlink(path)

    def _read_file(self, path: Path) -> None:
        offset = self._offsets.get(path, 0)
        try:
            with open(path, "rb") as file:
                if os.fstat(file.fileno()).st_size < offset:
                    offset = 0  # it began anew
                file.seek(offset)
                data = file.read(MAX_FILE_BYTES)
        except OSError:  # not there yet, or no descriptor is free: the next read makes up for it
            self._offsets.setdefault(path, 0)
            return
        complete, _, _ = data.rpartition(b"\n")
        self._offsets[path] = offset + len(complete) + bool(complete)
        for line in complete.decode("latin-1").split("\n"):
            self._add(line)

    def _add(self, line: str) -> None:
        fields = line.split(" ", 1)
        if len(fields) != FIELDS or not fields[0].isdigit():
            return
        self._sent_ns[fields[1]] = int(fields[0])
        if len(self._sent_ns) > MAX_IDS:
            del self._sent_ns[next(iter(self._sent_ns))]

    @staticmethod
    def _unlink(path: Path) -> None:
        with suppress(OSError):
            path.unlink()

    def close(self) -> None:
        """Remove this process's file, unless another process has yet to read it."""
        self.registry.check()
        self.read()
        note_path = self.registry.path
        if self._has_file and note_path is not None and self.registry.is_alone:
            self._unlink(executions_path(note_path))
