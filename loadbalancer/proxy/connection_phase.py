"""What a client's connection without an open request is doing, and for how long it may."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """What a connection without an open request is doing."""

    NEW = "its request is not whole yet"
    BODY = "the body of its request goes on coming"
    ANSWER = "a long answer goes out, or waits for its client to read"
    IDLE = "between two requests"
    LINGERING = "its sending has ended; what still comes is dropped until its client ends too"


# How long it may: a request must be whole this long after its client connected, or after its first
# byte on a connection that was used before (whoever is silent or slow is owed an end within 3 s of
# connecting, and may take 2 s over a head), or go on coming, by a QUANTUM in each such time; so
# long a long answer may stand still; a kept connection is closed after so long, and clients open
# another; its client is left so long to read the last answer and to end in its turn (lingering
# close).
LIMIT_S = {
    Phase.NEW: 2.6,
    Phase.BODY: 1.5,
    Phase.ANSWER: 10.0,
    Phase.IDLE: 10.0,
    Phase.LINGERING: 1.0,
}
