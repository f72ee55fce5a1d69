"""Completion of requests: the final action, cleanup, and the next request of the same key."""

from __future__ import annotations

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.requests import KeyQueue, Request, WaitState
from loadbalancer.policy.timers import KeyQueueTimer
from loadbalancer.policy.transitions import GiveUpReason, RequestGivenUp


class Completion:
    """Completes requests."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context
        self.limits = context.settings.limits

    def give_up(self, request: Request, reason: GiveUpReason) -> None:
        """Reject a request that is not served if a retry is safe; otherwise fail it."""
        context = self.context
        context.transitions.append(self._record(request, reason))
        if request.may_reject():
            delay_ns = self._retry_after_ns()
            context.actions.append(
                api.RejectRequest(request.id, int(delay_ns) if self.limits.retry_after else 0)
            )
        else:
            context.actions.append(api.FailRequest(request.id))
        self.finish(request)

    @staticmethod
    def _record(request: Request, reason: GiveUpReason) -> RequestGivenUp:
        if not request.attempts:
            return RequestGivenUp(request.id, reason, 0)
        last = request.attempts[-1]
        attempts = len(request.attempts)
        return RequestGivenUp(request.id, reason, attempts, last.result, last.upstream.id)

    def _retry_after_ns(self) -> float:
        rng = self.context.rng
        longest_ns = self.limits.max_retry_after_ns
        delay_ns = rng.uniform(0.25, 1.0) * min(longest_ns, SECOND)
        first_ns, last_ns = self.context.upstream_set.plan.retry_window_ns
        if last_ns:
            delay_ns = min(longest_ns, first_ns + rng.random() * (last_ns - first_ns))
        return delay_ns

    def finish(self, request: Request) -> None:
        """Finish a request that has its final response or whose client has disconnected."""
        if request.wait_state is WaitState.TOKEN:
            request.bucket.remove(request)
        elif request.wait_state is WaitState.UPSTREAM:
            request.queue.waiting.remove(request)
        request.wait_state = WaitState.NOT_WAITING
        request.is_finished = True
        if self.limits.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.result is None:
                    self.context.actions.append(api.CancelAttempt(request.id, number))
        self.forget_if_complete(request)

    def forget_if_complete(self, request: Request) -> None:
        """Forget a finished request once none of its attempts is in flight."""
        if request.is_finished and not request.in_flight and request.id in self.context.requests:
            del self.context.requests[request.id]
            request.handle.request = None
            self.context.executions.remember(request)
            if request.key_queue:
                self._advance(request.key_queue)

    def _advance(self, key_queue: KeyQueue) -> None:
        """Remove finished requests of a key, and schedule the next one."""
        timers = self.context.timers
        waiting = key_queue.waiting
        while waiting and waiting[0].is_finished and not waiting[0].in_flight:
            waiting.popleft()
            if waiting:
                waiting[0].key_ready_ns = key_queue.ready_ns
                timers.schedule(key_queue.ready_ns, KeyQueueTimer(key_queue))
        if not waiting:
            # The empty queue is removed once the gap after its last request is over.
            timers.schedule(key_queue.ready_ns, KeyQueueTimer(key_queue))
