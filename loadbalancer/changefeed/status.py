"""How far a node's subscribers have come, in words that add up over the nodes."""

from __future__ import annotations

import msgspec

from loadbalancer.changefeed.messages import Refusal

MOST_REACHED, MOST_LAGGARDS, MOST_REFUSED = 100, 20, 20


class Laggard(msgspec.Struct, frozen=True):
    """`revision`: everything up to it is in force there. `since_ms`: for so long it has not been
    where the node is.
    """

    name: str
    revision: int
    since_ms: int


class Refused(msgspec.Struct, frozen=True):
    name: str
    refusal: Refusal


class FeedStatus(msgspec.Struct, frozen=True):
    """`reached`: revisions and on how many subscribers each is the last in force, the lowest first,
    100 at most: those that are not counted there have come further. A row that was refused counts
    as reached and stands in `refusals`. `parked`: know more than the node; `waiting`: for
    snapshots. The rest are sums since the start; `encoded`: patches made; `resumes`, `snapshots`:
    scopes that went on from the log, or whole; `later`: subscriptions put off.
    """

    epoch: str
    revision: int
    subscribers: int
    reached: tuple[tuple[int, int], ...]
    laggards: tuple[Laggard, ...]
    refusals: int
    refused: tuple[Refused, ...]
    parked: int
    waiting: int
    sent_bytes: int
    sent_words: int
    encoded: int
    resumes: int
    snapshots: int
    later: int
