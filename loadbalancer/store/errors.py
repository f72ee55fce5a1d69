"""Errors that clients and nodes of the replicated store raise."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of store errors; messages have one line."""


class UnavailableError(StoreError):
    """No node replied before the deadline, and no write was applied."""


class UndecidedError(UnavailableError):
    """No reply arrived before the deadline; the write may have been or may still be applied."""


class ConflictError(StoreError):
    """A key is not at the version that the write required.

    Attributes:
        key: The key.
        version: The key's current version; 0 if the key does not exist.
    """

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"{key} is at version {version}" if version else f"{key} does not exist")
        self.key = key
        self.version = version


class RejectedError(StoreError):
    """The store rejects the request permanently; a retry has the same result."""


class FencedError(RejectedError):
    """The write carried a fencing token that is not current."""


class WatchCompactedError(StoreError):
    """Changes after the requested revision are no longer retained.

    The caller has to read the keys again and start a new watch from there.
    """


class NotLeaseHolderError(StoreError):
    """This process does not hold the lease."""


class NotInForceError(StoreError):
    """A revision was not in force on all balancers before the timeout."""


class ProtocolError(StoreError):
    """The peer violated the protocol."""


class OutcomeUnknownError(StoreError):
    """Leadership was lost while a write was in flight; it may or may not have been committed."""


class DeadlineExceededError(StoreError):
    """A request's deadline passed on the node."""
