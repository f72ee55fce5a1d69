"""Progress of a node's subscribers, as counts that can be summed over all nodes."""

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
        revision: Revision up to which everything is in force at the subscriber.
        since_ms: How long it has been behind, in milliseconds.
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
        acknowledged: Pairs of a revision and the number of subscribers on which it is the last one
            in force: the 100 lowest revisions, in ascending order. Subscribers not counted here are
            at higher revisions. A refused row counts as in force; `refusals` counts it too.
        parked: Subscribers that are ahead of the node.
        waiting: Subscribers that wait for snapshots.
        sent_bytes: Bytes sent since the start; the counts below are also since the start.
        encoded: Patches that were encoded.
        resumes: Scopes that resumed from the log.
        snapshots: Scopes that were sent as a snapshot.
        later: Subscriptions that were rejected with `RetryLater`.
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
    """Progress of subscribers: `FeedStatus.acknowledged`, and the subscribers furthest behind."""

    acknowledged: tuple[tuple[int, int], ...]
    laggards: tuple[Laggard, ...]


def compute_progress(subscribers: Iterable[Subscriber], revision: int, now: int) -> Progress:
    """Return the progress of subscribers relative to the node's revision.

    The cost is linear in the number of subscribers.
    """
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
