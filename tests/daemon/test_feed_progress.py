"""Tests of `loadbalancer feed status` and `feed wait`.

The commands report on how many balancers a revision of the changefeed is in force.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner, Result

from loadbalancer.changefeed.messages import Refusal
from loadbalancer.changefeed.status import FeedStatus, Laggard, RefusedRow
from loadbalancer.cli.main import application
from loadbalancer.store.commands import Op
from loadbalancer.store.feed_progress import aggregate_reports
from loadbalancer.store.metrics import Collector
from tests.store.test_changefeed_server import (
    ORDERS,
    Balancer,
    close_balancers,
    feed_status,
    key,
    put,
)
from tests.store.test_node import Cluster, cluster, run


async def feed(store_cluster: Cluster, *arguments: str) -> Result:
    """Run a `feed` command in a thread, because the nodes run in this thread's event loop."""
    addresses = ",".join(
        store_cluster.settings[index].advertise for index in sorted(store_cluster.settings)[:2]
    )  # these nodes list the other members
    return await asyncio.to_thread(
        CliRunner().invoke, application(["feed"]), ["feed", *arguments, "--at", addresses]
    )


def plain(result: Result) -> str:
    """Return a command's output with all whitespace collapsed."""
    return " ".join(result.output.split())


def test_progress_is_summed_over_all_members(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as store_cluster:
            feed_balancers = [
                Balancer([store_cluster.settings[p].advertise], [ORDERS], f"b{p}.{i}")
                for p in store_cluster.settings
                for i in range(p + 1)
            ]
            revision = await put(store_cluster.client(), ORDERS, b"1", "a")
            waited = await feed(store_cluster, "wait", str(revision), "--within", "20s")
            assert (waited.exit_code, plain(waited)[:-6]) == (
                0,
                f"revision {revision} is in force on 6 balancers, after ",
            ), waited.output
            assert all(balancer.value(ORDERS, "upstream/a") == b"1" for balancer in feed_balancers)
            shown = await feed(store_cluster, "status", "--revision", str(revision))
            assert f"revision {revision} is in force on 6 of 6 balancers" in plain(shown)
            shown_json = json.loads((await feed(store_cluster, "status", "--json")).output)
            assert sorted(m["feed"]["subscribers"] for m in shown_json["members"]) == [1, 2, 3]
            gauges = {
                m.name: m.samples[0].value
                for m in Collector(store_cluster.nodes[2].node).collect()
                if m.samples
            }
            assert (
                gauges["lanelift_feed_subscribers"] == 3
                and gauges["lanelift_feed_sent_bytes"] > 100
            )
            assert shown_json["rollout"]["balancers"] == 6 and shown_json["rollout"]["silent"] == []
            too_early = await feed(store_cluster, "wait", str(revision + 1000), "--within", "200ms")
            assert too_early.exit_code == 1 and f"is itself at {revision}" in str(
                too_early.exception
            )
            assert "on 6 of 6 balancers" in str(too_early.exception)
            await close_balancers(*feed_balancers)

    run(test)


def test_a_failed_wait_names_the_lagging_balancer_in_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 2) as store_cluster:
            client = store_cluster.client()
            quick, slow = (
                Balancer([store_cluster.settings[1].advertise], [ORDERS], name)
                for name in ("quick", "slow")
            )
            first = await put(client, ORDERS, b"1", "a")
            assert (await feed(store_cluster, "wait", str(first), "--within", "20s")).exit_code == 0
            assert (
                slow.client.connection is not None and slow.client.connection.transport is not None
            )
            slow.client.connection.transport.pause_reading()
            revision = await put(client, ORDERS, b"2", "a")
            await quick.wait_for_value(ORDERS, "upstream/a", b"2")
            timed_out = await feed(store_cluster, "wait", str(revision), "--within", "0.5")
            output = str(timed_out.exception)
            assert timed_out.exit_code == 1 and "\n" not in output
            assert output.startswith(
                f"revision {revision} is not in force on 1 of 2 balancers: slow at"
                f" {store_cluster.settings[1].advertise} is at {first}, "
            ), output
            assert "slow at" in plain(await feed(store_cluster, "status"))
            waiting = asyncio.create_task(
                feed(store_cluster, "wait", str(revision), "--within", "20s")
            )
            slow.client.connection.transport.resume_reading()
            assert (await waiting).exit_code == 0 and slow.value(ORDERS, "upstream/a") == b"2"
            await close_balancers(quick, slow)

    run(test)


def test_a_wait_fails_with_a_rejected_row_or_a_silent_member(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as store_cluster:
            client = store_cluster.client()
            index = next(p for p in store_cluster.nodes if p != store_cluster.leader())
            balancer = Balancer(
                [store_cluster.settings[store_cluster.leader()].advertise],
                [ORDERS],
                "picky",
                check=lambda scope, row: "it is too new" if row.value == b"new" else "",
            )
            revision = (await client.write_rows([Op(key(ORDERS, "a"), b"new")])).revision
            async with asyncio.timeout(20):
                while not feed_status(store_cluster, store_cluster.leader())["refusals"]:
                    await asyncio.sleep(0.005)
            failed = await feed(store_cluster, "wait", str(revision), "--within", "300ms")
            assert failed.exit_code == 1 and str(failed.exception).startswith(
                f"revision {revision} is not in force where 1 rows are refused: picky has "
                f"{ORDERS} upstream/a"
                " at version 1: it is too new"
            ), failed.exception
            assert (
                await feed(store_cluster, "wait", str(revision), "--despite-refusals")
            ).exit_code == 0
            await store_cluster.stop(index)
            silent = await feed(
                store_cluster, "wait", str(revision), "--within", "300ms", "--despite-refusals"
            )
            assert silent.exit_code == 1 and "does not answer" in str(silent.exception)
            assert (
                await feed(
                    store_cluster,
                    "wait",
                    str(revision),
                    "--within",
                    "10s",
                    "--despite-refusals",
                    "--balancers",
                    "1",
                )
            ).exit_code == 0
            too_few = await feed(
                store_cluster,
                "wait",
                str(revision),
                "--within",
                "300ms",
                "--despite-refusals",
                "--balancers",
                "2",
            )
            assert "on 1, and 2 are wanted" in str(too_few.exception)
            await close_balancers(balancer)

    run(test)


@pytest.mark.parametrize(
    "arguments", [["wait", "5", "--within", "4 moons"], ["wait", "5", "--within", "0"]]
)
def test_invalid_input_is_a_one_line_error(arguments: list[str]) -> None:
    result = CliRunner().invoke(application(["feed"]), ["feed", *arguments, "--at", "127.0.0.1:1"])
    assert type(result.exception).__name__ == "MalformedError" and "\n" not in str(result.exception)


def status(node: str, revision: int, **feed: Any) -> dict[str, Any]:
    """Return a node's status response in a cluster with the nodes a and b."""
    fields = {
        "epoch": "c",
        "revision": revision,
        "subscribers": 0,
        "reached": (),
        "laggards": (),
        "refusals": 0,
        "refused": (),
        **dict.fromkeys(FeedStatus.__struct_encode_fields__[7:], 0),
        **feed,
    }
    members = [{"node": n, "address": f"h{n}:1", "here": n == node} for n in ("a", "b")]
    return {
        "node": node,
        "applied": revision,
        "members": members,
        "feed": msgspec.to_builtins(msgspec.convert(fields, FeedStatus)),
    }


def test_progress_counts_never_exceed_the_reports() -> None:
    status_a = status(
        "a", 90, subscribers=10, reached=((50, 2), (90, 8)), laggards=(Laggard("x", 50, 1500),)
    )
    status_b = status("b", 100, subscribers=400, reached=tuple((n, 1) for n in range(0, 100)))
    progress = aggregate_reports([status_a, status_b, status_a], 90)
    assert (progress.balancers, progress.in_force) == (410, 8 + 310), (
        "a member queried at two addresses counts once"
    )
    assert aggregate_reports([status_a, status_b], 100).in_force == 0, (
        "300 balancers of b are past 99, but no report says that they have reached 100"
    )
    assert (
        aggregate_reports([status_a, status_b]).revision == 100
        and "node a at ha:1 is itself at 90"
        in aggregate_reports([status_a, status_b]).lagging_nodes
    )
    assert [balancer.name for balancer in progress.lagging] == ["x"] and progress.unreachable == ()
    assert aggregate_reports([status_a], 50).incomplete_reason() == (
        "revision 50 is not in force as far as can be told: node b at hb:1"
        " does not answer: it was not asked"
    )
    assert aggregate_reports([status_a], 50).incomplete_reason(10) is None
    refused = status(
        "b", 100, refusals=1, refused=(RefusedRow("x", Refusal(ORDERS, "u/a", 3, "why")),)
    )
    assert (
        aggregate_reports([status_a, refused], 50).incomplete_reason(ignore_rejected=True)
        is None
        is not aggregate_reports([status_a, refused], 50).incomplete_reason()
    )
    unreachable_only = aggregate_reports([{"address": "h:1", "trouble": "no answer"}], 5)
    assert (unreachable_only.balancers, unreachable_only.unreachable) == (
        0,
        ("h:1 does not answer: no answer",),
    ) and unreachable_only.incomplete_reason()
