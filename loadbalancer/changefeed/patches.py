"""Encoded patches, each made once for all subscribers at the same log position."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from loadbalancer.changefeed.messages import Patch, Row, pack
from loadbalancer.changefeed.scope import UNKNOWN, Scope, size_of


class EncodedPatch(NamedTuple):
    """The messages of a patch, in order, and the scope's revision that they lead to."""

    revision: int
    chunks: tuple[bytes, ...]


def _split(rows: Iterable[Row], chunk_bytes: int) -> Iterator[tuple[Row, ...]]:
    """Split rows into at least one chunk, each of at least one row where there is any."""
    chunk: list[Row] = []
    chunk_size = 0
    for row in rows:
        row_size = size_of(row)
        if chunk and chunk_size + row_size > chunk_bytes:
            yield tuple(chunk)
            chunk = []
            chunk_size = 0
        chunk.append(row)
        chunk_size += row_size
    yield tuple(chunk)


def encode(scope: Scope, after: int, revision: int, chunk_bytes: int) -> EncodedPatch:
    """Encode all rows where `after` is UNKNOWN, else the changes past it."""
    is_snapshot = after == UNKNOWN
    rows = scope.rows.values() if is_snapshot else scope.changes_since(after)
    chunks = list(_split(rows, chunk_bytes))
    last = len(chunks) - 1
    start = 0 if is_snapshot else after
    return EncodedPatch(
        revision,
        tuple(
            pack(
                Patch(scope.name, start, revision, is_snapshot, index == last, scope.digest, chunk)
            )
            for index, chunk in enumerate(chunks)
        ),
    )


class PatchCache:
    """Least-recently-used cache of encoded patches.

    Args:
        max_bytes: Of all cached patches; the last one made is always cached.
        chunk_bytes: Size at which a patch is split into chunks.

    Attributes:
        size_bytes: Of the cached patches.
        encoded: Patches encoded since the start.
    """

    def __init__(self, max_bytes: int, chunk_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._chunk_bytes = chunk_bytes
        self._cached: OrderedDict[tuple[str, int], EncodedPatch] = OrderedDict()
        self.size_bytes = 0
        self.encoded = 0

    def delta(self, scope: Scope, after: int) -> EncodedPatch:
        """Return the patch from a position of the scope's log to its end."""
        cached_patch = self._cached.get((scope.name, after))
        if cached_patch is not None and cached_patch.revision == scope.revision:
            self._cached.move_to_end((scope.name, after))
            return cached_patch
        return self._encode(scope, after, scope.revision)

    def snapshot(self, scope: Scope, min_revision: int, revision: int) -> EncodedPatch:
        """Return all rows of a scope.

        Args:
            scope: The scope.
            min_revision: A cached snapshot is not to be older.
            revision: Where the store stands now.
        """
        cached_patch = self._cached.get((scope.name, UNKNOWN))
        if cached_patch is not None and cached_patch.revision >= max(min_revision, scope.revision):
            self._cached.move_to_end((scope.name, UNKNOWN))
            return cached_patch
        return self._encode(scope, UNKNOWN, revision)

    def _encode(self, scope: Scope, after: int, revision: int) -> EncodedPatch:
        self._evict((scope.name, after))
        patch = encode(scope, after, revision, self._chunk_bytes)
        self.encoded += 1
        self._cached[scope.name, after] = patch
        self.size_bytes += sum(map(len, patch.chunks))
        while self.size_bytes > self._max_bytes and len(self._cached) > 1:
            self._evict(next(iter(self._cached)))
        return patch

    def _evict(self, key: tuple[str, int]) -> None:
        patch = self._cached.pop(key, None)
        if patch is not None:
            self.size_bytes -= sum(map(len, patch.chunks))

    def clear(self) -> None:
        """Remove all patches."""
        self._cached.clear()
        self.size_bytes = 0
