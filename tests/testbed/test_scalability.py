"""The hollow fleet: the world that it is drawn from, its figures, and a small one of real
processes.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from typer.testing import CliRunner

from loadbalancer.cli.hollow import MODULE, Written
from loadbalancer.cli.main import application
from loadbalancer.store.commands import Op
from loadbalancer.testbed.rig.relay import Relay
from loadbalancer.testbed.size import world as worlds
from loadbalancer.testbed.size.figures import Marks, gained, in_force, traffic, worst_minute
from loadbalancer.testbed.size.fleet import Fleet, Plan
from loadbalancer.testbed.size.hollow import Hollow, Told, seal
from loadbalancer.testbed.size.page import page
from loadbalancer.testbed.size.phases import FAULTS, PHASES, Run, Times, play
from loadbalancer.testbed.size.world import LEAST, Shape, World, carriers, draw
from loadbalancer.testbed.size.writer import OPS, Change, endpoint, packs
from loadbalancer.testbed.topology import Unusable

S = 1_000_000_000
PLANNED = Shape()
SMALL = Shape(balancers=12, upstreams=60, services=8, routes=12, tenants=30, regions=2, zones=4)
QUICK = Times(quiet=0.1, usual=0.6, release=1.0, cut=0.6, patience=20.0, dense=3000.0)


@pytest.fixture(scope="module")
def planned() -> World:
    return draw(PLANNED, 1)


# ---- the world -----------------------------------------------------------------------------------


def test_a_world_of_the_planned_size_has_all_that_was_asked_for(planned: World) -> None:
    services = planned.services
    assert sum(s.size for s in services) == len(planned.upstreams) == 44_000
    assert (len(services), len(planned.balancers)) == (2900, 2900)
    assert sum(s.routes for s in services) == 9900 and sum(s.tenants for s in services) == 73_000
    assert 2000 < services[0].size < 10_000, "the largest hold thousands"
    assert Counter(u.service for u in planned.upstreams) == {s.number: s.size for s in services}
    assert max(b.load for b in planned.balancers) < 1.2 * PLANNED.requests_s / PLANNED.balancers
    zones = Counter(u.zone for u in planned.upstreams)
    assert len(zones) == 20 and max(zones.values()) < 1.1 * 44_000 / 20
    assert set(Counter(b.zone for b in planned.balancers).values()) == {145}


@pytest.mark.parametrize("shape", [PLANNED, PLANNED.scaled(300), SMALL])
def test_every_service_has_its_spare_in_another_zone_and_larger_ones_have_more(
    shape: Shape,
) -> None:
    world = draw(shape, 3)
    for s in world.services:
        assert len(s.balancers) == len(set(s.balancers)) == carriers(s.size, shape) >= LEAST
        assert len({world.balancers[n].zone for n in s.balancers}) >= 2
        assert {world.region_of[world.balancers[n].zone] for n in s.balancers} <= set(s.regions)
        assert {world.region_of[world.upstreams[n].zone] for n in s.upstreams} <= set(s.regions)
    counts = [len(s.balancers) for s in world.services]
    assert counts == sorted(counts, reverse=True)
    carried = {(s.number, n) for s in world.services for n in s.balancers}
    assert carried == {(n, b.number) for b in world.balancers for n in b.carries}


def test_one_seed_is_one_world(planned: World) -> None:
    assert draw(PLANNED, 1) == planned
    assert draw(PLANNED, 2) != planned


@pytest.mark.parametrize(
    "wrong",
    [
        replace(SMALL, zones=3),
        replace(SMALL, services=40),
        replace(SMALL, balancers=5),
        replace(SMALL, skew=3.0),
    ],
)
def test_a_world_that_can_not_be_is_refused(wrong: Shape) -> None:
    with pytest.raises(Unusable):
        draw(wrong, 1)


def test_sizes_of_services_are_skewed_and_sum_up() -> None:
    found = worlds.sizes(1000, 50, 1.0)
    assert sum(found) == 1000 and min(found) >= worlds.LEAST_UPSTREAMS
    assert found == sorted(found, reverse=True) and found[0] > 4 * found[9]
    assert set(worlds.sizes(100, 50, 0.0)) == {2}


# ---- figures -------------------------------------------------------------------------------------


def test_a_change_is_in_force_once_each_of_its_balancers_has_its_revision_or_a_later_one() -> None:
    marks = Marks(
        [(1, "a", 5, 10 * S), (1, "a", 9, 12 * S), (2, "a", 9, 13 * S), (3, "b", 7, 1 * S)]
    )
    change = Change("x", 9 * S, 10 * S, {"a": 6})
    found = in_force([change], marks, {"a": [1, 2], "b": [3]})
    assert (found["arrivals"], found["never"], found["most_s"], found["commit_most_s"]) == (
        2,
        0,
        4.0,
        1.0,
    )
    assert in_force([change], marks, {"a": [1]})["most_s"] == 3.0
    assert in_force([change], marks, {"a": [1]}, since_ns=11 * S)["most_s"] == 1.0
    late = in_force([replace(change, scopes={"a": 10})], marks, {"a": [1, 2]})
    assert (late["never"], late["arrivals"]) == (2, 0)


def test_what_went_back_is_not_in_force() -> None:
    marks = Marks([(1, "a", 9, 1 * S), (1, "a", 5, 2 * S), (1, "a", 12, 3 * S)])
    assert marks.at_ns(1, "a", 9) == 1 * S and marks.at_ns(1, "a", 10) == 3 * S


def test_bytes_are_counted_by_balancer_and_by_minute() -> None:
    assert worst_minute([(0, 600), (59, 600), (60, 1200), (200, 60)], 200) == 30.0
    assert worst_minute([(0, 600), (19, 600)], 20) == 60.0
    flows = {"b1": ([100, 300], [(0, 400)]), "b2": ([0, 0], []), "node0>node1": ([50, 50], [])}
    found = traffic(flows, 2, 20.0, True)
    assert (found["mean"], found["most"], found["to_nodes"], found["between_nodes"]) == (
        10,
        20,
        2.5,
        5,
    )
    assert (found["whole_mean"], found["whole_most"]) == (200, 400)
    assert traffic(flows, 2, 20.0, False)["mean"] == round(200 / 60, 1), (
        "a burst counts in its minute"
    )


def test_what_nodes_counted_is_summed_and_one_that_began_anew_counts_from_there() -> None:
    before = {0: Counter(words=5, later=1), 1: Counter(words=9)}
    after = {0: Counter(words=7, later=1), 1: Counter(words=2), 2: Counter(words=1)}
    assert gained(before, after) == {"words": 5, "later": 0}


def test_writes_hold_no_more_than_a_write_may() -> None:
    small = [("s", Op(f"k{n}", b"x")) for n in range(2 * OPS + 1)]
    assert [len(p) for p in packs(small)] == [OPS, OPS, 1]
    large = [("s", Op(f"k{n}", b"x" * (200 << 10))) for n in range(5)]
    assert [len(p) for p in packs(large)] == [2, 2, 1]
    assert [op for p in packs(large) for op in p] == large


def test_rows_that_differ_in_key_version_or_value_have_other_seals() -> None:
    rows = [("a", 1, b"x"), ("b", 1, b"x"), ("a", 2, b"x"), ("a", 1, b"y"), ("a", 1, b"")]
    assert len({seal(*row) for row in rows}) == len(rows)


class Still(Hollow):
    """Told by hand."""

    def start(self) -> None: ...


def test_a_hollow_balancers_module_decides_on_requests_of_a_model_until_it_is_closed() -> None:
    async def live() -> Still:
        told = Told(1, "b", "z00", {"s": 3}, [], 0, True)
        one = Still(told, Written(), {}, 1000.0, 0.0, [])
        entries = [endpoint(u).entry for u in draw(SMALL, 1).upstreams[:4]]
        one.inforce("service:s", True, [], 1, entries)
        module = one.modules["s"]
        async with asyncio.timeout(20):
            while module.sent < 20 or len(module.open) > 200:
                await asyncio.sleep(0)
        await one.close()
        assert module.timers and all(t.cancelled() for t in module.timers)
        return one

    assert asyncio.run(live()).modules["s"].closed


def test_what_is_older_than_what_a_balancer_had_is_counted_as_gone_back() -> None:
    told = Told(1, "b", "z", {}, [], 0, False)
    marks: list[tuple[int, str, int, int]] = []
    one = Still(told, Written(), {}, 0.0, 0.0, marks)
    one.inforce("a", True, [("k", 2, b"x"), ("l", 1, b"y")], 5, [])
    one.inforce("a", False, [("k", 3, b"z"), ("l", 2, None)], 6, [])
    assert one.back == 0 and one.ready_ns
    assert one.sums() == {"a": seal("k", 3, b"z")}
    one.inforce("a", False, [("k", 3, b"z")], 5, [])
    assert one.back == 1, "a revision before the one that it had"
    one.inforce("a", False, [("l", 1, b"y")], 7, [])
    assert one.back == 2, "a version before the one that was deleted"
    one.inforce("a", True, [("k", 1, b"x")], 8, [])
    assert one.back == 3
    assert [m[2] for m in marks] == [5, 6, 5, 7, 8]


# ---- relays --------------------------------------------------------------------------------------


def test_on_a_far_link_all_that_comes_is_so_long_on_its_way_and_in_order() -> None:
    """By the link's own delay, pieces wait for each other: fifty of them take fifty times as
    long.
    """

    async def talk() -> tuple[float, float, bytes]:
        loop = asyncio.get_running_loop()
        heard = bytearray()
        done: asyncio.Future[float] = loop.create_future()

        async def listen(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                heard.extend(data)
                if len(heard) == 50:
                    done.set_result(loop.time())
            writer.close()

        server = await asyncio.start_server(listen, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        relay = Relay("a", "b", lambda: ("127.0.0.1", port), Random(1))
        relay.set("far", 100.0, "both")
        _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        began = loop.time()
        for number in range(50):
            writer.write(bytes([number]))
            await asyncio.sleep(0)
        took = await asyncio.wait_for(done, 10) - began
        writer.close()
        relay.close()
        server.close()
        return took, began, bytes(heard)

    took, _, heard = asyncio.run(talk())
    assert heard == bytes(range(50))
    assert 0.1 <= took < 2.0


# ---- a small fleet -------------------------------------------------------------------------------


def small(folder: Path, rows: bool, nodes: int = 2) -> Fleet:
    return Fleet(
        Plan(
            SMALL,
            rows=rows,
            nodes=nodes,
            voters=1,
            each=4,
            links=1,
            bookmark_s=0.4,
            deciding=1.0,
            far_ms=1.0,
        ),
        folder,
        Written(),
        MODULE,
    )


def test_a_small_fleet_over_the_feed_goes_through_all_phases_and_faults(tmp_path: Path) -> None:
    said: list[str] = []
    steps = [*PHASES.values(), FAULTS["one-way"], FAULTS["stopped"]]
    found = asyncio.run(play(small(tmp_path, True), QUICK, steps, said.append))
    assert found["wrong"] == [] and len(said) > len(steps)
    rows = {p["phase"]: p for p in found["phases"]}
    assert list(rows) == [
        "load",
        "quiet",
        "usual day",
        "release",
        "zone lost",
        "zone back",
        "node killed",
        "region cut",
        "region starts",
        "one-way cut",
        "stopped",
    ]
    for name, row in rows.items():
        assert row["behind"] == row["in_force"]["never"] == 0, name
        assert row["in_force"]["changes"] > 0 or name == "quiet"
    for name, came in (
        ("node killed", "moved"),
        ("region cut", "healed"),
        ("one-way cut", "moved"),
        ("stopped", "woken"),
    ):
        assert rows[name][came]["arrivals"] > 0 and not rows[name][came]["never"], name
    assert rows["load"]["feed"]["snapshots"] > 0 and rows["usual day"]["feed"]["snapshots"] == 0
    assert rows["usual day"]["bytes_s"]["whole_mean"] > 0
    assert b"12 balancers" in page([found])


def test_a_small_fleet_goes_by_documents_as_before_the_feed(tmp_path: Path) -> None:
    steps = [PHASES[name] for name in ("usual", "zone", "node")]
    found = asyncio.run(play(small(tmp_path, False), QUICK, steps, lambda line: None))
    assert found["wrong"] == []
    usual = found["phases"][1]
    assert usual["phase"] == "usual day" and usual["in_force"]["never"] == 0
    assert usual["bytes_s"]["whole_mean"] > 0 and usual["in_force"]["most_s"] > 0


def test_a_nodes_port_is_given_to_nobody_else(tmp_path: Path) -> None:
    fleet = small(tmp_path, True)
    for member in fleet.cluster.members:
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(member.settings.listen)
        with socket.socket() as node:  # as a node does
            node.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            node.bind(member.settings.listen)
            node.listen()
    for kept in fleet.kept:
        kept.close()


def test_a_balancer_with_other_rows_than_the_store_is_found(tmp_path: Path) -> None:
    async def stray() -> list[str]:
        fleet = small(tmp_path, True, 1)
        run = Run(fleet, QUICK, lambda line: None)
        try:
            await fleet.start()
            await run.load()
            await run.judge()
            assert run.wrong == []
            truth = await fleet.writer.truth()
            truth[f"service:{fleet.world.services[0].name}"] += 1

            async def other() -> dict[str, int]:
                return truth

            fleet.writer.truth = other  # type: ignore[method-assign]
            await run.judge()
        finally:
            await fleet.end()
        return run.wrong

    wrong = asyncio.run(stray())
    assert len(wrong) == 1 and "other rows than the store" in wrong[0]


def test_the_command_refuses_what_it_does_not_know() -> None:
    for words in (
        ["--phases", "supper"],
        ["--fault", "flood"],
        ["--balancers", "some"],
        ["--nodes", "10"],
    ):
        app = application(["lab"])
        result = CliRunner().invoke(app, ["lab", "size", "fleet", *words])
        assert isinstance(result.exception, Unusable), words
    assert set(FAULTS) == {"node", "one-way", "region", "stopped"}
