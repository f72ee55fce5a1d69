"""Digest of a scope's rows: the sum, modulo 2**64, of a hash of each row.

The digest does not depend on the order of rows, so it is updated by adding and subtracting hashes.
It is a sum rather than an XOR, so that a duplicate row changes it. It detects accidental corruption
and does not protect against deliberate tampering.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from loadbalancer.changefeed.messages import Row

MASK: Final = (1 << 64) - 1


def of_row(row: Row) -> int:
    """Return the hash of one row; 0 for a deleted row."""
    if row.value is None:
        return 0
    # Keys contain no NUL byte, so the separator makes the split of key and value unambiguous.
    return xxh3_64_intdigest(row.key.encode() + b"\0" + row.value, row.version & MASK)


def of_rows(rows: Iterable[Row]) -> int:
    """Return the digest of all rows."""
    return sum(map(of_row, rows)) & MASK


def replace_row(digest: int, old: Row | None, new: Row) -> int:
    """Return the digest after `new` replaces `old`."""
    return (digest - (of_row(old) if old is not None else 0) + of_row(new)) & MASK
