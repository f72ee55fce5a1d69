"""Small files in the state folder, replaced as a whole.

The folder does not outlive the machine, so there is nothing to sync for: what has to last is what
another process of this machine reads. A write may fail, or be short; a process may be killed at any
point, which leaves the file as it was and a fresh one beside it that `clear` removes.
"""

from __future__ import annotations

import os
import tempfile
from contextlib import suppress
from pathlib import Path


def write_whole(path: Path, data: bytes) -> None:
    """Replace the file. Raises OSError: then it is as it was."""
    number, fresh = tempfile.mkstemp(prefix=f"{path.name}.", dir=path.parent)
    try:
        try:
            write_all(number, data)
        finally:
            os.close(number)
        os.replace(fresh, path)
    except OSError:
        with suppress(OSError):
            os.unlink(fresh)
        raise


def write_all(number: int, data: bytes, at: int = 0) -> None:
    """All of it, from that byte of the file on. Raises OSError: then part of it may be there."""
    view = memoryview(data)
    while view:
        done = os.pwrite(number, view, at)
        view, at = view[done:], at + done


def clear(path: Path) -> None:
    """Remove what processes that were killed left beside the file. Whoever calls this holds the
    file's lock: nobody else is writing it.
    """
    for left in path.parent.glob(f"{path.name}.*"):
        with suppress(OSError):
            left.unlink()
