"""What a leader proposes by itself: the next format of the state, and claims that expired.

Pure: it is handed the clock and what was applied.
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
    """Returns the members whose programs are not known to support a format."""
    return [node for node, known in formats.items() if known < required_format]


@dataclass(frozen=True, slots=True)
class ProposedUpgrade:
    """The last format that was proposed, and when it may be proposed again."""

    format: int
    retry_ns: int


class Housekeeper:
    """Proposes commands for the term in which this node leads.

    Attributes:
        term: The term; None while this node does not lead.
    """

    def __init__(self) -> None:
        self.term: int | None = None
        self._expiry: LeaseExpiry | None = None
        self._proposed: ProposedUpgrade | None = None

    def leadership_gained(self, term: int, state: State, now_ns: int) -> None:
        """Starts over for a term: a new leader lets every claim run its full TTL again."""
        if term != self.term:
            state.take_changed_claims()
            self.term = term
            self._expiry = LeaseExpiry(state.active_claims(), now_ns)
            self._proposed = None

    def leadership_lost(self) -> None:
        """Proposes nothing until this node leads again."""
        self.term = None
        self._expiry = None

    def claims_applied(self, claims: Iterable[ActiveClaim], now_ns: int) -> None:
        """Restarts the TTL of claims that were made or renewed."""
        if self._expiry is not None:
            for claim in claims:
                self._expiry.record(claim, now_ns)

    def proposals(
        self, state_format: int, formats: Mapping[int, int], now_ns: int
    ) -> list[AnyCommand]:
        """Returns the commands that are due.

        Args:
            state_format: The format of the state.
            formats: The newest format that each member's program knows, this node's included; 0 for
                a member that was not connected yet.
            now_ns: The clock.
        """
        if self._expiry is None:
            return []
        commands: list[AnyCommand] = []
        next_format = state_format + 1  # one at a time: each migrates what the one before left
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
        """When to call `proposals` next; None for only after an event."""
        return self._expiry.wake_ns if self._expiry is not None else None
