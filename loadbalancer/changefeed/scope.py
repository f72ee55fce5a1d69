"""One scope as a node keeps it: its rows, its last changes and their digest (Kubernetes' watch
cache), and the patches made of them, each encoded once for all who stand at the same place.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.messages import Patch, Row, pack

if TYPE_CHECKING:
    from loadbalancer.changefeed.subscriber import Subscriber

UNKNOWN = -1  # a cursor: nothing is known
ROW_OVERHEAD = 24  # bytes of a row beside its key and value, in a message and in the log's count


class FeedChange(NamedTuple):
    """One change of a row by the store's log. `key` is whole; `value` is None where it was
    deleted.
    """

    revision: int
    key: str
    version: int
    value: bytes | None


class Encoded(NamedTuple):
    """A patch's words, in order, and the scope's revision that they lead to."""

    revision: int
    parts: tuple[bytes, ...]


class Entry(NamedTuple):
    """What one revision changed in a scope."""

    revision: int
    rows: list[Row]


def size_of(row: Row) -> int:
    return len(row.key) + len(row.value or b"") + ROW_OVERHEAD


class Scope:
    """`revision`: of the last change, or one after which there was none. The log covers (base,
    revision]; who stands at or past `base` goes on from it. So does who stands within `bridge`, two
    revisions between which and `base` nothing changed, though the log does not tell.
    """

    __slots__ = (
        "name",
        "rows",
        "digest",
        "bytes",
        "revision",
        "base",
        "bridge",
        "log",
        "logged",
        "watchers",
    )

    def __init__(self, name: str, base: int) -> None:
        self.name = name
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.bytes = 0  # of the rows, as messages carry them
        self.revision = self.base = base
        self.bridge = (0, UNKNOWN)
        self.log: deque[Entry] = deque()
        self.logged = 0  # changes in the log
        self.watchers: dict[Subscriber, None] = {}

    def keep(self, row: Row) -> None:
        """Into the rows alone, without the log."""
        old = self.rows.get(row.key)
        self.digest = digest.moved(self.digest, old, row)
        if old is not None:
            self.bytes -= size_of(old)
        if row.value is None:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row
            self.bytes += size_of(row)

    def note(self, revision: int, row: Row) -> None:
        """Into the log alone."""
        if self.log and self.log[-1].revision == revision:
            self.log[-1].rows.append(row)
        else:
            self.log.append(Entry(revision, [row]))
        self.logged += 1
        self.revision = revision

    def forget(self) -> Entry:
        """The oldest revision leaves the log."""
        entry = self.log.popleft()
        self.logged -= len(entry.rows)
        self.base = entry.revision
        self.bridge = (0, UNKNOWN)
        return entry

    def covers(self, cursor: int) -> bool:
        return cursor >= self.base or self.bridge[0] <= cursor <= self.bridge[1]

    def place(self, cursor: int) -> int:
        """The last revision up to `cursor` that the log knows: who stand between two changes stand
        alike.
        """
        if cursor < self.base:
            return self.bridge[0]
        for entry in reversed(self.log):
            if entry.revision <= cursor:
                return entry.revision
        return self.base

    def first_after(self, cursor: int) -> int:
        """The first change that the log holds past this cursor; 0: none."""
        first = 0
        for entry in reversed(self.log):
            if entry.revision <= cursor:
                break
            first = entry.revision
        return first

    def since(self, cursor: int) -> list[Row]:
        """The last of each key that changed past this cursor, which the log covers."""
        last: dict[str, Row] = {}
        for entry in reversed(self.log):
            if entry.revision <= cursor:
                break
            for row in reversed(entry.rows):
                last.setdefault(row.key, row)
        return list(last.values())[::-1]

    @property
    def idle(self) -> bool:
        return not (self.rows or self.log or self.watchers)


def _cut(rows: Iterable[Row], part_bytes: int) -> Iterator[tuple[Row, ...]]:
    """One part at least, and each of one row at least."""
    part: list[Row] = []
    size = 0
    for row in rows:
        more = size_of(row)
        if part and size + more > part_bytes:
            yield tuple(part)
            part, size = [], 0
        part.append(row)
        size += more
    yield tuple(part)


def encode(scope: Scope, after: int, revision: int, part_bytes: int) -> Encoded:
    """All rows where `after` is UNKNOWN, else what changed past it."""
    whole = after == UNKNOWN
    rows = scope.rows.values() if whole else scope.since(after)
    cut = list(_cut(rows, part_bytes))
    since = 0 if whole else after
    return Encoded(
        revision,
        tuple(
            pack(Patch(scope.name, since, revision, whole, at == len(cut) - 1, scope.digest, part))
            for at, part in enumerate(cut)
        ),
    )


class Patches:
    """The encoded patches, kept while they may be asked for again, the last used longest, within
    `most` bytes. `encoded` counts those that were made.
    """

    def __init__(self, most: int, part_bytes: int) -> None:
        self._most, self._part_bytes = most, part_bytes
        self._kept: OrderedDict[tuple[str, int], Encoded] = OrderedDict()
        self.bytes = 0
        self.encoded = 0

    def delta(self, scope: Scope, after: int) -> Encoded:
        """From a `place` of the scope's log to its end."""
        found = self._kept.get((scope.name, after))
        if found is not None and found.revision == scope.revision:
            self._kept.move_to_end((scope.name, after))
            return found
        return self._make(scope, after, scope.revision)

    def whole(self, scope: Scope, asked: int, revision: int) -> Encoded:
        """All rows, as of `revision`, where the store stands now, or of an earlier one that is not
        before `asked` and since which the scope did not change.
        """
        found = self._kept.get((scope.name, UNKNOWN))
        if found is not None and found.revision >= max(asked, scope.revision):
            self._kept.move_to_end((scope.name, UNKNOWN))
            return found
        return self._make(scope, UNKNOWN, revision)

    def _make(self, scope: Scope, after: int, revision: int) -> Encoded:
        self._drop((scope.name, after))
        made = encode(scope, after, revision, self._part_bytes)
        self.encoded += 1
        self._kept[scope.name, after] = made
        self.bytes += sum(map(len, made.parts))
        while self.bytes > self._most and len(self._kept) > 1:
            self._drop(next(iter(self._kept)))
        return made

    def _drop(self, key: tuple[str, int]) -> None:
        found = self._kept.pop(key, None)
        if found is not None:
            self.bytes -= sum(map(len, found.parts))

    def clear(self) -> None:
        self._kept.clear()
        self.bytes = 0
