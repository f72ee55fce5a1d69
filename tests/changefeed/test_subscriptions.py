"""Fan-out and subscription of the changefeed, connected directly, without sockets."""

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
SECOND_NS = 1_000_000_000
MILLISECOND_NS = 1_000_000
UNTHROTTLED_LIMITS = FanoutLimits(snapshot_bytes_s=1 << 40, snapshot_burst=1 << 40)
SUBSCRIPTION_LIMITS = SubscriptionLimits(ack_ns=50 * MILLISECOND_NS)
SCOPE_A, SCOPE_B = "service:a", "service:b"


def feed_change(
    revision: int, scope: str, name: str, version: int, value: bytes | None
) -> FeedChange:
    """Return a change of one upstream row; the value None deletes the row."""
    return FeedChange(revision, f"feed/{scope}/upstream/{name}", version, value)


def build_fanout(
    limits: FanoutLimits = UNTHROTTLED_LIMITS, revision: int = 10, epoch: str = "e", size: int = 1
) -> Fanout:
    """Return a node whose scopes A, B and global have rows x and y at version 1.

    The store's revision is 10 by default.
    """
    new_node = Fanout(epoch, limits, 0)
    rows = [
        (f"feed/{scope}/upstream/{name}", 1, b"1" * size)
        for scope in (SCOPE_A, SCOPE_B, "global")
        for name in "xy"
    ]
    new_node.load(StoreSnapshot(revision, rows, revision, []), 0)
    return new_node


def subscribe(
    node: Fanout, number: int, scopes: Iterable[tuple[str, int]], epoch: str = "e", now: int = 0
) -> list[Any]:
    """Send a Subscribe message on a connection; return the messages the node answers with."""
    node.receive(number, pack(Subscribe(f"b{number}", epoch, tuple(scopes))), now)
    return sent(node, number)


def sent(node: Fanout, number: int | None = None) -> list[Any]:
    """Take the node's messages to all subscribers, or to one, and return them decoded."""
    return [
        messages.unpack_server_message(send.payload)
        for send in node.take_sends()
        if number in (None, send.subscriber)
    ]


def acknowledge_sends(node: Fanout, sends: list[Send], now: int = 0) -> None:
    """Acknowledge the last patch in `sends` for each subscriber."""
    for number, sequence in {
        send.subscriber: send.sequence for send in sends if send.sequence
    }.items():
        node.receive(number, pack(Acknowledge(sequence)), now)


def take_and_acknowledge_sends(node: Fanout, now: int = 0) -> list[Send]:
    """Take and acknowledge messages until the node sends no more; return all of them."""
    sends: list[Send] = []
    while new_sends := node.take_sends():
        sends += new_sends
        acknowledge_sends(node, new_sends, now)
    return sends


def values_by_name(patch: Patch) -> dict[str, bytes | None]:
    """Return the values of a patch by row name; None for a deleted row."""
    return {row.key.split("/")[1]: row.value for row in patch.rows}


class Connection:
    """A subscription connected to the nodes that it dials, without delay.

    Attributes:
        tables: The applied rows by scope.
        messages: The decoded messages sent by the subscription.
        actions: All actions performed.
    """

    def __init__(
        self,
        nodes: list[Fanout],
        scopes: Iterable[str],
        refused_prefix: bytes = b"!",
        limits: SubscriptionLimits = SUBSCRIPTION_LIMITS,
        seed: int = 1,
        now: int = 0,
        number: int = 1,
    ) -> None:
        self.nodes, self.now, self.number = nodes, now, number * 1_000
        self.refused_prefix = refused_prefix
        self.tables: dict[str, dict[str, Row]] = {}
        self.messages: list[Any] = []
        self.actions: list[Action] = []
        self.node: Fanout | None = None
        self.client = Subscription(
            f"b{number}",
            list(scopes),
            SubscriptionOptions(self.check_row, limits, Random(seed)),
            now,
        )

    def check_row(self, scope: str, row: Row) -> str:
        """Refuse rows whose value begins with `refused_prefix`."""
        return (
            "not known here"
            if row.value is not None and row.value.startswith(self.refused_prefix)
            else ""
        )

    def perform(self, action: Action) -> None:
        """Carry out one action of the subscription."""
        self.actions.append(action)
        if isinstance(action, Dial):
            self.number += 1
            self.node = self.nodes[action.address_index % len(self.nodes)]
            self.client.on_connected(self.node.epoch, self.now)
        elif isinstance(action, Disconnect):
            self.close_connection()
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

    def close_connection(self) -> None:
        """Remove the connection at the node without notifying the subscription."""
        if self.node is not None:
            self.node.remove(self.number, self.now)
            self.node = None

    def exchange_messages(self, max_messages: int = 1_000) -> Connection:
        """Pass messages until neither side sends any, or `max_messages` came from the node."""
        while True:
            actions = self.client.take_actions()
            for action in actions:
                self.perform(action)
            sends = self.node.take_sends() if self.node is not None else []
            for send in sends:
                if send.subscriber == self.number:
                    if not max_messages:
                        return self
                    max_messages -= 1
                    self.client.receive(send.generation, send.sequence, send.payload, self.now)
            if not actions and not sends:
                return self

    def advance(self, ns: int) -> Connection:
        """Advance the clock by `ns`, running all timers that become due."""
        end_ns = self.now + ns
        self.exchange_messages()
        while True:
            wake_times = [self.client.wake_ns]
            if self.node is not None and self.node.wake_ns:
                wake_times.append(self.node.wake_ns)
            self.now = min(
                end_ns,
                max(self.now, *wake_times)
                if len(wake_times) == 1
                else max(self.now, min(wake_times)),
            )
            if self.node is not None:
                self.node.tick(self.now)
            self.client.tick(self.now)
            self.exchange_messages()
            if self.now >= end_ns:
                return self

    def state(self) -> str:
        """Return the value of the subscription's state."""
        return self.client.state.value

    def values(self, scope: str) -> dict[str, bytes | None]:
        """Return the applied values of a scope by row name."""
        return {key.split("/")[1]: row.value for key, row in self.tables[scope].items()}


# ---- Fan-out of changes --------------------------------------------------------------------------


def test_a_change_is_encoded_once_per_scope_not_once_per_watcher() -> None:
    """A change to two scopes with 300 watchers costs two encodings, shared by all watchers."""
    node = build_fanout()
    for number in range(300):
        subscribe(node, number, [(SCOPE_A, 10), (SCOPE_B, 10)])
    before = node.status().encoded
    node.apply(
        11, [feed_change(11, SCOPE_A, "x", 2, b"2"), feed_change(11, SCOPE_B, "x", 2, b"2")], 0
    )
    sends = node.take_sends()
    assert len(sends) == 600 and len({id(send.payload) for send in sends}) == 2
    assert node.status().encoded == before + 2
    # Subscribers that reconnect with the same cursor share the encoded delta too.
    for number in range(300, 400):
        subscribe(node, number, [(SCOPE_A, 10)])
    assert node.status().encoded == before + 2


def test_snapshots_are_encoded_once_for_all_subscribers() -> None:
    """Fifty subscribers without a cursor share one encoded snapshot."""
    node = build_fanout()
    for number in range(50):
        subscribe(node, number, [(SCOPE_A, 0)])
    assert node.status().encoded == 1 and node.status().snapshots == 50


def test_a_write_to_two_scopes_is_sent_as_one_complete_patch_per_scope() -> None:
    """A write that interleaves rows of two scopes must not be split into partial patches."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A, SCOPE_B]).exchange_messages()
    node.apply(
        11,
        [feed_change(11, scope, name, 2, b"2") for name in "xy" for scope in (SCOPE_A, SCOPE_B)],
        0,
    )
    patches = [messages.unpack_server_message(send.payload) for send in node.take_sends()]
    assert [
        (patch.scope, values_by_name(patch)) for patch in patches if isinstance(patch, Patch)
    ] == [
        (SCOPE_A, {"x": b"2", "y": b"2"}),
        (SCOPE_B, {"x": b"2", "y": b"2"}),
    ]
    assert connection.client.is_ready


def test_a_slow_subscriber_does_not_delay_others_and_gets_one_coalesced_delta() -> None:
    """A subscriber that acknowledges nothing fills its window; another one still gets every change.

    Once it acknowledges, it gets a single delta with the last value of each row.
    """
    node = build_fanout(structs.replace(UNTHROTTLED_LIMITS, window_bytes=2_000))
    for number in (1, 2):
        subscribe(node, number, [(SCOPE_A, 10)])
    patch_counts: Counter[int] = Counter()
    slow_sends: list[Send] = []
    for revision in range(11, 511):
        node.apply(
            revision,
            [feed_change(revision, SCOPE_A, "xyz"[revision % 3], revision, b"%d" % revision)],
            0,
        )
        for send in node.take_sends():
            patch_counts[send.subscriber] += 1
            if send.subscriber == 1:
                slow_sends.append(send)
            else:
                node.receive(2, pack(Acknowledge(send.sequence)), 0)
        assert node.subscribers[1].unacknowledged_bytes <= 2_000
    assert patch_counts[2] == 500 and 0 < patch_counts[1] < 50
    node.receive(1, pack(Acknowledge(slow_sends[-1].sequence)), 0)
    (patch,) = sent(node, 1)
    assert values_by_name(patch) == {"x": b"510", "y": b"508", "z": b"509"}
    assert patch.after == last_patch_revision(slow_sends) and patch.revision == 510


def last_patch_revision(sends: list[Send]) -> int:
    patch = messages.unpack_server_message(sends[-1].payload)
    assert isinstance(patch, Patch)
    return patch.revision


def test_an_unwritable_subscriber_is_sent_nothing_until_it_is_writable() -> None:
    """Changes and bookmarks wait while the connection is not writable, and are then coalesced."""
    node = build_fanout()
    subscribe(node, 1, [(SCOPE_A, 10), (SCOPE_B, 10)])
    node.set_writable(1, False, 0)
    for revision in range(11, 60):
        node.apply(revision, [feed_change(revision, SCOPE_A, "x", revision, b"%d" % revision)], 0)
    node.tick(100 * SECOND_NS)
    assert node.take_sends() == []
    node.set_writable(1, True, 0)
    (patch,) = sent(node)
    assert (patch.scope, values_by_name(patch)) == (SCOPE_A, {"x": b"59"})


def test_deletions_and_recreations_are_coalesced_to_the_last_value() -> None:
    """A coalesced delta must not restore a deleted row or drop a row that was created again."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    node.set_writable(connection.number, False, 0)
    node.apply(
        11, [feed_change(11, SCOPE_A, "x", 2, None), feed_change(11, SCOPE_A, "y", 2, None)], 0
    )
    node.apply(
        12, [feed_change(12, SCOPE_A, "x", 3, b"new"), feed_change(12, SCOPE_A, "z", 1, b"z")], 0
    )
    node.apply(13, [feed_change(13, SCOPE_A, "z", 2, None)], 0)
    node.set_writable(connection.number, True, 0)
    connection.exchange_messages()
    assert connection.values(SCOPE_A) == {"x": b"new"} and connection.client.resyncs == 0
    node.apply(14, [feed_change(14, SCOPE_A, "x", 4, None)], 0)
    assert connection.exchange_messages().values(SCOPE_A) == {}
    node.apply(15, [feed_change(15, SCOPE_A, "x", 5, b"again")], 0)
    assert connection.exchange_messages().values(SCOPE_A) == {"x": b"again"}


def test_a_patch_in_chunks_is_applied_atomically() -> None:
    """A patch larger than the window arrives in chunks; its rows are applied in one action."""
    node = build_fanout(structs.replace(UNTHROTTLED_LIMITS, chunk_bytes=200, window_bytes=500))
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    node.apply(
        11, [feed_change(11, SCOPE_A, f"n{number}", 1, b"v" * 90) for number in range(20)], 0
    )
    connection.actions.clear()
    connection.advance(SECOND_NS)
    applied = [action for action in connection.actions if isinstance(action, Apply)]
    assert [len(action.rows) for action in applied] == [20]
    assert connection.client.resyncs == 0 and node.status().acknowledged == ((11, 1),)


def test_changes_made_during_a_snapshot_are_sent_as_a_delta_after_the_snapshot() -> None:
    """A full window interrupts the snapshot; changes made meanwhile must not be lost."""
    limits = structs.replace(UNTHROTTLED_LIMITS, chunk_bytes=200, window_bytes=500)
    node = build_fanout(limits, size=150)
    node.apply(
        11, [feed_change(11, SCOPE_A, f"n{number}", 1, b"v" * 90) for number in range(20)], 0
    )
    # The full window interrupts the snapshot.
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    assert not connection.client.is_ready and node.subscribers[connection.number].pending
    node.apply(
        12, [feed_change(12, SCOPE_A, "n3", 2, None), feed_change(12, SCOPE_A, "new", 1, b"n")], 0
    )
    connection.advance(SECOND_NS)
    assert (
        connection.client.is_ready
        and "n3" not in connection.values(SCOPE_A)
        and connection.values(SCOPE_A)["new"] == b"n"
    )
    assert connection.client.resyncs == 0
    assert node.status().acknowledged == ((12, 1),)


def test_live_deltas_do_not_wait_for_snapshots() -> None:
    """Ten subscribers wait for snapshots; a change still reaches up-to-date watchers."""
    node = build_fanout(FanoutLimits(snapshot_bytes_s=1_000, snapshot_burst=1), size=3_000)
    subscribe(node, 1, [(SCOPE_A, 10)])
    for number in range(2, 12):
        subscribe(node, number, [(SCOPE_A, 0), (SCOPE_B, 0)])
    node.take_sends()
    assert node.status().waiting == 10
    node.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], 0)
    sent = [send.subscriber for send in node.take_sends()]
    assert sent == [1, 2]  # subscriber 2 already has A and waits for B


def test_a_subscriber_whose_cursor_was_trimmed_from_the_log_gets_a_snapshot() -> None:
    """While a connection is not writable, the log drops changes that its subscriber needs.

    Only the changed scope is sent as a snapshot, without a resync by the subscriber.
    """
    node = build_fanout(structs.replace(UNTHROTTLED_LIMITS, log_changes=4))
    connection = Connection([node], [SCOPE_A, SCOPE_B]).exchange_messages().advance(SECOND_NS)
    node.set_writable(connection.number, False, connection.now)
    for revision in range(11, 31):
        node.apply(
            revision,
            [feed_change(revision, SCOPE_A, "x", revision, b"%d" % revision)],
            connection.now,
        )
    assert node.status().acknowledged == ((10, 1),)
    connection.actions.clear()
    node.set_writable(connection.number, True, connection.now)
    connection.advance(SECOND_NS)
    assert [
        (one.scope, one.is_snapshot) for one in connection.actions if isinstance(one, Apply)
    ] == [(SCOPE_A, True)]
    assert (
        connection.values(SCOPE_A)["x"] == b"30"
        and connection.client.resyncs == 0
        and node.status().acknowledged == ((30, 1),)
    )


# ---- Scope updates -------------------------------------------------------------------------------


def test_adding_a_scope_misses_no_change_and_a_removed_scope_applies_no_rows() -> None:
    """The scope updates race with changes: the node applies a change before the update arrives."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    connection.client.update_scopes([SCOPE_B], [], 0)
    # The node applies this change before it receives the update.
    node.apply(
        11, [feed_change(11, SCOPE_A, "x", 2, b"2"), feed_change(11, SCOPE_B, "x", 2, b"2")], 0
    )
    connection.exchange_messages()
    assert (
        connection.values(SCOPE_B) == {"x": b"2", "y": b"1"}
        and connection.values(SCOPE_A)["x"] == b"2"
    )
    connection.actions.clear()
    # The patches of this change are in flight when the scope is removed.
    node.apply(
        12, [feed_change(12, SCOPE_A, "x", 3, b"3"), feed_change(12, SCOPE_B, "x", 3, b"3")], 0
    )
    connection.client.update_scopes([], [SCOPE_A], 0)
    connection.exchange_messages()
    assert {action.scope for action in connection.actions if isinstance(action, Apply)} == {SCOPE_B}
    assert (
        SCOPE_A not in connection.client.scopes
        and SCOPE_A not in node.subscribers[connection.number].scopes
    )


def test_messages_from_before_a_scope_was_removed_and_added_are_ignored() -> None:
    """Patches and bookmarks of an earlier generation must not change the new, empty table."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    node.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"old")], 0)
    stale_sends = node.take_sends()
    connection.client.update_scopes([], [SCOPE_A], 0)
    connection.client.update_scopes([SCOPE_A], [], 0)
    table = connection.client.scopes[SCOPE_A]
    for send in stale_sends:
        connection.client.receive(send.generation, send.sequence, send.payload, 0)
    stale_bookmark = pack(Bookmark(99, ((SCOPE_A, 1),)))
    connection.client.receive(1, 0, stale_bookmark, 0)
    assert not table.is_synced and not table.rows and table.cursor == 0
    connection.exchange_messages()
    assert (
        table.is_synced
        and connection.values(SCOPE_A)["x"] == b"old"
        and connection.client.resyncs == 0
    )
    # Removing and adding the scope in one update also resets the table.
    connection.client.update_scopes([SCOPE_A], [SCOPE_A], 0)
    assert not connection.client.scopes[SCOPE_A].is_synced
    assert connection.exchange_messages().client.is_ready
    node.apply(12, [feed_change(12, SCOPE_A, "x", 3, b"3")], 0)
    connection.advance(SECOND_NS)
    assert connection.values(SCOPE_A)["x"] == b"3" and node.status().acknowledged == ((12, 1),)


def test_several_scope_updates_in_flight_are_applied_in_order() -> None:
    """Updates sent before any answer arrives leave client and node with the same scopes."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A])
    for add, drop in (
        ([SCOPE_B], [SCOPE_A]),
        ([SCOPE_A, "global"], [SCOPE_B]),
        ([SCOPE_B], ["global"]),
        ([], [SCOPE_A]),
        ([SCOPE_A], []),
    ):
        connection.client.update_scopes(add, drop, 0)
    connection.exchange_messages()
    connection.client.update_scopes(["global"], [SCOPE_B], 0)
    connection.client.update_scopes([SCOPE_B], ["global"], 0)
    connection.exchange_messages()
    assert (
        set(connection.tables) >= {SCOPE_A, SCOPE_B}
        and connection.client.is_ready
        and set(connection.client.scopes) == {SCOPE_A, SCOPE_B}
    )
    assert set(node.subscribers[connection.number].scopes) == {SCOPE_A, SCOPE_B}


def test_a_scope_update_is_followed_by_its_patches_and_a_bookmark() -> None:
    """The bookmark tells the subscriber that everything of the new scopes was sent."""
    node = build_fanout()
    assert [type(message) for message in subscribe(node, 1, [(SCOPE_A, 0)])] == [Patch, Bookmark]
    node.receive(1, pack(UpdateScopes(2, ((SCOPE_B, 0),), ())), 0)
    assert [type(message) for message in sent(node)] == [Patch, Bookmark]
    node.receive(1, pack(UpdateScopes(3, (), (SCOPE_A,))), 0)
    (bookmark,) = sent(node)
    assert bookmark.digests == ((SCOPE_B, node.cache.scopes[SCOPE_B].digest),)


def test_invalid_scopes_are_rejected() -> None:
    """A malformed scope name or too many scopes raise ValueError and leave the scopes unchanged."""
    one = Subscription(
        "b",
        [SCOPE_A],
        SubscriptionOptions(lambda scope, row: "", SUBSCRIPTION_LIMITS, Random(1)),
        0,
    )
    with pytest.raises(ValueError, match="no scope"):
        one.update_scopes(["service:"], [], 0)
    with pytest.raises(ValueError, match="more than 4096"):
        one.update_scopes([f"service:{number}" for number in range(4_096)], [], 0)
    assert set(one.scopes) == {SCOPE_A}


# ---- Failover, log coverage and store snapshots --------------------------------------------------


def test_a_subscriber_ahead_of_the_node_is_parked_and_resumes() -> None:
    """After a failover the new node is one revision behind; the subscriber keeps its rows.

    It resumes without a snapshot when the node reaches its revision.
    """
    node_ahead, node_behind = build_fanout(), build_fanout()
    connection = Connection([node_ahead, node_behind], [SCOPE_A, SCOPE_B]).exchange_messages()
    node_ahead.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], 0)
    connection.exchange_messages()
    connection.close_connection()
    connection.client.on_disconnected("node died", 0)
    connection.advance(SECOND_NS)
    assert connection.node is node_behind and connection.state() == "parked"
    assert connection.values(SCOPE_A)["x"] == b"2" and node_behind.status().parked == 1
    assert connection.client.age_ns(connection.now) == connection.now > 0
    node_behind.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], connection.now)
    connection.exchange_messages()
    assert connection.state() == "following" and connection.client.age_ns(connection.now) == 0
    node_behind.apply(12, [feed_change(12, SCOPE_B, "y", 2, b"2")], connection.now)
    connection.advance(SECOND_NS)
    assert connection.values(SCOPE_B)["y"] == b"2" and node_behind.status().acknowledged == (
        (12, 1),
    )
    assert node_behind.status().snapshots == 0


def test_a_parked_subscriber_is_sent_only_replica_behind() -> None:
    """Acknowledgements, writability and scope updates of a parked subscriber trigger no patch."""
    node = build_fanout()
    assert subscribe(node, 1, [(SCOPE_A, 11), (SCOPE_B, 10)]) == [ReplicaBehind(10)]
    node.receive(1, pack(Acknowledge(0, (Refusal(SCOPE_A, "upstream/x", 1, "why"),))), 0)
    node.set_writable(1, False, 0)
    node.set_writable(1, True, 0)
    node.receive(1, pack(UpdateScopes(2, (("global", 0),), (SCOPE_B,))), 0)
    assert sent(node) == [ReplicaBehind(10)] and node.status().refusals == 1
    node.tick(5 * SECOND_NS)
    assert sent(node) == [ReplicaBehind(10)] and node.status().acknowledged == ((0, 1),)
    node.apply(12, [feed_change(12, SCOPE_A, "x", 2, b"2")], 5 * SECOND_NS)
    assert [(one.scope, one.is_snapshot) for one in sent(node) if isinstance(one, Patch)] == [
        (SCOPE_A, False),
        ("global", True),
    ]


def test_a_parked_subscription_times_out_and_tries_other_nodes() -> None:
    """Both other nodes stay behind, so the subscription returns to the first one."""
    nodes = [build_fanout(), build_fanout(), build_fanout()]
    connection = Connection(nodes, [SCOPE_A]).exchange_messages()
    nodes[0].apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], 0)
    connection.exchange_messages()
    connection.close_connection()
    connection.client.on_disconnected("node died", 0)
    connection.advance(10 * SECOND_NS)
    dials = [action.address_index % 3 for action in connection.actions if isinstance(action, Dial)]
    assert dials[:4] == [0, 1, 2, 0] and connection.node is nodes[0]
    assert connection.values(SCOPE_A)["x"] == b"2"
    for node in nodes[1:]:
        assert not node.subscribers


def test_a_snapshot_older_than_the_cursor_is_rejected() -> None:
    """A node whose revision is older than the cursor must not replace newer rows.

    The subscription has no valid cursor to send, so the node cannot detect that it is behind.
    """
    connection = Connection([build_fanout(revision=20)], [SCOPE_A]).exchange_messages()
    # Corrupt the table, so that its snapshot is needed.
    connection.client.scopes[SCOPE_A].rows.popitem()
    connection.nodes.append(build_fanout(revision=15))
    connection.close_connection()
    connection.client.scopes[SCOPE_A].is_synced = False
    connection.client.on_disconnected("cut", 0)
    connection.actions.clear()
    connection.advance(300 * MILLISECOND_NS)
    assert any(
        isinstance(action, Disconnect) and "went back" in action.reason
        for action in connection.actions
    )
    assert not any(isinstance(action, Apply) for action in connection.actions)
    assert (
        connection.advance(20 * SECOND_NS).client.is_ready
        and connection.client.scopes[SCOPE_A].cursor == 20
    )


def test_after_a_reconnect_only_the_incomplete_snapshot_is_requested_again() -> None:
    """The connection closes after a complete snapshot of one scope and one chunk of another."""
    node = build_fanout(structs.replace(UNTHROTTLED_LIMITS, chunk_bytes=100), size=60)
    # Three messages: both chunks of A, and one of B.
    connection = Connection([node], [SCOPE_A, SCOPE_B]).exchange_messages(max_messages=3)
    assert (
        connection.client.scopes[SCOPE_A].is_synced
        and not connection.client.scopes[SCOPE_B].is_synced
        and SCOPE_B not in connection.tables
    )
    connection.close_connection()
    connection.client.on_disconnected("cut", 0)
    connection.messages.clear()
    connection.advance(SECOND_NS)
    assert connection.messages[0].cursors == ((SCOPE_A, 10), (SCOPE_B, 0))
    assert (
        connection.client.is_ready
        and node.status().snapshots == 3
        and connection.client.resyncs == 0
    )


def test_only_the_scope_whose_log_does_not_cover_the_cursor_gets_a_snapshot() -> None:
    """Three scopes resume from one cursor; the log has dropped changes of only one of them."""
    node = build_fanout(structs.replace(UNTHROTTLED_LIMITS, log_changes=5))
    for revision in range(11, 31):
        node.apply(revision, [feed_change(revision, SCOPE_A, "x", revision, b"%d" % revision)], 0)
    node.apply(31, [feed_change(31, SCOPE_B, "x", 2, b"2")], 0)
    replies = subscribe(node, 1, [(SCOPE_A, 12), (SCOPE_B, 12), ("global", 12)])
    assert [
        (one.scope, one.is_snapshot, values_by_name(one))
        for one in replies
        if isinstance(one, Patch)
    ] == [
        (SCOPE_B, False, {"x": b"2"}),
        (SCOPE_A, True, {"x": b"30", "y": b"1"}),
    ]
    status = node.status()
    assert status.resumes == 2 and status.snapshots == 1


def test_the_logs_of_one_scope_and_of_all_scopes_stay_within_their_limits() -> None:
    """The limits on changes per scope, on all changes and on bytes hold after every write."""
    node = build_fanout(
        structs.replace(UNTHROTTLED_LIMITS, scope_changes=8, log_changes=20, log_bytes=2_000)
    )
    for revision in range(11, 200):
        scope = SCOPE_A if revision % 10 else f"service:s{revision}"
        node.apply(
            revision, [feed_change(revision, scope, "x", revision, b"." * (revision % 50))], 0
        )
        changes, size = node.cache.log_size
        assert changes <= 20 and size <= 2_000
        assert sum(len(entry.rows) for entry in node.cache.scopes[SCOPE_A].log) <= 8


def test_scopes_without_rows_and_watchers_are_discarded() -> None:
    """Subscriptions to nonexistent scopes and deleted scopes must not use memory forever."""
    node = build_fanout(structs.replace(UNTHROTTLED_LIMITS, log_changes=3))
    subscribe(node, 1, [(f"service:none-{number}", 0) for number in range(100)])
    assert len(node.cache.scopes) == 103
    node.remove(1, 0)
    assert len(node.cache.scopes) == 3
    node.apply(11, [feed_change(11, "service:short", "x", 1, b"1")], 0)
    node.apply(12, [feed_change(12, "service:short", "x", 2, None)], 0)
    for revision in range(13, 20):
        node.apply(revision, [feed_change(revision, SCOPE_A, "x", revision, b"1")], 0)
    assert "service:short" not in node.cache.scopes
    # A subscriber that has the deleted row gets an empty snapshot.
    patch = subscribe(node, 2, [("service:short", 11)])[0]
    assert patch.is_snapshot and patch.rows == ()


def load(node: Fanout, revision: int, base: int, changes: list[FeedChange], now: int = 0) -> None:
    """Load a store snapshot with `changes` applied to the node's rows; its log starts at `base`."""
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


def test_after_a_store_snapshot_changed_scopes_are_sent_as_snapshots_to_live_subscribers() -> None:
    """The store snapshot's changes begin after the node's revision, so the logs have a gap.

    Changed scopes are sent as snapshots; an unchanged scope is not sent at all.
    """
    node = build_fanout()
    # The load drops this change from the log and its size.
    node.apply(11, [feed_change(11, "service:other", "x", 1, b"1")], 0)
    connection = Connection([node], [SCOPE_A, SCOPE_B, "global"]).exchange_messages()
    connection.advance(SECOND_NS)
    connection.actions.clear()
    load(
        node,
        30,
        20,
        [feed_change(15, SCOPE_A, "x", 2, b"unseen"), feed_change(25, SCOPE_B, "y", 2, b"seen")],
    )
    connection.advance(SECOND_NS)
    applied = {action.scope: action for action in connection.actions if isinstance(action, Apply)}
    assert applied[SCOPE_A].is_snapshot and applied[SCOPE_B].is_snapshot and "global" not in applied
    assert (
        connection.values(SCOPE_A)["x"] == b"unseen" and connection.values(SCOPE_B)["y"] == b"seen"
    )
    assert node.cache.log_size == (1, len("upstream/y") + len(b"seen") + 24)
    node.apply(31, [feed_change(31, "global", "x", 2, b"2")], 0)
    connection.advance(SECOND_NS)
    assert connection.values("global")["x"] == b"2" and connection.client.resyncs == 0
    assert node.status().acknowledged == ((31, 1),) and node.status().snapshots == 5


def test_a_store_snapshot_that_continues_the_log_is_sent_as_deltas() -> None:
    """Only the changes after the current revision are sent; older revisions raise ValueError."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A, SCOPE_B]).exchange_messages()
    connection.actions.clear()
    load(
        node, 30, 5, [feed_change(8, SCOPE_A, "x", 1, b"1"), feed_change(15, SCOPE_A, "x", 2, b"2")]
    )
    connection.exchange_messages()
    assert [
        (one.scope, one.is_snapshot) for one in connection.actions if isinstance(one, Apply)
    ] == [(SCOPE_A, False)]
    with pytest.raises(ValueError, match="revision 12"):
        node.load(StoreSnapshot(12, [], 1, []), 0)
    with pytest.raises(ValueError, match="comes after"):
        node.apply(30, [], 0)


def test_a_new_epoch_resets_cursors_and_old_rows_stay_until_their_snapshot_arrives() -> None:
    """A restored store reuses lower revisions, so cursors of the old epoch are invalid.

    Snapshots are throttled, so one scope still has its old rows while the other is replaced.
    """
    connection = Connection([build_fanout(revision=50)], [SCOPE_A, SCOPE_B]).exchange_messages()
    connection.close_connection()
    connection.nodes = [
        build_fanout(
            structs.replace(UNTHROTTLED_LIMITS, snapshot_burst=1, snapshot_bytes_s=60),
            12,
            "restored",
        )
    ]
    connection.nodes[0].apply(13, [feed_change(13, SCOPE_A, "x", 2, b"back")], 0)
    connection.client.on_disconnected("cut", 0)
    connection.messages.clear()
    connection.advance(300 * MILLISECOND_NS)
    assert connection.messages[0] == Subscribe("b1", "restored", ((SCOPE_A, 0), (SCOPE_B, 0)))
    assert connection.values(SCOPE_A)["x"] == b"back" and connection.values(SCOPE_B) == {
        "x": b"1",
        "y": b"1",
    }
    assert not connection.client.is_ready
    connection.advance(10 * SECOND_NS)
    assert (
        connection.client.is_ready
        and connection.client.scopes[SCOPE_B].cursor == 13
        and connection.client.epoch == "restored"
    )
    # A cursor of another epoch is ignored.
    assert subscribe(build_fanout(), 9, [(SCOPE_A, 10)], epoch="other")[0].is_snapshot


# ---- Many subscribers at once --------------------------------------------------------------------


def test_snapshots_are_rate_limited_and_their_queue_is_bounded() -> None:
    """Of 320 subscribers that need snapshots only ten wait; rejected ones get spread retry times.

    The snapshots sent stay within the rate limit and use all of it.
    """
    limits = FanoutLimits(snapshot_bytes_s=100_000, snapshot_burst=20_000, waiting_most=10)
    node = build_fanout(limits, size=2_000)
    subscribe(node, 0, [(SCOPE_A, 10)])  # up to date
    retry_delays_ms = []
    for number in range(1, 321):
        retry_delays_ms += [
            one.after_ms
            for one in subscribe(node, number, [(SCOPE_A, 0), (SCOPE_B, 0)])
            if isinstance(one, RetryLater)
        ]
    status = node.status()
    assert (
        status.waiting == 10
        and status.later == len(retry_delays_ms) == 320 - status.subscribers + 1
    )
    # Retries are due only after the queue is served, and are spread out: no interval of 0.5 s gets
    # more than twice the average.
    delay_histogram = Counter(delay_ms // 500 for delay_ms in retry_delays_ms)
    assert 700 < retry_delays_ms[0] < 1_000 and min(retry_delays_ms) >= retry_delays_ms[0]
    assert max(retry_delays_ms) <= limits.later_most_ms and len(delay_histogram) > 10
    assert max(delay_histogram.values()) < 2 * len(retry_delays_ms) / (max(retry_delays_ms) / 500)
    # A subscriber that needs no snapshot is served immediately and gets later changes.
    assert isinstance(subscribe(node, 999, [(SCOPE_A, 10), (SCOPE_B, 10)])[0], Bookmark)
    node.apply(11, [feed_change(11, SCOPE_B, "x", 2, b"2")], 0)
    sends = node.take_sends()
    assert {send.subscriber for send in sends} == {1, 2, 999} and len(
        {id(send.payload) for send in sends}
    ) == 1
    # The bytes sent neither exceed the rate limit nor leave it unused.
    sent = now = 0
    while node.status().waiting:
        now += 10 * MILLISECOND_NS
        node.tick(now)
        sent += sum(len(send.payload) for send in take_and_acknowledge_sends(node, now))
        assert sent <= 100_000 * now // SECOND_NS + 5_000
    assert (
        now < sent * SECOND_NS // 100_000 + 50 * MILLISECOND_NS
        and node.status().snapshots == 2 * status.subscribers - 2
    )


def test_a_subscriber_blocked_in_its_snapshot_leaves_the_queue() -> None:
    """Subscribers that neither read nor acknowledge must not keep others from their snapshots."""
    node = build_fanout(
        structs.replace(UNTHROTTLED_LIMITS, window_bytes=300, chunk_bytes=150, waiting_most=2),
        size=140,
    )
    for number in range(1, 6):  # none of these acknowledges anything
        assert not any(
            isinstance(one, RetryLater)
            for one in subscribe(node, number, [(SCOPE_A, 0), (SCOPE_B, 0)])
        )
        node.set_writable(number, False, 0)
    connection = Connection([node], [SCOPE_A, SCOPE_B]).exchange_messages()
    assert connection.advance(SECOND_NS).client.is_ready


def test_90_percent_of_360_subscribers_starting_at_once_are_ready_within_10_seconds() -> None:
    """All subscribers need three snapshots at a limited rate, and most are told to retry later."""
    limits = FanoutLimits(snapshot_bytes_s=2 << 20, snapshot_burst=1 << 18, waiting_most=16)
    node = build_fanout(limits, size=4_000)
    connections = [
        Connection([node], [SCOPE_A, SCOPE_B, "global"], number=number, seed=number)
        for number in range(1, 361)
    ]
    ready_at_ns: dict[int, int] = {}
    for now in range(0, 12 * SECOND_NS, 20 * MILLISECOND_NS):
        node.tick(now)
        for connection in connections:
            connection.now = now
            if connection.client.wake_ns <= now:
                connection.client.tick(now)
            for action in connection.client.take_actions():
                connection.perform(action)
        by_number = {connection.number: connection for connection in connections}
        for send in node.take_sends():
            connection = by_number[send.subscriber]
            connection.client.receive(send.generation, send.sequence, send.payload, now)
        for connection in connections:
            if connection.client.is_ready:
                ready_at_ns.setdefault(connection.number // 1_000, now)
        assert node.status().waiting <= 16 + 1
    assert len(ready_at_ns) == 360
    assert sorted(ready_at_ns.values())[324] < 10 * SECOND_NS
    assert node.status().later > 300


def test_320_subscribers_fail_over_without_a_snapshot() -> None:
    """The subscribers are two revisions behind; the surviving nodes' logs cover their cursors."""
    limits = FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1, waiting_most=1)
    failed_node, surviving_nodes = build_fanout(), [build_fanout(limits) for _ in range(8)]
    connections = [
        Connection(
            [failed_node, surviving_nodes[number % 8]],
            [SCOPE_A, SCOPE_B, "global"],
            number=number,
            seed=number,
        ).exchange_messages()
        for number in range(1, 321)
    ]
    for revision in (11, 12):
        for node in (failed_node, *surviving_nodes):
            node.apply(revision, [feed_change(revision, SCOPE_B, "x", revision, b"1")], 0)
    for connection in connections:
        connection.node = None
        connection.client.on_disconnected("reset", 0)
    failed_node.take_sends()
    sent = [node.status().sent_bytes for node in surviving_nodes]
    for connection in connections:
        connection.advance(SECOND_NS)
        assert (
            connection.client.is_ready
            and connection.client.age_ns(connection.now) < SECOND_NS
            and connection.values(SCOPE_B)["x"] == b"1"
        )
    for node, before in zip(surviving_nodes, sent, strict=True):
        status = node.status()
        assert status.acknowledged == ((12, 40),) and status.later == status.snapshots == 0
        assert status.encoded == 1 and status.sent_bytes - before < 40 * 400


def test_200_reconnects_after_a_long_partition_share_one_encoded_delta_per_scope() -> None:
    """The node applies 2,000 revisions while all subscribers are disconnected."""
    node = build_fanout()
    for number in range(200):
        subscribe(node, number, [(SCOPE_A, 10), (SCOPE_B, 10)])
    for number in range(200):
        node.remove(number, 0)
    for revision in range(11, 2_011):
        scope = SCOPE_A if revision % 2 else "global"
        node.apply(revision, [feed_change(revision, scope, f"n{revision % 50}", revision, b"1")], 0)
    encoded = node.status().encoded
    for number in range(200):
        patch, bookmark = subscribe(node, number, [(SCOPE_A, 10), (SCOPE_B, 10)])
        assert len(patch.rows) == 25 and patch.after == 10 and bookmark.revision == 2_010
    assert node.status().encoded == encoded + 1 and node.status().snapshots == 0


def test_a_token_bucket_can_be_overdrawn() -> None:
    """A message larger than the burst is admitted; the deficit delays the next message."""
    bucket = TokenBucket(1_000, 100, 0)
    assert bucket.is_ready(0)
    bucket.take(1_100, 0)
    assert not bucket.is_ready(0) and not bucket.is_ready(900 * MILLISECOND_NS)
    at = bucket.ready_at(0)
    assert SECOND_NS <= at <= 1_002 * MILLISECOND_NS and bucket.is_ready(at)
    bucket.take(1, at - SECOND_NS)  # a clock that goes backwards adds no tokens
    assert bucket.ready_at(at) <= at + SECOND_NS


def test_retry_slots_are_spaced_by_the_time_to_serve_each_subscriber() -> None:
    """Slots follow the queued bytes; delays above the maximum are spread over its upper half."""
    slots = RetrySlots(1_000_000, 10, 2_000)
    assert [slots.reserve(500_000, 100_000, 0) for _ in range(3)] == [500, 600, 700]
    assert slots.reserve(0, 100_000, 5 * SECOND_NS) == 10
    retry_delays_ms = [slots.reserve(9_000_000, 100_000, 5 * SECOND_NS) for _ in range(100)]
    assert (
        min(retry_delays_ms) >= 1_000
        and max(retry_delays_ms) <= 2_000
        and len(set(retry_delays_ms)) > 90
    )


def test_messages_in_flight_from_a_rejected_subscriber_are_ignored() -> None:
    """A scope update sent before the rejection arrives is no protocol error."""
    node = build_fanout(FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1, waiting_most=1))
    subscribe(node, 1, [(SCOPE_A, 0), (SCOPE_B, 0)])
    connection = Connection([node], [SCOPE_A], number=2)
    connection.perform(connection.client.take_actions()[0])  # dials
    connection.perform(connection.client.take_actions()[0])  # subscribes and is rejected
    connection.client.update_scopes([SCOPE_B], [], 0)
    assert isinstance(connection.messages[0], Subscribe)
    connection.exchange_messages()
    assert (
        connection.messages[1] == UpdateScopes(2, ((SCOPE_B, 0),), ()) and connection.node is None
    )
    assert isinstance(connection.actions[-1], Disconnect) and node.status().subscribers == 1
    with pytest.raises(FeedProtocolError):
        node.receive(connection.number, pack(Acknowledge(0)), 0)


# ---- Digests and audits --------------------------------------------------------------------------


@pytest.mark.parametrize("corruption", ["lost", "doubled", "other"])
@pytest.mark.parametrize("detected_by", ["patch", "bookmark", "audit"])
def test_a_digest_mismatch_resyncs_only_the_corrupt_scope(
    corruption: str, detected_by: str
) -> None:
    """A row of the client's table is lost, duplicated or changed.

    The digest of a patch, a bookmark or an audit detects it; a snapshot repairs it.
    """
    limits = (
        structs.replace(SUBSCRIPTION_LIMITS, audit_rows=1)
        if detected_by == "audit"
        else SUBSCRIPTION_LIMITS
    )
    node = build_fanout()
    connection = Connection([node], [SCOPE_A, SCOPE_B], limits=limits).exchange_messages()
    table = connection.client.scopes[SCOPE_A]
    row = table.rows["upstream/x"]
    if corruption == "lost":
        del table.rows["upstream/x"]
    elif corruption == "doubled":
        table.rows["upstream/xx"] = structs.replace(row, key="upstream/xx")
    else:
        table.rows["upstream/x"] = structs.replace(row, value=b"?")
    connection.messages.clear()
    if detected_by == "patch":
        node.apply(11, [feed_change(11, SCOPE_A, "y", 2, b"2")], 0)
        connection.exchange_messages()
    else:
        connection.advance(20 * SECOND_NS)
    scope_updates = [
        message for message in connection.messages if isinstance(message, UpdateScopes)
    ]
    assert scope_updates == [UpdateScopes(2, ((SCOPE_A, 0),), ())]
    assert (
        connection.client.resyncs == 1
        and connection.client.is_ready
        and node.status().snapshots == 3
    )
    assert table.rows == node.cache.scopes[SCOPE_A].rows and connection.values(SCOPE_A) == {
        "x": b"1",
        "y": b"2" if detected_by == "patch" else b"1",
    }


def test_a_large_scope_is_audited_in_steps() -> None:
    """A bookmark starts an audit of ten rows per 20 ms, which finds a lost row in eleven steps."""
    node = build_fanout()
    node.apply(11, [feed_change(11, SCOPE_A, f"n{number}", 1, b"1") for number in range(100)], 0)
    connection = Connection(
        [node],
        [SCOPE_A],
        limits=structs.replace(SUBSCRIPTION_LIMITS, audit_rows=10, audit_ns=20 * MILLISECOND_NS),
    ).exchange_messages()
    connection.advance(SECOND_NS)  # the first audit finds no corruption
    connection.client.scopes[SCOPE_A].rows.popitem()
    connection.messages.clear()
    connection.now = 5 * SECOND_NS
    node.tick(connection.now)
    connection.exchange_messages()  # receives the digest and starts the audit
    audit_steps = 0
    while not connection.messages:
        assert connection.client.wake_ns == connection.now + (
            20 * MILLISECOND_NS if audit_steps else 0
        )
        connection.now = connection.client.wake_ns
        connection.client.tick(connection.now)
        connection.exchange_messages()
        audit_steps += 1
    assert (
        audit_steps == 11
        and connection.messages[0] == UpdateScopes(2, ((SCOPE_A, 0),), ())
        and connection.client.is_ready
    )
    # A change during the audit abandons it; the next bookmark restarts it.
    connection.client.scopes[SCOPE_A].rows.popitem()
    for revision in range(12, 40):
        connection.advance(SECOND_NS // 2)
        node.apply(revision, [feed_change(revision, SCOPE_A, "n0", revision, b"2")], connection.now)
    connection.advance(20 * SECOND_NS)
    assert connection.client.resyncs == 2 and connection.client.is_ready


def test_a_snapshot_with_a_wrong_digest_makes_the_subscription_try_another_node() -> None:
    """The node's own digest does not match its rows, so its snapshot is never applied."""
    corrupt_node, good_node = build_fanout(), build_fanout()
    corrupt_node.cache.scopes[SCOPE_A].digest ^= 1
    connection = Connection([corrupt_node, good_node], [SCOPE_A])
    connection.exchange_messages()
    assert (
        connection.node is None
        and SCOPE_A not in connection.tables
        and not corrupt_node.subscribers
    )
    connection.advance(SECOND_NS)
    assert connection.node is good_node and connection.client.is_ready


def test_a_digest_is_independent_of_row_order_and_detects_duplicates() -> None:
    """Incremental replacement gives the digest of hashing all rows; deletions reset it to 0."""
    rows = [Row(f"upstream/{number}", number, b"v") for number in range(9)]
    assert digest.of_rows(rows) == digest.of_rows(reversed(rows))
    assert digest.of_rows([*rows, rows[0], rows[0]]) != digest.of_rows(rows)
    incremental_digest = 0
    for row in rows:
        incremental_digest = digest.replace_row(incremental_digest, None, row)
    assert incremental_digest == digest.of_rows(rows)
    for row in rows:
        incremental_digest = digest.replace_row(
            incremental_digest, row, Row(row.key, row.version + 1, None)
        )
    assert incremental_digest == 0


# ---- Refused rows --------------------------------------------------------------------------------


def test_a_refused_row_keeps_its_last_accepted_version_and_is_reported() -> None:
    """The client refuses a new version of one row and the first version of another.

    The accepted version survives further refusals and a resync; an accepted write or a deletion
    clears the refusal.
    """
    node = build_fanout()
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    node.apply(
        11,
        [
            feed_change(11, SCOPE_A, "x", 2, b"!"),
            feed_change(11, SCOPE_A, "y", 2, b"2"),
            feed_change(11, SCOPE_A, "z", 1, b"!"),
        ],
        0,
    )
    connection.advance(SECOND_NS)
    assert connection.values(SCOPE_A) == {"x": b"1", "y": b"2"}
    refused = (
        Refusal(SCOPE_A, "upstream/x", 2, "not known here"),
        Refusal(SCOPE_A, "upstream/z", 1, "not known here"),
    )
    assert connection.messages[-1].refused == refused
    status = node.status()
    assert status.acknowledged == ((11, 1),) and status.refusals == 2
    assert [(one.name, one.refusal) for one in status.refused] == [("b1", one) for one in refused]
    # A second refusal keeps the last accepted version, and so does a resync of the scope.
    node.apply(12, [feed_change(12, SCOPE_A, "x", 3, b"!!")], 0)
    connection.exchange_messages()
    connection.client.scopes[SCOPE_A].rows.pop("upstream/y")
    connection.advance(20 * SECOND_NS)
    assert connection.client.resyncs == 1 and connection.values(SCOPE_A) == {"x": b"1", "y": b"2"}
    assert [row.value for row in connection.client.scopes[SCOPE_A].rows_in_force()] == [b"1", b"2"]
    # An accepted write and a deletion each clear a refusal.
    node.apply(13, [feed_change(13, SCOPE_A, "x", 4, b"4")], connection.now)
    connection.advance(SECOND_NS)
    assert connection.values(SCOPE_A)["x"] == b"4" and node.status().refusals == 1
    node.apply(14, [feed_change(14, SCOPE_A, "z", 2, None)], connection.now)
    connection.advance(SECOND_NS)
    assert node.status().refusals == 0 and connection.values(SCOPE_A) == {"x": b"4", "y": b"2"}


def test_refusals_are_reported_after_failover_and_cleared_when_their_scope_is_removed() -> None:
    """An acknowledgement reports 16 of 30 refused rows; the next node gets the report too."""
    nodes = [build_fanout(), build_fanout()]
    for node in nodes:
        node.apply(11, [feed_change(11, SCOPE_A, f"r{number}", 1, b"!") for number in range(30)], 0)
    connection = Connection(nodes, [SCOPE_A, SCOPE_B]).exchange_messages().advance(SECOND_NS)
    assert nodes[0].status().refusals == 16 and connection.tables[SCOPE_A].keys() == {
        "upstream/x",
        "upstream/y",
    }
    connection.close_connection()
    connection.client.on_disconnected("cut", connection.now)
    connection.advance(SECOND_NS)
    assert connection.node is nodes[1] and nodes[1].status().refusals == 16
    connection.client.update_scopes([], [SCOPE_A], connection.now)
    connection.advance(SECOND_NS)
    assert nodes[1].status().refusals == 0


# ---- Status and protocol errors ------------------------------------------------------------------


def test_status_counts_acknowledged_revisions_and_lists_lagging_subscribers() -> None:
    """Forty subscribers acknowledge none, one or both of two patches, and one is parked."""
    node = build_fanout()
    for number in range(40):
        subscribe(node, number, [(SCOPE_A, 10), (SCOPE_B, 10)])
    assert node.status().acknowledged == ((10, 40),)
    node.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], 5 * SECOND_NS)
    node.apply(12, [feed_change(12, SCOPE_B, "x", 2, b"2")], 6 * SECOND_NS)
    assert node.status().acknowledged == ((10, 40),)  # sent patches are not yet in force
    for number in range(40):
        if number != 7:
            node.receive(number, pack(Acknowledge(2 if number > 10 else 1)), 7 * SECOND_NS)
    status = node.status()
    assert status.acknowledged == ((10, 1), (11, 10), (12, 29))
    assert [(lag.name, lag.revision, lag.since_ms) for lag in status.laggards[:2]] == [
        ("b7", 10, 2_000),
        ("b0", 11, 1_000),
    ]
    assert len(status.laggards) == 11 and status.sent_messages == 40 + 80  # bookmarks, patches
    subscribe(node, 40, [(SCOPE_A, 99), (SCOPE_B, 5)], now=7 * SECOND_NS)
    node.tick(10 * SECOND_NS)
    assert [
        (lag.revision, lag.since_ms) for lag in node.status().laggards if lag.name == "b40"
    ] == [(5, 3_000)]
    assert node.status().parked == 1
    node.remove(40, 10 * SECOND_NS)
    # None of the remaining subscribers watches this scope.
    node.apply(13, [feed_change(13, "global", "x", 2, b"2")], 8 * SECOND_NS)
    assert node.status().acknowledged == ((10, 1), (11, 10), (13, 29))
    node.apply(14, [feed_change(14, SCOPE_A, "x", 3, b"3")], 9 * SECOND_NS)
    assert node.status().acknowledged == ((10, 1), (11, 10), (13, 29))


def test_patches_in_flight_of_a_removed_scope_do_not_count_as_lag() -> None:
    """Removing or restarting a scope with an unacknowledged patch raises the revision in force."""
    node = build_fanout()
    subscribe(node, 1, [(SCOPE_A, 10), (SCOPE_B, 10)])
    node.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], 0)
    node.apply(12, [feed_change(12, SCOPE_B, "x", 2, b"2")], 0)
    node.receive(1, pack(UpdateScopes(2, (), (SCOPE_A,))), 0)
    assert node.status().acknowledged == ((11, 1),)
    node.receive(1, pack(UpdateScopes(3, ((SCOPE_B, 12),), ())), 0)
    assert node.status().acknowledged == ((12, 1),)


def test_a_bookmark_sent_while_a_snapshot_is_pending_does_not_reset_the_age() -> None:
    """The snapshot of an added scope never fits the rate limit, while bookmarks keep arriving."""
    node = build_fanout(FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1))
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    assert connection.client.age_ns(connection.now) == 0
    connection.client.update_scopes([SCOPE_B], [], 0)
    connection.advance(30 * SECOND_NS)
    assert (
        not connection.client.is_ready
        and connection.client.age_ns(connection.now) > 20 * SECOND_NS
        and connection.node is node
    )


def test_status_round_trips_through_json() -> None:
    """A status with a refused row decodes to an equal status."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    node.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"!")], 0)
    connection.advance(SECOND_NS)
    status = node.status()
    assert status.refusals == 1 and json.decode(json.encode(status), type=FeedStatus) == status


def test_a_subscriber_waiting_for_its_first_snapshot_counts_as_revision_0() -> None:
    """Subscribers whose snapshots are rate-limited have no revision in force and lag behind."""
    node = build_fanout(FanoutLimits(snapshot_bytes_s=1, snapshot_burst=1))
    subscribe(node, 1, [(SCOPE_A, 0)])
    subscribe(node, 2, [(SCOPE_B, 0), (SCOPE_A, 10)])
    assert node.status().acknowledged == ((0, 2),)
    assert {lag.name for lag in node.status().laggards} == {"b1", "b2"}


@pytest.mark.parametrize(
    ("payloads", "expected_error"),
    [
        ([b"\xc1"], "invalid message"),
        ([pack(Bookmark(1, ()))], "invalid message"),
        ([pack(Acknowledge(0))], "begins with Subscribe"),
        ([pack(Subscribe("b", "e", ((SCOPE_A, 0),)))] * 2, "second subscription"),
        ([pack(Subscribe("", "e", ()))], "name"),
        ([pack(Subscribe("b", "e", ((SCOPE_A, 0), (SCOPE_A, 0))))], "named twice"),
        ([pack(Subscribe("b", "e", ((SCOPE_A, -1),)))], "cursor"),
        ([pack(Subscribe("b", "e", (("zone:a", 0),)))], "no scope"),
        ([pack(Subscribe("b", "e", tuple((f"service:{at}", 0) for at in range(4_097))))], "4096"),
        ([pack(Subscribe("b", "e", ())), pack(Acknowledge(1))], "acknowledged 1 of 0"),
        (
            [
                pack(Subscribe("b", "e", ())),
                pack(Acknowledge(0, (Refusal(SCOPE_A, "x", 1, ""),) * 17)),
            ],
            "over 16 refusals",
        ),
        (
            [
                pack(Subscribe("b", "e", ())),
                pack(Acknowledge(0, (Refusal(SCOPE_A, "x" * 2_000, 1, ""),))),
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
        ([pack(Subscribe("b", "e", ())), pack(UpdateScopes(2, (), (SCOPE_A,)))], "not there"),
        (
            [pack(Subscribe("b", "e", ())), pack(UpdateScopes(2, ((SCOPE_A, 11),), ()))],
            "past revision 10",
        ),
    ],
)
def test_a_protocol_error_does_not_affect_other_connections(
    payloads: list[bytes], expected_error: str
) -> None:
    """The invalid message raises FeedProtocolError; another subscriber still gets its changes."""
    node = build_fanout()
    subscribe(node, 1, [(SCOPE_A, 10)])
    for message in payloads[:-1]:
        node.receive(2, message, 0)
    with pytest.raises(FeedProtocolError, match=expected_error):
        node.receive(2, payloads[-1], 0)
    node.remove(2, 0)
    node.take_sends()
    node.apply(11, [feed_change(11, SCOPE_A, "x", 2, b"2")], 0)
    assert [send.subscriber for send in node.take_sends()] == [1] and node.status().subscribers == 1


# ---- Bookmarks, timeouts and retries -------------------------------------------------------------


def test_an_idle_subscriber_gets_bookmarks_with_rotating_digests() -> None:
    """Three bookmarks with two digests each cover each of three scopes twice."""
    node = build_fanout(
        structs.replace(UNTHROTTLED_LIMITS, bookmark_ns=10 * SECOND_NS, bookmark_scopes=2)
    )
    subscribe(node, 1, [(SCOPE_A, 10), (SCOPE_B, 10), ("global", 10)])
    assert node.wake_ns == 10 * SECOND_NS
    node.tick(10 * SECOND_NS - 1)
    assert node.take_sends() == []
    digest_scopes = []
    for index in (1, 2, 3):
        node.apply(10 + index, [], index * 10 * SECOND_NS)
        node.tick(index * 10 * SECOND_NS)
        (bookmark,) = sent(node)
        assert bookmark.revision == 10 + index and len(bookmark.digests) == 2
        digest_scopes += [scope for scope, _ in bookmark.digests]
    assert Counter(digest_scopes) == {SCOPE_A: 2, SCOPE_B: 2, "global": 2}
    node.remove(1, 0)
    assert node.wake_ns is None


def test_bookmarks_advance_cursors_so_that_a_short_log_still_covers_them() -> None:
    """Unrelated changes push the old cursor out of a short log; without bookmarks the failover
    would need snapshots.
    """
    nodes = [build_fanout(structs.replace(UNTHROTTLED_LIMITS, log_changes=3)) for _ in range(2)]
    connection = Connection(nodes, [SCOPE_A, SCOPE_B]).exchange_messages()
    for revision in range(11, 31):
        for node in nodes:
            node.apply(
                revision, [feed_change(revision, "global", "x", revision, b"1")], connection.now
            )
    connection.advance(20 * SECOND_NS)
    connection.close_connection()
    connection.client.on_disconnected("cut", connection.now)
    connection.messages.clear()
    connection.advance(SECOND_NS)
    assert (
        connection.messages[0].cursors == ((SCOPE_A, 30), (SCOPE_B, 30))
        and nodes[1].status().snapshots == 0
    )


def test_a_silent_node_is_disconnected_after_the_idle_timeout() -> None:
    """The connection delivers nothing for 60 s, and redials are not answered."""
    node = build_fanout()
    connection = Connection([node, build_fanout()], [SCOPE_A]).exchange_messages()
    silent_subscription = connection.client
    assert silent_subscription.state is SubscriptionState.FOLLOWING
    for now in range(0, 60 * SECOND_NS, SECOND_NS):  # no message is delivered
        silent_subscription.tick(now)
    assert silent_subscription.take_actions()[
        -2:
    ] != [] and silent_subscription.disconnect_reason in (
        "the node is silent",
        "the connection took too long",
    )
    assert silent_subscription.age_ns(60 * SECOND_NS) == 60 * SECOND_NS


def test_failed_dials_rotate_addresses_with_increasing_backoff() -> None:
    """Forty refused dials use successive addresses, with delays up to the maximum backoff."""
    one = Subscription(
        "b",
        [SCOPE_A],
        SubscriptionOptions(lambda scope, row: "", SUBSCRIPTION_LIMITS, Random(7)),
        0,
    )
    dials: list[tuple[int, int]] = []
    now = 0
    while len(dials) < 40:
        for action in one.take_actions():
            if isinstance(action, Dial):
                dials.append((now, action.address_index))
                one.on_disconnected("refused", now)
        now = one.wake_ns
        one.tick(now)
    assert [index for _, index in dials] == list(range(40))
    dial_delays = [
        later - earlier for (earlier, _), (later, _) in zip(dials, dials[1:], strict=False)
    ]
    assert (
        max(dial_delays[:2]) <= SUBSCRIPTION_LIMITS.backoff_ns * 2
        and max(dial_delays) <= SUBSCRIPTION_LIMITS.backoff_most_ns + 1
    )
    assert sum(dial_delays[-10:]) > sum(dial_delays[:10])


def test_retry_later_retries_the_same_node_up_to_a_limit_then_the_next() -> None:
    """Six attempts go to the first node, the seventh to the next; an excessive delay is capped."""
    one = Subscription(
        "b",
        [SCOPE_A],
        SubscriptionOptions(lambda scope, row: "", SUBSCRIPTION_LIMITS, Random(7)),
        0,
    )
    now, dialled_indices = 0, []
    for _ in range(7):
        (dial,) = one.take_actions()
        assert isinstance(dial, Dial)
        dialled_indices.append(dial.address_index)
        one.on_connected("e", now)
        one.receive(1, 0, pack(RetryLater(700)), now)
        assert (
            isinstance(one.take_actions()[-1], Disconnect)
            and one.wake_ns == now + 700 * MILLISECOND_NS
        )
        now = one.wake_ns
        one.tick(now)
    assert dialled_indices == [0] * 6 + [1]
    one.on_connected("e", now)
    one.receive(1, 0, pack(RetryLater(1 << 40)), now)
    assert one.wake_ns == now + SUBSCRIPTION_LIMITS.later_ns


@pytest.mark.parametrize(
    ("generation", "sequence", "message", "expected_error"),
    [
        (1, 1, b"\xc1", "invalid message"),
        (1, 3, pack(Patch(SCOPE_A, 0, 10, True, True, 0, ())), "patch 3 after 0"),
        (2, 1, pack(Patch(SCOPE_A, 0, 10, True, True, 0, ())), "generation 2 of 1"),
        (0, 0, pack(ReplicaBehind(1)), "generation 0 of 1"),
    ],
)
def test_a_node_that_violates_the_protocol_is_disconnected(
    generation: int, sequence: int, message: bytes, expected_error: str
) -> None:
    """Messages that arrive after the disconnect are ignored."""
    one = Subscription(
        "b",
        [SCOPE_A],
        SubscriptionOptions(lambda scope, row: "", SUBSCRIPTION_LIMITS, Random(7)),
        0,
    )
    one.take_actions()
    one.on_connected("e", 0)
    one.take_actions()
    one.receive(generation, sequence, message, 0)
    last = one.take_actions()[-1]
    assert (
        isinstance(last, Disconnect)
        and expected_error in last.reason
        and one.state is SubscriptionState.BACKING_OFF
    )
    # A message after the disconnect is ignored.
    one.receive(1, 1, pack(Patch(SCOPE_A, 0, 10, True, True, 0, ())), 0)
    assert one.take_actions() == [] and not one.is_ready


def test_acknowledgements_of_many_patches_are_coalesced() -> None:
    """Fifty patches within one acknowledgement delay are acknowledged by a single message."""
    node = build_fanout()
    connection = Connection([node], [SCOPE_A]).exchange_messages()
    connection.advance(SECOND_NS)
    connection.messages.clear()
    for revision in range(11, 61):
        node.apply(
            revision,
            [feed_change(revision, SCOPE_A, "x", revision, b"%d" % revision)],
            connection.now,
        )
        connection.exchange_messages()
    connection.advance(SECOND_NS)
    assert connection.messages == [Acknowledge(51)] and node.status().acknowledged == ((60, 1),)


def test_a_delta_after_a_gap_triggers_a_resync_and_an_old_delta_is_ignored() -> None:
    """A delta that starts after the cursor would skip changes, so it is not applied."""
    connection = Connection([build_fanout()], [SCOPE_A]).exchange_messages()
    message = pack(Patch(SCOPE_A, 12, 13, False, True, 0, (Row("upstream/x", 9, b"9"),)))
    connection.client.receive(1, 2, message, 0)
    assert (
        connection.client.resyncs == 1
        and connection.client.scopes[SCOPE_A].rows["upstream/x"].value == b"1"
    )
    # A delta up to a revision before the cursor is ignored.
    connection = Connection([build_fanout()], [SCOPE_A]).exchange_messages()
    connection.client.receive(
        1, 2, pack(Patch(SCOPE_A, 3, 9, False, True, 0, (Row("upstream/x", 9, b"9"),))), 0
    )
    assert (
        connection.client.resyncs == 0
        and connection.client.scopes[SCOPE_A].rows["upstream/x"].value == b"1"
    )
