"""A node's metrics: OpenMetrics text over plain HTTP on a separate address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, cast

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

from loadbalancer.leases.table import Lease
from loadbalancer.store.node import Node
from loadbalancer.store.status import NodeStatus

MAX_HEAD_BYTES: Final = 8 << 10
QUANTILES: Final = (0.5, 0.99)
GAUGES: Final = {
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
COUNTERS: Final = {
    "elections": "times this node stood for election",
    "batches": "batches synced",
    "entries": "entries written",
    "late_turns": "turns of the loop that came late",
}
FEED_GAUGES: Final = {
    "subscribers": "balancers that hear this node",
    "waiting": "in the queue for snapshots",
    "parked": "know more than this node",
    "refusals": "rows that balancers refuse",
}
FEED_COUNTERS: Final = {
    "sent_bytes": "bytes told",
    "snapshots": "scopes sent whole",
    "later": "asked to come later",
    "resumes": "scopes that went on from the log",
    "failures": "times that the feed began anew",
}


class Collector:
    """Collects a node's metrics for a Prometheus registry."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families."""
        status = self.node.status()
        fields = cast(Mapping[str, Any], status)
        yield from _families(GaugeMetricFamily, "lanelift_store", GAUGES, fields)
        yield from _families(CounterMetricFamily, "lanelift_store", COUNTERS, fields)
        yield GaugeMetricFamily(
            "lanelift_store_leads",
            "1 where this node leads",
            value=float(status["role"] == "leader"),
        )
        yield self._sync_times()
        feed = status["feed"] or {}
        yield from _families(GaugeMetricFamily, "lanelift_feed", FEED_GAUGES, feed)
        yield from _families(CounterMetricFamily, "lanelift_feed", FEED_COUNTERS, feed)
        yield from _lease_metrics(list(self.node.replica.state.leases.values()))
        yield _member_lag(status)

    def _sync_times(self) -> Metric:
        gauge = GaugeMetricFamily(
            "lanelift_store_sync_seconds", "of the last batches", labels=["quantile"]
        )
        statistics = self.node.runtime.statistics
        for quantile in QUANTILES:
            gauge.add_metric([str(quantile)], statistics.sync_quantile_s(quantile))
        return gauge


def _families(
    family: type[GaugeMetricFamily] | type[CounterMetricFamily],
    prefix: str,
    descriptions: Mapping[str, str],
    fields: Mapping[str, Any],
) -> Iterable[Metric]:
    for name, description in descriptions.items():
        yield family(f"{prefix}_{name}", description, value=float(fields.get(name, 0)))


def _lease_metrics(leases: list[Lease]) -> Iterable[Metric]:
    yield _lease_gauge(
        "held", "1 where somebody holds the lease", leases, lambda lease: lease.is_held
    )
    yield _lease_gauge("token", "the last token granted", leases, lambda lease: lease.token)
    yield _lease_gauge("waiting", "candidates", leases, lambda lease: len(lease.candidates))
    rejected = CounterMetricFamily(
        "lanelift_lease_refused", "writes refused that bore another token", labels=["lease"]
    )
    for lease in leases:
        rejected.add_metric([lease.name], float(lease.rejected_writes))
    yield rejected


def _lease_gauge(
    name: str, description: str, leases: list[Lease], value: Callable[[Lease], int]
) -> Metric:
    gauge = GaugeMetricFamily(f"lanelift_lease_{name}", description, labels=["lease"])
    for lease in leases:
        gauge.add_metric([lease.name], float(value(lease)))
    return gauge


def _member_lag(status: NodeStatus) -> Metric:
    gauge = GaugeMetricFamily(
        "lanelift_store_member_lag", "entries, as the leader knows", labels=["node"]
    )
    for member in status["members"]:
        if member["lag"] is not None:
            gauge.add_metric([member["node"]], float(member["lag"]))
    return gauge


class MetricsConnection(asyncio.Protocol):
    """Replies to one request with the metrics, regardless of its path."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._head = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Reply once the request's head is complete or exceeds the size limit."""
        self._head += data
        is_complete = b"\r\n\r\n" in self._head or len(self._head) >= MAX_HEAD_BYTES
        if self._transport is None or not is_complete:
            return
        body: bytes = generate_latest(self._registry)  # type: ignore[no-untyped-call]
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close"
            b"\r\n\r\n" % (CONTENT_TYPE_LATEST.encode(), len(body)) + body
        )
        self._transport.close()


async def serve(node: Node, address: tuple[str, int]) -> asyncio.Server:
    """Serve a node's metrics.

    Raises:
        OSError: The address can't be used.
    """
    registry = CollectorRegistry()
    registry.register(Collector(node))
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: MetricsConnection(registry), *address)
