"""Reads of rows and pages of rows from the state."""

from __future__ import annotations

from typing import Final, NamedTuple

from loadbalancer.store.durable.items import Item
from loadbalancer.store.durable.state import State
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import Row

MAX_SCAN_ROWS: Final = 1000


class Page(NamedTuple):
    """The rows of one reply; `more` is set if further rows may follow."""

    rows: tuple[Row, ...]
    more: bool = False


def row_of(item: Item) -> Row:
    """Convert an item of the state to its wire form."""
    return Row(
        item.key, item.value, item.version, item.revision, item.time_ms, item.author, item.note
    )


def get(state: State, keys: tuple[str, ...]) -> Page:
    """Return a row for each key; its value is None if the key does not exist."""
    items = [state.get(key) for key in keys]
    return Page(
        tuple(
            row_of(item) if item is not None else Row(key, None, 0, 0)
            for key, item in zip(keys, items, strict=True)
        )
    )


def history(state: State, key: str, limit: int) -> Page:
    """Return the retained versions of a key, newest first."""
    return Page(tuple(row_of(item) for item in state.history(key, limit)))


def scan(state: State, prefix: str, after: str, limit: int) -> Page:
    """Return a page of keys with a prefix, limited by row count and size in bytes."""
    limit = max(1, min(limit, MAX_SCAN_ROWS))
    rows: list[Row] = []
    size_bytes = 0
    for item in state.scan(prefix, after, limit):
        size_bytes += len(item.value or b"") + len(item.key)
        if rows and size_bytes > protocol.MAX_PAGE_BYTES:
            return Page(tuple(rows), more=True)
        rows.append(row_of(item))
    return Page(tuple(rows), more=len(rows) == limit)
