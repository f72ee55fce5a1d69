"""Versioned configuration documents on top of the store: checked before they are proposed, replaced
as a whole with compare-and-set, with a history to look at and go back in.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable

from loadbalancer.store.client import Client
from loadbalancer.store.commands import KEY_PATTERN, MAX_VALUE_BYTES
from loadbalancer.store.errors import RejectedError
from loadbalancer.store.wire.protocol import Row
from loadbalancer.store.write_session import WriteOptions

PREFIX = "config/"
DocumentCheck = Callable[[str, str], str]  # name, text: the first thing wrong with it, or empty


def key(name: str) -> str:
    """Raises Rejected."""
    if not KEY_PATTERN.match(PREFIX + name):
        raise RejectedError(
            f"{name!r} is no name: small letters, digits, dots and dashes, with slashes between"
        )
    return PREFIX + name


async def get(client: Client, name: str, version: int = 0) -> Row:
    """A document as it stands, or at a version. Raises Rejected where there is none,
    Unavailable.
    """
    if version:
        for row in (await client.history(key(name))).rows:
            if row.version == version and row.value is not None:
                return row
        raise RejectedError(f"{name}: there is no version {version}, or it is too long ago")
    row = (await client.get(key(name))).rows[0]
    if row.value is None:
        raise RejectedError(f"{name}: there is no such document")
    return row


async def put(
    client: Client,
    name: str,
    text: str,
    check: DocumentCheck,
    version: int,
    author: str,
    note: str = "",
) -> int:
    """The new version. `version`: what it must be at, 0 for a new one, -1 for whatever. Raises
    Rejected, Conflict, Unavailable, Undecided.
    """
    if len(text.encode()) > MAX_VALUE_BYTES:
        raise RejectedError(f"{name}: a document has {MAX_VALUE_BYTES} bytes at most")
    why = check(name, text)
    if why:
        raise RejectedError(f"{name}: {why}")
    return await client.put(
        key(name), text.encode(), version, WriteOptions(note=note, author=author)
    )


async def rollback(
    client: Client, name: str, version: int, check: DocumentCheck, author: str
) -> int:
    """An older text as a new version, checked again: what was good once may not be now."""
    now = await get(client, name)
    then = await get(client, name, version)
    assert then.value is not None
    return await put(
        client, name, then.value.decode(), check, now.version, author, f"back to version {version}"
    )


def diff(name: str, a: Row, b: Row) -> str:
    """Unified; empty where they are alike."""
    old, new = ((r.value or b"").decode().splitlines(keepends=True) for r in (a, b))
    return "".join(difflib.unified_diff(old, new, f"{name} {a.version}", f"{name} {b.version}"))
