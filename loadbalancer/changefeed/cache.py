"""All scopes of a node: rows and the last changes, within bounds (Kubernetes' watch cache)."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from loadbalancer.changefeed.messages import Row, split
from loadbalancer.changefeed.scope import FeedChange, Scope, size_of


class Changed(NamedTuple):
    """`after`: where the scope stood; `first`: the first revision that changed it since."""

    after: int
    first: int


class WatchCache:
    """`changes`, `size`: most in the logs of all scopes together, and bytes; `scope_changes`: in
    one's.
    """

    def __init__(self, changes: int, size: int, scope_changes: int) -> None:
        self.scopes: dict[str, Scope] = {}
        self.revision = 0
        self._most_changes, self._most_bytes, self._scope_changes = changes, size, scope_changes
        self._base = 0  # of scopes of which nothing is known
        self._log: deque[tuple[Scope, int, int]] = deque()  # changes of all logs: revision, bytes
        self._log_bytes = 0

    def scope(self, name: str) -> Scope:
        scope = self.scopes.get(name)
        if scope is None:
            scope = self.scopes[name] = Scope(name, self._base)
        return scope

    def needs(self, name: str, cursor: int) -> int:
        """Bytes of a snapshot for who stands there, one at least; 0 where the log goes on from
        it.
        """
        scope = self.scopes.get(name)
        if scope is None:
            return 0 if cursor and cursor >= self._base else 1
        return 0 if cursor and scope.covers(cursor) else scope.bytes + 1

    def load(
        self,
        revision: int,
        rows: Iterable[tuple[str, int, bytes]],
        base: int,
        events: Iterable[FeedChange],
    ) -> dict[str, Scope]:
        """Everything anew; the scopes that were there, whose watchers are still to be moved."""
        old, stood = self.scopes, self.revision
        self.scopes, self._base, self.revision = {}, base, revision
        self._log.clear()
        self._log_bytes = 0
        for key, version, value in rows:
            name, short = split(key)
            self.scope(name).keep(Row(short, version, value))
        for change in events:
            if base < change.revision <= revision:
                name, short = split(change.key)
                self._note(
                    self.scope(name), change.revision, Row(short, change.version, change.value)
                )
        for name, before in old.items():
            scope = self.scope(name)
            if stood and not scope.log and before.digest == scope.digest:
                scope.bridge = (before.revision, stood)
        return old

    def apply(self, revision: int, changes: Sequence[FeedChange]) -> dict[Scope, Changed]:
        """Whole revisions; the scopes changed. `trim` is due once those who stood there were
        told.
        """
        self.revision = revision
        touched: dict[Scope, Changed] = {}
        for change in changes:
            name, short = split(change.key)
            scope = self.scope(name)
            if scope not in touched:
                touched[scope] = Changed(scope.revision, change.revision)
            row = Row(short, change.version, change.value)
            scope.keep(row)
            self._note(scope, change.revision, row)
        return touched

    def _note(self, scope: Scope, revision: int, row: Row) -> None:
        scope.note(revision, row)
        size = size_of(row)
        self._log.append((scope, revision, size))
        self._log_bytes += size

    def trim(self, touched: Iterable[Scope]) -> None:
        """The oldest revisions leave the logs until all are within their bounds."""
        for scope in touched:
            while scope.logged > self._scope_changes:
                scope.forget()
        while len(self._log) > self._most_changes or self._log_bytes > self._most_bytes:
            scope, revision, size = self._log.popleft()
            self._log_bytes -= size
            while scope.log and scope.log[0].revision <= revision:
                scope.forget()
            self.tidy(scope)

    def tidy(self, scope: Scope) -> None:
        """Away with what nobody asks for; what its log no longer told is remembered for all
        such.
        """
        if scope.idle and self.scopes.get(scope.name) is scope:
            del self.scopes[scope.name]
            self._base = max(self._base, scope.base)

    @property
    def logged(self) -> tuple[int, int]:
        """Changes and bytes in the logs."""
        return len(self._log), self._log_bytes
