"""Admission control: the traffic plan, key ordering, token buckets and queue limits."""

from __future__ import annotations

from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.completion import Completion
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.dispatch import Dispatcher
from loadbalancer.policy.requests import KeyQueue, Request, WaitState
from loadbalancer.policy.timers import KeyQueueTimer, QueueDeadlineTimer, TokenTimer
from loadbalancer.policy.token_bucket import Offer, TokenBucket
from loadbalancer.policy.transitions import GiveUpReason

# A request is rejected if the queue ahead of it would use more than this fraction of its spare
# time. The fraction is lower for tenants that exceed their share, so their requests are rejected
# first.
QUEUE_FRACTION: Final = 0.5
OVER_SHARE_QUEUE_FRACTION: Final = 0.1


class Admission:
    """Admits requests to the queues, or rejects them."""

    def __init__(
        self, context: PolicyContext, completion: Completion, dispatcher: Dispatcher
    ) -> None:
        self.context = context
        self.completion = completion
        self.dispatcher = dispatcher
        self.timers = context.timers
        self.rate_controller = context.rate_controller
        self.default_bucket = next(iter(context.buckets.values()))

    def request_arrived(self, event: api.RequestArrived, now: int) -> None:
        """Admit, delay or reject a new request."""
        request = self._create_request(event, now)
        request_class = request.request_class
        request.earlier_executions = self.context.executions.attempts(request.id, now)
        self.context.requests[request.id] = request
        expected_ns = self.context.concurrency.expected_ns(request_class, request.cost_hint_ns)
        if self._is_shed(request, now):
            self.completion.give_up(request, GiveUpReason.SHED_BY_PLAN)
            return
        waited_ns = now - (event.received_ns or now)
        is_late = expected_ns < request_class.latency_objective_ns < waited_ns + expected_ns
        if is_late and not (request_class.late_weight or request_class.is_streaming):
            # The proxy read the request so late that the response would miss the latency
            # objective. Serving such requests would make those queued after them late as well.
            # This rejects too many requests if `expected_ns` is far too high.
            self.completion.give_up(request, GiveUpReason.READ_TOO_LATE)
            return
        self.dispatcher.set_queue_deadline(request, expected_ns, now)
        # A request that still waits at its queue deadline is rejected, whatever it waits for.
        self.timers.schedule(request.queue_deadline_ns, QueueDeadlineTimer(request))
        self._order_by_key(request)
        if request.is_first_of_key(now):
            self._offer(request, now)
        else:
            # The request holds no token while it waits, so only requests with the same key are
            # delayed by it.
            request.wait_state = WaitState.KEY_ORDER
            assert request.key_queue is not None
            self.timers.schedule(request.key_ready_ns, KeyQueueTimer(request.key_queue))

    def _create_request(self, event: api.RequestArrived, now: int) -> Request:
        request_class = self.context.settings.classes.get(event.class_name)
        if request_class is None:
            request_class = api.RequestClass(event.class_name, api.Effect.NON_IDEMPOTENT)
        objective_ns = (event.received_ns or now) + request_class.latency_objective_ns
        return Request(
            event.request,
            request_class,
            self.context.buckets.get(event.tenant) or self.default_bucket,
            self.dispatcher.queue(request_class),
            event.deadline_ns,
            min(objective_ns, event.deadline_ns),
            # The bound prevents a wildly wrong hint from scheduling timers years ahead.
            min(event.cost_hint_ns, request_class.deadline_ns),
            event.is_retry,
            event.body_complete,
            key=event.key,
        )

    def _is_shed(self, request: Request, now: int) -> bool:
        """Return whether the traffic plan rejects the request; it applies to new requests only."""
        plan = self.context.upstream_set.plan
        rng = self.context.rng
        if (
            plan.excess_reject_fraction
            and request.bucket.exceeds_plan(now)
            and rng.random() < plan.excess_reject_fraction
        ):
            return True
        if request.is_retry and rng.random() < plan.retry_reject_fraction:
            return True
        if not plan.class_reject_fractions:
            return False
        fraction = plan.class_reject_fractions.get(request.request_class.name, 0.0)
        return rng.random() < fraction

    def _order_by_key(self, request: Request) -> None:
        if request.request_class.ordered_by_key and request.key:
            key_queues = self.context.key_queues
            key_queue = key_queues.setdefault(request.key, KeyQueue(request.key))
            key_queue.waiting.append(request)
            request.key_queue = key_queue
            request.key_ready_ns = key_queue.ready_ns

    def key_queue_due(self, key_queue: KeyQueue, now: int) -> None:
        """Offer the next request of a key to its token bucket, or remove an empty queue."""
        if key_queue.waiting:
            request = key_queue.waiting[0]
            if request.wait_state is WaitState.KEY_ORDER and request.is_first_of_key(now):
                self._offer(request, now)
        elif now >= key_queue.ready_ns:
            self.context.key_queues.pop(key_queue.key, None)

    def queue_deadline_due(self, request: Request, now: int) -> None:
        """Give up a request that is still waiting at its queue deadline."""
        if request.wait_state is not WaitState.NOT_WAITING and now >= request.queue_deadline_ns:
            self.rate_controller.unplaced_count += request.wait_state is WaitState.UPSTREAM
            self.completion.give_up(request, GiveUpReason.WAITED_TOO_LONG)

    def token_due(self, bucket: TokenBucket[Request], now: int) -> None:
        """Handle the token timer of a bucket: admit the buffered requests that now have a token."""
        bucket.has_timer = False
        self.release(bucket, now)

    def release(self, bucket: TokenBucket[Request], now: int) -> None:
        """Admit the buffered requests that have a token, and set a timer for the next token."""
        for request in bucket.release(now):
            self._admit(request, now)
        if bucket.buffered and not bucket.has_timer:
            bucket.has_timer = True
            due_ns = now + int((1 - bucket.token_fraction) / bucket.rate * SECOND) + 1
            self.timers.schedule(due_ns, TokenTimer(bucket))

    def _offer(self, request: Request, now: int) -> None:
        """Request a token from the tenant's token bucket."""
        request.wait_state = WaitState.NOT_WAITING
        bucket = request.bucket
        if not request.queue.pool.candidates:
            offer = Offer.OVERFLOW  # no upstream is eligible for the request
        elif request.is_retry:
            # Client retries may take only spare tokens, so that they do not starve new requests.
            offer = Offer.ADMITTED if bucket.take_spare(now) else Offer.OVERFLOW
        else:
            offer = bucket.offer(request, now)
        if offer is Offer.OVERFLOW:
            self.completion.give_up(request, GiveUpReason.NO_TOKEN)
        elif offer is Offer.BUFFERED:
            request.wait_state = WaitState.TOKEN
            self.release(bucket, now)
        else:
            self._admit(request, now)

    def _admit(self, request: Request, now: int) -> None:
        """Queue a request that has a token, or give it up if the queue is too long."""
        request.wait_state = WaitState.NOT_WAITING
        fraction = OVER_SHARE_QUEUE_FRACTION if request.bucket.is_over_share else QUEUE_FRACTION
        # The shortest latency objective bounds the queue: classes with a long objective must not
        # make it too long for classes with a short one.
        spare_ns = min(request.queue_deadline_ns - now, self.context.shortest_objective_ns)
        queue = request.queue
        served_per_s = self.rate_controller.served_per_s
        if (
            queue.capacity_exhausted
            and len(queue.waiting) * SECOND > served_per_s * spare_ns * fraction
        ):
            self.rate_controller.unplaced_count += 1
            self.completion.give_up(request, GiveUpReason.QUEUE_TOO_LONG)
            return
        self.dispatcher.enqueue(request, now)
