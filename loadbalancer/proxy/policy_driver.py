"""Driver of the policy: the only caller of `Balancer.handle`.

Events are passed to the policy in order of arrival, with the monotonic time; all events of one
event-loop iteration form one batch. The resulting actions are executed in order. The driver owns
the policy's timers, the attempts and the table of open requests.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import replace
from http import HTTPStatus

from loadbalancer.policy import Balancer, api
from loadbalancer.policy.execution_history import REMEMBERED_REQUEST_BYTES
from loadbalancer.policy.rules import Allowed, Denied, Verdict, is_repeatable, may_repeat
from loadbalancer.proxy.attempt import AttemptLimits, OutgoingAttempt
from loadbalancer.proxy.driver_interfaces import Discovery, Gossip
from loadbalancer.proxy.endpoint import Endpoint, upstream_number
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.memory_account import Charge
from loadbalancer.proxy.message_end_log import MessageEndLog
from loadbalancer.proxy.messages import Response
from loadbalancer.proxy.policy_violations import PolicyViolations
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.proxy.requests import OpenRequest
from loadbalancer.proxy.shared_executions import SharedExecutions
from loadbalancer.proxy.timers import call_after
from loadbalancer.proxy.traffic_log import TrafficLog
from loadbalancer.proxy.upstream import AttemptCallback, ExpectedBodies, Timing, Upstreams
from loadbalancer.proxy.upstream_response import AttemptOutcome, LoadReport
from loadbalancer.wallclock import StartTimes

log = logging.getLogger(__name__)


class Driver:
    """Runs the policy on the event loop.

    Attributes:
        table: The open requests.
        list_received: Set when an endpoint list is received.
        event_listener: Called with each batch of events after the policy has handled it.
    """

    def __init__(self, settings: api.Settings, seed: int, upstreams: Upstreams) -> None:
        self.settings = settings
        self.upstreams = upstreams
        self.discovery: Discovery | None = None
        self.peers: Gossip | None = None
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, time.monotonic_ns())
        self.violations = PolicyViolations()
        self.traffic_log = TrafficLog(upstreams.name)
        self.start_times = StartTimes()
        self.pending_events: list[api.Event] = []
        self.table = RequestTable(settings.limits.max_open, self.post)
        self.shared_executions: SharedExecutions | None = None
        self.history_charge = Charge(upstreams.pool.memory)
        self.list_received = asyncio.Event()
        self._processes = 1
        self.event_listener: Callable[[int, Sequence[api.Event]], None] | None = None

    @property
    def ready(self) -> bool:
        """Whether requests can be served: at least one listed upstream is ready and enabled."""
        return any(t.keep for t in self.upstreams.targets.values())

    @property
    def requests(self) -> Mapping[str, OpenRequest]:
        """All requests in the table by id."""
        return self.table.requests

    @property
    def open(self) -> int:
        """Number of unanswered requests."""
        return self.table.open

    @property
    def message_ends(self) -> MessageEndLog:
        """Logs the messages that ended in transit, in both directions."""
        return self.upstreams.pool.message_ends

    # ---- events ----------------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        """Queue an event for the policy, which gets it in the next event-loop iteration."""
        if not self.pending_events:
            self.loop.call_soon(self._process_events)
        self.pending_events.append(event)

    def arrive(self, request: OpenRequest) -> bool:
        """Accept a client's request.

        Returns:
            False if too many requests are open; the caller has to answer the request then.
        """
        if not self.table.add(request):
            return False
        self.post(request.arrival)
        return True

    def arrival_verdict(self, request_id: str, class_name: str) -> Verdict:
        """Return whether a request with this id may run, if an earlier one may have run."""
        now_ns = time.monotonic_ns()
        verdict = self.balancer.arrival_verdict(request_id, class_name, now_ns)
        request_class = self.settings.classes[class_name]
        is_idempotent = request_class.effect is api.Effect.IDEMPOTENT
        if isinstance(verdict, Denied) or is_idempotent or self.shared_executions is None:
            return verdict
        sent_ns = self.shared_executions.sent_ns(request_id, now_ns)
        if sent_ns is None:
            return verdict
        # Which upstream the other process sent it to is not known.
        is_any_scope = request_class.scope is api.DeduplicationScope.ALL
        return may_repeat(request_class, now_ns - sent_ns, is_any_scope)

    def body_completed(self, request: OpenRequest, deadline_ns: int, received_ns: int) -> None:
        """Handle the last byte of a body, from which the deadline and the timeouts count."""
        if request.finished or request.stream is None:
            return
        request.arrival = request.arrival._replace(
            deadline_ns=deadline_ns, received_ns=received_ns, body_complete=True
        )
        request.completed_ns = time.monotonic_ns()
        self.table.watch_deadline(request)
        timeout_ns = request.timeout_ns if self._is_repeatable(request) else 0
        for exchange in request.attempts:
            if exchange is not None:
                exchange.expire_in(
                    self._remaining_ns(request, timeout_ns) / 1e9,
                    self._remaining_ns(request, 0) / 1e9,
                )
        self.post(
            api.BodyCompleted(
                request.arrival.request, deadline_ns, received_ns, request.stream.is_replayable
            )
        )

    @staticmethod
    def _remaining_ns(request: OpenRequest, timeout_ns: int) -> int:
        """Return how long an attempt may take from now."""
        left = max(0, request.arrival.deadline_ns - time.monotonic_ns())
        return min(timeout_ns or left, left)

    def client_gone(self, request: OpenRequest) -> None:
        """End a request whose client has disconnected."""
        if self.table.end(request):
            self.traffic_log.request_closed(request.arrival.request, "client gone")
            if request.stream is not None and not request.stream.ended:
                # Without the body's last byte, which will never be received, the attempt fails too.
                request.stream.fail()
            self.post(api.ClientDisconnected(request.arrival.request))

    def upload_overdue(self, request: OpenRequest) -> None:
        """Answer a request whose upstream does not take its body, by its client's own time."""
        if self.table.fail_unanswered(request, HTTPStatus.GATEWAY_TIMEOUT):
            self.traffic_log.request_closed(request.arrival.request, "body not taken in time")

    def learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        """Apply an endpoint list, and notify the policy of it or of a failed request for it."""
        if kind is not api.EndpointListKind.FAILED:
            now_ns = time.monotonic_ns()
            endpoints = [self._with_start_time(e, now_ns) for e in endpoints]
            if kind is not api.EndpointListKind.CACHED:
                self.start_times.list_received(now_ns)
            is_full = kind is not api.EndpointListKind.DELTA
            for change in self.upstreams.learn(endpoints, is_full):
                self.traffic_log.upstream_changed(change)
            self.list_received.set()
        self.post(api.EndpointsUpdated(kind, [e.entry for e in endpoints]))

    def set_process_count(self, processes: int) -> None:
        """Set how many processes of this balancer run, this one included."""
        if processes != self._processes:
            self._processes = processes
            self.post(api.ProcessCountChanged(processes))

    def begin_replacement(self) -> None:
        """Notify the policy that this process replaces another one, which still runs."""
        self.post(api.ReplacementBegan())

    def metrics_text(self) -> str:
        """Return the counters of this process in the Prometheus text format."""
        denials = {reason.value: count for reason, count in self.violations.counts.items()}
        account = self.history_charge.account
        parts = (
            self.traffic_log.metrics_text(denials),
            self.message_ends.metrics_text(),
            account.metrics_text(),
        )
        return "\n".join(parts)

    def set_trusted(self, on: bool) -> None:
        """Set whether the endpoint list is recent enough; if not, no attempt starts."""
        self.upstreams.set_trusted(on)
        self.post(api.EndpointTrustChanged(on))

    def _with_start_time(self, endpoint: Endpoint, now_ns: int) -> Endpoint:
        """Return the endpoint with its start time on this process's monotonic clock."""
        entry = endpoint.entry
        started_ns = self.start_times.started_ns(entry.id, endpoint.started_ms, now_ns)
        return replace(endpoint, entry=entry._replace(started_ns=started_ns))

    async def wait_until_ready(self, seconds: float) -> bool:
        """Wait until requests can be served, at most for this time.

        Returns:
            Whether requests can be served.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self.ready:
                    self.list_received.clear()
                    await self.list_received.wait()
        return self.ready

    def was_listed(self, name: str) -> bool:
        """Return whether any endpoint list has contained this upstream."""
        return upstream_number(name) in self.upstreams.seen_numbers

    def set_disabled(self, name: str, is_disabled: bool) -> None:
        """Disable or enable an upstream on behalf of an operator."""
        self.upstreams.set_disabled(upstream_number(name), is_disabled)
        self.post(api.UpstreamDisabled(upstream_number(name), is_disabled))

    def _process_events(self) -> None:
        events = self.pending_events
        self.pending_events = []
        now = time.monotonic_ns()
        actions = self._run_policy(now, events)
        self.history_charge.replace(self.balancer.remembered_executions * REMEMBERED_REQUEST_BYTES)
        self.traffic_log.record(self.balancer.transitions)
        if self.event_listener is not None:
            self.event_listener(now, events)
        for action in actions:
            try:
                self._execute(action, now)
            except Exception as error:  # noqa: BLE001 (the remaining actions still run)
                self._report_failure("action failed", [action], error)
        # Requests are removed only after the policy was notified of their end, because until then
        # its actions may refer to them.
        for event in events:
            if isinstance(event, api.AttemptFinished | api.ClientDisconnected):
                self.table.forget(event.request)

    def _run_policy(self, now: int, events: Sequence[api.Event]) -> list[api.Action]:
        try:
            return self.balancer.handle(now, events)
        except Exception as error:  # noqa: BLE001 (the process continues without the decisions of this batch)
            self._report_failure("policy failed", events, error)
            return []

    def _report_failure(
        self, problem: str, items: Sequence[api.Event | api.Action], error: Exception
    ) -> None:
        """Log an error with the ids of the affected requests, and fail these requests."""
        names = [
            name for name in (getattr(item, "request", None) for item in items) if name is not None
        ]
        log.error("%s: requests=%s", problem, " ".join(names) or "-", exc_info=error)
        for name in names:
            request = self.table.get(name)
            if request is not None:
                self.table.fail_unanswered(request, HTTPStatus.BAD_GATEWAY)

    def end_open(self) -> None:
        """Answer all open requests with an error because this process is shutting down."""
        for request in self.table.requests.values():
            if not request.finished:
                self.traffic_log.request_closed(request.arrival.request, "shutdown")
        self.table.fail_all()

    # ---- actions ---------------------------------------------------------------------------------

    def _execute(self, action: api.Action, now: int) -> None:
        match action:
            case api.StartAttempt():
                self._send_attempt(action, now)
            case api.RejectRequest():
                self._reject_request(action)
            case api.FailRequest():
                self._fail_request(action)
            case api.CancelAttempt():
                self._cancel_attempt(action)
            case api.CheckHealth():
                self._check_health(action.upstream, now)
            case api.SetTimer():
                call_after(action.delay_ns / 1e9, self.post, api.TimerFired(action.name))
            case api.LogMessage():
                log.info("%s", action.text)
            case _:
                self._execute_external(action)

    def _execute_external(self, action: api.Action) -> None:
        """Execute an action for discovery or gossip, if that is configured."""
        match action:
            case api.SendGossip() if self.peers is not None:
                self.peers.send(action.peer, action.data)
            case api.SubscribeEndpoints() if self.discovery is not None:
                self.discovery.subscribe(action.enabled)
            case api.FetchEndpoints() if self.discovery is not None:
                self.discovery.fetch()

    def _reject_request(self, action: api.RejectRequest) -> None:
        request = self.table.get(action.request)
        if request is not None and self.table.answer(
            request, lambda client: client.reject(action.retry_after_ns)
        ):
            self.table.forget(action.request)

    def _fail_request(self, action: api.FailRequest) -> None:
        request = self.table.get(action.request)
        if request is None:
            return
        status = HTTPStatus.GATEWAY_TIMEOUT if request.timed_out else HTTPStatus.BAD_GATEWAY
        if self.table.answer(request, lambda client: client.fail(status)):
            self.table.forget(action.request)

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        request = self.table.get(action.request)
        exchange = request.attempts[action.attempt] if request is not None else None
        if exchange is None or request is None:
            return
        repeatable = self._is_repeatable(request)
        if isinstance(exchange.give_up_verdict(request.finished, repeatable), Allowed):
            exchange.give_up(api.AttemptResult.CANCELLED)

    def _is_repeatable(self, request: OpenRequest) -> bool:
        """Return whether a request that is being executed may have a further attempt."""
        request_class = self.settings.classes[request.arrival.class_name]
        body_available = request.stream is None or request.stream.is_replayable
        return is_repeatable(request_class, body_available, 0)

    def _send_attempt(self, action: api.StartAttempt, now: int) -> None:
        request = self.table.get(action.request)
        if request is None:
            log.error("attempt for an unknown request: request=%s", action.request)
            return
        number = len(request.attempts)
        attempt = self._build_attempt(request, number, action, now)
        verdict = attempt.verdict(now)
        request.attempts.append(None)
        request.attempts_in_flight += 1

        def ended(
            result: api.AttemptResult, response: Response | None = None, report: LoadReport = None
        ) -> None:
            exchange = request.attempts[number]
            # The waits for a connection to settle and for the event loop to read the response were
            # caused by this process: they don't count as the upstream's duration.
            local_wait_ns = (
                exchange.settle_wait_ns + exchange.unread_ns if exchange is not None else 0
            )
            started_ns = max(now, request.completed_ns)
            duration_ns = max(0, time.monotonic_ns() - started_ns - local_wait_ns)
            outcome = AttemptOutcome(result, response, report)
            self._finish_attempt(request, number, action.upstream, outcome, duration_ns)

        if isinstance(verdict, Denied):
            attempt.report_denial(verdict, "decided")
            ended(api.AttemptResult.NOT_SENT)
        elif action.timeout_ns < 0:
            ended(api.AttemptResult.TIMEOUT)
        else:
            self._share_execution(request, now)
            timing = self._timing(attempt, now, action.start_by_ns)
            request.attempts[number] = self._start_exchange(action, attempt, ended, timing)
            if request.attempts[number] is None:
                ended(api.AttemptResult.NOT_SENT)

    def _share_execution(self, request: OpenRequest, now: int) -> None:
        """Tell this balancer's other process of a request that may run now."""
        request_class = self.settings.classes[request.arrival.class_name]
        is_idempotent = request_class.effect is api.Effect.IDEMPOTENT
        if self.shared_executions is not None and not is_idempotent:
            self.shared_executions.publish(request.arrival.request, now)

    def _start_exchange(
        self,
        action: api.StartAttempt,
        attempt: OutgoingAttempt,
        done: AttemptCallback,
        timing: Timing,
    ) -> Exchange | None:
        request = attempt.request
        try:
            return self.upstreams.send(
                action.upstream,
                attempt,
                done,
                timing,
                ExpectedBodies(request.stream, request.method == b"HEAD"),
            )
        except Exception as error:  # noqa: BLE001 (the attempt ends as not sent)
            self._report_failure("attempt not started", [action], error)
            return None

    def _build_attempt(
        self, request: OpenRequest, number: int, action: api.StartAttempt, now: int
    ) -> OutgoingAttempt:
        class_deadline_ns = self.settings.classes[request.arrival.class_name].deadline_ns
        timeout_ns = min(action.timeout_ns or class_deadline_ns, class_deadline_ns)
        request.timeout_ns = action.timeout_ns
        limits = AttemptLimits(
            self.settings.limits,
            timeout_ns,
            now + timeout_ns,
            now + action.start_by_ns if action.start_by_ns else 0,
        )
        return OutgoingAttempt(request, number, limits, self.violations, self.client_gone)

    def _timing(self, attempt: OutgoingAttempt, now: int, start_by_ns: int) -> Timing:
        """Return the attempt's timers; there is no timeout before the body is complete."""
        if not attempt.request.arrival.body_complete:
            return Timing(None, start_by_ns / 1e9)
        remaining_ns = self._remaining_ns(attempt.request, attempt.limits.expires_ns - now)
        deadline_ns = self._remaining_ns(attempt.request, 0)
        return Timing(remaining_ns / 1e9, start_by_ns / 1e9, deadline_ns / 1e9)

    def _finish_attempt(
        self,
        request: OpenRequest,
        number: int,
        upstream: int,
        outcome: AttemptOutcome,
        duration_ns: int,
    ) -> None:
        """Record the outcome of an attempt, and answer the client if it was successful."""
        result, response, report = outcome
        request.attempts[number] = None
        request.attempts_in_flight -= 1
        request.timed_out = result is api.AttemptResult.TIMEOUT
        if result is api.AttemptResult.OK and response is not None:
            answered = self.table.answer(request, lambda client: client.serve(response))
            if response.stream is not None and not answered:
                response.stream.drop()
        name = request.arrival.request
        self.post(
            api.AttemptFinished(
                name, number, upstream, result, duration_ns, request.finished, report
            )
        )

    def _check_health(self, upstream: int, now: int) -> None:
        def ended(result: api.AttemptResult, report: LoadReport) -> None:
            self.post(api.HealthCheckFinished(upstream, result, time.monotonic_ns() - now, report))

        try:
            started = self.upstreams.check_health(upstream, ended)
        except Exception as error:  # noqa: BLE001 (the policy needs a result, which is reported below)
            self._report_failure("health check not started", [], error)
            started = False
        if not started:
            ended(api.AttemptResult.CONNECT_FAILED, None)
