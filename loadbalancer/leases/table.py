"""Replicated lease state: the holder, its fencing token and the queue of candidates.

The state transitions use no clock to expire a lease: an expired TTL is itself an entry of the log,
proposed by the store's leader.

Terms: lease (Gray and Cheriton, 1989); sequencer (Burrows, "The Chubby lock service", 2.4), called
fencing token here. Each grant draws a token from one increasing counter of the store, so no token
is ever reused and the higher of two tokens of a lease is the newer.
"""

from __future__ import annotations

import re
from typing import Any, Final

import msgspec

NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]*(/[A-Za-z0-9][A-Za-z0-9._:@-]*)*\Z")
MAX_NAME_CHARS: Final = 200  # limit for names of leases and holders, and for notes
MAX_NAME_CHARS_SHOWN: Final = 60
MAX_CANDIDATES: Final = 5  # per lease; further processes observe and claim when the queue has room
MAX_RELEASED_CLAIMS: Final = 8  # remembered per lease, so that late messages renew none of them
MIN_TTL_MS: Final = 100
MAX_TTL_MS: Final = 3_600_000
OFFER_FRACTION: Final = 0.5  # of the TTL, within which a candidate must accept an offered lease
EPOCH_BITS: Final = 32  # a token is EPOCH * 2**32 + N; a restored store starts a new epoch
CLAIM_LIMIT: Final = 1 << 63


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Base of structs encoded by position: new fields go at the end and need a default."""


class Candidate(ArrayStruct, frozen=True):
    """A process that claims a lease. Candidates with a lower `rank` come first."""

    holder: str
    claim: int  # unique to each incarnation of a process
    rank: int = 0
    ttl_ms: int = 0
    note: str = ""


class Lease(ArrayStruct, frozen=True):
    """A lease that is held, offered or free."""

    name: str
    token: int = 0  # the last token granted, even if the lease is free now
    holder: str = ""  # empty if the lease is free
    claim: int = 0
    is_offered: bool = False  # granted to the first candidate, which has not accepted it yet
    ttl_ms: int = 0
    note: str = ""
    rank: int = 0
    since_ms: int = 0  # by the claimant's clock; for display only, never used for decisions
    candidates: tuple[Candidate, ...] = ()
    released_claims: tuple[int, ...] = ()
    rejected_writes: int = 0  # writes under this lease that carried an invalid token

    @property
    def is_held(self) -> bool:
        """Whether a holder has accepted the lease and may act under it."""
        return bool(self.holder) and not self.is_offered

    def permits(self, token: int) -> bool:
        """Return whether a write with this token is allowed."""
        return self.is_held and token == self.token


_lease_decoder = msgspec.msgpack.Decoder(Lease)
_encoder = msgspec.msgpack.Encoder()


def pack(lease: Lease) -> bytes:
    """Encode a lease for storage."""
    return _encoder.encode(lease)


def unpack(data: bytes) -> Lease:
    """Decode a stored lease.

    Raises:
        ValueError: The data is not a valid lease.
    """
    return _lease_decoder.decode(data)


def format_token(token: int) -> str:
    """Return a token for display, with its epoch if the store was ever restored."""
    epoch = token >> EPOCH_BITS
    number = token & ((1 << EPOCH_BITS) - 1)
    return f"{epoch}.{number}" if epoch else str(number)


def next_epoch(token: int, unix_s: int) -> int:
    """Return the initial token counter of a store restored from a snapshot.

    It is unknown which tokens the lost store granted after the snapshot, and another store may be
    restored from the same snapshot. The operator's clock at the time of the restore gives each
    restored store an epoch of its own. The counter never falls below that of the snapshot.
    """
    return max((token >> EPOCH_BITS) + 1, unix_s) << EPOCH_BITS


def claim_fault(name: str, holder: str, claim: int, ttl_ms: int, note: str) -> str:
    """Return why a claim is invalid; empty if it is valid.

    The texts are part of the replicated state, so changing one changes the stored format.
    """
    for text in (name, holder):
        if len(text) > MAX_NAME_CHARS or not NAME.match(text):
            return f"{text[:MAX_NAME_CHARS_SHOWN]!r} is no name"
    if not 0 < claim < CLAIM_LIMIT:
        return "a claim is a number over 0"
    if not MIN_TTL_MS <= ttl_ms <= MAX_TTL_MS:
        return f"a lease's time is {MIN_TTL_MS} to {MAX_TTL_MS} ms"
    return "" if len(note) <= MAX_NAME_CHARS else f"a note has {MAX_NAME_CHARS} characters at most"


class Outcome(msgspec.Struct, frozen=True):
    """Result of applying a command to a lease."""

    lease: Lease
    token: int = 0  # the claimant's token; 0 if it does not hold the lease
    queue_position: int = 0  # among the candidates, from 1; 0 if not queued
    reason: str = ""  # why the command was rejected; empty if it was accepted
    is_granted: bool = False  # the command consumed a new token


def claim(lease: Lease, claimant: Candidate, token: int, time_ms: int) -> Outcome:
    """Claim a lease, or renew it as its holder or as a candidate. The operation is idempotent.

    Args:
        lease: The current lease.
        claimant: The process that claims it.
        token: The next token to grant.
        time_ms: Time by the claimant's clock.
    """
    if claimant.claim in lease.released_claims:
        return Outcome(lease, reason="this claim was given back")
    if lease.claim == claimant.claim and lease.holder:
        if lease.is_offered:
            lease = _with(lease, is_offered=False, since_ms=time_ms)
        return Outcome(lease, lease.token)
    if not lease.holder:
        other_candidates = tuple(c for c in lease.candidates if c.holder != claimant.holder)
        granted = _grant(_with(lease, candidates=other_candidates), claimant, token, time_ms)
        return Outcome(granted, token, is_granted=True)
    return _enqueue(lease, claimant)


def _enqueue(lease: Lease, claimant: Candidate) -> Outcome:
    """Queue a claimant, replacing an earlier incarnation of the same process.

    A process that is already queued keeps its position unless its rank changed.
    """
    queue = [c for c in lease.candidates if c.holder != claimant.holder]
    earlier = next((c for c in lease.candidates if c.holder == claimant.holder), None)
    if earlier is None and len(queue) >= MAX_CANDIDATES:
        return Outcome(lease, reason="there is no room among the candidates")
    if earlier is not None and earlier.rank == claimant.rank:
        queue = [claimant if c.holder == claimant.holder else c for c in lease.candidates]
    else:
        index = next((i for i, c in enumerate(queue) if c.rank > claimant.rank), len(queue))
        queue.insert(index, claimant)
    position = queue.index(claimant) + 1
    return Outcome(_with(lease, candidates=tuple(queue)), queue_position=position)


def release(lease: Lease, claim_number: int, token: int, next_token: int, time_ms: int) -> Outcome:
    """Release a lease or a candidacy for good; later claims with the same number are rejected.

    Args:
        lease: The current lease.
        claim_number: The claim to release. That of an earlier holder leaves the current holder
            in place.
        token: Release only if the lease is held under this token; 0 for any token.
        next_token: The next token to grant.
        time_ms: Time by the releasing process's clock.
    """
    is_holder = bool(lease.holder) and lease.claim == claim_number
    if is_holder and token and token != lease.token:
        return Outcome(lease, reason="it is held under another token")
    released = lease.released_claims
    if claim_number not in released:
        released = (*released, claim_number)[-MAX_RELEASED_CLAIMS:]
    remaining = _with(
        lease, released_claims=released, candidates=_without(lease.candidates, claim_number)
    )
    return _offer_or_free(remaining, next_token, time_ms) if is_holder else Outcome(remaining)


def expire_claim(lease: Lease, claim_number: int, next_token: int, time_ms: int = 0) -> Outcome:
    """End the expired claim of a holder or a candidate, or one to which the lease was offered."""
    if any(c.claim == claim_number for c in lease.candidates):
        return Outcome(_with(lease, candidates=_without(lease.candidates, claim_number)))
    if not lease.holder or lease.claim != claim_number:
        return Outcome(lease, reason="it is not held under this claim")
    return _offer_or_free(lease, next_token, time_ms)


def _without(candidates: tuple[Candidate, ...], claim_number: int) -> tuple[Candidate, ...]:
    return tuple(c for c in candidates if c.claim != claim_number)


def _offer_or_free(lease: Lease, token: int, time_ms: int) -> Outcome:
    """Offer the lease to its first candidate, or free it if there is none."""
    if lease.candidates:
        first = lease.candidates[0]
        queue = _with(lease, candidates=lease.candidates[1:])
        offered = _with(_grant(queue, first, token, time_ms), is_offered=True)
        return Outcome(offered, is_granted=True)
    return Outcome(_with(lease, holder="", claim=0, is_offered=False, note="", since_ms=time_ms))


def _grant(lease: Lease, claimant: Candidate, token: int, time_ms: int) -> Lease:
    return _with(
        lease,
        token=token,
        holder=claimant.holder,
        claim=claimant.claim,
        is_offered=False,
        ttl_ms=claimant.ttl_ms,
        note=claimant.note,
        rank=claimant.rank,
        since_ms=time_ms,
    )


def write_rejected(lease: Lease) -> Lease:
    """Count a write under this lease that was rejected for its token."""
    return _with(lease, rejected_writes=lease.rejected_writes + 1)


def _with(lease: Lease, **changes: Any) -> Lease:
    return msgspec.structs.replace(lease, **changes)
