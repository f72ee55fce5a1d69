"""Small files in the state folder, replaced atomically.

The folder does not outlive the machine, so there is nothing to sync for: what has to last is what
another process of this machine reads. A write may fail, or be short; a process may be killed at any
point, which leaves the file as it was and a new one beside it that `remove_leftovers` removes.
"""

from __future__ import annotations

import os
import tempfile
from contextlib import suppress
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file.

    Raises:
        OSError: It failed, and the file is as it was.
    """
    descriptor, new_path = tempfile.mkstemp(prefix=f"{path.name}.", dir=path.parent)
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


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes from the file's start on, also where single writes are short.

    Raises:
        OSError: It failed, and part of the bytes may be written.
    """
    view = memoryview(data)
    offset = 0
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


def remove_leftovers(path: Path) -> None:
    """Remove what killed processes left beside a file.

    The caller holds the file's lock, so that no other process is writing it.
    """
    for leftover in path.parent.glob(f"{path.name}.*"):
        with suppress(OSError):
            leftover.unlink()
