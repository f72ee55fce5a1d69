"""Requests that are over and may have been executed, by id, for ids that come again."""

from __future__ import annotations

from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.requests import Request

KEPT_NS: Final = 60 * SECOND  # an id that comes again later is taken for a new one
# Requests of each kind; the oldest is forgotten first. Those without a response have entries of
# their own: their clients are the ones that send an id again.
MAX_ANSWERED: Final = 2048
MAX_UNANSWERED: Final = 2048
REMEMBERED_REQUEST_BYTES: Final = 400


class ExecutionHistory:
    """Remembers the attempts of requests that may have been executed and may not be repeated.

    Requests that never reached an upstream and idempotent ones are not remembered.
    """

    def __init__(self) -> None:
        self._answered: dict[str, list[Attempt]] = {}
        self._unanswered: dict[str, list[Attempt]] = {}

    def __len__(self) -> int:
        return len(self._answered) + len(self._unanswered)

    def remember(self, request: Request) -> None:
        """Remember a request that is over, with what it inherited under its id."""
        if request.request_class.effect is api.Effect.IDEMPOTENT:
            return
        executed = request.possibly_executed()
        if not executed:
            return
        self._answered.pop(request.id, None)
        self._unanswered.pop(request.id, None)
        is_answered = any(attempt.result is api.AttemptResult.OK for attempt in executed)
        entries, limit = (
            (self._answered, MAX_ANSWERED) if is_answered else (self._unanswered, MAX_UNANSWERED)
        )
        entries[request.id] = executed
        if len(entries) > limit:
            del entries[next(iter(entries))]

    def attempts(self, request_id: str, now: int) -> list[Attempt]:
        """Return the attempts under this id that may have been executed, first one first."""
        for entries in (self._unanswered, self._answered):
            executed = entries.get(request_id)
            if executed is None:
                continue
            if now - executed[-1].sent_ns < KEPT_NS:
                return executed
            del entries[request_id]
        return []
