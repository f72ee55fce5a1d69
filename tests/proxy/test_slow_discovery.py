"""Tests that a balancer keeps its deadlines before a discovery whose answers are all late."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Final

import pytest

from loadbalancer.daemon import endpoint_source
from loadbalancer.policy import api
from loadbalancer.proxy import discovery, discovery_call, discovery_watch
from loadbalancer.proxy.discovery_watch import DiscoveryWatch, Poll, PollKind, PollOutcome
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.proxy.frontend import Frontend
from tests.fakes import (
    SECOND,
    SETTINGS,
    EventRecorder,
    FakeDiscovery,
    Message,
    run,
    running_balancer,
)

GRACE_S: Final = 0.5  # to stop sending to an upstream that counts as told to drain
TRUST_S: Final = 0.3  # so long behind a deadline the list is used
FLEET_SIZES: Final = 1, 6, 30, 200
DELAYS_S: Final = 0.0, 0.7, 1.3, 2.2, 2.6, 3.3, 4.1, 5.0, 5.8
WARM_UP_S: Final = 60.0
END_S: Final = 400.0
MS_PER_S: Final = 1000


@dataclass(eq=False)
class Call:
    """A poll in flight.

    Attributes:
        written_s: When discovery writes its answer, which has all changes until then.
    """

    poll: Poll
    written_s: float
    has_changes: bool


@dataclass
class SlowDiscovery:
    """One balancer before a discovery whose answers are all late by one delay, in virtual time.

    It polls as `Discovery` does.

    Attributes:
        changes_s: When discovery's list changes.
        silent_s: From then on discovery writes no answer.
        calls: The polls in flight, oldest first; the last is the current one while it is waited
            for.
        heard_s: Until when all changes are known.
    """

    delay_s: float
    watch: DiscoveryWatch
    changes_s: list[float]
    silent_s: float = math.inf
    now_s: float = 0.0
    calls: list[Call] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    heard: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 0.0)])
    deadlines: list[tuple[float, float | None]] = field(default_factory=list)
    most_calls: int = 0

    @property
    def heard_s(self) -> float:
        return self.heard[-1][1]

    def run(self) -> None:
        """Poll until the end."""
        self.watch.on_list_known()
        while self.now_s < END_S:
            pause_s = self._poll()
            self._pass_to(
                self.now_s + (self.watch.backoff_pause_s() if pause_s is None else pause_s)
            )

    def _poll(self) -> float | None:
        poll = self.watch.next_poll(self.now_s)
        self.polls.append(poll)
        hold_end_s = self.now_s + poll.hold_ms / MS_PER_S
        news_s = [at_s for at_s in self.changes_s if self.heard_s < at_s <= hold_end_s]
        written_s = max(self.now_s, news_s[0]) if news_s else hold_end_s
        call = Call(poll, written_s, bool(news_s))
        self.calls.append(call)
        self.most_calls = max(self.most_calls, len(self.calls))
        self._note()
        timeout_s = discovery_watch.POLL_TIMEOUT_S if poll.timeout_s is None else poll.timeout_s
        end_s = self.now_s + timeout_s
        while call in self.calls:
            late = [c for c in self.calls if c is not call and self._arrival_s(c) < end_s]
            first = min([call, *late], key=self._arrival_s)
            if self._arrival_s(first) > end_s:
                self._pass_to(end_s, until_answer=False)
                return self._time_out(call)
            self._pass_to(self._arrival_s(first), until_answer=False)
            pause_s = self._answer(first)
            if first is call:
                return pause_s
            if not poll.hold_ms:
                self._limit_late()
                return self.watch.schedule.pause_s
        raise AssertionError("the current poll is never given up")

    def _time_out(self, call: Call) -> float | None:
        self._limit_late()
        pause_s = self.watch.on_outcome(PollOutcome.TIMED_OUT, self.now_s)
        self._note()
        return pause_s

    def _limit_late(self) -> None:
        if len(self.calls) > discovery_watch.MAX_LATE_POLLS:
            del self.calls[-2]

    def _arrival_s(self, call: Call) -> float:
        return call.written_s + self.delay_s if call.written_s < self.silent_s else math.inf

    def _answer(self, call: Call) -> float:
        self.calls = [c for c in self.calls if c.poll.started_s > call.poll.started_s]
        self.heard.append((self.now_s, max(self.heard_s, call.written_s)))
        pause_s = self.watch.on_answer(call.poll, self.now_s, call.has_changes)
        self._note()
        return pause_s

    def _pass_to(self, time_s: float, until_answer: bool = True) -> None:
        """Let time pass; the answer to a late poll ends a pause."""
        answers = [c for c in self.calls if self._arrival_s(c) <= time_s] if until_answer else []
        if answers:
            first = min(answers, key=self._arrival_s)
            self._settle(self._arrival_s(first))
            self._answer(first)
            return
        self._settle(time_s)

    def _settle(self, time_s: float) -> None:
        settles_s = self.watch.settles_s
        if settles_s is not None and settles_s <= time_s:
            self.now_s = max(self.now_s, settles_s)
            self.watch.settle(self.now_s)
            self._note()
        self.now_s = max(self.now_s, time_s)

    def _note(self) -> None:
        self.deadlines.append((self.now_s, self.watch.deadline_s))

    # ---- what is judged --------------------------------------------------------------------------

    def notified_s(self, change_s: float) -> float:
        """Return when a change counts as told at the latest."""
        waits_s = [
            p.started_s + p.hold_ms / MS_PER_S
            for p in self.polls
            if p.started_s <= change_s < p.started_s + p.hold_ms / MS_PER_S
        ]
        return max([change_s + 6.0, *(wait_s + 2.0 for wait_s in waits_s)])

    def known_s(self, change_s: float) -> float:
        """Return when a change is known."""
        return next((at_s for at_s, until_s in self.heard if until_s >= change_s), END_S)

    def stale(self) -> Iterator[tuple[float, float]]:
        """Yield the times in which the list is not used."""
        ends_s = [at_s for at_s, _ in self.deadlines[1:]] + [self.now_s]
        for (at_s, deadline_s), end_s in zip(self.deadlines, ends_s, strict=True):
            if deadline_s is not None and deadline_s + TRUST_S < end_s:
                yield max(at_s, deadline_s + TRUST_S), end_s

    def used_s(self, from_s: float, to_s: float) -> float:
        """Return for how long the list is used between two moments."""
        unused_s = sum(max(0.0, min(to_s, e) - max(from_s, b)) for b, e in self.stale())
        return to_s - from_s - unused_s


def simulate(
    delay_s: float, balancers: int, seed: int, changes: int, silent_s: float = math.inf
) -> SlowDiscovery:
    """Simulate a balancer with this many changes, of which some follow each other closely."""
    rng = random.Random(seed)
    changes_s: list[float] = []
    for _ in range(changes):
        at_s = rng.uniform(WARM_UP_S, END_S - 60.0)
        changes_s += [at_s, at_s + rng.uniform(0.0, 6.0), at_s + rng.uniform(0.0, 1.0)]
    watch = DiscoveryWatch(balancers, seed % balancers, random.Random(seed))
    balancer = SlowDiscovery(delay_s, watch, sorted(changes_s), silent_s)
    balancer.run()
    return balancer


# Case 10 of the second review: answers that came 2.6 s late were never heard.
@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_nothing_is_sent_by_a_list_that_lacks_a_change_in_force(
    balancers: int, delay_s: float
) -> None:
    for seed in range(20):
        balancer = simulate(delay_s, balancers, seed, changes=12)
        for change_s in balancer.changes_s:
            from_s = balancer.notified_s(change_s) + GRACE_S
            to_s = balancer.known_s(change_s)
            assert to_s < END_S
            if to_s > from_s:
                assert balancer.used_s(from_s, to_s) <= 0.01, (seed, change_s, from_s, to_s)


# A discovery that is slow and falls silent, too: its watch times out only after the deadline.
@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_nothing_is_sent_by_a_list_whose_slow_watch_has_fallen_silent(
    balancers: int, delay_s: float
) -> None:
    for seed in range(20):
        balancer = simulate(delay_s, balancers, seed, changes=0, silent_s=100.0 + seed)
        silent = next(
            poll
            for poll in balancer.polls
            if poll.kind is not PollKind.CHECK
            and poll.started_s + poll.hold_ms / MS_PER_S >= balancer.silent_s
        )
        deadline_s = silent.started_s + max(6.0, silent.hold_ms / MS_PER_S + 2.0)
        assert balancer.used_s(deadline_s + GRACE_S, END_S) <= 0.01


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("balancers", FLEET_SIZES)
def test_late_answers_do_not_cost_discovery_more_polls(balancers: int, delay_s: float) -> None:
    """Guards against a discovery that is late because it is crowded, and is polled the more."""

    def polls_per_s(late_s: float) -> float:
        balancer = simulate(late_s, balancers, 1, changes=0)
        assert balancer.most_calls <= discovery_watch.MAX_LATE_POLLS + 1
        count = sum(poll.started_s > WARM_UP_S for poll in balancer.polls)
        return count / (END_S - WARM_UP_S)

    assert polls_per_s(delay_s) <= 1.1 * polls_per_s(0.0)


@pytest.mark.parametrize(
    ("balancers", "delay_s", "least_share"),
    [(1, 2.6, 1.0), (6, 2.6, 1.0), (30, 2.6, 0.95), (200, 2.6, 0.95), (6, 4.1, 0.6), (6, 5.8, 0.4)],
)
def test_list_is_used_most_of_the_time(balancers: int, delay_s: float, least_share: float) -> None:
    """Guards against a slow discovery that stops all service, beyond the first late answer."""
    for seed in range(5):
        balancer = simulate(delay_s, balancers, seed, changes=0)
        share = balancer.used_s(WARM_UP_S, END_S) / (END_S - WARM_UP_S)
        assert share >= least_share


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_sole_poller_is_not_taken_for_silent(delay_s: float) -> None:
    """Guards against followers of its list that all poll for the full list themselves."""
    watch = DiscoveryWatch(200, 7, random.Random(1))
    watch.set_sole_poller(True)
    balancer = SlowDiscovery(delay_s, watch, [])
    balancer.run()
    answers_s = [at_s for at_s, _ in balancer.heard if at_s > WARM_UP_S]
    pauses_s = [later - at for at, later in itertools.pairwise(answers_s)]
    assert max(pauses_s) < endpoint_source.LEADER_TIMEOUT_NS / SECOND


def test_one_late_answer_stops_no_service_once_discovery_is_fast_again() -> None:
    """Guards against a doubt that outlasts its cause, as behind a partition of some seconds."""
    watch = DiscoveryWatch(6, 0, random.Random(1))
    watch.on_list_known()
    poll = watch.next_poll(0.0)
    watch.on_outcome(PollOutcome.TIMED_OUT, 4.0)
    watch.on_answer(poll, poll.hold_ms / MS_PER_S + 5.5)
    assert watch.deadline_s is not None
    now_s = poll.hold_ms / MS_PER_S + 5.6
    check = watch.next_poll(now_s)
    assert check.kind is PollKind.CHECK
    watch.on_outcome(PollOutcome.ANSWERED, now_s + 0.01)
    assert watch.deadline_s is None


def test_answer_to_an_older_poll_does_not_end_the_doubt_of_a_newer_one() -> None:
    """Guards against a silent watch that is forgotten because an earlier check is answered."""
    watch = DiscoveryWatch(6, 0, random.Random(1))
    watch.next_kind, watch.has_list = PollKind.CHECK, True
    check = watch.next_poll(0.0)
    watch.next_kind = PollKind.WATCH
    silent = watch.next_poll(1.0)
    watch.on_outcome(PollOutcome.TIMED_OUT, 7.0)
    watch.on_answer(check, 7.1)
    assert watch.deadline_s is not None
    watch.on_answer(silent, 7.2)
    assert watch.next_kind in (PollKind.WATCH, PollKind.CHECK)


# ---- real sockets, all times a tenth ------------------------------------------------------------

SCALED_S: Final = (
    "CHANGE_DEADLINE_S",
    "HOLD_DEADLINE_S",
    "ANSWER_GRACE_S",
    "CHECK_TIMEOUT_S",
    "RECHECK_TIMEOUT_S",
    "DELAY_MARGIN_S",
    "DEADLINE_MARGIN_S",
    "MAX_ANSWER_S",
    "MAX_RECOVERY_S",
    "MOVE_DEADLINE_S",
    "MAX_BACKOFF_S",
    "MIN_HOLD_MS",
    "MIN_MEAN_HOLD_MS",
    "CATCH_UP_HOLD_MS",
    "SPREAD_PER_BALANCER_MS",
    "MAX_MEAN_HOLD_MS",
)
SCALE: Final = 0.1
LATE_S: Final = 0.26
POLL_TIMEOUT_S: Final = 0.2


@pytest.fixture
def _scaled(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in SCALED_S:
        value = getattr(discovery_watch, name)
        monkeypatch.setattr(discovery_watch, name, type(value)(value * SCALE))
    monkeypatch.setattr(discovery_call, "MAX_ANSWER_S", discovery_watch.MAX_ANSWER_S)
    for module in (discovery, discovery_watch):
        monkeypatch.setattr(module, "POLL_TIMEOUT_S", POLL_TIMEOUT_S)


class LateDiscovery(FakeDiscovery):
    """A discovery whose answers are all late by one delay."""

    delay_s = 0.0

    async def _list_or_changes(self, message: Message) -> bytes | None:
        answer = await super()._list_or_changes(message)
        await asyncio.sleep(self.delay_s)
        return answer


def knows_removal(recorder: EventRecorder, name: str) -> bool:
    """Return whether the policy was told that an upstream has gone."""
    number = upstream_number(name)
    return any(
        number in [u.id for u in update.upstreams if u.state is not api.UpstreamState.READY]
        for update in recorder.of_type(api.EndpointsUpdated)
    )


# Case 10 of the second review: answers that came late, whatever was asked, were never heard.
@pytest.mark.usefixtures("_scaled")
@pytest.mark.parametrize("push", [True, False])
def test_drain_is_known_although_each_answer_is_late(push: bool, recorder: EventRecorder) -> None:
    async def test() -> None:
        settings = replace(SETTINGS, discovery_push=push)
        async with running_balancer(2, settings=settings) as harness:
            other = LateDiscovery([u.row() for u in harness.upstreams])
            other.delay_s = LATE_S
            await other.start()
            async with running_balancer(
                0, settings=settings, known=other.full_list(), discovery=other.address
            ):
                await other.until(lambda: len(other.received_requests) > 3)
                name = harness.upstreams[0].name
                other.change(harness.upstreams[0].row("Terminating"))
                async with asyncio.timeout(SCALE * 8.0):
                    await recorder.until(lambda: knows_removal(recorder, name))
            other.stop()

    run(test())


# The second review: a discovery that SIGHUP names was never heard if its lists came 2.2 s late.
@pytest.mark.usefixtures("_scaled")
@pytest.mark.parametrize("push", [True, False])
def test_list_of_another_address_is_known_although_it_is_late(
    push: bool, recorder: EventRecorder, frontends: list[Frontend]
) -> None:
    async def test() -> None:
        async with running_balancer(2, settings=replace(SETTINGS, discovery_push=push)) as harness:
            await harness.wait_for_endpoint_list()
            client = frontends[0].driver.discovery
            assert isinstance(client, discovery.Discovery)
            other = LateDiscovery([harness.upstreams[1].row()])
            other.delay_s = LATE_S
            await other.start()
            client.change_address(other.address)
            full = api.EndpointListKind.FULL
            async with asyncio.timeout(SCALE * 8.0):
                await recorder.until(
                    lambda: full in [e.kind for e in recorder.of_type(api.EndpointsUpdated)]
                )
            other.stop()

    run(test())
