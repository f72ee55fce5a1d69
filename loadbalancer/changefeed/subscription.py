"""A balancer's side of the changefeed: the rows of its scopes, and the protocol that syncs them.

The module does no I/O: its inputs are the node's messages and the current time; its output is
messages for the node, dials, and rows to apply.

Guaranteed: the rows of a scope are those of one revision of the store, except that a refused row
keeps its last accepted version; the revision never decreases while the store's epoch is unchanged.
Not guaranteed: two scopes may be at different revisions, even if one write changed both; and a node
that sends a bookmark may itself be behind the store: `age_ns` counts from the node's last message,
not from the store's last write.

All times are those of a monotonic clock, in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.acknowledgement import Acknowledger
from loadbalancer.changefeed.actions import Action, Apply, Dial, Disconnect, SendMessage
from loadbalancer.changefeed.audit import Auditor
from loadbalancer.changefeed.limits import MILLISECOND_NS, SubscriptionLimits
from loadbalancer.changefeed.messages import (
    MAX_SCOPES,
    Bookmark,
    ClientMessage,
    Patch,
    ReplicaBehind,
    RetryLater,
    Row,
    Subscribe,
    UpdateScopes,
    is_scope_name,
    pack,
    unpack_server_message,
)
from loadbalancer.changefeed.scope_table import PatchBuffer, RowCheck, ScopeTable
from loadbalancer.changefeed.subscription_options import SubscriptionOptions, SubscriptionState

__all__ = [
    "Action",
    "Apply",
    "Dial",
    "Disconnect",
    "RowCheck",
    "ScopeTable",
    "SendMessage",
    "Subscription",
    "SubscriptionLimits",
    "SubscriptionOptions",
    "SubscriptionState",
]
MAX_BACKOFF_DOUBLINGS: Final = 20
RETRY_LATER_REASON: Final = "the node asks to retry later"


class Subscription:
    """A subscription to a set of scopes.

    It dials when it is created, and redials after each disconnect; `tick` drives the timers.

    Attributes:
        epoch: The store's epoch, as reported by the last node.
        disconnect_reason: Why the last connection was closed.
        resyncs: How often a scope was requested again after a digest mismatch or a gap.
    """

    def __init__(
        self, name: str, scopes: Collection[str], options: SubscriptionOptions, now: int
    ) -> None:
        self.name = name
        self.limits = options.limits
        self.state = SubscriptionState.BACKING_OFF
        self.epoch = ""
        self.disconnect_reason = ""
        self.scopes: dict[str, ScopeTable] = {}
        self.generation = 1
        self.resyncs = 0
        self._check_row = options.check_row
        self._rng = options.rng
        self._address_index = 0
        self._failed_dials = 0  # consecutive attempts without a bookmark
        self._retry_later_count = 0  # consecutive
        self._state_deadline_ns = now
        self._sequence = 0  # of the last received patch
        self._received_generation = 1
        self._acknowledger = Acknowledger(options.limits)
        self._auditor = Auditor(options.limits, lambda table: self.scopes.get(table.scope) is table)
        self._is_current = False  # whether the last bookmark showed all scopes up to date
        self._current_at_ns = now
        self._actions: list[Action] = []
        self.update_scopes(scopes, (), now)
        self.tick(now)

    # Scopes

    def update_scopes(self, add: Collection[str], remove: Collection[str], now: int) -> None:
        """Change the scopes with one message.

        Scopes to add that are already subscribed, and scopes to remove that are not, are ignored; a
        subscribed scope in both lists is restarted.

        Raises:
            ValueError: A scope is malformed, or there are too many.
        """
        added = [
            scope for scope in dict.fromkeys(add) if scope not in self.scopes or scope in remove
        ]
        removed = [scope for scope in dict.fromkeys(remove) if scope in self.scopes]
        malformed = [scope for scope in added if not is_scope_name(scope)]
        if malformed:
            raise ValueError(f"{malformed[0][:80]!r} is no scope")
        if len(self.scopes) - len(removed) + len(added) > MAX_SCOPES:
            raise ValueError(f"more than {MAX_SCOPES} scopes")
        if added or removed:
            self._replace_scopes(added, removed, now)

    def _replace_scopes(self, added: list[str], removed: list[str], now: int) -> None:
        if self._is_connected:
            self.generation += 1
        for scope in removed:
            del self.scopes[scope]
            self._acknowledger.forget_scope(scope)
        for scope in added:
            self.scopes[scope] = ScopeTable(scope, self.generation)
        self._send_update([(scope, 0) for scope in added], removed)
        self._schedule_refusals(now)

    def _send_update(self, add: list[tuple[str, int]], remove: list[str]) -> None:
        if self._is_connected:
            self._send(UpdateScopes(self.generation, tuple(add), tuple(remove)))

    @property
    def is_ready(self) -> bool:
        """Whether a snapshot of every scope was received."""
        return all(table.is_synced for table in self.scopes.values())

    def age_ns(self, now: int) -> int:
        """Return the time since the subscription was last up to date with its node.

        If it never was, this is the time since the subscription was created.
        """
        return now - self._current_at_ns

    @property
    def _is_connected(self) -> bool:
        return self.state not in (SubscriptionState.BACKING_OFF, SubscriptionState.DIALLING)

    # The connection

    def on_connected(self, epoch: str, now: int) -> None:
        """Handle a successful dial to a node with this store epoch."""
        if self.state is not SubscriptionState.DIALLING:
            return
        if epoch != self.epoch:
            self.epoch = epoch
            for table in self.scopes.values():
                table.is_synced = False
                table.cursor = 0
        self.state = SubscriptionState.SUBSCRIBING
        self._state_deadline_ns = now + self.limits.silent_ns
        self.generation = 1
        self._received_generation = 1
        self._sequence = 0
        self._acknowledger.reset()
        self._is_current = False
        for table in self.scopes.values():
            table.generation = 1
            table.discard_chunks()
        cursors = tuple((scope, table.resume_cursor()) for scope, table in self.scopes.items())
        self._send(Subscribe(self.name, epoch, cursors))
        self._schedule_refusals(now)

    def on_disconnected(self, reason: str, now: int) -> None:
        """Handle a failed dial, or a connection that the node or the network closed."""
        if self.state is not SubscriptionState.BACKING_OFF:
            self._back_off(reason, now)

    def _disconnect(self, reason: str, now: int) -> None:
        self._actions.append(Disconnect(reason))
        self._back_off(reason, now)

    def _back_off(self, reason: str, now: int) -> None:
        """Schedule a dial to the next node after a random delay."""
        doublings = min(self._failed_dials, MAX_BACKOFF_DOUBLINGS)
        max_delay_ns = min(self.limits.backoff_most_ns, self.limits.backoff_ns << doublings)
        self._failed_dials += 1
        self._retry_later_count = 0
        self._address_index += 1
        self._enter_backoff(reason, now + int(self._rng.random() * max_delay_ns) + 1)

    def _enter_backoff(self, reason: str, until_ns: int) -> None:
        self.state = SubscriptionState.BACKING_OFF
        self.disconnect_reason = reason
        self._state_deadline_ns = until_ns
        self._acknowledger.cancel()
        self._is_current = False

    def tick(self, now: int) -> None:
        """Run the timers that are due: dials, timeouts, acknowledgements and audit steps."""
        if self._state_deadline_ns <= now:
            self._on_state_deadline(now)
        ack_due_ns = self._acknowledger.due_ns
        if ack_due_ns is not None and ack_due_ns <= now:
            self._acknowledge()
        audit_due_ns = self._auditor.due_ns
        if audit_due_ns is not None and audit_due_ns <= now:
            corrupt_table = self._auditor.step(now)
            if corrupt_table is not None:
                self._resync(corrupt_table)

    def _on_state_deadline(self, now: int) -> None:
        if self.state is SubscriptionState.BACKING_OFF:
            self.state = SubscriptionState.DIALLING
            self._state_deadline_ns = now + self.limits.dial_ns
            self._actions.append(Dial(self._address_index))
        elif self.state is SubscriptionState.DIALLING:
            self._disconnect("the connection took too long", now)
        elif self.state is SubscriptionState.PARKED:
            self._disconnect("the node is behind, and stays so", now)
        else:
            self._disconnect("the node is silent", now)

    @property
    def wake_ns(self) -> int:
        """When `tick` must be called next."""
        due = self._state_deadline_ns
        if self._acknowledger.due_ns is not None:
            due = min(due, self._acknowledger.due_ns)
        if self._auditor.due_ns is not None:
            due = min(due, self._auditor.due_ns)
        return due

    # Messages from the node

    def receive(self, generation: int, sequence: int, payload: bytes, now: int) -> None:
        """Handle a message from the node.

        Args:
            generation: Generation of the subscription when the node sent the message.
            sequence: Sequence number of a patch; 0 for any other message.
            payload: The encoded message.
            now: The current time.
        """
        if not self._is_connected:
            return
        try:
            message = unpack_server_message(payload)
        except ValueError as error:
            self._disconnect(f"invalid message: {error}", now)
            return
        if not self._received_generation <= generation <= self.generation:
            self._disconnect(f"generation {generation} of {self.generation}", now)
            return
        self._received_generation = generation
        if isinstance(message, RetryLater):
            self._on_retry_later(message.after_ms, now)
            return
        if isinstance(message, ReplicaBehind):
            if self.state is not SubscriptionState.PARKED:
                self._state_deadline_ns = now + self.limits.behind_ns
            self.state = SubscriptionState.PARKED
            return
        self.state = SubscriptionState.FOLLOWING
        self._state_deadline_ns = now + self.limits.silent_ns
        if isinstance(message, Bookmark):
            self._on_bookmark(generation, message, now)
        elif sequence != self._sequence + 1:
            self._disconnect(f"patch {sequence} after {self._sequence}", now)
        else:
            self._sequence = sequence
            self._on_patch(generation, message, len(payload), now)
        if self._is_current and self._is_connected:
            self._current_at_ns = now

    def _on_retry_later(self, after_ms: int, now: int) -> None:
        self._actions.append(Disconnect(RETRY_LATER_REASON))
        self._retry_later_count += 1
        if self._retry_later_count > self.limits.later_most:
            self._retry_later_count = 0
            self._address_index += 1
        delay_ns = min(max(after_ms, 1) * MILLISECOND_NS, self.limits.later_ns)
        self._enter_backoff(RETRY_LATER_REASON, now + delay_ns)

    def _on_bookmark(self, generation: int, bookmark: Bookmark, now: int) -> None:
        self._failed_dials = 0
        self._retry_later_count = 0
        synced_tables = [
            table
            for table in self.scopes.values()
            if table.generation <= generation and table.is_synced
        ]
        for table in synced_tables:
            table.cursor = max(table.cursor, bookmark.revision)
        for scope, expected_digest in bookmark.digests:
            self._compare_digest(generation, scope, expected_digest, now)
        # A bookmark without digests means that the node has more to send.
        is_complete = bool(bookmark.digests) or not self.scopes
        self._is_current = is_complete and len(synced_tables) == len(self.scopes) and self.is_ready

    def _compare_digest(self, generation: int, scope: str, expected: int, now: int) -> None:
        table = self.scopes.get(scope)
        if table is None or table.generation > generation:
            return
        if not table.is_synced or table.digest != expected or not self._digest_matches(table):
            self._resync(table)
        elif len(table.rows) > self.limits.audit_rows:
            self._auditor.enqueue(table, now)

    def _on_patch(self, generation: int, patch: Patch, size: int, now: int) -> None:
        self._acknowledger.add_patch(size, now)
        table = self.scopes.get(patch.scope)
        if table is not None and table.generation <= generation:
            buffer = table.add_chunk(patch, self._check_row)
            if buffer is not None:
                self._apply_patch(table, patch, buffer, now)
        if self._acknowledger.is_due_by_size:
            self._acknowledge()

    def _apply_patch(self, table: ScopeTable, patch: Patch, buffer: PatchBuffer, now: int) -> None:
        """Apply the complete patch in `buffer`; `patch` is its last chunk."""
        if patch.is_snapshot:
            accepted = self._apply_snapshot(table, patch, buffer, now)
        else:
            accepted = self._apply_delta(table, patch, buffer)
        if accepted is None:
            return
        self._acknowledger.update_refusals(table)
        if accepted or patch.is_snapshot:
            self._actions.append(
                Apply(table.scope, patch.is_snapshot, tuple(accepted), table.cursor)
            )
        self._schedule_refusals(now)

    def _apply_snapshot(
        self, table: ScopeTable, patch: Patch, buffer: PatchBuffer, now: int
    ) -> list[Row] | None:
        if patch.revision < table.cursor:
            self._disconnect(
                f"{table.scope} went back from {table.cursor} to {patch.revision}", now
            )
            return None
        accepted = table.apply_snapshot(buffer, patch.digest)
        if accepted is None:  # the node's own rows are corrupt, so try another node
            self._disconnect(f"rows of {table.scope} do not have their digest", now)
        return accepted

    def _apply_delta(
        self, table: ScopeTable, patch: Patch, buffer: PatchBuffer
    ) -> list[Row] | None:
        if not table.is_synced or patch.revision <= table.cursor:
            return None
        if patch.after > table.cursor:
            self._resync(table)
            return None
        accepted = table.apply_delta(buffer, patch.digest)
        if accepted is None or not self._digest_matches(table):
            self._resync(table)
            return None
        return accepted

    # Acknowledgements and resynchronisation

    def _schedule_refusals(self, now: int) -> None:
        if self._is_connected:
            self._acknowledger.schedule_refusals(now)

    def _acknowledge(self) -> None:
        self._send(self._acknowledger.build_acknowledgement(self._sequence))

    def _send(self, message: ClientMessage) -> None:
        self._actions.append(SendMessage(pack(message)))

    def _resync(self, table: ScopeTable) -> None:
        """Request a snapshot of a scope whose rows differ from the node's; keep the old rows."""
        self.resyncs += 1
        if self._is_connected:
            self.generation += 1
            table.generation = self.generation
        table.is_synced = False
        table.discard_chunks()
        self._is_current = False
        self._send_update([(table.scope, 0)], [])

    def _digest_matches(self, table: ScopeTable) -> bool:
        """Return whether the rows match their digest; always true for scopes left to the audit."""
        if len(table.rows) > self.limits.audit_rows:
            return True
        return digest.of_rows(table.rows.values()) == table.digest

    def take_actions(self) -> list[Action]:
        """Return the requested actions, in order, and clear them."""
        actions = self._actions
        self._actions = []
        return actions
