"""Schedules the polls of discovery: the next poll, its timeout, and the reaction to its outcome.

This module is a state machine without I/O. Its inputs are the clock and the outcome of each poll;
its output is the next poll and the pause before it. `Discovery` executes the polls. The arithmetic
is in `docs/design/discovery.md`, and `tests/proxy/test_discovery_watch.py` checks it.

A poll's hold is the time for which discovery may delay its answer until there are changes. A watch
falls silent if such a poll times out; discovery may then have changes that the balancer lacks.

    deadline                        a change that a silent watch hides is in force
                                    `CHANGE_DEADLINE_S` after the silence began, or
                                    `HOLD_DEADLINE_S` after the poll's hold, if that is later
    hold + ANSWER_GRACE_S           the poll times out
    deadline - hold - ANSWER_GRACE_S  remains for recovery: at least 1.2 s, whatever the hold

A poll that times out stays in flight, and its answer is used whenever it arrives; the next poll is
sent beside it. From the answers follows how late discovery is. If that is more than a poll's
timeout, the next polls wait for longer, and holds are shorter, so that an answer arrives before the
deadline. Where it can't, nothing new is sent from the deadline on, until it has arrived.

Discovery serves polls sequentially, so all balancers whose watches fell silent together share the
remaining time. The changes since a known version are a few lines. A full list costs discovery as
much as dozens of such answers, and so may the first poll of a new watch. Discovery rejects polls
beyond a few full lists. Therefore the holds of a fleet are spread over a range that grows with the
fleet, and each balancer has a separate slot of it. Watches that began together, as all do after a
change, then time out one after the other.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

MS_PER_S: Final = 1000
CHANGE_DEADLINE_S = 6.0
HOLD_DEADLINE_S = 2.0
# All balancers share one discovery service, and each poll costs it work even without changes. So
# the hold, and the pause that lets changes accumulate between polls, grow with the number of
# balancers. Holds are spread over a range whose width grows with the number of balancers. The mean
# of the range is at least `MIN_MEAN_HOLD_MS` and grows with the number of balancers up to a limit.
MIN_HOLD_MS = 2_000
MIN_MEAN_HOLD_MS = 3_700
HOLD_PER_BALANCER_MS = 100
MAX_MEAN_HOLD_MS = 20_000
SPREAD_PER_BALANCER_MS = 650
MAX_SPREAD_MS = 18_000
# Fractions of a slot between which a hold is drawn: its middle.
SLOT_START = 0.3
SLOT_END = 0.7
# Time for the answer after the hold. Discovery rejects polls that wait for 0.5 s in its queue.
ANSWER_GRACE_S = 0.8
# After a poll that failed, was rejected or timed out, a change is in force `CHANGE_DEADLINE_S`
# after discovery has it and is reachable, whatever the hold. So the hold of the next poll is
# limited to `CATCH_UP_HOLD_MS`, and a poll without a hold has `POLL_TIMEOUT_S` for connect and
# answer together. Either poll fits into these 6 s together with the longest backoff before it.
CATCH_UP_HOLD_MS = 3_000
POLL_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# After a watch falls silent, the deadline is near, and discovery may well be up. So the missed
# changes are polled for without a hold (a check), with the timeout `CHECK_TIMEOUT_S`. Failed checks
# are repeated after a short pause until `MAX_RECOVERY_S` after the deadline.
CHECK_TIMEOUT_S = 1.2
RECHECK_TIMEOUT_S = 2.4  # of a check after one that timed out
# If the last answer was slower than `CHECK_TIMEOUT_S`, the next poll with a hold times out only
# `DEADLINE_MARGIN_S` before its deadline, or `DELAY_MARGIN_S` after an answer of the same delay is
# due, if that is later. That leaves no time for a check, which would be late anyway.
DEADLINE_MARGIN_S = 0.1
DELAY_MARGIN_S = 0.3
# A poll without an answer is given up so long after its hold. It exceeds the time after which all
# that discovery has to tell is in force.
MAX_ANSWER_S = 8.0
# Polls that have timed out and stay in flight beside the current one. The oldest is kept longest:
# its answer is the next to arrive if discovery is slow, that of the current one if it was silent.
MAX_LATE_POLLS = 2
# The longest hold of a very slow discovery's sole poller, which other balancers take for silent
# after 12 s without news of its list.
MAX_SOLE_POLLER_HOLD_MS = 5_000
MOVE_DEADLINE_S = 4.0  # from SIGHUP until what discovery at another address has to tell is in force
RECHECK_PAUSE_S = 0.1
RECHECK_PAUSE_PER_BALANCER_S = 0.01
MAX_RECOVERY_S = 4.0
# Pause between two polls, whatever the outcome; the protocol allows a watch to pause for 200 ms.
MIN_PAUSE_S = 0.02
PAUSE_PER_BALANCER_S = 0.004
MAX_PAUSE_S = 0.15


def deadline_in_s(hold_ms: int) -> float:
    """Return the time from the start of a silent poll until a hidden change is in force."""
    return max(CHANGE_DEADLINE_S, hold_ms / MS_PER_S + HOLD_DEADLINE_S)


def can_answer_in_time(hold_ms: int, delay_s: float) -> bool:
    """Return whether an answer that is late by this delay arrives before a poll's deadline."""
    due_s = hold_ms / MS_PER_S + delay_s + DELAY_MARGIN_S
    return due_s <= deadline_in_s(hold_ms) - DEADLINE_MARGIN_S


class PollKind(Enum):
    """Type of a poll."""

    FULL_LIST = "the full list"
    CHECK = "changes since the known list, without a hold: it may lack some that are in force"
    CATCH_UP = "changes since the known list, after a poll without an answer"
    WATCH = "changes since the known list, after an answer: it may wait for long"


class PollOutcome(Enum):
    """Outcome of a poll."""

    ANSWERED = "a list, or changes"
    TIMED_OUT = "no answer in its time"
    REFUSED = "rejected, reset, or never connected: discovery's versions are as they were"
    MALFORMED = "an answer that can't be read: nothing of it is believed"
    FAILED = "an unexpected error: what was received may have been lost"


@dataclass(frozen=True, slots=True)
class Poll:
    """Parameters of one poll.

    Attributes:
        hold_ms: How long discovery may delay the answer; 0: it answers immediately.
        timeout_s: Time for the answer once connected; None: the remainder of `POLL_TIMEOUT_S`,
            which includes the connect.
        started_s: When it was sent, in monotonic seconds.
    """

    kind: PollKind
    hold_ms: int
    timeout_s: float | None
    started_s: float = 0.0

    @property
    def deadline_s(self) -> float:
        """When a change that the poll hides is in force, if it falls silent."""
        if self.kind is PollKind.FULL_LIST:
            return self.started_s + MOVE_DEADLINE_S
        return self.started_s + deadline_in_s(self.hold_ms)


@dataclass(frozen=True, slots=True)
class Doubt:
    """A time in which discovery may have had a change that is not known.

    Attributes:
        started_s: When it began; an answer to a poll that was sent then or later ends it.
        deadline_s: When such a change is in force.
        until_s: When it ends without an answer, because the change would be known by then.
    """

    started_s: float
    deadline_s: float
    until_s: float = math.inf


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """Holds and pauses of one balancer's polls, for a given size of the fleet."""

    min_hold_ms: float
    max_hold_ms: float
    slot_ms: float
    pause_s: float
    recheck_pause_s: float

    @classmethod
    def for_fleet(cls, balancers: int) -> PollSchedule:
        """Return the schedule for a fleet with this number of balancers."""
        mean_ms = min(MAX_MEAN_HOLD_MS, max(MIN_MEAN_HOLD_MS, HOLD_PER_BALANCER_MS * balancers))
        spread_ms = min(MAX_SPREAD_MS, SPREAD_PER_BALANCER_MS * balancers)
        min_hold_ms = max(MIN_HOLD_MS, mean_ms - spread_ms / 2)
        return cls(
            min_hold_ms=min_hold_ms,
            max_hold_ms=min_hold_ms + spread_ms,
            slot_ms=spread_ms / balancers,
            pause_s=min(MAX_PAUSE_S, max(MIN_PAUSE_S, PAUSE_PER_BALANCER_S * balancers)),
            recheck_pause_s=RECHECK_PAUSE_S + RECHECK_PAUSE_PER_BALANCER_S * balancers,
        )

    def hold_ms(self, index: int, rng: random.Random) -> int:
        """Draw the hold of a poll for the balancer with this index."""
        return int(self.min_hold_ms + self.slot_ms * (index + rng.uniform(SLOT_START, SLOT_END)))


class DiscoveryWatch:
    """Polls of one balancer in a fleet that shares discovery.

    Args:
        balancers: The number of balancers.
        index: The index of this balancer in the fleet.
        rng: The source of random holds and pauses.

    Attributes:
        has_list: Whether a list is known, so that discovery can send the changes since its version.
        awaits_confirmation: Whether the known list has to be confirmed, so that no poll may wait.
        delay_s: How late answers are after their hold, in seconds. It rises to the delay of the
            last answer at once, and falls by half of the difference.
    """

    def __init__(self, balancers: int, index: int, rng: random.Random) -> None:
        self.rng = rng
        self.next_kind = PollKind.FULL_LIST
        self.has_list = False
        self.awaits_confirmation = False
        self.delay_s = 0.0
        self._doubts: list[Doubt] = []
        self._has_check_failed = False
        self._fleet_size = max(1, balancers)
        self._fleet_index = index % self._fleet_size
        self._backoff_s = MIN_BACKOFF_S
        self._poll = Poll(PollKind.FULL_LIST, 0, None)  # the latest
        self.set_sole_poller(False)

    @property
    def deadline_s(self) -> float | None:
        """When a change that is not known may be in force; None: there can't be one."""
        return min((doubt.deadline_s for doubt in self._doubts), default=None)

    @property
    def settles_s(self) -> float | None:
        """When `settle` is due; None: only an answer can end the doubt."""
        until_s = min((doubt.until_s for doubt in self._doubts), default=math.inf)
        return None if math.isinf(until_s) else until_s

    def settle(self, now_s: float) -> None:
        """End doubts about changes that would be known by now."""
        self._doubts = [doubt for doubt in self._doubts if doubt.until_s > now_s]

    @property
    def is_slow(self) -> bool:
        """Whether answers come more than `CHECK_TIMEOUT_S` after their hold."""
        return self.delay_s > CHECK_TIMEOUT_S

    @property
    def mean_hold_ms(self) -> float:
        """The mean hold over the fleet."""
        return (self.schedule.min_hold_ms + self.schedule.max_hold_ms) / 2

    def set_sole_poller(self, is_sole: bool) -> None:
        """Set whether this balancer alone polls for the fleet, with a fleet size of 1."""
        self._is_sole_poller = is_sole
        self.index = 0 if is_sole else self._fleet_index
        self.schedule = PollSchedule.for_fleet(1 if is_sole else self._fleet_size)

    def on_list_known(self) -> None:
        """Handle a list from a cache or a separate poll; next, poll for changes since."""
        self.next_kind = PollKind.CATCH_UP
        self.has_list = True
        self.trust_list()

    def trust_list(self) -> None:
        """End all doubts, because the list comes from a source that is known to be current."""
        self._doubts.clear()

    def forget_list(self) -> None:
        """Discard the known list, and poll for the full list next."""
        self.next_kind = PollKind.FULL_LIST
        self.has_list = False

    # ---- the next poll ---------------------------------------------------------------------------

    def next_poll(self, now_s: float) -> Poll:
        """Return the poll to send now."""
        poll = replace(self._make_poll(), started_s=now_s)
        self._poll = poll
        may_exceed_deadline = (
            poll.timeout_s is not None and now_s + poll.timeout_s > poll.deadline_s
        )
        if may_exceed_deadline and self._is_watch(poll.kind):
            self._doubts.append(Doubt(now_s, poll.deadline_s))
        return poll

    def _make_poll(self) -> Poll:
        due_s = self.delay_s + DELAY_MARGIN_S
        if self.next_kind is PollKind.FULL_LIST:
            return Poll(PollKind.FULL_LIST, 0, due_s if due_s > POLL_TIMEOUT_S else None)
        is_catch_up = self.next_kind is PollKind.CATCH_UP
        if self.next_kind is PollKind.CHECK or (is_catch_up and self.awaits_confirmation):
            timeout_s = RECHECK_TIMEOUT_S if self._has_check_failed else CHECK_TIMEOUT_S
            return Poll(PollKind.CHECK, 0, max(timeout_s, due_s) if self.is_slow else timeout_s)
        hold_ms = self.schedule.hold_ms(self.index, self.rng)
        if self.next_kind is PollKind.CATCH_UP:
            hold_ms = min(hold_ms, CATCH_UP_HOLD_MS)
        if not self.is_slow:
            return Poll(self.next_kind, hold_ms, hold_ms / MS_PER_S + ANSWER_GRACE_S)
        hold_ms = self._hold_of_slow_discovery(hold_ms)
        timeout_s = max(deadline_in_s(hold_ms) - DEADLINE_MARGIN_S, hold_ms / MS_PER_S + due_s)
        return Poll(self.next_kind, hold_ms, timeout_s)

    def _hold_of_slow_discovery(self, hold_ms: int) -> int:
        """Return the hold of a poll, given how late discovery is.

        A shorter hold lets the answer arrive before the deadline. It is taken if polls are not more
        frequent than usual, and a change that follows another is known before its deadline, too.
        Otherwise each poll costs time in which nothing is sent, and there are as few as possible.
        """
        if can_answer_in_time(hold_ms, self.delay_s):
            return hold_ms
        period_s = CHANGE_DEADLINE_S - DEADLINE_MARGIN_S - DELAY_MARGIN_S  # between two answers
        is_frequent = period_s < self.mean_hold_ms / MS_PER_S
        if not is_frequent and not self._doubt_after_answer(0.0):
            return int((period_s - self.delay_s) * MS_PER_S)
        return max(hold_ms, MAX_SOLE_POLLER_HOLD_MS if self._is_sole_poller else MAX_MEAN_HOLD_MS)

    # ---- outcomes --------------------------------------------------------------------------------

    def on_outcome(self, outcome: PollOutcome, now_s: float) -> float | None:
        """Handle the outcome of the latest poll; if it timed out, it stays in flight.

        Returns:
            The pause before the next poll, in seconds; None: the poll failed, and the caller waits
            for `backoff_pause_s`.
        """
        kind = self._poll.kind
        if outcome is PollOutcome.ANSWERED:
            return self.on_answer(self._poll, now_s)
        has_timed_out = outcome is PollOutcome.TIMED_OUT
        is_watch_silent = has_timed_out and self._is_watch(kind)
        self._doubts = [doubt for doubt in self._doubts if doubt.started_s != self._poll.started_s]
        if is_watch_silent:
            self._doubts.append(Doubt(self._poll.started_s, self._poll.deadline_s))
        self._has_check_failed = kind is PollKind.CHECK and has_timed_out
        self._choose_after_failure(kind, outcome)
        deadline_s = self.deadline_s
        # A full list that times out is followed by a backoff, unless a change was missed before.
        if has_timed_out and kind is PollKind.FULL_LIST:
            self._doubts.append(Doubt(self._poll.started_s, self._poll.deadline_s))
        if deadline_s is None or now_s > deadline_s + MAX_RECOVERY_S:
            return None
        return self._jittered(
            self.schedule.pause_s if is_watch_silent else self.schedule.recheck_pause_s
        )

    def on_answer(self, poll: Poll, now_s: float, brings_changes: bool = False) -> float:
        """Handle the answer to a poll, which may have timed out before.

        Args:
            poll: The poll.
            now_s: The time in monotonic seconds.
            brings_changes: Whether the answer has entries, known ones or not, so that it may have
                come before the end of the hold.

        Returns:
            The pause before the next poll, in seconds.
        """
        self._note_delay(poll, now_s, brings_changes)
        self._doubts = [doubt for doubt in self._doubts if doubt.started_s > poll.started_s]
        pause_s = self._jittered(self.schedule.pause_s)
        doubts = self._doubt_after_answer(now_s)
        self._doubts += doubts
        # If discovery is no longer late, a check ends the doubt at once.
        is_check_due = bool(doubts) and poll.kind is not PollKind.CHECK
        self.next_kind = PollKind.CHECK if is_check_due else PollKind.WATCH
        self.has_list = True
        if poll.kind is not PollKind.FULL_LIST:
            self._backoff_s = MIN_BACKOFF_S
        return pause_s

    def _note_delay(self, poll: Poll, now_s: float, brings_changes: bool) -> None:
        """Record the answer's delay after its hold; answers before its end don't count."""
        self._has_check_failed = False
        delay_s = now_s - poll.started_s - poll.hold_ms / MS_PER_S
        if poll.kind is PollKind.FULL_LIST and delay_s <= POLL_TIMEOUT_S:
            return  # a full list takes longer than changes, and tells little of their delay
        delay_s = min(delay_s, CHANGE_DEADLINE_S)
        if brings_changes and poll.hold_ms:
            delay_s = max(delay_s, self.delay_s)  # the hold was shorter than asked for
        if delay_s > self.delay_s:
            self.delay_s = delay_s
        elif delay_s > 0.0:
            self.delay_s = (delay_s + self.delay_s) / 2

    def _doubt_after_answer(self, now_s: float) -> list[Doubt]:
        """Return the doubt about changes since discovery wrote the answer that arrives now.

        The next poll brings them. If discovery is very late, that is after their deadline.
        """
        deadline_s = now_s - self.delay_s + CHANGE_DEADLINE_S
        until_s = now_s + self.schedule.pause_s + self.delay_s + DELAY_MARGIN_S
        return [Doubt(now_s, deadline_s, until_s)] if until_s > deadline_s else []

    @staticmethod
    def _is_watch(kind: PollKind) -> bool:
        """Whether discovery may hold the answer to such a poll."""
        return kind in (PollKind.WATCH, PollKind.CATCH_UP)

    def _choose_after_failure(self, kind: PollKind, outcome: PollOutcome) -> None:
        """Choose the next poll after one without a valid answer.

        The known list is still valid; only its changes are missing. The full list is polled for if
        no list is known, or if the changes are malformed, because discovery might send the same
        answer again. If the full list fails as well, the next poll is for changes again: full lists
        for a whole fleet would overload discovery.
        """
        self.has_list = self.has_list and outcome is not PollOutcome.FAILED
        are_changes_malformed = outcome is PollOutcome.MALFORMED and kind in (
            PollKind.CATCH_UP,
            PollKind.CHECK,
        )
        if not self.has_list or are_changes_malformed:
            self.next_kind = PollKind.FULL_LIST
        else:
            self.next_kind = PollKind.CATCH_UP if self.deadline_s is None else PollKind.CHECK

    def _jittered(self, max_s: float) -> float:
        return max_s * self.rng.uniform(0.7, 1.0)

    def backoff_pause_s(self) -> float:
        """Return the backoff after a failed poll, and double the next one.

        The backoff is random, so that the balancers do not all poll again together.
        """
        pause_s = self._backoff_s * self.rng.uniform(0.5, 1.0)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return pause_s
