"""One attempt of a request on its way out: it is asked for its bytes when its connection is up, and
looks at the rules, the clock and its client then.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.policy import api, rules
from loadbalancer.policy.rules import Denied
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.parse import Headers, message
from loadbalancer.proxy.policy_violations import Denials
from loadbalancer.proxy.requests import OpenRequest

DEADLINE = b"X-Deadline-Ms"


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """Attempt `number` of a request. `until_ns`: when it is given up, where its request is whole;
    `begin_by_ns`: it may not begin later, 0: at any time."""

    request: OpenRequest
    number: int
    limits: api.Limits
    denials: Denials
    client_gone: Callable[[OpenRequest], None]  # told when its client is seen to have left
    timeout_ns: int
    until_ns: int
    begin_by_ns: int
    told_ms: int = 0

    def verdict(self, now_ns: int) -> rules.Verdict:
        """May it begin now, as far as its request tells?"""
        request = self.request
        stream = request.stream
        asked = rules.Attempt(
            now_ns,
            request.arrival.deadline_ns,
            self.number,
            request.out_beside(self.number),
            request_finished=request.over,
            client_gone=not request.over and request.client.gone,
            body_available=stream is None or stream.whole_again,
            start_by_ns=self.begin_by_ns,
        )
        return rules.may_attempt(
            asked, self.limits, rules.max_in_flight(self.limits, stream is not None)
        )

    def begin(self, usable: rules.Verdict) -> bytes | Denied:
        """Its head, and its body where that is at hand, with the time that is left now."""
        now_ns = time.monotonic_ns()
        verdict = self.verdict(now_ns)
        if not isinstance(verdict, Denied):
            verdict = usable
        if isinstance(verdict, Denied):
            self.denied(verdict, "its connection is up")
            return verdict
        request = self.request
        if request.arrival.body_complete:
            self.told_ms = rules.remaining_ms(now_ns, request.arrival.deadline_ns, self.until_ns)
        else:
            # Its client's time runs from the last byte, which is still to come.
            self.told_ms = rules.remaining_ms(0, request.wait_ns, self.timeout_ns)
        if request.stream is not None:
            request.stream.rewind()
        return attempt_request(
            request.method,
            request.target,
            request.headers,
            request.body,
            self.told_ms,
            request.stream,
        )

    def may_finish(self) -> bool:
        """May the last byte of its body be written, by what its head told?"""
        request = self.request
        now_ns = time.monotonic_ns()
        from_ns = request.arrival.received_ns if request.arrival.body_complete else now_ns
        verdict = rules.may_complete_body(self.told_ms, now_ns, from_ns + request.wait_ns)
        if isinstance(verdict, Denied):
            self.denied(verdict, "the last byte of its body is due")
        return not isinstance(verdict, Denied)

    def denied(self, denied: Denied, state: str) -> None:
        """Count it, and end a request whose client is seen to have left."""
        self.denials.note(denied, self.request.arrival.request, f"attempt {self.number}, {state}")
        if denied.reason is rules.Reason.CLIENT_GONE:
            self.client_gone(self.request)


def attempt_request(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    wait_ms: int,
    stream: Body | None = None,
) -> bytes:
    """The client's request as it goes on: with its own length, and how long this balancer will
    wait.
    """
    rows = [*headers, (DEADLINE, b"%d" % wait_ms)]
    if stream is not None:
        rows.append(
            (b"Transfer-Encoding", b"chunked")
            if stream.length is None
            else (b"Content-Length", b"%d" % stream.length)
        )
    elif body or method not in (b"GET", b"HEAD"):
        rows.append((b"Content-Length", b"%d" % len(body)))
    return message(b"%b %b HTTP/1.1" % (method, target), rows, body)
