"""Rows in the store's state: references have targets, writes are atomic; from format 3 on."""

from __future__ import annotations

import sqlite3
import tarfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from loadbalancer.changefeed.messages import MAX_ROW_BYTES
from loadbalancer.store import commands
from loadbalancer.store.commands import (
    MAX_REFERENCES,
    STATE_FORMAT,
    FencedWrite,
    Op,
    OpenSession,
    Result,
    ResultCode,
    RowsWrite,
    Upgrade,
    Write,
)
from loadbalancer.store.durable import rows as stored
from loadbalancer.store.durable import state_files, watch_events
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.state import State
from loadbalancer.store.housekeeping import UPGRADE_RETRY_NS, Housekeeper
from loadbalancer.store.raft.messages import Entry, EntryKind
from loadbalancer.testbed.cluster import rowed
from tests.leases.test_leases import FORMAT_1_ARCHIVE, MEMBERS, CommandLog
from tests.store.test_state import fresh

ACME, ROUTE = "feed/global/tenant/acme", "feed/service:orders/route/r1"
OTHER, TIMES = "feed/service:orders/route/r2", "feed/service:orders/upstream/times"
ALL = ACME, ROUTE, OTHER, TIMES


def upgraded(state: State, upto: int = STATE_FORMAT) -> CommandLog:
    log = CommandLog(state)
    for number in range(2, upto + 1):
        log.apply_command(Upgrade(number))
    log.apply_command(OpenSession(7))
    return log


@pytest.fixture
def log() -> CommandLog:
    return upgraded(fresh())


def plain(log: CommandLog, *ops: Op) -> Result:
    return log.apply_command(Write(7, log.state.applied, 0, ops))


def rows(
    log: CommandLog,
    *said: tuple[str, bytes | None, tuple[str, ...]],
    checks: tuple[tuple[str, int], ...] = (),
) -> Result:
    """Each is a key, a value (None: delete), and the rows that it names."""
    return log.apply_command(
        RowsWrite(
            7,
            log.state.applied,
            0,
            tuple(Op(k, v) for k, v, _ in said),
            checks,
            refs=tuple(refs for _, _, refs in said),
        )
    )


def test_a_row_names_only_what_is_there_after_its_write(log: CommandLog) -> None:
    made = rows(log, (ROUTE, b"r", (ACME,)))
    assert (made.code, made.text) == (
        ResultCode.REFUSED,
        f"{ROUTE} names {ACME}, which is not there",
    )
    assert log.state.get(ROUTE) is None
    assert rows(log, (ROUTE, b"r", (ACME,)), (ACME, b"t", ())).code == ResultCode.DONE, (
        "both within one write"
    )
    made = rows(log, (ACME, None, ()))
    assert (made.code, made.text) == (ResultCode.REFUSED, f"{ROUTE} still names {ACME}")
    made = rows(log, (ROUTE, b"r2", (ACME,)), (ACME, None, ()))
    assert (made.code, made.text) == (
        ResultCode.REFUSED,
        f"{ROUTE} names {ACME}, which is not there",
    )
    assert rows(log, (ACME, b"t2", ())).code == ResultCode.DONE, "a row that is named may change"
    assert rows(log, (ROUTE, b"r2", ()), (ACME, None, ())).code == ResultCode.DONE, (
        "it names it no more"
    )
    assert rows(log, (ACME, b"t", ()), (ROUTE, b"r", (ACME,))).versions == (4, 3)
    assert rows(log, (ACME, None, ()), (ROUTE, None, ())).code == ResultCode.DONE, "both go at once"
    assert rows(log, (ACME, b"t", ())).code == ResultCode.DONE
    assert rows(log, (ACME, None, ())).code == ResultCode.DONE, "what is gone names nothing"


def test_a_write_of_rows_is_atomic(log: CommandLog) -> None:
    rows(log, (ACME, b"t", ()))
    before = log.state.take_row_events()
    assert before == [WatchEvent(log.state.applied, ACME, 1, b"t")]
    assert (
        rows(log, (ACME, b"t2", ()), (ROUTE, b"r", ("feed/global/tenant/none",))).code
        == ResultCode.REFUSED
    )
    assert (
        rows(log, (ACME, b"t2", ()), ("config/a", b"x", ()), checks=(("b", 1),)).code
        == ResultCode.CONFLICT
    )
    assert (
        log.state.get(ACME) or pytest.fail()
    ).value == b"t" and log.state.take_row_events() == []
    assert rows(log, (ROUTE, b"r", (ACME,)), ("config/a", b"x", ())).code == ResultCode.DONE, (
        "other keys with it"
    )
    assert [e.key for e in log.state.take_row_events()] == [ROUTE], "and only rows are fed"
    assert len(log.state.history(ROUTE)) == 0 and len(log.state.history("config/a")) == 1


@pytest.mark.parametrize(
    "said, why",
    [
        ((("feed/orders/upstream/a", b"x", ()),), "is no row"),
        ((("feed/global/tenant", b"x", ()),), "is no row"),
        ((("feed/global/a/b/c", b"x", ()),), "is no row"),
        (((ACME, b"x", ("config/a",)),), "is no row"),
        (((ACME, b"", ()),), "a row has 1 to 4096 bytes"),
        (((ACME, bytes(MAX_ROW_BYTES + 1), ()),), "a row has 1 to 4096 bytes"),
        (((ACME, None, (ROUTE,)),), "only a row that is put names others"),
        ((("config/a", b"x", (ACME,)),), "only a row that is put names others"),
        (((ACME, b"x", (ROUTE, ROUTE)),), "each once"),
        (
            ((ACME, b"x", tuple(f"feed/global/t/n{i}" for i in range(MAX_REFERENCES + 1))),),
            "names 16 others at most",
        ),
    ],
)
def test_what_is_no_row_is_refused_in_one_line(
    log: CommandLog, said: tuple[tuple[str, bytes | None, tuple[str, ...]], ...], why: str
) -> None:
    made = rows(log, *said)
    assert made.code == ResultCode.REFUSED and why in made.text and "\n" not in made.text
    assert log.apply_command(
        RowsWrite(7, 999, 0, (Op(ACME, b"x"),), refs=((), ()))
    ).text.startswith("refs are told")


def test_rows_are_changed_by_writes_of_rows_alone(log: CommandLog) -> None:
    fenced = log.apply_command(FencedWrite(7, log.state.applied, 0, (Op(ACME, None),)))
    for made in (plain(log, Op(ACME, b"x")), fenced):
        assert (made.code, made.text) == (
            ResultCode.REFUSED,
            "what stands under feed/ is changed by writes of rows alone",
        )
    assert rows(log, ("lease/work", b"x", ())).code == ResultCode.REFUSED


def test_before_format_3_there_are_no_rows_and_what_stood_there_goes(tmp_path: Path) -> None:
    log = upgraded(state_files.create_state(tmp_path / "state.db", "c", MEMBERS), 2)
    assert rows(log, (ACME, b"x", ())).text == "not all nodes of the store know rows yet"
    assert plain(log, Op(ACME, b"x"), Op("feed/b", b"y"), Op("feeds", b"z")).code == ResultCode.DONE
    assert log.state.take_row_events() == [] and log.state.rows().rows == []
    was = log.state.digest()
    log.apply_command(Upgrade(3))
    assert [i.key for i in log.state.scan("feed")] == ["feeds"] and log.state.digest() != was
    loaded = log.state.rows()
    assert (loaded.base, loaded.rows, loaded.events) == (log.state.applied, [], []), (
        "nor is it told"
    )
    assert rows(log, (ACME, b"x", ())).versions == (3,), "versions go on counting"
    assert log.state.rows().rows == [(ACME, 3, b"x")]
    log.state.close()
    assert state_files.open_state(tmp_path / "state.db").format == 3


def test_a_folder_of_format_1_comes_to_format_3_step_by_step(tmp_path: Path) -> None:
    with tarfile.open(FORMAT_1_ARCHIVE) as kept:
        kept.extractall(tmp_path, filter="data")
    log = CommandLog(state_files.open_state(tmp_path / "state.db"))
    log.apply_command(Upgrade(3))
    assert log.state.format == 1, "no step is left out"
    housekeeper, formats = Housekeeper(), {1: 3, 2: 3}
    housekeeper.leadership_gained(4, log.state, 0)
    for number in (2, 3):
        (due,) = housekeeper.proposals(log.state.format, formats, 0)
        assert due == Upgrade(number) and housekeeper.proposals(log.state.format, formats, 1) == []
        assert housekeeper.proposals(log.state.format, formats, UPGRADE_RETRY_NS) == [due], (
            "it may have been lost"
        )
        assert log.apply_command(due).versions == (number,)
    assert housekeeper.proposals(log.state.format, formats, 9 * UPGRADE_RETRY_NS) == []
    log.apply_command(OpenSession(7))
    assert log.claim("a", 11) == (1, 0) and rows(log, (ACME, b"x", ())).code == ResultCode.DONE


def test_an_older_program_among_the_members_holds_back_only_what_it_does_not_know() -> None:
    housekeeper = Housekeeper()
    housekeeper.leadership_gained(4, fresh(), 0)
    assert housekeeper.proposals(1, {1: 3, 2: 2}, 0) == [Upgrade(2)]
    assert (
        housekeeper.proposals(2, {1: 3, 2: 2}, 0) == [] == housekeeper.proposals(2, {1: 3, 2: 0}, 0)
    )
    assert housekeeper.proposals(2, {1: 3, 2: 3}, 0) == [Upgrade(3)]


@pytest.mark.parametrize("upto, prefix", [(2, "lease"), (3, "feed")])
def test_an_upgrade_takes_away_several_keys_at_once(upto: int, prefix: str) -> None:
    log = upgraded(fresh(), upto - 1)
    plain(log, *(Op(f"{prefix}/{name}", b"x") for name in "abc"))
    log.apply_command(Upgrade(upto))
    assert log.state.format == upto and log.state.scan(f"{prefix}/") == []


def test_a_run_of_entries_that_fails_leaves_no_row_and_no_format_behind() -> None:
    state = upgraded(fresh(), 2).state
    at, write = state.applied, RowsWrite(7, 900, 0, (Op(ACME, b"x"),))
    entries = [
        Entry(1, at + 1, EntryKind.COMMAND, commands.pack(Upgrade(3))),
        Entry(1, at + 2, EntryKind.COMMAND, commands.pack(write)),
        Entry(1, at + 3, EntryKind.MEMBERS, b"\xc1"),
    ]
    with pytest.raises(ValueError):
        state.apply(entries)
    assert (state.format, state.rows_from, state.row_events, state.applied) == (2, 0, [], at)
    assert [r.code for r in state.apply(entries[:2])] == [ResultCode.DONE, ResultCode.DONE]
    assert state.rows_from == at + 1 and [e.key for e in state.take_row_events()] == [ACME]


def test_what_a_node_loads_before_it_serves_the_feed(
    log: CommandLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(8):
        rows(
            log,
            (ACME, b"%d" % number, ()),
            (ROUTE, b"r", (ACME,)) if number % 2 else (ROUTE, None, ()),
        )
        plain(log, Op("config/a", b"x"))
    loaded = log.state.rows()
    assert loaded.base == log.state.rows_from and loaded.revision == log.state.applied
    assert loaded.rows == [(ACME, 8, b"7"), (ROUTE, 7, b"r")], "what was not there is not deleted"
    assert loaded.events == log.state.take_row_events() and len(loaded.events) == 15
    monkeypatch.setattr(watch_events, "MAX_EVENTS", 5)
    rows(log, (ACME, b"8", ()))
    cut = log.state.rows()
    assert cut.base == log.state.forgotten > loaded.base
    assert cut.events == [
        e for e in [*loaded.events, *log.state.take_row_events()] if e.revision > cut.base
    ]


OPS = st.tuples(
    st.sampled_from(ALL),
    st.none() | st.binary(min_size=1, max_size=2),
    st.sets(st.sampled_from(ALL), max_size=2).map(lambda found: tuple(sorted(found))),
)
SAID = st.lists(OPS, min_size=1, max_size=3, unique_by=lambda said: said[0])


@given(st.lists(SAID, max_size=20))
def test_no_row_ever_names_what_is_not_there(
    said: list[list[tuple[str, bytes | None, tuple[str, ...]]]],
) -> None:
    """Held against books of the test's own."""
    log, books = upgraded(fresh()), dict[str, tuple[bytes, tuple[str, ...]]]()
    for write in said:
        write = [(key, value, refs if value is not None else ()) for key, value, refs in write]
        after = {**books, **{k: (v, refs) for k, v, refs in write if v is not None}}
        for key, value, _ in write:
            if value is None:
                after.pop(key, None)
        whole = all(ref in after for _, refs in after.values() for ref in refs)
        assert rows(log, *write).code == (ResultCode.DONE if whole else ResultCode.REFUSED)
        books = after if whole else books
        assert {k: v for k, _, v in log.state.rows().rows} == {k: v for k, (v, _) in books.items()}


def test_a_plain_write_and_one_under_a_lease_are_what_older_programs_read() -> None:
    """Bytes as they were before there were rows: among its nodes may be old ones."""
    fenced = FencedWrite(5, 1, 0, (Op("k", b"v"),), (), "me", "why", 7, (("work", 1),))
    assert commands.pack(fenced).hex() == (
        "9a080501009193a16bc40176ff90a26d65a3776879079192a4776f726b01"
    )
    assert [
        commands.required_format(c) for c in (Write(5, 1, 0, ()), fenced, RowsWrite(5, 1, 0, ()))
    ] == [1, 2, 3]


# ---- over a simulated cluster --------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(1, 31))
def test_whatever_fails_rows_are_those_of_the_log_everywhere(seed: int) -> None:
    outcome = rowed.play(seed)
    assert not outcome.broken, f"seed {seed}"
    assert outcome.counts["rows written"] > 20 and outcome.counts["rows refused"] > 5


def deleted_though_named(db: sqlite3.Connection, command: RowsWrite) -> str:
    kept = tuple(op for op in command.ops if op.value is not None)
    refs = tuple(
        names for op, names in zip(command.ops, command.refs, strict=True) if op.value is not None
    )
    return DANGLING(db, structs.replace(command, ops=kept, refs=refs))


def refs_pile_up(db: sqlite3.Connection, command: RowsWrite) -> None:
    db.executemany(
        "INSERT OR IGNORE INTO refs VALUES (?, ?)",
        [
            (op.key, ref)
            for op, refs in commands.operations_with_references(command)
            for ref in refs
        ],
    )


def each_alone(db: sqlite3.Connection, command: RowsWrite) -> str:
    pairs = zip(command.ops, command.refs, strict=True)
    return next(
        filter(
            None,
            (DANGLING(db, structs.replace(command, ops=(op,), refs=(refs,))) for op, refs in pairs),
        ),
        "",
    )


def deaf_to_deletions(self: State) -> list[WatchEvent]:
    return [event for event in TAKE_FED(self) if event.value is not None]


def made_again(self: State, command: Write, index: int) -> Result:
    return self._apply_write(command, index)


DANGLING, TAKE_FED = stored.dangling_reference, State.take_row_events
PLANTS: dict[str, tuple[object, str, object]] = {
    "deleted though named": (stored, "dangling_reference", deleted_though_named),
    "refs pile up": (stored, "record_references", refs_pile_up),
    "each alone": (stored, "dangling_reference", each_alone),
    "deaf to deletions": (State, "take_row_events", deaf_to_deletions),
    "made again": (State, "_apply_write_once", made_again),
}


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_a_seeded_bug_of_rows_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*PLANTS[name])
    assert any(rowed.play(seed).broken for seed in range(1, 6))
