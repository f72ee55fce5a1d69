"""Client sessions, which apply a repeated write only once (thesis 6.3)."""

from __future__ import annotations

from typing import Final

from loadbalancer.store import commands
from loadbalancer.store.commands import OpenSession, Result, ResultCode, Write
from loadbalancer.store.durable.state_tables import StateTables

MAX_SESSIONS = 2_000  # if exceeded, the least recently used session is closed
MAX_STORED_RESULTS: Final = 256  # per session


class Sessions(StateTables):
    """The tables of sessions and of the results of their writes."""

    def _open_session(self, command: OpenSession, index: int) -> Result:
        inserted = self.db.execute(
            "INSERT INTO sessions VALUES (?, ?, 0, ?) ON CONFLICT (id) DO NOTHING",
            (command.session, command.name, index),
        ).rowcount
        self.counters.session_count += inserted
        while self.counters.session_count > MAX_SESSIONS:
            oldest = self.db.execute(
                "SELECT id FROM sessions ORDER BY used, id LIMIT 1"
            ).fetchone()[0]
            self._close_session(oldest)
        return Result(ResultCode.DONE, index)

    def _close_session(self, session: int) -> None:
        deleted = self.db.execute("DELETE FROM sessions WHERE id = ?", (session,)).rowcount
        self.counters.session_count -= deleted
        self.db.execute("DELETE FROM answers WHERE session = ?", (session,))

    def _apply_write_once(self, command: Write, index: int) -> Result:
        """Apply a write, or return the stored result if it was applied before."""
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
        stored_result = self.db.execute(
            "SELECT result FROM answers WHERE session = ? AND number = ?",
            (command.session, command.number),
        ).fetchone()
        if stored_result is not None:
            return commands.unpack_result(stored_result[0])
        self._acknowledge_results(command, row[0], index)
        result = self._apply_write(command, index)
        self.db.execute(
            "INSERT INTO answers VALUES (?, ?, ?)",
            (command.session, command.number, commands.pack(result)),
        )
        return result

    def _acknowledge_results(self, command: Write, acknowledged: int, index: int) -> None:
        """Drop results that the client received or that exceed the limit per session."""
        answered = max(acknowledged, command.answered, command.number - MAX_STORED_RESULTS)
        if answered > acknowledged:
            self.db.execute(
                "DELETE FROM answers WHERE session = ? AND number <= ?", (command.session, answered)
            )
        self.db.execute(
            "UPDATE sessions SET answered = ?, used = ? WHERE id = ?",
            (answered, index, command.session),
        )

    def _apply_write(self, command: Write, index: int) -> Result:
        """Apply a write without deduplication."""
        raise NotImplementedError
