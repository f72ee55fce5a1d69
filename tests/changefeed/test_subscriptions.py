"""The changefeed's fan-out and subscription, connected to each other by the test."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Any

import pytest
from msgspec import json, structs

from loadbalancer.changefeed import digest, messages
from loadbalancer.changefeed.fanout import (
    Fanout,
    FanoutLimits,
    FeedChange,
    FeedProtocolError,
    Send,
    StoreSnapshot,
)
from loadbalancer.changefeed.messages import (
    Acknowledge,
    Bookmark,
    Patch,
    Refusal,
    ReplicaBehind,
    RetryLater,
    Row,
    Subscribe,
    UpdateScopes,
)
from loadbalancer.changefeed.snapshot_rate import RetrySlots, TokenBucket
from loadbalancer.changefeed.status import FeedStatus
from loadbalancer.changefeed.subscription import (
    Action,
    Apply,
    Dial,
    Disconnect,
    SendMessage,
    Subscription,
    SubscriptionLimits,
    SubscriptionOptions,
    SubscriptionState,
)

pack = messages.pack
S = 1_000_000_000
MS = 1_000_000
QUICK = FanoutLimits(snapshot_bytes_s=1 << 40, snapshot_burst=1 << 40)
LIMITS = SubscriptionLimits(ack_ns=50 * MS)
A, B = "service:a", "service:b"


def change(revision: int, scope: str, name: str, version: int, value: bytes | None) -> FeedChange:
    return FeedChange(revision, f"feed/{scope}/upstream/{name}", version, value)


def fanout(
    limits: FanoutLimits = QUICK, revision: int = 10, epoch: str = "e", size: int = 1
) -> Fanout:
    """A, B and global hold the rows x and y of version 1, as of revision 10."""
    made = Fanout(epoch, limits, 0)
    rows = [
        (f"feed/{scope}/upstream/{name}", 1, b"1" * size)
        for scope in (A, B, "global")
        for name in "xy"
    ]
    made.load(StoreSnapshot(revision, rows, revision, []), 0)
    return made


def subscribe(
    node: Fanout, number: int, scopes: Iterable[tuple[str, int]], epoch: str = "e", now: int = 0
) -> list[Any]:
    node.receive(number, pack(Subscribe(f"b{number}", epoch, tuple(scopes))), now)
    return sent(node, number)


def sent(node: Fanout, number: int | None = None) -> list[Any]:
    return [
        messages.unpack_server_message(send.payload)
        for send in node.take_sends()
        if number in (None, send.subscriber)
    ]


def acknowledge(node: Fanout, sends: list[Send], now: int = 0) -> None:
    for number, sequence in {
        send.subscriber: send.sequence for send in sends if send.sequence
    }.items():
        node.receive(number, pack(Acknowledge(sequence)), now)


def acknowledged_sends(node: Fanout, now: int = 0) -> list[Send]:
    """What goes out, all of it acknowledged at once."""
    sends: list[Send] = []
    while more := node.take_sends():
        sends += more
        acknowledge(node, more, now)
    return sends


def rows_of(patch: Patch) -> dict[str, bytes | None]:
    return {row.key.split("/")[1]: row.value for row in patch.rows}


class Connection:
    """A balancer and the nodes that it dials, without delay. `tables`: its scopes as they were
    applied.
    """

    def __init__(
        self,
        nodes: list[Fanout],
        scopes: Iterable[str],
        refuses: bytes = b"!",
        limits: SubscriptionLimits = LIMITS,
        seed: int = 1,
        now: int = 0,
        number: int = 1,
    ) -> None:
        self.nodes, self.now, self.number = nodes, now, number * 1_000
        self.refuses = refuses
        self.tables: dict[str, dict[str, Row]] = {}
        self.messages: list[Any] = []
        self.actions: list[Action] = []
        self.node: Fanout | None = None
        self.client = Subscription(
            f"b{number}", list(scopes), SubscriptionOptions(self.check, limits, Random(seed)), now
        )

    def check(self, scope: str, row: Row) -> str:
        return (
            "not known here" if row.value is not None and row.value.startswith(self.refuses) else ""
        )

    def act(self, action: Action) -> None:
        self.actions.append(action)
        if isinstance(action, Dial):
            self.number += 1
            self.node = self.nodes[action.address_index % len(self.nodes)]
            self.client.on_connected(self.node.epoch, self.now)
        elif isinstance(action, Disconnect):
            self.cut()
        elif isinstance(action, SendMessage):
            self.messages.append(messages.unpack_client_message(action.payload))
            if self.node is not None:
                self.node.receive(self.number, action.payload, self.now)
        else:
            assert isinstance(action, Apply)
            rows = {} if action.is_snapshot else self.tables[action.scope]
            for row in action.rows:
                rows[row.key] = row
            self.tables[action.scope] = {
                key: row for key, row in rows.items() if row.value is not None
            }

    def cut(self) -> None:
        if self.node is not None:
            self.node.remove(self.number, self.now)
            self.node = None

    def exchange(self, most: int = 1_000) -> Connection:
        """Until neither side has anything to say, or so many words of nodes were heard."""
        while True:
            actions = self.client.take_actions()
            for action in actions:
                self.act(action)
            sends = self.node.take_sends() if self.node is not None else []
            for send in sends:
                if send.subscriber == self.number:
                    if not most:
                        return self
                    most -= 1
                    self.client.receive(send.generation, send.sequence, send.payload, self.now)
            if not actions and not sends:
                return self

    def advance(self, ns: int) -> Connection:
        """Through all that is due within this time."""
        until = self.now + ns
        self.exchange()
        while True:
            due = [self.client.wake_ns]
            if self.node is not None and self.node.wake_ns:
                due.append(self.node.wake_ns)
            self.now = min(until, max(self.now, *due) if len(due) == 1 else max(self.now, min(due)))
            if self.node is not None:
                self.node.tick(self.now)
            self.client.tick(self.now)
            self.exchange()
            if self.now >= until:
                return self

    def state(self) -> str:
        return self.client.state.value

    def values(self, scope: str) -> dict[str, bytes | None]:
        return {key.split("/")[1]: row.value for key, row in self.tables[scope].items()}


# ---- one change, many who hear it ----------------------------------------------------------------


def test_a_change_is_encoded_once_a_scope_and_not_once_a_watcher() -> None:
    node = fanout()
    for number in range(300):
        subscribe(node, number, [(A, 10), (B, 10)])
    before = node.status().encoded
    node.apply(11, [change(11, A, "x", 2, b"2"), change(11, B, "x", 2, b"2")], 0)
    sends = node.take_sends()
    assert len(sends) == 600 and len({id(send.payload) for send in sends}) == 2
    assert node.status().encoded == before + 2
    # Those who come back from another node and stand at one place share as well.
    for number in range(300, 400):
        subscribe(node, number, [(A, 10)])
    assert node.status().encoded == before + 2


def test_snapshots_are_encoded_once_for_all_subscribers() -> None:
    node = fanout()
    for number in range(50):
        subscribe(node, number, [(A, 0)])
    assert node.status().encoded == 1 and node.status().snapshots == 50


def test_a_write_over_many_scopes_is_complete_within_each() -> None:
    node = fanout()
    line = Connection([node], [A, B]).exchange()
    node.apply(11, [change(11, scope, name, 2, b"2") for name in "xy" for scope in (A, B)], 0)
    patches = [messages.unpack_server_message(send.payload) for send in node.take_sends()]
    assert [(patch.scope, rows_of(patch)) for patch in patches if isinstance(patch, Patch)] == [
        (A, {"x": b"2", "y": b"2"}),
        (B, {"x": b"2", "y": b"2"}),
    ]
    assert line.client.is_ready


def test_a_slow_subscriber_blocks_nobody_and_gets_one_coalesced_delta() -> None:
    node = fanout(structs.replace(QUICK, window_bytes=2_000))
    for number in (1, 2):
        subscribe(node, number, [(A, 10)])
    heard: Counter[int] = Counter()
    slow: list[Send] = []
    for revision in range(11, 511):
        node.apply(
            revision, [change(revision, A, "xyz"[revision % 3], revision, b"%d" % revision)], 0
        )
        for send in node.take_sends():
            heard[send.subscriber] += 1
            if send.subscriber == 1:
                slow.append(send)
            else:
                node.receive(2, pack(Acknowledge(send.sequence)), 0)
        assert node.subscribers[1].unacknowledged_bytes <= 2_000
    assert heard[2] == 500 and 0 < heard[1] < 50
    node.receive(1, pack(Acknowledge(slow[-1].sequence)), 0)
    (patch,) = sent(node, 1)
    assert rows_of(patch) == {"x": b"510", "y": b"508", "z": b"509"}
    assert patch.after == slow_revision(slow) and patch.revision == 510


def slow_revision(sends: list[Send]) -> int:
    patch = messages.unpack_server_message(sends[-1].payload)
    assert isinstance(patch, Patch)
    return patch.revision


def test_an_unwritable_subscriber_is_sent_nothing_until_it_is_writable() -> None:
    node = fanout()
    subscribe(node, 1, [(A, 10), (B, 10)])
    node.set_writable(1, False, 0)
    for revision in range(11, 60):
        node.apply(revision, [change(revision, A, "x", revision, b"%d" % revision)], 0)
    node.tick(100 * S)
    assert node.take_sends() == []
    node.set_writable(1, True, 0)
    (patch,) = sent(node)
    assert (patch.scope, rows_of(patch)) == (A, {"x": b"59"})


def test_a_row_deleted_and_recreated_is_there_once() -> None:
    node = fanout()
    line = Connection([node], [A]).exchange()
    node.set_writable(line.number, False, 0)
    node.apply(11, [change(11, A, "x", 2, None), change(11, A, "y", 2, None)], 0)
    node.apply(12, [change(12, A, "x", 3, b"new"), change(12, A, "z", 1, b"z")], 0)
    node.apply(13, [change(13, A, "z", 2, None)], 0)
    node.set_writable(line.number, True, 0)
    line.exchange()
    assert line.values(A) == {"x": b"new"} and line.client.resyncs == 0
    node.apply(14, [change(14, A, "x", 4, None)], 0)
    assert line.exchange().values(A) == {}
    node.apply(15, [change(15, A, "x", 5, b"again")], 0)
    assert line.exchange().values(A) == {"x": b"again"}


def test_a_patch_in_chunks_is_applied_atomically() -> None:
    node = fanout(structs.replace(QUICK, chunk_bytes=200, window_bytes=500))
    line = Connection([node], [A]).exchange()
    node.apply(11, [change(11, A, f"n{number}", 1, b"v" * 90) for number in range(20)], 0)
    line.actions.clear()
    line.advance(S)
    applied = [action for action in line.actions if isinstance(action, Apply)]
    assert [len(action.rows) for action in applied] == [20]
    assert line.client.resyncs == 0 and node.status().acknowledged == ((11, 1),)


def test_changes_during_a_snapshot_follow_it() -> None:
    limits = structs.replace(QUICK, chunk_bytes=200, window_bytes=500)
    node = fanout(limits, size=150)
    node.apply(11, [change(11, A, f"n{number}", 1, b"v" * 90) for number in range(20)], 0)
    line = Connection([node], [A]).exchange()  # the window holds it up in the middle
    assert not line.client.is_ready and node.subscribers[line.number].pending
    node.apply(12, [change(12, A, "n3", 2, None), change(12, A, "new", 1, b"n")], 0)
    line.advance(S)
    assert line.client.is_ready and "n3" not in line.values(A) and line.values(A)["new"] == b"n"
    assert line.client.resyncs == 0
    assert node.status().acknowledged == ((12, 1),)


def test_live_deltas_do_not_wait_for_snapshots() -> None:
    node = fanout(FanoutLimits(snapshot_bytes_s=1_000, snapshot_burst=1), size=3_000)
    subscribe(node, 1, [(A, 10)])
    for number in range(2, 12):
        subscribe(node, number, [(A, 0), (B, 0)])
    node.take_sends()
    assert node.status().waiting == 10
    node.apply(11, [change(11, A, "x", 2, b"2")], 0)
    sent = [send.subscriber for send in node.take_sends()]
    assert sent == [1, 2]  # the second has A already, and waits for B


def test_a_log_trimmed_past_a_slow_subscriber_gives_a_snapshot() -> None:
    node = fanout(structs.replace(QUICK, log_changes=4))
    line = Connection([node], [A, B]).exchange().advance(S)
    node.set_writable(line.number, False, line.now)
    for revision in range(11, 31):
        node.apply(revision, [change(revision, A, "x", revision, b"%d" % revision)], line.now)
    assert node.status().acknowledged == ((10, 1),)
    line.actions.clear()
    node.set_writable(line.number, True, line.now)
    line.advance(S)
    assert [(one.scope, one.is_snapshot) for one in line.actions if isinstance(one, Apply)] == [
        (A, True)
    ]
    assert (
        line.values(A)["x"] == b"30"
        and line.client.resyncs == 0
        and node.status().acknowledged == ((30, 1),)
    )


# ---- scopes come and go --------------------------------------------------------------------------


def test_a_scope_is_added_without_a_gap_and_a_removed_one_gets_no_more_rows() -> None:
    node = fanout()
    line = Connection([node], [A]).exchange()
    line.client.update_scopes([B], [], 0)
    node.apply(
        11, [change(11, A, "x", 2, b"2"), change(11, B, "x", 2, b"2")], 0
    )  # before it has heard
    line.exchange()
    assert line.values(B) == {"x": b"2", "y": b"1"} and line.values(A)["x"] == b"2"
    line.actions.clear()
    node.apply(12, [change(12, A, "x", 3, b"3"), change(12, B, "x", 3, b"3")], 0)  # on its way
    line.client.update_scopes([], [A], 0)
    line.exchange()
    assert {action.scope for action in line.actions if isinstance(action, Apply)} == {B}
    assert A not in line.client.scopes and A not in node.subscribers[line.number].scopes


def test_messages_from_before_a_scope_was_removed_and_added_are_ignored() -> None:
    node = fanout()
    line = Connection([node], [A]).exchange()
    node.apply(11, [change(11, A, "x", 2, b"old")], 0)
    late = node.take_sends()
    line.client.update_scopes([], [A], 0)
    line.client.update_scopes([A], [], 0)
    table = line.client.scopes[A]
    for send in late:
        line.client.receive(send.generation, send.sequence, send.payload, 0)
    late_bookmark = pack(Bookmark(99, ((A, 1),)))
    line.client.receive(1, 0, late_bookmark, 0)
    assert not table.is_known and not table.rows and table.cursor == 0
    line.exchange()
    assert table.is_known and line.values(A)["x"] == b"old" and line.client.resyncs == 0
    # In one word it is the same.
    line.client.update_scopes([A], [A], 0)
    assert not line.client.scopes[A].is_known
    assert line.exchange().client.is_ready
    node.apply(12, [change(12, A, "x", 3, b"3")], 0)
    line.advance(S)
    assert line.values(A)["x"] == b"3" and node.status().acknowledged == ((12, 1),)


def test_many_scope_updates_in_flight_at_once() -> None:
    node = fanout()
    line = Connection([node], [A])
    for add, drop in (([B], [A]), ([A, "global"], [B]), ([B], ["global"]), ([], [A]), ([A], [])):
        line.client.update_scopes(add, drop, 0)
    line.exchange()
    line.client.update_scopes(["global"], [B], 0)
    line.client.update_scopes([B], ["global"], 0)
    line.exchange()
    assert set(line.tables) >= {A, B} and line.client.is_ready and set(line.client.scopes) == {A, B}
    assert set(node.subscribers[line.number].scopes) == {A, B}


def test_each_scope_update_ends_with_a_bookmark_once_all_was_sent() -> None:
    node = fanout()
    assert [type(word) for word in subscribe(node, 1, [(A, 0)])] == [Patch, Bookmark]
    node.receive(1, pack(UpdateScopes(2, ((B, 0),), ())), 0)
    assert [type(word) for word in sent(node)] == [Patch, Bookmark]
    node.receive(1, pack(UpdateScopes(3, (), (A,))), 0)
    (bookmark,) = sent(node)
    assert bookmark.digests == ((B, node.cache.scopes[B].digest),)


def test_invalid_scopes_are_rejected() -> None:
    one = Subscription("b", [A], SubscriptionOptions(lambda scope, row: "", LIMITS, Random(1)), 0)
    with pytest.raises(ValueError, match="no scope"):
        one.update_scopes(["service:"], [], 0)
    with pytest.raises(ValueError, match="more than 4096"):
        one.update_scopes([f"service:{number}" for number in range(4_096)], [], 0)
    assert set(one.scopes) == {A}


# ---- another node --------------------------------------------------------------------------------


def test_a_subscriber_ahead_of_the_node_is_parked_and_resumes() -> None:
    ahead, behind = fanout(), fanout()
    line = Connection([ahead, behind], [A, B]).exchange()
    ahead.apply(11, [change(11, A, "x", 2, b"2")], 0)
    line.exchange()
    line.cut()
    line.client.on_disconnected("node died", 0)
    line.advance(S)
    assert line.node is behind and line.state() == "parked"
    assert line.values(A)["x"] == b"2" and behind.status().parked == 1
    assert line.client.age_ns(line.now) == line.now > 0
    behind.apply(11, [change(11, A, "x", 2, b"2")], line.now)
    line.exchange()
    assert line.state() == "following" and line.client.age_ns(line.now) == 0
    behind.apply(12, [change(12, B, "y", 2, b"2")], line.now)
    line.advance(S)
    assert line.values(B)["y"] == b"2" and behind.status().acknowledged == ((12, 1),)
    assert behind.status().snapshots == 0


def test_a_parked_subscriber_is_sent_nothing_else() -> None:
    node = fanout()
    assert subscribe(node, 1, [(A, 11), (B, 10)]) == [ReplicaBehind(10)]
    node.receive(1, pack(Acknowledge(0, (Refusal(A, "upstream/x", 1, "why"),))), 0)
    node.set_writable(1, False, 0)
    node.set_writable(1, True, 0)
    node.receive(1, pack(UpdateScopes(2, (("global", 0),), (B,))), 0)
    assert sent(node) == [ReplicaBehind(10)] and node.status().refusals == 1
    node.tick(5 * S)
    assert sent(node) == [ReplicaBehind(10)] and node.status().acknowledged == ((0, 1),)
    node.apply(12, [change(12, A, "x", 2, b"2")], 5 * S)
    assert [(one.scope, one.is_snapshot) for one in sent(node) if isinstance(one, Patch)] == [
        (A, False),
        ("global", True),
    ]


def test_a_parked_subscription_times_out_and_tries_other_nodes() -> None:
    nodes = [fanout(), fanout(), fanout()]
    line = Connection(nodes, [A]).exchange()
    nodes[0].apply(11, [change(11, A, "x", 2, b"2")], 0)
    line.exchange()
    line.cut()
    line.client.on_disconnected("node died", 0)
    line.advance(10 * S)
    dials = [action.address_index % 3 for action in line.actions if isinstance(action, Dial)]
    assert dials[:4] == [0, 1, 2, 0] and line.node is nodes[0]
    assert line.values(A)["x"] == b"2"
    for node in nodes[1:]:
        assert not node.subscribers


def test_a_scope_never_goes_back_to_an_older_snapshot() -> None:
    line = Connection([fanout(revision=20)], [A]).exchange()
    line.client.scopes[A].rows.popitem()  # so it is asked for anew, without a cursor
    line.nodes.append(fanout(revision=15))
    line.cut()
    line.client.scopes[A].is_known = False
    line.client.on_disconnected("cut", 0)
    line.actions.clear()
    line.advance(300 * MS)
    assert any(
        isinstance(action, Disconnect) and "went back" in action.reason for action in line.actions
    )
    assert not any(isinstance(action, Apply) for action in line.actions)
    assert line.advance(20 * S).client.is_ready and line.client.scopes[A].cursor == 20


def test_an_interrupted_snapshot_alone_is_requested_again() -> None:
    node = fanout(structs.replace(QUICK, chunk_bytes=100), size=60)
    line = Connection([node], [A, B]).exchange(most=3)  # both parts of A, and one of B
    assert (
        line.client.scopes[A].is_known
        and not line.client.scopes[B].is_known
        and B not in line.tables
    )
    line.cut()
    line.client.on_disconnected("cut", 0)
    line.messages.clear()
    line.advance(S)
    assert line.messages[0].cursors == ((A, 10), (B, 0))
    assert line.client.is_ready and node.status().snapshots == 3 and line.client.resyncs == 0


def test_a_log_that_no_longer_covers_a_cursor_gives_a_snapshot_of_that_scope() -> None:
    node = fanout(structs.replace(QUICK, log_changes=5))
    for revision in range(11, 31):
        node.apply(revision, [change(revision, A, "x", revision, b"%d" % revision)], 0)
    node.apply(31, [change(31, B, "x", 2, b"2")], 0)
    found = subscribe(node, 1, [(A, 12), (B, 12), ("global", 12)])
    assert [
        (one.scope, one.is_snapshot, rows_of(one)) for one in found if isinstance(one, Patch)
    ] == [
        (B, False, {"x": b"2"}),
        (A, True, {"x": b"30", "y": b"1"}),
    ]
    status = node.status()
    assert status.resumes == 2 and status.snapshots == 1


def test_the_log_of_one_scope_and_of_all_is_bounded() -> None:
    node = fanout(structs.replace(QUICK, scope_changes=8, log_changes=20, log_bytes=2_000))
    for revision in range(11, 200):
        scope = A if revision % 10 else f"service:s{revision}"
        node.apply(revision, [change(revision, scope, "x", revision, b"." * (revision % 50))], 0)
        changes, size = node.cache.log_size
        assert changes <= 20 and size <= 2_000
        assert sum(len(entry.rows) for entry in node.cache.scopes[A].log) <= 8


def test_scopes_without_rows_and_watchers_are_discarded() -> None:
    node = fanout(structs.replace(QUICK, log_changes=3))
    subscribe(node, 1, [(f"service:none-{number}", 0) for number in range(100)])
    assert len(node.cache.scopes) == 103
    node.remove(1, 0)
    assert len(node.cache.scopes) == 3
    node.apply(11, [change(11, "service:short", "x", 1, b"1")], 0)
    node.apply(12, [change(12, "service:short", "x", 2, None)], 0)
    for revision in range(13, 20):
        node.apply(revision, [change(revision, A, "x", revision, b"1")], 0)
    assert "service:short" not in node.cache.scopes
    # Who saw it there is not left with it.
    patch = subscribe(node, 2, [("service:short", 11)])[0]
    assert patch.is_snapshot and patch.rows == ()


def load(node: Fanout, revision: int, base: int, changes: list[FeedChange], now: int = 0) -> None:
    """A snapshot that holds these changes, of which it tells those past `base`."""
    rows = {
        f"feed/{scope.name}/{row.key}": (row.version, row.value)
        for scope in node.cache.scopes.values()
        for row in scope.rows.values()
    }
    for one in changes:
        if one.value is None:
            rows.pop(one.key, None)
        else:
            rows[one.key] = (one.version, one.value)
    node.load(
        StoreSnapshot(
            revision,
            [(key, version, value or b"") for key, (version, value) in rows.items()],
            base,
            changes,
        ),
        now,
    )


def test_a_snapshot_of_the_store_is_installed_under_live_subscribers() -> None:
    node = fanout()
    node.apply(
        11, [change(11, "service:other", "x", 1, b"1")], 0
    )  # its log goes, and its bytes with it
    line = Connection([node], [A, B, "global"]).exchange()
    line.advance(S)
    line.actions.clear()
    load(node, 30, 20, [change(15, A, "x", 2, b"unseen"), change(25, B, "y", 2, b"seen")])
    line.advance(S)
    applied = {action.scope: action for action in line.actions if isinstance(action, Apply)}
    assert applied[A].is_snapshot and applied[B].is_snapshot and "global" not in applied
    assert line.values(A)["x"] == b"unseen" and line.values(B)["y"] == b"seen"
    assert node.cache.log_size == (1, len("upstream/y") + len(b"seen") + 24)
    node.apply(31, [change(31, "global", "x", 2, b"2")], 0)
    line.advance(S)
    assert line.values("global")["x"] == b"2" and line.client.resyncs == 0
    assert node.status().acknowledged == ((31, 1),) and node.status().snapshots == 5


def test_a_store_snapshot_that_continues_the_log_is_sent_as_deltas() -> None:
    node = fanout()
    line = Connection([node], [A, B]).exchange()
    line.actions.clear()
    load(node, 30, 5, [change(8, A, "x", 1, b"1"), change(15, A, "x", 2, b"2")])
    line.exchange()
    assert [(one.scope, one.is_snapshot) for one in line.actions if isinstance(one, Apply)] == [
        (A, False)
    ]
    with pytest.raises(ValueError, match="revision 12"):
        node.load(StoreSnapshot(12, [], 1, []), 0)
    with pytest.raises(ValueError, match="comes after"):
        node.apply(30, [], 0)


def test_a_restored_store_is_read_again_and_old_rows_stay_until_then() -> None:
    line = Connection([fanout(revision=50)], [A, B]).exchange()
    line.cut()
    line.nodes = [
        fanout(structs.replace(QUICK, snapshot_burst=1, snapshot_bytes_s=60), 12, "restored")
    ]
    line.nodes[0].apply(13, [change(13, A, "x", 2, b"back")], 0)
    line.client.on_disconnected("cut", 0)
    line.messages.clear()
    line.advance(300 * MS)
    assert line.messages[0] == Subscribe("b1", "restored", ((A, 0), (B, 0)))
    assert line.values(A)["x"] == b"back" and line.values(B) == {"x": b"1", "y": b"1"}
    assert not line.client.is_ready
    line.advance(10 * S)
    assert (
        line.client.is_ready
        and line.client.scopes[B].cursor == 13
        and line.client.epoch == "restored"
    )
    # A cursor of another epoch is none.
    assert subscribe(fanout(), 9, [(A, 10)], epoch="other")[0].is_snapshot


# ---- many come at once ---------------------------------------------------------------------------


def test_snapshots_are_rate_limited_and_their_queue_is_bounded() -> None:
    limits = FanoutLimits(snapshot_bytes_s=100_000, snapshot_burst=20_000, waiting_most=10)
    node = fanout(limits, size=2_000)
    subscribe(node, 0, [(A, 10)])  # a live one
    waits = []
    for number in range(1, 321):
        waits += [
            one.after_ms
            for one in subscribe(node, number, [(A, 0), (B, 0)])
            if isinstance(one, RetryLater)
        ]
    status = node.status()
    assert status.waiting == 10 and status.later == len(waits) == 320 - status.subscribers + 1
    # Not before those in the queue are served; and they don't come back together: no half second
    # gets more than twice its share.
    spread = Counter(wait // 500 for wait in waits)
    assert 700 < waits[0] < 1_000 and min(waits) >= waits[0]
    assert max(waits) <= limits.later_most_ms and len(spread) > 10
    assert max(spread.values()) < 2 * len(waits) / (max(waits) / 500)
    # Who needs no snapshot is served at once, and told when there is something.
    assert isinstance(subscribe(node, 999, [(A, 10), (B, 10)])[0], Bookmark)
    node.apply(11, [change(11, B, "x", 2, b"2")], 0)
    sends = node.take_sends()
    assert {send.subscriber for send in sends} == {1, 2, 999} and len(
        {id(send.payload) for send in sends}
    ) == 1
    # As many bytes as may go, and not more.
    sent = now = 0
    while node.status().waiting:
        now += 10 * MS
        node.tick(now)
        sent += sum(len(send.payload) for send in acknowledged_sends(node, now))
        assert sent <= 100_000 * now // S + 5_000
    assert (
        now < sent * S // 100_000 + 50 * MS
        and node.status().snapshots == 2 * status.subscribers - 2
    )


def test_a_subscriber_blocked_in_its_snapshot_leaves_the_queue() -> None:
    node = fanout(
        structs.replace(QUICK, window_bytes=300, chunk_bytes=150, waiting_most=2), size=140
    )
    for number in range(1, 6):  # none of these acknowledges anything
        assert not any(
            isinstance(one, RetryLater) for one in subscribe(node, number, [(A, 0), (B, 0)])
        )
        node.set_writable(number, False, 0)
    line = Connection([node], [A, B]).exchange()
    assert line.advance(S).client.is_ready


def test_nine_in_ten_of_many_that_start_at_once_are_ready_within_ten_seconds() -> None:
    limits = FanoutLimits(snapshot_bytes_s=2 << 20, snapshot_burst=1 << 18, waiting_most=16)
    node = fanout(limits, size=4_000)
    lines = [
        Connection([node], [A, B, "global"], number=number, seed=number) for number in range(1, 361)
    ]
    ready: dict[int, int] = {}
    for now in range(0, 12 * S, 20 * MS):
        node.tick(now)
        for line in lines:
            line.now = now
            if line.client.wake_ns <= now:
                line.client.tick(now)
            for action in line.client.take_actions():
                line.act(action)
        by_number = {line.number: line for line in lines}
        for send in node.take_sends():
            line = by_number[send.subscriber]
            line.client.receive(send.generation, send.sequence, send.payload, now)
        for line in lines:
            if line.client.is_ready:
                ready.setdefault(line.number // 1_000, now)
        assert node.status().waiting <= 16 + 1
    assert len(ready) == 360
    assert sorted(ready.values())[324] < 10 * S
    assert node.status().later > 300


def test_320_subscribers_fail_over_without_a_snapshot() -> None:
    """All rows that a subscriber knows are of a few revisions ago; the others' logs tell the
    rest.
    """
    limits = FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1, waiting_most=1)
    dead, others = fanout(), [fanout(limits) for _ in range(8)]
    lines = [
        Connection(
            [dead, others[number % 8]], [A, B, "global"], number=number, seed=number
        ).exchange()
        for number in range(1, 321)
    ]
    for revision in (11, 12):
        for node in (dead, *others):
            node.apply(revision, [change(revision, B, "x", revision, b"1")], 0)
    for line in lines:
        line.node = None
        line.client.on_disconnected("reset", 0)
    dead.take_sends()
    sent = [node.status().sent_bytes for node in others]
    for line in lines:
        line.advance(S)
        assert (
            line.client.is_ready
            and line.client.age_ns(line.now) < S
            and line.values(B)["x"] == b"1"
        )
    for node, before in zip(others, sent, strict=True):
        status = node.status()
        assert status.acknowledged == ((12, 40),) and status.later == status.snapshots == 0
        assert status.encoded == 1 and status.sent_bytes - before < 40 * 400


def test_after_a_long_partition_each_scope_is_encoded_once_for_all() -> None:
    node = fanout()
    for number in range(200):
        subscribe(node, number, [(A, 10), (B, 10)])
    for number in range(200):
        node.remove(number, 0)
    for revision in range(11, 2_011):
        scope = A if revision % 2 else "global"
        node.apply(revision, [change(revision, scope, f"n{revision % 50}", revision, b"1")], 0)
    encoded = node.status().encoded
    for number in range(200):
        patch, bookmark = subscribe(node, number, [(A, 10), (B, 10)])
        assert len(patch.rows) == 25 and patch.after == 10 and bookmark.revision == 2_010
    assert node.status().encoded == encoded + 1 and node.status().snapshots == 0


def test_a_token_bucket_can_be_overdrawn() -> None:
    bucket = TokenBucket(1_000, 100, 0)
    assert bucket.is_ready(0)
    bucket.take(1_100, 0)
    assert not bucket.is_ready(0) and not bucket.is_ready(900 * MS)
    at = bucket.ready_at(0)
    assert S <= at <= 1_002 * MS and bucket.is_ready(at)
    bucket.take(1, at - S)  # a clock that goes back gives nothing
    assert bucket.ready_at(at) <= at + S


def test_retry_slots_are_as_far_apart_as_serving_takes() -> None:
    slots = RetrySlots(1_000_000, 10, 2_000)
    assert [slots.draw(500_000, 100_000, 0) for _ in range(3)] == [500, 600, 700]
    assert slots.draw(0, 100_000, 5 * S) == 10
    waits = [slots.draw(9_000_000, 100_000, 5 * S) for _ in range(100)]
    assert min(waits) >= 1_000 and max(waits) <= 2_000 and len(set(waits)) > 90


def test_a_rejected_subscriber_may_send_more_before_it_knows() -> None:
    node = fanout(FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1, waiting_most=1))
    subscribe(node, 1, [(A, 0), (B, 0)])
    line = Connection([node], [A], number=2)
    line.act(line.client.take_actions()[0])  # dials
    line.act(line.client.take_actions()[0])  # subscribes, and is put off
    line.client.update_scopes([B], [], 0)
    assert isinstance(line.messages[0], Subscribe)
    line.exchange()
    assert line.messages[1] == UpdateScopes(2, ((B, 0),), ()) and line.node is None
    assert isinstance(line.actions[-1], Disconnect) and node.status().subscribers == 1
    with pytest.raises(FeedProtocolError):
        node.receive(line.number, pack(Acknowledge(0)), 0)


# ---- what is lost is found -----------------------------------------------------------------------


@pytest.mark.parametrize("how", ["lost", "doubled", "other"])
@pytest.mark.parametrize("when", ["patch", "bookmark", "audit"])
def test_a_digest_finds_a_corrupt_row_and_resyncs_just_that_scope(how: str, when: str) -> None:
    limits = structs.replace(LIMITS, audit_rows=1) if when == "audit" else LIMITS
    node = fanout()
    line = Connection([node], [A, B], limits=limits).exchange()
    table = line.client.scopes[A]
    row = table.rows["upstream/x"]
    if how == "lost":
        del table.rows["upstream/x"]
    elif how == "doubled":
        table.rows["upstream/xx"] = structs.replace(row, key="upstream/xx")
    else:
        table.rows["upstream/x"] = structs.replace(row, value=b"?")
    line.messages.clear()
    if when == "patch":
        node.apply(11, [change(11, A, "y", 2, b"2")], 0)
        line.exchange()
    else:
        line.advance(20 * S)
    rescopes = [word for word in line.messages if isinstance(word, UpdateScopes)]
    assert rescopes == [UpdateScopes(2, ((A, 0),), ())]
    assert line.client.resyncs == 1 and line.client.is_ready and node.status().snapshots == 3
    assert table.rows == node.cache.scopes[A].rows and line.values(A) == {
        "x": b"1",
        "y": b"2" if when == "patch" else b"1",
    }


def test_a_large_scope_is_audited_in_steps() -> None:
    node = fanout()
    node.apply(11, [change(11, A, f"n{number}", 1, b"1") for number in range(100)], 0)
    line = Connection(
        [node], [A], limits=structs.replace(LIMITS, audit_rows=10, audit_ns=20 * MS)
    ).exchange()
    line.advance(S)  # the first look finds nothing
    line.client.scopes[A].rows.popitem()
    line.messages.clear()
    line.now = 5 * S
    node.tick(line.now)
    line.exchange()  # hears the digest, and begins
    looks = 0
    while not line.messages:
        assert line.client.wake_ns == line.now + (20 * MS if looks else 0)
        line.now = line.client.wake_ns
        line.client.tick(line.now)
        line.exchange()
        looks += 1
    assert (
        looks == 11 and line.messages[0] == UpdateScopes(2, ((A, 0),), ()) and line.client.is_ready
    )
    # A change under way ends it; the next bookmark begins it again.
    line.client.scopes[A].rows.popitem()
    for revision in range(12, 40):
        line.advance(S // 2)
        node.apply(revision, [change(revision, A, "n0", revision, b"2")], line.now)
    line.advance(20 * S)
    assert line.client.resyncs == 2 and line.client.is_ready


def test_a_node_whose_snapshots_are_wrong_is_left() -> None:
    bad, good = fanout(), fanout()
    bad.cache.scopes[A].digest ^= 1
    line = Connection([bad, good], [A])
    line.exchange()
    assert line.node is None and A not in line.tables and not bad.subscribers
    line.advance(S)
    assert line.node is good and line.client.is_ready


def test_a_digest_does_not_depend_on_order_and_sees_duplicates() -> None:
    rows = [Row(f"upstream/{number}", number, b"v") for number in range(9)]
    assert digest.of_rows(rows) == digest.of_rows(reversed(rows))
    assert digest.of_rows([*rows, rows[0], rows[0]]) != digest.of_rows(rows)
    moved = 0
    for row in rows:
        moved = digest.replaced(moved, None, row)
    assert moved == digest.of_rows(rows)
    for row in rows:
        moved = digest.replaced(moved, row, Row(row.key, row.version + 1, None))
    assert moved == 0


# ---- a row that can't be taken -------------------------------------------------------------------


def test_the_last_accepted_version_of_a_refused_row_stays_and_the_refusal_is_reported() -> None:
    node = fanout()
    line = Connection([node], [A]).exchange()
    node.apply(
        11,
        [change(11, A, "x", 2, b"!"), change(11, A, "y", 2, b"2"), change(11, A, "z", 1, b"!")],
        0,
    )
    line.advance(S)
    assert line.values(A) == {"x": b"1", "y": b"2"}
    refused = (
        Refusal(A, "upstream/x", 2, "not known here"),
        Refusal(A, "upstream/z", 1, "not known here"),
    )
    assert line.messages[-1].refused == refused
    status = node.status()
    assert status.acknowledged == ((11, 1),) and status.refusals == 2
    assert [(one.name, one.refusal) for one in status.refused] == [("b1", one) for one in refused]
    # Refused again: still the last good one. A whole scope has it too.
    node.apply(12, [change(12, A, "x", 3, b"!!")], 0)
    line.exchange()
    line.client.scopes[A].rows.pop("upstream/y")
    line.advance(20 * S)
    assert line.client.resyncs == 1 and line.values(A) == {"x": b"1", "y": b"2"}
    assert [row.value for row in line.client.scopes[A].rows_in_force()] == [b"1", b"2"]
    # Withdrawn by what can be taken, and by a deletion.
    node.apply(13, [change(13, A, "x", 4, b"4")], line.now)
    line.advance(S)
    assert line.values(A)["x"] == b"4" and node.status().refusals == 1
    node.apply(14, [change(14, A, "z", 2, None)], line.now)
    line.advance(S)
    assert node.status().refusals == 0 and line.values(A) == {"x": b"4", "y": b"2"}


def test_refusals_go_with_their_scope_and_are_reported_to_the_next_node() -> None:
    nodes = [fanout(), fanout()]
    for node in nodes:
        node.apply(11, [change(11, A, f"r{number}", 1, b"!") for number in range(30)], 0)
    line = Connection(nodes, [A, B]).exchange().advance(S)
    assert nodes[0].status().refusals == 16 and line.tables[A].keys() == {
        "upstream/x",
        "upstream/y",
    }
    line.cut()
    line.client.on_disconnected("cut", line.now)
    line.advance(S)
    assert line.node is nodes[1] and nodes[1].status().refusals == 16
    line.client.update_scopes([], [A], line.now)
    line.advance(S)
    assert nodes[1].status().refusals == 0


# ---- how far they have come ----------------------------------------------------------------------


def test_the_status_counts_what_is_acknowledged_and_names_who_lags() -> None:
    node = fanout()
    for number in range(40):
        subscribe(node, number, [(A, 10), (B, 10)])
    assert node.status().acknowledged == ((10, 40),)
    node.apply(11, [change(11, A, "x", 2, b"2")], 5 * S)
    node.apply(12, [change(12, B, "x", 2, b"2")], 6 * S)
    assert node.status().acknowledged == ((10, 40),)  # sent is not in force
    for number in range(40):
        if number != 7:
            node.receive(number, pack(Acknowledge(2 if number > 10 else 1)), 7 * S)
    status = node.status()
    assert status.acknowledged == ((10, 1), (11, 10), (12, 29))
    assert [(lag.name, lag.revision, lag.since_ms) for lag in status.laggards[:2]] == [
        ("b7", 10, 2_000),
        ("b0", 11, 1_000),
    ]
    assert len(status.laggards) == 11 and status.sent_messages == 40 + 80  # bookmarks, patches
    subscribe(node, 40, [(A, 99), (B, 5)], now=7 * S)
    node.tick(10 * S)
    assert [
        (lag.revision, lag.since_ms) for lag in node.status().laggards if lag.name == "b40"
    ] == [(5, 3_000)]
    assert node.status().parked == 1
    node.remove(40, 10 * S)
    node.apply(13, [change(13, "global", "x", 2, b"2")], 8 * S)  # which none of them watches
    assert node.status().acknowledged == ((10, 1), (11, 10), (13, 29))
    node.apply(14, [change(14, A, "x", 3, b"3")], 9 * S)
    assert node.status().acknowledged == ((10, 1), (11, 10), (13, 29))


def test_patches_in_flight_of_a_removed_scope_do_not_count_as_lag() -> None:
    node = fanout()
    subscribe(node, 1, [(A, 10), (B, 10)])
    node.apply(11, [change(11, A, "x", 2, b"2")], 0)
    node.apply(12, [change(12, B, "x", 2, b"2")], 0)
    node.receive(1, pack(UpdateScopes(2, (), (A,))), 0)
    assert node.status().acknowledged == ((11, 1),)
    node.receive(1, pack(UpdateScopes(3, ((B, 12),), ())), 0)
    assert node.status().acknowledged == ((12, 1),)


def test_a_bookmark_while_more_is_pending_does_not_make_it_current() -> None:
    node = fanout(FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1))
    line = Connection([node], [A]).exchange()
    assert line.client.age_ns(line.now) == 0
    line.client.update_scopes([B], [], 0)
    line.advance(30 * S)
    assert not line.client.is_ready and line.client.age_ns(line.now) > 20 * S and line.node is node


def test_the_status_is_json() -> None:
    node = fanout()
    line = Connection([node], [A]).exchange()
    node.apply(11, [change(11, A, "x", 2, b"!")], 0)
    line.advance(S)
    status = node.status()
    assert status.refusals == 1 and json.decode(json.encode(status), type=FeedStatus) == status


def test_a_subscriber_that_was_sent_nothing_has_acknowledged_nothing() -> None:
    node = fanout(FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1))
    subscribe(node, 1, [(A, 0)])
    subscribe(node, 2, [(B, 0), (A, 10)])
    assert node.status().acknowledged == ((0, 2),)
    assert {lag.name for lag in node.status().laggards} == {"b1", "b2"}


@pytest.mark.parametrize(
    ("words", "why"),
    [
        ([b"\xc1"], "invalid message"),
        ([pack(Bookmark(1, ()))], "invalid message"),
        ([pack(Acknowledge(0))], "begins with Subscribe"),
        ([pack(Subscribe("b", "e", ((A, 0),)))] * 2, "second subscription"),
        ([pack(Subscribe("", "e", ()))], "name"),
        ([pack(Subscribe("b", "e", ((A, 0), (A, 0))))], "named twice"),
        ([pack(Subscribe("b", "e", ((A, -1),)))], "cursor"),
        ([pack(Subscribe("b", "e", (("zone:a", 0),)))], "no scope"),
        ([pack(Subscribe("b", "e", tuple((f"service:{at}", 0) for at in range(4_097))))], "4096"),
        ([pack(Subscribe("b", "e", ())), pack(Acknowledge(1))], "acknowledged 1 of 0"),
        (
            [pack(Subscribe("b", "e", ())), pack(Acknowledge(0, (Refusal(A, "x", 1, ""),) * 17))],
            "over 16 refusals",
        ),
        (
            [
                pack(Subscribe("b", "e", ())),
                pack(Acknowledge(0, (Refusal(A, "x" * 2_000, 1, ""),))),
            ],
            "over 2000 char",
        ),
        ([pack(Subscribe("b", "e", ())), pack(UpdateScopes(3, (), ()))], "generation 3 after 1"),
        (
            [
                pack(Subscribe("b", "e", tuple((f"service:{at}", 0) for at in range(4_096)))),
                pack(
                    UpdateScopes(
                        2,
                        tuple((f"service:{at}", 0) for at in range(4_097)),
                        tuple(f"service:{at}" for at in range(4_096)),
                    )
                ),
            ],
            "more than 4096",
        ),
        ([pack(Subscribe("b", "e", ())), pack(UpdateScopes(2, (), (A,)))], "not there"),
        (
            [pack(Subscribe("b", "e", ())), pack(UpdateScopes(2, ((A, 11),), ()))],
            "past revision 10",
        ),
    ],
)
def test_a_protocol_error_closes_its_connection_and_nothing_else(
    words: list[bytes], why: str
) -> None:
    node = fanout()
    subscribe(node, 1, [(A, 10)])
    for word in words[:-1]:
        node.receive(2, word, 0)
    with pytest.raises(FeedProtocolError, match=why):
        node.receive(2, words[-1], 0)
    node.remove(2, 0)
    node.take_sends()
    node.apply(11, [change(11, A, "x", 2, b"2")], 0)
    assert [send.subscriber for send in node.take_sends()] == [1] and node.status().subscribers == 1


# ---- who is idle, and who is silent --------------------------------------------------------------


def test_an_idle_subscriber_gets_bookmarks_with_rotating_digests() -> None:
    node = fanout(structs.replace(QUICK, bookmark_ns=10 * S, bookmark_scopes=2))
    subscribe(node, 1, [(A, 10), (B, 10), ("global", 10)])
    assert node.wake_ns == 10 * S
    node.tick(10 * S - 1)
    assert node.take_sends() == []
    named = []
    for turn in (1, 2, 3):
        node.apply(10 + turn, [], turn * 10 * S)
        node.tick(turn * 10 * S)
        (bookmark,) = sent(node)
        assert bookmark.revision == 10 + turn and len(bookmark.digests) == 2
        named += [scope for scope, _ in bookmark.digests]
    assert Counter(named) == {A: 2, B: 2, "global": 2}
    node.remove(1, 0)
    assert node.wake_ns is None


def test_a_bookmark_moves_cursors_on_so_that_a_short_log_covers_them() -> None:
    nodes = [fanout(structs.replace(QUICK, log_changes=3)) for _ in range(2)]
    line = Connection(nodes, [A, B]).exchange()
    for revision in range(11, 31):
        for node in nodes:
            node.apply(revision, [change(revision, "global", "x", revision, b"1")], line.now)
    line.advance(20 * S)
    line.cut()
    line.client.on_disconnected("cut", line.now)
    line.messages.clear()
    line.advance(S)
    assert line.messages[0].cursors == ((A, 30), (B, 30)) and nodes[1].status().snapshots == 0


def test_a_node_that_is_silent_is_left_for_the_next() -> None:
    node = fanout()
    line = Connection([node, fanout()], [A]).exchange()
    sub = line.client
    assert sub.state is SubscriptionState.FOLLOWING
    for now in range(0, 60 * S, S):  # the link is dead
        sub.tick(now)
    assert sub.take_actions()[-2:] != [] and sub.disconnect_reason in (
        "the node is silent",
        "the connection took too long",
    )
    assert sub.age_ns(60 * S) == 60 * S


def test_dials_rotate_and_back_off() -> None:
    one = Subscription("b", [A], SubscriptionOptions(lambda scope, row: "", LIMITS, Random(7)), 0)
    dials: list[tuple[int, int]] = []
    now = 0
    while len(dials) < 40:
        for action in one.take_actions():
            if isinstance(action, Dial):
                dials.append((now, action.address_index))
                one.on_disconnected("refused", now)
        now = one.wake_ns
        one.tick(now)
    assert [turn for _, turn in dials] == list(range(40))
    gaps = [later - earlier for (earlier, _), (later, _) in zip(dials, dials[1:], strict=False)]
    assert max(gaps[:2]) <= LIMITS.backoff_ns * 2 and max(gaps) <= LIMITS.backoff_most_ns + 1
    assert sum(gaps[-10:]) > sum(gaps[:10])


def test_retry_later_is_obeyed_at_the_same_node_but_not_for_ever() -> None:
    one = Subscription("b", [A], SubscriptionOptions(lambda scope, row: "", LIMITS, Random(7)), 0)
    now, turns = 0, []
    for _ in range(7):
        (dial,) = one.take_actions()
        assert isinstance(dial, Dial)
        turns.append(dial.address_index)
        one.on_connected("e", now)
        one.receive(1, 0, pack(RetryLater(700)), now)
        assert isinstance(one.take_actions()[-1], Disconnect) and one.wake_ns == now + 700 * MS
        now = one.wake_ns
        one.tick(now)
    assert turns == [0] * 6 + [1]
    one.on_connected("e", now)
    one.receive(1, 0, pack(RetryLater(1 << 40)), now)
    assert one.wake_ns == now + LIMITS.later_ns


@pytest.mark.parametrize(
    ("generation", "sequence", "word", "why"),
    [
        (1, 1, b"\xc1", "invalid message"),
        (1, 3, pack(Patch(A, 0, 10, True, True, 0, ())), "patch 3 after 0"),
        (2, 1, pack(Patch(A, 0, 10, True, True, 0, ())), "generation 2 of 1"),
        (0, 0, pack(ReplicaBehind(1)), "generation 0 of 1"),
    ],
)
def test_a_node_that_violates_the_protocol_is_left(
    generation: int, sequence: int, word: bytes, why: str
) -> None:
    one = Subscription("b", [A], SubscriptionOptions(lambda scope, row: "", LIMITS, Random(7)), 0)
    one.take_actions()
    one.on_connected("e", 0)
    one.take_actions()
    one.receive(generation, sequence, word, 0)
    last = one.take_actions()[-1]
    assert (
        isinstance(last, Disconnect)
        and why in last.reason
        and one.state is SubscriptionState.BACKING_OFF
    )
    one.receive(
        1, 1, pack(Patch(A, 0, 10, True, True, 0, ())), 0
    )  # what comes after that is nothing
    assert one.take_actions() == [] and not one.is_ready


def test_acknowledgements_are_coalesced() -> None:
    node = fanout()
    line = Connection([node], [A]).exchange()
    line.advance(S)
    line.messages.clear()
    for revision in range(11, 61):
        node.apply(revision, [change(revision, A, "x", revision, b"%d" % revision)], line.now)
        line.exchange()
    line.advance(S)
    assert line.messages == [Acknowledge(51)] and node.status().acknowledged == ((60, 1),)


def test_a_gap_is_not_skipped() -> None:
    line = Connection([fanout()], [A]).exchange()
    word = pack(Patch(A, 12, 13, False, True, 0, (Row("upstream/x", 9, b"9"),)))
    line.client.receive(1, 2, word, 0)
    assert line.client.resyncs == 1 and line.client.scopes[A].rows["upstream/x"].value == b"1"
    # An old delta, of what is known already, is nothing.
    line = Connection([fanout()], [A]).exchange()
    line.client.receive(
        1, 2, pack(Patch(A, 3, 9, False, True, 0, (Row("upstream/x", 9, b"9"),))), 0
    )
    assert line.client.resyncs == 0 and line.client.scopes[A].rows["upstream/x"].value == b"1"
