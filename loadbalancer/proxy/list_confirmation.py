"""Decides by when discovery has to confirm the endpoint list that a process begins with.

A process begins with the list of its configuration, which may lack changes that this balancer was
notified of: by the process that it replaces, or by discovery while no process ran. What the
balancer was notified of binds all its processes. So that list may be used without an answer of
discovery only until such a change may be in force:

    asked for, replaces a process   `REPLACEMENT_DEADLINE_S` after it accepts clients
    asked for, no other process     no limit here: the settings' expiry of lists covers it
    pushed                          from its start

While the other process runs and shares the list that discovery keeps up to date there, no change
is missing. Once it has ended in order, later changes are in force `CHANGE_DEADLINE_S` after its
end, or at once if lists are pushed. This module is a state machine without I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from typing import Final

from loadbalancer.proxy.discovery_watch import CHANGE_DEADLINE_S
from loadbalancer.proxy.shared_list import SharedList

REPLACEMENT_DEADLINE_S: Final = 2.0


class Confirmation(Enum):
    """Whether the list that a process begins with needs an answer of discovery."""

    NOT_NEEDED = "the list is confirmed, or there is no limit on its use"
    AWAITED = "discovery has not answered, and another process has shared no list"
    HANDED_OVER = "discovery has not answered, but another process has shared its list"


class ListConfirmation:
    """The confirmation of one process's list.

    Attributes:
        state: Whether it is needed.
    """

    def __init__(self) -> None:
        self.state = Confirmation.NOT_NEEDED
        self._is_pushed = False
        self._in_force_s = math.inf  # when a missing change may be in force, if nobody shares it
        self._covered_until_s = -math.inf  # until when no change in force is missing
        self._shared_deadline_s: float | None = None  # the earliest of the shared lists
        self._is_refused = False

    def begin(self, now_s: float, is_pushed: bool, is_replacement: bool) -> None:
        """Handle the start of the process with a list that may be old.

        Args:
            now_s: The time in monotonic seconds.
            is_pushed: Whether discovery pushes lists.
            is_replacement: Whether another process of this balancer runs.
        """
        if is_pushed or is_replacement:
            self.state = Confirmation.AWAITED
        self._is_pushed = is_pushed
        self._in_force_s = now_s if is_pushed else math.inf

    def on_accepting(self, now_s: float) -> None:
        """Handle that the process accepts clients from now on."""
        if not self._is_pushed:
            self._in_force_s = now_s + REPLACEMENT_DEADLINE_S

    def on_shared_lists(self, lists: Iterable[SharedList], now_s: float) -> None:
        """Handle the current lists of the other processes at the same discovery.

        Args:
            lists: Those of processes that run, and the last ones of processes that have ended.
            now_s: The time in monotonic seconds.
        """
        if not self.is_needed:
            return
        shared_lists = list(lists)
        if shared_lists:
            self.state = Confirmation.HANDED_OVER
            self._covered_until_s = max(self._covers_until_s(s) for s in shared_lists)
            deadlines_s = [s.deadline_s for s in shared_lists if s.deadline_s is not None]
            self._shared_deadline_s = min(deadlines_s, default=None)
        elif self._covered_until_s > now_s:
            self._covered_until_s = now_s  # the process was killed

    def _covers_until_s(self, shared: SharedList) -> float:
        """Return until when a process that uses this list misses no change in force."""
        if not shared.is_answered:
            return -math.inf
        until_s = math.inf if shared.deadline_s is None else shared.deadline_s
        if shared.ended_s is None:
            return until_s
        term_s = 0.0 if self._is_pushed else CHANGE_DEADLINE_S
        return min(until_s, shared.ended_s + term_s)

    def on_answer(self) -> None:
        """Handle an answer of discovery, which has all changes."""
        self.state = Confirmation.NOT_NEEDED

    def on_refusal(self) -> None:
        """Handle that discovery rejects polls or can't be reached: it notifies nobody then.

        What another process was notified of may be missing, if that process shares nothing, and
        so may what a silent watch of that process hides.
        """
        self._is_refused = self._is_pushed or self.state is Confirmation.HANDED_OVER

    @property
    def is_needed(self) -> bool:
        """Whether discovery has to confirm the list."""
        return self.state is not Confirmation.NOT_NEEDED

    @property
    def deadline_s(self) -> float | None:
        """When a missing change may be in force, in monotonic seconds; None: there can't be one."""
        deadline_s = max(self._in_force_s, self._covered_until_s)
        if self._is_refused:
            hidden_s = self._shared_deadline_s
            deadline_s = math.inf if hidden_s is None else max(self._in_force_s, hidden_s)
        return None if not self.is_needed or math.isinf(deadline_s) else deadline_s
