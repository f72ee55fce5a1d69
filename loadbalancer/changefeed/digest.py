"""A digest of a scope's rows: the sum, modulo 2**64, of a hash of each. Free of order, so it is
kept up by adding and taking away; a sum and no exclusive or, so a row that counts twice shows. It
finds faults, not malice.
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from loadbalancer.changefeed.messages import Row

MASK = (1 << 64) - 1


def of_row(row: Row) -> int:
    """0 for a deleted row. Keys hold no NUL, so key and value can't run into each other."""
    if row.value is None:
        return 0
    return xxh3_64_intdigest(row.key.encode() + b"\0" + row.value, row.version & MASK)


def of_rows(rows: Iterable[Row]) -> int:
    return sum(map(of_row, rows)) & MASK


def moved(digest: int, old: Row | None, new: Row) -> int:
    """The digest after `new` took the place of `old`."""
    return (digest - (of_row(old) if old is not None else 0) + of_row(new)) & MASK
