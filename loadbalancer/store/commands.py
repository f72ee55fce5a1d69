"""Commands of the replicated log and their results.

Encoded as MessagePack arrays with a tag. The format is replicated: a newer version of the program
must not write commands that an older version can't decode until all nodes run the newer version.
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
MAX_OPERATIONS: Final = 256  # per write, including its checks
MAX_FENCING_TOKENS: Final = 8  # per write
MAX_TEXT_LENGTH: Final = 1024  # characters of an author or a note
MAX_REFERENCES: Final = 16  # per row

INITIAL_FORMAT: Final = 1
LEASES_FORMAT: Final = 2  # adds leases, and fencing tokens on writes
ROWS_FORMAT: Final = 3  # adds rows of the change feed
STATE_FORMAT = ROWS_FORMAT  # the newest state format that this program supports

ANY_VERSION: Final = -1  # encoded value of a check or operation without a version condition
LEASE_PREFIX: Final = "lease/"  # keys of leases; from format 2 on clients can't write them


class Op(ArrayStruct, frozen=True):
    """Puts a value under a key, or deletes the key.

    Attributes:
        key: The key.
        value: The new value; None deletes the key.
        version: The version that the key must have, or else the whole command is rejected; 0 if the
            key must not exist, `ANY_VERSION` for no condition.
    """

    key: str
    value: bytes | None
    version: int = ANY_VERSION


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """The content of a log entry."""


class Write(Command, frozen=True, tag=1):
    """Applies all operations or none.

    Attributes:
        session: The client's session.
        number: The write's number in its session, from 1 on.
        answered: The client received the results up to this write number, so they are dropped.
        ops: The operations.
        checks: Keys that are not written, with the versions that they must have.
        author: Who made the change.
        note: Why it was made.
        time_ms: The proposer's wall clock, for display only; no decision depends on it.
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

    A separate tag keeps the encoding of a plain write decodable by programs of format 1.

    Attributes:
        fences: Names of leases with their fencing tokens.
    """

    fences: tuple[tuple[str, int], ...] = ()


class RowsWrite(FencedWrite, frozen=True, tag=9):
    """A write of change feed rows, possibly with other keys; needs format 3.

    Attributes:
        refs: For each operation, the keys of the rows that its row refers to; empty if no row
            refers to another. After the write, each row that is referred to must exist, so a row
            can't be deleted while another row refers to it.
    """

    refs: tuple[tuple[str, ...], ...] = ()


class OpenSession(Command, frozen=True, tag=2):
    """Opens a session whose number was chosen at random by the client. Idempotent."""

    session: int
    name: str = ""


class CloseSession(Command, frozen=True, tag=3):
    """Closes a session and drops its cached results."""

    session: int


class Upgrade(Command, frozen=True, tag=4):
    """Raises the format of the state; proposed by a leader once all members support that format."""

    format: int


class Claim(Command, frozen=True, tag=5):
    """Requests or renews a lease, as its holder or as a candidate.

    Idempotent, so it needs no session. The result's versions are the fencing token (0 for a
    candidate) and the position among the candidates.
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
        claim: The claim that holds the lease.
        token: The fencing token that the claim must hold for the release; 0 for any token.
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
    """The outcome of a command."""

    DONE = 0
    CONFLICT = 1  # a key is at another version
    EXPIRED = 2  # the session is unknown, so it is unknown whether the write was applied before
    REFUSED = 3  # invalid or over a limit; the same on every node
    FENCED = 4  # a fencing token is not current


class Result(ArrayStruct, frozen=True):
    """The result of a command.

    Attributes:
        code: A `ResultCode`.
        revision: The log index that made the change.
        versions: Versions of the written keys, in the order of the operations. After a conflict,
            the current version of the key in `text`.
        text: The reason of a failure; the key after a conflict.
    """

    code: int
    revision: int = 0
    versions: tuple[int, ...] = ()
    text: str = ""


_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_result_decoder = msgspec.msgpack.Decoder(Result)


def unpack_command(data: bytes) -> AnyCommand:
    """Decode a command.

    Raises:
        ValueError: The data is not a command of a supported format.
    """
    return _command_decoder.decode(data)


def unpack_result(data: bytes) -> Result:
    """Decode a result.

    Raises:
        ValueError: The data is not a result.
    """
    return _result_decoder.decode(data)


def required_format(command: AnyCommand) -> int:
    """Return the lowest state format that can apply the command."""
    if isinstance(command, RowsWrite):
        return ROWS_FORMAT
    if isinstance(command, FencedWrite):
        return LEASES_FORMAT
    if isinstance(command, Write | OpenSession | CloseSession):
        return INITIAL_FORMAT
    return LEASES_FORMAT


def fencing_tokens(command: Write) -> tuple[tuple[str, int], ...]:
    """Return the leases and fencing tokens that the write depends on."""
    return command.fences if isinstance(command, FencedWrite) else ()


def operations_with_references(command: Write) -> Iterator[tuple[Op, tuple[str, ...]]]:
    """Return each operation with the keys of the rows that its row refers to."""
    refs = command.refs if isinstance(command, RowsWrite) else ()
    return zip(command.ops, refs or ((),) * len(command.ops), strict=False)


def is_client_command(command: AnyCommand) -> bool:
    """Return whether a client may propose the command; only leaders may propose the others."""
    return not isinstance(command, Upgrade | ExpireClaim)


def rejection_reason(command: Write) -> str | None:
    """Return the first limit that a write violates in every state; None if there is none.

    The checks and texts are part of the replicated format: all versions of the program must agree.
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
