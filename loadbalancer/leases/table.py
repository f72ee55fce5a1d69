"""A lease as the store's log makes it: who holds it, under which token, and who is queued.

There is no clock here: that a TTL has run out is itself an entry of the log, proposed by the
leader of the store.

Terms: lease (Gray and Cheriton, 1989); sequencer (Burrows, "The Chubby lock service", 2.4), here
fencing token. A token is drawn at each grant from one counter of the store that only grows, so none
ever returns, and of two tokens of one lease the higher is the later.
"""

from __future__ import annotations

import re
from typing import Any, Final

import msgspec

NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]*(/[A-Za-z0-9][A-Za-z0-9._:@-]*)*\Z")
MAX_NAME_CHARS: Final = 200  # of a lease, of a holder and of a note
MAX_NAME_CHARS_SHOWN: Final = 60
MAX_CANDIDATES: Final = 5  # of one lease; other processes observe and claim when there is room
MAX_RELEASED_CLAIMS: Final = 8  # remembered, so that a late message does not renew one of them
MIN_TTL_MS: Final = 100
MAX_TTL_MS: Final = 3_600_000
OFFER_FRACTION: Final = 0.5  # of the TTL, within which a candidate takes what was offered to it
EPOCH_BITS: Final = 32  # a token is EPOCH * 2**32 + N; a restored store begins a new epoch
CLAIM_LIMIT: Final = 1 << 63


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Encoded by position: fields are only ever added at the end, with a default."""


class Candidate(ArrayStruct, frozen=True):
    """A process that claims a lease; the lower its `rank`, the sooner it is granted."""

    holder: str
    claim: int  # drawn anew by each incarnation of a process
    rank: int = 0
    ttl_ms: int = 0
    note: str = ""


class Lease(ArrayStruct, frozen=True):
    """A lease, held, offered or free."""

    name: str
    token: int = 0  # the last that was granted, whoever holds the lease now
    holder: str = ""  # empty: nobody
    claim: int = 0
    is_offered: bool = False  # granted to the first candidate, which has not taken it yet
    ttl_ms: int = 0
    note: str = ""
    rank: int = 0
    since_ms: int = 0  # the claimant's clock: shown, and never decided by
    candidates: tuple[Candidate, ...] = ()
    released_claims: tuple[int, ...] = ()
    rejected_writes: int = 0  # writes under this lease that bore another token

    @property
    def is_held(self) -> bool:
        """Whether somebody may act under it."""
        return bool(self.holder) and not self.is_offered

    def permits(self, token: int) -> bool:
        """Return whether a write that bears this token may be made."""
        return self.is_held and token == self.token


_lease_decoder = msgspec.msgpack.Decoder(Lease)
_encoder = msgspec.msgpack.Encoder()


def pack(lease: Lease) -> bytes:
    """Encode a lease as it is stored."""
    return _encoder.encode(lease)


def unpack(data: bytes) -> Lease:
    """Decode a stored lease.

    Raises:
        ValueError: It is none.
    """
    return _lease_decoder.decode(data)


def format_token(token: int) -> str:
    """Return a token as people read it: with its epoch, where the store was ever restored."""
    epoch = token >> EPOCH_BITS
    number = token & ((1 << EPOCH_BITS) - 1)
    return f"{epoch}.{number}" if epoch else str(number)


def next_epoch(token: int, unix_s: int) -> int:
    """Return the token counter that a restored store begins with.

    What the lost store granted after the copy was made is unknown, and another copy of it may be
    restored as well: the operator's clock, at this one moment, tells them apart. The counter never
    goes back behind what the copy held.
    """
    return max((token >> EPOCH_BITS) + 1, unix_s) << EPOCH_BITS


def claim_fault(name: str, holder: str, claim: int, ttl_ms: int, note: str) -> str:
    """Return the first thing about a claim that makes it invalid; empty: it is valid.

    The texts are part of the replicated state: changing one is a change of format.
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
    """What a command made of a lease."""

    lease: Lease
    token: int = 0  # the claimant's own; 0: it is queued
    queue_position: int = 0  # among the candidates, from 1
    reason: str = ""  # why the command was rejected; empty: it was taken
    is_granted: bool = False  # a token was drawn


def claim(lease: Lease, claimant: Candidate, token: int, time_ms: int) -> Outcome:
    """Claim a lease, or renew it as its holder or a candidate; repeating it changes nothing more.

    Args:
        lease: As it stands.
        claimant: Who claims.
        token: The next that may be granted.
        time_ms: The claimant's clock.
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
    """Queue a claimant; a process that restarted replaces its earlier incarnation.

    It moves in the queue only where its rank changed.
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
    """Release a lease or a candidacy for good: a later claim of the same number is rejected.

    Args:
        lease: As it stands.
        claim_number: Whose claim; that of an earlier holder changes nothing for the present one.
        token: Release only if it is held under this one; 0: under any.
        next_token: The next that may be granted.
        time_ms: The clock of who releases.
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
    """End a holder's, an offer's or a candidate's claim, whose TTL ran out."""
    if any(c.claim == claim_number for c in lease.candidates):
        return Outcome(_with(lease, candidates=_without(lease.candidates, claim_number)))
    if not lease.holder or lease.claim != claim_number:
        return Outcome(lease, reason="it is not held under this claim")
    return _offer_or_free(lease, next_token, time_ms)


def _without(candidates: tuple[Candidate, ...], claim_number: int) -> tuple[Candidate, ...]:
    return tuple(c for c in candidates if c.claim != claim_number)


def _offer_or_free(lease: Lease, token: int, time_ms: int) -> Outcome:
    """Offer the lease to its first candidate, or free it."""
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
    """Count a write under this lease that bore a token which does not hold it."""
    return _with(lease, rejected_writes=lease.rejected_writes + 1)


def _with(lease: Lease, **changes: Any) -> Lease:
    return msgspec.structs.replace(lease, **changes)
