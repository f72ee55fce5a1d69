"""The policy of one proxy, which maps events to actions (see `loadbalancer/policy/api.py`).

A request takes a token from its tenant's token bucket (`admission`), may wait in the queue of its
pool, and is sent to the upstream with the lowest load score among a few candidates (`dispatch`).
`attempt_tracker` handles the outcomes of its attempts.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

from loadbalancer.policy import api, learned_state
from loadbalancer.policy.admission import Admission
from loadbalancer.policy.attempt_tracker import AttemptTracker
from loadbalancer.policy.completion import Completion
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.dispatch import Dispatcher
from loadbalancer.policy.rate_controller import FEEDBACK_NS, RateController
from loadbalancer.policy.requests import Request
from loadbalancer.policy.rules import ALLOWED, Verdict, may_repeat
from loadbalancer.policy.subscription import Subscription
from loadbalancer.policy.timers import (
    AttemptLateTimer,
    AttemptOverdueTimer,
    FirstSubscribeTimer,
    KeyQueueTimer,
    QueueDeadlineTimer,
    RequestTimer,
    SubscribeTimer,
    Timer,
    TokenTimer,
)
from loadbalancer.policy.token_bucket import TokenBucket
from loadbalancer.policy.transitions import Transition

MIN_TENANT_WEIGHT: Final = 1e-6
# Upstreams outside the subset are not used if they are slower than this, relative to expected.
MAX_OUT_OF_SUBSET_SLOWNESS: Final = 1.5
SLOWNESS_DECAY: Final = 0.03  # of that slowness towards 1, in one interval


class Balancer:
    """The policy of one proxy.

    The caller passes events to `handle`, and executes the returned actions in order.
    """

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        rng = random.Random(seed)
        tenants = settings.tenants or {"": api.Tenant("")}
        self.buckets: dict[str, TokenBucket[Request]] = {
            name: TokenBucket(max(MIN_TENANT_WEIGHT, tenant.share), rng, now)
            for name, tenant in tenants.items()
        }
        self.rate_controller = RateController(list(self.buckets.values()), now)
        self.context = PolicyContext(settings, rng, self.buckets, self.rate_controller)
        self.concurrency = self.context.concurrency
        self.upstream_set = self.context.upstream_set
        self.timers = self.context.timers
        self.requests = self.context.requests
        self.completion = Completion(self.context)
        self.dispatcher = Dispatcher(self.context, self.completion)
        self.admission = Admission(self.context, self.completion, self.dispatcher)
        self.attempt_tracker = AttemptTracker(self.context, self.completion, self.dispatcher)
        self.subscription = Subscription(self.context, now)
        self._feedback_ns = now

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Handle events and due timers, and return the resulting actions.

        Args:
            now: The time in nanoseconds; it never decreases.
            events: The events since the last call, in order.
        """
        actions: list[api.Action] = []
        self.context.actions = actions
        self.context.transitions.clear()
        for event in events:
            self._handle_event(event, now)
        timer = self.timers.pop_due(now)
        while timer is not None:
            self._handle_timer(timer, now)
            timer = self.timers.pop_due(now)
        self.dispatcher.serve_queues(now)
        if now - self._feedback_ns >= FEEDBACK_NS:
            self._update_limits(now)
        wake_up = self.timers.next_wake_up(now)
        if wake_up is not None:
            actions.append(wake_up)
        return actions

    @property
    def transitions(self) -> Sequence[Transition]:
        """What the last `handle` call decided and why, for logs and metrics."""
        return self.context.transitions

    def learned_state(self) -> api.LearnedState:
        """Return the learned state, to be restored after a restart."""
        return learned_state.capture(self.context)

    def arrival_verdict(self, request_id: str, class_name: str, now: int) -> Verdict:
        """Return whether a request with this id may be sent, if an earlier one may have run."""
        request_class = self.settings.classes.get(class_name)
        executed = self.context.executions.attempts(request_id, now)
        if request_class is None or not executed:
            return ALLOWED
        return may_repeat(request_class, now - executed[0].sent_ns, same_scope=True)

    @property
    def remembered_executions(self) -> int:
        """Number of requests that are over and whose execution is remembered."""
        return len(self.context.executions)

    def _handle_event(self, event: api.Event, now: int) -> None:
        """Handle an event of a request; the most frequent types are tested first."""
        if type(event) is api.RequestArrived:
            self.admission.request_arrived(event, now)
        elif type(event) is api.AttemptFinished:
            self.attempt_tracker.finished(event, now)
        elif type(event) is api.TimerFired:
            self.timers.wake_up_fired(event.name)
        elif type(event) is api.ClientDisconnected:
            if event.request in self.requests:
                self.completion.finish(self.requests[event.request])
        elif type(event) is api.ResponseStarted:
            if event.request in self.requests:
                self.requests[event.request].response_started = True
        elif type(event) is api.BodyCompleted:
            self.attempt_tracker.body_completed(event, now)
        elif type(event) is api.HealthCheckFinished:
            self.dispatcher.record_load_report(event, now)
        else:
            self._handle_update(event, now)

    def _handle_update(self, event: api.Event, now: int) -> None:
        """Handle an event of discovery, operators, a restart or the traffic plan."""
        if type(event) is api.EndpointsUpdated:
            self._update_endpoints(event, now)
        elif type(event) is api.EndpointTrustChanged:
            self.upstream_set.availability.endpoints_trusted = event.trusted
        elif type(event) is api.UpstreamDisabled:
            self.upstream_set.set_disabled(event, now)
        elif type(event) is api.LearnedState:
            learned_state.restore(self.context, event, now)
        elif type(event) is api.ProcessCountChanged:
            self.upstream_set.slow_start.processes = event.processes
        elif type(event) is api.ReplacementBegan:
            self.subscription.replacement_began(now)
        elif type(event) is api.TrafficPlan:
            for name, bucket in self.buckets.items():
                bucket.planned_rate = event.tenant_rates.get(name, 0.0)
            self.upstream_set.set_plan(event, now)

    def _update_endpoints(self, event: api.EndpointsUpdated, now: int) -> None:
        if event.kind is api.EndpointListKind.FAILED:
            self.subscription.failed(now)
        else:
            self.subscription.succeeded(event.kind)
            self.upstream_set.update(event, now)

    def _handle_timer(self, timer: Timer, now: int) -> None:
        if isinstance(timer, RequestTimer):
            if timer.handle.request is not None:
                self._handle_request_timer(timer, timer.handle.request, now)
        elif isinstance(timer, KeyQueueTimer):
            self.admission.key_queue_due(timer.key_queue, now)
        elif isinstance(timer, TokenTimer):
            self.admission.token_due(timer.bucket, now)
        elif isinstance(timer, SubscribeTimer):
            self.subscription.subscribe()
        elif isinstance(timer, FirstSubscribeTimer):
            self.subscription.subscribe_without_upstreams()

    def _handle_request_timer(self, timer: RequestTimer, request: Request, now: int) -> None:
        if isinstance(timer, QueueDeadlineTimer):
            self.admission.queue_deadline_due(request, now)
        elif isinstance(timer, AttemptOverdueTimer):
            self.attempt_tracker.overdue(request, timer.number, now)
        elif isinstance(timer, AttemptLateTimer):
            self.attempt_tracker.late(request, timer.number, now)

    def _update_limits(self, now: int) -> None:
        """Adjust widths, rates and limits to the outcomes since the last interval."""
        self._feedback_ns = now
        upstream_set = self.upstream_set
        slowness = upstream_set.out_of_subset_slowness
        upstream_set.out_of_subset_slowness += SLOWNESS_DECAY * (1.0 - slowness)
        self._update_widths()
        upstream_set.decay_error_rates()
        self.rate_controller.adjust(
            now, self.concurrency.latency_ratio - self.concurrency.overload_ratio
        )
        upstream_set.slow_start.update(now)
        self._release_tokens(now)

    def _update_widths(self) -> None:
        """Widen pools while requests wait and upstreams outside the subset are not much slower."""
        slowness = self.upstream_set.out_of_subset_slowness
        for queue in self.dispatcher.queues.values():
            pool = queue.pool
            pool.update_zone_preference()
            is_blocked = bool(queue.blocked_since_ns)
            if is_blocked and slowness < MAX_OUT_OF_SUBSET_SLOWNESS and pool.width < pool.count:
                pool.widen()
            elif (
                not is_blocked or slowness > MAX_OUT_OF_SUBSET_SLOWNESS
            ) and pool.width > pool.min_width:
                pool.width -= 1

    def _release_tokens(self, now: int) -> None:
        """Accrue tokens in all buckets, and admit the buffered requests that have a token."""
        for bucket in self.rate_controller.buckets:
            if bucket.accrued_ns != now:
                bucket.accrue(now)
            if bucket.buffered:
                self.admission.release(bucket, now)
