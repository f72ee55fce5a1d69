"""The few things that the store does to a folder, so that a simulator can stand in for the disk."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """A file open for writing."""

    def write(self, data: bytes, at: int) -> None:
        """All of it, from byte `at` on. Raises OSError; part of it may be there then."""

    def sync(self) -> None:
        """What was written is durable when this returns. Raises OSError: then nothing is known."""

    def truncate(self, size: int) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """A folder."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> File:
        """A new, empty file, in place of one that has the name."""

    def open(self, name: str) -> File: ...

    def rename(self, old: str, new: str) -> None:
        """Whole or not at all, in place of what has the new name."""

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Names made, changed and removed are durable when this returns."""


class RealFile:
    def __init__(self, path: Path, flags: int) -> None:
        self.number = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, 0o600)

    def write(self, data: bytes, at: int) -> None:
        view = memoryview(data)
        while view:
            done = os.pwrite(self.number, view, at)
            view, at = view[done:], at + done

    def sync(self) -> None:
        os.fdatasync(self.number)

    def truncate(self, size: int) -> None:
        os.ftruncate(self.number, size)

    def close(self) -> None:
        if self.number >= 0:
            os.close(self.number)
            self.number = -1


class Folder:
    """A real one."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def names(self) -> list[str]:
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def create(self, name: str) -> File:
        return RealFile(self.path / name, os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> File:
        return RealFile(self.path / name, 0)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        number = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)


def write_whole(files: Files, name: str, data: bytes) -> None:
    """A small file, replaced as a whole and durable."""
    fresh = files.create(name + ".new")
    try:
        fresh.write(data, 0)
        fresh.sync()
    finally:
        fresh.close()
    files.rename(name + ".new", name)
    files.sync_folder()
