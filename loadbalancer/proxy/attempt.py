"""One attempt to send a request to an upstream.

The bytes of an attempt are built when its connection is established. The rules, the clock and the
client's connection are checked at that moment once more, so that no request is sent whose client no
longer waits for the response.
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
    """Time limits of an attempt.

    Attributes:
        limits: The settings' limits on attempts.
        timeout_ns: The timeout, counted from the request's last byte.
        expires_ns: When the attempt times out if its request is complete.
        start_by_ns: The latest time at which the attempt may start; 0: no limit.
    """

    limits: api.Limits
    timeout_ns: int
    expires_ns: int
    start_by_ns: int


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """Attempt `number` of a request.

    Attributes:
        client_gone: Called when the request's client turns out to have disconnected.
        promised_ms: The remaining time that the request's head announced to the upstream.
    """

    request: OpenRequest
    number: int
    limits: AttemptLimits
    violations: PolicyViolations
    client_gone: Callable[[OpenRequest], None]
    promised_ms: int = 0

    @property
    def name(self) -> str:
        """The request's id."""
        return self.request.arrival.request

    def verdict(self, now_ns: int) -> rules.Verdict:
        """Return whether the request allows the attempt to start now."""
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
        """Build the head with the time that remains now, and the body unless it is streamed.

        Args:
            upstream_verdict: Whether new requests may be sent to the upstream.
        """
        now_ns = time.monotonic_ns()
        verdict = self.verdict(now_ns)
        if not isinstance(verdict, Denied):
            verdict = upstream_verdict
        if isinstance(verdict, Denied):
            self.report_denial(verdict, "connection established")
            return verdict
        request = self.request
        if request.stream is None:
            deadline_ns = request.arrival.deadline_ns
            self.promised_ms = rules.remaining_ms(now_ns, deadline_ns, self.limits.expires_ns)
        else:
            # The upstream counts from the body's last byte, which may take long to send.
            left_ns = request.wait_ns
            if request.arrival.body_complete:
                left_ns = request.arrival.deadline_ns - now_ns
            limit_ns = rules.announced_ns(left_ns)
            self.promised_ms = rules.remaining_ms(0, limit_ns, self.limits.timeout_ns)
        if request.stream is not None:
            request.stream.rewind()
        return attempt_request(request, self.promised_ms)

    def may_finish(self) -> bool:
        """Return whether the last byte of a streamed body may be written.

        It may not if the upstream, which counts the time announced in the head from that byte,
        would work past the client's deadline.
        """
        request = self.request
        now_ns = time.monotonic_ns()
        from_ns = request.arrival.received_ns if request.arrival.body_complete else now_ns
        verdict = rules.may_complete_body(self.promised_ms, now_ns, from_ns + request.wait_ns)
        if isinstance(verdict, Denied):
            self.report_denial(verdict, "before the last byte of the body")
        return not isinstance(verdict, Denied)

    def report_denial(self, denied: Denied, state: str) -> None:
        """Record a denial, and end the request if its client has disconnected."""
        self.violations.record(
            denied, self.request.arrival.request, f"attempt {self.number}, {state}"
        )
        if denied.reason is rules.Reason.CLIENT_GONE:
            self.client_gone(self.request)


def attempt_request(request: OpenRequest, wait_ms: int) -> bytes:
    """Build the forwarded request, with new framing and the time this balancer will wait."""
    rows = [*request.headers, (DEADLINE_HEADER, b"%d" % wait_ms)]
    framing = _framing(request.method, request.body, request.stream)
    if framing is not None:
        rows.append(framing)
    return message(b"%b %b HTTP/1.1" % (request.method, request.target), rows, request.body)


def _framing(method: bytes, body: bytes, stream: Body | None) -> tuple[bytes, bytes] | None:
    """Return the header that frames the body; None if the request has no body."""
    if stream is not None:
        if stream.length is None:
            return (b"Transfer-Encoding", b"chunked")
        return (b"Content-Length", b"%d" % stream.length)
    if body or method not in METHODS_WITHOUT_BODY:
        return (b"Content-Length", b"%d" % len(body))
    return None
