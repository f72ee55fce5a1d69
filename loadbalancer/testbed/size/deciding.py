"""The decision module of a hollow balancer, for one service: lists go in as they come, its timers
are kept, and requests of a model come at a rate, each answered after a fixed time. No sockets.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import replace

from loadbalancer.policy import Balancer, api
from loadbalancer.testbed.decisions import SETTINGS, TOOK_NS


class Deciding:
    def __init__(self, zone: str, among: int, seed: int) -> None:
        """`among`: how many balancers carry the service."""
        settings = replace(SETTINGS, zone=zone, instance_count=among)
        self.module = Balancer(settings, seed, time.monotonic_ns())
        self.loop = asyncio.get_running_loop()
        self.numbers = itertools.count()
        self.open: dict[str, int] = {}  # attempts of each request
        self.sent = 0
        self.timers: set[asyncio.TimerHandle] = set()
        self.closed = False

    def learn(self, kind: api.EndpointListKind, entries: Sequence[api.Upstream]) -> None:
        self._give(api.EndpointsUpdated(kind, entries))

    def come(self, per_s: float) -> None:
        """Requests from here on."""
        self._after(1 / per_s, lambda: self._arrive(per_s))

    def _arrive(self, per_s: float) -> None:
        self.come(per_s)
        cls = SETTINGS.classes["lookup"]
        request = f"r{next(self.numbers)}"
        self.open[request] = 0
        self._give(
            api.RequestArrived(
                request, cls.name, "ash", time.monotonic_ns() + cls.deadline_ns, key=request
            )
        )

    def _after(self, delay_s: float, what: object) -> None:
        assert callable(what)

        def fire() -> None:
            self.timers.discard(handle)
            what()

        if not self.closed:
            handle = self.loop.call_later(delay_s, fire)
            self.timers.add(handle)

    def _give(self, event: api.Event) -> None:
        for action in self.module.handle(time.monotonic_ns(), [event]):
            match action:
                case api.SetTimer():
                    self._after(
                        action.delay_ns / 1e9, lambda a=action: self._give(api.TimerFired(a.name))
                    )
                case api.StartAttempt():
                    self.sent += 1
                    attempt = self.open.get(action.request, 0)
                    self.open[action.request] = attempt + 1
                    self._after(TOOK_NS / 1e9, lambda a=action, n=attempt: self._answered(a, n))
                case api.RejectRequest() | api.FailRequest():
                    self.open.pop(action.request, None)

    def _answered(self, sent: api.StartAttempt, attempt: int) -> None:
        first = self.open.pop(sent.request, None) is not None
        self._give(
            api.AttemptFinished(
                sent.request, attempt, sent.upstream, api.AttemptResult.OK, TOOK_NS, first
            )
        )

    def close(self) -> None:
        self.closed = True
        for timer in self.timers:
            timer.cancel()
