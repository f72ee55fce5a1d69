"""Commands of the replicated log and their results.

Encoded as MessagePack arrays with a tag. The format is fixed: a newer version of the program may
not write what an older one can't decode before all nodes run the newer one.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import IntEnum
from typing import Final

import msgspec

from loadbalancer.changefeed.messages import MAX_ROW_BYTES, PREFIX, split_key
from loadbalancer.store.raft.messages import ArrayStruct, pack

__all__ = [
    "ANY_VERSION",
    "KEY_PATTERN",
    "LEASE_PREFIX",
    "MAX_FENCING_TOKENS",
    "MAX_KEY_LENGTH",
    "MAX_OPERATIONS",
    "MAX_REFERENCES",
    "MAX_TEXT_LENGTH",
    "MAX_VALUE_BYTES",
    "STATE_FORMAT",
    "AnyCommand",
    "Claim",
    "CloseSession",
    "Command",
    "ExpireClaim",
    "FencedWrite",
    "Op",
    "OpenSession",
    "Release",
    "Result",
    "ResultCode",
    "RowsWrite",
    "Upgrade",
    "Write",
    "fencing_tokens",
    "is_client_command",
    "operations_with_references",
    "pack",
    "rejection_reason",
    "required_format",
    "unpack_command",
    "unpack_result",
]

KEY_PATTERN: Final = re.compile(r"[a-z0-9][A-Za-z0-9._:@-]*(/[A-Za-z0-9][A-Za-z0-9._:@-]*)*\Z")
MAX_KEY_LENGTH: Final = 512  # characters
MAX_VALUE_BYTES: Final = 1 << 20
MAX_OPERATIONS: Final = 256  # of one write, its checks included
MAX_FENCING_TOKENS: Final = 8  # of one write
MAX_TEXT_LENGTH: Final = 1024  # characters of an author or a note
MAX_REFERENCES: Final = 16  # rows that one row refers to

INITIAL_FORMAT: Final = 1
LEASES_FORMAT: Final = 2  # adds leases, and fencing tokens on writes
ROWS_FORMAT: Final = 3  # adds rows of the change feed
STATE_FORMAT = ROWS_FORMAT  # the newest format of a state that this program knows

ANY_VERSION: Final = -1  # encoded: a check or operation that holds at every version
LEASE_PREFIX: Final = "lease/"  # leases are stored here; from format 2 on clients can't write there


class Op(ArrayStruct, frozen=True):
    """Puts a value under a key, or deletes the key.

    Attributes:
        key: The key.
        value: The new value; None deletes the key.
        version: The version that the key must be at for the complete command to be applied; 0 if it
            must not exist, `ANY_VERSION` for no condition.
    """

    key: str
    value: bytes | None
    version: int = ANY_VERSION


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """Content of a log entry."""


class Write(Command, frozen=True, tag=1):
    """Applies all operations or none.

    Attributes:
        session: The client's session.
        number: The write's number in its session, from 1 on.
        answered: The client received the results up to this number; they need not be cached.
        ops: The operations.
        checks: Keys that are not written, with the versions that they must be at.
        author: Who made the change.
        note: Why it was made.
        time_ms: The proposer's wall clock: displayed, never used for a decision.
    """

    session: int
    number: int
    answered: int
    ops: tuple[Op, ...]
    checks: tuple[tuple[str, int], ...] = ()
    author: str = ""
    note: str = ""
    time_ms: int = 0


class FencedWrite(Write, frozen=True, tag=8):
    """A write that is applied only if its fencing tokens are current; needs format 2.

    It has a tag of its own, so that a plain write stays byte for byte what a program of format 1
    decodes.

    Attributes:
        fences: Leases with their tokens.
    """

    fences: tuple[tuple[str, int], ...] = ()


class RowsWrite(FencedWrite, frozen=True, tag=9):
    """A write of change feed rows, possibly with other keys; needs format 3.

    Attributes:
        refs: For each operation, the keys of the rows that its row refers to; empty if none does.
            After the write each of them must exist, and no row may be deleted that another refers
            to.
    """

    refs: tuple[tuple[str, ...], ...] = ()


class OpenSession(Command, frozen=True, tag=2):
    """Opens a session whose number the client drew. Idempotent."""

    session: int
    name: str = ""


class CloseSession(Command, frozen=True, tag=3):
    """Closes a session and drops its cached results."""

    session: int


class Upgrade(Command, frozen=True, tag=4):
    """Raises the format of the state; proposed by a leader once all members know that format."""

    format: int


class Claim(Command, frozen=True, tag=5):
    """Requests or renews a lease, as its holder or as a candidate.

    Idempotent, so it needs no session. The result's versions are the token, 0 for a candidate, and
    the position among the candidates.
    """

    lease: str
    holder: str
    claim: int
    ttl_ms: int
    rank: int = 0
    note: str = ""
    time_ms: int = 0


class Release(Command, frozen=True, tag=6):
    """Releases a lease.

    Attributes:
        lease: The lease's name.
        claim: The claim that holds it.
        token: Release only if it is held under this token; 0 for whichever the claim has.
        time_ms: The proposer's wall clock.
    """

    lease: str
    claim: int
    token: int = 0
    time_ms: int = 0


class ExpireClaim(Command, frozen=True, tag=7):
    """Expires a claim unless it was renewed after `round`. Proposed by leaders only."""

    lease: str
    claim: int
    round: int
    time_ms: int = 0


AnyCommand = (
    Write
    | FencedWrite
    | RowsWrite
    | OpenSession
    | CloseSession
    | Upgrade
    | Claim
    | Release
    | ExpireClaim
)


class ResultCode(IntEnum):
    """Outcome of a command."""

    DONE = 0
    CONFLICT = 1  # a key is at another version
    EXPIRED = 2  # the session is unknown; whether the write was made before can't be determined
    REFUSED = 3  # it breaks a limit; every node decides so alike
    FENCED = 4  # a fencing token is not current


class Result(ArrayStruct, frozen=True):
    """Result of a command.

    Attributes:
        code: A `ResultCode`.
        revision: The log index that made the change.
        versions: Versions of the written keys, in the order of the operations; after a conflict,
            the version of the key that is named in `text`.
        text: The reason of a failure.
    """

    code: int
    revision: int = 0
    versions: tuple[int, ...] = ()
    text: str = ""


_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_result_decoder = msgspec.msgpack.Decoder(Result)


def unpack_command(data: bytes) -> AnyCommand:
    """Decodes a command.

    Raises:
        ValueError: It is not a command of a known format.
    """
    return _command_decoder.decode(data)


def unpack_result(data: bytes) -> Result:
    """Decodes a result.

    Raises:
        ValueError: It is not a result.
    """
    return _result_decoder.decode(data)


def required_format(command: AnyCommand) -> int:
    """Returns the lowest format of the state that can apply the command."""
    if isinstance(command, RowsWrite):
        return ROWS_FORMAT
    if isinstance(command, FencedWrite):
        return LEASES_FORMAT
    if isinstance(command, Write | OpenSession | CloseSession):
        return INITIAL_FORMAT
    return LEASES_FORMAT


def fencing_tokens(command: Write) -> tuple[tuple[str, int], ...]:
    """Returns the leases and tokens that the write depends on."""
    return command.fences if isinstance(command, FencedWrite) else ()


def operations_with_references(command: Write) -> Iterator[tuple[Op, tuple[str, ...]]]:
    """Returns each operation with the keys of the rows that its row refers to."""
    refs = command.refs if isinstance(command, RowsWrite) else ()
    return zip(command.ops, refs or ((),) * len(command.ops), strict=False)


def is_client_command(command: AnyCommand) -> bool:
    """Returns whether a client may propose the command; the others are for leaders."""
    return not isinstance(command, Upgrade | ExpireClaim)


def rejection_reason(command: Write) -> str | None:
    """Returns the first limit that a write breaks, whatever the state holds; None if it is valid.

    Part of the format: all versions of the program have to agree.
    """
    keys = [op.key for op in command.ops] + [key for key, _ in command.checks]
    return (
        _count_rejection(command)
        or _keys_rejection(keys)
        or _size_rejection(command)
        or (_rows_rejection(command) if isinstance(command, RowsWrite) else None)
    )


def _count_rejection(command: Write) -> str | None:
    if not command.ops or len(command.ops) + len(command.checks) > MAX_OPERATIONS:
        return f"a write has 1 to {MAX_OPERATIONS} operations"
    return None


def _keys_rejection(keys: list[str]) -> str | None:
    for key in keys:
        if len(key) > MAX_KEY_LENGTH or not KEY_PATTERN.match(key):
            return f"{key[:60]!r} is no key"
    if len(set(keys)) < len(keys):
        return "a key stands there twice"
    return None


def _size_rejection(command: Write) -> str | None:
    if len(fencing_tokens(command)) > MAX_FENCING_TOKENS:
        return f"a write bears {MAX_FENCING_TOKENS} tokens at most"
    if any(op.value is not None and len(op.value) > MAX_VALUE_BYTES for op in command.ops):
        return f"a value has {MAX_VALUE_BYTES} bytes at most"
    if len(command.author) > MAX_TEXT_LENGTH or len(command.note) > MAX_TEXT_LENGTH:
        return f"author and note have {MAX_TEXT_LENGTH} characters at most"
    return None


def _rows_rejection(command: RowsWrite) -> str | None:
    if command.refs and len(command.refs) != len(command.ops):
        return "refs are told for each operation, or for none"
    for op, refs in operations_with_references(command):
        reason = _row_rejection(op, refs)
        if reason:
            return reason
    return None


def _row_rejection(op: Op, refs: tuple[str, ...]) -> str | None:
    is_row = op.key.startswith(PREFIX)
    try:
        for row in (*([op.key] if is_row else ()), *refs):
            split_key(row)
    except ValueError as error:
        return str(error)
    if refs and (op.value is None or not is_row):
        return f"{op.key}: only a row that is put names others"
    if len(refs) > MAX_REFERENCES or len(set(refs)) < len(refs):
        return f"{op.key}: a row names {MAX_REFERENCES} others at most, each once"
    if is_row and op.value is not None and not 0 < len(op.value) <= MAX_ROW_BYTES:
        return f"{op.key}: a row has 1 to {MAX_ROW_BYTES} bytes"
    return None
