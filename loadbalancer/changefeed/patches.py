"""Encoding of patches, and a cache that subscribers at the same log position share."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from loadbalancer.changefeed.messages import Patch, Row, pack
from loadbalancer.changefeed.scope import UNKNOWN, Scope, size_of


class EncodedPatch(NamedTuple):
    """The encoded chunks of a patch, in order, and the scope's revision after it is applied."""

    revision: int
    chunks: tuple[bytes, ...]


def _split(rows: Iterable[Row], chunk_bytes: int) -> Iterator[tuple[Row, ...]]:
    """Split rows into one or more chunks; only the chunk of an empty patch has no rows."""
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
    """Encode a snapshot if `after` is UNKNOWN, otherwise the changes after that revision."""
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
        max_bytes: Maximum size of the cache; the most recent patch is cached even if it is larger.
        chunk_bytes: Size at which a patch is split into chunks.

    Attributes:
        size_bytes: Size of the cached patches.
        encoded: Number of patches encoded since the start.
    """

    def __init__(self, max_bytes: int, chunk_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._chunk_bytes = chunk_bytes
        self._cached: OrderedDict[tuple[str, int], EncodedPatch] = OrderedDict()
        self.size_bytes = 0
        self.encoded = 0

    def delta(self, scope: Scope, after: int) -> EncodedPatch:
        """Return the delta from a position in the scope's log to the end of the log."""
        cached_patch = self._cached.get((scope.name, after))
        if cached_patch is not None and cached_patch.revision == scope.revision:
            self._cached.move_to_end((scope.name, after))
            return cached_patch
        return self._encode(scope, after, scope.revision)

    def snapshot(self, scope: Scope, min_revision: int, revision: int) -> EncodedPatch:
        """Return a snapshot of a scope.

        Args:
            scope: The scope.
            min_revision: Oldest acceptable revision of a cached snapshot.
            revision: The current revision of the store.
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
