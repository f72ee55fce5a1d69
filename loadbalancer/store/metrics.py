"""A node's figures for a collector of metrics: OpenMetrics text over plain HTTP, on an address of
its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import cast

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

from loadbalancer.store.node import Node

MOST_HEAD = 8 << 10
GAUGES = {
    "term": "the current term",
    "last": "last index of the log",
    "commit": "last committed index",
    "applied": "last applied index",
    "stable": "last index on this disk",
    "log_bytes": "bytes of log in memory",
    "writes_waiting": "proposals in flight",
    "reads_waiting": "reads that wait for a majority",
    "uncommitted_bytes": "bytes proposed and not committed",
    "leaderless_ms": "since when no leader is known",
    "disk_full_s": "since when the disk takes nothing",
}
FEED_GAUGES = {
    "subscribers": "balancers that hear this node",
    "waiting": "in the queue for snapshots",
    "parked": "know more than this node",
    "refusals": "rows that balancers refuse",
}
FEED_COUNTERS = {
    "sent_bytes": "bytes told",
    "snapshots": "scopes sent whole",
    "later": "asked to come later",
    "resumes": "scopes that went on from the log",
    "failures": "times that the feed began anew",
}
COUNTERS = {
    "elections": "times this node stood for election",
    "batches": "batches synced",
    "entries": "entries written",
    "late_turns": "turns of the loop that came late",
}


class Collector:
    def __init__(self, node: Node) -> None:
        self.node = node

    def collect(self) -> Iterable[Metric]:
        status = self.node.status()
        for name, what in GAUGES.items():
            yield GaugeMetricFamily(f"lanelift_store_{name}", what, value=float(status[name]))
        for name, what in COUNTERS.items():
            yield CounterMetricFamily(f"lanelift_store_{name}", what, value=float(status[name]))
        yield GaugeMetricFamily(
            "lanelift_store_leads",
            "1 where this node leads",
            value=float(status["role"] == "leader"),
        )
        sync = GaugeMetricFamily(
            "lanelift_store_sync_seconds", "of the last batches", labels=["quantile"]
        )
        for part in (0.5, 0.99):
            sync.add_metric([str(part)], self.node.figures.quantile(part))
        yield sync
        feed = status["feed"] or {}
        for name, what in FEED_GAUGES.items():
            yield GaugeMetricFamily(f"lanelift_feed_{name}", what, value=float(feed.get(name, 0)))
        for name, what in FEED_COUNTERS.items():
            yield CounterMetricFamily(f"lanelift_feed_{name}", what, value=float(feed.get(name, 0)))
        leases = list(self.node.replica.state.leases.values())
        for name, what, values in (
            (
                "held",
                "1 where somebody holds the lease",
                [float(lease.is_held) for lease in leases],
            ),
            ("token", "the last token granted", [float(lease.token) for lease in leases]),
            ("waiting", "candidates", [float(len(lease.candidates)) for lease in leases]),
        ):
            gauge = GaugeMetricFamily(f"lanelift_lease_{name}", what, labels=["lease"])
            for lease, value in zip(leases, values, strict=True):
                gauge.add_metric([lease.name], value)
            yield gauge
        refused = CounterMetricFamily(
            "lanelift_lease_refused", "writes refused that bore another token", labels=["lease"]
        )
        for lease in leases:
            refused.add_metric([lease.name], float(lease.rejected_writes))
        yield refused
        lag = GaugeMetricFamily(
            "lanelift_store_member_lag", "entries, as the leader knows", labels=["node"]
        )
        for member in status["members"]:
            if member["lag"] is not None:
                lag.add_metric([member["node"]], float(member["lag"]))
        yield lag


class Page(asyncio.Protocol):
    """One request, one answer, whatever was asked."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.head = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.head += data
        if self.transport is None or (b"\r\n\r\n" not in self.head and len(self.head) < MOST_HEAD):
            return
        body: bytes = generate_latest(self.registry)  # type: ignore[no-untyped-call]
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close"
            b"\r\n\r\n" % (CONTENT_TYPE_LATEST.encode(), len(body)) + body
        )
        self.transport.close()


async def serve(node: Node, address: tuple[str, int]) -> asyncio.Server:
    """Raises OSError."""
    registry = CollectorRegistry()
    registry.register(Collector(node))
    return await asyncio.get_running_loop().create_server(lambda: Page(registry), *address)
