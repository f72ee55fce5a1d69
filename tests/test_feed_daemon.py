"""The list of upstreams as rows of the feed: what a row is, which are written, who goes by them."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from lanelift import interface as api
from lanelift.daemon import rows
from lanelift.daemon.rows import Keys, ListRow, ServiceRow, UpstreamRow, check, differences, pack
from lanelift.feed.messages import MOST_ROW, Row, split
from lanelift.net.discovery import read_endpoint
from lanelift.net.upstream import Endpoint, number_of
from lanelift.settings import Malformed
from lanelift.store.commands import MOST_OPS, Op

KEYS = Keys("orders")
SCOPE = "service:orders"
BOX = {"id": "box-7", "addr": "10.1.2.3:8080", "zone": "accra-a", "kind": "m", "cell": 3, "state": "Ready",
       "weight": 1.0, "started_ms": 1_790_000_000_123}


def upstream(**change: object) -> Endpoint:
    return read_endpoint({**BOX, **change})


# ---- what a row is ----------------------------------------------------------------------------------------


def test_a_row_holds_what_discovery_told_and_is_the_same_each_time() -> None:
    box = upstream(state="Terminating", weight=0.35)
    value = rows.packed(box)
    assert rows.endpoint_of(rows.unpack_upstream(value)) == box
    assert {rows.packed(upstream(state="Terminating", weight=0.35)) for _ in range(100)} == {value}
    assert rows.unpack_upstream(value).started_ms == BOX["started_ms"]
    assert rows.endpoint_of(rows.unpack_upstream(rows.packed(upstream(started_ms=0)))).entry.started_ns == 0
    key = KEYS.upstream(box.entry.id)
    assert split(key) == (SCOPE, f"upstream/{number_of('box-7'):016x}") and split(KEYS.list)[0] == SCOPE
    assert len(key) + len(value) < 134 < len(key) + MOST_ROW


@pytest.mark.parametrize("value, why", [
    (b"\xc1", "MessagePack"),
    (pack(("x",)), "length"),
    (pack(UpstreamRow(7, "name.svc", 80, "", "", 0, 1, 0, False)), "host: 'name.svc'"),
    (pack(UpstreamRow(7, "::1", 0, "", "", 0, 1, 0, False)), "port"),
    (pack(UpstreamRow(7, "::1", 80, "", "", 0, float("inf"), 0, False)), "weight"),
    (pack(UpstreamRow(8, "::1", 80, "", "", 0, 1, 0, False)), "its id is 0000000000000008"),
])
def test_a_row_that_does_not_read_is_refused_in_one_line(value: bytes, why: str) -> None:
    said = check(SCOPE, Row(f"upstream/{7:016x}", 1, value))
    assert why in said and "\n" not in said


def test_a_later_programs_row_is_taken_where_what_is_known_of_it_reads() -> None:
    value = pack((*msgspec.msgpack.decode(rows.packed(upstream())), "rack-9"))
    key = f"upstream/{number_of('box-7'):016x}"
    assert check(SCOPE, Row(key, 1, value)) == ""
    assert rows.endpoint_of(rows.unpack_upstream(value)) == upstream()
    assert check(SCOPE, Row("service/orders", 1, pack(ServiceRow("orders")))) == ""
    assert check(SCOPE, Row("list/orders", 1, pack(ListRow(1, 2, 3, "a", 4)))) == ""
    assert check(SCOPE, Row(key, 2, None)) == ""
    # Of another kind it can't say that it is in force here.
    assert "knows no route" in check(SCOPE, Row("route/a", 1, b"\x90"))
    assert "knows no upstream" in check("global", Row(key, 1, value))
    assert "'carts'" in check(SCOPE, Row("service/orders", 1, pack(ServiceRow("carts"))))


@pytest.mark.parametrize("bad", [upstream(zone="z" * MOST_ROW), upstream(cell=1 << 70),
                                 replace(upstream(), host="name.svc")])
def test_an_upstream_that_can_be_no_row_is_one_line(bad: Endpoint) -> None:
    with pytest.raises(Malformed, match=r"upstream [0-9a-f]{16}: [^\n]+\Z"):
        rows.packed(bad)


# ---- which are written -------------------------------------------------------------------------------------


def test_only_what_differs_is_written_in_a_fixed_order_and_what_goes_goes_last() -> None:
    stored = {"a": (3, b"1"), "b": (9, b"2"), "c": (1, b"3")}
    batch, = differences(stored, {"d": b"4", "c": b"3", "b": b"5"})
    assert batch == (Op("b", b"5", 9), Op("d", b"4", 0), Op("a", None, 3))
    assert differences(stored, {k: v for k, (_, v) in stored.items()}) == []


def test_a_zone_that_goes_takes_few_writes() -> None:
    stored = {f"{n:05}": (1, b"x") for n in range(5000)}
    wanted = {key: value for key, (_, value) in stored.items() if int(key) >= 2200}
    batches = differences(stored, wanted)
    assert len(batches) == 9 and all(len(b) <= MOST_OPS for b in batches)


@pytest.mark.parametrize("seed", range(20))
def test_whoever_writes_on_from_anywhere_ends_at_what_is_wanted(seed: int) -> None:
    """Owners die between any two of their writes, and the wanted list changes from one to the next."""
    rng = random.Random(seed)
    stored: dict[str, tuple[int, bytes]] = {}
    wanted: dict[str, bytes] = {}
    versions = 0
    for _ in range(30):
        wanted = {f"{n:02}": rng.randbytes(1) for n in rng.sample(range(40), rng.randrange(1, 40))}
        batches = differences(stored, wanted, most=rng.randrange(1, 9))
        kept = {key for key in wanted if key in stored}
        for batch in batches[:rng.randrange(len(batches) + 1)]:
            for op in batch:
                assert op.version == stored.get(op.key, (0, b""))[0]
                versions += 1
                if op.value is None:
                    del stored[op.key]
                else:
                    stored[op.key] = versions, op.value
            assert kept <= stored.keys()  # none is missing on the way
    for batch in differences(stored, wanted, most=5):
        for op in batch:
            stored.pop(op.key, None)
            if op.value is not None:
                stored[op.key] = 1, op.value
    assert {key: value for key, (_, value) in stored.items()} == wanted
    assert api.State.GONE is rows.gone(7).entry.state
