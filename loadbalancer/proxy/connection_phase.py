"""The phases of a client's connection without an open request, and how long each may last."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """What a connection without an open request is doing."""

    NEW = "its request is incomplete"
    BODY = "the body of its request is on its way"
    ANSWER = "a long answer goes out, or waits for its client to read"
    IDLE = "between two requests"
    LINGERING = "its sending has ended; what still comes is dropped until its client ends too"


LIMIT_S = {
    # From the connect, or from the first byte on a connection that was used before. A client that
    # is silent or slow is owed an end within 3 s of connecting, and may take 2 s over a head.
    Phase.NEW: 2.6,
    # For each PROGRESS_BYTES of a body.
    Phase.BODY: 1.5,
    # For a long answer that stands still.
    Phase.ANSWER: 10.0,
    # Then it is closed, and its client opens another.
    Phase.IDLE: 10.0,
    # For its client to read the last answer, and to close in its turn.
    Phase.LINGERING: 1.0,
}
