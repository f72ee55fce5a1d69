"""Which call to discovery comes next, how long it may take, and what follows on each way in which
it ends.

A state machine without I/O: it is handed the clock, is told how a call ended, and says what to ask,
and when. `Discovery` carries it out. `docs/design/discovery.md` has the arithmetic,
`tests/proxy/test_discovery_watch.py` checks it.

    term                   a change that a silent watch hides counts as told `TERM_S` after the
    silence began,
                           or `HOLD_TERM_S` behind the call's hold, if that is later
    hold + GRACE_S         the call is given up
    term - hold - GRACE_S  is left for what follows: 1.2 s at the least, whatever the hold

Discovery handles calls in turn, so what is left is for the calls of all balancers whose watches
fell silent together. The changes since a known version are a few lines; a whole list costs
discovery as much as dozens of those, and so may the first call of a new watch. Behind a handful of
these it turns calls away. Therefore the holds of a fleet are spread over a range that is the wider
the larger it is, each balancer's in a slot of its own: watches that began together, as all do
behind a change, are given up one after the other.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

TERM_S, HOLD_TERM_S = 6.0, 2.0
# Each call is work for the one service of all balancers, whether it tells something or not: the
# more of them there are, the longer each lets a call wait, and the longer it leaves changes to come
# together before the next one. Holds are spread over a range of so much for each balancer, whose
# mean is not under the first figure, nor under so much for each balancer up to a limit. Within its
# slot each is drawn from the middle.
HOLD_MS, HOLD_LEAST_MS = 3_700, 2_000
HOLD_EACH_MS, HOLD_MOST_MS = 100, 20_000
SPREAD_EACH_MS, SPREAD_MOST_MS = 650, 18_000
WITHIN_SLOT = 0.3, 0.7
# An answer may come so long behind the hold. Discovery turns away what waits for 0.5 s in its line.
GRACE_S = 0.8
# Behind a call that failed, was turned away or was given up, a change counts as told `TERM_S` after
# discovery has it and can be reached, whatever the hold. So the next call waits for less,
# connection and answer of one that does not wait are given so long together, and either fits into
# those 6 s with the longest pause before.
CATCH_UP_MS, CALL_S, BACKOFF_S = 3_000, 2.0, (0.05, 1.0)
# Behind a watch that fell silent its term is nearly over, and nothing says that discovery is down:
# what was missed is asked for without a wait, is given so long, and is asked for again after so
# long, however it ends, until this long behind the term.
CHECK_S, RECHECK_S, RECHECK_EACH_S, RECOVER_S = 1.2, 0.1, 0.01, 4.0
# Between two calls at the least, whatever comes back; a watch may pause for 200 ms.
PACE_S, PACE_EACH_S, PACE_MOST_S = 0.02, 0.004, 0.15


class Call(Enum):
    """What discovery is asked next."""

    WHOLE = "the whole list"
    CHECK = "what changed since the list that is known, at once: behind a watch that fell silent"
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
    """One call: a hold of 0 does not wait. `wait_s` counts from the moment there is a connection;
    None: what is left of `CALL_S`.
    """

    call: Call
    hold_ms: int
    wait_s: float | None


@dataclass(frozen=True, slots=True)
class Pace:
    """How often one of so many balancers calls, and how wide the slot of each is. Times in ms and
    seconds, as the names say.
    """

    least_hold_ms: float
    most_hold_ms: float
    slot_ms: float
    pause_s: float
    recheck_s: float

    @classmethod
    def of(cls, balancers: int) -> Pace:
        mean = min(HOLD_MOST_MS, max(HOLD_MS, HOLD_EACH_MS * balancers))
        spread = min(SPREAD_MOST_MS, SPREAD_EACH_MS * balancers)
        least = max(HOLD_LEAST_MS, mean - spread / 2)
        pause_s = min(PACE_MOST_S, max(PACE_S, PACE_EACH_S * balancers))
        return cls(
            least,
            least + spread,
            spread / balancers,
            pause_s,
            RECHECK_S + RECHECK_EACH_S * balancers,
        )

    def hold_ms(self, me: int, rng: random.Random) -> int:
        """The hold of a call, for the balancer of this number."""
        return int(self.least_hold_ms + self.slot_ms * (me + rng.uniform(*WITHIN_SLOT)))


class Calls:
    """The calls of one of so many balancers that share discovery; `me`: its number among them."""

    def __init__(self, balancers: int, me: int, rng: random.Random) -> None:
        self.rng = rng
        self.fleet = max(1, balancers), me % max(1, balancers)
        self.speak_for_all(False)
        self.next = Call.WHOLE
        self.known = False  # a list is, and by its version discovery can tell what changed since
        self.backoff_s = BACKOFF_S[0]
        self.asked: Ask | None = None  # the call that is out, and when it was made
        self.asked_s = 0.0
        # A watch fell silent, and no answer came since: by then what it hid may count as told.
        self.term_s: float | None = None

    @property
    def hold_ms(self) -> float:
        """The mean hold over the fleet, ms."""
        return (self.pace.least_hold_ms + self.pace.most_hold_ms) / 2

    def speak_for_all(self, on: bool) -> None:
        """One caller in place of all need not spare discovery as one of many would."""
        balancers, self.me = (1, 0) if on else self.fleet
        self.pace = Pace.of(balancers)

    def knows(self) -> None:
        """A list is known, from before or from a call on the side: what changed since is asked
        for.
        """
        self.next, self.known, self.term_s = Call.CATCH_UP, True, None

    def forget(self) -> None:
        """What is known does not count from now on, up to the next whole list."""
        self.next, self.known = Call.WHOLE, False

    def ask(self, now_s: float) -> Ask:
        """What to ask now."""
        self.asked, self.asked_s = self._ask(), now_s
        return self.asked

    def _ask(self) -> Ask:
        if self.next is Call.WHOLE:
            return Ask(Call.WHOLE, 0, None)
        if self.next is Call.CHECK:
            return Ask(Call.CHECK, 0, CHECK_S)
        hold_ms = self.pace.hold_ms(self.me, self.rng)
        if self.next is Call.CATCH_UP:
            hold_ms = min(hold_ms, CATCH_UP_MS)
        return Ask(self.next, hold_ms, hold_ms / 1000 + GRACE_S)

    def ended(self, end: End, now_s: float) -> float | None:
        """The pause before the next call, seconds; None: it failed, and whoever asks backs off
        (`again`).
        """
        was = self.next
        if end is End.ANSWERED:
            self.next, self.known, self.term_s = Call.HOLD, True, None
            if was is not Call.WHOLE:
                self.backoff_s = BACKOFF_S[0]
            return self._pause_s(self.pace.pause_s)
        waited = end is End.SILENT and was in (Call.HOLD, Call.CATCH_UP)
        if waited:
            self._fell_silent()
        # The list that is known is as good as it was; only its changes are missing. A whole one is
        # asked for where none is known, and where the changes can't be read: the same might come
        # again. If that fails as well, it is the changes' turn: whole lists for a fleet are too
        # much for discovery.
        self.known = self.known and end is not End.LOST
        unread = end is End.UNREAD and was in (Call.CATCH_UP, Call.CHECK)
        behind = Call.CATCH_UP if self.term_s is None else Call.CHECK
        self.next = behind if self.known and not unread else Call.WHOLE
        if self.term_s is None or now_s > self.term_s + RECOVER_S:
            return None
        return self._pause_s(self.pace.pause_s if waited else self.pace.recheck_s)

    def _fell_silent(self) -> None:
        """The silence began when the call did, for all that is known here."""
        assert self.asked is not None
        term_s = self.asked_s + max(TERM_S, self.asked.hold_ms / 1000 + HOLD_TERM_S)
        self.term_s = term_s if self.term_s is None else min(term_s, self.term_s)

    def _pause_s(self, most_s: float) -> float:
        return most_s * self.rng.uniform(0.7, 1.0)

    def again(self) -> float:
        """The pause behind a failed call where lists are pushed, seconds: balancers must not all
        come back together.
        """
        pause_s = self.backoff_s * self.rng.uniform(0.5, 1.0)
        self.backoff_s = min(2 * self.backoff_s, BACKOFF_S[1])
        return pause_s
