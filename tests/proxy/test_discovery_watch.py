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
from loadbalancer.proxy.discovery_watch import DiscoveryWatch, PollKind, PollOutcome
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
    watch: DiscoveryWatch
    rng: random.Random
    push: bool
    known_s: float | None = None  # when it knew of the change
    answered_s: float = -1.0  # the last answer
    failures: int = 0
    begun_s: float = 0.0
    term_s: float = 0.0

    def pause_s(self, end: PollOutcome, now: float) -> float:
        """Before its next call; where lists are asked for, the module's pause behind one that
        failed.
        """
        pause_s = self.watch.on_outcome(end, now)
        if pause_s is not None:
            self.failures = 0 if end is PollOutcome.ANSWERED else self.failures
            return pause_s
        if self.push:
            return self.watch.backoff_pause_s()
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
            Caller(DiscoveryWatch(self.balancers, me, random.Random(rng.random())), rng, self.push)
            for me in range(self.balancers)
        ]
        for caller in self.callers:
            caller.watch.on_outcome(PollOutcome.ANSWERED, 0.0)  # its list is known

    def at(self, when_s: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.queue, (when_s, next(self.order), what))

    def call(self, caller: Caller, now: float) -> None:
        poll = caller.watch.next_poll(now)
        cost_s = WHOLE_S if poll.kind is PollKind.FULL_LIST else CHANGES_S
        if poll.kind is not PollKind.FULL_LIST and now > caller.answered_s + WATCH_GAP_S:
            cost_s = self.new_watch_s
        self.wholes += poll.kind is PollKind.FULL_LIST
        if now < self.back_s:
            end_s, end = {
                "turned away": (now + 0.004, PollOutcome.REFUSED),
                "broken": (now + 0.004, PollOutcome.REFUSED),
                "never connected": (now + discovery_watch.POLL_TIMEOUT_S, PollOutcome.REFUSED),
                "silent": (
                    now
                    + (
                        discovery_watch.POLL_TIMEOUT_S if poll.timeout_s is None else poll.timeout_s
                    ),
                    PollOutcome.TIMED_OUT,
                ),
                "unread": (now + 0.02, PollOutcome.MALFORMED),
            }[self.trouble]
        elif self.free_s - now > LINE_S:
            end_s, end = now + 0.004, PollOutcome.REFUSED
        else:
            self.free_s = end_s = max(now, self.free_s) + cost_s
            end = PollOutcome.ANSWERED
        self.at(end_s, partial(self.ended, caller, end))

    def ended(self, caller: Caller, end: PollOutcome, now: float) -> None:
        pause_s = caller.pause_s(end, now)
        if end is PollOutcome.ANSWERED:
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
            poll = caller.watch.next_poll(begun_s)
            assert poll.kind is PollKind.WATCH and poll.timeout_s is not None
            caller.term_s = max(
                silent_s + discovery_watch.CHANGE_DEADLINE_S,
                begun_s + poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S,
            )
            self.at(begun_s + poll.timeout_s, partial(self.ended, caller, PollOutcome.TIMED_OUT))
        return self.latest()

    def silence_at_random(self) -> float:
        """The same, of watches that began each at its own time."""
        silent_s = 100.0
        for caller in self.callers:
            pace = caller.watch.schedule
            begun_s = (
                silent_s - caller.rng.random() * pace.hold_ms(caller.watch.index, caller.rng) / 1000
            )
            poll = caller.watch.next_poll(begun_s)
            assert poll.timeout_s is not None
            caller.term_s = max(
                silent_s + discovery_watch.CHANGE_DEADLINE_S,
                begun_s + poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S,
            )
            self.at(
                max(silent_s, begun_s + poll.timeout_s),
                partial(self.ended, caller, PollOutcome.TIMED_OUT),
            )
        return self.latest()

    def move(self) -> float:
        """Told to go elsewhere: versions count anew there, so each asks for a whole list."""
        for caller in self.callers:
            caller.watch.forget_list()
            caller.term_s = MOVE_TERM_S
            self.at(0.0, partial(self.call, caller))
        return self.latest()

    def outage(self) -> float:
        """DiscoveryWatch end in `trouble`; when discovery is there again, something changes in that
        moment.
        """
        for caller in self.callers:
            caller.term_s = self.back_s + discovery_watch.CHANGE_DEADLINE_S
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
        (PollKind.WATCH, True, PollOutcome.TIMED_OUT, PollKind.CHECK),
        (PollKind.WATCH, True, PollOutcome.REFUSED, PollKind.CATCH_UP),
        (PollKind.WATCH, True, PollOutcome.MALFORMED, PollKind.CATCH_UP),
        (PollKind.WATCH, True, PollOutcome.FAILED, PollKind.FULL_LIST),
        (PollKind.CATCH_UP, True, PollOutcome.TIMED_OUT, PollKind.CHECK),
        (PollKind.CATCH_UP, True, PollOutcome.REFUSED, PollKind.CATCH_UP),
        (PollKind.CATCH_UP, True, PollOutcome.MALFORMED, PollKind.FULL_LIST),
        (PollKind.FULL_LIST, True, PollOutcome.MALFORMED, PollKind.CATCH_UP),
        (PollKind.FULL_LIST, True, PollOutcome.REFUSED, PollKind.CATCH_UP),
        (PollKind.FULL_LIST, False, PollOutcome.TIMED_OUT, PollKind.FULL_LIST),
        (PollKind.FULL_LIST, False, PollOutcome.REFUSED, PollKind.FULL_LIST),
        (PollKind.FULL_LIST, False, PollOutcome.MALFORMED, PollKind.FULL_LIST),
        (PollKind.FULL_LIST, False, PollOutcome.ANSWERED, PollKind.WATCH),
    ],
)
def test_what_is_asked_behind_each_end(
    was: PollKind, known: bool, end: PollOutcome, then: PollKind
) -> None:
    watch = DiscoveryWatch(6, 0, random.Random(1))
    watch.next_kind, watch.has_list = was, known
    watch.next_poll(0.0)
    pause_s = watch.on_outcome(end, 0.0)
    assert watch.next_kind is then
    # Only a watch that fell silent is followed at once: behind other ends calls must not come at
    # once.
    watched = was in (PollKind.WATCH, PollKind.CATCH_UP)
    assert (pause_s is not None) == (
        end is PollOutcome.ANSWERED or watched and end is PollOutcome.TIMED_OUT
    )


# How a call behind a silence may end, and how long that takes at the most.
ENDS = {
    "answered": (PollOutcome.ANSWERED, 0.9),
    "turned away": (PollOutcome.REFUSED, 0.004),
    "never connected": (PollOutcome.REFUSED, discovery_watch.POLL_TIMEOUT_S),
    "silent again": (PollOutcome.TIMED_OUT, discovery_watch.CHECK_TIMEOUT_S),
    "unread": (PollOutcome.MALFORMED, 0.9),
    "lost": (PollOutcome.FAILED, 0.01),
}


@pytest.mark.parametrize("watched", [PollKind.WATCH, PollKind.CATCH_UP])
@pytest.mark.parametrize("balancers", FLEETS)
def test_behind_a_silence_it_asks_again_in_each_order_of_ends(
    balancers: int, watched: PollKind
) -> None:
    """All orders of five ends. Its term is reckoned from the call, stands until an answer comes,
    and no pause is longer than that between two checks until the recovery is given up.
    """
    for order in itertools.product(ENDS, repeat=5):
        watch = DiscoveryWatch(balancers, balancers - 1, random.Random(1))
        watch.next_kind, watch.has_list = watched, True
        poll = watch.next_poll(0.0)
        assert poll.timeout_s is not None
        term_s = max(
            discovery_watch.CHANGE_DEADLINE_S, poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S
        )
        now = poll.timeout_s
        pause_s = watch.on_outcome(PollOutcome.TIMED_OUT, now)
        for end, took_s in (ENDS[name] for name in order):
            assert watch.deadline_s == term_s
            if pause_s is None:
                assert now > term_s + discovery_watch.MAX_RECOVERY_S
                pause_s = watch.backoff_pause_s()
            assert (
                pause_s <= watch.schedule.recheck_pause_s
                or now > term_s + discovery_watch.MAX_RECOVERY_S
            )
            now += pause_s
            poll = watch.next_poll(now)
            assert poll.hold_ms == 0  # a hold would keep what was missed, if nothing was
            now += took_s
            pause_s = watch.on_outcome(end, now)
            if end is PollOutcome.ANSWERED:
                assert watch.deadline_s is None and watch.next_kind is PollKind.WATCH
                break


def test_a_second_silence_does_not_put_off_the_term_of_the_first() -> None:
    watch = DiscoveryWatch(6, 0, random.Random(1))
    watch.next_kind, watch.has_list = PollKind.CATCH_UP, True
    poll = watch.next_poll(0.0)
    watch.on_outcome(PollOutcome.TIMED_OUT, 4.0)
    watch.next_kind = PollKind.WATCH
    watch.next_poll(5.0)
    watch.on_outcome(PollOutcome.TIMED_OUT, 10.0)
    assert watch.deadline_s == max(
        discovery_watch.CHANGE_DEADLINE_S, poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S
    )


@pytest.mark.parametrize("balancers", FLEETS)
def test_a_second_is_left_behind_each_call_that_is_given_up(balancers: int) -> None:
    watch = DiscoveryWatch(balancers, balancers - 1, random.Random(1))
    for call in (PollKind.WATCH, PollKind.CATCH_UP):
        for _ in range(1000):
            watch.next_kind = call
            poll = watch.next_poll(0.0)
            assert poll.timeout_s is not None
            term_s = max(
                discovery_watch.CHANGE_DEADLINE_S,
                poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S,
            )
            assert poll.timeout_s + 1.0 <= term_s + 1e-9


@dataclass
class LateService:
    """A discovery that answers each poll late, in virtual time, for one balancer of a fleet."""

    late_s: float
    watch: DiscoveryWatch
    now_s: float = 0.0
    last_answer_s: float = 0.0
    stale_s: float = 0.0  # how long what a silent watch hid was in force, and no answer came

    def play(self, seconds: float) -> None:
        """Poll for so long."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            poll = self.watch.next_poll(self.now_s)
            timeout_s = discovery_watch.POLL_TIMEOUT_S if poll.timeout_s is None else poll.timeout_s
            took_s = poll.hold_ms / 1000 + self.late_s
            deadline_s = self.watch.deadline_s
            self.now_s += min(took_s, timeout_s)
            outcome = PollOutcome.ANSWERED if took_s < timeout_s else PollOutcome.TIMED_OUT
            pause_s = self.watch.on_outcome(outcome, self.now_s)
            if outcome is PollOutcome.ANSWERED:
                self.last_answer_s = self.now_s
                if deadline_s is not None:
                    self.stale_s += max(0.0, self.now_s - deadline_s - GRACE_S)
            self.now_s += self.watch.backoff_pause_s() if pause_s is None else pause_s


GRACE_S = 0.3  # so long behind its deadline nothing is sent by a list that may hide a change


@pytest.mark.parametrize("late_s", [0.5, 0.9, 1.3, 1.6, 1.8])
@pytest.mark.parametrize("balancers", FLEETS)
def test_a_discovery_that_answers_late_is_not_given_up_for_good(
    balancers: int, late_s: float
) -> None:
    """Each poll was cut off ahead of its answer: the list stood still, and nothing was sent."""
    rng = random.Random(balancers)
    service = LateService(late_s, DiscoveryWatch(balancers, balancers // 2, rng))
    service.play(120.0)
    stale_s = service.stale_s
    # Once: the check that fails ends about with the deadline, and one more is answered.
    assert stale_s <= service.watch.schedule.recheck_pause_s + late_s
    service.play(600.0)
    assert service.stale_s == stale_s
    longest_hold_s = service.watch.schedule.max_hold_ms / 1000
    assert service.now_s - service.last_answer_s <= longest_hold_s + 2 * late_s
