"""Log lines and counts of messages that ended in transit, before their end was seen."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Final

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.proxy.bounded_log import BoundedLog

log = logging.getLogger(__name__)

METRIC: Final = "loadbalancer_messages_cut_total"
UNKNOWN: Final = "-"


class Direction(Enum):
    """Which way a message goes."""

    REQUEST = "request"
    RESPONSE = "response"


class Cause(Enum):
    """What ended a message, where no clock did."""

    UPSTREAM_CLOSED = "upstream closed"
    UPSTREAM_STALLED = "upstream does not read"
    MALFORMED = "malformed"
    CLIENT_GONE = "client gone"
    CLIENT_PAUSE = "pause of the client"
    NOT_ALLOWED = "last byte denied"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """A message that had begun and ended before its end was seen.

    Attributes:
        request: The request's id.
        upstream: The operators' id of the upstream.
        state: The state of the message.
        cause: The clock that ended it, or the `Cause`.
        received_bytes: Bytes of its body that were received.
        sent_bytes: Bytes of its body that were passed on.
        piece_age_ns: Time since the latest piece was received.
    """

    request: str
    upstream: str
    direction: Direction
    state: str
    cause: str
    received_bytes: int
    sent_bytes: int
    piece_age_ns: int


class MessageEndLog:
    """Writes a bounded line for each message that ended in transit, and counts them.

    Attributes:
        counts: Number of messages by direction, state and cause.
    """

    def __init__(self) -> None:
        self.lines = BoundedLog(log)
        self.counts: Counter[tuple[str, str, str]] = Counter()

    def record(self, end: MessageEnd) -> None:
        """Log and count a message that ended."""
        self.counts[end.direction.value, end.state, end.cause] += 1
        self.lines.write(
            f"message end, {end.cause}",
            "message cut: direction=%s request=%s upstream=%s state=%r cause=%r received=%d"
            " sent=%d piece_age_s=%.3f",
            end.direction.value,
            end.request,
            end.upstream,
            end.state,
            end.cause,
            end.received_bytes,
            end.sent_bytes,
            end.piece_age_ns / NS_PER_S,
        )

    def metrics_text(self) -> str:
        """Return the counts in the Prometheus text format."""
        self.lines.flush()
        rows = [
            f"# HELP {METRIC} Messages that ended before their end was seen.",
            f"# TYPE {METRIC} counter",
        ]
        for (direction, state, cause), count in sorted(self.counts.items()):
            labels = f'direction="{direction}",state="{state}",cause="{cause}"'
            rows.append(f"{METRIC}{{{labels}}} {count}")
        return "\n".join(rows)
