"""Audit of scope tables.

The audit hashes the rows of a table in steps, and compares the sum of the hashes with the digest of
the table.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.limits import SubscriptionLimits
from loadbalancer.changefeed.messages import Row
from loadbalancer.changefeed.scope_table import ScopeTable


class _Audit:
    """Progress of the audit of one table."""

    def __init__(self, table: ScopeTable) -> None:
        self.table = table
        self.change_count = table.change_count
        self.rows: Iterator[Row] = iter(list(table.rows.values()))
        self.hash_sum = 0


class Auditor:
    """Audits tables one after another.

    Each step hashes `limits.audit_rows` rows; there is one step every `limits.audit_ns`.

    Args:
        limits: The rows per step and the interval of the steps.
        is_subscribed: Returns whether a table still belongs to the subscription.
    """

    def __init__(
        self, limits: SubscriptionLimits, is_subscribed: Callable[[ScopeTable], bool]
    ) -> None:
        self._limits = limits
        self._is_subscribed = is_subscribed
        self._audits: deque[_Audit] = deque()
        self._next_step_ns = 0

    @property
    def due_ns(self) -> int | None:
        """When the next step is due; None if no audit is running."""
        return self._next_step_ns if self._audits else None

    def enqueue(self, table: ScopeTable, now: int) -> None:
        """Queue a table for an audit, unless it is already queued."""
        if all(audit.table is not table for audit in self._audits):
            self._audits.append(_Audit(table))
            self._next_step_ns = max(self._next_step_ns, now)

    def step(self, now: int) -> ScopeTable | None:
        """Run one step.

        Return the audited table if this step completes its audit and the hashes do not match the
        digest.

        An audit is abandoned if its table has changed, is not synced or is no longer subscribed. A
        later bookmark may start a new audit.
        """
        self._next_step_ns = now + self._limits.audit_ns
        audit = self._audits[0]
        table = audit.table
        if (
            not self._is_subscribed(table)
            or not table.is_synced
            or audit.change_count != table.change_count
        ):
            self._audits.popleft()
            return None
        for _ in range(self._limits.audit_rows):
            row = next(audit.rows, None)
            if row is None:
                self._audits.popleft()
                return table if audit.hash_sum & digest.MASK != table.digest else None
            audit.hash_sum += digest.of_row(row)
        return None
