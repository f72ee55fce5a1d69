"""By when a change of the endpoint list is in force at a balancer, whichever process was notified.

A change is in force once discovery has written it on any call of the balancer, or at a time that
follows from silence. While a process replaces another, it is not in force before
`REPLACEMENT_TERM_NS` after the readiness of the new one.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from loadbalancer.testbed.soak.history import Call, Change, History, Process
from loadbalancer.testbed.soak.plan import MS, SECOND

TERM_NS: Final = 6 * SECOND
HOLD_TERM_NS: Final = 2 * SECOND
REPLACEMENT_TERM_NS: Final = 2 * SECOND


class NotificationTimes:
    """The times that follow from one history."""

    def __init__(self, history: History) -> None:
        self.outages = history.outages
        self.calls: dict[int, list[Call]] = defaultdict(list)
        self.processes: dict[int, list[Process]] = defaultdict(list)
        for call in history.calls:
            self.calls[call.balancer].append(call)
        for process in history.processes:
            self.processes[process.balancer].append(process)

    def running(self, balancer: int, at_ns: int) -> list[Process]:
        """Return the processes of a balancer that run at a time."""
        return [
            process
            for process in self.processes[balancer]
            if process.started_ns < at_ns < (process.ended_ns or 1 << 62)
        ]

    def in_force_ns(self, balancer: int, change: Change, at_ns: int) -> int:
        """Return by when a change is in force for what a balancer sends at a time."""
        in_force_ns = self._notified_ns(balancer, change)
        for process in self.processes[balancer]:
            if process.ready_ns and process.started_ns < at_ns and self._is_replacement(process):
                in_force_ns = max(in_force_ns, process.ready_ns + REPLACEMENT_TERM_NS)
        return in_force_ns

    def _is_replacement(self, process: Process) -> bool:
        """Whether another process of the balancer ran when this one started."""
        return bool(self.running(process.balancer, process.started_ns))

    def _notified_ns(self, balancer: int, change: Change) -> int:
        calls = self.calls[balancer]
        told = [
            c.answered_ns for c in calls if c.answered_ns and c.told >= change.version > c.known
        ]
        told += [
            silence_due_ns(c)
            for c in calls
            if c.silent_ns
            and c.known < change.version
            and c.silent_ns <= change.made_ns <= hidden_until_ns(c, calls)
        ]
        first_start_ns = min((p.started_ns for p in self.processes[balancer]), default=0)
        reached_ns = max(change.made_ns, first_start_ns)
        for begun_ns, ended_ns in self.outages:
            if begun_ns <= reached_ns + TERM_NS and ended_ns > reached_ns:
                reached_ns = ended_ns
        return min([*told, reached_ns + TERM_NS])


def silence_due_ns(call: Call) -> int:
    """By when what a silent watch hid counts as told."""
    return max(call.silent_ns + TERM_NS, call.begun_ns + call.hold_ms * MS + HOLD_TERM_NS)


def hidden_until_ns(call: Call, calls: list[Call]) -> int:
    """Until when a silent watch hides what changes: it ends at the latest when it is reset."""
    return min(silence_due_ns(call), recovered_ns(call, calls), call.reset_ns or 1 << 62)


def recovered_ns(silent: Call, calls: list[Call]) -> int:
    """When a later call was answered: what came after that it did not hide."""
    return min((c.answered_ns for c in calls if c.answered_ns > silent.silent_ns), default=1 << 62)
