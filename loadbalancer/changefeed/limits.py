"""Limits and timing of both sides of the changefeed."""

from __future__ import annotations

from typing import Final

import msgspec

MILLISECOND_NS: Final = 1_000_000
SECOND_NS: Final = 1_000_000_000


class FanoutLimits(msgspec.Struct, frozen=True):
    """Limits of a node's fan-out.

    Attributes:
        snapshot_bytes_s: Rate limit of all snapshots together, in bytes per second.
        snapshot_burst: Burst size of the rate limit, in bytes.
        waiting_most: Length of the snapshot queue at which a new subscription that needs a snapshot
            is rejected, to be retried after `later_least_ms` to `later_most_ms`.
        chunk_bytes: Size at which a patch is split into chunks.
        log_changes: Maximum number of changes in the logs of all scopes together.
        log_bytes: Maximum size of the logs of all scopes together.
        scope_changes: Maximum number of changes in the log of one scope.
        bookmark_ns: Interval of bookmarks to one subscriber.
        bookmark_scopes: Maximum number of digests in a bookmark; successive bookmarks rotate
            through the scopes.
        window_bytes: Maximum number of unacknowledged bytes per subscriber.
        cache_bytes: Maximum size of the cache of encoded patches.
        subscribers_most: Maximum number of subscribers of a node.
    """

    snapshot_bytes_s: int = 8 << 20
    snapshot_burst: int = 1 << 20
    waiting_most: int = 64
    later_least_ms: int = 200
    later_most_ms: int = 8_000
    chunk_bytes: int = 128 << 10
    log_changes: int = 50_000
    log_bytes: int = 32 << 20
    scope_changes: int = 4_096
    bookmark_ns: int = 5 * SECOND_NS
    bookmark_scopes: int = 8
    window_bytes: int = 1 << 20
    cache_bytes: int = 16 << 20
    subscribers_most: int = 4_096


class SubscriptionLimits(msgspec.Struct, frozen=True):
    """Limits and timing of a balancer's subscription.

    Attributes:
        dial_ns: Connect timeout.
        silent_ns: Idle timeout, after which the subscription disconnects and tries the next node;
            several bookmark intervals.
        behind_ns: How long to wait for a node whose revision is behind the cursors.
        backoff_ns: Initial upper bound of the reconnect delay. The bound doubles with each failure,
            up to `backoff_most_ns`; the delay is drawn uniformly below the bound.
        backoff_most_ns: Maximum upper bound of the reconnect delay.
        later_most: Consecutive `RetryLater` answers accepted from a node; one more makes the
            subscription try the next node.
        later_ns: Maximum retry delay accepted from a node.
        ack_ns: Maximum delay of an acknowledgement.
        ack_bytes: Received bytes after which an acknowledgement is sent immediately.
        audit_rows: Rows hashed per audit step. A scope with more rows is audited in several steps,
            started by a bookmark that carries its digest.
        audit_ns: Interval of audit steps.
    """

    dial_ns: int = 5 * SECOND_NS
    silent_ns: int = 16 * SECOND_NS
    behind_ns: int = 3 * SECOND_NS
    backoff_ns: int = 200 * MILLISECOND_NS
    backoff_most_ns: int = 5 * SECOND_NS
    later_most: int = 5
    later_ns: int = 60 * SECOND_NS
    ack_ns: int = 50 * MILLISECOND_NS
    ack_bytes: int = 128 << 10
    audit_rows: int = 512
    audit_ns: int = 20 * MILLISECOND_NS
