"""The state that the log builds: keys with versions, their history, sessions, changes for watchers.
SQLite.

A run of entries is applied in one transaction together with its last index, so no reader sees half
of a write and no entry is applied twice. Commits here are not synced: after power was lost the
state may be older than the log, which then plays the rest again; `flush` syncs it, and the log is
cut only up to there.

Everything that decides lies in the entries and in the state: the same log gives the same bytes of
answer on every node.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import google_crc32c

from loadbalancer.changefeed.messages import PREFIX
from loadbalancer.leases import table
from loadbalancer.leases.expiry import ActiveClaim
from loadbalancer.leases.table import Candidate, Lease
from loadbalancer.store import commands
from loadbalancer.store.commands import (
    ANY_VERSION,
    LEASE_PREFIX,
    STATE_FORMAT,
    Claim,
    CloseSession,
    ExpireClaim,
    Op,
    OpenSession,
    Release,
    Result,
    ResultCode,
    RowsWrite,
    Upgrade,
    Write,
    unpack_command,
)
from loadbalancer.store.durable import rows
from loadbalancer.store.durable.journal import Damaged
from loadbalancer.store.durable.rows import Event as Event
from loadbalancer.store.raft.messages import (
    Entry,
    EntryKind,
    Members,
    SnapshotMeta,
    pack,
    unpack_members,
)

HISTORY = 100  # versions of a key that are kept, where they are
HISTORY_OF = "config/", LEASE_PREFIX
MOST_LEASES = 5_000
EVENTS, EVENTS_BYTES = 10_000, 16 << 20  # changes that are kept for watchers
SESSIONS = 2_000  # the least lately used goes
WINDOW = 256  # answers that are kept of one session
CHUNK = 1 << 20
CANDIDATE_TIMES = 2  # a candidate that shows nothing for so many times its lease's time is gone
NOT_YET = {
    2: "not all nodes of the store know leases yet",
    3: "not all nodes of the store know rows yet",
}

TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE items (key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL,
    revision INTEGER NOT NULL, time_ms INTEGER NOT NULL, author TEXT NOT NULL, note TEXT NOT NULL)
    WITHOUT ROWID;
CREATE TABLE versions (key TEXT PRIMARY KEY, version INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE history (key TEXT, version INTEGER, value BLOB, revision INTEGER NOT NULL,
    time_ms INTEGER NOT NULL, author TEXT NOT NULL, note TEXT NOT NULL,
    PRIMARY KEY (key, version)) WITHOUT ROWID;
CREATE TABLE events (revision INTEGER, place INTEGER, key TEXT NOT NULL, version INTEGER NOT NULL,
    value BLOB, PRIMARY KEY (revision, place)) WITHOUT ROWID;
CREATE TABLE sessions (id INTEGER PRIMARY KEY, name TEXT NOT NULL, answered INTEGER NOT NULL,
    used INTEGER NOT NULL);
CREATE INDEX sessions_used ON sessions (used);
CREATE TABLE answers (session INTEGER, number INTEGER, result BLOB NOT NULL,
    PRIMARY KEY (session, number)) WITHOUT ROWID;
"""
# `rounds`: how often each claim was renewed. Beside the lease, which stays as it is: whoever
# watches it is not woken by each renewal.
TABLES_2 = """
CREATE TABLE rounds (lease TEXT, claim INTEGER, round INTEGER NOT NULL, PRIMARY KEY (lease, claim))
    WITHOUT ROWID;
"""


@dataclass(frozen=True, slots=True)
class Item:
    """A key as it stands, or as it stood."""

    key: str
    value: bytes | None  # None: deleted
    version: int
    revision: int
    time_ms: int = 0
    author: str = ""
    note: str = ""


Failed = sqlite3.Error


class Compacted(Exception):
    """The history that a watcher asks for is gone."""

    def __init__(self, oldest: int) -> None:
        super().__init__(
            f"changes before revision {oldest} are gone: read anew, and watch from there"
        )
        self.oldest = oldest


class State:
    """One thread at a time."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db
        self.applied = int(self._meta("applied"))
        self.term = int(self._meta("term"))
        self.members = unpack_members(bytes(self._meta("members")))
        self.cluster = str(self._meta("cluster"))
        self.forgotten = int(self._meta("forgotten"))  # changes up to this revision are gone
        self.kept_events = int(self._meta("events"))
        self.kept_bytes = int(self._meta("events_bytes"))
        self.sessions = int(db.execute("SELECT count(*) FROM sessions").fetchone()[0])
        self.format = int(self._meta("format"))
        self.tokens = int(self._meta("tokens")) if self.format >= 2 else 0
        self.rows_from = (
            int(self._meta("rows_from")) if self.format >= 3 else 0
        )  # the upgrade to format 3
        self.leases = {
            lease.name: lease for lease in self._leases()
        }  # as they stand, for whoever looks on
        self.touched: set[str] = set()  # keys that changed since last taken
        self.claimed: list[ActiveClaim] = []  # what was claimed, renewed or ended since last taken
        self.fed: list[Event] = []  # changes of rows since last taken, in their order

    def _meta(self, name: str) -> Any:
        row = self.db.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()
        if row is None:
            raise Damaged(f"the state has no {name}")
        return row[0]

    def close(self) -> None:
        self.db.close()

    # ---- applying --------------------------------------------------------------------------------

    def apply(self, entries: Sequence[Entry]) -> list[Result]:
        """The entries follow on what was applied; all of them or, where this raises, none."""
        assert entries[0].index == self.applied + 1, "a gap between state and log"
        kept = (
            self.members,
            self.kept_events,
            self.kept_bytes,
            self.forgotten,
            self.sessions,
            self.format,
            self.tokens,
            self.rows_from,
        )
        claimed, fed = len(self.claimed), len(self.fed)
        self.db.execute("BEGIN IMMEDIATE")
        try:
            results = [self._apply(entry) for entry in entries]
            self._forget_events()
            self._set(
                applied=entries[-1].index,
                term=entries[-1].term,
                forgotten=self.forgotten,
                events=self.kept_events,
                events_bytes=self.kept_bytes,
            )
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            (
                self.members,
                self.kept_events,
                self.kept_bytes,
                self.forgotten,
                self.sessions,
                self.format,
                self.tokens,
                self.rows_from,
            ) = kept
            del self.claimed[claimed:], self.fed[fed:]
            self.leases = {lease.name: lease for lease in self._leases()}
            raise
        self.applied, self.term = entries[-1].index, entries[-1].term
        return results

    def _set(self, **values: int | bytes) -> None:
        self.db.executemany(
            "UPDATE meta SET value = ? WHERE name = ?", [(v, n) for n, v in values.items()]
        )

    def _apply(self, entry: Entry) -> Result:
        if entry.kind == EntryKind.MEMBERS:
            self.members = unpack_members(entry.data)
            self._set(members=entry.data)
            return Result(ResultCode.DONE, entry.index)
        if entry.kind != EntryKind.COMMAND:
            return Result(ResultCode.DONE, entry.index)
        try:
            command = unpack_command(entry.data)
        except ValueError as error:
            return Result(
                ResultCode.REFUSED,
                entry.index,
                (),
                f"it does not read: {' '.join(str(error).split())}",
            )
        match command:
            case OpenSession():
                return self._open(command, entry.index)
            case CloseSession():
                self._drop(command.session)
                return Result(ResultCode.DONE, entry.index)
            case Write():
                return self._once(command, entry.index)
            case Upgrade():
                return self._upgrade(command, entry.index)
            case Claim() | Release() | ExpireClaim():
                return self._lease(command, entry.index)

    def _open(self, command: OpenSession, index: int) -> Result:
        fresh = self.db.execute(
            "INSERT INTO sessions VALUES (?, ?, 0, ?) ON CONFLICT (id) DO NOTHING",
            (command.session, command.name, index),
        ).rowcount
        self.sessions += fresh
        while self.sessions > SESSIONS:
            oldest = self.db.execute(
                "SELECT id FROM sessions ORDER BY used, id LIMIT 1"
            ).fetchone()[0]
            self._drop(oldest)
        return Result(ResultCode.DONE, index)

    def _drop(self, session: int) -> None:
        self.sessions -= self.db.execute("DELETE FROM sessions WHERE id = ?", (session,)).rowcount
        self.db.execute("DELETE FROM answers WHERE session = ?", (session,))

    def _once(self, command: Write, index: int) -> Result:
        """A write that was made before is answered as it was then (thesis 6.3)."""
        row = self.db.execute(
            "SELECT answered FROM sessions WHERE id = ?", (command.session,)
        ).fetchone()
        if row is None:
            return Result(
                ResultCode.EXPIRED, index, (), "the session is not known here: it is too long ago"
            )
        if command.number <= row[0]:
            return Result(
                ResultCode.EXPIRED, index, (), f"write {command.number} was answered before"
            )
        old = self.db.execute(
            "SELECT result FROM answers WHERE session = ? AND number = ?",
            (command.session, command.number),
        ).fetchone()
        if old is not None:
            return commands.unpack_result(old[0])
        answered = max(row[0], command.answered, command.number - WINDOW)
        if answered > row[0]:
            self.db.execute(
                "DELETE FROM answers WHERE session = ? AND number <= ?", (command.session, answered)
            )
        self.db.execute(
            "UPDATE sessions SET answered = ?, used = ? WHERE id = ?",
            (answered, index, command.session),
        )
        result = self._write(command, index)
        self.db.execute(
            "INSERT INTO answers VALUES (?, ?, ?)",
            (command.session, command.number, commands.pack(result)),
        )
        return result

    def _write(self, command: Write, index: int) -> Result:
        why = commands.rejection_reason(command)
        if (
            not why
            and self.format >= 2
            and any(op.key.startswith(LEASE_PREFIX) for op in command.ops)
        ):
            why = f"what stands under {LEASE_PREFIX} is changed by claims alone"
        if (
            not why
            and self.format >= 3
            and not isinstance(command, RowsWrite)
            and any(op.key.startswith(PREFIX) for op in command.ops)
        ):
            why = f"what stands under {PREFIX} is changed by writes of rows alone"
        fences = commands.fencing_tokens(command)
        needs = 3 if isinstance(command, RowsWrite) else 2 if fences else 1
        if not why and self.format < needs:
            why = NOT_YET[needs]
        if why:
            return Result(ResultCode.REFUSED, index, (), why)
        for name, token in fences:
            lease = self._found(name)
            if not lease.permits(token):
                if lease.token:
                    self._put_lease(table.write_rejected(lease), index, 0)
                return Result(
                    ResultCode.FENCED,
                    index,
                    (lease.token,),
                    f"{name} is not held under token {table.format_token(token)}",
                )
        checks = [
            *command.checks,
            *((op.key, op.version) for op in command.ops if op.version != ANY_VERSION),
        ]
        for key, version in checks:
            now = self._version(key)
            if now != version:
                return Result(ResultCode.CONFLICT, index, (now,), key)
        if isinstance(command, RowsWrite):
            why = rows.dangling(self.db, command)
            if why:
                return Result(ResultCode.REFUSED, index, (), why)
            rows.note_refs(self.db, command)
        return Result(
            ResultCode.DONE,
            index,
            tuple(self._op(op, command, index, place) for place, op in enumerate(command.ops)),
        )

    def _version(self, key: str) -> int:
        """0: the key is not there."""
        row = self.db.execute("SELECT version FROM items WHERE key = ?", (key,)).fetchone()
        return int(row[0]) if row else 0

    def _op(self, op: Op, command: Write, index: int, place: int) -> int:
        # Versions go on counting over a deletion, so that none stands for two values.
        row = self.db.execute("SELECT version FROM versions WHERE key = ?", (op.key,)).fetchone()
        version = (int(row[0]) if row else 0) + 1
        if op.value is None:
            if self.db.execute("DELETE FROM items WHERE key = ?", (op.key,)).rowcount == 0:
                return 0
        else:
            self.db.execute(
                "INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?, ?, ?, ?)",
                (op.key, op.value, version, index, command.time_ms, command.author, command.note),
            )
        self.db.execute("INSERT OR REPLACE INTO versions VALUES (?, ?)", (op.key, version))
        if op.key.startswith(HISTORY_OF if self.format >= 2 else HISTORY_OF[0]):
            self.db.execute(
                "INSERT INTO history VALUES (?, ?, ?, ?, ?, ?, ?)",
                (op.key, version, op.value, index, command.time_ms, command.author, command.note),
            )
            self.db.execute(
                "DELETE FROM history WHERE key = ? AND version <= ?", (op.key, version - HISTORY)
            )
        self.touched.add(op.key)
        if self.format >= 3 and op.key.startswith(PREFIX):
            self.fed.append(Event(index, op.key, version, op.value))
        self.db.execute(
            "INSERT INTO events VALUES (?, ?, ?, ?, ?)", (index, place, op.key, version, op.value)
        )
        self.kept_events += 1
        self.kept_bytes += len(op.value or b"") + len(op.key.encode())
        return 0 if op.value is None else version

    # ---- leases ----------------------------------------------------------------------------------

    def _upgrade(self, command: Upgrade, index: int) -> Result:
        if command.format == 2 and self.format == 1:
            self._begin(
                TABLES_2, LEASE_PREFIX, index
            )  # what anybody wrote there before is no lease
            self.db.execute("INSERT INTO meta VALUES ('tokens', 0)")
            self.format = 2
        elif command.format == 3 and self.format == 2:
            self._begin(rows.TABLES_3, PREFIX, index)  # nor a row
            self.db.execute("INSERT INTO meta VALUES ('rows_from', ?)", (index,))
            self.format, self.rows_from = 3, index
        self._set(format=self.format)
        return Result(ResultCode.DONE, index, (self.format,))

    def _begin(self, tables: str, prefix: str, index: int) -> None:
        """New tables, and nothing under the keys that they are about."""
        for statement in tables.split(";"):
            self.db.execute(statement)
        found = self.db.execute(
            "SELECT key FROM items WHERE key >= ? AND key < ? ORDER BY key",
            (prefix, prefix + "\U0010ffff"),
        ).fetchall()
        for place, (key,) in enumerate(found):
            self._op(Op(key, None), Write(0, 0, 0, ()), index, place)

    def _found(self, name: str) -> Lease:
        row = self.db.execute(
            "SELECT value FROM items WHERE key = ?", (LEASE_PREFIX + name,)
        ).fetchone()
        return table.unpack(row[0]) if row else Lease(name)

    def _lease(self, command: Claim | Release | ExpireClaim, index: int) -> Result:
        if self.format < 2:
            return Result(ResultCode.REFUSED, index, (), NOT_YET[2])
        why = ""
        if isinstance(command, Claim):
            why = table.claim_fault(
                command.lease, command.holder, command.claim, command.ttl_ms, command.note
            )
        elif len(command.lease) > table.MAX_NAME_CHARS or not table.NAME.match(command.lease):
            why = "it is no name"
        if why:
            return Result(ResultCode.REFUSED, index, (), why)
        lease, token = self._found(command.lease), self.tokens + 1
        match command:
            case Claim():
                if not lease.token and not self._room():
                    return Result(
                        ResultCode.REFUSED, index, (), f"there are {MOST_LEASES} leases already"
                    )
                who = Candidate(
                    command.holder, command.claim, command.rank, command.ttl_ms, command.note
                )
                made = table.claim(lease, who, token, command.time_ms)
            case Release():
                made = table.release(lease, command.claim, command.token, token, command.time_ms)
            case ExpireClaim():
                if self._round(command.lease, command.claim) != command.round:
                    return Result(ResultCode.DONE, index, (), "it was renewed since")
                made = table.lapse(lease, command.claim, token, command.time_ms)
        if made.is_granted:
            self.tokens = token
            self._set(tokens=token)
        if made.lease != lease and (lease.token or made.is_granted):
            self._put_lease(made.lease, index, command.time_ms)
        self._note_rounds(lease, made.lease, command)
        return Result(ResultCode.DONE, index, (made.token, made.queue_position), made.reason)

    def _room(self) -> bool:
        return (
            int(
                self.db.execute(
                    "SELECT count(*) FROM items WHERE key >= ? AND key < ?",
                    (LEASE_PREFIX, LEASE_PREFIX + "\U0010ffff"),
                ).fetchone()[0]
            )
            < MOST_LEASES
        )

    def _put_lease(self, lease: Lease, index: int, time_ms: int) -> None:
        command = Write(0, 0, 0, (), time_ms=time_ms, author=lease.holder)
        self._op(Op(LEASE_PREFIX + lease.name, table.pack(lease)), command, index, 0)
        self.leases[lease.name] = lease

    def _round(self, lease: str, claim: int) -> int:
        row = self.db.execute(
            "SELECT round FROM rounds WHERE lease = ? AND claim = ?", (lease, claim)
        ).fetchone()
        return int(row[0]) if row else 0

    def _note_rounds(
        self, was: Lease, lease: Lease, command: Claim | Release | ExpireClaim
    ) -> None:
        """Who is gone has no round; who claimed, or was offered it, begins its time anew."""
        old, new = _times(was), _times(lease)
        for claim in old.keys() - new.keys():
            self.db.execute("DELETE FROM rounds WHERE lease = ? AND claim = ?", (lease.name, claim))
            self.claimed.append(ActiveClaim(lease.name, claim, 0, 0))
        for claim, ttl_ms in new.items():
            if old.get(claim) == ttl_ms and not (
                isinstance(command, Claim) and command.claim == claim
            ):
                continue
            count = self._round(lease.name, claim) + 1
            self.db.execute(
                "INSERT OR REPLACE INTO rounds VALUES (?, ?, ?)", (lease.name, claim, count)
            )
            self.claimed.append(ActiveClaim(lease.name, claim, count, ttl_ms))

    def running(self) -> list[ActiveClaim]:
        """Every claim that there is, with its time."""
        return [
            ActiveClaim(lease.name, claim, self._round(lease.name, claim), ttl_ms)
            for lease in self._leases()
            for claim, ttl_ms in _times(lease).items()
        ]

    def _leases(self) -> list[Lease]:
        if self.format < 2:
            return []
        return [
            table.unpack(row[0])
            for row in self.db.execute(
                "SELECT value FROM items WHERE key >= ? AND key < ? ORDER BY key",
                (LEASE_PREFIX, LEASE_PREFIX + "\U0010ffff"),
            ).fetchall()
        ]

    def take_claimed(self) -> list[ActiveClaim]:
        taken, self.claimed = self.claimed, []
        return taken

    def take_fed(self) -> list[Event]:
        taken, self.fed = self.fed, []
        return taken

    def take_touched(self) -> set[str]:
        """With those of a run of entries that was not made after all, it may be."""
        taken, self.touched = self.touched, set()
        return taken

    def _forget_events(self) -> None:
        """Whole revisions, oldest first, until what is left is within bounds."""
        while self.kept_events > EVENTS or self.kept_bytes > EVENTS_BYTES:
            oldest = self.db.execute("SELECT min(revision) FROM events").fetchone()[0]
            count, size = self.db.execute(
                "SELECT count(*), sum(length(CAST(key AS BLOB)) + coalesce(length(value), 0)) "
                "FROM events"
                " WHERE revision = ?",
                (oldest,),
            ).fetchone()
            self.db.execute("DELETE FROM events WHERE revision = ?", (oldest,))
            self.kept_events -= count
            self.kept_bytes -= size
            self.forgotten = oldest

    # ---- reading ---------------------------------------------------------------------------------

    def get(self, key: str) -> Item | None:
        row = self.db.execute(
            "SELECT key, value, version, revision, time_ms, author, note FROM items WHERE key = ?",
            (key,),
        ).fetchone()
        return Item(*row) if row else None

    def scan(self, prefix: str, after: str = "", most: int = 1000) -> list[Item]:
        """Keys that begin so, in their order, from the one behind `after` on."""
        return [
            Item(*row)
            for row in self.db.execute(
                "SELECT key, value, version, revision, time_ms, author, note FROM items"
                " WHERE key >= ? AND key < ? AND key > ? ORDER BY key LIMIT ?",
                (prefix, prefix + "\U0010ffff", after, most),
            )
        ]

    def history(self, key: str, most: int = HISTORY) -> list[Item]:
        """What a key was, newest first."""
        return [
            Item(*row)
            for row in self.db.execute(
                "SELECT key, value, version, revision, time_ms, author, note FROM history WHERE "
                "key = ?"
                " ORDER BY version DESC LIMIT ?",
                (key, most),
            )
        ]

    def events(self, prefix: str, after: int, most: int = 256) -> list[Event]:
        """Changes after this revision, whole revisions only, in their order. Raises Compacted."""
        if after < self.forgotten:
            raise Compacted(self.forgotten)
        rows = self.db.execute(
            "SELECT revision, key, version, value FROM events WHERE revision > ? AND key >= ? "
            "AND key < ?"
            " ORDER BY revision, place LIMIT ?",
            (after, prefix, prefix + "\U0010ffff", most),
        ).fetchall()
        if len(rows) == most:
            last = rows[-1][0]
            whole = [row for row in rows if row[0] < last]
            rows = (
                whole
                or self.db.execute(
                    "SELECT revision, key, version, value FROM events WHERE revision = ? AND "
                    "key >= ? AND key < ?"
                    " ORDER BY place",
                    (last, prefix, prefix + "\U0010ffff"),
                ).fetchall()
            )
        return [Event(*row) for row in rows]

    def rows(self) -> rows.Loaded:
        """What a node that tells rows begins with. Before format 3 there are none."""
        if self.format < 3:
            return rows.Loaded(self.applied, [], self.applied, [])
        return rows.load(self.db, self.applied, max(self.forgotten, self.rows_from))

    def digest(self) -> int:
        """A checksum of all that the log decides: the same on every node that applied as much."""
        total = 0
        tables = [
            ("items", "key"),
            ("versions", "key"),
            ("history", "key, version"),
            ("events", "revision, place"),
            ("sessions", "id"),
            ("answers", "session, number"),
            ("meta", "name"),
            *([("rounds", "lease, claim")] if self.format >= 2 else []),
            *([("refs", "key, ref")] if self.format >= 3 else []),
        ]
        for name, order in tables:
            for row in self.db.execute(f"SELECT * FROM {name} ORDER BY {order}"):
                total = google_crc32c.extend(total, repr(row).encode())
        return int(total)


def _times(lease: Lease) -> dict[int, int]:
    """The claims of a lease, and how long each lasts unrenewed, in ms."""
    found = {c.claim: CANDIDATE_TIMES * c.ttl_ms for c in lease.candidates}
    if lease.holder:
        found[lease.claim] = (
            int(lease.ttl_ms * table.OFFER_FRACTION) if lease.is_offered else lease.ttl_ms
        )
    return found


# ---- files ---------------------------------------------------------------------------------------


def _connect(path: str) -> sqlite3.Connection:
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, cached_statements=64)
    db.execute(
        "PRAGMA page_size = 1024"
    )  # of a new file: a write touches a page of each of a few tables
    db.execute("PRAGMA journal_mode = WAL")
    db.execute("PRAGMA synchronous = NORMAL")  # durable with `flush`
    db.execute(
        "PRAGMA wal_autocheckpoint = 0"
    )  # only `flush` moves it, so that its syncs are known
    db.execute("PRAGMA cache_size = -8192")
    return db


def fill(db: sqlite3.Connection, cluster: str, members: Members) -> None:
    """A new, empty state."""
    db.executescript("BEGIN;" + TABLES + "COMMIT;")
    db.executemany(
        "INSERT INTO meta VALUES (?, ?)",
        [
            ("format", 1),
            ("cluster", cluster),
            ("applied", 0),
            ("term", 0),
            ("members", pack(members)),
            ("forgotten", 0),
            ("events", 0),
            ("events_bytes", 0),
        ],
    )


def checked(db: sqlite3.Connection, name: str) -> State:
    """Raises Damaged, in one line."""
    try:
        version = db.execute("SELECT value FROM meta WHERE name = 'format'").fetchone()
        if version is None or version[0] > STATE_FORMAT:
            raise Damaged(
                f"{name}: format {version[0] if version else '?'} is newer than {STATE_FORMAT}, "
                "which this program knows"
            )
        return State(db)
    except (sqlite3.Error, ValueError) as error:
        raise Damaged(f"{name}: {' '.join(str(error).split())}") from None


def create(path: Path, cluster: str, members: Members) -> State:
    db = _connect(str(path))
    fill(db, cluster, members)
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    return State(db)


def open_state(path: Path) -> State:
    """Raises Damaged."""
    if not path.exists():
        raise Damaged(f"{path.name} is not there")
    try:
        db = _connect(str(path))
    except sqlite3.Error as error:
        raise Damaged(f"{path.name}: {error}") from None
    return checked(db, path.name)


def flush(state: State) -> int:
    """Sync what was applied; the index up to which the state is durable now. Raises
    sqlite3.Error.
    """
    applied = state.applied
    busy, _, _ = state.db.execute("PRAGMA wal_checkpoint(FULL)").fetchone()
    if busy:
        raise sqlite3.OperationalError("a reader holds the state: it can't be synced now")
    return applied


def verify(path: Path) -> str:
    """What is wrong with a state's file, after looking at all of it; empty: nothing."""
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            found = db.execute("PRAGMA integrity_check(1)").fetchone()[0]
            return "" if found == "ok" else str(found)
        finally:
            db.close()
    except sqlite3.Error as error:
        return str(error)


def adopt(path: Path, cluster: str, members: Members, unix_s: int) -> State:
    """Make a copy the state of another cluster, with these members. `unix_s`: the operator's clock,
    for the epoch of its tokens. Raises Damaged.
    """
    old = open_state(path)
    db = old.db
    db.execute("BEGIN IMMEDIATE")
    if old.format >= 2:
        db.execute(
            "UPDATE meta SET value = ? WHERE name = 'tokens'",
            (table.next_epoch(old.tokens, unix_s),),
        )
    db.executemany(
        "UPDATE meta SET value = ? WHERE name = ?",
        [(pack(members), "members"), (cluster, "cluster")],
    )
    db.execute("COMMIT")
    state = State(db)
    flush(state)
    return state


def export(source: Path, target: Path) -> SnapshotMeta:
    """A copy of the state as of one entry, while it goes on changing; durable when this returns.
    Runs on a connection of its own. Raises sqlite3.Error, OSError.
    """
    target.unlink(missing_ok=True)
    db = sqlite3.connect(f"file:{source}?mode=ro", uri=True, timeout=5)
    try:
        db.execute("VACUUM INTO ?", (str(target),))
    finally:
        db.close()
    number = os.open(target, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)
    return describe(target)


def describe(path: Path) -> SnapshotMeta:
    """Raises Damaged."""
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
        try:
            meta = dict(db.execute("SELECT name, value FROM meta"))
        finally:
            db.close()
        if meta["format"] > STATE_FORMAT:
            raise Damaged(
                f"{path.name}: format {meta['format']} is newer than {STATE_FORMAT}, which this"
                " program knows"
            )
        return SnapshotMeta(
            int(meta["applied"]),
            int(meta["term"]),
            unpack_members(meta["members"]),
            path.stat().st_size,
            checksum(path),
        )
    except (sqlite3.Error, KeyError, ValueError) as error:
        raise Damaged(f"{path.name}: no snapshot: {' '.join(str(error).split())}") from None


def of_bytes(data: bytes) -> int:
    """Their CRC-32C."""
    return int(google_crc32c.value(data))


def checksum(path: Path) -> int:
    """CRC-32C of a file."""
    total = 0
    with open(path, "rb") as file:
        while chunk := file.read(CHUNK):
            total = google_crc32c.extend(total, chunk)
    return int(total)
