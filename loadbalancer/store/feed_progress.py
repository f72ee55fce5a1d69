"""Progress of balancers on the change feed, aggregated over the status of all store members."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

import msgspec

from loadbalancer.changefeed.status import FeedStatus, RefusedRow
from loadbalancer.store.client import Client
from loadbalancer.store.errors import NotInForceError, StoreError

STATUS_TIMEOUT_S: Final = 2.0  # after which a member counts as unreachable
POLL_INTERVAL_S: Final = 0.05
MAX_NAMED: Final = 5  # balancers or nodes that a message lists by name

# A `NodeStatus`, or just `address` and `trouble` for a member that did not reply.
MemberReport = Mapping[str, Any]


class MemberStatusReader:
    """Reads the status of every member, including members that only other members list.

    Args:
        addresses: Addresses of members, HOST:PORT.
        make_client: Creates a client for one address.
    """

    def __init__(self, addresses: Iterable[str], make_client: Callable[[str], Client]) -> None:
        self._make_client = make_client
        self.clients = {address: make_client(address) for address in addresses}

    async def statuses(self, timeout_s: float = STATUS_TIMEOUT_S) -> list[MemberReport]:
        """Return the report of every member."""
        configured = list(self.clients)
        reports = await self._read_all(configured, timeout_s)
        listed = {address for report in reports for address in member_addresses(report)}
        return [*reports, *await self._read_all(sorted(listed - set(configured)), timeout_s)]

    async def _read_all(self, addresses: Sequence[str], timeout_s: float) -> list[MemberReport]:
        reads = (self.status(address, timeout_s) for address in addresses)
        return await asyncio.gather(*reads)

    async def status(self, address: str, timeout_s: float = STATUS_TIMEOUT_S) -> MemberReport:
        """Return the report of one member."""
        if address not in self.clients:
            self.clients[address] = self._make_client(address)
        try:
            return dict(await self.clients[address].status(timeout_s))
        except (StoreError, OSError) as error:
            return {"address": address, "trouble": str(error)}

    async def close(self) -> None:
        """Close all clients."""
        for client in self.clients.values():
            await client.close()


def member_addresses(report: MemberReport) -> set[str]:
    """Return the addresses of the members that a report lists."""
    return {member["address"] for member in report.get("members", ()) if member["address"]}


class LaggingBalancer(msgspec.Struct, frozen=True):
    """A balancer on which a revision is not in force.

    Attributes:
        name: The balancer's name.
        node: The address of its node.
        revision: The last revision that is in force on the balancer.
        since_ms: How long the balancer has been behind its node.
    """

    name: str
    node: str
    revision: int
    since_ms: int


class Rollout(
    msgspec.Struct,
    frozen=True,
    rename={
        "in_force": "reached",
        "lagging": "late",
        "rejected_count": "refusals",
        "rejected": "refused",
        "lagging_nodes": "trailing",
        "unreachable": "silent",
    },
):
    """The progress of a revision on all balancers.

    Attributes:
        revision: The revision.
        balancers: The number of connected balancers.
        in_force: The number of balancers on which the revision is in force, except for rejected
            rows.
        lagging: The balancers that are furthest behind, among those that nodes report.
        rejected_count: The number of rows that balancers rejected.
        rejected: Some of the rejected rows.
        lagging_nodes: Nodes that have not applied the revision themselves.
        unreachable: Members that do not reply, so that their balancers are unknown.
    """

    revision: int
    balancers: int
    in_force: int
    lagging: tuple[LaggingBalancer, ...]
    rejected_count: int
    rejected: tuple[RefusedRow, ...]
    lagging_nodes: tuple[str, ...]
    unreachable: tuple[str, ...]

    def incomplete_reason(
        self, required_balancers: int = 0, ignore_rejected: bool = False
    ) -> str | None:
        """Return why the revision is not in force everywhere, in one line; None if it is.

        Args:
            required_balancers: The number of balancers on which the revision must be in force;
                unreachable members are then ignored. 0 requires all connected balancers and a reply
                from every member.
            ignore_rejected: Whether to ignore rejected rows.
        """
        reasons = [
            self._lagging_reason(),
            self._count_reason(required_balancers),
            None if ignore_rejected else self._rejected_reason(),
        ]
        present_reasons = [reason for reason in reasons if reason]
        if not present_reasons:
            return None
        return f"revision {self.revision} is not in force " + "; ".join(present_reasons)

    def _lagging_reason(self) -> str | None:
        missing = self.balancers - self.in_force
        if missing <= 0:
            return None
        names = [
            f"{laggard.name} at {laggard.node} is at {laggard.revision},"
            f" {laggard.since_ms / 1000:.1f} s behind"
            for laggard in self.lagging[:MAX_NAMED]
        ]
        names += self.lagging_nodes[:MAX_NAMED]
        suffix = ": " + ", ".join(names) if names else ""
        return f"on {missing} of {self.balancers} balancers{suffix}"

    def _count_reason(self, required_balancers: int) -> str | None:
        if required_balancers and self.in_force < required_balancers:
            return f"on {self.in_force}, and {required_balancers} are wanted"
        if not required_balancers and self.unreachable:
            return "as far as can be told: " + "; ".join(self.unreachable)
        return None

    def _rejected_reason(self) -> str | None:
        if not self.rejected_count:
            return None
        first = self.rejected[0]
        refusal = first.refusal
        return (
            f"where {self.rejected_count} rows are refused: {first.name} has {refusal.scope}"
            f" {refusal.key} at version {refusal.version}: {refusal.reason}"
        )


@dataclass(slots=True)
class _Totals:
    """Sums over the change feeds of all nodes."""

    revision: int
    balancers: int = 0
    in_force: int = 0
    rejected_count: int = 0
    lagging: list[LaggingBalancer] = field(default_factory=list)
    rejected: list[RefusedRow] = field(default_factory=list)
    lagging_nodes: list[str] = field(default_factory=list)

    def add(self, number: str, address: str, feed: FeedStatus) -> None:
        """Add the feed of one node."""
        self.balancers += feed.subscribers
        self.in_force += feed.subscribers - _count_lagging(feed, self.revision)
        self.lagging += [
            LaggingBalancer(laggard.name, address, laggard.revision, laggard.since_ms)
            for laggard in feed.laggards
            if laggard.revision < self.revision
        ]
        self.rejected_count += feed.refusals
        self.rejected += feed.refused
        if feed.revision < self.revision and feed.subscribers:
            self.lagging_nodes.append(f"node {number} at {address} is itself at {feed.revision}")


def aggregate_reports(reports: Sequence[MemberReport], revision: int | None = None) -> Rollout:
    """Return the progress of a revision; `None` selects the newest that a member has applied."""
    # A node with several addresses has several reports.
    by_node = {report["node"]: report for report in reports if "trouble" not in report}
    if revision is None:
        revision = max((report["applied"] for report in by_node.values()), default=0)
    totals = _Totals(revision)
    for number, report in by_node.items():
        if report.get("feed") is None:
            continue
        own_addresses = (member["address"] for member in report["members"] if member["here"])
        address = next(own_addresses, "") or f"node {number}"
        totals.add(number, address, msgspec.convert(report["feed"], FeedStatus))
    return Rollout(
        revision,
        totals.balancers,
        totals.in_force,
        tuple(sorted(totals.lagging, key=lambda laggard: laggard.revision)),
        totals.rejected_count,
        tuple(totals.rejected),
        tuple(totals.lagging_nodes),
        tuple(_unreachable(reports, by_node)),
    )


def _unreachable(reports: Sequence[MemberReport], by_node: Mapping[str, MemberReport]) -> list[str]:
    reasons = {report["address"]: report["trouble"] for report in reports if "trouble" in report}
    if not by_node:
        return [f"{address} does not answer: {reason}" for address, reason in reasons.items()]
    members = {
        member["node"]: member["address"]
        for report in by_node.values()
        for member in report["members"]
    }
    return [
        f"node {number} at {address} does not answer: {reasons.get(address, 'it was not asked')}"
        for number, address in sorted(members.items())
        if number not in by_node
    ]


def _count_lagging(feed: FeedStatus, revision: int) -> int:
    """Return how many subscribers have not reached a revision.

    A status lists the lowest acknowledged revisions, up to a limit. Subscribers that are not listed
    have acknowledged a later revision than the last listed one. They count as behind unless the
    last listed revision is the given one or a later one.
    """
    behind = sum(count for reached, count in feed.acknowledged if reached < revision)
    unlisted = feed.subscribers - sum(count for _, count in feed.acknowledged)
    if unlisted and feed.acknowledged and feed.acknowledged[-1][0] < revision:
        behind += unlisted
    return behind


@dataclass(frozen=True, slots=True)
class RolloutGoal:
    """The condition that `wait` waits for.

    Attributes:
        revision: The revision.
        timeout_s: The timeout.
        required_balancers: The number of balancers on which the revision must be in force; 0 for
            all connected balancers.
        ignore_rejected: Whether to ignore rejected rows.
    """

    revision: int
    timeout_s: float
    required_balancers: int = 0
    ignore_rejected: bool = False


class CompletedRollout(NamedTuple):
    """A rollout that reached its goal, and the time this took."""

    rollout: Rollout
    elapsed_s: float


class _Poller:
    """Polls each member in a separate task, so that an unresponsive member delays no other."""

    def __init__(self, members: MemberStatusReader) -> None:
        self._members = members
        self._latest: dict[str, MemberReport] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reported = asyncio.Event()

    def start(self) -> None:
        """Start polling the configured members."""
        for address in self._members.clients:
            self._start_task(address)

    def _start_task(self, address: str) -> None:
        self._tasks[address] = asyncio.create_task(self._poll(address))

    async def _poll(self, address: str) -> None:
        while True:
            report = await self._members.status(address)
            self._latest[address] = report
            for other in member_addresses(report):
                if other not in self._tasks:
                    self._start_task(other)
            self._reported.set()
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def is_complete(self) -> bool:
        """Whether every member reported at least once."""
        return self._latest.keys() == self._tasks.keys()

    @property
    def reports(self) -> list[MemberReport]:
        """The latest report of each member."""
        return list(self._latest.values())

    async def wait(self, timeout_s: float | None) -> None:
        """Wait for the next report."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._reported.wait()
        self._reported.clear()

    async def close(self) -> None:
        """Stop all polling tasks."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)


async def wait(members: MemberStatusReader, goal: RolloutGoal) -> CompletedRollout:
    """Wait until a revision is in force.

    Raises:
        NotInForceError: The revision was not in force before the timeout.
    """
    start_s = time.monotonic()
    reason: str | None = ""
    poller = _Poller(members)
    poller.start()
    try:
        while True:
            remaining_s = start_s + goal.timeout_s - time.monotonic()
            if remaining_s <= 0 and poller.is_complete:
                raise NotInForceError(f"{reason} (after {goal.timeout_s:g} s)")
            # Wait for one report of every member even after the timeout.
            await poller.wait(remaining_s if remaining_s > 0 else None)
            if not poller.is_complete:
                continue
            rollout = aggregate_reports(poller.reports, goal.revision or None)
            reason = rollout.incomplete_reason(goal.required_balancers, goal.ignore_rejected)
            if reason is None:
                return CompletedRollout(rollout, time.monotonic() - start_s)
    finally:
        await poller.close()
