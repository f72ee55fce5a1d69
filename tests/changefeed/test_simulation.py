"""Simulation of the changefeed in virtual time, with random faults and seeded bugs."""

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

SEED_COUNT = 40
MAX_SEEDS_PER_BUG = 12  # each seeded bug must break an invariant within this many seeds


@pytest.mark.parametrize("corrupt_rows", [False, True])
def test_no_invariant_breaks_under_random_faults(corrupt_rows: bool) -> None:
    """Each kind of fault must occur in some run; otherwise the test would not cover it.

    With `corrupt_rows`, table rows are corrupted and the digests must repair them.
    """
    counts: Counter[str] = Counter()
    for seed in range(1, SEED_COUNT + 1):
        outcome = play(seed, Options(spoil=corrupt_rows))
        assert not outcome.broken, f"seed {seed}, {outcome.broken}"
        counts += outcome.counts
    # Each kind of fault and recovery occurred.
    for counter in (
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
        assert counts[counter] > 3, counter
    assert counts["spoilt"] > 50 if corrupt_rows else not counts["mended"]
    assert counts["mended"] > 50 if corrupt_rows else not counts["spoilt"]
    assert counts["encoded"] < counts["Patch"] / 5


def test_a_run_is_reproduced_by_its_seed() -> None:
    """The same seed gives the same outcome, another seed a different one."""
    assert play(17) == play(17) != play(18)


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_a_planted_bug_is_caught(name: str) -> None:
    """Each seeded bug breaks an invariant in one of the first seeds, reproducibly."""
    failing_outcome = catch(name, MAX_SEEDS_PER_BUG)
    assert failing_outcome is not None
    assert (
        played(name, failing_outcome.seed) == failing_outcome
        and not play(failing_outcome.seed).broken
    )


def test_feed_sim_command_runs_seeds_and_seeded_bugs() -> None:
    """`lab feed-sim` prints and returns what its seeds and seeded bugs did."""

    def run_command(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(
            application(["lab"]), ["lab", "feed-sim", "--seconds", "5", *arguments]
        )
        return result.exit_code, result.output

    assert run_command("--seeds", "2")[1].startswith("2 seeds, 0 broken; ")
    code, text = run_command("--seeds", "1", "--planted", "cursor-before-last-part")
    assert code == 1 and "seed 1, at " in text and "1 seeds, 1 broken" in text
    code, text = run_command("--seeds", "4", "--planted", "all")
    assert "cursor-before-last-part: seed 1" in text and text.count(": ") >= len(PLANTS)
    result = CliRunner().invoke(application(["lab"]), ["lab", "feed-sim", "--planted", "none"])
    assert isinstance(result.exception, Unusable)


# ---- Reference history and checker ---------------------------------------------------------------


def build_history() -> History:
    """Return a history of revisions 2 to 5.

    Revision 2 writes two rows, 4 deletes one of them and writes a row of another scope, and 5
    writes a row that older programs refuse.
    """
    store_history = History("e", 1, {}, {})
    store_history.write(2, [("global", "k/x", b"a"), ("global", "k/y", b"a")])
    store_history.write(4, [("global", "k/x", None), ("service:a", "k/x", b"a")])
    store_history.write(5, [("global", "k/x", REFUSED)])
    return store_history


def test_history_returns_the_rows_and_last_change_of_each_revision() -> None:
    """The history returns rows and the last change for revisions without a change too."""
    store_history = build_history()
    assert [sorted(store_history.rows("global", at)) for at in range(1, 6)] == [
        [],
        ["k/x", "k/y"],
        ["k/x", "k/y"],
        ["k/y"],
        ["k/x", "k/y"],
    ]
    assert store_history.rows("global", 5)["k/x"].version == 3
    assert [store_history.changed("global", at) for at in range(1, 6)] == [0, 2, 2, 4, 5]
    assert store_history.rows("service:b", 5) == {} and store_history.changed("service:b", 5) == 0


def test_the_checker_rejects_impossible_states() -> None:
    """Each invalid update fails the check under whose name it is listed; valid updates pass."""
    store_history = build_history()
    book = Book("b", old=False)
    book.wanted(["global"], [])

    def apply_snapshot(at: int) -> None:
        book.applied(
            store_history, "global", True, tuple(store_history.rows("global", at).values()), at
        )

    apply_snapshot(4)
    x, y = store_history.rows("global", 2).values()
    invalid_updates: dict[str, Callable[[], None]] = {
        "dropped": lambda: book.applied(store_history, "service:a", True, (), 5),
        "back in time": lambda: apply_snapshot(2),
        "future": lambda: apply_snapshot(6),
        "whole": lambda: book.applied(store_history, "global", True, (y, y), 5),
        "rows": lambda: book.applied(store_history, "global", False, (x,), 5),
        "epoch": lambda: book.applied(History("f", 1, {}, {}), "global", False, (), 1),
        "reached": lambda: book.reached(store_history, "global", 99),
    }
    for name, update in invalid_updates.items():
        book.views["global"].epoch, book.views["global"].revision = "e", 4
        with pytest.raises(Broken) as broken:
            update()
        assert broken.value.name == name
    apply_snapshot(5)
    book.reached(store_history, "global", 99)
    # An older program refuses some row versions. Its table keeps the last accepted version of such
    # a row, or no row, but never the refused version.
    old = Book("old", old=True)
    old.wanted(["global"], [])
    old.applied(store_history, "global", True, (y,), 5)
    old.applied(store_history, "global", True, (x, y), 5)
    with pytest.raises(Broken, match="rows"):
        old.applied(
            store_history, "global", True, tuple(store_history.rows("global", 5).values()), 5
        )
    with pytest.raises(Broken, match="rows"):
        old.applied(store_history, "global", True, (), 5)


# ---- Many balancers at once ----------------------------------------------------------------------


def test_120_balancers_start_within_the_snapshot_rate_and_fail_over_without_snapshots() -> None:
    """All balancers start at once and need six snapshots each; then one of three nodes fails."""
    limits = FanoutLimits(snapshot_bytes_s=200_000, snapshot_burst=20_000, waiting_most=4)
    herd = Herd(1, 3, 120, 5, limits, kinds=(("upstream", 2_000, 110),), services=50)
    startup_stats = herd.start()
    assert (
        startup_stats["current"] == 120
        and startup_stats["later"] > 50
        and startup_stats["mended"] == 0
    )
    assert startup_stats["snapshots"] == 120 * 6 and startup_stats["s_90"] < 10
    assert startup_stats["encoded"] <= 3 * 51
    # Startup takes at least 70 % of the time that the three nodes need at their rate limit; bursts
    # may save the rest.
    assert startup_stats["s_100"] > startup_stats["sent_bytes"] / 3 / 200_000 * 0.7
    failover_stats = herd.node_dies()
    assert failover_stats["current"] == failover_stats["members"] > 20
    assert (
        failover_stats["snapshots"] == failover_stats["later"] == failover_stats["mended"] == 0
        and failover_stats["s_100"] < 1
    )
