"""Whole clusters in virtual time: hundreds of seeds without a broken property, and seeded bugs
that show.
"""

from __future__ import annotations

import os

import pytest

from loadbalancer.testbed.cluster import campaign
from loadbalancer.testbed.cluster.linear import FOREVER, Operation, check
from loadbalancer.testbed.cluster.plans import disturbed, early_read, figure_8, play, two_majorities
from loadbalancer.testbed.cluster.planted import PLANTS, played

SEEDS = 160
# The seed that showed it; `loadbalancer lab store-sim --planted NAME --seeds 1 --first SEED` plays
# it again.
CAUGHT = {
    "vote-without-sync": 3,
    "ack-without-sync": 1,
    "lying-disk": 1,
    "no-pre-vote": 1,
    "small-quorum": 1,
    "two-votes": 20,
    "old-term-by-count": 1,
    "read-without-quorum": 10,
    "read-too-early": 1,
    "many-members": 1,
    "forgets-log": 3,
    "hasty-members": 1,
}


def test_no_property_breaks_in_hundreds_of_storms() -> None:
    workers = max(1, min(6, len(os.sched_getaffinity(0)) - 1))
    found = campaign.run(range(1, SEEDS + 1), workers)
    assert [
        f"seed {o.seed}: {o.broken}; loadbalancer lab store-sim --seeds 1 --first {o.seed}"
        for o in found.broken
    ] == []
    counts = found.counts
    assert found.played == SEEDS
    # The storms were some.
    for what in (
        "power lost",
        "kills",
        "partitions",
        "cuts",
        "snapshots taken",
        "full disk",
        "flips",
        "lost",
    ):
        assert counts[what] > 3, what
    assert counts["damaged"] == counts["flips"]
    assert counts["operations"] > 200 * SEEDS


def test_a_seed_decides_the_run() -> None:
    assert play(17) == play(17) != play(18)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_figure_8_and_a_returning_node_break_no_property(seed: int) -> None:
    for steered in (figure_8, disturbed, two_majorities, early_read):
        assert not steered(seed).broken


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_a_seeded_bug_is_caught(name: str) -> None:
    assert played(name, CAUGHT[name]).broken


# ---- the checker itself --------------------------------------------------------------------------


def put(
    value: str, called: int, returned: int, seen: object, version: int = -1, place: int = 0
) -> Operation:
    return Operation(1, 0, ((place, value, version),), called, returned, seen)  # type: ignore[arg-type]


def read(called: int, returned: int, *seen: tuple[int, str | None]) -> Operation:
    return Operation(2, 0, (), called, returned, seen)


@pytest.mark.parametrize(
    ("ops", "good"),
    [
        ([put("a", 0, 10, (1,)), read(2, 4, (0, None)), read(5, 8, (1, "a"))], True),
        (
            [put("a", 0, 10, (1,)), read(2, 4, (1, "a")), read(5, 8, (0, None))],
            False,
        ),  # back in time
        ([put("a", 0, 3, (1,)), read(4, 5, (0, None))], False),  # stale
        (
            [put("a", 0, FOREVER, None), read(4, 5, (0, None)), read(6, 7, (1, "a"))],
            True,
        ),  # it came late
        ([put("a", 0, FOREVER, None), read(4, 5, (1, "a")), read(6, 7, (0, None))], False),
        ([put("a", 0, 1, (1,)), put("b", 2, 3, "conflict", 0)], True),
        ([put("a", 0, 1, (1,)), put("b", 2, 3, "conflict", 1)], False),
        ([put("a", 0, 1, (1,)), put("b", 2, 3, (3,))], False),  # made twice
        ([put("a", 0, 9, (1,)), put("b", 0, 9, (2,)), read(10, 11, (1, "a"))], False),
        ([put("a", 0, 9, (2,)), put("b", 0, 9, (1,)), read(10, 11, (2, "a"))], True),
    ],
)
def test_the_checker_knows_what_one_store_could_have_answered(
    ops: list[Operation], good: bool
) -> None:
    assert check(ops, 1).linearizable is good


def test_half_of_a_write_that_spans_two_keys_is_seen() -> None:
    both = Operation(1, 0, ((0, "a", -1), (1, "a", -1)), 0, 9, (1, 1))
    assert check([both, read(3, 4, (1, "a"), (1, "a"))], 2).linearizable
    assert not check([both, read(3, 4, (1, "a"), (0, None))], 2).linearizable
