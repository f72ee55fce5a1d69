"""The state's database, and the counters that all tables share."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from typing import Any

from loadbalancer.leases.expiry import ActiveClaim
from loadbalancer.leases.table import Lease
from loadbalancer.store.durable.errors import DamagedError
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.schema import LEASES_FORMAT, ROWS_FORMAT
from loadbalancer.store.raft.messages import Members, unpack_members


@dataclass(slots=True)
class Counters:
    """Values cached in memory; they are restored when a batch of entries fails."""

    members: Members
    format: int
    forgotten: int  # events up to this revision were dropped
    event_count: int
    event_bytes: int
    session_count: int
    tokens: int  # the last fencing token granted
    rows_from: int  # the revision of the upgrade to change feed rows


class StateTables:
    """The open database; not safe for concurrent use by threads."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db
        self.applied = int(self._meta("applied"))  # the index of the last entry applied
        self.term = int(self._meta("term"))
        self.cluster = str(self._meta("cluster"))
        self.counters = self._load_counters()
        self.leases: dict[str, Lease] = {}  # current leases by name
        # Changes since the last call of the corresponding `take_...` method:
        self.changed_keys: set[str] = set()
        self.changed_claims: list[ActiveClaim] = []  # made, renewed or ended
        self.row_events: list[WatchEvent] = []  # of change feed rows, in order

    def _load_counters(self) -> Counters:
        state_format = int(self._meta("format"))
        has_leases = state_format >= LEASES_FORMAT
        has_rows = state_format >= ROWS_FORMAT
        return Counters(
            members=unpack_members(bytes(self._meta("members"))),
            format=state_format,
            forgotten=int(self._meta("forgotten")),
            event_count=int(self._meta("events")),
            event_bytes=int(self._meta("events_bytes")),
            session_count=int(self.db.execute("SELECT count(*) FROM sessions").fetchone()[0]),
            tokens=int(self._meta("tokens")) if has_leases else 0,
            rows_from=int(self._meta("rows_from")) if has_rows else 0,
        )

    @property
    def members(self) -> Members:
        """The members as of the last entry applied."""
        return self.counters.members

    @property
    def format(self) -> int:
        """The format of the state."""
        return self.counters.format

    @property
    def forgotten(self) -> int:
        """The revision up to which events were dropped."""
        return self.counters.forgotten

    @property
    def tokens(self) -> int:
        """The last fencing token granted."""
        return self.counters.tokens

    @property
    def rows_from(self) -> int:
        """The revision of the upgrade to change feed rows; 0 before that."""
        return self.counters.rows_from

    def _meta(self, name: str) -> Any:
        row = self.db.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()
        if row is None:
            raise DamagedError(f"the state has no {name}")
        return row[0]

    def _set_meta(self, **values: int | bytes) -> None:
        self.db.executemany(
            "UPDATE meta SET value = ? WHERE name = ?", [(v, n) for n, v in values.items()]
        )

    def close(self) -> None:
        """Close the database."""
        self.db.close()
