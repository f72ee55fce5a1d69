"""Versioned configuration documents in the store.

A document is validated before it is proposed and replaced as a whole with compare-and-set. Older
versions can be restored from its history.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from loadbalancer.store.client import Client
from loadbalancer.store.commands import KEY_PATTERN, MAX_VALUE_BYTES
from loadbalancer.store.errors import RejectedError
from loadbalancer.store.wire.protocol import Row
from loadbalancer.store.write_session import WriteOptions

PREFIX: Final = "config/"
# Takes a document's name and text; returns the first error, or an empty string if it is valid.
DocumentCheck = Callable[[str, str], str]


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """The expected version of a changed document, and the author and reason of the change.

    Attributes:
        version: The version that the document must have: 0 for a new document, `ANY_VERSION` for
            any version.
        author: The author of the change.
        note: The reason for the change.
    """

    version: int
    author: str
    note: str = ""


def key(name: str) -> str:
    """Return the store key of a document.

    Raises:
        RejectedError: The name is not valid.
    """
    if not KEY_PATTERN.match(PREFIX + name):
        raise RejectedError(
            f"{name!r} is not a valid document name: use lower-case letters, digits, dots and"
            " dashes, with slashes as separators"
        )
    return PREFIX + name


async def get(client: Client, name: str, version: int | None = None) -> Row:
    """Return a version of a document; `None` selects the newest.

    Raises:
        RejectedError: The document or version does not exist.
        UnavailableError: No node replied in time.
    """
    if version is not None:
        return await _get_version(client, name, version)
    row = (await client.get(key(name))).rows[0]
    if row.value is None:
        raise RejectedError(f"{name}: the document does not exist")
    return row


async def _get_version(client: Client, name: str, version: int) -> Row:
    for row in (await client.history(key(name))).rows:
        if row.version == version and row.value is not None:
            return row
    raise RejectedError(f"{name}: version {version} does not exist or is no longer retained")


async def put(
    client: Client, name: str, text: str, check: DocumentCheck, change: DocumentChange
) -> int:
    """Replace a document; return its new version.

    Raises:
        ConflictError: The document is at another version.
        RejectedError: The document is not valid.
        UnavailableError: The document was not replaced.
        UndecidedError: The document may have been replaced.
    """
    value = text.encode()
    if len(value) > MAX_VALUE_BYTES:
        raise RejectedError(f"{name}: the document exceeds {MAX_VALUE_BYTES} bytes")
    fault = check(name, text)
    if fault:
        raise RejectedError(f"{name}: {fault}")
    options = WriteOptions(note=change.note, author=change.author)
    return await client.put(key(name), value, change.version, options)


async def rollback(
    client: Client, name: str, version: int, check: DocumentCheck, author: str
) -> int:
    """Restore an older text as a new version, after validating it against the current rules."""
    current = await get(client, name)
    older = await get(client, name, version)
    assert older.value is not None
    change = DocumentChange(current.version, author, f"back to version {version}")
    return await put(client, name, older.value.decode(), check, change)


def diff(name: str, old: Row, new: Row) -> str:
    """Return the unified diff of two versions; empty if they are equal."""
    old_lines, new_lines = ((row.value or b"").decode().splitlines(True) for row in (old, new))
    old_name = f"{name} {old.version}"
    new_name = f"{name} {new.version}"
    return "".join(difflib.unified_diff(old_lines, new_lines, old_name, new_name))
