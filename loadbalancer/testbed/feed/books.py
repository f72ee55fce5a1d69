"""What the store held at each revision, and whether what a balancer was handed could have come of
it. Shares nothing with the feed's cores but the shape of a row.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

from loadbalancer.changefeed.messages import Row
from loadbalancer.testbed.cluster.checks import Broken

Rows = dict[str, Row]
REFUSED = b"!"  # a value that begins so is one that an older program can't take


class History:
    """One epoch of the store. Each scope's rows after each revision that changed them."""

    def __init__(
        self, epoch: str, revision: int, rows: dict[str, Rows], versions: dict[str, int]
    ) -> None:
        self.epoch = epoch
        self.first = self.revision = revision
        self.versions = dict(versions)  # by whole key; they count on over a deletion
        self._at: dict[str, tuple[list[int], list[Rows]]] = {
            scope: ([revision], [dict(all_)]) for scope, all_ in rows.items()
        }
        self.log: list[
            tuple[int, list[tuple[str, Row]]]
        ] = []  # revision, (scope, row) that it changed

    def write(self, revision: int, changes: list[tuple[str, str, bytes | None]]) -> None:
        """In one entry; scope, key within it, value."""
        new: dict[str, Rows] = {}
        told = []
        for scope, key, value in changes:
            version = self.versions[f"{scope}/{key}"] = self.versions.get(f"{scope}/{key}", 0) + 1
            row = Row(key, version, value)
            rows = new.get(scope)
            if rows is None:
                rows = new[scope] = dict(self.rows(scope, self.revision))
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = row
            told.append((scope, row))
        for scope, rows in new.items():
            revisions, states = self._at.setdefault(scope, ([], []))
            revisions.append(revision)
            states.append(rows)
        self.revision = revision
        self.log.append((revision, told))

    def rows(self, scope: str, revision: int) -> Rows:
        revisions, states = self._at.get(scope, ([], []))
        place = bisect_right(revisions, revision)
        return states[place - 1] if place else {}

    def changed(self, scope: str, revision: int) -> int:
        """The last change of the scope up to this revision."""
        revisions, _ = self._at.get(scope, ([], []))
        place = bisect_right(revisions, revision)
        return revisions[place - 1] if place else 0

    def all_rows(self, revision: int) -> dict[str, Rows]:
        return {scope: self.rows(scope, revision) for scope in self._at}


@dataclass(slots=True)
class View:
    """A scope as the balancer's program has it, put together from what was handed to it alone."""

    epoch: str = ""
    revision: int = -1
    rows: Rows = field(default_factory=dict)


class Book:
    """One balancer's. `old`: its program takes no value that begins with `REFUSED`."""

    def __init__(self, name: str, old: bool) -> None:
        self.name, self.old = name, old
        self.views: dict[str, View] = {}

    def takes(self, row: Row) -> bool:
        return not (self.old and row.value is not None and row.value.startswith(REFUSED))

    def wanted(self, add: list[str], drop: list[str]) -> None:
        for scope in drop:
            self.views.pop(scope, None)
        for scope in add:
            self.views.setdefault(scope, View())

    def applied(
        self, history: History, scope: str, whole: bool, rows: tuple[Row, ...], revision: int
    ) -> None:
        """Raises Broken."""
        view = self.views.get(scope)
        if view is None:
            raise Broken(
                "dropped", f"{self.name} was handed rows of {scope}, which it does not want"
            )
        if view.epoch != history.epoch:
            if not whole:
                raise Broken("epoch", f"{self.name} was handed part of {scope} before all of it")
            view.epoch, view.revision = history.epoch, -1
        if revision < view.revision:
            raise Broken("back in time", f"{self.name}: {scope} from {view.revision} to {revision}")
        if revision > history.revision:
            raise Broken("future", f"{self.name}: {scope} at {revision} of {history.revision}")
        if whole:
            if any(row.value is None for row in rows) or len({row.key for row in rows}) < len(rows):
                raise Broken("whole", f"{self.name}: {scope} came with rows doubled or deleted")
            view.rows = {row.key: row for row in rows}
        else:
            for row in rows:
                if row.value is None:
                    view.rows.pop(row.key, None)
                else:
                    view.rows[row.key] = row
        view.revision = revision
        self.compare(history, scope, view)

    def compare(self, history: History, scope: str, view: View) -> None:
        """Rows of one revision, but for those refused: an earlier one stands there, or none."""
        expected = history.rows(scope, view.revision)
        if not self.old and view.rows == expected:
            return
        for key in expected.keys() | view.rows.keys():
            want, has = expected.get(key), view.rows.get(key)
            refused = want is not None and not self.takes(want)
            if has is not None and not self.takes(has) or want != has and not refused:
                raise Broken(
                    "rows", f"{self.name}: {scope} at {view.revision}: {key} is {has}, not {want}"
                )

    def reached(self, history: History, scope: str, revision: int) -> None:
        """A node says that all up to this revision is in force here. Where rows are refused nothing
        is handed over, and the view can't tell; nor is it where a row came and went meanwhile, and
        all is as it was.
        """
        view = self.views.get(scope)
        if view is None or view.epoch != history.epoch or self.old:
            return
        if history.changed(scope, revision) > view.revision and view.rows != history.rows(
            scope, revision
        ):
            raise Broken(
                "reached", f"{self.name}: {scope} is at {view.revision}, counted for {revision}"
            )
