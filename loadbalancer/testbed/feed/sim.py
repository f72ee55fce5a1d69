"""Nodes with real fan-outs, balancers with real subscriptions, a store that writes at random, and
links that delay, stop and break, in virtual time. A seed decides all of it.

At each step the books (`books`) are asked whether what a balancer was handed could be; at rest
everything has to stand at the last revision, and the nodes' status has to say so.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from msgspec import structs

from loadbalancer.changefeed.fanout import (
    Fanout,
    FanoutLimits,
    FeedChange,
    FeedProtocolError,
    StoreSnapshot,
)
from loadbalancer.changefeed.messages import MAX_REFUSALS, Bookmark, Patch, unpack_server_message
from loadbalancer.changefeed.subscription import (
    Apply,
    Dial,
    Disconnect,
    SendMessage,
    Subscription,
    SubscriptionLimits,
    SubscriptionOptions,
)
from loadbalancer.testbed.cluster.checks import Broken
from loadbalancer.testbed.feed.books import REFUSED, Book, History

MS = 1_000_000
SECOND = 1_000 * MS
SCOPES = ["global", *(f"service:{name}" for name in "abcdefg")]
KEYS = [f"upstream/{number}" for number in range(9)]
NODE_LIMITS = FanoutLimits(
    snapshot_bytes_s=40_000,
    snapshot_burst=3_000,
    waiting_most=2,
    later_least_ms=50,
    later_most_ms=1_500,
    chunk_bytes=500,
    log_changes=80,
    log_bytes=16_000,
    scope_changes=20,
    bookmark_ns=2 * SECOND,
    bookmark_scopes=3,
    window_bytes=2_500,
    cache_bytes=6_000,
    subscribers_most=40,
)
LIMITS = SubscriptionLimits(
    dial_ns=SECOND,
    silent_ns=7 * SECOND,
    behind_ns=SECOND,
    backoff_ns=50 * MS,
    backoff_most_ns=SECOND,
    ack_ns=40 * MS,
    ack_bytes=1_000,
    audit_rows=4,
    audit_ns=10 * MS,
)
BUFFER = 4_000  # bytes that a link holds for who does not read, before the node's side says so
MOST_STOPPED_S = 12


@dataclass(slots=True, eq=False)
class Link:
    """One connection. Words arrive in order, each after a delay; where it is cut the rest is
    lost.
    """

    node: Node
    balancer: Balancer
    number: int
    fanout: Fanout
    open_up: bool = True  # does the node still hear
    open_down: bool = True
    last_up: int = 0
    last_down: int = 0
    buffered: int = 0
    full: bool = False


class Node:
    def __init__(self, number: int) -> None:
        self.number = number
        self.fanout: Fanout | None = None
        self.links: dict[int, Link] = {}
        self.stalled_until = 0
        self.wakes = 0  # when a tick is due


class Balancer:
    def __init__(self, book: Book, subscription: Subscription, order: list[int]) -> None:
        self.book, self.subscription, self.order = book, subscription, order
        self.link: Link | None = None
        self.dials = 0
        self.stopped = False
        self.kept: deque[tuple[Link, int, int, bytes]] = deque()  # what came while it was stopped
        self.wakes = 0


@dataclass
class Outcome:
    seed: int
    broken: str = ""
    counts: Counter[str] = field(default_factory=Counter)


class Options(NamedTuple):
    """`spoil`: rows are lost from and doubled in balancers' tables, which the digests have to
    find.
    """

    nodes: int = 4
    balancers: int = 6
    seconds: int = 60
    spoil: bool = False


class World:
    def __init__(self, seed: int, options: Options) -> None:
        self.rng = Random(seed)
        self.options = options
        self.now = SECOND
        self.counts: Counter[str] = Counter()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self._links = 0
        self.storms = True
        self.history = History("epoch-1", 1, {}, {})
        self.histories = {self.history.epoch: self.history}
        for _ in range(self.rng.randint(0, 40)):
            self._write()
        self.nodes = [Node(number) for number in range(options.nodes)]
        for node in self.nodes:
            self._start(node)
        self.balancers = [self._balancer(number) for number in range(options.balancers)]

    # Time

    def at(self, when: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (max(when, self.now), self._order, call))

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

    def delay(self) -> int:
        return int(self.rng.expovariate(1 / 8) * MS) + MS

    # The store

    def _write(self) -> None:
        rng = self.rng
        changes: dict[tuple[str, str], bytes | None] = {}
        for scope in rng.sample(SCOPES, rng.choice((1, 1, 1, 2, 4))):
            for key in rng.sample(KEYS, rng.choice((1, 1, 2, 5))):
                gone = (
                    key in self.history.rows(scope, self.history.revision) and rng.random() < 0.35
                )
                size = rng.choice((3, 20, 20, 300))
                mark = REFUSED if rng.random() < 0.15 else b"."
                changes[scope, key] = None if gone else mark + rng.randbytes(size)
        self.history.write(
            self.history.revision + rng.choice((1, 1, 1, 2, 7)),
            [(scope, key, value) for (scope, key), value in changes.items()],
        )
        self.counts["writes"] += 1

    def _writes(self) -> None:
        if self.storms:
            self._write()
            for node in self.nodes:
                self.at(self.now + self.delay(), lambda node=node: self._follow(node))  # type: ignore[misc]
            pause = self.rng.choice((5, 40, 40, 200, 1_500))
            self.at(self.now + int(self.rng.expovariate(1 / pause) * MS), self._writes)

    def _changes(self, after: int, until: int) -> list[FeedChange]:
        return [
            FeedChange(revision, f"feed/{scope}/{row.key}", row.version, row.value)
            for revision, told in self.history.log
            if after < revision <= until
            for scope, row in told
        ]

    def _follow(self, node: Node) -> None:
        """The node applies some of what it has not yet."""
        fanout = node.fanout
        if fanout is None or node.stalled_until > self.now:
            return
        waiting = [revision for revision, _ in self.history.log if revision > fanout.revision]
        if self.storms and (len(waiting) > 30 or waiting and self.rng.random() < 0.01):
            self._load(node)
            return
        while waiting and (not self.storms or self.rng.random() < 0.9):
            some = min(len(waiting), self.rng.choice((1, 1, 1, 3)))
            until = waiting[some - 1]
            fanout.apply(until, self._changes(fanout.revision, until), self.now)
            waiting = waiting[some:]
        self._out(node)

    def _load(self, node: Node) -> None:
        """A snapshot of the store is installed, with some of the changes before it or none."""
        fanout = node.fanout
        assert fanout is not None
        history = self.history
        revision = self.rng.choice([history.first, *(one for one, _ in history.log)][-8:])
        if revision < fanout.revision:
            return
        base = self.rng.choice(
            [one for one in [history.first, *(at for at, _ in history.log)] if one <= revision][
                -25:
            ]
        )
        rows = [
            (f"feed/{scope}/{row.key}", row.version, row.value or b"")
            for scope, all_ in history.all_rows(revision).items()
            for row in all_.values()
        ]
        self.counts["loads"] += 1
        self.counts["loads past the log"] += 0 < fanout.revision < base
        fanout.load(StoreSnapshot(revision, rows, base, self._changes(base, revision)), self.now)
        self._out(node)

    # Nodes

    def _start(self, node: Node) -> None:
        node.fanout = Fanout(self.history.epoch, NODE_LIMITS, self.now)
        self._load(node)

    def _kill(self, node: Node) -> None:
        for link in list(node.links.values()):
            self._cut(link, both=False)
        node.links.clear()
        node.fanout = None

    def _restore(self) -> None:
        """Everything back to an earlier revision, in a new epoch."""
        old = self.history
        revision = self.rng.choice([old.first, *(at for at, _ in old.log)][-15:])
        self.history = History(
            f"epoch-{len(self.histories) + 1}", revision, old.all_rows(revision), old.versions
        )
        self.histories[self.history.epoch] = self.history
        for node in self.nodes:
            was = node.fanout
            self._kill(node)
            if was is not None:
                self._start(node)
        self.counts["restores"] += 1

    def _node_wakes(self, node: Node) -> None:
        due = node.fanout.wake_ns if node.fanout is not None else None
        if due is not None and (not node.wakes or due < node.wakes):
            node.wakes = due
            self.at(due, lambda: self._node_ticks(node, due))

    def _node_ticks(self, node: Node, due: int) -> None:
        if node.wakes == due:
            node.wakes = 0
        if node.fanout is not None:
            node.fanout.tick(self.now)
            self._out(node)

    def _out(self, node: Node) -> None:
        """Its words set out, and its bounds are looked at."""
        fanout = node.fanout
        if fanout is None:
            return
        for send in fanout.take_sends():
            link = node.links.get(send.subscriber)
            if link is None:
                continue
            link.buffered += len(send.payload)
            if link.buffered > BUFFER and not link.full:
                link.full = True
                self.counts["full"] += 1
                fanout.set_writable(link.number, False, self.now)
            link.last_down = max(link.last_down, self.now + self.delay())
            self.at(
                link.last_down,
                lambda link=link, send=send: self._arrives(  # type: ignore[misc]
                    link, send.generation, send.sequence, send.payload
                ),
            )
        self._bounds(fanout)
        self._node_wakes(node)

    def _bounds(self, fanout: Fanout) -> None:
        changes, size = fanout.cache.log_size
        most = max(NODE_LIMITS.window_bytes, 2 * NODE_LIMITS.chunk_bytes)
        if changes > NODE_LIMITS.log_changes or size > NODE_LIMITS.log_bytes:
            raise Broken("bounds", f"a log of {changes} changes, {size} bytes")
        if fanout.patches.size_bytes > NODE_LIMITS.cache_bytes + len(KEYS) * 400:
            raise Broken("bounds", f"{fanout.patches.size_bytes} bytes of patches are kept")
        for subscriber in fanout.subscribers.values():
            under_way = sum(one.size for one in subscriber.unacknowledged)
            if under_way != subscriber.unacknowledged_bytes or under_way > most:
                raise Broken("bounds", f"{under_way} bytes under way to {subscriber.name}")

    # Links

    def _arrives(self, link: Link, generation: int, sequence: int, word: bytes) -> None:
        balancer = link.balancer
        if not link.open_down or balancer.link is not link:
            return
        if balancer.stopped:
            balancer.kept.append((link, generation, sequence, word))
            return
        link.buffered -= len(word)
        if link.full and link.buffered <= BUFFER // 2:
            link.full = False
            if link.open_up and link.node.fanout is link.fanout:
                link.fanout.set_writable(link.number, True, self.now)
                self._out(link.node)
        told = unpack_server_message(word)
        self.counts[type(told).__name__] += 1
        if isinstance(told, Patch):
            self.counts["parts"] += not told.is_last_chunk
            self.counts["whole"] += told.is_snapshot
            self.counts["of another generation"] += generation != balancer.subscription.generation
        balancer.subscription.receive(generation, sequence, word, self.now)
        self._acts(balancer)
        if isinstance(told, Patch | Bookmark):
            self._tables(balancer)

    def _hears(self, link: Link, word: bytes) -> None:
        if not link.open_up or link.node.fanout is not link.fanout:
            return
        try:
            link.fanout.receive(link.number, word, self.now)
        except FeedProtocolError as error:
            raise Broken("bad word", f"{link.balancer.book.name}: {error}") from None
        self._out(link.node)
        self._statuses(link.node)

    def _cut(self, link: Link, both: bool = True) -> None:
        """The link breaks. Each side is told soon, or only notices that nothing comes."""
        late = self.rng.random() < 0.3
        link.open_down = False
        if both:
            link.open_up = False
            self.at(
                self.now + (self.rng.randint(1, 9) * SECOND if late else self.delay()),
                lambda: self._node_drops(link),
            )
        if not late:
            self.at(self.now + self.delay(), lambda: self._balancer_drops(link))
        self.counts["cuts"] += 1

    def _node_drops(self, link: Link) -> None:
        link.open_up = False
        link.node.links.pop(link.number, None)
        if link.node.fanout is link.fanout:
            link.fanout.remove(link.number, self.now)
            self._out(link.node)

    def _balancer_drops(self, link: Link) -> None:
        balancer = link.balancer
        if balancer.link is link:
            balancer.link = None
            balancer.subscription.on_disconnected("cut", self.now)
            self._acts(balancer)

    # Balancers

    def _balancer(self, number: int) -> Balancer:
        book = Book(f"balancer-{number}", old=number % 2 == 1)
        scopes = self.rng.sample(SCOPES, self.rng.randint(1, 6))
        book.wanted(scopes, [])
        order = list(range(self.options.nodes))
        self.rng.shuffle(order)
        subscription = Subscription(
            book.name,
            scopes,
            SubscriptionOptions(
                lambda scope, row: "" if book.takes(row) else "no such thing is known here",
                LIMITS,
                Random(self.rng.random()),
            ),
            self.now,
        )
        balancer = Balancer(book, subscription, order)
        self.at(self.now, lambda: self._acts(balancer))
        return balancer

    def _acts(self, balancer: Balancer) -> None:
        for action in balancer.subscription.take_actions():
            if isinstance(action, SendMessage):
                link = balancer.link
                if link is not None:
                    link.last_up = max(link.last_up, self.now + self.delay())
                    self.at(
                        link.last_up,
                        lambda link=link, payload=action.payload: self._hears(  # type: ignore
                            link, payload
                        ),
                    )
            elif isinstance(action, Apply):
                history = self.histories[balancer.subscription.epoch]
                balancer.book.applied(
                    history, action.scope, action.is_snapshot, action.rows, action.revision
                )
                self.counts["applied"] += 1
            elif isinstance(action, Disconnect):
                self.counts[f"hung up: {action.reason.split(' ', 1)[0]}"] += 1
                link, balancer.link = balancer.link, None
                balancer.dials += 1
                if link is not None:
                    self.at(
                        max(link.last_up, self.now) + self.delay(),
                        lambda link=link: self._node_drops(link),  # type: ignore[misc]
                    )
            else:
                self._dial(balancer, action)
        due = balancer.subscription.wake_ns
        if not balancer.wakes or due < balancer.wakes:
            balancer.wakes = due
            self.at(due, lambda: self._balancer_ticks(balancer, due))

    def _balancer_ticks(self, balancer: Balancer, due: int) -> None:
        if balancer.wakes == due:
            balancer.wakes = 0
        if not balancer.stopped:
            balancer.subscription.tick(self.now)
            self._acts(balancer)

    def _dial(self, balancer: Balancer, action: Dial) -> None:
        balancer.dials += 1
        dial = balancer.dials
        node = self.nodes[balancer.order[action.address_index % len(balancer.order)]]

        def through() -> None:
            if balancer.dials != dial or balancer.stopped:
                return
            if node.fanout is None:
                balancer.subscription.on_disconnected("refused", self.now)
            else:
                self._links += 1
                link = balancer.link = node.links[self._links] = Link(
                    node, balancer, self._links, node.fanout
                )
                if (
                    self.storms and self.rng.random() < 0.2
                ):  # in the middle of what it is told first
                    self.at(self.now + self.rng.randint(1, 60) * MS, lambda: self._cut(link))
                balancer.subscription.on_connected(node.fanout.epoch, self.now)
            self._acts(balancer)

        self.at(self.now + self.delay(), through)

    def _stop(self, balancer: Balancer) -> None:
        if not balancer.stopped:
            balancer.stopped = True
            self.counts["stopped"] += 1
            self.at(
                self.now + self.rng.randint(1, MOST_STOPPED_S) * SECOND,
                lambda: self._goes_on(balancer),
            )

    def _goes_on(self, balancer: Balancer) -> None:
        balancer.stopped = False
        kept, balancer.kept = balancer.kept, deque()
        for link, generation, sequence, word in kept:
            self._arrives(link, generation, sequence, word)
        if balancer.link is None:
            balancer.subscription.on_disconnected("stopped", self.now)
        balancer.subscription.tick(self.now)
        self._acts(balancer)

    def _rescope(self, balancer: Balancer) -> None:
        has = list(balancer.book.views)
        drop = self.rng.sample(has, min(len(has), self.rng.choice((0, 1, 1, 3))))
        lacks = [scope for scope in SCOPES if scope not in has]
        add = self.rng.sample(lacks, min(len(lacks), self.rng.choice((0, 1, 2))))
        if drop and self.rng.random() < 0.4:
            add.append(drop[0])  # in one word, or in the next while that is under way
            if self.rng.random() < 0.5:
                balancer.book.wanted([], drop)
                balancer.subscription.update_scopes((), drop, self.now)
                self._acts(balancer)
                drop = []
        balancer.book.wanted([], drop)
        balancer.book.wanted(add, [])
        balancer.subscription.update_scopes(add, drop, self.now)
        self.counts["rescopes"] += 1
        self._acts(balancer)

    def _spoil(self, balancer: Balancer) -> None:
        """A row is lost, or stands there twice."""
        for table in balancer.subscription.scopes.values():
            if table.is_synced and table.rows:
                key = self.rng.choice(sorted(table.rows))
                if self.rng.random() < 0.5:
                    del table.rows[key]
                else:
                    table.rows["upstream/twice"] = structs.replace(
                        table.rows[key], key="upstream/twice"
                    )
                self.counts["spoilt"] += 1
                return

    # What has to hold

    def _tables(self, balancer: Balancer) -> None:
        subscription = balancer.subscription
        if self.options.spoil:
            return
        if subscription.resyncs:
            raise Broken("digest", f"{balancer.book.name} had to take a scope anew")
        history = self.histories[subscription.epoch]
        for scope, table in subscription.scopes.items():
            if table.is_synced and table.rows != history.rows(scope, table.cursor):
                raise Broken("table", f"{balancer.book.name}: {scope} is not as of {table.cursor}")

    def _statuses(self, node: Node) -> None:
        """Nobody is counted for more than is in force there."""
        fanout = node.fanout
        if fanout is None or self.rng.random() < 0.5:
            return
        status = fanout.status()
        if sum(count for _, count in status.acknowledged) != status.subscribers:
            raise Broken("status", f"{status}")
        lags = {lag.name: lag.revision for lag in status.laggards}
        for link in node.links.values():
            subscriber = fanout.subscribers.get(link.number)
            if subscriber is None or link.balancer.link is not link:
                continue
            reached = lags.get(subscriber.name, status.revision)
            tables = link.balancer.subscription.scopes
            for scope in subscriber.scopes:
                table = tables.get(scope)
                if table is not None and table.generation <= subscriber.generation:
                    link.balancer.book.reached(self.histories[fanout.epoch], scope, reached)

    def at_rest(self) -> None:
        """Everything stands at the last revision."""
        last = self.history.revision
        for balancer in self.balancers:
            book, subscription = balancer.book, balancer.subscription
            if not subscription.is_ready or subscription.epoch != self.history.epoch:
                raise Broken(
                    "rest", f"{book.name} is {subscription.state}: {subscription.disconnect_reason}"
                )
            if subscription.age_ns(self.now) > LIMITS.silent_ns:
                raise Broken("rest", f"{book.name} is {subscription.age_ns(self.now) // MS} ms old")
            if set(subscription.scopes) != set(book.views):
                raise Broken("rest", f"{book.name} has other scopes than it wants")
            for scope, view in book.views.items():
                view.revision = last
                book.compare(self.history, scope, view)
                if subscription.scopes[scope].rows != self.history.rows(scope, last):
                    raise Broken("rest", f"{book.name}: the table of {scope} is not as of {last}")
        refused = expected = 0
        counted: Counter[int] = Counter()
        for node in self.nodes:
            assert node.fanout is not None
            status = node.fanout.status()
            refused += status.refusals
            counted.update(dict(status.acknowledged))
            if status.parked or status.waiting or status.laggards:
                raise Broken("rest", f"node {node.number}: {status}")
        if counted != {last: len(self.balancers)}:
            raise Broken("rest", f"reached by {dict(counted)}, not all by {last}")
        for balancer in self.balancers:
            expected += min(
                MAX_REFUSALS,
                sum(
                    not balancer.book.takes(row)
                    for scope in balancer.book.views
                    for row in self.history.rows(scope, last).values()
                ),
            )
        if refused != expected:
            raise Broken("rest", f"{refused} refusals are told, of {expected}")
        self.counts["refusals"] += refused

    # What goes wrong

    def _mischief(self) -> None:
        if not self.storms:
            return
        rng = self.rng
        node, balancer = rng.choice(self.nodes), rng.choice(self.balancers)
        what = rng.random()
        if what < 0.25:
            if balancer.link is not None:
                self._cut(balancer.link)
        elif what < 0.40:
            self._stop(balancer)
        elif what < 0.58:
            if not balancer.stopped:
                self._rescope(balancer)
        elif what < 0.78:
            node.stalled_until = self.now + rng.randint(1, 6) * SECOND
        elif what < 0.86:
            if node.fanout is not None:
                self._load(node)
        elif what < 0.94:
            if node.fanout is not None:
                self.counts["killed"] += 1
                self._kill(node)
            else:
                self._start(node)
        elif what < 0.96:
            self._restore()
        elif self.options.spoil:
            self._spoil(balancer)
        self.at(self.now + int(rng.expovariate(1 / 400) * MS), self._mischief)

    def play(self) -> None:
        self.at(self.now, self._writes)
        self.at(self.now, self._mischief)
        self.run(self.now + self.options.seconds * SECOND)
        self.storms = False
        for node in self.nodes:
            node.stalled_until = 0
            if node.fanout is None:
                self._start(node)
            self._follow(node)
        self.run(self.now + 60 * SECOND)
        self.at_rest()
        for node in self.nodes:
            assert node.fanout is not None
            status = node.fanout.status()
            self.counts["resumes"] += status.resumes
            self.counts["snapshots"] += status.snapshots
            self.counts["encoded"] += status.encoded
        self.counts["mended"] += sum(balancer.subscription.resyncs for balancer in self.balancers)


def play(seed: int, options: Options | None = None) -> Outcome:
    world = World(seed, options or Options())
    outcome = Outcome(seed, counts=world.counts)
    try:
        world.play()
    except Broken as broken:
        outcome.broken = f"at {world.now / SECOND:.3f} s: {broken}"
    return outcome
