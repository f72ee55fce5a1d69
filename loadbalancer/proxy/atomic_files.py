"""Small files in the state folder, replaced atomically.

The folder does not outlive the machine, and only processes on this machine read it, so the files
are not synced. A write may fail or be short. A process that is killed during a replacement leaves
the old file unchanged, and a temporary file next to it that `remove_leftovers` removes.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Final, NamedTuple

SUFFIX_BYTES: Final = 6
NEW_FILE_FLAGS: Final = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC


class FileVersion(NamedTuple):
    """Identifies one replacement of a file."""

    inode: int
    modified_ns: int


def file_version(path: Path) -> FileVersion:
    """Return the version of a file.

    Raises:
        OSError: The file does not exist, or can't be examined.
    """
    stat = path.stat()
    return FileVersion(stat.st_ino, stat.st_mtime_ns)


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file.

    Raises:
        OSError: The replacement failed, and the file is unchanged.
    """
    descriptor, new_path = create_unique_file(path.parent, f"{path.name}.")
    try:
        try:
            write_all(descriptor, data)
        finally:
            os.close(descriptor)
        os.replace(new_path, path)
    except OSError:
        with suppress(OSError):
            os.unlink(new_path)
        raise


def create_unique_file(folder: Path, prefix: str) -> tuple[int, Path]:
    """Create a file with a new name that only this user may read.

    Returns:
        Its open descriptor, which is not inherited, and its path.

    Raises:
        OSError: The file can't be created.
    """
    while True:
        path = folder / f"{prefix}{os.urandom(SUFFIX_BYTES).hex()}"
        with suppress(FileExistsError):
            return os.open(path, NEW_FILE_FLAGS, mode=0o600), path


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes from the start of the file, repeating short writes.

    Raises:
        OSError: The write failed, possibly after writing part of the data.
    """
    view = memoryview(data)
    offset = 0
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


def remove_leftovers(path: Path) -> None:
    """Remove temporary files that killed processes left next to a file.

    The caller must hold the file's lock, so that no other process is writing the file.
    """
    for leftover in path.parent.glob(f"{path.name}.*"):
        with suppress(OSError):
            leftover.unlink()
