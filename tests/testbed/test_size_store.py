"""What is measured of the store's nodes: each part runs, at sizes of a few, and counts what it says
it counts. How fast anything is, is not looked at.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from loadbalancer.cli import sizestore
from loadbalancer.cli.main import application
from loadbalancer.store.commands import Op
from loadbalancer.store.durable import sessions as stored_sessions
from loadbalancer.testbed.size import keepers, process, sessions, storecommits, storefeed, storenode
from loadbalancer.testbed.size.crowd import Crowd
from loadbalancer.testbed.size.process import Meter
from loadbalancer.testbed.size.series import Series
from loadbalancer.testbed.size.storefeed import Audience
from tests.fakes import run
from tests.store.test_node import cluster


def sized(found: Sequence[Series], sizes: Sequence[float]) -> dict[str, list[float]]:
    """The figures by name, each measured at these sizes."""
    for one in found:
        assert [x for x, _ in one.points] == list(sizes), one.name
    return {one.name: [y for _, y in one.points] for one in found}


def test_a_process_is_measured_by_its_own_use() -> None:
    meter = Meter(os.getpid())
    while meter.cpu_s < 0.02:
        pass
    assert 0.02 <= meter.cpu_s <= meter.took_s + 0.1
    assert process.memory_mb(os.getpid()) > 1.0
    before = process.written_bytes(os.getpid())
    with open(os.devnull, "wb") as null:
        null.write(b"x" * 4096)
    assert process.written_bytes(os.getpid()) - before >= 4096


def test_a_crowd_hears_each_change_and_knows_when_the_last_has(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as c:
            client = c.client()
            crowd = Crowd(c.settings[0].advertise, "rows/")
            await crowd.grow(3, (await client.get("rows/a")).revision)
            crowd.expect(2)
            await client.put("rows/a", b"1")
            await client.put("elsewhere/a", b"1")
            assert not crowd.all_heard.is_set()
            await client.put("rows/b", b"2")
            assert await crowd.last(0.0) > 0
            assert crowd.heard == 6 and crowd.kinds == {"rows": 6}
            await crowd.grow(4, (await client.get("rows/a")).revision)
            crowd.expect()
            await client.put("rows/a", b"3")
            await crowd.last(0.0)
            assert crowd.heard == 10 and [w.kinds["rows"] for w in crowd.all] == [3, 3, 3, 1]
            await crowd.close()

    run(test())


def test_watchers_of_a_real_node_are_told_alike(tmp_path: Path) -> None:
    async def test() -> None:
        found = sized(await storenode.watch(tmp_path / "watch", (2, 4), 2, 0.1, print), (2, 4))
        two, four = found["store.watch.change_bytes"]
        assert two > 200 and four == 2 * two
        assert min(found["store.watch.last_delay"] + found["store.watch.memory"]) > 0
        one = sized(await storenode.elsewhere(tmp_path / "elsewhere", (2, 4), 5, print), (2, 4))
        assert list(one) == ["store.watch.elsewhere_cpu"]

    run(test())


def test_rows_of_a_real_node_are_all_there_and_take_room(tmp_path: Path) -> None:
    async def test() -> None:
        found = sized(await storenode.rows(tmp_path, (300, 3000), print), (300, 3000))
        for name in ("store.rows.disk", "store.rows.export_size", "store.rows.put_cpu"):
            few, many = found[name]
            assert 0 < few < many, name
        assert min(found["store.rows.scan_cpu"] + found["store.rows.export_cpu"]) > 0

    run(test())


def test_commits_and_renewals_of_three_real_nodes(tmp_path: Path) -> None:
    async def test() -> None:
        found = await storecommits.commits(
            tmp_path / "commits", (1, 8), (100, 800), (1, 3), 0.2, print
        )
        for group, sizes in ((found[:4], (1, 8)), (found[4:8], (100, 800)), (found[8:], (1, 3))):
            figures = sized(group, sizes)
            assert len(figures) == 4 and min(y for ys in figures.values() for y in ys) > 0
        assert [one.line for one in found] == [True] * 8 + [False] * 4
        names = sized(await storecommits.claims(tmp_path / "claims", (3, 9), 0.2, print), (3, 9))
        assert min(y for ys in names.values() for y in ys) > 0

    run(test())


def test_a_node_that_missed_more_than_the_log_keeps_takes_a_snapshot(tmp_path: Path) -> None:
    async def test() -> None:
        limits = 'keep = 10\nlog = "64KiB"\n'
        found = await storecommits.catch_up(tmp_path, (10, 20), (5, 1500), print, limits)
        assert all(
            y > 0 for y in sized([f for f in found if f.per == "rows"], (10, 20)).popitem()[1]
        )
        missed = sized([f for f in found if f.per == "commits missed"], (5, 1500))
        few, many = missed["store.catchup.cut_snapshots"]
        assert few == 0 and many >= 1

    run(test())


def test_balancers_at_rest_hold_their_names_and_are_counted(tmp_path: Path) -> None:
    heard: list[str] = []

    async def test() -> None:
        for apart in (False, True):
            found = await keepers.at_rest(
                tmp_path, sizestore.keeper, (2,), apart, 5.5, heard.append, 0.0
            )
            figures = {name: ys[0] for name, ys in sized(found, (2,)).items()}
            # What was learnt is put each 5 s, sites' rows more often; the rest of the commits are
            # renewals.
            name = "store.rest.apart" if apart else "store.rest.together"
            assert figures[f"{name}_learnt"] > 0 and figures[f"{name}_site"] > 0
            assert figures[f"{name}_learnt"] + figures[f"{name}_site"] <= figures[f"{name}_changes"]
            assert figures[f"{name}_commits"] > figures[f"{name}_changes"]

    run(test())
    assert [line.split(" names held")[0].split(": ")[1] for line in heard] == ["2", "2"]


def test_one_balancer_more_than_sessions_are_kept_and_no_write_finds_its_own(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stored_sessions, "MAX_SESSIONS", 20)
    found = sessions.sessions(tmp_path, (19, 20, 21), print)
    assert [y for _, y in found[0].points] == [0.0, 0.0, 1.0]


def test_an_audience_hears_each_change_once_and_knows_when_it_has_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as c:
            client = c.client()
            await storefeed.takes_rows(client)
            revision = await storefeed.fill_rows(client, 0, 40)
            audience = Audience(c.settings[0].advertise)
            await audience.grow(3, 0, lambda number: storefeed.carried(number, 5))
            snapshots = audience.bytes
            assert audience.heard == 15  # a whole one of each scope
            audience.expect()
            await client.write_rows([Op("feed/global/setting/x", b"1")])
            await audience.last(0.0)
            assert audience.heard == 18
            await audience.grow(4, revision, lambda number: [storefeed.SHARED])
            assert audience.heard == 19  # what changed since
            await audience.close()
            assert not audience.all
            await audience.grow(
                3,
                (await client.get("feed/global/setting/x")).revision,
                lambda number: storefeed.carried(number, 5),
            )
            assert audience.heard == 19 and audience.bytes < snapshots
            await audience.close()

    run(test())


def test_who_is_put_off_comes_again(tmp_path: Path) -> None:
    scopes = [f"service:s{n}" for n in range(10)]

    async def test() -> None:
        async with cluster(tmp_path, 1, extra="[feed]\nwaiting = 1\n") as c:
            client = c.client()
            await storefeed.takes_rows(client)
            for scope in scopes:  # 1.6 MB, and 1 MiB goes out at once; a patch comes in two parts
                await client.write_rows(
                    [Op(f"feed/{scope}/upstream/u{n}", b"r" * 4000) for n in range(40)]
                )
            audience = Audience(c.settings[0].advertise)
            await audience.grow(5, 0, lambda number: scopes)
            assert audience.later > 0
            assert audience.heard == 50 and all(s.bytes > 1_600_000 for s in audience.all)
            await audience.close()

    run(test())


def test_a_real_node_tells_its_feed_beside_a_watch(tmp_path: Path) -> None:
    async def test() -> None:
        found = await storefeed.hearing(tmp_path, (2, 4), 2, 0.1, 0.1, 300, print)
        feed = sized([one for one in found if one.per == "subscribers"], (2, 4))
        watch = sized([one for one in found if one.per == "watchers"], (2, 4))
        for two, four in (feed["feed.change_bytes"], watch["store.watch.change_bytes"]):
            assert two > 200 and four == 2 * two
        assert min(feed["feed.last_delay"]) > 0

    run(test())


def test_rows_that_a_real_node_holds_for_its_feed_and_who_comes_back_to_them(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        held = sized(await storefeed.held_rows(tmp_path / "held", (300, 2000), print), (300, 2000))
        assert held["feed.row_put_cpu"][0] < held["feed.row_put_cpu"][1]
        found = await storefeed.returning(tmp_path / "return", (2, 4), (3, 30), 3000, print)
        back = sized([one for one in found if one.per == "subscribers"], (2, 4))
        assert all(y == 0 for y in back["feed.resume_later"])
        for size in (0, 1):
            assert 0 < back["feed.resume_bytes"][size] < back["feed.snapshot_bytes"][size]
        scopes = sized([one for one in found if one.per == "scopes"], (3, 30))
        few, many = scopes["feed.scopes_snapshot_bytes"]
        assert few < many

    run(test())


def lab(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(application(["lab"]), ["lab", "size", "store", *words])
    return result.exit_code, str(result.exception) if result.exception else result.output


def test_the_command_gives_a_table_json_and_a_plot(tmp_path: Path) -> None:
    path, plot = tmp_path / "found.json", tmp_path / "found.png"
    status, said = lab(
        "--parts", "rows,sessions", "--small", "--json", str(path), "--plot", str(plot)
    )
    assert status == 0 and "store.rows" in said, said
    found = msgspec.json.decode(path.read_bytes())
    assert {"store.rows.disk", "store.rows.memory"} <= {s["name"] for s in found["slopes"]}
    assert found["figures"]["store.sessions.expired, of writes at 5 balancers"] == 0
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_what_the_command_does_not_do_is_said_in_one_line(tmp_path: Path) -> None:
    status, said = lab("--parts", "rows,weather")
    assert status == 1 and said.startswith("--parts: 'weather' is none of ")
    status, said = lab("--small", "--record", str(tmp_path / "slopes.json"))
    assert status == 1 and said.startswith("--record: not with --small")
    assert not (tmp_path / "slopes.json").exists()
