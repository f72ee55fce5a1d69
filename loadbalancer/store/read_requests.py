"""Rows and pages of rows that a client reads from the state."""

from __future__ import annotations

from typing import Final, NamedTuple

from loadbalancer.store.durable.items import Item
from loadbalancer.store.durable.state import State
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import Row

MAX_SCAN_ROWS: Final = 1000


class Page(NamedTuple):
    """Rows of one reply; `more` if the page is full."""

    rows: tuple[Row, ...]
    more: bool = False


def row_of(item: Item) -> Row:
    """Returns an item of the state in its wire form."""
    return Row(
        item.key, item.value, item.version, item.revision, item.time_ms, item.author, item.note
    )


def get(state: State, keys: tuple[str, ...]) -> Page:
    """Returns a row for each key; its value is None if the key does not exist."""
    items = [state.get(key) for key in keys]
    return Page(
        tuple(
            row_of(item) if item is not None else Row(key, None, 0, 0)
            for key, item in zip(keys, items, strict=True)
        )
    )


def history(state: State, key: str, limit: int) -> Page:
    """Returns the retained versions of a key, newest first."""
    return Page(tuple(row_of(item) for item in state.history(key, limit)))


def scan(state: State, prefix: str, after: str, limit: int) -> Page:
    """Returns a page of the keys with a prefix, limited in rows and bytes."""
    limit = max(1, min(limit, MAX_SCAN_ROWS))
    rows: list[Row] = []
    size_bytes = 0
    for item in state.scan(prefix, after, limit):
        size_bytes += len(item.value or b"") + len(item.key)
        if rows and size_bytes > protocol.MAX_PAGE_BYTES:
            return Page(tuple(rows), more=True)
        rows.append(row_of(item))
    return Page(tuple(rows), more=len(rows) == limit)
