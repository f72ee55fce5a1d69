"""The subscription to the endpoint list: when to subscribe, and again after a failure."""

from __future__ import annotations

from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.timers import FirstSubscribeTimer, SubscribeTimer

# First calls are spread over these: where no upstream is known, and where one is.
SPREAD_WITHOUT_UPSTREAMS_NS = SECOND // 20
SPREAD_NS = 5 * SECOND // 2
# The longest backoff after a call that failed: a change must be known 6 s after discovery had it
# and could be reached, and two calls take time as well.
MAX_BACKOFF_NS = 2 * SECOND
FULL_BACKOFF_FAILURES: Final = 3
EXPIRY_FRACTION: Final = 0.8  # of the list's expiry that a backoff may take


class Subscription:
    """Subscribes to the endpoint list, unless it is pushed."""

    def __init__(self, context: PolicyContext, now: int) -> None:
        self.context = context
        self.failure_count = 0  # in a row
        settings = context.settings
        self.is_subscribed = settings.discovery_push
        if not self.is_subscribed:
            # Proxies must not all subscribe together; but one that knows of no upstream serves
            # nobody until it has subscribed.
            spread_ns = min(SPREAD_NS, settings.rules.list_expiry_ns / 4)
            delay_ns = int(context.rng.random() * spread_ns)
            context.timers.schedule(now + delay_ns, SubscribeTimer())
            first_delay_ns = int(context.rng.random() * SPREAD_WITHOUT_UPSTREAMS_NS)
            context.timers.schedule(now + first_delay_ns, FirstSubscribeTimer())

    def failed(self, now: int) -> None:
        """Subscribe again after a backoff: discovery must not be overloaded by many proxies."""
        self.is_subscribed = False
        self.failure_count += 1
        growth = 2.0 ** (self.failure_count - FULL_BACKOFF_FAILURES)
        backoff_ns = MAX_BACKOFF_NS * min(1.0, growth) * self.context.rng.uniform(0.4, 1.0)
        max_backoff_ns = self.context.settings.rules.list_expiry_ns * EXPIRY_FRACTION
        self.context.timers.schedule(now + int(min(backoff_ns, max_backoff_ns)), SubscribeTimer())

    def succeeded(self, kind: api.EndpointListKind) -> None:
        """Note a list that came; a cached one does not come from discovery."""
        if kind is not api.EndpointListKind.CACHED:
            self.failure_count = 0

    def subscribe(self) -> None:
        """Subscribe, if that is not done."""
        if not self.is_subscribed:
            self.is_subscribed = True
            self.context.actions.append(api.SubscribeEndpoints(True))

    def subscribe_without_upstreams(self) -> None:
        """Subscribe early, if no upstream is known."""
        if not self.context.upstream_set.ready:
            self.subscribe()
