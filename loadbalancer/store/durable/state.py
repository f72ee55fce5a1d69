"""The replicated state in SQLite: keys with versions, their history, sessions and watch events.

A batch of entries is applied in one transaction together with its last index, so a reader never
sees part of a write and no entry is applied twice. The transactions are not synced: after a power
loss the state may be older than the log, and entries of the log are applied again.
`state_files.flush` syncs the state, and the log is compacted only up to the synced index.

Results depend only on the entries and the state, so the same log produces byte-identical results
on every node. The texts of results are therefore part of the format.
"""

from __future__ import annotations

import dataclasses
import sqlite3
from collections.abc import Sequence
from typing import Final

import google_crc32c

from loadbalancer.changefeed.messages import PREFIX
from loadbalancer.leases import table
from loadbalancer.leases.expiry import ActiveClaim
from loadbalancer.store import commands
from loadbalancer.store.commands import (
    ANY_VERSION,
    LEASE_PREFIX,
    AnyCommand,
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
from loadbalancer.store.durable.lease_records import LEASES_NOT_SUPPORTED, LeaseRecords
from loadbalancer.store.durable.rows import LoadedRows, WatchEvent
from loadbalancer.store.durable.schema import (
    DIGEST_ORDER,
    LEASE_TABLES,
    LEASES_FORMAT,
    ROW_TABLES,
    ROWS_FORMAT,
    prefix_end,
)
from loadbalancer.store.durable.sessions import Sessions
from loadbalancer.store.raft.messages import Entry, EntryKind, unpack_members

FORMAT_NOT_REACHED: Final = {
    LEASES_FORMAT: LEASES_NOT_SUPPORTED,
    ROWS_FORMAT: "not all nodes of the store know rows yet",
}


class State(LeaseRecords, Sessions):
    """The replicated state machine; not safe for concurrent use by threads."""

    def __init__(self, db: sqlite3.Connection) -> None:
        super().__init__(db)
        self._reload_leases()

    # ---- applying --------------------------------------------------------------------------------

    def apply(self, entries: Sequence[Entry]) -> list[Result]:
        """Apply the next entries: all of them, or none if it raises."""
        assert entries[0].index == self.applied + 1, "entries do not continue the applied ones"
        counters = dataclasses.replace(self.counters)
        claim_count = len(self.changed_claims)
        event_count = len(self.row_events)
        self.db.execute("BEGIN IMMEDIATE")
        try:
            results = [self._apply_entry(entry) for entry in entries]
            self._finish_batch(entries[-1])
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            self.counters = counters
            del self.changed_claims[claim_count:]
            del self.row_events[event_count:]
            self._reload_leases()
            raise
        self.applied = entries[-1].index
        self.term = entries[-1].term
        return results

    def _finish_batch(self, last: Entry) -> None:
        self._trim_events()
        self._set_meta(
            applied=last.index,
            term=last.term,
            forgotten=self.counters.forgotten,
            events=self.counters.event_count,
            events_bytes=self.counters.event_bytes,
        )

    def _apply_entry(self, entry: Entry) -> Result:
        if entry.kind == EntryKind.MEMBERS:
            self.counters.members = unpack_members(entry.data)
            self._set_meta(members=entry.data)
            return Result(ResultCode.DONE, entry.index)
        if entry.kind != EntryKind.COMMAND:
            return Result(ResultCode.DONE, entry.index)
        try:
            command = unpack_command(entry.data)
        except ValueError as error:
            reason = f"it does not read: {' '.join(str(error).split())}"
            return Result(ResultCode.REFUSED, entry.index, (), reason)
        return self._apply_command(command, entry.index)

    def _apply_command(self, command: AnyCommand, index: int) -> Result:
        match command:
            case OpenSession():
                return self._open_session(command, index)
            case CloseSession():
                self._close_session(command.session)
                return Result(ResultCode.DONE, index)
            case Write():
                return self._apply_write_once(command, index)
            case Upgrade():
                return self._upgrade(command, index)
            case Claim() | Release() | ExpireClaim():
                return self._apply_lease_command(command, index)

    # ---- writes ----------------------------------------------------------------------------------

    def _apply_write(self, command: Write, index: int) -> Result:
        rejection_text = self._write_rejection(command)
        if rejection_text:
            return Result(ResultCode.REFUSED, index, (), rejection_text)
        rejection = self._check_fences(command, index) or self._check_versions(command, index)
        if rejection is not None:
            return rejection
        if isinstance(command, RowsWrite):
            rejection_text = rows.dangling_reference(self.db, command)
            if rejection_text:
                return Result(ResultCode.REFUSED, index, (), rejection_text)
            rows.record_references(self.db, command)
        versions = tuple(
            self._apply_op(op, command, index, position) for position, op in enumerate(command.ops)
        )
        return Result(ResultCode.DONE, index, versions)

    def _write_rejection(self, command: Write) -> str:
        """Return why a write is invalid in this format of the state; empty if it is valid."""
        rejection_text = commands.rejection_reason(command)
        if rejection_text:
            return rejection_text
        keys = [op.key for op in command.ops]
        if self.format >= LEASES_FORMAT and any(key.startswith(LEASE_PREFIX) for key in keys):
            return f"what stands under {LEASE_PREFIX} is changed by claims alone"
        is_rows_write = isinstance(command, RowsWrite)
        if (
            self.format >= ROWS_FORMAT
            and not is_rows_write
            and any(key.startswith(PREFIX) for key in keys)
        ):
            return f"what stands under {PREFIX} is changed by writes of rows alone"
        required = 1
        if is_rows_write:
            required = ROWS_FORMAT
        elif commands.fencing_tokens(command):
            required = LEASES_FORMAT
        return FORMAT_NOT_REACHED[required] if self.format < required else ""

    def _check_fences(self, command: Write, index: int) -> Result | None:
        """Reject a write with a fencing token that is not current."""
        for name, token in commands.fencing_tokens(command):
            lease = self._stored_lease(name)
            if not lease.permits(token):
                if lease.token:
                    self._put_lease(table.write_rejected(lease), index, 0)
                reason = f"{name} is not held under token {table.format_token(token)}"
                return Result(ResultCode.FENCED, index, (lease.token,), reason)
        return None

    def _check_versions(self, command: Write, index: int) -> Result | None:
        """Reject a write if a key is not at the expected version."""
        checks = [
            *command.checks,
            *((op.key, op.version) for op in command.ops if op.version != ANY_VERSION),
        ]
        for key, expected in checks:
            version = self._current_version(key)
            if version != expected:
                return Result(ResultCode.CONFLICT, index, (version,), key)
        return None

    # ---- formats ---------------------------------------------------------------------------------

    def _upgrade(self, command: Upgrade, index: int) -> Result:
        """Upgrade the state by one format; commands for any other format change nothing."""
        if command.format == LEASES_FORMAT and self.format == LEASES_FORMAT - 1:
            self._create_format_tables(LEASE_TABLES, LEASE_PREFIX, index)
            self.db.execute("INSERT INTO meta VALUES ('tokens', 0)")
            self.counters.format = LEASES_FORMAT
        elif command.format == ROWS_FORMAT and self.format == ROWS_FORMAT - 1:
            self._create_format_tables(ROW_TABLES, PREFIX, index)
            self.db.execute("INSERT INTO meta VALUES ('rows_from', ?)", (index,))
            self.counters.format = ROWS_FORMAT
            self.counters.rows_from = index
        self._set_meta(format=self.format)
        return Result(ResultCode.DONE, index, (self.format,))

    def _create_format_tables(self, tables: str, prefix: str, index: int) -> None:
        """Create the tables of a format, and delete existing plain keys with its prefix."""
        for statement in tables.split(";"):
            self.db.execute(statement)
        existing_keys = self.db.execute(
            "SELECT key FROM items WHERE key >= ? AND key < ? ORDER BY key",
            (prefix, prefix_end(prefix)),
        ).fetchall()
        for position, (key,) in enumerate(existing_keys):
            self._apply_op(Op(key, None), Write(0, 0, 0, ()), index, position)

    # ---- recorded changes ------------------------------------------------------------------------

    def take_changed_claims(self) -> list[ActiveClaim]:
        """Return claims that were made, renewed or ended since the last call."""
        taken = self.changed_claims
        self.changed_claims = []
        return taken

    def take_row_events(self) -> list[WatchEvent]:
        """Return changes of rows since the last call, in order."""
        taken = self.row_events
        self.row_events = []
        return taken

    def take_changed_keys(self) -> set[str]:
        """Return keys changed since the last call, possibly with keys of a failed batch."""
        taken = self.changed_keys
        self.changed_keys = set()
        return taken

    # ---- reading ---------------------------------------------------------------------------------

    def rows(self) -> LoadedRows:
        """Return the rows and changes that a change feed node loads; none before format 3."""
        if self.format < ROWS_FORMAT:
            return LoadedRows(self.applied, [], self.applied, [])
        return rows.load_rows(self.db, self.applied, max(self.forgotten, self.rows_from))

    def digest(self) -> int:
        """Return a checksum of all replicated data.

        It is equal on all nodes that have applied the same entries.
        """
        total = 0
        for name, order, since_format in DIGEST_ORDER:
            if self.format < since_format:
                continue
            for row in self.db.execute(f"SELECT * FROM {name} ORDER BY {order}"):
                total = google_crc32c.extend(total, repr(row).encode())
        return int(total)
