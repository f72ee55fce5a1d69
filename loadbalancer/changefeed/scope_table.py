"""A balancer's copy of one scope: received rows, and last accepted versions of refused rows."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.messages import MAX_REASON_LENGTH, Patch, Refusal, Row

RowCheck = Callable[[str, Row], str]  # arguments: scope, row; returns why it is refused, or ""


class PatchBuffer:
    """Buffers the chunks of one patch until the last chunk arrives.

    The rows of a snapshot are hashed and checked as each chunk arrives, so that the work is not
    concentrated on the last chunk.
    """

    __slots__ = ("after", "hash_sum", "is_snapshot", "refused", "revision", "rows")

    def __init__(self, patch: Patch) -> None:
        self.after = patch.after
        self.revision = patch.revision
        self.is_snapshot = patch.is_snapshot
        self.rows: dict[str, Row] = {}
        self.hash_sum = 0
        self.refused: dict[str, str] = {}

    def matches(self, patch: Patch) -> bool:
        """Return whether a chunk belongs to this patch."""
        return (
            self.after == patch.after
            and self.revision == patch.revision
            and self.is_snapshot == patch.is_snapshot
        )

    def add(self, scope: str, rows: tuple[Row, ...], check_row: RowCheck) -> None:
        """Add and check the rows of one chunk."""
        for row in rows:
            self.rows[row.key] = row
            if self.is_snapshot:
                self.hash_sum += digest.of_row(row)
            if row.value is not None and (reason := check_row(scope, row)):
                self.refused[row.key] = reason[:MAX_REASON_LENGTH]
            elif self.refused:
                self.refused.pop(row.key, None)


class ScopeTable:
    """The rows of one scope.

    Attributes:
        rows: The rows as received, including refused ones.
        cursor: The revision that the rows reflect; it never decreases within an epoch.
        is_synced: Whether a snapshot was received and its digest matched. If not, the scope is
            requested again, and the old rows are kept until then.
        generation: Generation of the last request for this scope; messages of earlier ones are
            ignored.
        change_count: Incremented with each change of the rows, so that an audit detects changes.
    """

    def __init__(self, scope: str, generation: int) -> None:
        self.scope = scope
        self.generation = generation
        self.is_synced = False
        self.cursor = 0
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.refused: dict[str, Refusal] = {}
        self.change_count = 0
        self._accepted: dict[str, Row] = {}  # last accepted versions of refused rows
        self._buffer: PatchBuffer | None = None

    def resume_cursor(self) -> int:
        """Return the cursor to subscribe from; 0 if a snapshot is needed."""
        return self.cursor if self.is_synced else 0

    def discard_chunks(self) -> None:
        """Discard the buffered chunks of an incomplete patch."""
        self._buffer = None

    def add_chunk(self, patch: Patch, check_row: RowCheck) -> PatchBuffer | None:
        """Buffer one chunk; return the complete patch if it was the last chunk."""
        buffer = self._buffer
        if buffer is None or not buffer.matches(patch):
            buffer = self._buffer = PatchBuffer(patch)
        buffer.add(self.scope, patch.rows, check_row)
        if not patch.is_last_chunk:
            return None
        self._buffer = None
        return buffer

    def apply_delta(self, patch: PatchBuffer, expected_digest: int) -> list[Row] | None:
        """Apply a delta.

        Returns:
            The accepted rows; None, with nothing changed, if the digest does not match.
        """
        new_digest = self.digest
        for row in patch.rows.values():
            new_digest = digest.replace_row(new_digest, self.rows.get(row.key), row)
        if new_digest != expected_digest:
            return None
        accepted = []
        for key, row in patch.rows.items():
            reason = patch.refused.get(key)
            if reason:
                self._refuse(row, reason)
            else:
                self.refused.pop(key, None)
                self._accepted.pop(key, None)
                accepted.append(row)
            if row.value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        self._advance(patch.revision, new_digest)
        return accepted

    def _refuse(self, row: Row, reason: str) -> None:
        old = self.rows.get(row.key)
        if old is not None and row.key not in self.refused:
            self._accepted[row.key] = old
        self.refused[row.key] = Refusal(self.scope, row.key, row.version, reason)

    def apply_snapshot(self, patch: PatchBuffer, expected_digest: int) -> list[Row] | None:
        """Replace all rows.

        Returns:
            All rows in force; None, with nothing changed, if the digest does not match.
        """
        if patch.hash_sum & digest.MASK != expected_digest:
            return None
        refused: dict[str, Refusal] = {}
        accepted: dict[str, Row] = {}
        for key, reason in patch.refused.items():
            refused[key] = Refusal(self.scope, key, patch.rows[key].version, reason)
            last_accepted = self._accepted.get(key) if key in self.refused else self.rows.get(key)
            if last_accepted is not None:
                accepted[key] = last_accepted
        self.rows = patch.rows
        self.refused = refused
        self._accepted = accepted
        self.is_synced = True
        self._advance(patch.revision, expected_digest)
        return list(self.rows_in_force())

    def _advance(self, revision: int, new_digest: int) -> None:
        self.cursor = max(self.cursor, revision)
        self.digest = new_digest
        self.change_count += 1

    def rows_in_force(self) -> Iterator[Row]:
        """Iterate over the rows in force.

        A refused row is replaced by its last accepted version, or left out if it has none.
        """
        if not self.refused:
            yield from self.rows.values()
            return
        for key, row in self.rows.items():
            if key not in self.refused:
                yield row
            elif key in self._accepted:
                yield self._accepted[key]
