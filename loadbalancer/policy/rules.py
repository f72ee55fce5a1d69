"""What may be sent, retried, finished, refused or told *now*: one place for the rules. Pure.

The decisions ask when they choose; `loadbalancer/proxy/` asks again at the last moment before the
first byte of an attempt is written, and before the last one of a body that comes in pieces. A
denial there is counted and logged (`loadbalancer/proxy/policy_violations.py`).
`docs/design/rules.md` lists each promise with its page and test.

All times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.policy import api

MS = 1_000_000
# An attempt may tell its upstream so much more than its client has left. The page allows 150 ms, of
# which a process may be held up for some between this look at the clock and its write.
TOLD_SLACK_NS = 100 * MS


class Reason(Enum):
    """Why something is denied."""

    OVER = "its request is over"
    CLIENT_GONE = "its client has gone"
    STREAM_BEGUN = "its answer has begun"
    DEADLINE = "its client waits no longer"
    ATTEMPTS = "no further attempt of it is allowed"
    COPIES = "too many attempts of it are out"
    BODY = "its body is not at hand from the start"
    UPSTREAM = "the upstream drains, went, restarted or is disabled"
    LIST = "the list of upstreams is older than a change may go unknown"
    PLACE = "its class may not go to this zone or kind"
    TURN = "an earlier request of its key comes first"
    EFFECT = "it may have run, and may not run twice"
    WINDOW = "it may have run, and its repeats are dropped no longer"
    GROUP = "it may have run, and this upstream does not drop its repeats"
    TOLD = "it told more time than its client has left"


@dataclass(frozen=True, slots=True)
class Allowed:
    """It may be done."""


@dataclass(frozen=True, slots=True)
class Denied:
    """It may not be done."""

    reason: Reason


Verdict = Allowed | Denied
ALLOWED = Allowed()
DENIED = {reason: Denied(reason) for reason in Reason}


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that is about to begin, as far as its request tells."""

    now_ns: int
    deadline_ns: int
    number: int  # attempts before it
    out: int  # of them without an outcome
    over: bool = False
    client_gone: bool = False
    stream_begun: bool = False
    body_at_hand: bool = True
    begin_by_ns: int = 0  # a repeat may not begin later; 0: at any time


def may_attempt(a: Attempt, limits: api.Limits, most_out: int) -> Verdict:
    """May an attempt of this request begin now, wherever it goes?"""
    if a.over:
        return DENIED[Reason.OVER]
    if a.client_gone:
        return DENIED[Reason.CLIENT_GONE]
    if a.stream_begun:
        return DENIED[Reason.STREAM_BEGUN]
    if a.now_ns >= a.deadline_ns:
        return DENIED[Reason.DEADLINE]
    if a.number >= limits.max_attempts:
        return DENIED[Reason.ATTEMPTS]
    if a.out >= most_out:
        return DENIED[Reason.COPIES]
    if not a.body_at_hand:
        return DENIED[Reason.BODY]
    if a.begin_by_ns and a.now_ns > a.begin_by_ns:
        return DENIED[Reason.WINDOW]
    return ALLOWED


def most_out(limits: api.Limits, in_pieces: bool = False) -> int:
    """How many attempts of a request may be out at once. A body in pieces can only go one way."""
    return 2 if limits.may_hedge and not in_pieces else 1


def may_use(usable: bool, list_trusted: bool) -> Verdict:
    """May something new begin at this upstream? `usable`: it is listed as ready, by the same
    process, and is not disabled.
    """
    if not list_trusted:
        return DENIED[Reason.LIST]
    return ALLOWED if usable else DENIED[Reason.UPSTREAM]


def open_to(entry: api.Upstream, cls: api.RequestClass) -> bool:
    """Is this upstream in a zone and of a kind that the class may go to?"""
    return (not cls.zones or entry.zone in cls.zones) and (not cls.kinds or entry.kind in cls.kinds)


def may_repeat(cls: api.RequestClass, since_first_ns: int, same_group: bool) -> Verdict:
    """May a request be sent to this upstream that may have run before? `since_first_ns`: since the
    first send that may have run. `same_group`: all upstreams that it went to drop each other's
    repeats.
    """
    if cls.effect is api.Effect.IDEMPOTENT:
        return ALLOWED
    if cls.effect is not api.Effect.IDEMPOTENT_WITH_KEY:
        return DENIED[Reason.EFFECT]
    if since_first_ns >= cls.window_ns:
        return DENIED[Reason.WINDOW]
    return ALLOWED if same_group else DENIED[Reason.GROUP]


def may_refuse(cls: api.RequestClass, may_have_run: bool) -> Verdict:
    """May a request be refused, which promises that a repeat is harmless?"""
    everywhere = (
        cls.effect is api.Effect.IDEMPOTENT_WITH_KEY and cls.scope is api.DeduplicationScope.ALL
    )
    if cls.effect is api.Effect.IDEMPOTENT or everywhere or not may_have_run:
        return ALLOWED
    return DENIED[Reason.EFFECT]


def told_ms(now_ns: int, *until_ns: int) -> int:
    """The time that an attempt tells its upstream: what is left now until the first of these, in
    whole ms.
    """
    return max(1, (min(until_ns) - now_ns) // MS)


def may_finish(told: int, now_ns: int, client_until_ns: int) -> Verdict:
    """May the last byte of a body be written, whose head told so many ms? Its upstream counts from
    there.
    """
    if told * MS > client_until_ns - now_ns + TOLD_SLACK_NS:
        return DENIED[Reason.TOLD]
    return ALLOWED
