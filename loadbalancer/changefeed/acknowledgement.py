"""Timing of a subscription's acknowledgements, and the refused rows that they report."""

from __future__ import annotations

from loadbalancer.changefeed.limits import SubscriptionLimits
from loadbalancer.changefeed.messages import MAX_REFUSALS, Acknowledge, Refusal
from loadbalancer.changefeed.scope_table import ScopeTable


class Acknowledger:
    """Coalesces acknowledgements: sends one after `ack_ns` or after `ack_bytes` of patches.

    Attributes:
        due_ns: When the next acknowledgement is due; None if there is nothing to acknowledge.
    """

    def __init__(self, limits: SubscriptionLimits) -> None:
        self._limits = limits
        self.due_ns: int | None = None
        self._unacknowledged_bytes = 0
        self._tables_with_refusals: dict[str, ScopeTable] = {}
        self._reported_refusals: tuple[Refusal, ...] = ()

    def reset(self) -> None:
        """Reset the state for a new connection."""
        self.due_ns = None
        self._unacknowledged_bytes = 0
        self._reported_refusals = ()

    def cancel(self) -> None:
        """Cancel the scheduled acknowledgement after the connection closed."""
        self.due_ns = None

    def add_patch(self, size: int, now: int) -> None:
        """Count a received patch and schedule its acknowledgement."""
        if self.due_ns is None:
            self.due_ns = now + self._limits.ack_ns
        self._unacknowledged_bytes += size

    @property
    def is_due_by_size(self) -> bool:
        """Whether `ack_bytes` or more are unacknowledged, so that an acknowledgement is due now."""
        return self.due_ns is not None and self._unacknowledged_bytes >= self._limits.ack_bytes

    def update_refusals(self, table: ScopeTable) -> None:
        """Record the refused rows of a table, or clear them if it has none."""
        if table.refused:
            self._tables_with_refusals[table.scope] = table
        else:
            self._tables_with_refusals.pop(table.scope, None)

    def forget_scope(self, scope: str) -> None:
        """Drop the refusals of a scope that is no longer subscribed."""
        self._tables_with_refusals.pop(scope, None)

    def schedule_refusals(self, now: int) -> None:
        """Schedule an acknowledgement if the refused rows differ from those last reported."""
        if self.due_ns is None and self._current_refusals() != self._reported_refusals:
            self.due_ns = now + self._limits.ack_ns

    def _current_refusals(self) -> tuple[Refusal, ...]:
        refusals: list[Refusal] = []
        for table in self._tables_with_refusals.values():
            refusals += list(table.refused.values())[: MAX_REFUSALS - len(refusals)]
        return tuple(refusals)

    def build_acknowledgement(self, sequence: int) -> Acknowledge:
        """Return the acknowledgement of all patches up to `sequence` and mark it as sent."""
        self.due_ns = None
        self._unacknowledged_bytes = 0
        self._reported_refusals = self._current_refusals()
        return Acknowledge(sequence, self._reported_refusals)
