"""The phases of a client's connection without an open request, and how long each may last."""

from __future__ import annotations

from enum import Enum

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.message_end import UPLOAD_PAUSE_NS
from loadbalancer.proxy.send_progress import CHECK_INTERVAL_S

PROGRESS_BYTES = 16 * 1024  # bytes of a body that count as progress


class Phase(Enum):
    """State of a client's connection that has no open request."""

    NEW = "its request is incomplete"
    BODY = "the body of its request is on its way"
    ANSWER = "a long answer goes out, or the rest of any answer waits for its client to read"
    IDLE = "between two requests"
    LINGERING = "its sending has ended; what still comes is dropped until its client ends too"


# The phases in which an answer may still be on its way out.
SENDING_PHASES = frozenset({Phase.ANSWER, Phase.IDLE, Phase.LINGERING})
LIMIT_S = {
    # Counts from the connect, or from the request's first byte on a reused connection. The
    # connection of a silent or slow client must be closed within 3 s of the connect, and a client
    # may take 2 s to send a head.
    Phase.NEW: 2.6,
    # Time for each PROGRESS_BYTES of a body.
    Phase.BODY: UPLOAD_PAUSE_NS / NS_PER_S,
    # Interval between two checks whether the client still takes a long answer.
    Phase.ANSWER: CHECK_INTERVAL_S,
    # An idle connection is closed after this time; the client can open another.
    Phase.IDLE: 10.0,
    # Time for the client to read the last response and to close its side.
    Phase.LINGERING: 1.0,
}
