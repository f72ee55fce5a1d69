"""One scope as a balancer keeps it: rows as they were told, and for those that it can't take the last that it
could."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from lanelift.feed import digest
from lanelift.feed.messages import MOST_WHY, Patch, Refusal, Row

Check = Callable[[str, Row], str]  # of a scope's row: why it can't be taken; empty: it can


class ScopeTable:
    """`rows`: as told, refused ones among them. `cursor`: the revision up to which they are known; it never
    falls within an epoch. `known`: they were told whole and their digest was right; else the scope is asked
    for anew, and the rows stand meanwhile. `generation`: words of an earlier one are not about this table."""

    def __init__(self, scope: str, generation: int) -> None:
        self.scope = scope
        self.generation = generation
        self.known = False
        self.cursor = 0
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.refused: dict[str, Refusal] = {}
        self._good: dict[str, Row] = {}  # what stands in the place of a refused row, where anything does
        self._staged: list[Row] = []
        self._stage: tuple[int, int, bool] | None = None  # after, revision, whole of the parts there are
        self.changes = 0  # of the rows, so that who looks through them in pieces notices

    def ask_from(self) -> int:
        return self.cursor if self.known else 0

    def unstage(self) -> None:
        """What came of a patch whose rest does not come."""
        self._staged, self._stage = [], None

    def staged(self, patch: Patch) -> list[Row] | None:
        """All rows of a patch once its last part is there."""
        stage = (patch.after, patch.revision, patch.whole)
        if stage != self._stage:
            self._staged, self._stage = [], stage
        self._staged += patch.rows
        if not patch.last:
            return None
        rows = self._staged
        self.unstage()
        return rows

    def delta(self, rows: list[Row], revision: int, expected: int, check: Check) -> list[Row] | None:
        """What is to be applied; None, and nothing changed, where the digest comes out otherwise."""
        after = self.digest
        last = {row.key: row for row in rows}
        for row in last.values():
            after = digest.moved(after, self.rows.get(row.key), row)
        if after != expected:
            return None
        taken = []
        for row in last.values():
            why = check(self.scope, row) if row.value is not None else ""
            old = self.rows.get(row.key)
            if why:
                if old is not None and row.key not in self.refused:
                    self._good[row.key] = old
                self.refused[row.key] = Refusal(self.scope, row.key, row.version, why[:MOST_WHY])
            else:
                self.refused.pop(row.key, None)
                self._good.pop(row.key, None)
                taken.append(row)
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._stands(revision, after)
        return taken

    def whole(self, rows: list[Row], revision: int, expected: int, check: Check) -> list[Row] | None:
        """As `delta`; what is to be applied are all rows that stand now."""
        after = digest.of_rows(rows)
        told = {row.key: row for row in rows}
        if after != expected or len(told) < len(rows):
            return None
        refused: dict[str, Refusal] = {}
        good: dict[str, Row] = {}
        taken = []
        for key, row in told.items():
            why = check(self.scope, row)
            if not why:
                taken.append(row)
                continue
            refused[key] = Refusal(self.scope, key, row.version, why[:MOST_WHY])
            stood = self._good.get(key) if key in self.refused else self.rows.get(key)
            if stood is not None:
                good[key] = stood
                taken.append(stood)
        self.rows, self.refused, self._good = told, refused, good
        self.known = True
        self._stands(revision, after)
        return taken

    def _stands(self, revision: int, after: int) -> None:
        self.cursor, self.digest = max(self.cursor, revision), after
        self.changes += 1

    def standing(self) -> Iterator[Row]:
        """The rows in force: as told, or the last good one."""
        for key, row in self.rows.items():
            if key not in self.refused:
                yield row
            elif key in self._good:
                yield self._good[key]
