"""A balancer's side of the feed: what it knows of its scopes, and what it says to a node to hear
the rest.

Pure: words of the node and the clock go in, words for it, dials and rows to apply come out.
Promised: a scope's rows are those of one revision of the store, but for rows refused, of which the
last that was taken stands; that revision never falls while the store's epoch stays. Not promised:
that two scopes stand at one revision, even where one write changed both; and that the node which
says that there is nothing newer knows itself of all that there is: `age` counts from the last word
of a node, not from the store's last write.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterator
from enum import Enum
from random import Random

import msgspec

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.messages import (
    MOST_REFUSALS,
    MOST_SCOPES,
    AnyAsk,
    Behind,
    Bookmark,
    Later,
    Patch,
    Reached,
    Refusal,
    Rescope,
    Row,
    Subscribe,
    is_scope,
    pack,
    unpack_told,
)
from loadbalancer.changefeed.scope_table import Check, ScopeTable, Stage

__all__ = [
    "Action",
    "Apply",
    "Check",
    "Dial",
    "HangUp",
    "Say",
    "ScopeTable",
    "State",
    "Subscription",
    "SubscriptionLimits",
]
MS = 1_000_000
NS = 1_000_000_000


class SubscriptionLimits(msgspec.Struct, frozen=True):
    """`dial_ns`: a connection takes so long at most. `silent_ns`: a node that says nothing for so
    long is left; several of its bookmarks. `behind_ns`: so long a node that is behind is waited
    for. `backoff_ns` doubles to `backoff_most_ns`, and any part of it is drawn. `later_most`: so
    often in a row a node may put it off, each time for `later_ns` at most. `ack_ns`, `ack_bytes`:
    an acknowledgement waits so long, or for so many bytes. `audit_rows`: so many rows are hashed at
    one look, every `audit_ns`; a scope of more is looked through in pieces, at a bookmark that
    tells its digest.
    """

    dial_ns: int = 5 * NS
    silent_ns: int = 16 * NS
    behind_ns: int = 3 * NS
    backoff_ns: int = 200 * MS
    backoff_most_ns: int = 5 * NS
    later_most: int = 5
    later_ns: int = 60 * NS
    ack_ns: int = 50 * MS
    ack_bytes: int = 128 << 10
    audit_rows: int = 512
    audit_ns: int = 20 * MS


class State(Enum):
    RESTING = "resting"  # until the next dial
    DIALLING = "dialling"
    SUBSCRIBING = "subscribing"  # asked, and nothing heard yet
    PARKED = "parked"  # the node is behind
    FOLLOWING = "following"


class Say(msgspec.Struct, frozen=True):
    word: bytes


class Dial(msgspec.Struct, frozen=True):
    """A new connection, to the address of this turn, modulo how many there are."""

    turn: int


class HangUp(msgspec.Struct, frozen=True):
    """The connection, or the dial, is given up; nothing of it is to be handed in any more."""

    why: str


class Apply(msgspec.Struct, frozen=True):
    """Rows that came into force. `whole`: they are all of the scope; else the last of each that
    changed, deleted ones with None. Rows refused are not among them; in a whole scope the last that
    was taken is.
    """

    scope: str
    whole: bool
    rows: tuple[Row, ...]
    revision: int


Action = Say | Dial | HangUp | Apply


class _Audit:
    """A look through a scope's rows in pieces."""

    def __init__(self, table: ScopeTable) -> None:
        self.table = table
        self.changes = table.changes
        self.rows: Iterator[Row] = iter(list(table.rows.values()))
        self.sum = 0


class Subscription:
    """It dials as soon as it is there, and again after each loss, as long as it is asked
    (`tick`).
    """

    def __init__(
        self,
        name: str,
        scopes: Collection[str],
        check: Check,
        limits: SubscriptionLimits,
        rng: Random,
        now: int,
    ) -> None:
        self.name, self.limits = name, limits
        self.state = State.RESTING
        self.epoch = ""
        self.why = ""  # the last connection ended
        self.scopes: dict[str, ScopeTable] = {}
        self.generation = 1
        self.mended = 0  # times that a scope was taken anew, as its digest was wrong
        self._check, self._rng = check, rng
        self._turn = 0
        self._tries = 0  # connections in a row that brought nothing
        self._laters = 0  # in a row
        self._until = now  # when the state ends by itself
        self._sequence = 0  # of the last patch
        self._heard_generation = 1
        self._acknowledged = 0
        self._ack_at = 0  # 0: nothing to acknowledge
        self._ack_bytes = 0
        self._refusing: dict[str, ScopeTable] = {}
        self._told: tuple[Refusal, ...] = ()  # refusals
        self._current = False  # a bookmark of this connection showed that all was told
        self._current_at = now
        self._audits: deque[_Audit] = deque()
        self._audit_at = 0
        self._out: list[Action] = []
        self.want(scopes, (), now)
        self.tick(now)

    # What is wanted, and how it stands

    def want(self, add: Collection[str], drop: Collection[str], now: int) -> None:
        """Other scopes: all in one word. Those that are there, or not, stay so. Raises
        ValueError.
        """
        new = [scope for scope in dict.fromkeys(add) if scope not in self.scopes or scope in drop]
        old = [scope for scope in dict.fromkeys(drop) if scope in self.scopes]
        wrong = [scope for scope in new if not is_scope(scope)]
        if wrong:
            raise ValueError(f"{wrong[0][:80]!r} is no scope")
        if len(self.scopes) - len(old) + len(new) > MOST_SCOPES:
            raise ValueError(f"more than {MOST_SCOPES} scopes")
        if new or old:
            self._rescope(new, old, now)

    def _rescope(self, new: list[str], old: list[str], now: int) -> None:
        if self._connected:
            self.generation += 1
        for scope in old:
            del self.scopes[scope]
            self._refusing.pop(scope, None)
        for scope in new:
            self.scopes[scope] = ScopeTable(scope, self.generation)
        self._say_scopes([(scope, 0) for scope in new], old)
        self._refusals(now)

    def _say_scopes(self, add: list[tuple[str, int]], drop: list[str]) -> None:
        if self._connected:
            self._say(Rescope(self.generation, tuple(add), tuple(scope for scope in drop)))

    @property
    def ready(self) -> bool:
        """Every scope was told."""
        return all(table.known for table in self.scopes.values())

    def age(self, now: int) -> int:
        """ns since a node last showed that it had nothing else to tell; since the start where none
        did.
        """
        return now - self._current_at

    @property
    def _connected(self) -> bool:
        return self.state not in (State.RESTING, State.DIALLING)

    # The connection

    def connected(self, epoch: str, now: int) -> None:
        """The dial came through, to a node of this epoch."""
        if self.state is not State.DIALLING:
            return
        if epoch != self.epoch:
            self.epoch = epoch
            for table in self.scopes.values():
                table.known, table.cursor = False, 0
        self.state = State.SUBSCRIBING
        self._until = now + self.limits.silent_ns
        self.generation = self._heard_generation = 1
        self._sequence = self._acknowledged = self._ack_at = self._ack_bytes = 0
        self._current = False
        self._told = ()
        for table in self.scopes.values():
            table.generation = 1
            table.unstage()
        self._say(
            Subscribe(
                self.name,
                epoch,
                tuple((scope, table.ask_from()) for scope, table in self.scopes.items()),
            )
        )
        self._refusals(now)

    def lost(self, why: str, now: int) -> None:
        """The connection or the dial ended by itself."""
        if self.state is not State.RESTING:
            self._rest(why, now)

    def _hang_up(self, why: str, now: int) -> None:
        self._out.append(HangUp(why))
        self._rest(why, now)

    def _rest(self, why: str, now: int) -> None:
        """To the next node, after a while that is drawn."""
        most = min(self.limits.backoff_most_ns, self.limits.backoff_ns << min(self._tries, 20))
        self._tries += 1
        self._laters = 0
        self._turn += 1
        self._wait(why, now + int(self._rng.random() * most) + 1)

    def _wait(self, why: str, until: int) -> None:
        self.state, self.why, self._until = State.RESTING, why, until
        self._ack_at = 0
        self._current = False

    def tick(self, now: int) -> None:
        if self._until <= now:
            if self.state is State.RESTING:
                self.state, self._until = State.DIALLING, now + self.limits.dial_ns
                self._out.append(Dial(self._turn))
            elif self.state is State.DIALLING:
                self._hang_up("the connection took too long", now)
            elif self.state is State.PARKED:
                self._hang_up("the node is behind, and stays so", now)
            else:
                self._hang_up("the node is silent", now)
        if self._ack_at and self._ack_at <= now:
            self._acknowledge()
        if self._audits and self._audit_at <= now:
            self._audit(now)

    @property
    def wake_ns(self) -> int:
        """When `tick` has something to do."""
        due = self._until
        if self._ack_at:
            due = min(due, self._ack_at)
        if self._audits:
            due = min(due, self._audit_at)
        return due

    # What the node says

    def heard(self, generation: int, sequence: int, word: bytes, now: int) -> None:
        if not self._connected:
            return
        try:
            told = unpack_told(word)
        except ValueError as error:
            self._hang_up(f"no word of the feed: {error}", now)
            return
        if not self._heard_generation <= generation <= self.generation:
            self._hang_up(f"generation {generation} of {self.generation}", now)
            return
        self._heard_generation = generation
        if isinstance(told, Later):
            self._put_off(told.after_ms, now)
            return
        if isinstance(told, Behind):
            if self.state is not State.PARKED:
                self._until = now + self.limits.behind_ns
            self.state = State.PARKED
            return
        self.state = State.FOLLOWING
        self._until = now + self.limits.silent_ns
        if isinstance(told, Bookmark):
            self._bookmark(generation, told, now)
        elif sequence != self._sequence + 1:
            self._hang_up(f"patch {sequence} after {self._sequence}", now)
        else:
            self._sequence = sequence
            self._patch(generation, told, len(word), now)
        if self._current and self._connected:
            self._current_at = now

    def _put_off(self, after_ms: int, now: int) -> None:
        self._out.append(HangUp("the node asks to come later"))
        self._laters += 1
        if self._laters > self.limits.later_most:
            self._laters = 0
            self._turn += 1
        self._wait(
            "the node asks to come later", now + min(max(after_ms, 1) * MS, self.limits.later_ns)
        )

    def _bookmark(self, generation: int, told: Bookmark, now: int) -> None:
        self._tries = self._laters = 0
        mine = [
            table
            for table in self.scopes.values()
            if table.generation <= generation and table.known
        ]
        for table in mine:
            table.cursor = max(table.cursor, told.revision)
        for scope, expected in told.digests:
            table_ = self.scopes.get(scope)
            if table_ is None or table_.generation > generation:
                continue
            if not table_.known or table_.digest != expected or not self._sound(table_):
                self._anew(table_, now)
            elif len(table_.rows) > self.limits.audit_rows:
                self._begin_audit(table_, now)
        whole = bool(told.digests) or not self.scopes  # else something is still to be told
        self._current = whole and len(mine) == len(self.scopes) and self.ready

    def _patch(self, generation: int, patch: Patch, size: int, now: int) -> None:
        if not self._ack_at:
            self._ack_at = now + self.limits.ack_ns
        self._ack_bytes += size
        table = self.scopes.get(patch.scope)
        if table is not None and table.generation <= generation:
            stage = table.staged(patch, self._check)
            if stage is not None:
                self._take(table, patch, stage, now)
        if self._ack_bytes >= self.limits.ack_bytes and self._ack_at:
            self._acknowledge()

    def _take(self, table: ScopeTable, patch: Patch, stage: Stage, now: int) -> None:
        """A patch that is there whole."""
        if patch.whole:
            if patch.revision < table.cursor:
                self._hang_up(
                    f"{table.scope} went back from {table.cursor} to {patch.revision}", now
                )
                return
            taken = table.whole(stage, patch.digest)
            if taken is None:  # made so: another node is to be asked
                self._hang_up(f"rows of {table.scope} do not have their digest", now)
                return
        else:
            if not table.known or patch.revision <= table.cursor:
                return
            if patch.after > table.cursor:
                self._anew(table, now)
                return
            taken = table.delta(stage, patch.digest)
            if taken is None or not self._sound(table):
                self._anew(table, now)
                return
        if table.refused:
            self._refusing[table.scope] = table
        else:
            self._refusing.pop(table.scope, None)
        if taken or patch.whole:
            self._out.append(Apply(table.scope, patch.whole, tuple(taken), table.cursor))
        self._refusals(now)

    # What is acknowledged

    def _refusals(self, now: int) -> None:
        """Told with the next acknowledgement, where they are others than before."""
        if self._connected and not self._ack_at and self._refused() != self._told:
            self._ack_at = now + self.limits.ack_ns

    def _refused(self) -> tuple[Refusal, ...]:
        found: list[Refusal] = []
        for table in self._refusing.values():
            found += list(table.refused.values())[: MOST_REFUSALS - len(found)]
        return tuple(found)

    def _acknowledge(self) -> None:
        self._ack_at = self._ack_bytes = 0
        self._acknowledged = self._sequence
        self._told = self._refused()
        self._say(Reached(self._sequence, self._told))

    def _say(self, ask: AnyAsk) -> None:
        self._out.append(Say(pack(ask)))

    # What is wrong

    def _anew(self, table: ScopeTable, now: int) -> None:
        """Rows of a scope are not what the node has: all of them anew; what is there stands
        meanwhile.
        """
        self.mended += 1
        if self._connected:
            self.generation += 1
            table.generation = self.generation
        table.known = False
        table.unstage()
        self._current = False
        self._say_scopes([(table.scope, 0)], [])

    def _sound(self, table: ScopeTable) -> bool:
        """Do the rows still sum up to their digest? Of large scopes only an audit says."""
        if len(table.rows) > self.limits.audit_rows:
            return True
        return digest.of_rows(table.rows.values()) == table.digest

    def _begin_audit(self, table: ScopeTable, now: int) -> None:
        if all(audit.table is not table for audit in self._audits):
            self._audits.append(_Audit(table))
            self._audit_at = max(self._audit_at, now)

    def _audit(self, now: int) -> None:
        self._audit_at = now + self.limits.audit_ns
        audit = self._audits[0]
        table = audit.table
        if (
            self.scopes.get(table.scope) is not table
            or not table.known
            or audit.changes != table.changes
        ):
            self._audits.popleft()  # the next bookmark begins it again
            return
        for _ in range(self.limits.audit_rows):
            row = next(audit.rows, None)
            if row is None:
                self._audits.popleft()
                if audit.sum & digest.MASK != table.digest:
                    self._anew(table, now)
                return
            audit.sum += digest.of_row(row)

    def take_out(self) -> list[Action]:
        out, self._out = self._out, []
        return out
