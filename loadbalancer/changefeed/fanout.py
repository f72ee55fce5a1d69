"""A node's side of the feed: the rows it knows, who is subscribed to which scopes, what each is to
be told.

Pure: the store's changes and subscribers' words go in with the clock, words for subscribers come
out. A change costs one encoding a scope and one `Send` for each who watches it; who is idle costs
nothing but a bookmark now and then. A subscriber that can't take more has its scopes marked and is
told their last state when it can: in each scope it sees whole revisions only, in order, some of
them drawn together; *across* scopes no order is promised. Deltas go out at once; snapshots wait in
a queue, paced in bytes a second.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence

import msgspec

from loadbalancer.changefeed.cache import WatchCache
from loadbalancer.changefeed.messages import (
    MOST_NAME,
    MOST_REFUSAL,
    MOST_REFUSALS,
    MOST_SCOPES,
    Behind,
    Bookmark,
    Later,
    Reached,
    Rescope,
    Subscribe,
    Word,
    is_scope,
    pack,
    unpack_ask,
)
from loadbalancer.changefeed.scope import UNKNOWN, FeedChange, Patches, Scope
from loadbalancer.changefeed.snapshot_queue import Waiting
from loadbalancer.changefeed.snapshot_rate import MS, NS
from loadbalancer.changefeed.status import (
    MOST_LAGGARDS,
    MOST_REACHED,
    MOST_REFUSED,
    FeedStatus,
    Laggard,
    Refused,
)
from loadbalancer.changefeed.subscriber import Late, Subscriber, Unacknowledged

__all__ = ["BadWord", "Fanout", "FanoutLimits", "FeedChange", "Send"]


class BadWord(Exception):
    """A subscriber said what none says; in one line. Its connection is to be closed."""


class FanoutLimits(msgspec.Struct, frozen=True):
    """`snapshot_bytes_s`, `snapshot_burst`: of all snapshots together. `waiting_most`: subscribers
    in the queue for them, beyond which newcomers that need one are asked to come later, after
    `later_least_ms` to `later_most_ms`. `log_changes`, `log_bytes`: of all scopes; `scope_changes`:
    of one. `window_bytes`: sent to one subscriber and not acknowledged. `bookmark_scopes`: digests
    in a bookmark, in turn.
    """

    snapshot_bytes_s: int = 8 << 20
    snapshot_burst: int = 1 << 20
    waiting_most: int = 64
    later_least_ms: int = 200
    later_most_ms: int = 8_000
    part_bytes: int = 128 << 10
    log_changes: int = 50_000
    log_bytes: int = 32 << 20
    scope_changes: int = 4_096
    bookmark_ns: int = 5 * NS
    bookmark_scopes: int = 8
    window_bytes: int = 1 << 20
    cache_bytes: int = 16 << 20
    subscribers_most: int = 4_096


class Send(msgspec.Struct, frozen=True, gc=False):
    """`word` is one object for all who are told the same."""

    subscriber: int
    generation: int
    sequence: int
    word: bytes


class Fanout:
    def __init__(self, epoch: str, limits: FanoutLimits, now: int) -> None:
        self.epoch, self.limits = epoch, limits
        self.cache = WatchCache(limits.log_changes, limits.log_bytes, limits.scope_changes)
        self.subscribers: dict[int, Subscriber] = {}
        self.patches = Patches(limits.cache_bytes, limits.part_bytes)
        self._bookmarks: OrderedDict[Subscriber, int] = OrderedDict()  # when the next is due
        self._waiting = Waiting(
            limits.waiting_most,
            limits.snapshot_bytes_s,
            limits.snapshot_burst,
            limits.later_least_ms,
            limits.later_most_ms,
            now,
        )
        self._parked: list[tuple[int, int, Subscriber]] = []  # heap: revision that it takes, turn
        self._parks = 0
        self._refusing: dict[Subscriber, None] = {}
        self._put_off: set[int] = set()  # connections whose subscription was not taken
        self._out: list[Send] = []
        self._now = now
        self._sent_bytes = self._sent_words = self._resumes = self._snapshots = self._later = 0

    # The store

    def load(
        self,
        revision: int,
        rows: Iterable[tuple[str, int, bytes]],
        base: int,
        events: Iterable[FeedChange],
        now: int,
    ) -> None:
        """All rows as of `revision`, and the changes in (base, revision]: at the start, and when a
        snapshot of the store was installed. Subscribers stay. Where the changes go on from what is
        known, they are all that is taken. Raises ValueError where it goes back.
        """
        if revision < self.revision or not 0 <= base <= revision:
            raise ValueError(
                f"rows of revision {revision} on a base of {base}, after {self.revision}"
            )
        self._now = now
        stood = self.revision
        if stood > 0 and base <= stood:
            if revision > stood:
                self.applied(
                    revision, [one for one in events if stood < one.revision <= revision], now
                )
            return
        self.patches.clear()
        old = self.cache.load(revision, rows, base, events)
        self.cache.trim(self.cache.scopes.values())
        for subscriber in self.subscribers.values():
            if subscriber.parked is None:
                self._move(subscriber, stood, now)
        for name in old:
            self.cache.tidy(self.cache.scopes[name])
        self._released(now)
        self._pump(now)

    def applied(self, revision: int, changes: Sequence[FeedChange], now: int) -> None:
        """What the store changed up to `revision`, whole revisions, in order; said also where none
        of it were rows, for who comes from a node that is further is parked until this one is.
        Raises ValueError.
        """
        if revision <= self.revision:
            raise ValueError(f"revision {revision} comes after {self.revision}")
        self._now = now
        touched = self.cache.apply(revision, changes)
        for scope, changed in touched.items():
            self._tell(scope, changed.after, changed.first - 1, now)
        self.cache.trim(touched)
        self._released(now)
        self._pump(now)

    @property
    def revision(self) -> int:
        return self.cache.revision

    def _tell(self, scope: Scope, after: int, floor: int, now: int) -> None:
        """A change, to all who watch its scope: those who can take it were at `after`."""
        name, window = scope.name, self.limits.window_bytes
        patch = self.patches.delta(scope, after) if scope.watchers else None
        if patch is None:
            return
        word, size = patch.parts[0], len(patch.parts[0])
        single = len(patch.parts) == 1
        count = 0
        for subscriber in scope.watchers:
            if name in subscriber.dirty or name in subscriber.pending:
                continue
            held = subscriber.unacknowledged_bytes
            if not (single and subscriber.writable and (held + size <= window or not held)):
                subscriber.dirty[name] = Late(after, floor, now)
                if not single:
                    self._flush(subscriber, now)
                continue
            subscriber.sequence = sequence = subscriber.sequence + 1
            subscriber.unacknowledged.append(Unacknowledged(sequence, size, floor, now, name))
            subscriber.unacknowledged_bytes = held + size
            self._out.append(Send(subscriber.number, subscriber.generation, sequence, word))
            count += 1
        self._sent_words += count
        self._sent_bytes += count * size

    # Subscribers

    def heard(self, number: int, word: bytes, now: int) -> None:
        """Raises BadWord; the subscriber is to be closed then, and `gone` said."""
        self._now = now
        try:
            ask = unpack_ask(word)
        except ValueError as error:
            raise BadWord(f"no word of the feed: {error}") from None
        subscriber = self.subscribers.get(number)
        if isinstance(ask, Subscribe):
            if subscriber is not None:
                raise BadWord("a second subscription on one connection")
            self._subscribe(number, ask, now)
        elif subscriber is None:
            if number not in self._put_off:  # who is may not have heard of it yet
                raise BadWord("a subscription begins with Subscribe")
        elif isinstance(ask, Rescope):
            self._rescope(subscriber, ask, now)
        else:
            self._reached(subscriber, ask, now)
        self._pump(now)

    def _subscribe(self, number: int, ask: Subscribe, now: int) -> None:
        cursors = _cursors(ask.cursors)
        if not 0 < len(ask.name) <= MOST_NAME:
            raise BadWord(f"a subscriber's name has 1 to {MOST_NAME} characters")
        if len(cursors) > MOST_SCOPES:
            raise BadWord(f"{len(cursors)} scopes: {MOST_SCOPES} at most")
        if ask.epoch != self.epoch:
            cursors = dict.fromkeys(cursors, 0)
        needs = sum(self.cache.needs(name, cursor) for name, cursor in cursors.items())
        if len(self.subscribers) >= self.limits.subscribers_most or needs and self._waiting.full:
            self._later += 1
            self._put_off.add(number)
            self._out.append(Send(number, 1, 0, pack(Later(self._waiting.later_ms(needs, now)))))
            return
        subscriber = self.subscribers[number] = Subscriber(number, ask.name)
        self._bookmarks[subscriber] = now + self.limits.bookmark_ns
        if max(cursors.values(), default=0) > self.revision:
            self._park(subscriber, cursors, now)
        else:
            self._begin(subscriber, cursors, now)

    def _park(self, subscriber: Subscriber, cursors: dict[str, int], now: int) -> None:
        subscriber.parked, subscriber.parked_at = cursors, now
        if len(self._parked) > 2 * len(self.subscribers) + 64:  # most of them went elsewhere
            self._parked = [one for one in self._parked if one[2].parked is not None]
            heapq.heapify(self._parked)
        self._parks += 1
        heapq.heappush(self._parked, (max(cursors.values()), self._parks, subscriber))
        self._say(subscriber, Behind(self.revision))

    def _released(self, now: int) -> None:
        """Those whom the node has caught up with."""
        while self._parked and self._parked[0][0] <= self.revision:
            subscriber = heapq.heappop(self._parked)[2]
            if (
                subscriber.parked is not None
                and max(subscriber.parked.values(), default=0) <= self.revision
            ):
                cursors, subscriber.parked = subscriber.parked, None
                self._begin(subscriber, cursors, now)

    def _begin(self, subscriber: Subscriber, cursors: dict[str, int], now: int) -> None:
        for name, cursor in cursors.items():
            self._place(subscriber, name, cursor, now)
        subscriber.announce = True
        self._serve(subscriber, now)

    def _place(
        self, subscriber: Subscriber, name: str, cursor: int, now: int, late: Late | None = None
    ) -> None:
        """Among the watchers of a scope, from this cursor; 0: nothing is known. `late`: since when
        it was behind there already.
        """
        scope = self.cache.scope(name)
        scope.watchers[subscriber] = None
        subscriber.scopes[name] = scope
        since, floor = (late.since, late.floor) if late is not None else (now, cursor)
        if not cursor or not scope.covers(cursor):
            self._want(subscriber, scope, Late(UNKNOWN, floor, since))
            return
        self._resumes += 1
        if cursor < max(scope.revision, scope.base):
            if late is None:
                floor = (scope.first_after(cursor) or cursor + 1) - 1
            subscriber.dirty[name] = Late(cursor, floor, since)

    def _want(self, subscriber: Subscriber, scope: Scope, late: Late) -> None:
        """A snapshot of this scope."""
        late.cursor, late.asked, late.size = UNKNOWN, self.revision, scope.bytes
        subscriber.pending[scope.name] = late
        self._waiting.owe(subscriber, late.size)

    def _lift(self, subscriber: Subscriber, name: str) -> Late | None:
        """A scope is no longer late."""
        late = subscriber.pending.pop(name, None)
        if late is not None:
            self._waiting.owe(subscriber, -late.size)
            return late
        return subscriber.dirty.pop(name, None)

    def _leave(self, subscriber: Subscriber, name: str) -> None:
        scope = subscriber.scopes.pop(name)
        scope.watchers.pop(subscriber, None)
        self._lift(subscriber, name)
        self.cache.tidy(scope)

    def _move(self, subscriber: Subscriber, stood: int, now: int) -> None:
        """Over to the scopes as they were loaded anew; where it was up to date, it was so at
        `stood`.
        """
        self._waiting.leave(subscriber)
        for name in list(subscriber.scopes):
            late = self._lift(subscriber, name)
            if late is None:
                self._place(subscriber, name, stood, now)
            else:
                self._place(subscriber, name, 0, now, late)  # older than all that still counts
        subscriber.announce = True
        self._serve(subscriber, now)

    def _rescope(self, subscriber: Subscriber, ask: Rescope, now: int) -> None:
        add = _cursors(ask.add)
        if ask.generation != subscriber.generation + 1:
            raise BadWord(f"generation {ask.generation} after {subscriber.generation}")
        has = subscriber.scopes if subscriber.parked is None else subscriber.parked
        if any(name not in has for name in ask.drop) or len(set(ask.drop)) < len(ask.drop):
            raise BadWord("a scope is dropped that was not there")
        if len((has.keys() - set(ask.drop)) | add.keys()) > MOST_SCOPES:
            raise BadWord(f"more than {MOST_SCOPES} scopes")
        if max(add.values(), default=0) > self.revision and subscriber.parked is None:
            raise BadWord(f"a scope is added from past revision {self.revision}")
        subscriber.generation = ask.generation
        if subscriber.parked is not None:
            for name in ask.drop:
                del subscriber.parked[name]
            subscriber.parked |= add
            cursors, subscriber.parked = subscriber.parked, None
            if max(cursors.values(), default=0) > self.revision:
                self._park(subscriber, cursors, now)
            else:
                self._begin(subscriber, cursors, now)
            return
        for name in ask.drop:
            self._leave(subscriber, name)
            subscriber.disregard(name)
        for name in add:
            if name in subscriber.scopes:
                self._lift(subscriber, name)
                subscriber.disregard(name)
        self._begin(subscriber, add, now)

    def _reached(self, subscriber: Subscriber, ask: Reached, now: int) -> None:
        if not subscriber.acknowledged <= ask.sequence <= subscriber.sequence:
            raise BadWord(
                f"reached {ask.sequence} of {subscriber.sequence}, after {subscriber.acknowledged}"
            )
        if len(ask.refused) > MOST_REFUSALS or any(
            len(one.scope) + len(one.key) + len(one.why) > MOST_REFUSAL for one in ask.refused
        ):
            raise BadWord(
                f"over {MOST_REFUSALS} refusals, or one of over {MOST_REFUSAL} characters"
            )
        subscriber.acknowledged = ask.sequence
        under_way = subscriber.unacknowledged
        while under_way and under_way[0].sequence <= ask.sequence:
            subscriber.unacknowledged_bytes -= under_way.popleft().size
        subscriber.refused = ask.refused
        if ask.refused:
            self._refusing[subscriber] = None
        else:
            self._refusing.pop(subscriber, None)
        self._serve(subscriber, now)

    def writable(self, number: int, on: bool, now: int) -> None:
        """Does its connection take more? What is held back comes when it does again."""
        self._now = now
        subscriber = self.subscribers.get(number)
        if subscriber is not None and subscriber.writable != on:
            subscriber.writable = on
            if on:
                self._serve(subscriber, now)
        self._pump(now)

    def gone(self, number: int, now: int) -> None:
        """Its connection ended."""
        self._now = now
        self._put_off.discard(number)
        subscriber = self.subscribers.pop(number, None)
        if subscriber is None:
            return
        subscriber.parked = None
        self._waiting.leave(subscriber)
        for name in list(subscriber.scopes):
            self._leave(subscriber, name)
        self._bookmarks.pop(subscriber, None)
        self._refusing.pop(subscriber, None)
        self._pump(now)

    # What goes out

    def _room(self, subscriber: Subscriber, size: int) -> bool:
        held = subscriber.unacknowledged_bytes
        return subscriber.writable and (not held or held + size <= self.limits.window_bytes)

    def _send(self, subscriber: Subscriber, word: bytes, floor: int, name: str, now: int) -> None:
        subscriber.sequence += 1
        subscriber.unacknowledged.append(
            Unacknowledged(subscriber.sequence, len(word), floor, now, name)
        )
        subscriber.unacknowledged_bytes += len(word)
        self._post(subscriber, subscriber.sequence, word)

    def _say(self, subscriber: Subscriber, word: Word) -> None:
        """Beside the patches."""
        self._post(subscriber, 0, pack(word))

    def _post(self, subscriber: Subscriber, sequence: int, word: bytes) -> None:
        self._out.append(Send(subscriber.number, subscriber.generation, sequence, word))
        self._sent_words += 1
        self._sent_bytes += len(word)

    def _serve(self, subscriber: Subscriber, now: int) -> None:
        """Everything that it can take now, but for snapshots, which wait for their turn."""
        if subscriber.parked is not None:
            return
        self._flush(subscriber, now)
        if subscriber.pending and subscriber.writable:
            self._waiting.join(subscriber)
        if (
            subscriber.announce
            and subscriber.writable
            and not subscriber.dirty
            and not subscriber.pending
        ):
            self._mark(subscriber)

    def _flush(self, subscriber: Subscriber, now: int) -> None:
        """Deltas of the scopes that changed while it could not take them."""
        while subscriber.dirty and subscriber.writable:
            name, late = next(iter(subscriber.dirty.items()))
            scope = subscriber.scopes[name]
            if late.stream is None:
                if not scope.covers(late.cursor):
                    del subscriber.dirty[name]
                    self._want(subscriber, scope, late)
                    continue
                late.stream = self.patches.delta(scope, scope.place(late.cursor))
            while late.index < len(late.stream.parts):
                word = late.stream.parts[late.index]
                if not self._room(subscriber, len(word)):
                    return
                self._send(subscriber, word, late.floor, name, now)
                late.index += 1
            del subscriber.dirty[name]
            self._streamed(subscriber, scope, late.stream.revision, now)

    def _streamed(self, subscriber: Subscriber, scope: Scope, revision: int, now: int) -> None:
        """A patch up to `revision` was sent whole; the scope may have changed since it was made."""
        if scope.revision > revision:
            first = scope.first_after(revision) if scope.covers(revision) else 0
            subscriber.dirty[scope.name] = Late(revision, (first or revision + 1) - 1, now)

    def _pump(self, now: int) -> None:
        """Snapshots, as fast as they may go. Who can't take more leaves the queue and comes back to
        it.
        """
        while self._waiting:
            subscriber = self._waiting.first
            if not subscriber.pending or not subscriber.writable:
                self._waiting.leave(subscriber)
                continue
            if not self._waiting.ready(now):
                return
            name, late = next(iter(subscriber.pending.items()))
            scope = subscriber.scopes[name]
            if late.stream is None:
                late.stream = self.patches.whole(scope, late.asked, self.revision)
            word = late.stream.parts[late.index]
            if not self._room(subscriber, len(word)):
                self._waiting.leave(subscriber)
                continue
            self._send(subscriber, word, late.floor, name, now)
            self._waiting.spend(len(word), now)
            late.index += 1
            if late.index == len(late.stream.parts):
                self._snapshots += 1
                self._lift(subscriber, name)
                self._streamed(subscriber, scope, late.stream.revision, now)
                if not subscriber.pending:
                    self._waiting.leave(subscriber)
                    self._serve(subscriber, now)

    def _mark(self, subscriber: Subscriber) -> None:
        """A bookmark: up to where all was told, and digests of some of its scopes, in turn."""
        told = subscriber.told()
        if told is not None:
            self._say(subscriber, Bookmark(told, ()))
            return
        subscriber.announce = False
        names = list(subscriber.scopes)
        most = self.limits.bookmark_scopes
        first = subscriber.turn % len(names) if names else 0
        chosen = (names[first:] + names[:first])[:most]
        subscriber.turn = first + most
        digests = tuple((name, subscriber.scopes[name].digest) for name in chosen)
        self._say(subscriber, Bookmark(self.revision, digests))

    def tick(self, now: int) -> None:
        self._now = now
        every = self.limits.bookmark_ns
        while self._bookmarks:
            subscriber, due = next(iter(self._bookmarks.items()))
            if due > now:
                break
            self._bookmarks[subscriber] = now + every
            self._bookmarks.move_to_end(subscriber)
            under_way = subscriber.unacknowledged
            if not subscriber.writable or under_way and under_way[0].at <= now - every:
                continue  # it does not read
            if subscriber.parked is not None:
                self._say(subscriber, Behind(self.revision))
            else:
                self._mark(subscriber)
        self._pump(now)

    @property
    def wake_ns(self) -> int:
        """When `tick` has something to do; 0: never."""
        due = next(iter(self._bookmarks.values()), 0)
        if self._waiting:
            ready = self._waiting.ready_at(self._now)
            due = min(due, ready) if due else ready
        return due

    def take_out(self) -> list[Send]:
        """Words in order. One may be for a connection that has gone meanwhile."""
        out, self._out = self._out, []
        return out

    def status(self) -> FeedStatus:
        """Costs a look at each subscriber."""
        reached: Counter[int] = Counter()
        lagging: list[tuple[int, int, str]] = []
        for subscriber in self.subscribers.values():
            lag = subscriber.lag()
            if lag is None or lag[0] >= self.revision:
                reached[self.revision] += 1
            else:
                reached[lag[0]] += 1
                lagging.append((lag[0], lag[1], subscriber.name))
        laggards = tuple(
            Laggard(name, revision, (self._now - since) // MS)
            for revision, since, name in heapq.nsmallest(MOST_LAGGARDS, lagging)
        )
        refused = [
            Refused(subscriber.name, refusal)
            for subscriber in self._refusing
            for refusal in subscriber.refused
        ]
        return FeedStatus(
            epoch=self.epoch,
            revision=self.revision,
            subscribers=len(self.subscribers),
            reached=tuple(sorted(reached.items())[:MOST_REACHED]),
            laggards=laggards,
            refusals=len(refused),
            refused=tuple(refused[:MOST_REFUSED]),
            parked=sum(subscriber.parked is not None for subscriber in self.subscribers.values()),
            waiting=sum(bool(subscriber.pending) for subscriber in self.subscribers.values()),
            sent_bytes=self._sent_bytes,
            sent_words=self._sent_words,
            encoded=self.patches.encoded,
            resumes=self._resumes,
            snapshots=self._snapshots,
            later=self._later,
        )


def _cursors(pairs: tuple[tuple[str, int], ...]) -> dict[str, int]:
    """Raises BadWord."""
    cursors = dict(pairs)
    if len(cursors) < len(pairs):
        raise BadWord("a scope is named twice")
    for name, cursor in pairs:
        if not is_scope(name):
            raise BadWord(f"{name[:80]!r} is no scope")
        if cursor < 0:
            raise BadWord(f"a cursor of {cursor}")
    return cursors
