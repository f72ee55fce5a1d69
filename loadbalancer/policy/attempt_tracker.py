"""Handling of attempt outcomes, overdue and late attempts, retries and hedged requests."""

from __future__ import annotations

from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.completion import Completion
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.dispatch import Dispatcher
from loadbalancer.policy.requests import Request
from loadbalancer.policy.timers import AttemptLateTimer, QueueDeadlineTimer, ServeQueuesTimer
from loadbalancer.policy.transitions import GiveUpReason, RequestRetried
from loadbalancer.policy.upstream_stats import EJECT_ERROR_RATE, UpstreamStats

LATE_CHECK_NS = SECOND // 50  # between checks whether a late attempt must be cancelled
AVOID_NS = SECOND / 4  # base time to avoid an upstream after errors and failed connections
# Failures (overdue attempts included) of an upstream before a hedged request. One may be caused by
# an expensive request, whose work a hedged request would double; two indicate a fault of the
# upstream.
HEDGE_FAILURES: Final = 2
MAX_SLOWNESS: Final = 5.0  # bound of a response time relative to the expected time
SLOWNESS_GAIN: Final = 0.2
FAILURES = frozenset(
    {
        api.AttemptResult.REJECTED,
        api.AttemptResult.TIMEOUT,
        api.AttemptResult.CONNECT_FAILED,
        api.AttemptResult.RESET,
    }
)
STILL_RUNNING = frozenset(
    {
        api.AttemptResult.TIMEOUT,
        api.AttemptResult.RESET,
        api.AttemptResult.CANCELLED,
    }
)


class AttemptTracker:
    """Tracks attempts until they finish, learns from their outcomes, and retries or hedges."""

    def __init__(
        self, context: PolicyContext, completion: Completion, dispatcher: Dispatcher
    ) -> None:
        self.context = context
        self.completion = completion
        self.dispatcher = dispatcher
        self.settings = context.settings
        self.timers = context.timers
        self.concurrency = context.concurrency
        self.rate_controller = context.rate_controller
        self.upstream_set = context.upstream_set

    def body_completed(self, event: api.BodyCompleted, now: int) -> None:
        """Start the deadlines of a request whose streamed body is now complete, and its attempt."""
        request = self.context.requests.get(event.request)
        if request is None or request.is_finished:
            return
        request_class = request.request_class
        request.body_complete = True
        request.is_replayable = event.is_replayable
        request.deadline_ns = event.deadline_ns
        request.latency_objective_ns = min(
            event.received_ns + request_class.latency_objective_ns, event.deadline_ns
        )
        expected_ns = self.concurrency.expected_ns(request_class, request.cost_hint_ns)
        self.dispatcher.set_queue_deadline(request, expected_ns, now)
        self.timers.schedule(request.queue_deadline_ns, QueueDeadlineTimer(request))
        for number, attempt in enumerate(request.attempts):
            if attempt.awaits_body and attempt.result is None:
                attempt.awaits_body = False
                attempt.sent_ns = now
                self.dispatcher.begin_after_body(request, number, now)

    def finished(self, event: api.AttemptFinished, now: int) -> None:
        """Learn from the outcome of an attempt, and finish or retry its request."""
        request = self.context.requests.get(event.request)
        if request is None or request.attempts[event.attempt].result is not None:
            return
        attempt = request.attempts[event.attempt]
        attempt.result = event.result
        result = event.result
        if attempt.is_late and result is api.AttemptResult.CANCELLED:
            result = api.AttemptResult.TIMEOUT  # it was cancelled because it was late
        upstream = attempt.upstream  # counted down even if it is no longer listed
        self.concurrency.in_flight -= not attempt.awaits_body
        self.concurrency.overdue -= attempt.is_overdue
        self._record(request, attempt, result, event.duration_ns, now)
        if not attempt.awaits_body:
            upstream.in_flight -= 1
            upstream.reported_load = max(0.0, upstream.reported_load - 1)
        self.upstream_set.forget_removed(upstream)
        if request.key_queue and result in STILL_RUNNING:
            request.key_queue.ready_ns = now + self.settings.rules.key_order_gap_ns
        if event.complete:
            self.completion.finish(request)
        elif not request.is_finished and not request.in_flight and not request.response_started:
            self._retry(request, now)
        self.completion.forget_if_complete(request)

    def _record(
        self,
        request: Request,
        attempt: Attempt,
        result: api.AttemptResult,
        duration_ns: int,
        now: int,
    ) -> None:
        if result is api.AttemptResult.OK:
            # The duration of a response that precedes the end of the request body is not a service
            # time.
            if not attempt.awaits_body:
                self._record_success(request, attempt, duration_ns, now)
        elif result in FAILURES:
            self._record_failure(request, attempt, result, duration_ns, now)
        elif result is api.AttemptResult.ERROR:
            self.rate_controller.in_time_count += 1
            if self.upstream_set.record_response(attempt.upstream, True):
                self._avoid(attempt, AVOID_NS, now)

    def _record_success(
        self, request: Request, attempt: Attempt, duration_ns: int, now: int
    ) -> None:
        request_class = request.request_class
        concurrency = self.concurrency
        upstream_set = self.upstream_set
        upstream = attempt.upstream
        queue = request.queue
        concurrency.record_success(request_class, request.cost_hint_ns, attempt, duration_ns)
        concurrency.update_window(
            duration_ns / request_class.latency_objective_ns,
            bool(queue.blocked_since_ns),
            queue.pool.width,
            now,
        )
        if not upstream.in_subset:
            expected_ns = concurrency.expected_ns(request_class, request.cost_hint_ns)
            slowness = min(MAX_SLOWNESS, duration_ns / max(1.0, expected_ns))
            upstream_set.out_of_subset_slowness += SLOWNESS_GAIN * (
                slowness - upstream_set.out_of_subset_slowness
            )
        upstream_set.slow_start.capacity.record_response(duration_ns)
        # Late responses are the first sign of overload.
        is_late = attempt.sent_ns + duration_ns > request.latency_objective_ns
        self.rate_controller.in_time_count += not is_late
        self.rate_controller.failure_count += is_late
        upstream_set.record_response(upstream, False)
        upstream_set.record_no_reset(upstream)
        if upstream.failure_count and upstream.error_rate < EJECT_ERROR_RATE:
            upstream.failure_count = 0
            upstream.avoid_until_ns = 0

    def _record_failure(
        self,
        request: Request,
        attempt: Attempt,
        result: api.AttemptResult,
        duration_ns: int,
        now: int,
    ) -> None:
        is_rejected = result is api.AttemptResult.REJECTED
        is_timeout = result is api.AttemptResult.TIMEOUT
        if is_rejected or self.concurrency.is_overloaded():
            self.concurrency.update_window(1.0, False, request.queue.pool.width, now)
        self.rate_controller.failure_count += 1
        if is_timeout:
            self.concurrency.record_timeout(attempt, duration_ns)
        is_reset = result is api.AttemptResult.RESET
        if not is_reset or self.upstream_set.record_reset(attempt.upstream):
            is_busy = is_rejected or is_timeout
            self._avoid(attempt, attempt.expected_ns if is_busy else AVOID_NS, now)

    def _avoid(self, attempt: Attempt, base_ns: float, now: int) -> None:
        self.upstream_set.record_failure(attempt, now, base_ns)
        self.timers.schedule(attempt.upstream.avoid_until_ns, ServeQueuesTimer())

    def _retry(self, request: Request, now: int) -> None:
        """Queue a request without attempts in flight for a retry, or give it up."""
        if request.attempts and self._may_retry(request, now) and now < request.queue_deadline_ns:
            last = request.attempts[-1]
            assert last.result is not None
            self.context.transitions.append(
                RequestRetried(request.id, last.upstream.id, last.result)
            )
            self.dispatcher.enqueue_first(request, now)
        else:
            self.completion.give_up(request, GiveUpReason.ATTEMPTS_FAILED)

    def _may_retry(self, request: Request, now: int) -> bool:
        limits = self.settings.limits
        candidates = request.repeat_candidates() or request.queue.pool.candidates[:1]
        return any(request.may_send(upstream, now, limits) for upstream in candidates)

    def overdue(self, request: Request, number: int, now: int) -> None:
        """Handle an attempt that is overdue: avoid its upstream, and hedge if allowed."""
        attempt = request.attempts[number]
        if attempt.result is not None:
            return
        attempt.is_overdue = True
        self.concurrency.overdue += 1
        self._avoid(attempt, attempt.expected_ns, now)
        if (
            request.queue.waiting
            or now + attempt.expected_ns > request.latency_objective_ns
            or attempt.upstream.failure_count < HEDGE_FAILURES
            or not self.upstream_set.plan.hedging_allowed
        ):
            return
        upstream = request.queue.pool.pick(now, request.repeat_candidates())
        if upstream is not None and self._may_hedge(request, upstream, now):
            self.dispatcher.start_attempt(request, upstream, now)

    def _may_hedge(self, request: Request, upstream: UpstreamStats, now: int) -> bool:
        return request.may_send(upstream, now, self.settings.limits) and request.bucket.take_spare(
            now
        )

    def late(self, request: Request, number: int, now: int) -> None:
        """Handle an attempt that has missed its latency objective.

        The attempt is cancelled if requests wait for its capacity, the upstreams are overloaded, or
        the traffic plan forbids hedging. Otherwise it continues, since the upstream executes it
        anyway and the client still gets a response. It also continues until the client's deadline
        if the request could not be sent again.
        """
        attempt = request.attempts[number]
        if attempt.result is not None or request.is_finished:
            return
        attempt.is_late = True
        if not request.is_repeatable(now):
            return
        if (
            request.queue.waiting
            or self.concurrency.is_overloaded()
            or not self.upstream_set.plan.hedging_allowed
        ):
            self.context.actions.append(api.CancelAttempt(request.id, number))
        else:
            self.timers.schedule(now + LATE_CHECK_NS, AttemptLateTimer(request, number))
