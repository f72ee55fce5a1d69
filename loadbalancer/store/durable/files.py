"""The few operations of the store on a folder, so that a simulator can replace the disk."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final, Protocol

NEW_SUFFIX: Final = ".new"  # of a file that is being written, before it takes its name
CLOSED: Final = -1  # in place of a file descriptor


class File(Protocol):
    """A file open for writing."""

    def write(self, data: bytes, offset: int) -> None:
        """Write all of it, from an offset on.

        Raises:
            OSError: It failed; part of the data may be there.
        """

    def sync(self) -> None:
        """Make durable what was written.

        Raises:
            OSError: It failed; nothing is known of what is durable.
        """

    def truncate(self, size: int) -> None:
        """Cut the file to a size."""

    def close(self) -> None:
        """Close the file; a second call does nothing."""


class Files(Protocol):
    """The files of a folder."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's content."""

    def create(self, name: str) -> File:
        """Open a new, empty file; it replaces one of the same name."""

    def open(self, name: str) -> File:
        """Open an existing file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically; it replaces one of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make durable which names were made, changed and removed."""


class DiskFile:
    """A file on a disk."""

    def __init__(self, path: Path, flags: int) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, 0o600)

    def write(self, data: bytes, offset: int) -> None:
        """Write all of it, from an offset on."""
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(self.descriptor, remaining, offset)
            remaining = remaining[written:]
            offset += written

    def sync(self) -> None:
        """Make durable what was written."""
        os.fdatasync(self.descriptor)

    def truncate(self, size: int) -> None:
        """Cut the file to a size."""
        os.ftruncate(self.descriptor, size)

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self.descriptor != CLOSED:
            os.close(self.descriptor)
            self.descriptor = CLOSED


class Folder:
    """A folder on a disk."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> File:
        """Open a new, empty file; it replaces one of the same name."""
        return DiskFile(self.path / name, os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> File:
        """Open an existing file."""
        return DiskFile(self.path / name, 0)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically; it replaces one of the new name."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Make durable which names were made, changed and removed."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(files: Files, name: str, data: bytes) -> None:
    """Write a small file atomically and durably."""
    file = files.create(name + NEW_SUFFIX)
    try:
        file.write(data, 0)
        file.sync()
    finally:
        file.close()
    files.rename(name + NEW_SUFFIX, name)
    files.sync_folder()
