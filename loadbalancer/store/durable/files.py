"""The store's operations on a directory, as protocols that a simulator can implement."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final, Protocol

NEW_SUFFIX: Final = ".new"  # of a file that is renamed once it is completely written
CLOSED: Final = -1  # value of `descriptor` after closing


class File(Protocol):
    """A file open for writing."""

    def write(self, data: bytes, offset: int) -> None:
        """Write all data, starting at an offset.

        Raises:
            OSError: The write failed; part of the data may have been written.
        """

    def sync(self) -> None:
        """Make all written data durable.

        Raises:
            OSError: The sync failed; it is unknown which data is durable.
        """

    def truncate(self, size: int) -> None:
        """Truncate the file to a size."""

    def close(self) -> None:
        """Close the file; a second call does nothing."""


class Files(Protocol):
    """The files of a directory."""

    def names(self) -> list[str]:
        """Return the sorted names of all files."""

    def read(self, name: str) -> bytes:
        """Return a file's content."""

    def create(self, name: str) -> File:
        """Create and open an empty file, replacing any file of the same name."""

    def open(self, name: str) -> File:
        """Open an existing file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing any file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""


class DiskFile:
    """A file on a disk."""

    def __init__(self, path: Path, flags: int) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, 0o600)

    def write(self, data: bytes, offset: int) -> None:
        """Write all data, starting at an offset."""
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(self.descriptor, remaining, offset)
            remaining = remaining[written:]
            offset += written

    def sync(self) -> None:
        """Make all written data durable."""
        os.fdatasync(self.descriptor)

    def truncate(self, size: int) -> None:
        """Truncate the file to a size."""
        os.ftruncate(self.descriptor, size)

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self.descriptor != CLOSED:
            os.close(self.descriptor)
            self.descriptor = CLOSED


class Folder:
    """A directory on a disk."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def names(self) -> list[str]:
        """Return the sorted names of all files."""
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> File:
        """Create and open an empty file, replacing any file of the same name."""
        return DiskFile(self.path / name, os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> File:
        """Open an existing file."""
        return DiskFile(self.path / name, 0)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing any file of the new name."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""
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
