"""Errors of the on-disk storage."""

from __future__ import annotations


class StorageError(Exception):
    """Base of all errors of this package."""


class DamagedError(StorageError):
    """Completely written data can't be read any more, or belongs to another node or cluster."""


class DiskFullError(StorageError):
    """The disk has no space left; nothing was lost, and the write may be retried."""


class SyncFailedError(StorageError):
    """A sync failed, so the content of the disk is unknown and this process must stop writing."""


class CompactedError(StorageError):
    """The events requested by a watcher are no longer stored."""

    def __init__(self, oldest: int) -> None:
        super().__init__(
            f"changes before revision {oldest} are gone: read anew, and watch from there"
        )
        self.oldest = oldest
