"""The table of open requests: each gets one final answer, at its deadline at the latest."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.policy import api
from loadbalancer.proxy.requests import Client, OpenRequest

log = logging.getLogger(__name__)

# After its deadline, a request that the policy has not ended is ended here.
OVERDUE_S = 0.008


class RequestTable:
    """Requests by id, from their arrival until the last of their attempts has ended.

    Args:
        max_open: Requests that may be owed an answer at once.
        post: Hands an event to the policy.

    Attributes:
        requests: All of them, also those that are answered and have attempts out.
        open: How many are owed an answer.
    """

    def __init__(self, max_open: int, post: Callable[[api.Event], None]) -> None:
        self.max_open = max_open
        self.requests: dict[str, OpenRequest] = {}
        self.open = 0
        self._post = post
        self._loop = asyncio.get_running_loop()

    def add(self, request: OpenRequest) -> bool:
        """Add a request; False where too many are open."""
        if self.open >= self.max_open:
            return False
        self.requests[request.arrival.request] = request
        self.open += 1
        self.watch_deadline(request)
        return True

    def get(self, name: str) -> OpenRequest | None:
        """The request of this id, if there is one."""
        return self.requests.get(name)

    def watch_deadline(self, request: OpenRequest) -> None:
        """Start, or move, the timer behind which the request is overdue."""
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        left_s = (request.arrival.deadline_ns - time.monotonic_ns()) / 1e9
        request.overdue_timer = self._loop.call_later(
            max(0.0, left_s) + OVERDUE_S, self._defer_overdue, request
        )

    def answer(self, request: OpenRequest, send_answer: Callable[[Client], None]) -> bool:
        """End a request with its final answer.

        An answer that can't be given must not take the events behind it along.

        Returns:
            False, and no answer is given, where the request was over already.
        """
        if not self.end(request):
            return False
        try:
            send_answer(request.client)
        except Exception:
            log.exception("answer failed: request=%s", request.arrival.request)
            request.client.abort()
        if request.stream is not None and not request.stream.ended:
            request.stream.fail()  # answered ahead of its end
        return True

    def fail_unanswered(self, request: OpenRequest, status: int) -> bool:
        """Answer with an error without the policy, which is notified as of a client that left."""
        answered = self.answer(request, lambda client: client.fail(status))
        if answered:
            self._post(api.ClientDisconnected(request.arrival.request))
        return answered

    def fail_all(self) -> None:
        """Answer all that is open, as this process ends.

        Requests that came before the shutdown may have more time than the process has.
        """
        for request in list(self.requests.values()):
            self.fail_unanswered(request, HTTPStatus.GATEWAY_TIMEOUT)

    def end(self, request: OpenRequest) -> bool:
        """Mark a request as over; False where it was already."""
        if request.finished:
            return False
        request.finished = True
        self.open -= 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        return True

    def forget(self, name: str) -> None:
        """Drop a request that is over and has no attempt out."""
        request = self.requests.get(name)
        if request is not None and request.finished and not request.attempts_in_flight:
            del self.requests[name]

    def _defer_overdue(self, request: OpenRequest) -> None:
        # When the loop has stood still, the attempt's time-out is due on the same turn as this, and
        # waits to be handed over: without one more turn a rejection with its Retry-After would come
        # out as a failure.
        self._loop.call_soon(self._overdue, request)

    def _overdue(self, request: OpenRequest) -> None:
        """Keep the rule that each request is answered where the policy has failed to."""
        if self.fail_unanswered(request, HTTPStatus.GATEWAY_TIMEOUT):
            log.error("request not answered by its deadline: request=%s", request.arrival.request)
