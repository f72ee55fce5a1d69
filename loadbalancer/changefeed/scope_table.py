"""One scope as a balancer keeps it: rows as they were told, and for those that it can't take the
last that it could.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.messages import MOST_WHY, Patch, Refusal, Row

Check = Callable[[str, Row], str]  # of a scope's row: why it can't be taken; empty: it can


class Stage:
    """The parts of one patch, until its last is there. What each row of a whole scope costs is
    spent as its part comes, so that the last has not to do it for all.
    """

    __slots__ = ("after", "revision", "whole", "rows", "sum", "refused")

    def __init__(self, patch: Patch) -> None:
        self.after, self.revision, self.whole = patch.after, patch.revision, patch.whole
        self.rows: dict[str, Row] = {}
        self.sum = 0
        self.refused: dict[str, str] = {}

    def holds(self, patch: Patch) -> bool:
        return (self.after, self.revision, self.whole) == (patch.after, patch.revision, patch.whole)

    def add(self, scope: str, rows: tuple[Row, ...], check: Check) -> None:
        for row in rows:
            self.rows[row.key] = row
            if self.whole:
                self.sum += digest.of_row(row)
            if row.value is not None and (why := check(scope, row)):
                self.refused[row.key] = why[:MOST_WHY]
            elif self.refused:
                self.refused.pop(row.key, None)


class ScopeTable:
    """`rows`: as told, refused ones among them. `cursor`: the revision up to which they are known;
    it never falls within an epoch. `known`: they were told whole and their digest was right; else
    the scope is asked for anew, and the rows stand meanwhile. `generation`: words of an earlier one
    are not about this table.
    """

    def __init__(self, scope: str, generation: int) -> None:
        self.scope = scope
        self.generation = generation
        self.known = False
        self.cursor = 0
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.refused: dict[str, Refusal] = {}
        self._good: dict[
            str, Row
        ] = {}  # what stands in the place of a refused row, where anything does
        self._stage: Stage | None = None
        self.changes = 0  # of the rows, so that who looks through them in pieces notices

    def ask_from(self) -> int:
        return self.cursor if self.known else 0

    def unstage(self) -> None:
        """What came of a patch whose rest does not come."""
        self._stage = None

    def staged(self, patch: Patch, check: Check) -> Stage | None:
        """The whole patch, once its last part is there."""
        stage = self._stage
        if stage is None or not stage.holds(patch):
            stage = self._stage = Stage(patch)
        stage.add(self.scope, patch.rows, check)
        if not patch.last:
            return None
        self._stage = None
        return stage

    def delta(self, stage: Stage, expected: int) -> list[Row] | None:
        """What is to be applied; None, and nothing changed, where the digest comes out
        otherwise.
        """
        after = self.digest
        for row in stage.rows.values():
            after = digest.moved(after, self.rows.get(row.key), row)
        if after != expected:
            return None
        taken = []
        for key, row in stage.rows.items():
            why = stage.refused.get(key)
            if why:
                old = self.rows.get(key)
                if old is not None and key not in self.refused:
                    self._good[key] = old
                self.refused[key] = Refusal(self.scope, key, row.version, why)
            else:
                self.refused.pop(key, None)
                self._good.pop(key, None)
                taken.append(row)
            if row.value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        self._stands(stage.revision, after)
        return taken

    def whole(self, stage: Stage, expected: int) -> list[Row] | None:
        """As `delta`; what is to be applied are all rows that stand now."""
        if stage.sum & digest.MASK != expected:
            return None
        refused: dict[str, Refusal] = {}
        good: dict[str, Row] = {}
        for key, why in stage.refused.items():
            refused[key] = Refusal(self.scope, key, stage.rows[key].version, why)
            stood = self._good.get(key) if key in self.refused else self.rows.get(key)
            if stood is not None:
                good[key] = stood
        self.rows, self.refused, self._good = stage.rows, refused, good
        self.known = True
        self._stands(stage.revision, expected)
        return list(self.standing())

    def _stands(self, revision: int, after: int) -> None:
        self.cursor, self.digest = max(self.cursor, revision), after
        self.changes += 1

    def standing(self) -> Iterator[Row]:
        """The rows in force: as told, or the last good one."""
        if not self.refused:
            yield from self.rows.values()
            return
        for key, row in self.rows.items():
            if key not in self.refused:
                yield row
            elif key in self._good:
                yield self._good[key]
