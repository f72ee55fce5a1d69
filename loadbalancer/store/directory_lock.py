"""A file lock that prevents two processes from using the same node folder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Final

from loadbalancer.settings import MalformedError

LOCK_FILE: Final = "lock"


def lock_directory(folder: Path) -> int:
    """Lock a folder until the returned file descriptor is closed.

    Raises:
        MalformedError: Another process uses the folder, or the folder can't be accessed.
    """
    try:
        descriptor = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        raise MalformedError(f"{folder}: {error.strerror}") from None
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise MalformedError(f"{folder}: another process uses it") from None
    return descriptor
