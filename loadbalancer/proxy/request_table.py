"""Table of open requests, which ensures that each gets one final answer by its deadline."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.policy import api
from loadbalancer.proxy.requests import Client, OpenRequest

log = logging.getLogger(__name__)

# Time after its deadline at which a request that the policy has not answered is answered here.
OVERDUE_S = 0.008


class RequestTable:
    """Requests by id, from their arrival until they are finished and have no attempt in flight.

    Args:
        max_open: Maximum number of unanswered requests.
        post: Sends an event to the policy.

    Attributes:
        requests: All requests, including answered ones with attempts in flight.
        open: Number of unanswered requests.
    """

    def __init__(self, max_open: int, post: Callable[[api.Event], None]) -> None:
        self.max_open = max_open
        self.requests: dict[str, OpenRequest] = {}
        self.open = 0
        self._post = post
        self._loop = asyncio.get_running_loop()

    def add(self, request: OpenRequest) -> bool:
        """Add a request; return False if too many requests are open."""
        if self.open >= self.max_open:
            return False
        self.requests[request.arrival.request] = request
        self.open += 1
        self.watch_deadline(request)
        return True

    def get(self, name: str) -> OpenRequest | None:
        """Return the request with this id, or None."""
        return self.requests.get(name)

    def watch_deadline(self, request: OpenRequest) -> None:
        """Start or restart the timer that fires when the request is overdue."""
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        left_s = (request.arrival.deadline_ns - time.monotonic_ns()) / 1e9
        request.overdue_timer = self._loop.call_later(
            max(0.0, left_s) + OVERDUE_S, self._defer_overdue, request
        )

    def answer(self, request: OpenRequest, send_answer: Callable[[Client], None]) -> bool:
        """Finish a request with its final answer.

        If sending the answer raises, the client's connection is aborted, so that later actions and
        events are still processed.

        Returns:
            False if the request was already finished; no answer is sent then.
        """
        if not self.end(request):
            return False
        try:
            send_answer(request.client)
        except Exception:
            log.exception("answer failed: request=%s", request.arrival.request)
            request.client.abort()
        if request.stream is not None and not request.stream.ended:
            request.stream.fail()  # answered before the body's end
        return True

    def fail_unanswered(self, request: OpenRequest, status: int) -> bool:
        """Answer with an error, and report the client as disconnected to the policy."""
        answered = self.answer(request, lambda client: client.fail(status))
        if answered:
            self._post(api.ClientDisconnected(request.arrival.request))
        return answered

    def fail_all(self) -> None:
        """Answer all open requests with an error because this process is shutting down.

        The deadline of a request that arrived before the shutdown may be later than the process's
        end.
        """
        for request in list(self.requests.values()):
            self.fail_unanswered(request, HTTPStatus.GATEWAY_TIMEOUT)

    def end(self, request: OpenRequest) -> bool:
        """Mark a request as finished; return False if it was finished already."""
        if request.finished:
            return False
        request.finished = True
        self.open -= 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        return True

    def forget(self, name: str) -> None:
        """Remove a request that is finished and has no attempt in flight."""
        request = self.requests.get(name)
        if request is not None and request.finished and not request.attempts_in_flight:
            del self.requests[name]

    def _defer_overdue(self, request: OpenRequest) -> None:
        # After a delay of the event loop, the attempt's timeout expires in the same iteration as
        # this timer, and the policy gets its event only in the next iteration. Deferring this call
        # by one iteration lets the policy reject the request with a Retry-After; otherwise the
        # client would get a failure.
        self._loop.call_soon(self._overdue, request)

    def _overdue(self, request: OpenRequest) -> None:
        """Answer a request that the policy has not answered in time."""
        if self.fail_unanswered(request, HTTPStatus.GATEWAY_TIMEOUT):
            log.error("request not answered by its deadline: request=%s", request.arrival.request)
