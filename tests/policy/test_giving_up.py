"""When an attempt may be given up before its client's time."""

from __future__ import annotations

from typing import Final

import pytest

from loadbalancer.policy import api, rules
from loadbalancer.policy.message_end import RESPONSE_PAUSE_NS
from loadbalancer.policy.rules import ALLOWED, DENIED, Reason

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
