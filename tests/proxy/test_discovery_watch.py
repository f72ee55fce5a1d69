"""By when a change is known: each way in which a call to discovery can end, for fleets that share
it, in virtual time. Discovery handles calls in turn. `docs/design/discovery.md` has the table.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

import pytest

from loadbalancer.policy import subscription
from loadbalancer.proxy import discovery_watch
from loadbalancer.proxy.discovery_watch import Call, Calls, End
from tests.fakes import SECOND

FLEETS = 1, 6, 30, 200
CHANGES_S, WHOLE_S = (
    0.015,
    0.435,
)  # what an answer costs the service, as seen on a day with 15 upstreams
# A call that comes later than `WATCH_GAP_S` behind the last answer begins a new watch, and cost as
# much as a whole list on another day with 15 upstreams, seed 218648781889.
NEW_WATCH_S, WATCH_GAP_S = 0.375, 0.2
LINE_S = 0.5  # it turns away what would wait for longer
SLACK_S = 0.05
MOVE_TERM_S = 4.0  # what another discovery has counts so long behind SIGHUP
# Not held, and so much late: all answers to two hundred balancers that ask are spoilt for seconds
# on end, and a part of them returns for whole lists.
LATE_S = {(200, False, "unread"): 1.0}


@dataclass(eq=False)
class Caller:
    calls: Calls
    rng: random.Random
    push: bool
    known_s: float | None = None  # when it knew of the change
    answered_s: float = -1.0  # the last answer
    failures: int = 0
    begun_s: float = 0.0
    term_s: float = 0.0

    def pause_s(self, end: End, now: float) -> float:
        """Before its next call; where lists are asked for, the module's pause behind one that
        failed.
        """
        pause_s = self.calls.ended(end, now)
        if pause_s is not None:
            self.failures = 0 if end is End.ANSWERED else self.failures
            return pause_s
        if self.push:
            return self.calls.again()
        self.failures += 1
        whole_s = subscription.MAX_BACKOFF_NS / SECOND
        return whole_s * min(1.0, 2.0 ** (self.failures - 3)) * self.rng.uniform(0.4, 1.0)


@dataclass
class Fleet:
    """Its balancers, one service, and a queue of what happens when. `trouble` ends calls, up to
    `back_s`.
    """

    balancers: int
    push: bool
    seed: int
    trouble: str = ""
    back_s: float = 0.0
    new_watch_s: float = CHANGES_S  # what the first answer of a new watch costs the service
    free_s: float = 0.0  # when the service has done what is in its line
    queue: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)  # of what happens in one moment
    wholes: int = 0

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.callers = [
            Caller(Calls(self.balancers, me, random.Random(rng.random())), rng, self.push)
            for me in range(self.balancers)
        ]
        for caller in self.callers:
            caller.calls.ended(End.ANSWERED, 0.0)  # its list is known

    def at(self, when_s: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.queue, (when_s, next(self.order), what))

    def call(self, caller: Caller, now: float) -> None:
        ask = caller.calls.ask(now)
        cost_s = WHOLE_S if ask.call is Call.WHOLE else CHANGES_S
        if ask.call is not Call.WHOLE and now > caller.answered_s + WATCH_GAP_S:
            cost_s = self.new_watch_s
        self.wholes += ask.call is Call.WHOLE
        if now < self.back_s:
            end_s, end = {
                "turned away": (now + 0.004, End.REFUSED),
                "broken": (now + 0.004, End.REFUSED),
                "never connected": (now + discovery_watch.CALL_S, End.REFUSED),
                "silent": (
                    now + (discovery_watch.CALL_S if ask.wait_s is None else ask.wait_s),
                    End.SILENT,
                ),
                "unread": (now + 0.02, End.UNREAD),
            }[self.trouble]
        elif self.free_s - now > LINE_S:
            end_s, end = now + 0.004, End.REFUSED
        else:
            self.free_s = end_s = max(now, self.free_s) + cost_s
            end = End.ANSWERED
        self.at(end_s, partial(self.ended, caller, end))

    def ended(self, caller: Caller, end: End, now: float) -> None:
        pause_s = caller.pause_s(end, now)
        if end is End.ANSWERED:
            caller.known_s = caller.answered_s = now
        else:
            self.at(now + pause_s, partial(self.call, caller))

    def latest(self) -> float:
        """How long after its term the last balancer knew, in seconds; negative: before it."""
        while self.queue:
            now, _, what = heapq.heappop(self.queue)
            what(now)
        return max((c.known_s or 1e9) - c.term_s for c in self.callers)

    def silence(self) -> float:
        """Watches that began as the last change was told, in turn, all fall silent in one moment,
        and in that moment something changes. Discovery is there again for whoever comes anew.
        """
        began = [(0.01 + CHANGES_S * i, caller) for i, caller in enumerate(self.callers)]
        silent_s = began[-1][0]
        for begun_s, caller in began:
            ask = caller.calls.ask(begun_s)
            assert ask.call is Call.HOLD and ask.wait_s is not None
            caller.term_s = max(
                silent_s + discovery_watch.TERM_S,
                begun_s + ask.hold_ms / 1000 + discovery_watch.HOLD_TERM_S,
            )
            self.at(begun_s + ask.wait_s, partial(self.ended, caller, End.SILENT))
        return self.latest()

    def silence_at_random(self) -> float:
        """The same, of watches that began each at its own time."""
        silent_s = 100.0
        for caller in self.callers:
            pace = caller.calls.pace
            begun_s = (
                silent_s - caller.rng.random() * pace.hold_ms(caller.calls.me, caller.rng) / 1000
            )
            ask = caller.calls.ask(begun_s)
            assert ask.wait_s is not None
            caller.term_s = max(
                silent_s + discovery_watch.TERM_S,
                begun_s + ask.hold_ms / 1000 + discovery_watch.HOLD_TERM_S,
            )
            self.at(max(silent_s, begun_s + ask.wait_s), partial(self.ended, caller, End.SILENT))
        return self.latest()

    def move(self) -> float:
        """Told to go elsewhere: versions count anew there, so each asks for a whole list."""
        for caller in self.callers:
            caller.calls.forget()
            caller.term_s = MOVE_TERM_S
            self.at(0.0, partial(self.call, caller))
        return self.latest()

    def outage(self) -> float:
        """Calls end in `trouble`; when discovery is there again, something changes in that
        moment.
        """
        for caller in self.callers:
            caller.term_s = self.back_s + discovery_watch.TERM_S
            self.at(0.2 * caller.rng.random(), partial(self.call, caller))
        return self.latest()


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("balancers", FLEETS)
def test_what_a_silent_watch_hid_is_known_before_its_term(balancers: int, push: bool) -> None:
    """A late answer is the same: the call was given up."""
    for seed in range(20):
        fleet = Fleet(balancers, push, seed)
        assert fleet.silence() <= SLACK_S
        assert fleet.wholes == 0


def test_six_balancers_know_in_time_also_where_a_new_watch_costs_as_much_as_a_list() -> None:
    """Six that give up together are 2.25 s of the service's time; it turns away who would wait for
    0.5 s.
    """
    for push in (True, False):
        for seed in range(200):
            fleet = Fleet(6, push, seed, new_watch_s=NEW_WATCH_S)
            assert fleet.silence() <= SLACK_S
            assert Fleet(6, push, seed, new_watch_s=NEW_WATCH_S).silence_at_random() <= SLACK_S


@pytest.mark.parametrize("trouble", ["turned away", "broken", "never connected", "unread"])
@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("balancers", FLEETS)
def test_what_changes_as_discovery_returns_is_known_in_its_term(
    balancers: int, push: bool, trouble: str
) -> None:
    for seed in range(10):
        for back_s in (0.3, 3.0, 8.0):
            late_s = Fleet(balancers, push, seed, trouble, back_s).outage()
            assert late_s <= LATE_S.get((balancers, push, trouble), SLACK_S)


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("balancers", [1, 6])
def test_a_few_balancers_know_the_list_of_another_discovery_in_its_term(
    balancers: int, push: bool
) -> None:
    """A large fleet that asks one service for whole lists in one moment does not: see the table."""
    for seed in range(10):
        assert Fleet(balancers, push, seed).move() <= 0


@pytest.mark.parametrize(
    ("was", "known", "end", "then"),
    [
        (Call.HOLD, True, End.SILENT, Call.CHECK),
        (Call.HOLD, True, End.REFUSED, Call.CATCH_UP),
        (Call.HOLD, True, End.UNREAD, Call.CATCH_UP),
        (Call.HOLD, True, End.LOST, Call.WHOLE),
        (Call.CATCH_UP, True, End.SILENT, Call.CHECK),
        (Call.CATCH_UP, True, End.REFUSED, Call.CATCH_UP),
        (Call.CATCH_UP, True, End.UNREAD, Call.WHOLE),
        (Call.WHOLE, True, End.UNREAD, Call.CATCH_UP),
        (Call.WHOLE, True, End.REFUSED, Call.CATCH_UP),
        (Call.WHOLE, False, End.SILENT, Call.WHOLE),
        (Call.WHOLE, False, End.REFUSED, Call.WHOLE),
        (Call.WHOLE, False, End.UNREAD, Call.WHOLE),
        (Call.WHOLE, False, End.ANSWERED, Call.HOLD),
    ],
)
def test_what_is_asked_behind_each_end(was: Call, known: bool, end: End, then: Call) -> None:
    watch = Calls(6, 0, random.Random(1))
    watch.next, watch.known = was, known
    watch.ask(0.0)
    pause_s = watch.ended(end, 0.0)
    assert watch.next is then
    # Only a watch that fell silent is followed at once: behind other ends calls must not come at
    # once.
    watched = was in (Call.HOLD, Call.CATCH_UP)
    assert (pause_s is not None) == (end is End.ANSWERED or watched and end is End.SILENT)


# How a call behind a silence may end, and how long that takes at the most.
ENDS = {
    "answered": (End.ANSWERED, 0.9),
    "turned away": (End.REFUSED, 0.004),
    "never connected": (End.REFUSED, discovery_watch.CALL_S),
    "silent again": (End.SILENT, discovery_watch.CHECK_S),
    "unread": (End.UNREAD, 0.9),
    "lost": (End.LOST, 0.01),
}


@pytest.mark.parametrize("watched", [Call.HOLD, Call.CATCH_UP])
@pytest.mark.parametrize("balancers", FLEETS)
def test_behind_a_silence_it_asks_again_in_each_order_of_ends(
    balancers: int, watched: Call
) -> None:
    """All orders of five ends. Its term is reckoned from the call, stands until an answer comes,
    and no pause is longer than that between two checks until the recovery is given up.
    """
    for order in itertools.product(ENDS, repeat=5):
        watch = Calls(balancers, balancers - 1, random.Random(1))
        watch.next, watch.known = watched, True
        ask = watch.ask(0.0)
        assert ask.wait_s is not None
        term_s = max(discovery_watch.TERM_S, ask.hold_ms / 1000 + discovery_watch.HOLD_TERM_S)
        now = ask.wait_s
        pause_s = watch.ended(End.SILENT, now)
        for end, took_s in (ENDS[name] for name in order):
            assert watch.term_s == term_s
            if pause_s is None:
                assert now > term_s + discovery_watch.RECOVER_S
                pause_s = watch.again()
            assert pause_s <= watch.pace.recheck_s or now > term_s + discovery_watch.RECOVER_S
            now += pause_s
            ask = watch.ask(now)
            assert ask.hold_ms == 0  # a hold would keep what was missed, if nothing was
            now += took_s
            pause_s = watch.ended(end, now)
            if end is End.ANSWERED:
                assert watch.term_s is None and watch.next is Call.HOLD
                break


def test_a_second_silence_does_not_put_off_the_term_of_the_first() -> None:
    watch = Calls(6, 0, random.Random(1))
    watch.next, watch.known = Call.CATCH_UP, True
    ask = watch.ask(0.0)
    watch.ended(End.SILENT, 4.0)
    watch.next = Call.HOLD
    watch.ask(5.0)
    watch.ended(End.SILENT, 10.0)
    assert watch.term_s == max(
        discovery_watch.TERM_S, ask.hold_ms / 1000 + discovery_watch.HOLD_TERM_S
    )


@pytest.mark.parametrize("balancers", FLEETS)
def test_a_second_is_left_behind_each_call_that_is_given_up(balancers: int) -> None:
    watch = Calls(balancers, balancers - 1, random.Random(1))
    for call in (Call.HOLD, Call.CATCH_UP):
        for _ in range(1000):
            watch.next = call
            ask = watch.ask(0.0)
            assert ask.wait_s is not None
            term_s = max(discovery_watch.TERM_S, ask.hold_ms / 1000 + discovery_watch.HOLD_TERM_S)
            assert ask.wait_s + 1.0 <= term_s + 1e-9
