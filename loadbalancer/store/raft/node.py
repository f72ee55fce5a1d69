"""Raft without I/O: it is handed the time, messages and word of what is on disk, and gives back
messages, work for the disk and committed entries.

Sources: the extended Raft paper (figure 2, sections 5 to 8) and Ongaro's thesis (3.10 transfer, 4
membership, 6.4 reads, 9.6 pre-vote, 10.2 pipelining and writing in parallel). A caller

1. calls `tick`, `step`, `propose`, `change`, `read`, `transfer` as things happen;
2. sends what `take_out` gives, at once;
3. takes one `Batch` at a time with `take_batch`, makes it durable as a whole, and calls
`persisted`: only
   then
   do the promises in it leave;
4. applies what `take_committed` gives, in order, and calls `applied_to`.

Nothing is believed of the clock but that it moves on by itself: reads are proved by a round of
messages, never by a lease.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.store.raft.log import Log, weight
from loadbalancer.store.raft.members import Change, Refused
from loadbalancer.store.raft.messages import (
    AnyMessage,
    Append,
    Appended,
    Entry,
    Gone,
    HardState,
    Kind,
    Members,
    Piece,
    PieceTaken,
    ReadAsk,
    ReadFrom,
    SnapshotMeta,
    TakeOver,
    Vote,
    VoteAsk,
    pack,
    unpack_members,
)
from loadbalancer.store.raft.progress import Progress, Way

MS = 1_000_000


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeader(Exception):
    """Another node leads, or none."""

    def __init__(self, leader: int) -> None:
        super().__init__(f"the leader is node {leader:x}" if leader else "there is no leader now")
        self.leader = leader


class Busy(Exception):
    """The leader takes nothing more just now, in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    heartbeat_ns: int = 100 * MS
    election_ns: int = 500 * MS  # an election time-out lies between this and twice this
    append_bytes: int = 256 << 10  # of entries in one message
    window: int = 64  # appends on their way to one follower
    uncommitted_bytes: int = 8 << 20  # of proposals that are not yet committed
    uncommitted_entries: int = 10_000
    reads: int = 10_000  # that wait to be proved
    piece_bytes: int = 256 << 10
    pieces: int = 4  # of a snapshot on their way to one follower
    tell_ns: int = 5 * MS  # within which followers hear of a commit
    slow_disk_ns: int = 1_500 * MS  # a leader whose disk takes longer over one batch hands over
    promote_lag: int = 1_000  # entries: a learner further behind gets no vote


@dataclass(slots=True)
class Batch:
    """What must be durable, all of it in this order, before `after` may leave."""

    hard: HardState | None = None
    entries: list[Entry] = field(
        default_factory=list
    )  # the first drops what stood from its index on
    pieces: list[Piece] = field(default_factory=list)
    install: SnapshotMeta | None = (
        None  # all its pieces are there: it takes the place of state and log
    )
    after: list[tuple[int, AnyMessage]] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        return not (self.hard or self.entries or self.pieces or self.install or self.after)

    @property
    def on_disk(self) -> bool:
        """Does it need the disk at all?"""
        return bool(self.hard or self.entries or self.pieces or self.install)


@dataclass(slots=True)
class Read:
    """A read that waits for its round."""

    ticket: int
    node: int  # who asked; oneself: 0
    index: int
    round: int


class Core:
    def __init__(
        self,
        me: int,
        config: Config,
        hard: HardState,
        log: Log,
        members: Members,
        now: int,
        rng: random.Random,
        applied: int = 0,
    ) -> None:
        """What the log holds counts as durable; `members` are those of the state, which holds
        entries up to `applied`, or the log's base.
        """
        self.me = me
        self.config = config
        self.rng = rng
        self.hard = hard
        self.log = log
        self.role = Role.FOLLOWER
        self.leader = 0
        self.commit = self.applied = self.handed = max(
            log.base, applied
        )  # handed: given out to be applied
        self.stable = log.last  # on this disk up to here
        self.clock = self.raw = now
        self.heard_ns = now - 2 * config.election_ns  # of a leader; none yet
        self.deadline_ns = now  # stand for election then
        self.votes: dict[int, bool] = {}
        self.progress: dict[int, Progress] = {}
        self.beat_ns = 0
        self.round = 0
        self.round_asked = False  # a new round goes out with the next messages
        self.reads: deque[Read] = deque()
        self.proved: deque[tuple[int, int]] = (
            deque()
        )  # ticket, index: may be read once that is applied
        self.early_reads: list[
            tuple[int, int]
        ] = []  # ticket, node: asked before the term's first commit
        self.target = 0  # leadership goes there
        self.target_ns = 0  # and is kept if it has not by then
        self.incoming: SnapshotMeta | None = None
        self.incoming_bytes = 0
        self.installing: SnapshotMeta | None = None
        self.snapshot: SnapshotMeta | None = None  # the newest that this node can send
        self.wants_snapshot = False  # a follower needs one that is not there
        self.removed = False  # it was told so, or saw it committed
        self.out: list[tuple[int, AnyMessage]] = []
        self.pieces_out: list[
            tuple[int, SnapshotMeta, int, int]
        ] = []  # to, snapshot, offset, round
        self.pending = Batch()
        self.in_flight: Batch | None = None
        self.in_flight_ns = 0  # since
        self.uncommitted = 0  # bytes
        self.elections = 0
        self.configs: list[tuple[int, Members]] = [(log.base, members)]
        for entry in log.entries[self.applied - log.base :]:
            self._note_members(entry)
        self._arm()

    # ---- what the caller asks --------------------------------------------------------------------

    @property
    def term(self) -> int:
        return self.hard.term

    @property
    def members(self) -> Members:
        return self.configs[-1][1]

    @property
    def members_index(self) -> int:
        return self.configs[-1][0]

    def members_at(self, index: int) -> Members:
        """As of this entry."""
        return next(m for i, m in reversed(self.configs) if i <= index)

    def tick(self, raw: int) -> None:
        """Time has passed. A clock that jumps back stands still, one that jumps on moves by half an
        election time-out: messages that came meanwhile are to be heard first.
        """
        self.clock += max(0, min(raw - self.raw, self.config.election_ns // 2))
        self.raw = raw
        if self.role is Role.LEADER:
            self._lead()
        elif self.clock >= self.deadline_ns:
            self._stand()

    @property
    def wake_ns(self) -> int:
        """When `tick` has something to do, on the caller's clock."""
        due = self.beat_ns if self.role is Role.LEADER else self.deadline_ns
        return self.raw + max(0, due - self.clock)

    def propose(self, datas: Sequence[bytes]) -> list[int]:
        """Indices at which these commands will stand if this leader stays. Raises NotLeader,
        Busy.
        """
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.target:
            raise Busy("leadership is being handed over")
        size = sum(len(data) for data in datas)
        if self.uncommitted and self.uncommitted + size > self.config.uncommitted_bytes:
            raise Busy("too many bytes are not yet committed")
        if self.log.last - self.commit + len(datas) > self.config.uncommitted_entries:
            raise Busy("too many entries are not yet committed")
        return [self._add(Kind.COMMAND, data) for data in datas]

    def change(self, change: Change) -> int:
        """The index at which the new members will stand. Raises NotLeader, Busy, Refused."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.target:
            raise Busy("leadership is being handed over")
        if not self._settled():
            raise Busy("another change of members is under way, or this leader is too new")
        members = change.of(self.members)
        if members == self.members:
            return self.members_index
        if change.what == "promote":
            p = self.progress.get(change.node)
            if p is None or self.log.last - p.match > self.config.promote_lag:
                behind = self.log.last - p.match if p else self.log.last
                raise Refused(
                    f"node {change.node:x} is {behind} entries behind: wait until it has caught up"
                )
        return self._add(Kind.MEMBERS, pack(members))

    def _settled(self) -> bool:
        """The mend of single-server changes (Ongaro, raft-dev, July 2015): a leader makes none
        before an entry of its own term is committed, and never two at a time.
        """
        return self.members_index <= self.commit and self.log.term(self.commit) == self.term

    def read(self, ticket: int) -> None:
        """Ask for a linearizable read: `take_proved` gives the ticket back with the index that must
        be applied first. Raises NotLeader, Busy.
        """
        if self.role is Role.LEADER:
            self._read(ticket, 0)
        elif self.leader:
            self._send(self.leader, ReadAsk(self.term, ticket))
        else:
            raise NotLeader(0)

    def transfer(self, to: int) -> None:
        """Hand leadership over. Raises NotLeader, Busy, Refused."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if to == self.me:
            return
        if to not in self.members.voters:
            raise Refused(f"node {to:x} is no voter")
        if self.target and self.target != to:
            raise Busy("leadership is being handed over to another")
        self.target, self.target_ns = to, self.clock + self.config.election_ns
        self._hand_over()

    def snapshot_made(self, meta: SnapshotMeta) -> None:
        self.snapshot, self.wants_snapshot = meta, False
        if self.role is Role.LEADER:
            for node, p in self.progress.items():
                if p.way is Way.SNAPSHOT and p.meta is None:
                    p.snapshot(meta, self.clock)
                    self._pieces(node, p)

    def snapshot_lost(self) -> None:
        """It can't be read any more."""
        self.snapshot = None
        for p in self.progress.values():
            if p.way is Way.SNAPSHOT:
                p.snapshot(None, self.clock)
                self.wants_snapshot = True

    def cut(self, index: int) -> None:
        """The state holds entries up to `index` durably: forget them here."""
        index = min(index, self.applied, self.stable)
        if index > self.log.base:
            members = self.members_at(index)
            self.log.cut(index)
            self.configs = [(index, members), *((i, m) for i, m in self.configs if i > index)]

    @property
    def awaited(self) -> int:
        """Entries after this one will be asked for by members that are taking a snapshot now."""
        taking = [p.meta.index for p in self.progress.values() if p.meta is not None]
        return min(taking, default=self.log.last)

    # ---- what the caller carries out -------------------------------------------------------------

    def take_out(self) -> list[tuple[int, AnyMessage]]:
        """Messages that may leave now."""
        if self.role is Role.LEADER:
            self._flush()
        out, self.out = self.out, []
        return out

    def take_pieces(self) -> list[tuple[int, SnapshotMeta, int, int]]:
        """Pieces of snapshots to read and send: to whom, of which, from which byte on, in which
        round.
        """
        pieces, self.pieces_out = self.pieces_out, []
        return pieces

    def take_batch(self) -> Batch | None:
        """Work for the disk. There is never more than one batch out."""
        if self.in_flight is not None or self.pending.empty:
            return None
        self.in_flight, self.pending = self.pending, Batch()
        self.in_flight_ns = self.clock
        return self.in_flight

    def persisted(self, batch: Batch, installed: bool = True) -> None:
        """The batch is durable. `installed` is False where the snapshot in it was not whole."""
        assert batch is self.in_flight
        self.in_flight = None
        if batch.entries and batch.install is None:
            last = batch.entries[-1]
            if self.log.term(last.index) == last.term:
                self.stable = max(self.stable, last.index)
        if batch.install is not None:
            self._installed(batch.install, installed)
        for to, message in batch.after:
            if to == self.me:
                self.step(self.me, message)
            else:
                self.out.append((to, message))
        if self.role is Role.LEADER:
            self._matched(self.me, self.stable)

    def take_committed(self, most: int = 1000) -> list[Entry]:
        """Entries to apply next: committed, and on this disk."""
        last = min(self.commit, self.stable, self.handed + most)
        if last <= self.handed or self.installing is not None:
            return []
        entries = self.log.slice(self.handed + 1, last)
        self.handed = last
        return entries

    def applied_to(self, index: int) -> None:
        if index > self.applied:
            self.applied = index

    def take_proved(self) -> list[int]:
        """Tickets of reads that may be answered from the applied state now."""
        ready = []
        while self.proved and self.proved[0][1] <= self.applied:
            ready.append(self.proved.popleft()[0])
        return ready

    # ---- messages --------------------------------------------------------------------------------

    def step(self, sender: int, m: AnyMessage) -> None:
        """A message came. One from a node that is no member still counts: it may know more (thesis
        4.1).
        """
        if isinstance(m, Gone):
            # Only who was removed is told so, by somebody who saw it committed.
            if m.index > self.members_index or self.me not in self.members.all:
                self.removed = True
                self._follow(self.term, 0)
            return
        if m.term > self.term and not self._newer_term(sender, m):
            return
        if m.term < self.term:
            self._older_term(sender, m)
            return
        match m:
            case VoteAsk():
                self._vote_ask(sender, m)
            case Vote():
                self._vote(sender, m)
            case Append():
                self._append(sender, m)
            case Appended():
                self._appended(sender, m)
            case Piece():
                self._piece(sender, m)
            case PieceTaken():
                self._piece_taken(sender, m)
            case TakeOver():
                if self.role is not Role.LEADER and self._may_stand():
                    self._campaign(handed=True)
            case ReadAsk():
                if self.role is Role.LEADER:
                    self._read(m.ticket, sender)
            case ReadFrom():
                self.proved.append((m.ticket, m.index))

    def _newer_term(self, sender: int, m: AnyMessage) -> bool:
        """A later term is taken over, but not from who only asks whether, nor from who shouts while
        the leader is well. False: the message is left alone.
        """
        if isinstance(m, VoteAsk):
            if not m.handed and self._leader_is_well():
                self._hush(sender)
                return False
            if m.pre:
                return True
        elif isinstance(m, Vote) and m.pre and m.granted:
            return True  # its term is the one that was asked for
        elif isinstance(m, TakeOver | ReadAsk | ReadFrom):
            return False
        self._follow(m.term, sender if isinstance(m, Append | Piece) else 0)
        return True

    def _older_term(self, sender: int, m: AnyMessage) -> None:
        """Who is behind is told the term; what it wanted is void."""
        match m:
            case VoteAsk():
                self._promise(sender, Vote(self.term, False, m.pre))
            case Append() | Piece():
                self._promise(sender, Appended(self.term, 0, 0, True))

    def _leader_is_well(self) -> bool:
        """Heard of within the least election time-out (paper, 6: disruptive servers)."""
        if self.role is Role.LEADER:
            return True
        return self.leader != 0 and self.clock - self.heard_ns < self.config.election_ns

    def _hush(self, sender: int) -> None:
        if sender in self.members.gone and self.members_index <= self.commit:
            self.out.append((sender, Gone(self.term, self.members_index)))

    def _send(self, to: int, m: AnyMessage) -> None:
        self.out.append((to, m))

    def _promise(self, to: int, m: AnyMessage) -> None:
        """A message that must not leave before all that was decided so far is durable."""
        self.pending.after.append((to, m))

    # ---- elections -------------------------------------------------------------------------------

    def _arm(self) -> None:
        self.deadline_ns = self.clock + self.rng.randint(
            self.config.election_ns, 2 * self.config.election_ns
        )

    def _set_hard(self, term: int, vote: int) -> None:
        assert term > self.hard.term or (term == self.hard.term and self.hard.vote in (0, vote))
        if (term, vote) != (self.hard.term, self.hard.vote):
            self.hard = self.pending.hard = HardState(term, vote)

    def _follow(self, term: int, leader: int) -> None:
        if term > self.term:
            self._set_hard(term, 0)
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self._arm()
        self.role, self.leader = Role.FOLLOWER, leader
        self.progress.clear()
        self.votes.clear()
        self.reads.clear()
        self.early_reads.clear()
        self.target = 0
        self.uncommitted = 0

    def _stand(self) -> None:
        """The election time-out has run out: ask first whether an election could be won (thesis
        9.6).
        """
        self._arm()
        if not self._may_stand():
            self.leader = 0 if self.clock - self.heard_ns > self.config.election_ns else self.leader
            return
        self._follow(self.term, 0)
        self._pre_campaign()

    def _may_stand(self) -> bool:
        return self.me in self.members.voters and self.installing is None and not self.removed

    def _pre_campaign(self) -> None:
        self.role = Role.PRE_CANDIDATE
        self.votes = {self.me: True}
        self._ask_votes(self.term + 1, True, False)
        self._count()

    def _campaign(self, handed: bool = False) -> None:
        self._follow(self.term + 1, 0)
        self.elections += 1
        self.role = Role.CANDIDATE
        self._set_hard(self.term, self.me)
        self._promise(
            self.me, Vote(self.term, True, False)
        )  # its own vote counts when it is on disk
        self._ask_votes(self.term, False, handed)

    def _ask_votes(self, term: int, pre: bool, handed: bool) -> None:
        ask = VoteAsk(term, self.log.last, self.log.last_term, pre, handed)
        for node in self.members.voters:
            if node != self.me:
                if pre:
                    self._send(node, ask)
                else:
                    self._promise(node, ask)

    def _vote_ask(self, sender: int, m: VoteAsk) -> None:
        newer = self.log.newer(m.last_index, m.last_term)
        if m.pre:
            granted = m.term > self.term and not self._leader_is_well() and newer
            self._promise(sender, Vote(m.term if granted else self.term, granted, True))
            return
        granted = (
            self.hard.vote in (0, sender)
            and self.role is Role.FOLLOWER
            and self.leader in (0, sender)
            and newer
        )
        if granted:
            self._set_hard(self.term, sender)
            self._arm()
        self._promise(sender, Vote(self.term, granted, False))

    def _vote(self, sender: int, m: Vote) -> None:
        if m.pre:
            counts = self.role is Role.PRE_CANDIDATE and (not m.granted or m.term == self.term + 1)
        else:
            counts = self.role is Role.CANDIDATE
        if counts:
            self.votes[sender] = m.granted
            self._count()

    def _count(self) -> None:
        voters = self.members.voters
        yes = sum(self.votes.get(n, False) for n in voters)
        no = sum(not self.votes.get(n, True) for n in voters)
        if yes >= self.quorum(voters):
            if self.role is Role.PRE_CANDIDATE:
                self._campaign()
            else:
                self._win()
        elif no >= self.quorum(voters):
            self._follow(self.term, 0)

    def quorum(self, voters: Sequence[int]) -> int:
        return len(voters) // 2 + 1

    def _win(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.round = 0
        self.votes.clear()
        self.progress = {
            n: Progress(self.log.last + 1, heard_ns=self.clock) for n in self.members.all
        }
        self.uncommitted = sum(weight(e) for e in self.log.entries[self.commit - self.log.base :])
        self.beat_ns = self.clock + self.config.heartbeat_ns
        self._add(Kind.NOTHING, b"")

    # ---- leading ---------------------------------------------------------------------------------

    def _add(self, kind: Kind, data: bytes) -> int:
        entry = Entry(self.term, self.log.last + 1, kind, data)
        self._keep([entry])
        self.uncommitted += weight(entry)
        return entry.index

    def _keep(self, entries: Sequence[Entry]) -> None:
        """Into the log, in place of what stood from the first of them on; the disk hears of it."""
        first = entries[0].index
        if first <= self.log.last:
            assert first > self.commit, "a committed entry would be dropped"
            self.stable = min(self.stable, first - 1)
            self.configs = [(i, m) for i, m in self.configs if i < first]
            pending = self.pending.entries
            del pending[max(0, first - pending[0].index) if pending else 0 :]
        self.log.append(entries)
        self.pending.entries.extend(entries)
        for entry in entries:
            self._note_members(entry)

    def _note_members(self, entry: Entry) -> None:
        """Members count from the moment that they stand in the log (thesis 4.1)."""
        if entry.kind == Kind.MEMBERS:
            self.configs.append((entry.index, unpack_members(entry.data)))
            if self.role is Role.LEADER:
                everyone = self.members.all
                for node in everyone:
                    self.progress.setdefault(node, Progress(self.log.last, heard_ns=self.clock))
                for node in [n for n in self.progress if n not in everyone and n != self.me]:
                    # It is told of its own removal, if it listens: one last append goes out.
                    self._append_to(node, self.progress[node])
                    del self.progress[node]

    def _lead(self) -> None:
        """Heartbeats, and does a majority still follow (thesis 6.2)?"""
        if self.target and self.clock >= self.target_ns:
            self.target = 0  # it did not come to pass
        if self.clock < self.beat_ns:
            return
        self.beat_ns = self.clock + self.config.heartbeat_ns
        if not self._followed():
            self._follow(self.term, 0)
            return
        self.round_asked = True
        if self.in_flight is not None and self.clock - self.in_flight_ns > self.config.slow_disk_ns:
            self._leave_slow_disk()
        for p in self.progress.values():
            p.asked = False  # what was lost on the way is sent again
            if p.way is Way.SNAPSHOT and self.clock - p.moved_ns > 2 * self.config.heartbeat_ns:
                p.sent, p.moved_ns = p.taken, self.clock

    def _leave_slow_disk(self) -> None:
        """Nothing that this node writes becomes durable: the follower that has most leads
        better.
        """
        others = [n for n in self.members.voters if n != self.me and self._is_near(n)]
        if others and not self.target:
            self.target = max(others, key=lambda n: (self.progress[n].match, -n))
            self.target_ns = self.clock + self.config.election_ns
            self._hand_over()

    def _is_near(self, node: int) -> bool:
        return self.clock - self.progress[node].heard_ns < 2 * self.config.election_ns

    def _followed(self) -> bool:
        voters = self.members.voters
        near = sum(n == self.me or self._is_near(n) for n in voters)
        return near >= self.quorum(voters)

    def _flush(self) -> None:
        """What may go to each follower, and a new round where one was asked for."""
        if self.round_asked:
            self.round += 1
        for node, p in list(self.progress.items()):
            if node == self.me:
                continue
            sent = False
            while (
                p.way is not Way.SNAPSHOT
                and p.may_send(self.config.window)
                and (p.next <= self.log.last or (self.round_asked and not sent))
            ):
                if not self._append_to(node, p):
                    break
                sent = True
            if p.way is Way.SNAPSHOT:
                self._pieces(node, p)
            if self.round_asked and not sent:
                self._beat(node, p)
        if self.round_asked:
            self.round_asked = False
            self._prove()

    def _beat(self, node: int, p: Progress) -> None:
        """A heartbeat carries no entries, so the window does not bind it. In a stream it follows on
        all that was sent: where some of that was lost, it is rejected, and the leader knows.
        """
        index = p.next - 1 if p.way is Way.STREAM else p.match
        term = self.log.term(index)
        if term is None:
            index, term = self.log.base, self.log.base_term
        self._send(node, Append(self.term, index, term, self.commit, self.round))

    def _append_to(self, node: int, p: Progress) -> bool:
        """False: the log no longer holds what it needs."""
        term = self.log.term(p.next - 1)
        if term is None:
            fresh = self.snapshot is not None and self.snapshot.index >= self.log.base
            p.snapshot(self.snapshot if fresh else None, self.clock)
            self.wants_snapshot = self.wants_snapshot or not fresh
            return False
        entries = self.log.slice(p.next, self.log.last, self.config.append_bytes)
        self._send(
            node, Append(self.term, p.next - 1, term, self.commit, self.round, tuple(entries))
        )
        if p.way is Way.PROBE:
            p.asked = True
        elif entries:
            p.next = entries[-1].index + 1
            p.flights.append(entries[-1].index)
        return True

    def _pieces(self, node: int, p: Progress) -> None:
        if p.meta is None:
            return
        while p.sent - p.taken < self.config.pieces * self.config.piece_bytes and (
            p.sent < p.meta.size or (p.sent == 0 == p.meta.size)
        ):
            self.pieces_out.append((node, p.meta, p.sent, self.round))
            p.sent = min(p.meta.size, p.sent + self.config.piece_bytes)
            if not p.meta.size:
                break

    def _appended(self, sender: int, m: Appended) -> None:
        p = self.progress.get(sender)
        if self.role is not Role.LEADER or p is None:
            return
        self._heard(p, m.round)
        if m.rejected:
            stale = m.index <= p.match or (p.way is Way.PROBE and m.index != p.next - 1)
            if p.way is not Way.SNAPSHOT and not stale:
                agreed, _ = self.log.last_within(m.hint_index, m.hint_term)
                if m.hint_index < self.log.base:
                    agreed = m.hint_index
                p.probe(min(agreed + 1, m.index))
            return
        p.landed(m.index)
        if m.index >= p.next and p.way is not Way.SNAPSHOT:
            p.next = m.index + 1
        if p.way is Way.PROBE and m.index >= p.next - 1:
            p.match = max(p.match, m.index)
            p.stream()
        elif p.way is Way.SNAPSHOT and m.index >= self.log.base:
            p.match = max(p.match, m.index)
            p.probe(m.index + 1)
        self._matched(sender, m.index)
        if sender == self.target:
            self._hand_over()

    def _heard(self, p: Progress, round_: int) -> None:
        p.heard_ns = self.clock
        if round_ > p.round:
            p.round = round_
            self._prove()

    def _matched(self, node: int, index: int) -> None:
        p = self.progress.get(node)
        if p is None:
            return
        p.match = max(p.match, index)
        p.next = max(p.next, p.match + 1)
        voters = self.members.voters
        matches = sorted((self.progress[n].match for n in voters), reverse=True)
        agreed = matches[self.quorum(voters) - 1]
        if agreed > self.commit and self._may_commit(agreed):
            self._commit_to(agreed)

    def _may_commit(self, index: int) -> bool:
        """Only an entry of its own term is committed by counting (paper, 5.4.2)."""
        return self.log.term(index) == self.term

    def _commit_to(self, index: int) -> None:
        for entry in self.log.slice(self.commit + 1, index):
            self.uncommitted -= weight(entry)
        self.commit = index
        early, self.early_reads = self.early_reads, []
        for ticket, node in early:
            self._read(ticket, node)
        if self.members_index <= index and self.me not in self.members.all:
            # It led without a vote of its own until its removal was committed (thesis 4.2.2).
            for node, p in self.progress.items():
                if node != self.me:
                    self._append_to(node, p)
            self.removed = True
            self._follow(self.term, 0)
        elif self.role is Role.LEADER:
            # Followers learn of it with the next entries, or soon without.
            self.beat_ns = min(self.beat_ns, self.clock + self.config.tell_ns)

    def _hand_over(self) -> None:
        p = self.progress.get(self.target)
        if p is not None and p.match == self.log.last:
            self._send(self.target, TakeOver(self.term))

    # ---- reads (thesis 6.4) ----------------------------------------------------------------------

    def _read(self, ticket: int, node: int) -> None:
        if len(self.reads) + len(self.early_reads) >= self.config.reads:
            if node:
                return  # it asks again
            raise Busy("too many reads wait")
        if self.log.term(self.commit) != self.term:
            self.early_reads.append((ticket, node))
            return
        self.reads.append(Read(ticket, node, self.commit, self.round + 1))
        self.round_asked = True

    def _prove(self) -> None:
        if not self.reads:
            return
        voters = self.members.voters
        rounds = sorted(
            (self.round if n == self.me else self.progress[n].round for n in voters), reverse=True
        )
        proved = rounds[self.quorum(voters) - 1]
        while self.reads and self.reads[0].round <= proved:
            read = self.reads.popleft()
            if read.node:
                self._send(read.node, ReadFrom(self.term, read.ticket, read.index))
            else:
                self.proved.append((read.ticket, read.index))

    # ---- following -------------------------------------------------------------------------------

    def _hear_leader(self, sender: int) -> None:
        if self.leader != sender or self.role is not Role.FOLLOWER:
            assert self.role is not Role.LEADER, "two leaders in one term"
            self._follow(self.term, sender)
        self.heard_ns = self.clock
        self._arm()

    def _append(self, sender: int, m: Append) -> None:
        self._hear_leader(sender)
        if self.installing is not None:
            # It still follows; that alone needs no disk.
            self._send(
                sender,
                Appended(
                    self.term,
                    m.prev_index,
                    m.round,
                    True,
                    self.commit,
                    self.log.term(self.commit) or 0,
                ),
            )
            return
        if m.prev_index < self.commit:
            # What is committed here agrees with any leader's log: only the rest is looked at.
            entries = m.entries[self.commit - m.prev_index :]
            if m.prev_index + len(m.entries) <= self.commit:
                self._promise(sender, Appended(self.term, self.commit, m.round))
                return
        else:
            entries = m.entries
            if self.log.term(m.prev_index) != m.prev_term:
                hint, term = self.log.last_within(m.prev_index, m.prev_term)
                self._promise(sender, Appended(self.term, m.prev_index, m.round, True, hint, term))
                return
        last = m.prev_index + len(m.entries)
        new = self.log.first_new(entries)
        if new < len(entries):
            self._keep(entries[new:])
        commit = min(m.commit, last)
        if commit > self.commit:
            self.commit = commit
            if self.me not in self.members.all and self.members_index <= commit:
                self.removed = self.me in self.members.gone
        if not m.entries and self._term_is_stable():
            # A heartbeat is answered past the disk, with what that holds: one that is slow or full
            # stops writes, not reads.
            self._send(sender, Appended(self.term, min(last, self.stable), m.round))
        else:
            self._promise(sender, Appended(self.term, last, m.round))

    def _term_is_stable(self) -> bool:
        return self.pending.hard is None and (self.in_flight is None or self.in_flight.hard is None)

    def _piece(self, sender: int, m: Piece) -> None:
        self._hear_leader(sender)
        if self.installing is not None:
            return
        if m.meta.index <= self.commit or self.log.term(m.meta.index) == m.meta.term:
            # It has all of that (paper, figure 13, step 6): what follows may stay.
            self.commit = max(self.commit, m.meta.index)
            self._promise(sender, Appended(self.term, self.commit, m.round))
            return
        if self.incoming is None or self.incoming.id != m.meta.id:
            self.incoming, self.incoming_bytes = m.meta, 0
        if m.offset == self.incoming_bytes and len(m.data) <= m.meta.size - m.offset:
            self.pending.pieces.append(m)
            self.incoming_bytes += len(m.data)
            if self.incoming_bytes == m.meta.size:
                self.pending.install = self.installing = m.meta
                return
        self._promise(sender, PieceTaken(self.term, m.meta.id, self.incoming_bytes, m.round))

    def _installed(self, meta: SnapshotMeta, whole: bool) -> None:
        self.installing = self.incoming = None
        self.incoming_bytes = 0
        if not whole:
            if self.leader:
                self._promise(self.leader, PieceTaken(self.term, meta.id, 0))
            return
        self.log.reset(meta.index, meta.term)
        self.pending.entries.clear()
        self.configs = [(meta.index, meta.members)]
        self.commit = self.applied = self.handed = self.stable = meta.index
        self.snapshot = None
        if self.leader:
            self._promise(self.leader, Appended(self.term, meta.index, 0))

    def _piece_taken(self, sender: int, m: PieceTaken) -> None:
        p = self.progress.get(sender)
        if self.role is not Role.LEADER or p is None:
            return
        self._heard(p, m.round)
        if p.way is not Way.SNAPSHOT or p.meta is None or p.meta.id != tuple(m.meta_id):
            return
        if m.offset > p.taken or m.offset == 0:
            p.taken, p.moved_ns = m.offset, self.clock
            p.sent = m.offset if m.offset > p.sent or m.offset == 0 else p.sent
        self._pieces(sender, p)
