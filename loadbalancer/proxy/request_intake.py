"""Converts the requests of one client connection to open requests with deadlines."""

from __future__ import annotations

from loadbalancer.policy import api
from loadbalancer.policy.rules import Denied
from loadbalancer.proxy.connection_host import ConnectionHost
from loadbalancer.proxy.http import end_to_end
from loadbalancer.proxy.messages import Request, UnacceptableMessageError
from loadbalancer.proxy.request_head import read_terms
from loadbalancer.proxy.requests import Client, OpenRequest

ANSWER_MARGIN_NS = (
    3_000_000  # subtracted from each deadline for the answer's transfer to the client
)
UPLOAD_DEADLINE_NS = (
    600_000_000_000  # exceeds the time of the longest body at the lowest allowed rate
)
REPLACED_HEADERS = frozenset({b"x-deadline-ms"})


class RequestIntake:
    """Reads the parameters of requests, and builds open requests.

    Attributes:
        timeout_ns: How long the client waits for the latest request's answer, counted from the end
            of its body.
    """

    def __init__(self, host: ConnectionHost) -> None:
        self.host = host
        self.timeout_ns = 0

    def open_request(self, head: Request, client: Client, received_ns: int) -> OpenRequest:
        """Build an open request.

        Args:
            head: The request, complete except for a streamed body.
            client: Receives the answer.
            received_ns: When the last byte of the request arrived.

        Raises:
            UnacceptableMessageError: The request can't be accepted.
        """
        arrival = self._arrival(head, received_ns)
        headers = [row for row in end_to_end(head.headers) if row[0] not in REPLACED_HEADERS]
        return OpenRequest(
            arrival,
            head.method,
            head.target,
            headers,
            head.body,
            client,
            max(0, self.timeout_ns - ANSWER_MARGIN_NS),
            head.stream,
        )

    def deadline_ns(self, received_ns: int) -> int:
        """Return when the answer is due, so that it arrives in time and before shutdown."""
        deadline_ns = received_ns + max(0, self.timeout_ns - ANSWER_MARGIN_NS)
        if self.host.draining:
            deadline_ns = min(deadline_ns, self.host.answer_deadline_ns)
        return deadline_ns

    def _arrival(self, head: Request, received_ns: int) -> api.RequestArrived:
        driver = self.host.driver
        terms = read_terms(head, driver.settings, driver.requests)
        verdict = driver.arrival_verdict(terms.request_id, terms.class_name)
        if isinstance(verdict, Denied):
            raise UnacceptableMessageError(409, f"this X-Request-Id: {verdict.reason.value}")
        self.timeout_ns = terms.timeout_ns
        deadline_ns = self.deadline_ns(received_ns)
        if head.stream is not None:
            deadline_ns = received_ns + UPLOAD_DEADLINE_NS  # replaced once the body is complete
        return api.RequestArrived(
            terms.request_id,
            terms.class_name,
            terms.tenant,
            deadline_ns,
            terms.cost_hint_ns,
            terms.key,
            terms.retry,
            received_ns,
            head.stream is None,
        )
