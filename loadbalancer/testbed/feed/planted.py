"""The feed with one bug each, planted to see that the simulation catches it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.delivery import Delivery
from loadbalancer.changefeed.fanout import Fanout
from loadbalancer.changefeed.messages import Patch, Row
from loadbalancer.changefeed.scope import Scope
from loadbalancer.changefeed.scope_table import PatchBuffer, ScopeTable
from loadbalancer.changefeed.subscriber import Subscriber, WatchedScope
from loadbalancer.changefeed.subscription import Subscription
from loadbalancer.testbed.feed.sim import Options, Outcome, play

_on_patch = Subscription._on_patch
_replace_scopes = Subscription._replace_scopes
_apply_delta = ScopeTable.apply_delta
_changes_since = Scope.changes_since
_put = Scope.put
_serve = Delivery.serve


def _cursor_before_last_part(
    self: Subscription, generation: int, patch: Patch, size: int, now: int
) -> None:
    """A scope's cursor moves on with the first part of a patch."""
    table = self.scopes.get(patch.scope)
    if table is not None and table.generation <= generation and not patch.is_last_chunk:
        table.cursor, table.is_synced = max(table.cursor, patch.revision), True
    _on_patch(self, generation, patch, size, now)


def _keeps_dropped(self: Subscription, new: list[str], old: list[str], now: int) -> None:
    tables = self.__dict__.setdefault("dropped", {})
    tables.update({scope: self.scopes[scope] for scope in old})
    _replace_scopes(self, new, old, now)


def _applies_dropped(
    self: Subscription, generation: int, patch: Patch, size: int, now: int
) -> None:
    """What is under way of a dropped scope is applied."""
    dropped = self.__dict__.get("dropped", {}).get(patch.scope)
    if patch.scope in self.scopes or dropped is None:
        _on_patch(self, generation, patch, size, now)
        return
    self.scopes[patch.scope] = dropped
    _on_patch(self, generation, patch, size, now)
    self.scopes.pop(patch.scope, None)


def _first_of_each(self: Scope, cursor: int) -> list[Row]:
    """What is drawn together is the first value of each key."""
    first: dict[str, Row] = {}
    for entry in self.log:
        if entry.revision > cursor:
            for row in entry.rows:
                first.setdefault(row.key, row)
    return list(first.values())


def _without_deletes(self: Scope, cursor: int) -> list[Row]:
    """Deletions are not told where other rows are."""
    rows = _changes_since(self, cursor)
    return [row for row in rows if row.value is not None] or rows


def _digest_keeps_deleted(self: Scope, row: Row) -> None:
    before = self.digest
    _put(self, row)
    if row.value is None:
        self.digest = before


def _counted_at_send(self: Subscriber) -> tuple[int, int] | None:
    """What was sent counts as in force."""
    delivered = self.delivered_revision()
    return None if delivered is None else (delivered, 0)


def _always_covered(self: Scope, cursor: int) -> bool:
    """A cursor that the log no longer covers goes on from it."""
    return True


def _never_parked(self: Fanout, subscriber: Subscriber, cursors: dict[str, int], now: int) -> None:
    """Who knows more than the node is served like all."""
    self._start_delivery(subscriber, cursors, now)


def _served_while_parked(self: Delivery, subscriber: Subscriber, now: int) -> None:
    """What a parked subscriber says is answered with a bookmark."""
    parked, subscriber.parked_cursors = subscriber.parked_cursors, None
    _serve(self, subscriber, now)
    subscriber.parked_cursors = parked


def _no_more(
    self: Delivery, subscriber: Subscriber, scope: WatchedScope, revision: int, now: int
) -> None:
    """What changes while a snapshot is under way is not told after it."""


def _no_window(self: Delivery, subscriber: Subscriber, size: int) -> bool:
    """As much is sent as there is."""
    return subscriber.is_writable


def _blind(self: ScopeTable, stage: PatchBuffer, expected: int) -> list[Row] | None:
    """No digest finds anything, so the books have to."""
    after = self.digest
    for row in stage.rows.values():
        after = digest.replace_row(after, self.rows.get(row.key), row)
    taken = _apply_delta(self, stage, after)
    self.digest = expected
    return taken


class Plant(NamedTuple):
    owner: type
    name: str
    put: Callable[..., Any]


BLIND = (
    Plant(ScopeTable, "apply_delta", _blind),
    Plant(Subscription, "_digest_matches", lambda self, table: True),
)
PLANTS: dict[str, tuple[Plant, ...]] = {
    "cursor-before-last-part": (Plant(Subscription, "_on_patch", _cursor_before_last_part),),
    "dropped-scope-applied": (
        Plant(Subscription, "_replace_scopes", _keeps_dropped),
        Plant(Subscription, "_on_patch", _applies_dropped),
    ),
    "stale-coalescing": (Plant(Scope, "changes_since", _first_of_each),),
    "lost-delete": (Plant(Scope, "changes_since", _without_deletes),),
    "stale-coalescing-unseen-by-digests": (Plant(Scope, "changes_since", _first_of_each), *BLIND),
    "lost-delete-unseen-by-digests": (Plant(Scope, "changes_since", _without_deletes), *BLIND),
    "digest-keeps-deleted": (Plant(Scope, "put", _digest_keeps_deleted),),
    "reached-at-send": (Plant(Subscriber, "lag", _counted_at_send),),
    "resumed-past-the-log": (Plant(Scope, "covers", _always_covered),),
    "never-parked": (Plant(Fanout, "_park", _never_parked),),
    "bookmark-while-parked": (Plant(Delivery, "serve", _served_while_parked),),
    "lost-under-a-snapshot": (Plant(Delivery, "_requeue_if_changed", _no_more),),
    "no-window": (Plant(Delivery, "_has_window", _no_window),),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The bug of this name is there meanwhile, in this process."""
    saved = [(plant.owner, plant.name, getattr(plant.owner, plant.name)) for plant in PLANTS[name]]
    for plant in PLANTS[name]:
        setattr(plant.owner, plant.name, plant.put)
    try:
        yield
    finally:
        for owner, attribute, true in saved:
            setattr(owner, attribute, true)


def played(name: str, seed: int, options: Options | None = None) -> Outcome:
    with planted(name):
        return play(seed, options)


def catch(name: str, most: int, options: Options | None = None) -> Outcome | None:
    """The first seed that shows it."""
    for seed in range(1, most + 1):
        outcome = played(name, seed, options)
        if outcome.broken:
            return outcome
    return None
