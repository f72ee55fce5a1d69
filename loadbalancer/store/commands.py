"""What entries of the log say to the state, and what it answers. Msgpack arrays with a tag; the
format is fixed: what one version of the program can't read, no later one may write before all nodes
can.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import IntEnum

import msgspec

from loadbalancer.changefeed.messages import MAX_ROW_BYTES, PREFIX, split_key
from loadbalancer.store.raft.messages import ArrayStruct
from loadbalancer.store.raft.messages import pack as pack

KEY = re.compile(r"[a-z0-9][A-Za-z0-9._:@-]*(/[A-Za-z0-9][A-Za-z0-9._:@-]*)*\Z")
MOST_KEY = 512  # characters
MOST_VALUE = 1 << 20  # bytes
MOST_OPS = 256
MOST_FENCES = 8
MOST_TEXT = 1024  # of an author or a note
MOST_REFS = 16  # rows that one row names
# The newest format of a state that this program knows. 2: leases, and tokens on writes; 3: rows of
# the feed.
FORMAT = 3
ANY = -1  # a check or op that does not care about the version


class Op(ArrayStruct, frozen=True):
    """Put `value` under `key`, or delete the key where it is None. `version`: what the key must be
    at, as its whole command's condition; 0: it must not be there; ANY: whatever.
    """

    key: str
    value: bytes | None
    version: int = ANY


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """What an entry holds."""


class Write(Command, frozen=True, tag=1):
    """All of `ops`, or none. Writes of a session are numbered from 1; `answered` says that the
    answers up to that number came, so that they need not be kept.
    """

    session: int
    number: int
    answered: int
    ops: tuple[Op, ...]
    checks: tuple[tuple[str, int], ...] = ()  # keys that are not written, and what they must be at
    author: str = ""
    note: str = ""
    time_ms: int = 0  # the proposer's clock: shown, never decided by


class FencedWrite(Write, frozen=True, tag=8):
    """A write under leases, with their tokens; format 2. A kind of its own: a plain write stays,
    byte for byte, what a program of format 1 reads.
    """

    fences: tuple[tuple[str, int], ...] = ()


class RowsWrite(FencedWrite, frozen=True, tag=9):
    """A write of rows of the feed, and of other keys with them; format 3. `refs`: by op, the keys
    of rows that this row names; empty where none does. After the write each of them must be there,
    and no row may be gone that another names.
    """

    refs: tuple[tuple[str, ...], ...] = ()


class OpenSession(Command, frozen=True, tag=2):
    """`session` is drawn by the client; opening it twice is harmless."""

    session: int
    name: str = ""


class CloseSession(Command, frozen=True, tag=3):
    session: int


class Upgrade(Command, frozen=True, tag=4):
    """From here on the state has this format. Proposed by a leader that met all members at it."""

    format: int


class Claim(Command, frozen=True, tag=5):
    """Ask for a lease, or show that one is still there, as owner or candidate. May be repeated: it
    needs no session. Answered with the token, 0 while it waits, and the place among the
    candidates.
    """

    lease: str
    holder: str
    claim: int
    ttl_ms: int
    rank: int = 0
    note: str = ""
    time_ms: int = 0


class Release(Command, frozen=True, tag=6):
    """Give a lease back. `token`: only if it is held under this one; 0: whatever the claim has."""

    lease: str
    claim: int
    token: int = 0
    time_ms: int = 0


class Lapse(Command, frozen=True, tag=7):
    """The time of a claim is over, if it was not renewed since `round`. Proposed by leaders
    alone.
    """

    lease: str
    claim: int
    round: int
    time_ms: int = 0


AnyCommand = (
    Write | FencedWrite | RowsWrite | OpenSession | CloseSession | Upgrade | Claim | Release | Lapse
)
LEASES = "lease/"  # a lease stands under this key; writes to it are refused from format 2 on


class Code(IntEnum):
    """How a command ended."""

    DONE = 0
    CONFLICT = 1  # a key is at another version
    EXPIRED = (
        2  # the session is not known any more: whether the write was made before can't be told
    )
    REFUSED = 3  # it breaks a limit: every node says so alike
    FENCED = 4  # it was written under a token that does not hold


class Result(ArrayStruct, frozen=True):
    """`revision`: the log index that made the change; `versions`: of the written keys, in the order
    of `ops`; after a conflict, the version that the key named in `text` is at.
    """

    code: int
    revision: int = 0
    versions: tuple[int, ...] = ()
    text: str = ""


_commands = msgspec.msgpack.Decoder(AnyCommand)
_results = msgspec.msgpack.Decoder(Result)


def unpack_command(data: bytes) -> AnyCommand:
    """Raises ValueError."""
    return _commands.decode(data)


def unpack_result(data: bytes) -> Result:
    """Raises ValueError."""
    return _results.decode(data)


def format_of(command: AnyCommand) -> int:
    """The least format of the state that takes it."""
    if isinstance(command, FencedWrite):
        return 3 if isinstance(command, RowsWrite) else 2
    return 1 if isinstance(command, Write | OpenSession | CloseSession) else 2


def fences_of(command: Write) -> tuple[tuple[str, int], ...]:
    """The leases and tokens that it is written under."""
    return command.fences if isinstance(command, FencedWrite) else ()


def refs_of(command: Write) -> Iterator[tuple[Op, tuple[str, ...]]]:
    """Each operation, and the keys of the rows that its row names."""
    refs = command.refs if isinstance(command, RowsWrite) else ()
    return zip(command.ops, refs or ((),) * len(command.ops), strict=False)


def client_may(command: AnyCommand) -> bool:
    """May a client propose it? The rest is for leaders."""
    return not isinstance(command, Upgrade | Lapse)


def wrong(command: Write) -> str:
    """The first thing about a write that no state takes, whatever it holds; empty: none. Part of
    the format.
    """
    if not command.ops or len(command.ops) + len(command.checks) > MOST_OPS:
        return f"a write has 1 to {MOST_OPS} operations"
    keys = [op.key for op in command.ops] + [key for key, _ in command.checks]
    for key in keys:
        if len(key) > MOST_KEY or not KEY.match(key):
            return f"{key[:60]!r} is no key"
    if len(set(keys)) < len(keys):
        return "a key stands there twice"
    if len(fences_of(command)) > MOST_FENCES:
        return f"a write bears {MOST_FENCES} tokens at most"
    if any(op.value is not None and len(op.value) > MOST_VALUE for op in command.ops):
        return f"a value has {MOST_VALUE} bytes at most"
    if len(command.author) > MOST_TEXT or len(command.note) > MOST_TEXT:
        return f"author and note have {MOST_TEXT} characters at most"
    return _wrong_rows(command) if isinstance(command, RowsWrite) else ""


def _wrong_rows(command: RowsWrite) -> str:
    if command.refs and len(command.refs) != len(command.ops):
        return "refs are told for each operation, or for none"
    for op, refs in refs_of(command):
        try:
            for row in (*([op.key] if op.key.startswith(PREFIX) else ()), *refs):
                split_key(row)
        except ValueError as error:
            return str(error)
        if refs and (op.value is None or not op.key.startswith(PREFIX)):
            return f"{op.key}: only a row that is put names others"
        if len(refs) > MOST_REFS or len(set(refs)) < len(refs):
            return f"{op.key}: a row names {MOST_REFS} others at most, each once"
        if (
            op.key.startswith(PREFIX)
            and op.value is not None
            and not 0 < len(op.value) <= MAX_ROW_BYTES
        ):
            return f"{op.key}: a row has 1 to {MAX_ROW_BYTES} bytes"
    return ""
