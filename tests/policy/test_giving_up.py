"""When an attempt may be given up before its client's time."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Final, cast

import pytest

from loadbalancer.policy import api, rules
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.message_end import RESPONSE_PAUSE_NS
from loadbalancer.policy.requests import Request, RequestQueue
from loadbalancer.policy.rules import ALLOWED, DENIED, Reason
from loadbalancer.policy.token_bucket import TokenBucket
from loadbalancer.policy.upstream_stats import UpstreamStats
from tests.bench import MS, PAY, SECOND, PolicyHarness, arrival

WINDOW_NS: Final = 5_000_000_000
CLASSES: Final = {
    effect: api.RequestClass("c", effect, window_ns=WINDOW_NS) for effect in api.Effect
}


@pytest.mark.parametrize(
    ("effect", "body_available", "since_first_ns", "expected"),
    [
        (api.Effect.IDEMPOTENT, True, WINDOW_NS, True),
        (api.Effect.IDEMPOTENT, False, 0, False),
        (api.Effect.IDEMPOTENT_WITH_KEY, True, WINDOW_NS - 1, True),
        (api.Effect.IDEMPOTENT_WITH_KEY, True, WINDOW_NS, False),
        (api.Effect.IDEMPOTENT_WITH_KEY, False, 0, False),
        (api.Effect.NON_IDEMPOTENT, True, 0, False),
    ],
)
def test_what_may_be_sent_again(
    effect: api.Effect, body_available: bool, since_first_ns: int, expected: bool
) -> None:
    assert rules.is_repeatable(CLASSES[effect], body_available, since_first_ns) is expected


# Issue 73: an attempt was given up at the objective though nothing was left to try.
@pytest.mark.parametrize("since_response_ns", [None, 0, RESPONSE_PAUSE_NS])
def test_what_may_not_be_sent_again_is_not_given_up_while_its_client_waits(
    since_response_ns: int | None,
) -> None:
    verdict = rules.may_give_up(False, since_response_ns, repeatable=False)
    assert verdict == DENIED[Reason.NOT_REPEATABLE]
    assert rules.may_give_up(True, since_response_ns, repeatable=False) == ALLOWED


def test_what_may_be_sent_again_is_given_up_unless_its_response_arrives() -> None:
    assert rules.may_give_up(False, None, repeatable=True) == ALLOWED
    assert rules.may_give_up(False, RESPONSE_PAUSE_NS, repeatable=True) == ALLOWED
    verdict = rules.may_give_up(False, RESPONSE_PAUSE_NS - 1, repeatable=True)
    assert verdict == DENIED[Reason.RESPONSE_ARRIVING]


# The soak's seed 2: a hedged request was denied at the last moment, as its body was streamed.
@pytest.mark.parametrize("is_streamed", [False, True])
def test_a_streamed_request_has_one_attempt_at_a_time(is_streamed: bool) -> None:
    upstream = cast(
        UpstreamStats, SimpleNamespace(is_usable=True, entry=api.Upstream(7), result=None)
    )
    queue = cast(RequestQueue, None)
    bucket = cast("TokenBucket[Request]", None)
    effect = api.Effect.IDEMPOTENT
    request = Request(
        "r", CLASSES[effect], bucket, queue, WINDOW_NS, WINDOW_NS, 0, body_complete=not is_streamed
    )
    request.body_complete = True
    request.attempts.append(Attempt(upstream, 0, 1.0, 1.0))
    limits = api.Limits(max_attempts=3, may_hedge=True)
    verdict = request.verdict(upstream, 1, limits)
    assert verdict == (DENIED[Reason.TOO_MANY_IN_FLIGHT] if is_streamed else ALLOWED)


# A request whose body had come while it waited for an upstream was not given up by the policy, but
# answered by the driver's last resort ("request not answered by its deadline").
def test_a_request_that_waits_when_its_body_is_complete_is_given_up_by_its_deadline() -> None:
    harness = PolicyHarness()
    harness.deliver(api.EndpointTrustChanged(False))
    streamed = arrival(1, harness.now, PAY, wait_ns=600 * SECOND)._replace(body_complete=False)
    harness.deliver(streamed)
    harness.advance(SECOND)
    assert "r1" not in harness.outcome
    harness.deliver(api.BodyCompleted("r1", harness.now + 500 * MS, harness.now, True))
    harness.advance(490 * MS)
    assert harness.outcome["r1"] == "refused"
