"""The rules for sending, retrying, completing and rejecting requests, as pure functions.

The policy applies the rules to each action that it chooses. `loadbalancer/proxy/` applies them
again immediately before it writes the first byte of an attempt, and before it writes the last byte
of a streamed body. A denial there is counted and logged
(`loadbalancer/proxy/policy_violations.py`). `docs/design/rules.md` lists each guarantee with the
specification page that requires it and the test that checks it.

All times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.policy import api
from loadbalancer.policy.clock import MILLISECOND
from loadbalancer.policy.message_end import is_arriving

# The timeout that an attempt announces to its upstream may exceed the client's remaining time by
# at most this amount. The specification allows 150 ms; the remaining 50 ms cover a delay of the
# process between `may_complete_body` and the write.
TIMEOUT_SLACK_NS = 100 * MILLISECOND
# The part of the client's time that is announced to the upstream of a streamed body.
STREAMED_TIME_FRACTION = 0.5


class Reason(Enum):
    """Reasons for which the rules deny an operation."""

    REQUEST_FINISHED = "its request is over"
    CLIENT_GONE = "its client has gone"
    RESPONSE_STARTED = "its answer has begun"
    DEADLINE_EXCEEDED = "its client waits no longer"
    ATTEMPTS_EXHAUSTED = "no further attempt of it is allowed"
    TOO_MANY_IN_FLIGHT = "too many attempts of it are out"
    BODY_UNAVAILABLE = "its body is not at hand from the start"
    UPSTREAM_UNAVAILABLE = "the upstream drains, went, restarted or is disabled"
    ENDPOINTS_STALE = "the list of upstreams is older than a change may go unknown"
    UPSTREAM_NOT_ELIGIBLE = "its class may not go to this zone or kind"
    KEY_ORDER = "an earlier request of its key comes first"
    NOT_IDEMPOTENT = "it may have run, and may not run twice"
    DEDUPLICATION_EXPIRED = "it may have run, and its repeats are dropped no longer"
    OUTSIDE_DEDUPLICATION_SCOPE = "it may have run, and this upstream does not drop its repeats"
    TIMEOUT_TOO_LONG = "it told more time than its client has left"
    RESPONSE_ARRIVING = "its answer is arriving"
    NOT_REPEATABLE = "it may not be sent again, and its client still waits"


@dataclass(frozen=True, slots=True)
class Allowed:
    """The operation is allowed."""


@dataclass(frozen=True, slots=True)
class Denied:
    """The operation is denied."""

    reason: Reason


Verdict = Allowed | Denied
ALLOWED = Allowed()
DENIED = {reason: Denied(reason) for reason in Reason}


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that is about to start, with the state of its request."""

    now_ns: int
    deadline_ns: int
    earlier_attempts: int  # of the request
    in_flight: int  # earlier attempts without an outcome
    request_finished: bool = False
    client_gone: bool = False
    response_started: bool = False
    body_available: bool = True
    start_by_ns: int = 0  # latest start of an attempt that may repeat an execution; 0: no limit


def may_attempt(attempt: Attempt, limits: api.Limits, max_in_flight: int) -> Verdict:
    """Return whether an attempt of this request may start now, regardless of the upstream."""
    if attempt.request_finished:
        return DENIED[Reason.REQUEST_FINISHED]
    if attempt.client_gone:
        return DENIED[Reason.CLIENT_GONE]
    if attempt.response_started:
        return DENIED[Reason.RESPONSE_STARTED]
    if attempt.now_ns >= attempt.deadline_ns:
        return DENIED[Reason.DEADLINE_EXCEEDED]
    return _may_attempt_again(attempt, limits, max_in_flight)


def _may_attempt_again(attempt: Attempt, limits: api.Limits, max_in_flight: int) -> Verdict:
    """Return whether an unfinished request may have an additional attempt."""
    if attempt.earlier_attempts >= limits.max_attempts:
        return DENIED[Reason.ATTEMPTS_EXHAUSTED]
    if attempt.in_flight >= max_in_flight:
        return DENIED[Reason.TOO_MANY_IN_FLIGHT]
    if not attempt.body_available:
        return DENIED[Reason.BODY_UNAVAILABLE]
    if attempt.start_by_ns and attempt.now_ns > attempt.start_by_ns:
        return DENIED[Reason.DEDUPLICATION_EXPIRED]
    return ALLOWED


def max_in_flight(limits: api.Limits, body_streamed: bool = False) -> int:
    """Return how many attempts of a request may be in flight at once.

    Args:
        limits: The limits of the settings.
        body_streamed: The body is streamed, so it can be sent to one upstream only.
    """
    return 2 if limits.may_hedge and not body_streamed else 1


def may_use(is_usable: bool, endpoints_trusted: bool) -> Verdict:
    """Return whether a new attempt may start at an upstream.

    Args:
        is_usable: The upstream is listed as ready, has not restarted, and is not disabled.
        endpoints_trusted: The endpoint list is recent enough.
    """
    if not endpoints_trusted:
        return DENIED[Reason.ENDPOINTS_STALE]
    return ALLOWED if is_usable else DENIED[Reason.UPSTREAM_UNAVAILABLE]


def is_eligible(entry: api.Upstream, request_class: api.RequestClass) -> bool:
    """Return whether the zone and kind of an upstream are allowed for the class."""
    return (not request_class.zones or entry.zone in request_class.zones) and (
        not request_class.kinds or entry.kind in request_class.kinds
    )


def may_repeat(request_class: api.RequestClass, since_first_ns: int, same_scope: bool) -> Verdict:
    """Return whether a request that may have been executed may be sent to an upstream.

    Args:
        request_class: The class of the request.
        since_first_ns: Time since the first attempt that may have been executed.
        same_scope: The upstream is in the same deduplication scope as all earlier upstreams that
            may have executed the request.
    """
    if request_class.effect is api.Effect.IDEMPOTENT:
        return ALLOWED
    if request_class.effect is not api.Effect.IDEMPOTENT_WITH_KEY:
        return DENIED[Reason.NOT_IDEMPOTENT]
    if since_first_ns >= request_class.window_ns:
        return DENIED[Reason.DEDUPLICATION_EXPIRED]
    return ALLOWED if same_scope else DENIED[Reason.OUTSIDE_DEDUPLICATION_SCOPE]


def may_reject(request_class: api.RequestClass, may_have_run: bool) -> Verdict:
    """Return whether a request may be rejected.

    A rejection tells the client that a retry is safe.
    """
    is_deduplicated_everywhere = (
        request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY
        and request_class.scope is api.DeduplicationScope.ALL
    )
    is_idempotent = request_class.effect is api.Effect.IDEMPOTENT
    if is_idempotent or is_deduplicated_everywhere or not may_have_run:
        return ALLOWED
    return DENIED[Reason.NOT_IDEMPOTENT]


def remaining_ms(now_ns: int, *deadlines_ns: int) -> int:
    """Return the time until the earliest of the deadlines, in whole ms, at least 1."""
    return max(1, (min(deadlines_ns) - now_ns) // MILLISECOND)


def announced_ns(left_ns: int) -> int:
    """Return the time that is announced to the upstream of a streamed body.

    The rest is left for sending the body: at its last byte, no more may have been announced than
    its client still has.

    Args:
        left_ns: The client's time, from the body's last byte or, if that has arrived, from now.
    """
    return int(STREAMED_TIME_FRACTION * left_ns)


def may_complete_body(timeout_ms: int, now_ns: int, client_deadline_ns: int) -> Verdict:
    """Return whether the last byte of a body may be written.

    Args:
        timeout_ms: The timeout in the request head; the upstream counts it from the last byte.
        now_ns: The time.
        client_deadline_ns: The client's deadline.
    """
    if timeout_ms * MILLISECOND > client_deadline_ns - now_ns + TIMEOUT_SLACK_NS:
        return DENIED[Reason.TIMEOUT_TOO_LONG]
    return ALLOWED


def is_repeatable(
    request_class: api.RequestClass, body_available: bool, since_first_ns: int
) -> bool:
    """Return whether a request that may have been executed may have a further attempt anywhere.

    Args:
        request_class: The class of the request.
        body_available: Whether its body can be sent again from the start.
        since_first_ns: Time since the first attempt that may have been executed.
    """
    verdict = may_repeat(request_class, since_first_ns, same_scope=True)
    return body_available and not isinstance(verdict, Denied)


def may_give_up(request_finished: bool, since_response_ns: int | None, repeatable: bool) -> Verdict:
    """Return whether an attempt may be given up because it is late, before its client's deadline.

    Args:
        request_finished: The request is over, so that nobody waits for the response.
        since_response_ns: Time since a part of the response arrived; None: none has arrived.
        repeatable: Whether the request may have a further attempt; if not, giving up gains its
            client nothing, and leaves it without knowing whether the request had an effect.
    """
    if not repeatable and not request_finished:
        return DENIED[Reason.NOT_REPEATABLE]
    if is_arriving(since_response_ns) and not request_finished:
        return DENIED[Reason.RESPONSE_ARRIVING]
    return ALLOWED
