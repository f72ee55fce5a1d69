"""The subscription to the endpoint list, with backoff after failures."""

from __future__ import annotations

from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.timers import FirstSubscribeTimer, SubscribeTimer

# The first subscription is delayed by a random time up to these, without and with known upstreams.
SPREAD_WITHOUT_UPSTREAMS_NS = SECOND // 20
SPREAD_NS = 5 * SECOND // 2
# Of a proxy that replaces another process: what that one was notified of binds it 2 s after it
# accepts clients.
REPLACEMENT_SPREAD_NS = SECOND
# Maximum backoff after a failed call. A proxy must apply a change within 6 s after discovery has it
# and is reachable; two calls must also fit into that time.
MAX_BACKOFF_NS = 2 * SECOND
FULL_BACKOFF_FAILURES: Final = 3
EXPIRY_FRACTION: Final = 0.8  # maximum backoff as a fraction of the list's expiry


class Subscription:
    """Subscribes to the endpoint list, unless discovery pushes it."""

    def __init__(self, context: PolicyContext, now: int) -> None:
        self.context = context
        self.failure_count = 0  # consecutive failures
        settings = context.settings
        self.is_subscribed = settings.discovery_push
        if not self.is_subscribed:
            # Random delays keep proxies from subscribing simultaneously. The second timer is
            # earlier, for a proxy without upstreams, which can't serve requests until subscribed.
            spread_ns = min(SPREAD_NS, settings.rules.list_expiry_ns / 4)
            delay_ns = int(context.rng.random() * spread_ns)
            context.timers.schedule(now + delay_ns, SubscribeTimer())
            first_delay_ns = int(context.rng.random() * SPREAD_WITHOUT_UPSTREAMS_NS)
            context.timers.schedule(now + first_delay_ns, FirstSubscribeTimer())

    def replacement_began(self, now: int) -> None:
        """Subscribe early, because this proxy replaces another process.

        The times of a fleet's proxies are spread evenly, as they may all be replaced together.
        """
        settings = self.context.settings
        proxies = max(1, settings.instance_count)
        slot = settings.instance_index % proxies + self.context.rng.random()
        spread_ns = min(REPLACEMENT_SPREAD_NS, settings.rules.list_expiry_ns / 4)
        self.context.timers.schedule(now + int(spread_ns * slot / proxies), SubscribeTimer())

    def failed(self, now: int) -> None:
        """Subscribe again after a backoff, which keeps many proxies from overloading discovery."""
        self.is_subscribed = False
        self.failure_count += 1
        growth = 2.0 ** (self.failure_count - FULL_BACKOFF_FAILURES)
        backoff_ns = MAX_BACKOFF_NS * min(1.0, growth) * self.context.rng.uniform(0.4, 1.0)
        max_backoff_ns = self.context.settings.rules.list_expiry_ns * EXPIRY_FRACTION
        self.context.timers.schedule(now + int(min(backoff_ns, max_backoff_ns)), SubscribeTimer())

    def succeeded(self, kind: api.EndpointListKind) -> None:
        """Reset the failure count after a list from discovery; a cached list does not count."""
        if kind is not api.EndpointListKind.CACHED:
            self.failure_count = 0

    def subscribe(self) -> None:
        """Subscribe to the endpoint list if not subscribed."""
        if not self.is_subscribed:
            self.is_subscribed = True
            self.context.actions.append(api.SubscribeEndpoints(True))

    def subscribe_without_upstreams(self) -> None:
        """Subscribe to the endpoint list early if there is no usable upstream."""
        if not self.context.upstream_set.ready:
            self.subscribe()
