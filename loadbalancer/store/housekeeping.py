"""Commands that a leader proposes on its own: state format upgrades and expired lease claims.

The module does no I/O: the caller passes the time and the applied claims.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from loadbalancer.leases.expiry import ActiveClaim, LeaseExpiry
from loadbalancer.store.commands import STATE_FORMAT, AnyCommand, ExpireClaim, Upgrade
from loadbalancer.store.durable.state import State

UPGRADE_RETRY_NS: Final = 1_000_000_000


def nodes_below_format(formats: Mapping[int, int], required_format: int) -> list[int]:
    """Return the members that do not support a format, or whose support is unknown."""
    return [node for node, known in formats.items() if known < required_format]


@dataclass(frozen=True, slots=True)
class ProposedUpgrade:
    """The last proposed format, and the time after which it may be proposed again."""

    format: int
    retry_ns: int


class Housekeeper:
    """Generates the commands that are due while this node leads.

    Attributes:
        term: The term; None while this node does not lead.
    """

    def __init__(self) -> None:
        self.term: int | None = None
        self._expiry: LeaseExpiry | None = None
        self._proposed: ProposedUpgrade | None = None

    def leadership_gained(self, term: int, state: State, now_ns: int) -> None:
        """Reset the state for a new term, in which every claim gets its full TTL again."""
        if term != self.term:
            state.take_changed_claims()
            self.term = term
            self._expiry = LeaseExpiry(state.active_claims(), now_ns)
            self._proposed = None

    def leadership_lost(self) -> None:
        """Stop generating commands until this node leads again."""
        self.term = None
        self._expiry = None

    def claims_applied(self, claims: Iterable[ActiveClaim], now_ns: int) -> None:
        """Restart the TTL of claims that were created or renewed."""
        if self._expiry is not None:
            for claim in claims:
                self._expiry.record(claim, now_ns)

    def proposals(
        self, state_format: int, formats: Mapping[int, int], now_ns: int
    ) -> list[AnyCommand]:
        """Return the commands that are due.

        Args:
            state_format: The format of the state.
            formats: The newest format that each member supports, including this node; 0 for a
                member that has not been connected yet.
            now_ns: The current time.
        """
        if self._expiry is None:
            return []
        commands: list[AnyCommand] = []
        # One step at a time: each upgrade migrates from the previous format.
        next_format = state_format + 1
        if self._is_upgrade_due(next_format, formats, now_ns):
            self._proposed = ProposedUpgrade(next_format, now_ns + UPGRADE_RETRY_NS)
            commands.append(Upgrade(next_format))
        expired = self._expiry.take_expired(now_ns)
        commands += [ExpireClaim(claim.lease, claim.claim, claim.round) for claim in expired]
        return commands

    def _is_upgrade_due(self, next_format: int, formats: Mapping[int, int], now_ns: int) -> bool:
        if next_format > STATE_FORMAT or nodes_below_format(formats, next_format):
            return False
        proposed = self._proposed
        return proposed is None or proposed.format != next_format or now_ns >= proposed.retry_ns

    @property
    def wake_ns(self) -> int | None:
        """The time to call `proposals` next; None if no call is needed before the next event."""
        return self._expiry.wake_ns if self._expiry is not None else None
