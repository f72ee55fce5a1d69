"""The feed in virtual time: many seeds without a broken promise, and planted bugs that show."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest
from typer.testing import CliRunner

from loadbalancer.changefeed.fanout import FanoutLimits
from loadbalancer.cli.main import application
from loadbalancer.testbed.cluster.checks import Broken
from loadbalancer.testbed.feed.books import REFUSED, Book, History
from loadbalancer.testbed.feed.herd import Herd
from loadbalancer.testbed.feed.planted import PLANTS, catch, played
from loadbalancer.testbed.feed.sim import Options, play
from loadbalancer.testbed.topology import Unusable

SEEDS = 40
WITHIN = 12  # seeds, of those that the true program passes above, each bug shows


@pytest.mark.parametrize("spoil", [False, True])
def test_no_invariant_breaks_under_random_faults(spoil: bool) -> None:
    counts: Counter[str] = Counter()
    for seed in range(1, SEEDS + 1):
        outcome = play(seed, Options(spoil=spoil))
        assert not outcome.broken, f"seed {seed}, {outcome.broken}"
        counts += outcome.counts
    # The storms were some.
    for what in (
        "cuts",
        "killed",
        "restores",
        "stopped",
        "rescopes",
        "ReplicaBehind",
        "RetryLater",
        "loads past the log",
        "parts",
        "resumes",
        "snapshots",
        "of another generation",
        "refusals",
        "hung up: the",
    ):
        assert counts[what] > 3, what
    assert counts["spoilt"] > 50 if spoil else not counts["mended"]
    assert counts["mended"] > 50 if spoil else not counts["spoilt"]
    assert counts["encoded"] < counts["Patch"] / 5


def test_a_run_is_reproduced_by_its_seed() -> None:
    assert play(17) == play(17) != play(18)


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_a_seeded_bug_is_caught(name: str) -> None:
    found = catch(name, WITHIN)
    assert found is not None
    assert played(name, found.seed) == found and not play(found.seed).broken


def test_the_command_runs_seeds_and_seeded_bugs() -> None:
    def said(*words: str) -> tuple[int, str]:
        result = CliRunner().invoke(
            application(["lab"]), ["lab", "feed-sim", "--seconds", "5", *words]
        )
        return result.exit_code, result.output

    assert said("--seeds", "2")[1].startswith("2 seeds, 0 broken; ")
    code, text = said("--seeds", "1", "--planted", "cursor-before-last-part")
    assert code == 1 and "seed 1, at " in text and "1 seeds, 1 broken" in text
    code, text = said("--seeds", "4", "--planted", "all")
    assert "cursor-before-last-part: seed 1" in text and text.count(": ") >= len(PLANTS)
    result = CliRunner().invoke(application(["lab"]), ["lab", "feed-sim", "--planted", "none"])
    assert isinstance(result.exception, Unusable)


# ---- the books themselves ------------------------------------------------------------------------


def history() -> History:
    made = History("e", 1, {}, {})
    made.write(2, [("global", "k/x", b"a"), ("global", "k/y", b"a")])
    made.write(4, [("global", "k/x", None), ("service:a", "k/x", b"a")])
    made.write(5, [("global", "k/x", REFUSED)])
    return made


def test_the_history_knows_each_revision() -> None:
    made = history()
    assert [sorted(made.rows("global", at)) for at in range(1, 6)] == [
        [],
        ["k/x", "k/y"],
        ["k/x", "k/y"],
        ["k/y"],
        ["k/x", "k/y"],
    ]
    assert made.rows("global", 5)["k/x"].version == 3
    assert [made.changed("global", at) for at in range(1, 6)] == [0, 2, 2, 4, 5]
    assert made.rows("service:b", 5) == {} and made.changed("service:b", 5) == 0


def test_the_checker_finds_impossible_states() -> None:
    made = history()
    book = Book("b", old=False)
    book.wanted(["global"], [])

    def whole(at: int) -> None:
        book.applied(made, "global", True, tuple(made.rows("global", at).values()), at)

    whole(4)
    x, y = made.rows("global", 2).values()
    wrong: dict[str, Callable[[], None]] = {
        "dropped": lambda: book.applied(made, "service:a", True, (), 5),
        "back in time": lambda: whole(2),
        "future": lambda: whole(6),
        "whole": lambda: book.applied(made, "global", True, (y, y), 5),
        "rows": lambda: book.applied(made, "global", False, (x,), 5),
        "epoch": lambda: book.applied(History("f", 1, {}, {}), "global", False, (), 1),
        "reached": lambda: book.reached(made, "global", 99),
    }
    for name, call in wrong.items():
        book.views["global"].epoch, book.views["global"].revision = "e", 4
        with pytest.raises(Broken) as broken:
            call()
        assert broken.value.name == name
    whole(5)
    book.reached(made, "global", 99)
    # An older program has the last that it could take, or none; not one that it can't.
    old = Book("old", old=True)
    old.wanted(["global"], [])
    old.applied(made, "global", True, (y,), 5)
    old.applied(made, "global", True, (x, y), 5)
    with pytest.raises(Broken, match="rows"):
        old.applied(made, "global", True, tuple(made.rows("global", 5).values()), 5)
    with pytest.raises(Broken, match="rows"):
        old.applied(made, "global", True, (), 5)


# ---- many at once --------------------------------------------------------------------------------


def test_many_balancers_start_soon_and_fail_over_without_a_snapshot() -> None:
    limits = FanoutLimits(snapshot_bytes_s=200_000, snapshot_burst=20_000, waiting_most=4)
    herd = Herd(1, 3, 120, 5, limits, kinds=(("upstream", 2_000, 110),), services=50)
    started = herd.start()
    assert started["current"] == 120 and started["later"] > 50 and started["mended"] == 0
    assert started["snapshots"] == 120 * 6 and started["s_90"] < 10
    assert started["encoded"] <= 3 * 51
    # Not sooner than the pace allows.
    assert started["s_100"] > started["sent_bytes"] / 3 / 200_000 * 0.7
    moved = herd.node_dies()
    assert moved["current"] == moved["members"] > 20
    assert moved["snapshots"] == moved["later"] == moved["mended"] == 0 and moved["s_100"] < 1
