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

Discovery serves polls sequentially, so all balancers whose watches fell silent together share the
remaining time. The changes since a known version are a few lines. A full list costs discovery as
much as dozens of such answers, and so may the first poll of a new watch. Discovery rejects polls
beyond a few full lists. Therefore the holds of a fleet are spread over a range that grows with the
fleet, and each balancer has a separate slot of it. Watches that began together, as all do after a
change, then time out one after the other.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
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
# Timeout of a check after one that timed out. The deadline has passed by then, and discovery is
# either down or slow. A slow service needs enough time, or no poll would ever succeed again.
RECHECK_TIMEOUT_S = 2.4
# If the last answer was slower than `CHECK_TIMEOUT_S`, the next poll with a hold times out only
# `DEADLINE_MARGIN_S` before its deadline. That leaves no time for a check, which would fail anyway.
DEADLINE_MARGIN_S = 0.1
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


class PollKind(Enum):
    """Type of a poll."""

    FULL_LIST = "the full list"
    CHECK = "changes since the known list, without a hold: after a watch that fell silent"
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
    """

    kind: PollKind
    hold_ms: int
    timeout_s: float | None


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
        deadline_s: When a change hidden by a silent watch may be in force; None: discovery has
            answered since.
        is_slow: Whether the last answer came more than `CHECK_TIMEOUT_S` after its hold.
    """

    def __init__(self, balancers: int, index: int, rng: random.Random) -> None:
        self.rng = rng
        self.next_kind = PollKind.FULL_LIST
        self.has_list = False
        self.deadline_s: float | None = None
        self.is_slow = False
        self._has_check_failed = False
        self._fleet_size = max(1, balancers)
        self._fleet_index = index % self._fleet_size
        self._backoff_s = MIN_BACKOFF_S
        self._poll: Poll | None = None  # in flight
        self._poll_started_s = 0.0
        self.set_sole_poller(False)

    @property
    def mean_hold_ms(self) -> float:
        """The mean hold over the fleet."""
        return (self.schedule.min_hold_ms + self.schedule.max_hold_ms) / 2

    def set_sole_poller(self, is_sole: bool) -> None:
        """Set whether this balancer alone polls for the fleet, with a fleet size of 1."""
        self.index = 0 if is_sole else self._fleet_index
        self.schedule = PollSchedule.for_fleet(1 if is_sole else self._fleet_size)

    def on_list_known(self) -> None:
        """Handle a list from a cache or a separate poll; next, poll for changes since."""
        self.next_kind = PollKind.CATCH_UP
        self.has_list = True
        self.deadline_s = None

    def forget_list(self) -> None:
        """Discard the known list, and poll for the full list next."""
        self.next_kind = PollKind.FULL_LIST
        self.has_list = False

    def next_poll(self, now_s: float) -> Poll:
        """Return the poll to send now."""
        self._poll = self._make_poll()
        self._poll_started_s = now_s
        return self._poll

    def _make_poll(self) -> Poll:
        if self.next_kind is PollKind.FULL_LIST:
            return Poll(PollKind.FULL_LIST, 0, None)
        if self.next_kind is PollKind.CHECK:
            timeout_s = RECHECK_TIMEOUT_S if self._has_check_failed else CHECK_TIMEOUT_S
            return Poll(PollKind.CHECK, 0, timeout_s)
        hold_ms = self.schedule.hold_ms(self.index, self.rng)
        if self.next_kind is PollKind.CATCH_UP:
            hold_ms = min(hold_ms, CATCH_UP_HOLD_MS)
        if self.is_slow:
            return Poll(self.next_kind, hold_ms, deadline_in_s(hold_ms) - DEADLINE_MARGIN_S)
        return Poll(self.next_kind, hold_ms, hold_ms / MS_PER_S + ANSWER_GRACE_S)

    def on_outcome(self, outcome: PollOutcome, now_s: float) -> float | None:
        """Handle the outcome of a poll.

        Returns:
            The pause before the next poll, in seconds; None: the poll failed, and the caller waits
            for `backoff_pause_s`.
        """
        kind = self.next_kind
        if outcome is PollOutcome.ANSWERED:
            self._note_delay(now_s)
            self.next_kind = PollKind.WATCH
            self.has_list = True
            self.deadline_s = None
            if kind is not PollKind.FULL_LIST:
                self._backoff_s = MIN_BACKOFF_S
            return self._jittered(self.schedule.pause_s)
        is_watch_silent = outcome is PollOutcome.TIMED_OUT and kind in (
            PollKind.WATCH,
            PollKind.CATCH_UP,
        )
        if is_watch_silent:
            self._set_deadline()
        self._has_check_failed = kind is PollKind.CHECK and outcome is PollOutcome.TIMED_OUT
        self._choose_after_failure(kind, outcome)
        if self.deadline_s is None or now_s > self.deadline_s + MAX_RECOVERY_S:
            return None
        return self._jittered(
            self.schedule.pause_s if is_watch_silent else self.schedule.recheck_pause_s
        )

    def _note_delay(self, now_s: float) -> None:
        """Record the answer's delay after its hold; answers before its end don't count."""
        self._has_check_failed = False
        if self._poll is None or self._poll.kind is PollKind.FULL_LIST:
            return
        delay_s = now_s - self._poll_started_s - self._poll.hold_ms / MS_PER_S
        if delay_s > 0.0:
            self.is_slow = delay_s > CHECK_TIMEOUT_S

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

    def _set_deadline(self) -> None:
        """Set the deadline after a silent poll, as if the silence began with the poll."""
        assert self._poll is not None
        deadline_s = self._poll_started_s + deadline_in_s(self._poll.hold_ms)
        if self.deadline_s is None:
            self.deadline_s = deadline_s
        else:
            self.deadline_s = min(deadline_s, self.deadline_s)

    def _jittered(self, max_s: float) -> float:
        return max_s * self.rng.uniform(0.7, 1.0)

    def backoff_pause_s(self) -> float:
        """Return the backoff after a failed poll, and double the next one.

        The backoff is random, so that the balancers do not all poll again together.
        """
        pause_s = self._backoff_s * self.rng.uniform(0.5, 1.0)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return pause_s
