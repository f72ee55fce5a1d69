"""Leases stored as items, and the `rounds` table: how often the TTL of each claim restarted."""

from __future__ import annotations

from typing import Final

from loadbalancer.leases import table
from loadbalancer.leases.expiry import ActiveClaim
from loadbalancer.leases.table import Candidate, Lease, Outcome
from loadbalancer.store.commands import (
    LEASE_PREFIX,
    Claim,
    ExpireClaim,
    Op,
    Release,
    Result,
    ResultCode,
    Write,
)
from loadbalancer.store.durable.items import Items
from loadbalancer.store.durable.schema import LEASES_FORMAT, prefix_end

MAX_LEASES = 5_000
CANDIDATE_EXPIRY_TTLS: Final = (
    2  # a candidate's claim expires after this number of TTLs without renewal
)
LeaseCommand = Claim | Release | ExpireClaim
# These texts are part of the replicated state: changing one is a change of format.
LEASES_NOT_SUPPORTED: Final = "not all nodes of the store know leases yet"
CLAIM_RENEWED: Final = "it was renewed since"


def _claim_ttls(lease: Lease) -> dict[int, int]:
    """Return the time in ms after which each claim of a lease expires without renewal."""
    ttls_ms = {c.claim: CANDIDATE_EXPIRY_TTLS * c.ttl_ms for c in lease.candidates}
    if lease.holder:
        ttl_ms = lease.ttl_ms
        ttls_ms[lease.claim] = int(ttl_ms * table.OFFER_FRACTION) if lease.is_offered else ttl_ms
    return ttls_ms


class LeaseRecords(Items):
    """Stored leases, and the `rounds` table with the renewal round of each claim."""

    def active_claims(self) -> list[ActiveClaim]:
        """Return all claims with their renewal rounds and TTLs."""
        return [
            ActiveClaim(lease.name, claim, self._renewal_round(lease.name, claim), ttl_ms)
            for lease in self._stored_leases()
            for claim, ttl_ms in _claim_ttls(lease).items()
        ]

    def _reload_leases(self) -> None:
        self.leases = {lease.name: lease for lease in self._stored_leases()}

    def _stored_leases(self) -> list[Lease]:
        if self.format < LEASES_FORMAT:
            return []
        return [
            table.unpack(row[0])
            for row in self.db.execute(
                "SELECT value FROM items WHERE key >= ? AND key < ? ORDER BY key",
                (LEASE_PREFIX, prefix_end(LEASE_PREFIX)),
            ).fetchall()
        ]

    def _stored_lease(self, name: str) -> Lease:
        row = self.db.execute(
            "SELECT value FROM items WHERE key = ?", (LEASE_PREFIX + name,)
        ).fetchone()
        return table.unpack(row[0]) if row else Lease(name)

    def _put_lease(self, lease: Lease, index: int, time_ms: int) -> None:
        command = Write(0, 0, 0, (), time_ms=time_ms, author=lease.holder)
        self._apply_op(Op(LEASE_PREFIX + lease.name, table.pack(lease)), command, index, 0)
        self.leases[lease.name] = lease

    # ---- commands --------------------------------------------------------------------------------

    def _apply_lease_command(self, command: LeaseCommand, index: int) -> Result:
        if self.format < LEASES_FORMAT:
            return Result(ResultCode.REFUSED, index, (), LEASES_NOT_SUPPORTED)
        rejection_text = self._lease_command_rejection(command)
        if rejection_text:
            return Result(ResultCode.REFUSED, index, (), rejection_text)
        lease = self._stored_lease(command.lease)
        if isinstance(command, Claim) and not lease.token and not self._is_below_lease_limit():
            return Result(ResultCode.REFUSED, index, (), f"there are {MAX_LEASES} leases already")
        if (
            isinstance(command, ExpireClaim)
            and self._renewal_round(command.lease, command.claim) != command.round
        ):
            return Result(ResultCode.DONE, index, (), CLAIM_RENEWED)
        outcome = self._lease_outcome(lease, command)
        if outcome.is_granted:
            self.counters.tokens += 1
            self._set_meta(tokens=self.counters.tokens)
        if outcome.lease != lease and (lease.token or outcome.is_granted):
            self._put_lease(outcome.lease, index, command.time_ms)
        self._record_renewal_rounds(lease, outcome.lease, command)
        # The result of a lease command carries the token and the queue position in `versions`.
        versions = (outcome.token, outcome.queue_position)
        return Result(ResultCode.DONE, index, versions, outcome.reason)

    @staticmethod
    def _lease_command_rejection(command: LeaseCommand) -> str:
        """Return why the command is malformed, whatever the stored state; empty if it is not."""
        if isinstance(command, Claim):
            return table.claim_fault(
                command.lease, command.holder, command.claim, command.ttl_ms, command.note
            )
        if len(command.lease) > table.MAX_NAME_CHARS or not table.NAME.match(command.lease):
            return "it is no name"
        return ""

    def _lease_outcome(self, lease: Lease, command: LeaseCommand) -> Outcome:
        next_token = self.counters.tokens + 1
        match command:
            case Claim():
                candidate = Candidate(
                    command.holder, command.claim, command.rank, command.ttl_ms, command.note
                )
                return table.claim(lease, candidate, next_token, command.time_ms)
            case Release():
                return table.release(
                    lease, command.claim, command.token, next_token, command.time_ms
                )
            case ExpireClaim():
                return table.expire_claim(lease, command.claim, next_token, command.time_ms)

    def _is_below_lease_limit(self) -> bool:
        row = self.db.execute(
            "SELECT count(*) FROM items WHERE key >= ? AND key < ?",
            (LEASE_PREFIX, prefix_end(LEASE_PREFIX)),
        ).fetchone()
        return int(row[0]) < MAX_LEASES

    # ---- renewals --------------------------------------------------------------------------------

    def _renewal_round(self, lease: str, claim: int) -> int:
        """Return how often the TTL of a claim has restarted; 0 if the claim is unknown."""
        row = self.db.execute(
            "SELECT round FROM rounds WHERE lease = ? AND claim = ?", (lease, claim)
        ).fetchone()
        return int(row[0]) if row else 0

    def _record_renewal_rounds(self, before: Lease, after: Lease, command: LeaseCommand) -> None:
        """Update the renewal rounds of a lease's claims.

        The round of an ended claim is deleted. The round of a claim advances when the claim is made
        or renewed, and when its TTL changes because it is granted or offered the lease.
        """
        old_ttls_ms = _claim_ttls(before)
        new_ttls_ms = _claim_ttls(after)
        for claim in old_ttls_ms.keys() - new_ttls_ms.keys():
            self.db.execute("DELETE FROM rounds WHERE lease = ? AND claim = ?", (after.name, claim))
            # A TTL of 0 marks an ended claim.
            self.changed_claims.append(ActiveClaim(after.name, claim, 0, 0))
        for claim, ttl_ms in new_ttls_ms.items():
            is_renewed = isinstance(command, Claim) and command.claim == claim
            if old_ttls_ms.get(claim) == ttl_ms and not is_renewed:
                continue
            renewal_round = self._renewal_round(after.name, claim) + 1
            self.db.execute(
                "INSERT OR REPLACE INTO rounds VALUES (?, ?, ?)", (after.name, claim, renewal_round)
            )
            self.changed_claims.append(ActiveClaim(after.name, claim, renewal_round, ttl_ms))
