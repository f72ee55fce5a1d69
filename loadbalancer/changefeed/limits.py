"""Limits and timing of both sides of the changefeed."""

from __future__ import annotations

from typing import Final

import msgspec

MILLISECOND_NS: Final = 1_000_000
SECOND_NS: Final = 1_000_000_000


class FanoutLimits(msgspec.Struct, frozen=True):
    """Limits of a node's fan-out.

    Attributes:
        snapshot_bytes_s: Rate of all snapshots together.
        snapshot_burst: Bytes of snapshots that may be sent at once.
        waiting_most: Subscribers queued for snapshots, beyond which a newcomer that needs one is
            told to retry after `later_least_ms` to `later_most_ms`.
        chunk_bytes: Size at which a patch is split into chunks.
        log_changes: Changes in the logs of all scopes together.
        log_bytes: Bytes in the logs of all scopes together.
        scope_changes: Changes in the log of one scope.
        bookmark_ns: Interval of bookmarks to one subscriber.
        bookmark_scopes: Digests in one bookmark; the scopes rotate.
        window_bytes: Bytes sent to one subscriber and not acknowledged.
        cache_bytes: Bytes of encoded patches that are cached.
        subscribers_most: Subscribers of one node.
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
        silent_ns: Idle timeout: a node that sends nothing for so long is left. Several bookmarks.
        behind_ns: How long to wait for a node that is behind the cursors.
        backoff_ns: First upper bound of the reconnect delay; it doubles up to `backoff_most_ns`,
            and the delay is drawn uniformly below it.
        backoff_most_ns: Last upper bound of the reconnect delay.
        later_most: How often in a row one node may answer "retry later".
        later_ns: Longest delay that a node may ask for.
        ack_ns: Longest delay of an acknowledgement.
        ack_bytes: Received bytes that are acknowledged at once.
        audit_rows: Rows hashed in one step. A larger scope is audited in steps of so many, begun
            by a bookmark that carries its digest.
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
