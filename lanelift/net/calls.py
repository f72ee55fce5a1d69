"""Which call to discovery comes next, how long it may take, and what follows on each way in which it ends.

A state machine without I/O: it is told how a call ended, and says what to ask, and when. `Discovery` carries
it out. `docs/design/discovery.md` has the arithmetic, `tests/test_calls.py` checks it for four fleets.

    term                   a change that a silent watch hides counts as told `TERM_S` after the silence began,
                           or `HOLD_TERM_S` behind the call's hold, if that is later
    hold + GRACE_S         the call is given up
    term - hold - GRACE_S  is left for what follows: a second at the least, whatever the hold

Discovery handles calls in turn, so what is left is for the calls of all balancers whose watches fell silent
together. The changes since a known version are a few lines; a whole list costs discovery as much as dozens of
those, and behind a handful of whole ones it turns calls away.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

TERM_S, HOLD_TERM_S = 6.0, 2.0
# Each call is work for the one service of all balancers, whether it tells something or not: the more of them
# there are, the longer each lets a call wait, and the longer it leaves changes to come together before the
# next one. One of a few balancers keeps to the first figure of each.
HOLD_MS, HOLD_EACH_MS, HOLD_MOST_MS = 4_000, 250, 20_000
# Each hold is drawn so far about that: watches that began together do not end, or are not given up, together.
SPREAD = 0.1
# An answer may come so long behind the hold. Discovery turns away what waits for longer in its line.
GRACE_S = 1.0
# Behind a call that failed, was turned away or was given up, a change counts as told `TERM_S` after discovery
# has it and can be reached, whatever the hold. So the next call waits for less, connection and answer of one
# that does not wait are given so long together, and either fits into those 6 s with the longest pause before.
CATCH_UP_MS, CALL_S, BACKOFF_S = 3_000, 2.0, (0.05, 1.0)
# Between two calls at the least, whatever comes back; a watch may pause for 200 ms.
PACE_S, PACE_EACH_S, PACE_MOST_S = 0.02, 0.004, 0.15


class Call(Enum):
    """What discovery is asked next."""

    WHOLE = "the whole list"
    CATCH_UP = "what changed since the list that is known, behind a call without an answer"
    HOLD = "the same, behind an answer: it may wait for long"


class End(Enum):
    """How a call ended."""

    ANSWERED = "a list, or changes"
    SILENT = "no answer in its time"
    REFUSED = "turned away, reset, or never connected: discovery's versions are as they were"
    UNREAD = "an answer that can't be read: nothing of it is believed"
    LOST = "what nobody foresaw: what was told may have been lost"


@dataclass(frozen=True, slots=True)
class Ask:
    """One call: a hold of 0 does not wait. `wait_s` counts from the moment there is a connection; None: what
    is left of `CALL_S`."""

    call: Call
    hold_ms: int
    wait_s: float | None


class Calls:
    """The calls of one of so many balancers that share discovery."""

    def __init__(self, balancers: int, rng: random.Random) -> None:
        self.rng = rng
        self.hold_ms = min(HOLD_MOST_MS, max(HOLD_MS, HOLD_EACH_MS * balancers))
        self.pace_s = min(PACE_MOST_S, max(PACE_S, PACE_EACH_S * balancers))
        self.next = Call.WHOLE
        self.known = False  # a list is, and by its version discovery can tell what changed since
        self.backoff_s = BACKOFF_S[0]

    def knows(self) -> None:
        """A list is known, from before or from a call on the side: what changed since is asked for."""
        self.next, self.known = Call.CATCH_UP, True

    def forget(self) -> None:
        """What is known does not count from now on, up to the next whole list."""
        self.next, self.known = Call.WHOLE, False

    def ask(self) -> Ask:
        """What to ask now."""
        if self.next is Call.WHOLE:
            return Ask(Call.WHOLE, 0, None)
        hold_ms = int(self.hold_ms * self.rng.uniform(1 - SPREAD, 1 + SPREAD))
        if self.next is Call.CATCH_UP:
            hold_ms = min(hold_ms, CATCH_UP_MS)
        return Ask(self.next, hold_ms, hold_ms / 1000 + GRACE_S)

    def ended(self, end: End) -> float | None:
        """The pause before the next call, seconds; None: it failed, and whoever asks backs off (`again`)."""
        was = self.next
        if end is End.ANSWERED:
            self.next, self.known = Call.HOLD, True
            if was is not Call.WHOLE:
                self.backoff_s = BACKOFF_S[0]
        else:
            # The list that is known is as good as it was; only its changes are missing. A whole one is asked
            # for where none is known, and where the changes can't be read: the same might come again. If that
            # fails as well, it is the changes' turn: whole lists for a fleet are too much for discovery.
            self.known = self.known and end is not End.LOST
            unread = end is End.UNREAD and was is Call.CATCH_UP
            self.next = Call.CATCH_UP if self.known and not unread else Call.WHOLE
            # A watch that fell silent has used up most of its term. Nothing says that discovery is down.
            if was is not Call.HOLD or end is not End.SILENT:
                return None
        return self.pace_s * self.rng.uniform(0.7, 1.0)

    def again(self) -> float:
        """The pause behind a failed call where lists are pushed, seconds: balancers must not all come back
        together."""
        pause_s = self.backoff_s * self.rng.uniform(0.5, 1.0)
        self.backoff_s = min(2 * self.backoff_s, BACKOFF_S[1])
        return pause_s
