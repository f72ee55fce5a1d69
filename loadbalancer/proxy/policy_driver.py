"""The driver: the one caller of `Balancer.handle`.

Events go in as they came, on the monotonic clock; what one turn of the loop brings is handed over
together. Actions are carried out in order. The driver owns timers, attempts and the table of
requests.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import replace
from typing import Protocol

from loadbalancer.policy import Balancer, api
from loadbalancer.policy.rules import Denied
from loadbalancer.proxy.attempt import OutgoingAttempt
from loadbalancer.proxy.parse import Response
from loadbalancer.proxy.policy_violations import Denials
from loadbalancer.proxy.requests import Client, OpenRequest
from loadbalancer.proxy.timers import call_after
from loadbalancer.proxy.upstream import Endpoint, Report, Timing, Upstreams, number_of
from loadbalancer.wallclock import StartTimes

log = logging.getLogger(__name__)

OVERDUE_S = 0.008  # after its deadline a request that the module has not ended is ended here


class Discovery(Protocol):
    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Peers(Protocol):
    def tell(self, peer: int, data: bytes) -> None: ...


class Driver:
    def __init__(self, settings: api.Settings, seed: int, upstreams: Upstreams) -> None:
        self.settings = settings
        self.upstreams = upstreams
        self.discovery: Discovery | None = None
        self.peers: Peers | None = None
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, time.monotonic_ns())
        self.denials = Denials()
        self.starts = StartTimes()
        self.requests: dict[str, OpenRequest] = {}
        self.open = 0  # requests that are owed an answer
        self.waiting: list[api.Event] = []
        self.told = asyncio.Event()  # a list came
        self.tap: Callable[[int, Sequence[api.Event]], None] | None = (
            None  # who else hears what came
        )

    @property
    def ready(self) -> bool:
        """Can the module serve? It can once a list has named an upstream that is ready."""
        return any(t.keep for t in self.upstreams.targets.values())

    # ---- events ----------------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        if not self.waiting:
            self.loop.call_soon(self._hand_over)
        self.waiting.append(event)

    def arrive(self, request: OpenRequest) -> bool:
        """Take a client's request; False if it can't be taken, and the caller answers."""
        if self.open >= self.settings.limits.max_open:
            return False
        self.requests[request.arrival.request] = request
        self.open += 1
        self._limit(request)
        self.post(request.arrival)
        return True

    def _limit(self, request: OpenRequest) -> None:
        """From now on it is overdue at its deadline."""
        if request.overdue is not None:
            request.overdue.cancel()
        left = (request.arrival.deadline_ns - time.monotonic_ns()) / 1e9
        request.overdue = self.loop.call_later(
            max(0.0, left) + OVERDUE_S, self._soon_overdue, request
        )

    def body_whole(self, request: OpenRequest, deadline_ns: int, received_ns: int) -> None:
        """The last byte of its body came: its time runs from there, and that of its attempt."""
        if request.over or request.stream is None:
            return
        request.arrival = request.arrival._replace(
            deadline_ns=deadline_ns, received_ns=received_ns, body_complete=True
        )
        request.whole_ns = time.monotonic_ns()
        self._limit(request)
        for exchange in request.attempts:
            if exchange is not None:
                exchange.expire_in(self._wait(request, request.timeout_ns) / 1e9)
        self.post(
            api.BodyCompleted(
                request.arrival.request, deadline_ns, received_ns, request.stream.whole_again
            )
        )

    @staticmethod
    def _wait(request: OpenRequest, timeout_ns: int) -> int:
        """How long an attempt may take from now on."""
        left = max(0, request.arrival.deadline_ns - time.monotonic_ns())
        return min(timeout_ns or left, left)

    def client_gone(self, request: OpenRequest) -> None:
        if self._end(request):
            if request.stream is not None and not request.stream.ended:
                # and with it the attempt: its last byte will never be written
                request.stream.fail()
            self.post(api.ClientDisconnected(request.arrival.request))

    def learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        if kind is not api.EndpointListKind.FAILED:
            now_ns = time.monotonic_ns()
            endpoints = [self._dated(e, now_ns) for e in endpoints]
            if kind is not api.EndpointListKind.CACHED:
                self.starts.listed(now_ns)
            self.upstreams.learn(endpoints, full=kind is not api.EndpointListKind.DELTA)
            self.told.set()
        self.post(api.EndpointsUpdated(kind, [e.entry for e in endpoints]))

    def trust(self, on: bool) -> None:
        """May the list be gone by? While not, nothing new begins at any upstream."""
        self.upstreams.trusted = on
        self.post(api.EndpointTrustChanged(on))

    def _dated(self, endpoint: Endpoint, now_ns: int) -> Endpoint:
        """With the time of its start by this process's clock."""
        entry = endpoint.entry
        started_ns = self.starts.started_ns(entry.id, endpoint.started_ms, now_ns)
        return replace(endpoint, entry=entry._replace(started_ns=started_ns))

    async def can_serve(self, seconds: float) -> bool:
        """Wait for that, so long at the most."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self.ready:
                    self.told.clear()
                    await self.told.wait()
        return self.ready

    def listed(self, name: str) -> bool:
        """Did any list ever name this upstream?"""
        return number_of(name) in self.upstreams.listed

    def ban(self, name: str, on: bool) -> None:
        """Operators took an upstream out, or put it back."""
        self.upstreams.ban(number_of(name), on)
        self.post(api.UpstreamDisabled(number_of(name), on))

    def _hand_over(self) -> None:
        events, self.waiting = self.waiting, []
        now = time.monotonic_ns()
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._blame("the decision module failed", events)
            actions = []
        if self.tap is not None:
            self.tap(now, events)
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:
                self._blame("an action failed", [action])
        for (
            event
        ) in events:  # only now: the module may act for a request until it has heard of its end
            if isinstance(event, api.AttemptFinished | api.ClientDisconnected):
                self._forget(event.request)

    def _blame(self, what: str, about: Sequence[api.Event | api.Action]) -> None:
        """Called in an exception's handler: log it with its requests, and end these as failed."""
        names = [
            name for name in (getattr(item, "request", None) for item in about) if name is not None
        ]
        log.exception("%s; requests %s", what, " ".join(names) or "-")
        for name in names:
            request = self.requests.get(name)
            if request is not None and self._answer(request, lambda client: client.failed(502)):
                self.post(api.ClientDisconnected(name))

    def _answer(self, request: OpenRequest, how: Callable[[Client], None]) -> bool:
        """End a request with its final answer; False, and no answer, if it was over already. An
        answer that can't be given must not take the events behind it along.
        """
        if not self._end(request):
            return False
        try:
            how(request.client)
        except Exception:
            log.exception("request %s: its answer failed", request.arrival.request)
            request.client.abort()
        if request.stream is not None and not request.stream.ended:
            request.stream.fail()  # answered ahead of its end
        return True

    def _soon_overdue(self, request: OpenRequest) -> None:
        # When the loop has stood still, the attempt's time-out is due on the same turn as this, and
        # waits to be handed over: without one more turn a refusal with its Retry-After would come
        # out as a failure.
        self.loop.call_soon(self._overdue, request)

    def _overdue(self, request: OpenRequest) -> None:
        """The module owes an answer and the client's time is over: the rule is kept here, and
        logged.
        """
        if self._answer(request, lambda client: client.failed(504)):
            log.error("request %s was not answered by its deadline", request.arrival.request)
            self.post(api.ClientDisconnected(request.arrival.request))

    def end_open(self) -> None:
        """This process leaves now: whoever still waits is told that, and not left with a broken
        connection. Requests that were taken before it was told to leave may have more time than it
        has.
        """
        for request in list(self.requests.values()):
            if self._answer(request, lambda client: client.failed(504)):
                self.post(api.ClientDisconnected(request.arrival.request))

    # ---- actions ---------------------------------------------------------------------------------

    def _carry_out(self, action: api.Action, now: int) -> None:
        match action:
            case api.StartAttempt():
                self._send(action, now)
            case api.RejectRequest():
                request = self.requests.get(action.request)
                if request is not None and self._answer(
                    request, lambda client: client.refused(action.retry_after_ns)
                ):
                    self._forget(action.request)
            case api.FailRequest():
                request = self.requests.get(action.request)
                if request is not None:
                    status = 504 if request.timed_out else 502
                    if self._answer(request, lambda client: client.failed(status)):
                        self._forget(action.request)
            case api.CancelAttempt():
                request = self.requests.get(action.request)
                exchange = request.attempts[action.attempt] if request is not None else None
                if exchange is not None:
                    exchange.give_up(api.AttemptResult.CANCELLED)
            case api.CheckHealth():
                self._probe(action.upstream, now)
            case api.SetTimer():
                call_after(action.delay_ns / 1e9, self.post, api.TimerFired(action.name))
            case api.SendGossip():
                if self.peers is not None:
                    self.peers.tell(action.peer, action.data)
            case api.SubscribeEndpoints():
                if self.discovery is not None:
                    self.discovery.subscribe(action.enabled)
            case api.FetchEndpoints():
                if self.discovery is not None:
                    self.discovery.fetch()
            case api.LogMessage():
                log.info("%s", action.text)

    def _send(self, action: api.StartAttempt, now: int) -> None:
        request = self.requests.get(action.request)
        if request is None:
            log.error("send for request %s, which is not open", action.request)
            return
        number = len(request.attempts)
        attempt = self._attempt(request, number, action, now)
        verdict = attempt.verdict(now)
        request.attempts.append(None)
        request.sent += 1

        def ended(
            result: api.AttemptResult, response: Response | None = None, report: Report = None
        ) -> None:
            exchange = request.attempts[number]
            # What an answer lay unread here is this program's time, not its upstream's.
            began = max(now, request.whole_ns)
            took = time.monotonic_ns() - began - (exchange.unread_ns if exchange is not None else 0)
            self._ended(request, number, action.upstream, result, max(0, took), response, report)

        if isinstance(verdict, Denied):
            attempt.denied(verdict, "decided")
            ended(api.AttemptResult.NOT_SENT)
        elif action.timeout_ns < 0:
            ended(api.AttemptResult.TIMEOUT)
        else:
            try:
                request.attempts[number] = self.upstreams.send(
                    action.upstream,
                    attempt,
                    ended,
                    self._timing(attempt, now, action.start_by_ns),
                    request.stream,
                    request.method == b"HEAD",
                )
            except Exception:  # it still has its one outcome, below
                self._blame("an attempt could not start", [action])
            if request.attempts[number] is None:
                ended(api.AttemptResult.NOT_SENT)

    def _attempt(
        self, request: OpenRequest, number: int, action: api.StartAttempt, now: int
    ) -> OutgoingAttempt:
        longest = self.settings.classes[request.arrival.class_name].deadline_ns
        timeout_ns = min(action.timeout_ns or longest, longest)
        request.timeout_ns = action.timeout_ns
        return OutgoingAttempt(
            request,
            number,
            self.settings.limits,
            self.denials,
            self.client_gone,
            timeout_ns,
            now + timeout_ns,
            now + action.start_by_ns if action.start_by_ns else 0,
        )

    def _timing(self, attempt: OutgoingAttempt, now: int, start_by_ns: int) -> Timing:
        """Without a limit, it waits for a body that is still to come."""
        if not attempt.request.arrival.body_complete:
            return Timing(None, start_by_ns / 1e9)
        return Timing(self._wait(attempt.request, attempt.until_ns - now) / 1e9, start_by_ns / 1e9)

    def _ended(
        self,
        request: OpenRequest,
        number: int,
        upstream: int,
        result: api.AttemptResult,
        duration_ns: int,
        response: Response | None,
        report: Report,
    ) -> None:
        request.attempts[number] = None
        request.sent -= 1
        request.timed_out = result is api.AttemptResult.TIMEOUT
        if result is api.AttemptResult.OK and response is not None:
            taken = self._answer(request, lambda client: client.served(response))
            if response.stream is not None and not taken:
                response.stream.drop()
        name = request.arrival.request
        self.post(
            api.AttemptFinished(name, number, upstream, result, duration_ns, request.over, report)
        )

    def _probe(self, upstream: int, now: int) -> None:
        def ended(result: api.AttemptResult, report: Report) -> None:
            self.post(api.HealthCheckFinished(upstream, result, time.monotonic_ns() - now, report))

        try:
            started = self.upstreams.probe(upstream, ended)
        except Exception:  # it still has its one result: the module waits for it
            self._blame("a probe could not start", [])
            started = False
        if not started:
            ended(api.AttemptResult.CONNECT_FAILED, None)

    def _end(self, request: OpenRequest) -> bool:
        """Mark a request as over; False if it was already."""
        if request.over:
            return False
        request.over = True
        self.open -= 1
        if request.overdue is not None:
            request.overdue.cancel()
        return True

    def _forget(self, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and request.over and not request.sent:
            del self.requests[name]
