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

FLEET_SIZES = 1, 6, 30, 200
CHANGES_COST_S, FULL_LIST_COST_S = (
    0.015,
    0.435,
)  # what an answer costs the service, as seen on a day with 15 upstreams
# A call that comes later than `WATCH_GAP_S` behind the last answer begins a new watch, and cost as
# much as a whole list on another day with 15 upstreams, seed 218648781889.
NEW_WATCH_COST_S, WATCH_GAP_S = 0.375, 0.2
MAX_QUEUE_WAIT_S = 0.5  # it turns away what would wait for longer
TOLERANCE_S = 0.05
MOVE_DEADLINE_S = 4.0  # what another discovery has counts so long behind SIGHUP
# Not held, and so much late: all answers to two hundred balancers that ask are spoilt for seconds
# on end, and a part of them returns for whole lists.
EXPECTED_DELAY_S = {(200, False, "unread"): 1.0}


@dataclass(eq=False)
class FleetMember:
    watch: DiscoveryWatch
    rng: random.Random
    push: bool
    updated_s: float | None = None  # when it knew of the change
    last_answered_s: float = -1.0  # the last answer
    failures: int = 0
    started_s: float = 0.0
    change_deadline_s: float = 0.0

    def pause_s(self, poll_outcome: PollOutcome, now: float) -> float:
        """Before its next call; where lists are asked for, the module's pause behind one that
        failed.
        """
        pause_s = self.watch.on_outcome(poll_outcome, now)
        if pause_s is not None:
            self.failures = 0 if poll_outcome is PollOutcome.ANSWERED else self.failures
            return pause_s
        if self.push:
            return self.watch.backoff_pause_s()
        self.failures += 1
        max_backoff_s = subscription.MAX_BACKOFF_NS / SECOND
        return max_backoff_s * min(1.0, 2.0 ** (self.failures - 3)) * self.rng.uniform(0.4, 1.0)


@dataclass
class Fleet:
    """Its balancers, one service, and a queue of what happens when. `failure_kind` ends calls, up
    to `recovered_s`.
    """

    balancers: int
    push: bool
    seed: int
    failure_kind: str = ""
    recovered_s: float = 0.0
    new_watch_cost_s: float = (
        CHANGES_COST_S  # what the first answer of a new watch costs the service
    )
    busy_until_s: float = 0.0  # when the service has done what is in its line
    queue: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    sequence: Iterator[int] = field(
        default_factory=itertools.count
    )  # of what happens in one moment
    full_list_count: int = 0

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.members = [
            FleetMember(
                DiscoveryWatch(self.balancers, position, random.Random(rng.random())),
                rng,
                self.push,
            )
            for position in range(self.balancers)
        ]
        for member in self.members:
            member.watch.on_outcome(PollOutcome.ANSWERED, 0.0)  # its list is known

    def schedule_event(self, time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.queue, (time_s, next(self.sequence), action))

    def start_poll(self, member: FleetMember, now: float) -> None:
        poll = member.watch.next_poll(now)
        cost_s = FULL_LIST_COST_S if poll.kind is PollKind.FULL_LIST else CHANGES_COST_S
        if poll.kind is not PollKind.FULL_LIST and now > member.last_answered_s + WATCH_GAP_S:
            cost_s = self.new_watch_cost_s
        self.full_list_count += poll.kind is PollKind.FULL_LIST
        if now < self.recovered_s:
            end_s, poll_outcome = {
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
            }[self.failure_kind]
        elif self.busy_until_s - now > MAX_QUEUE_WAIT_S:
            end_s, poll_outcome = now + 0.004, PollOutcome.REFUSED
        else:
            self.busy_until_s = end_s = max(now, self.busy_until_s) + cost_s
            poll_outcome = PollOutcome.ANSWERED
        self.schedule_event(end_s, partial(self.on_poll_ended, member, poll_outcome))

    def on_poll_ended(self, member: FleetMember, poll_outcome: PollOutcome, now: float) -> None:
        pause_s = member.pause_s(poll_outcome, now)
        if poll_outcome is PollOutcome.ANSWERED:
            member.updated_s = member.last_answered_s = now
        else:
            self.schedule_event(now + pause_s, partial(self.start_poll, member))

    def max_delay_s(self) -> float:
        """How long after its term the last balancer knew, in seconds; negative: before it."""
        while self.queue:
            now, _, action = heapq.heappop(self.queue)
            action(now)
        return max((c.updated_s or 1e9) - c.change_deadline_s for c in self.members)

    def simulate_silence(self) -> float:
        """Watches that began as the last change was told, in turn, all fall silent in one moment,
        and in that moment something changes. Discovery is there again for whoever comes anew.
        """
        watch_starts = [
            (0.01 + CHANGES_COST_S * i, member) for i, member in enumerate(self.members)
        ]
        silence_start_s = watch_starts[-1][0]
        for started_s, member in watch_starts:
            poll = member.watch.next_poll(started_s)
            assert poll.kind is PollKind.WATCH and poll.timeout_s is not None
            member.change_deadline_s = max(
                silence_start_s + discovery_watch.CHANGE_DEADLINE_S,
                started_s + poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S,
            )
            self.schedule_event(
                started_s + poll.timeout_s,
                partial(self.on_poll_ended, member, PollOutcome.TIMED_OUT),
            )
        return self.max_delay_s()

    def simulate_staggered_silence(self) -> float:
        """The same, of watches that began each at its own time."""
        silence_start_s = 100.0
        for member in self.members:
            poll_schedule = member.watch.schedule
            started_s = (
                silence_start_s
                - member.rng.random() * poll_schedule.hold_ms(member.watch.index, member.rng) / 1000
            )
            poll = member.watch.next_poll(started_s)
            assert poll.timeout_s is not None
            member.change_deadline_s = max(
                silence_start_s + discovery_watch.CHANGE_DEADLINE_S,
                started_s + poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S,
            )
            self.schedule_event(
                max(silence_start_s, started_s + poll.timeout_s),
                partial(self.on_poll_ended, member, PollOutcome.TIMED_OUT),
            )
        return self.max_delay_s()

    def simulate_move(self) -> float:
        """Told to go elsewhere: versions count anew there, so each asks for a whole list."""
        for member in self.members:
            member.watch.forget_list()
            member.change_deadline_s = MOVE_DEADLINE_S
            self.schedule_event(0.0, partial(self.start_poll, member))
        return self.max_delay_s()

    def simulate_outage(self) -> float:
        """DiscoveryWatch end in `failure_kind`; when discovery is there again, something changes in
        that moment.
        """
        for member in self.members:
            member.change_deadline_s = self.recovered_s + discovery_watch.CHANGE_DEADLINE_S
            self.schedule_event(0.2 * member.rng.random(), partial(self.start_poll, member))
        return self.max_delay_s()


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_change_missed_by_silent_watch_is_learned_before_deadline(
    balancers: int, push: bool
) -> None:
    """A late answer is the same: the call was given up."""
    for seed in range(20):
        fleet = Fleet(balancers, push, seed)
        assert fleet.simulate_silence() <= TOLERANCE_S
        assert fleet.full_list_count == 0


def test_six_balancers_meet_deadline_with_expensive_new_watches() -> None:
    """Six that give up together are 2.25 s of the service's time; it turns away who would wait for
    0.5 s.
    """
    for push in (True, False):
        for seed in range(200):
            fleet = Fleet(6, push, seed, new_watch_cost_s=NEW_WATCH_COST_S)
            assert fleet.simulate_silence() <= TOLERANCE_S
            assert (
                Fleet(6, push, seed, new_watch_cost_s=NEW_WATCH_COST_S).simulate_staggered_silence()
                <= TOLERANCE_S
            )


@pytest.mark.parametrize("failure_kind", ["turned away", "broken", "never connected", "unread"])
@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_change_at_end_of_outage_is_learned_before_deadline(
    balancers: int, push: bool, failure_kind: str
) -> None:
    for seed in range(10):
        for recovered_s in (0.3, 3.0, 8.0):
            delay_s = Fleet(balancers, push, seed, failure_kind, recovered_s).simulate_outage()
            assert delay_s <= EXPECTED_DELAY_S.get((balancers, push, failure_kind), TOLERANCE_S)


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("balancers", [1, 6])
def test_small_fleet_loads_list_of_new_discovery_before_deadline(
    balancers: int, push: bool
) -> None:
    """A large fleet that asks one service for whole lists in one moment does not: see the table."""
    for seed in range(10):
        assert Fleet(balancers, push, seed).simulate_move() <= 0


@pytest.mark.parametrize(
    ("previous_kind", "list_known", "poll_outcome", "expected_kind"),
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
def test_next_poll_after_each_outcome(
    previous_kind: PollKind, list_known: bool, poll_outcome: PollOutcome, expected_kind: PollKind
) -> None:
    watch = DiscoveryWatch(6, 0, random.Random(1))
    watch.next_kind, watch.has_list = previous_kind, list_known
    watch.next_poll(0.0)
    pause_s = watch.on_outcome(poll_outcome, 0.0)
    assert watch.next_kind is expected_kind
    # Only a watch that fell silent is followed at once: behind other ends calls must not come at
    # once.
    previous_was_watch = previous_kind in (PollKind.WATCH, PollKind.CATCH_UP)
    assert (pause_s is not None) == (
        poll_outcome is PollOutcome.ANSWERED
        or previous_was_watch
        and poll_outcome is PollOutcome.TIMED_OUT
    )


# How a call behind a silence may end, and how long that takes at the most.
POLL_OUTCOMES = {
    "answered": (PollOutcome.ANSWERED, 0.9),
    "turned away": (PollOutcome.REFUSED, 0.004),
    "never connected": (PollOutcome.REFUSED, discovery_watch.POLL_TIMEOUT_S),
    "silent again": (PollOutcome.TIMED_OUT, discovery_watch.CHECK_TIMEOUT_S),
    "unread": (PollOutcome.MALFORMED, 0.9),
    "lost": (PollOutcome.FAILED, 0.01),
}


@pytest.mark.parametrize("watch_kind", [PollKind.WATCH, PollKind.CATCH_UP])
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_recovery_continues_after_any_sequence_of_outcomes(
    balancers: int, watch_kind: PollKind
) -> None:
    """All orders of five ends. Its term is reckoned from the call, stands until an answer comes,
    and no pause is longer than that between two checks until the recovery is given up.
    """
    for sequence in itertools.product(POLL_OUTCOMES, repeat=5):
        watch = DiscoveryWatch(balancers, balancers - 1, random.Random(1))
        watch.next_kind, watch.has_list = watch_kind, True
        poll = watch.next_poll(0.0)
        assert poll.timeout_s is not None
        change_deadline_s = max(
            discovery_watch.CHANGE_DEADLINE_S, poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S
        )
        now = poll.timeout_s
        pause_s = watch.on_outcome(PollOutcome.TIMED_OUT, now)
        for poll_outcome, duration_s in (POLL_OUTCOMES[name] for name in sequence):
            assert watch.deadline_s == change_deadline_s
            if pause_s is None:
                assert now > change_deadline_s + discovery_watch.MAX_RECOVERY_S
                pause_s = watch.backoff_pause_s()
            assert (
                pause_s <= watch.schedule.recheck_pause_s
                or now > change_deadline_s + discovery_watch.MAX_RECOVERY_S
            )
            now += pause_s
            poll = watch.next_poll(now)
            assert poll.hold_ms == 0  # a hold would keep what was missed, if nothing was
            now += duration_s
            pause_s = watch.on_outcome(poll_outcome, now)
            if poll_outcome is PollOutcome.ANSWERED:
                assert watch.deadline_s is None and watch.next_kind is PollKind.WATCH
                break


def test_second_silence_does_not_extend_deadline_of_first() -> None:
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


@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_poll_timeout_leaves_one_second_before_deadline(balancers: int) -> None:
    watch = DiscoveryWatch(balancers, balancers - 1, random.Random(1))
    for poll_kind in (PollKind.WATCH, PollKind.CATCH_UP):
        for _ in range(1000):
            watch.next_kind = poll_kind
            poll = watch.next_poll(0.0)
            assert poll.timeout_s is not None
            change_deadline_s = max(
                discovery_watch.CHANGE_DEADLINE_S,
                poll.hold_ms / 1000 + discovery_watch.HOLD_DEADLINE_S,
            )
            assert poll.timeout_s + 1.0 <= change_deadline_s + 1e-9


@dataclass
class SlowDiscovery:
    """A discovery that answers each poll late, in virtual time, for one balancer of a fleet."""

    delay_s: float
    watch: DiscoveryWatch
    now_s: float = 0.0
    last_answer_s: float = 0.0
    stale_s: float = 0.0  # how long what a silent watch hid was in force, and no answer came

    def poll_for(self, seconds: float) -> None:
        """Poll for so long."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            poll = self.watch.next_poll(self.now_s)
            timeout_s = discovery_watch.POLL_TIMEOUT_S if poll.timeout_s is None else poll.timeout_s
            duration_s = poll.hold_ms / 1000 + self.delay_s
            deadline_s = self.watch.deadline_s
            self.now_s += min(duration_s, timeout_s)
            outcome = PollOutcome.ANSWERED if duration_s < timeout_s else PollOutcome.TIMED_OUT
            pause_s = self.watch.on_outcome(outcome, self.now_s)
            if outcome is PollOutcome.ANSWERED:
                self.last_answer_s = self.now_s
                if deadline_s is not None:
                    self.stale_s += max(0.0, self.now_s - deadline_s - SEND_GRACE_S)
            self.now_s += self.watch.backoff_pause_s() if pause_s is None else pause_s


SEND_GRACE_S = 0.3  # so long behind its deadline nothing is sent by a list that may hide a change


@pytest.mark.parametrize("delay_s", [0.5, 0.9, 1.3, 1.6, 1.8])
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_slow_discovery_makes_list_stale_only_once(balancers: int, delay_s: float) -> None:
    """Each poll was cut off ahead of its answer: the list stood still, and nothing was sent."""
    rng = random.Random(balancers)
    slow_discovery = SlowDiscovery(delay_s, DiscoveryWatch(balancers, balancers // 2, rng))
    slow_discovery.poll_for(120.0)
    stale_s = slow_discovery.stale_s
    # Once: the check that fails ends about with the deadline, and one more is answered.
    assert stale_s <= slow_discovery.watch.schedule.recheck_pause_s + delay_s
    slow_discovery.poll_for(600.0)
    assert slow_discovery.stale_s == stale_s
    longest_hold_s = slow_discovery.watch.schedule.max_hold_ms / 1000
    assert slow_discovery.now_s - slow_discovery.last_answer_s <= longest_hold_s + 2 * delay_s
