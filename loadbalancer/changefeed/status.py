"""Progress of a node's subscribers, in figures that add up over the nodes."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from loadbalancer.changefeed.limits import MILLISECOND_NS
from loadbalancer.changefeed.messages import Refusal
from loadbalancer.changefeed.subscriber import Subscriber

MAX_REVISIONS: Final = 100
MAX_LAGGARDS: Final = 20
MAX_REFUSED_ROWS: Final = 20


class Laggard(msgspec.Struct, frozen=True):
    """A subscriber that is behind its node.

    Attributes:
        revision: Everything up to it is in force there.
        since_ms: For how long it has been behind.
    """

    name: str
    revision: int
    since_ms: int


class RefusedRow(msgspec.Struct, frozen=True):
    """A row that the subscriber `name` refused."""

    name: str
    refusal: Refusal


class FeedStatus(msgspec.Struct, frozen=True):
    """Status of a node's changefeed.

    Attributes:
        acknowledged: Revisions, and on how many subscribers each is the last in force; the lowest
            first, 100 at most. Subscribers that are not counted there are further. A row that was
            refused counts as in force and stands in `refusals`.
        parked: Subscribers that are ahead of the node.
        waiting: Subscribers that wait for snapshots.
        sent_bytes: Since the start, as all that follow.
        encoded: Patches that were encoded.
        resumes: Scopes that continued from the log.
        snapshots: Scopes that were sent as a snapshot.
        later: Subscriptions that were told to retry later.
    """

    epoch: str
    revision: int
    subscribers: int
    acknowledged: tuple[tuple[int, int], ...] = msgspec.field(name="reached")
    laggards: tuple[Laggard, ...]
    refusals: int
    refused: tuple[RefusedRow, ...]
    parked: int
    waiting: int
    sent_bytes: int
    sent_messages: int = msgspec.field(name="sent_words")
    encoded: int
    resumes: int
    snapshots: int
    later: int


class Progress(NamedTuple):
    """How far subscribers are: `FeedStatus.acknowledged`, and those furthest behind."""

    acknowledged: tuple[tuple[int, int], ...]
    laggards: tuple[Laggard, ...]


def compute_progress(subscribers: Iterable[Subscriber], revision: int, now: int) -> Progress:
    """Return how far subscribers are, against the node's revision. Visits each of them."""
    acknowledged: Counter[int] = Counter()
    lagging: list[tuple[int, int, str]] = []
    for subscriber in subscribers:
        lag = subscriber.lag()
        if lag is None or lag[0] >= revision:
            acknowledged[revision] += 1
        else:
            acknowledged[lag[0]] += 1
            lagging.append((lag[0], lag[1], subscriber.name))
    laggards = tuple(
        Laggard(name, lag_revision, (now - since_ns) // MILLISECOND_NS)
        for lag_revision, since_ns, name in heapq.nsmallest(MAX_LAGGARDS, lagging)
    )
    return Progress(tuple(sorted(acknowledged.items())[:MAX_REVISIONS]), laggards)
