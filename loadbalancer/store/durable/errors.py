"""Errors of what is stored on disk."""

from __future__ import annotations


class StorageError(Exception):
    """Base of all errors of this package."""


class DamagedError(StorageError):
    """Something that was completely written no longer reads, or belongs elsewhere."""


class DiskFullError(StorageError):
    """There is no room to write; nothing was lost, and the write may be tried again."""


class SyncFailedError(StorageError):
    """A sync failed: what is on disk is not known, so this process must not go on writing."""


class CompactedError(StorageError):
    """The events that a watcher asks for are no longer stored."""

    def __init__(self, oldest: int) -> None:
        super().__init__(
            f"changes before revision {oldest} are gone: read anew, and watch from there"
        )
        self.oldest = oldest
