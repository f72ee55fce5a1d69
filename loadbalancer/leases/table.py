"""A lease as the store's log makes it: who has it, under which token, and who waits. No clock: that
its time is over is itself an entry of the log, which the store's leader proposes.

Terms: lease (Gray and Cheriton, 1989); sequencer (Burrows, "The Chubby lock service", 2.4), here
fencing token. A token is drawn at each grant from one counter of the whole store that only grows,
so none ever returns, and of two tokens of one lease the higher is the later.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]*(/[A-Za-z0-9][A-Za-z0-9._:@-]*)*\Z")
MOST_NAME = 200  # characters, of a lease and of who asks for it
MOST_WAITING = 5  # candidates that one lease keeps; the others look on and come when there is room
MOST_LEFT = (
    8  # claims that were given back, and that a message which comes late must not bring to life
)
LEAST_TTL_MS, MOST_TTL_MS = 100, 3_600_000
OFFER_PART = 0.5  # of the time, within which a candidate takes what was offered to it
EPOCH_BITS = 32  # a token is EPOCH * 2**32 + N; a store that was restored begins a new epoch


class Array(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Fields are only ever added at the end, with a default."""


class Claimant(Array, frozen=True):
    """A candidate. `claim` is drawn anew by each life of a process; the lower `rank`, the sooner
    its turn.
    """

    holder: str
    claim: int
    rank: int = 0
    ttl_ms: int = 0
    note: str = ""


class Lease(Array, frozen=True):
    """`token` is the last that was granted, whoever has it now; `holder` is empty where nobody has
    it. `offered`: it is the holder's turn, which has not taken it yet. `since_ms`: the clock of who
    asked, shown and never decided by.
    """

    name: str
    token: int = 0
    holder: str = ""
    claim: int = 0
    offered: bool = False
    ttl_ms: int = 0
    note: str = ""
    rank: int = 0
    since_ms: int = 0
    waiting: tuple[Claimant, ...] = ()
    left: tuple[int, ...] = ()  # claims given back
    refused: int = 0  # writes under it that bore another token

    @property
    def held(self) -> bool:
        """By somebody who may act."""
        return bool(self.holder) and not self.offered

    def guards(self, token: int) -> bool:
        """May a write that bears this token be made?"""
        return self.held and token == self.token


_leases = msgspec.msgpack.Decoder(Lease)
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


def pack(lease: Lease) -> bytes:
    return _encoder.encode(lease)


def unpack(data: bytes) -> Lease:
    """Raises ValueError."""
    return _leases.decode(data)


def written(token: int) -> str:
    """A token as people read it: with its epoch, where the store was ever restored."""
    epoch, number = token >> EPOCH_BITS, token & ((1 << EPOCH_BITS) - 1)
    return f"{epoch}.{number}" if epoch else str(number)


def next_epoch(token: int, unix_s: int) -> int:
    """The counter that a restored store begins with. What the lost one granted after the copy was
    made is unknown, and another copy of it may be restored as well: the operator's clock, at this
    one moment, tells them apart; it never goes back behind what the copy held.
    """
    return max((token >> EPOCH_BITS) + 1, unix_s) << EPOCH_BITS


def wrong(name: str, holder: str, claim: int, ttl_ms: int, note: str) -> str:
    """The first thing about a claim that no state takes; empty: none. Part of the format."""
    for what in (name, holder):
        if len(what) > MOST_NAME or not NAME.match(what):
            return f"{what[:60]!r} is no name"
    if not 0 < claim < 1 << 63:
        return "a claim is a number over 0"
    if not LEAST_TTL_MS <= ttl_ms <= MOST_TTL_MS:
        return f"a lease's time is {LEAST_TTL_MS} to {MOST_TTL_MS} ms"
    return "" if len(note) <= MOST_NAME else f"a note has {MOST_NAME} characters at most"


class Outcome(msgspec.Struct, frozen=True):
    """What a command made of a lease. `token` is the claimant's own, 0 while it waits; `place`
    counts the candidates ahead of it from 1; `why`: empty where the command was taken. `granted`: a
    token was drawn
    """

    lease: Lease
    token: int = 0
    place: int = 0
    why: str = ""
    granted: bool = False


def claim(lease: Lease, who: Claimant, token: int, time_ms: int) -> Outcome:
    """Ask for a lease, or show that one is still there, as owner or candidate: the same words, any
    number of times. `token` is the next that may be granted.
    """
    if who.claim in lease.left:
        return Outcome(lease, why="this claim was given back")
    if lease.claim == who.claim and lease.holder:
        if lease.offered:
            lease = _with(lease, offered=False, since_ms=time_ms)
        return Outcome(lease, lease.token)
    if not lease.holder:
        others = tuple(c for c in lease.waiting if c.holder != who.holder)
        fresh = _granted(_with(lease, waiting=others), who, token, False, time_ms)
        return Outcome(fresh, token, granted=True)
    # A process that began anew takes the place of its own earlier life: its rank may have changed.
    queue = [c for c in lease.waiting if c.holder != who.holder]
    was = next((c for c in lease.waiting if c.holder == who.holder), None)
    if was is None and len(queue) >= MOST_WAITING:
        return Outcome(lease, why="there is no room among the candidates")
    if was is not None and was.rank == who.rank:
        queue = [who if c.holder == who.holder else c for c in lease.waiting]
    else:
        at = next((i for i, c in enumerate(queue) if c.rank > who.rank), len(queue))
        queue.insert(at, who)
    return Outcome(_with(lease, waiting=tuple(queue)), place=queue.index(who) + 1)


def release(lease: Lease, number: int, token: int, next_token: int, time_ms: int) -> Outcome:
    """Give back, as owner or candidate, for good: a claim of the same number that comes later is
    refused. `token`: only if it is held under this one; 0: whatever the claim has. What an owner of
    earlier says changes nothing for the one of now.
    """
    owns = bool(lease.holder) and lease.claim == number
    if owns and token and token != lease.token:
        return Outcome(lease, why="it is held under another token")
    gone = _with(
        lease,
        left=lease.left if number in lease.left else (*lease.left, number)[-MOST_LEFT:],
        waiting=tuple(c for c in lease.waiting if c.claim != number),
    )
    return _passed(gone, next_token, time_ms) if owns else Outcome(gone)


def lapse(lease: Lease, number: int, next_token: int, time_ms: int = 0) -> Outcome:
    """The time of an owner, an offer or a candidate is over."""
    if any(c.claim == number for c in lease.waiting):
        return Outcome(_with(lease, waiting=tuple(c for c in lease.waiting if c.claim != number)))
    if not lease.holder or lease.claim != number:
        return Outcome(lease, why="it is not held under this claim")
    return _passed(lease, next_token, time_ms)


def _passed(lease: Lease, token: int, time_ms: int) -> Outcome:
    """Offered to whose turn it is, or free."""
    if lease.waiting:
        first = lease.waiting[0]
        return Outcome(
            _granted(_with(lease, waiting=lease.waiting[1:]), first, token, True, time_ms),
            granted=True,
        )
    return Outcome(_with(lease, holder="", claim=0, offered=False, note="", since_ms=time_ms))


def _granted(lease: Lease, who: Claimant, token: int, offered: bool, time_ms: int) -> Lease:
    return _with(
        lease,
        token=token,
        holder=who.holder,
        claim=who.claim,
        offered=offered,
        ttl_ms=who.ttl_ms,
        note=who.note,
        rank=who.rank,
        since_ms=time_ms,
    )


def refused(lease: Lease) -> Lease:
    """A write under it bore a token that does not hold."""
    return _with(lease, refused=lease.refused + 1)


def _with(lease: Lease, **changes: Any) -> Lease:
    return msgspec.structs.replace(lease, **changes)
