"""The model's boxes, box list and clients, checked by books of their own."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.policy.api import UpstreamState
from loadbalancer.testbed import topology
from loadbalancer.testbed.ledger import Answer
from loadbalancer.testbed.model.box import Box, Job, KeyMemory, Nature, Verdict
from loadbalancer.testbed.model.registry import Entry, Registry
from loadbalancer.testbed.model.workload import Workload
from loadbalancer.testbed.topology import Discovery, Rules
from loadbalancer.units import Duration, Times

MS = 1_000_000
SECOND = 1000 * MS
NEVER = 1 << 60


def nature(**changes: object) -> Nature:
    base: dict[str, object] = {
        "machine": "m",
        "cores": 2,
        "speed": 1.0,
        "queue": 4,
        "crowd_slows": 0.0,
        "crowd_at": 99,
        "choke_at": 99,
        "choke_after_ns": SECOND,
        "choke": 3.0,
        "choke_rest_ns": 2 * SECOND,
        "choke_most_ns": 20 * SECOND,
        "slow_start_capacity": 0.5,
        "slow_start_ns": 4 * SECOND,
        "errors": 0.0,
        "key_gain": 0.5,
        "handshake_work": 0.0,
        "probe_work": 0.0,
        "report_every_ns": SECOND,
        "report_late_ns": 0,
        "report_noise": 0.0,
    }
    return Nature(**{**base, **changes})  # type: ignore[arg-type]


class Books:
    """A box, and everything that became of what it was offered."""

    def __init__(self, **changes: object) -> None:
        self.box = Box(0, nature(**changes), Rules(), KeyMemory(SECOND, 4), random.Random(1))
        self.ended: dict[str, tuple[Verdict, int]] = {}
        self.began: list[str] = []
        self.box.began = lambda job, now: self.began.append(job.ticket)
        self.fell: list[dict[int, float]] = []
        self.box.fell = lambda now, work: self.fell.append(work)

    def offer(
        self,
        ticket: str,
        now: int,
        work_ms: float = 100,
        deadline: int = NEVER,
        key: str = "",
        owner: int = 0,
    ) -> Job:
        def end(job: Job, verdict: Verdict, at: int) -> None:
            assert job.ticket not in self.ended, "a job ends once"
            self.ended[job.ticket] = (verdict, at)

        job = Job(ticket, owner, work_ms * MS, key, deadline, end)
        self.box.offer(job, now)
        return job


def test_a_full_box_turns_away_what_never_runs() -> None:
    b = Books()
    for i in range(8):
        b.offer(f"j{i}", SECOND)
    assert [t for t, (v, _) in b.ended.items() if v is Verdict.TURNED_AWAY] == ["j6", "j7"]
    b.box.advance(2 * SECOND)
    assert [at for _, at in list(b.ended.values())[2:]] == [
        SECOND + n * 100 * MS for n in (1, 1, 2, 2, 3, 3)
    ]
    assert set(b.began) == {f"j{i}" for i in range(6)}


def test_work_that_is_given_up_stops_and_makes_room() -> None:
    b = Books(cores=1, queue=1)
    first, second = b.offer("a", 0, 1000), b.offer("b", 0, 1000)
    b.box.stop(first, 100 * MS)
    assert b.began == ["a", "b"]
    b.box.stop(second, 200 * MS)
    b.box.advance(SECOND)
    assert (
        not b.ended and b.box.held == 0 and b.box.counts.wasted == pytest.approx(200 * MS, rel=0.01)
    )


def test_what_is_overdue_before_it_begins_never_runs() -> None:
    b = Books(cores=1)
    b.offer("a", 0, 100)
    b.offer("b", 0, 100, deadline=50 * MS)
    b.box.advance(SECOND)
    assert b.ended["b"] == (Verdict.EXPIRED, 100 * MS) and b.began == ["a"]


def test_a_crowd_turns_a_box_slow_until_it_has_rested() -> None:
    b = Books(choke_at=3, queue=50)
    for i in range(30):
        b.offer(f"j{i}", 0, 200)
    b.box.advance(SECOND - 1)
    assert b.box.choked_since < 0
    b.box.advance(SECOND)
    assert b.box.choked_since == SECOND
    # Ten were done in the first second; twenty more of 200 ms, at a third of the speed, on two
    # cores.
    b.box.advance(20 * SECOND)
    assert max(at for _, at in b.ended.values()) == pytest.approx(SECOND + 6 * SECOND, rel=0.01)
    assert b.box.choked_since < 0  # rested for two seconds since


def test_keys_are_remembered_for_a_while_and_only_so_many() -> None:
    memory = KeyMemory(SECOND, 2)
    assert [memory.meet(k, at) for k, at in (("a", 0), ("a", 1), ("b", 2), ("c", 3), ("a", 4))] == [
        False,
        True,
        False,
        False,
        False,
    ]
    assert not memory.meet("c", 3 * SECOND)


def test_a_cold_box_warms_up_no_slower_than_told() -> None:
    b = Books()
    b.box.start(SECOND)
    assert b.box.coldness() == 0.5
    b.box.advance(3 * SECOND)
    b.offer("late", 3 * SECOND)
    assert 0.74 <= b.box.coldness() <= 0.76
    b.box.advance(6 * SECOND)
    b.offer("later", 6 * SECOND)
    assert b.box.coldness() == 1.0


def test_a_cold_box_is_pushed_over_by_more_than_its_budget() -> None:
    b = Books()
    b.box.start(SECOND)
    # Half of 2 cores, three times over 1.5 s: 4.5 s of work, and two jobs of slack.
    for i in range(60):
        b.offer(f"j{i}", SECOND + i, 100, owner=i % 3)
        if b.fell:
            break
    assert 44 <= i <= 48 and set(b.fell[0]) == {0, 1, 2} and not b.box.up


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.integers(1, 300), st.integers(0, 3), st.booleans()),
        min_size=1,
        max_size=60,
    ),
    st.booleans(),
)
def test_every_job_ends_once_and_no_box_does_more_than_it_can(
    rows: list[tuple[int, int, int, bool]], chokes: bool
) -> None:
    b = Books(choke_at=3 if chokes else 99)
    now, stopped, jobs = 0, set(), []
    for i, (gap, work, key, stop) in enumerate(rows):
        now += gap * MS
        jobs.append(b.offer(f"j{i}", now, work, key=f"k{key}"))
        if stop and jobs[i // 2].over is False:
            b.box.stop(jobs[i // 2], now)
            stopped.add(f"j{i // 2}")
    end = now + 60 * SECOND
    b.box.advance(end)
    assert set(b.ended) | stopped == {f"j{i}" for i in range(len(rows))}
    assert not set(b.ended) & stopped and b.box.held == 0
    assert b.box.counts.work_done <= b.box.nature.cores * end * (1 + 1e-9)
    served = [t for t, (v, _) in b.ended.items() if v is Verdict.SERVED]
    assert set(served) <= set(b.began) and len(b.began) == len(set(b.began))


def test_the_box_list_is_late_and_calls_wait_in_turn() -> None:
    entry = Entry(0, 7, "z", "m", 0, UpstreamState.READY, 0)
    registry = Registry(
        Discovery(
            notice=Times(SECOND, SECOND), service=Duration(100 * MS), patience=Duration(250 * MS)
        ),
        [entry],
        random.Random(1),
    )
    registry.note(entry._replace(state=UpstreamState.REMOVED), 0)
    assert (
        not registry.advance(SECOND - 1)
        and registry.advance(SECOND)[0].state is UpstreamState.REMOVED
    )
    assert registry.version == 2 and registry.since(1) == [
        entry._replace(state=UpstreamState.REMOVED)
    ]
    assert registry.since(0) is None and registry.since(2) == [] and not registry.entries
    assert [registry.call(0) for _ in range(4)] == [
        (100 * MS, True),
        (200 * MS, True),
        (300 * MS, True),
        (250 * MS, False),
    ]


def test_clients_keep_to_their_rate_whoever_answers_and_repeat_only_what_they_may() -> None:
    t = topology.load("quiet", ["length='40s'", "clients.load=0.0", "clients.rate='500/s'"])
    work = Workload(t, "3/clients/0", 18.0, SECOND)
    wants = list(work.wants(41 * SECOND))
    assert 0.95 < len(wants) / 20_000 < 1.05
    share = sum(w.cls.name == "lookup" for w in wants) / len(wants)
    assert abs(share - 0.61) < 0.02
    booking = next(c for c in t.classes if c.name == "book-delivery")
    lookup = next(c for c in t.classes if c.name == "lookup")
    again = {
        answer: [
            work.again_at(cls, 0, 1, answer, 0, 10 * MS) is not None for cls in (lookup, booking)
        ]
        for answer in Answer
    }
    assert again == {
        Answer.SERVED: [False, False],
        Answer.REFUSED: [True, True],
        Answer.FAILED: [True, False],
        Answer.NONE: [True, False],
        Answer.UNREACHED: [True, True],
    }
    assert (
        work.again_at(lookup, 0, 1, Answer.FAILED, 0, 495 * MS) is None
    )  # too little time is left
