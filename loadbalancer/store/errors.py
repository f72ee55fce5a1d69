"""Errors of the replicated store, for its clients and its nodes."""

from __future__ import annotations


class StoreError(Exception):
    """Base class; the message is one line."""


class UnavailableError(StoreError):
    """No node replied within the deadline. No write was made."""


class UndecidedError(UnavailableError):
    """No reply within the deadline, and the write may have been made or may yet be made."""


class ConflictError(StoreError):
    """A key is not at the version that the write required.

    Attributes:
        key: The key.
        version: The version that it is at; 0 if it does not exist.
    """

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"{key} is at version {version}" if version else f"{key} is not there")
        self.key = key
        self.version = version


class RejectedError(StoreError):
    """The store rejects the request for good; a retry gives the same result."""


class FencedError(RejectedError):
    """The write carried a fencing token that is not current."""


class WatchCompactedError(StoreError):
    """Changes after the requested revision are no longer retained; read again, then watch."""


class NotLeaseHolderError(StoreError):
    """This process does not hold the lease."""


class NotInForceError(StoreError):
    """A revision did not reach all balancers within the time limit."""


class ProtocolError(StoreError):
    """The peer sent something that is not valid on this connection."""


class OutcomeUnknownError(StoreError):
    """Leadership was lost while a write was in flight; it may or may not have been committed."""


class DeadlineExceededError(StoreError):
    """A request's time limit passed on the node."""
