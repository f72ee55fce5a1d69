"""Digest of a scope's rows: the sum, modulo 2**64, of a hash of each row.

The digest does not depend on the order of rows, so it is maintained by adding and subtracting. It
is a sum rather than an exclusive or, so that a row counted twice shows. It finds faults, not
malice.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from loadbalancer.changefeed.messages import Row

MASK: Final = (1 << 64) - 1


def of_row(row: Row) -> int:
    """Return the hash of one row; 0 for a deleted one."""
    if row.value is None:
        return 0
    # Keys hold no NUL, so key and value can't run into each other.
    return xxh3_64_intdigest(row.key.encode() + b"\0" + row.value, row.version & MASK)


def of_rows(rows: Iterable[Row]) -> int:
    """Return the digest of all rows."""
    return sum(map(of_row, rows)) & MASK


def replace_row(digest: int, old: Row | None, new: Row) -> int:
    """Return the digest after `new` took the place of `old`."""
    return (digest - (of_row(old) if old is not None else 0) + of_row(new)) & MASK
