"""One attempt of a request on its way to an upstream.

An attempt is asked for its bytes when its connection is up. Only then are the rules, the clock and
the client looked at for the last time, so that nothing is sent that nobody waits for any more.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.policy import api, rules
from loadbalancer.policy.rules import Denied
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.messages import message
from loadbalancer.proxy.policy_violations import PolicyViolations
from loadbalancer.proxy.requests import OpenRequest

DEADLINE_HEADER = b"X-Deadline-Ms"
METHODS_WITHOUT_BODY = (b"GET", b"HEAD")


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """How long an attempt may take and when it may start.

    Attributes:
        limits: The settings' limits on attempts.
        timeout_ns: How long it may take from the request's last byte on.
        expires_ns: When it is given up, where its request is complete.
        start_by_ns: It may not start later; 0: at any time.
    """

    limits: api.Limits
    timeout_ns: int
    expires_ns: int
    start_by_ns: int


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """Attempt `number` of a request.

    Attributes:
        client_gone: Called when the request's client is found to have disconnected.
        promised_ms: The remaining time that the head gave to the upstream.
    """

    request: OpenRequest
    number: int
    limits: AttemptLimits
    violations: PolicyViolations
    client_gone: Callable[[OpenRequest], None]
    promised_ms: int = 0

    def verdict(self, now_ns: int) -> rules.Verdict:
        """Decide whether it may start now, as far as its request is concerned."""
        request = self.request
        stream = request.stream
        limits = self.limits.limits
        attempt = rules.Attempt(
            now_ns,
            request.arrival.deadline_ns,
            self.number,
            request.other_attempts_in_flight(self.number),
            request_finished=request.finished,
            client_gone=not request.finished and request.client.gone,
            body_available=stream is None or stream.is_replayable,
            start_by_ns=self.limits.start_by_ns,
        )
        return rules.may_attempt(attempt, limits, rules.max_in_flight(limits, stream is not None))

    def begin(self, upstream_verdict: rules.Verdict) -> bytes | Denied:
        """Build the head, and the body where it is at hand, with the time that is left now.

        Args:
            upstream_verdict: Whether the upstream may be sent something new.
        """
        now_ns = time.monotonic_ns()
        verdict = self.verdict(now_ns)
        if not isinstance(verdict, Denied):
            verdict = upstream_verdict
        if isinstance(verdict, Denied):
            self.report_denial(verdict, "its connection is up")
            return verdict
        request = self.request
        if request.arrival.body_complete:
            deadline_ns = request.arrival.deadline_ns
            self.promised_ms = rules.remaining_ms(now_ns, deadline_ns, self.limits.expires_ns)
        else:
            # Its client's time runs from the last byte, which is still to come.
            self.promised_ms = rules.remaining_ms(0, request.wait_ns, self.limits.timeout_ns)
        if request.stream is not None:
            request.stream.rewind()
        return attempt_request(request, self.promised_ms)

    def may_finish(self) -> bool:
        """Decide whether the body's last byte may be written, given the time its head promised."""
        request = self.request
        now_ns = time.monotonic_ns()
        from_ns = request.arrival.received_ns if request.arrival.body_complete else now_ns
        verdict = rules.may_complete_body(self.promised_ms, now_ns, from_ns + request.wait_ns)
        if isinstance(verdict, Denied):
            self.report_denial(verdict, "the last byte of its body is due")
        return not isinstance(verdict, Denied)

    def report_denial(self, denied: Denied, state: str) -> None:
        """Count a denial, and end a request whose client is found to have disconnected."""
        self.violations.record(
            denied, self.request.arrival.request, f"attempt {self.number}, {state}"
        )
        if denied.reason is rules.Reason.CLIENT_GONE:
            self.client_gone(self.request)


def attempt_request(request: OpenRequest, wait_ms: int) -> bytes:
    """Build the forwarded request: framed anew, with how long this balancer will wait."""
    rows = [*request.headers, (DEADLINE_HEADER, b"%d" % wait_ms)]
    framing = _framing(request.method, request.body, request.stream)
    if framing is not None:
        rows.append(framing)
    return message(b"%b %b HTTP/1.1" % (request.method, request.target), rows, request.body)


def _framing(method: bytes, body: bytes, stream: Body | None) -> tuple[bytes, bytes] | None:
    """The header that frames the body; None where there is no body to frame."""
    if stream is not None:
        if stream.length is None:
            return (b"Transfer-Encoding", b"chunked")
        return (b"Content-Length", b"%d" % stream.length)
    if body or method not in METHODS_WITHOUT_BODY:
        return (b"Content-Length", b"%d" % len(body))
    return None
