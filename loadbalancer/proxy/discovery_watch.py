"""Which poll of discovery comes next, how long it may take, and what follows on each outcome.

A state machine without I/O: it is handed the clock and the outcome of each poll, and says what to
poll next, and when. `Discovery` carries it out. `docs/design/discovery.md` has the arithmetic,
`tests/proxy/test_discovery_watch.py` checks it.

    deadline                        a change that a silent watch hides is in force
                                    `CHANGE_DEADLINE_S` after the silence began, or
                                    `HOLD_DEADLINE_S` after the poll's hold, if that is later
    hold + ANSWER_GRACE_S           the poll times out
    deadline - hold - ANSWER_GRACE_S  is left for what follows: 1.2 s at least, whatever the hold

Discovery handles polls in turn, so what is left is for the polls of all balancers whose watches
fell silent together. The changes since a known version are a few lines; a full list costs discovery
as much as dozens of those, and so may the first poll of a new watch. Beyond a handful of these it
rejects polls. Therefore the holds of a fleet are spread over a range that grows with the fleet,
each balancer's in a slot of its own: watches that began together, as all do after a change, time
out one after the other.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

MS_PER_S: Final = 1000
CHANGE_DEADLINE_S = 6.0
HOLD_DEADLINE_S = 2.0
# Each poll is work for the one service of all balancers, whether it has changes or not: the more
# balancers there are, the longer each lets a poll wait, and the longer it lets changes accumulate
# before the next one. Holds are spread over a range that grows with the balancers; its mean is at
# least `MIN_MEAN_HOLD_MS` and grows with the balancers up to a limit.
MIN_HOLD_MS = 2_000
MIN_MEAN_HOLD_MS = 3_700
HOLD_PER_BALANCER_MS = 100
MAX_MEAN_HOLD_MS = 20_000
SPREAD_PER_BALANCER_MS = 650
MAX_SPREAD_MS = 18_000
# Within its slot each hold is drawn from the middle.
SLOT_START = 0.3
SLOT_END = 0.7
# An answer may come so long after the hold. Discovery rejects what waits for 0.5 s in its queue.
ANSWER_GRACE_S = 0.8
# After a poll that failed, was rejected or timed out, a change is in force `CHANGE_DEADLINE_S`
# after discovery has it and can be reached, whatever the hold. So the next poll waits for less,
# connect and answer of one without a hold are given `POLL_TIMEOUT_S` together, and either fits
# into those 6 s with the longest backoff before.
CATCH_UP_HOLD_MS = 3_000
POLL_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# After a watch that fell silent its deadline is near, and nothing says that discovery is down: what
# was missed is polled for without a hold, is given `CHECK_TIMEOUT_S`, and is polled for again after
# a short pause, whatever the outcome, until `MAX_RECOVERY_S` after the deadline.
CHECK_TIMEOUT_S = 1.2
# Where even a check is not answered in that time, the deadline has passed: discovery is silent, or
# it is slow, and then it must be left the time for its answer, or nothing is ever known again.
RECHECK_TIMEOUT_S = 2.4
# After an answer that came later than a check may, a watch is left all the time up to its deadline
# but for `DEADLINE_MARGIN_S`; nothing is left for a check behind it, which would fail anyway.
DEADLINE_MARGIN_S = 0.1
RECHECK_PAUSE_S = 0.1
RECHECK_PAUSE_PER_BALANCER_S = 0.01
MAX_RECOVERY_S = 4.0
# Pause between two polls, whatever the outcome; a watch may pause for 200 ms.
MIN_PAUSE_S = 0.02
PAUSE_PER_BALANCER_S = 0.004
MAX_PAUSE_S = 0.15


def deadline_in_s(hold_ms: int) -> float:
    """How long after the start of a poll with this hold a change that it hid is in force."""
    return max(CHANGE_DEADLINE_S, hold_ms / MS_PER_S + HOLD_DEADLINE_S)


class PollKind(Enum):
    """What discovery is polled for next."""

    FULL_LIST = "the full list"
    CHECK = "changes since the known list, without a hold: after a watch that fell silent"
    CATCH_UP = "changes since the known list, after a poll without an answer"
    WATCH = "changes since the known list, after an answer: it may wait for long"


class PollOutcome(Enum):
    """How a poll ended."""

    ANSWERED = "a list, or changes"
    TIMED_OUT = "no answer in its time"
    REFUSED = "rejected, reset, or never connected: discovery's versions are as they were"
    MALFORMED = "an answer that can't be read: nothing of it is believed"
    FAILED = "an unexpected error: what was received may have been lost"


@dataclass(frozen=True, slots=True)
class Poll:
    """One poll.

    Attributes:
        hold_ms: How long discovery may hold it; 0: it answers at once.
        timeout_s: From the moment there is a connection; None: what is left of `POLL_TIMEOUT_S`.
    """

    kind: PollKind
    hold_ms: int
    timeout_s: float | None


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """How often one of so many balancers polls, and how wide the slot of each is."""

    min_hold_ms: float
    max_hold_ms: float
    slot_ms: float
    pause_s: float
    recheck_pause_s: float

    @classmethod
    def for_fleet(cls, balancers: int) -> PollSchedule:
        """Return the schedule of one of so many balancers."""
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
        """Draw the hold of a poll, for the balancer of this index."""
        return int(self.min_hold_ms + self.slot_ms * (index + rng.uniform(SLOT_START, SLOT_END)))


class DiscoveryWatch:
    """The polls of one of so many balancers that share discovery.

    Args:
        balancers: How many there are.
        index: The balancer's index among them.
        rng: Draws holds and pauses.

    Attributes:
        has_list: A list is known, and by its version discovery can send what changed since.
        deadline_s: A watch fell silent and no answer came since: by then what it hid may be in
            force; else None.
        is_slow: The last answer came later, behind its hold, than a check may.
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
        """Poll in place of all balancers, which need not spare discovery as one of many would."""
        self.index = 0 if is_sole else self._fleet_index
        self.schedule = PollSchedule.for_fleet(1 if is_sole else self._fleet_size)

    def on_list_known(self) -> None:
        """Handle a list from a cache or from a separate poll: changes since are polled for."""
        self.next_kind = PollKind.CATCH_UP
        self.has_list = True
        self.deadline_s = None

    def forget_list(self) -> None:
        """Poll for the full list next: what is known does not count any more."""
        self.next_kind = PollKind.FULL_LIST
        self.has_list = False

    def next_poll(self, now_s: float) -> Poll:
        """Return what to poll for now."""
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
        """Handle the end of a poll.

        Returns:
            The pause before the next poll, in seconds; None: it failed, and the caller backs off
            (`backoff_pause_s`).
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
        """Note how late an answer came behind its hold; a watch may be answered ahead of that."""
        self._has_check_failed = False
        if self._poll is None or self._poll.kind is PollKind.FULL_LIST:
            return
        delay_s = now_s - self._poll_started_s - self._poll.hold_ms / MS_PER_S
        if delay_s > 0.0:
            self.is_slow = delay_s > CHECK_TIMEOUT_S

    def _choose_after_failure(self, kind: PollKind, outcome: PollOutcome) -> None:
        """Choose the next poll after one without an answer.

        The known list is as good as it was; only its changes are missing. A full list is polled for
        where none is known, and where the changes can't be read: the same might come again. If that
        fails as well, it is the changes' turn: full lists for a fleet are too much for discovery.
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
        """Set the deadline of a silence; for all that is known, it began when the poll did."""
        assert self._poll is not None
        deadline_s = self._poll_started_s + deadline_in_s(self._poll.hold_ms)
        if self.deadline_s is None:
            self.deadline_s = deadline_s
        else:
            self.deadline_s = min(deadline_s, self.deadline_s)

    def _jittered(self, max_s: float) -> float:
        return max_s * self.rng.uniform(0.7, 1.0)

    def backoff_pause_s(self) -> float:
        """Return the pause after a failed poll where lists are pushed, and double the next one.

        It is drawn at random: balancers must not all come back together.
        """
        pause_s = self._backoff_s * self.rng.uniform(0.5, 1.0)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return pause_s
