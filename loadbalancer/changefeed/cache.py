"""Watch cache of a node: the rows and the bounded logs of recent changes of all scopes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from loadbalancer.changefeed.limits import FanoutLimits
from loadbalancer.changefeed.messages import Row, split_key
from loadbalancer.changefeed.scope import FeedChange, size_of
from loadbalancer.changefeed.subscriber import WatchedScope


class StoreSnapshot(NamedTuple):
    """The store's rows as of a revision, with the changes that led to it.

    Attributes:
        rows: Key, version and value of each row.
        base: The revision after which `changes` is complete: it holds all in (base, revision].
    """

    revision: int
    rows: Iterable[tuple[str, int, bytes]]
    base: int
    changes: Iterable[FeedChange]


class ScopeChange(NamedTuple):
    """Revisions of a scope before and after a batch of changes.

    Attributes:
        previous_revision: The scope's revision before the batch.
        first_revision: The first revision of the batch that changed the scope.
    """

    previous_revision: int
    first_revision: int


class WatchCache:
    """All scopes of a node, with limits on the size of their logs."""

    def __init__(self, limits: FanoutLimits) -> None:
        self.scopes: dict[str, WatchedScope] = {}
        self.revision = 0
        self._limits = limits
        self._base = 0  # base revision of scopes that are not cached
        # The changes in all logs, oldest first: scope, revision and size in bytes.
        self._log: deque[tuple[WatchedScope, int, int]] = deque()
        self._log_bytes = 0

    def scope(self, name: str) -> WatchedScope:
        """Return a scope; create it if it does not exist yet."""
        scope = self.scopes.get(name)
        if scope is None:
            scope = self.scopes[name] = WatchedScope(name, self._base)
        return scope

    def snapshot_bytes_needed(self, name: str, cursor: int) -> int:
        """Return the size of the snapshot that a cursor needs, at least 1; 0 if a delta suffices.

        Args:
            name: Name of the scope.
            cursor: Revision that the subscriber has; 0 if it has none.
        """
        scope = self.scopes.get(name)
        if scope is None:
            return 0 if cursor and cursor >= self._base else 1
        return 0 if cursor and scope.covers(cursor) else scope.size_bytes + 1

    def load(self, snapshot: StoreSnapshot) -> dict[str, WatchedScope]:
        """Replace all scopes; return the old ones, whose watchers the caller must move."""
        old_scopes = self.scopes
        old_revision = self.revision
        self.scopes = {}
        self._base = snapshot.base
        self.revision = snapshot.revision
        self._log.clear()
        self._log_bytes = 0
        for key, version, value in snapshot.rows:
            name, row_key = split_key(key)
            self.scope(name).put(Row(row_key, version, value))
        for change in snapshot.changes:
            if snapshot.base < change.revision <= snapshot.revision:
                name, row_key = split_key(change.key)
                self._append(
                    self.scope(name), change.revision, Row(row_key, change.version, change.value)
                )
        for name, old_scope in old_scopes.items():
            scope = self.scope(name)
            if old_revision and not scope.log and old_scope.digest == scope.digest:
                scope.unchanged_revisions = range(old_scope.revision, old_revision + 1)
        return old_scopes

    def apply(
        self, revision: int, changes: Sequence[FeedChange]
    ) -> dict[WatchedScope, ScopeChange]:
        """Apply complete revisions; return the scopes that changed.

        The caller must call `trim` after it has notified the watchers of these scopes.
        """
        self.revision = revision
        changed_scopes: dict[WatchedScope, ScopeChange] = {}
        for change in changes:
            name, row_key = split_key(change.key)
            scope = self.scope(name)
            if scope not in changed_scopes:
                changed_scopes[scope] = ScopeChange(scope.revision, change.revision)
            row = Row(row_key, change.version, change.value)
            scope.put(row)
            self._append(scope, change.revision, row)
        return changed_scopes

    def _append(self, scope: WatchedScope, revision: int, row: Row) -> None:
        scope.append(revision, row)
        size = size_of(row)
        self._log.append((scope, revision, size))
        self._log_bytes += size

    def trim(self, changed_scopes: Iterable[WatchedScope]) -> None:
        """Drop the oldest revisions until all logs are within their limits."""
        limits = self._limits
        for scope in changed_scopes:
            while scope.log_length > limits.scope_changes:
                scope.drop_oldest()
        while len(self._log) > limits.log_changes or self._log_bytes > limits.log_bytes:
            scope, revision, size = self._log.popleft()
            self._log_bytes -= size
            while scope.log and scope.log[0].revision <= revision:
                scope.drop_oldest()
            self.discard_if_unused(scope)

    def discard_if_unused(self, scope: WatchedScope) -> None:
        """Remove a scope that has no rows, log or watchers.

        Its base becomes a lower bound for the base of scopes that are not cached.
        """
        if scope.is_unused and self.scopes.get(scope.name) is scope:
            del self.scopes[scope.name]
            self._base = max(self._base, scope.base)

    @property
    def log_size(self) -> tuple[int, int]:
        """Number of changes and of bytes in all logs."""
        return len(self._log), self._log_bytes
