"""Change feed rows in the state, from format 3 on: valid references and atomic writes."""

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
from loadbalancer.store.durable import rows as stored_rows
from loadbalancer.store.durable import state_files, watch_events
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.state import State
from loadbalancer.store.housekeeping import UPGRADE_RETRY_NS, Housekeeper
from loadbalancer.store.raft.messages import Entry, EntryKind
from loadbalancer.testbed.cluster import rowed
from tests.leases.test_leases import FORMAT_1_ARCHIVE, MEMBERS, CommandLog
from tests.store.test_state import new_state

ACME, ROUTE = "feed/global/tenant/acme", "feed/service:orders/route/r1"
OTHER_ROUTE, TIMES_UPSTREAM = "feed/service:orders/route/r2", "feed/service:orders/upstream/times"
ALL_KEYS = ACME, ROUTE, OTHER_ROUTE, TIMES_UPSTREAM


def upgraded_log(state: State, target_format: int = STATE_FORMAT) -> CommandLog:
    """Upgrade a new state to a format and open a session."""
    log = CommandLog(state)
    for number in range(2, target_format + 1):
        log.apply_command(Upgrade(number))
    log.apply_command(OpenSession(7))
    return log


@pytest.fixture
def log() -> CommandLog:
    return upgraded_log(new_state())


def plain_write(log: CommandLog, *ops: Op) -> Result:
    """Apply a write that is not a rows write."""
    return log.apply_command(Write(7, log.state.applied, 0, ops))


def rows(
    log: CommandLog,
    *changes: tuple[str, bytes | None, tuple[str, ...]],
    checks: tuple[tuple[str, int], ...] = (),
) -> Result:
    """Apply a rows write; a change is a key, a value (None to delete) and the rows it refers to."""
    return log.apply_command(
        RowsWrite(
            7,
            log.state.applied,
            0,
            tuple(Op(k, v) for k, v, _ in changes),
            checks,
            refs=tuple(refs for _, _, refs in changes),
        )
    )


def test_a_row_refers_only_to_rows_that_exist_after_the_write(log: CommandLog) -> None:
    result = rows(log, (ROUTE, b"r", (ACME,)))
    assert (result.code, result.text) == (
        ResultCode.REFUSED,
        f"{ROUTE} names {ACME}, which is not there",
    )
    assert log.state.get(ROUTE) is None
    assert rows(log, (ROUTE, b"r", (ACME,)), (ACME, b"t", ())).code == ResultCode.DONE, (
        "both rows are in one write"
    )
    result = rows(log, (ACME, None, ()))
    assert (result.code, result.text) == (ResultCode.REFUSED, f"{ROUTE} still names {ACME}")
    result = rows(log, (ROUTE, b"r2", (ACME,)), (ACME, None, ()))
    assert (result.code, result.text) == (
        ResultCode.REFUSED,
        f"{ROUTE} names {ACME}, which is not there",
    )
    assert rows(log, (ACME, b"t2", ())).code == ResultCode.DONE, (
        "a row with references to it may change"
    )
    assert rows(log, (ROUTE, b"r2", ()), (ACME, None, ())).code == ResultCode.DONE, (
        "the reference is removed in the same write"
    )
    assert rows(log, (ACME, b"t", ()), (ROUTE, b"r", (ACME,))).versions == (4, 3)
    assert rows(log, (ACME, None, ()), (ROUTE, None, ())).code == ResultCode.DONE, (
        "both rows are deleted in one write"
    )
    assert rows(log, (ACME, b"t", ())).code == ResultCode.DONE
    assert rows(log, (ACME, None, ())).code == ResultCode.DONE, "a deleted row has no references"


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
        "a rows write may include other keys"
    )
    assert [e.key for e in log.state.take_row_events()] == [ROUTE], (
        "only rows are reported as row events"
    )
    assert len(log.state.history(ROUTE)) == 0 and len(log.state.history("config/a")) == 1


@pytest.mark.parametrize(
    "changes, expected_text",
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
def test_an_invalid_row_is_refused_in_one_line(
    log: CommandLog,
    changes: tuple[tuple[str, bytes | None, tuple[str, ...]], ...],
    expected_text: str,
) -> None:
    result = rows(log, *changes)
    assert (
        result.code == ResultCode.REFUSED
        and expected_text in result.text
        and "\n" not in result.text
    )
    assert log.apply_command(
        RowsWrite(7, 999, 0, (Op(ACME, b"x"),), refs=((), ()))
    ).text.startswith("refs are told")


def test_rows_are_changed_only_by_rows_writes(log: CommandLog) -> None:
    fenced = log.apply_command(FencedWrite(7, log.state.applied, 0, (Op(ACME, None),)))
    for result in (plain_write(log, Op(ACME, b"x")), fenced):
        assert (result.code, result.text) == (
            ResultCode.REFUSED,
            "what stands under feed/ is changed by writes of rows alone",
        )
    assert rows(log, ("lease/work", b"x", ())).code == ResultCode.REFUSED


def test_the_upgrade_to_format_3_enables_rows_and_deletes_plain_keys(tmp_path: Path) -> None:
    log = upgraded_log(state_files.create_state(tmp_path / "state.db", "c", MEMBERS), 2)
    assert rows(log, (ACME, b"x", ())).text == "not all nodes of the store know rows yet"
    assert (
        plain_write(log, Op(ACME, b"x"), Op("feed/b", b"y"), Op("feeds", b"z")).code
        == ResultCode.DONE
    )
    assert log.state.take_row_events() == [] and log.state.rows().rows == []
    digest_before = log.state.digest()
    log.apply_command(Upgrade(3))
    assert [i.key for i in log.state.scan("feed")] == [
        "feeds"
    ] and log.state.digest() != digest_before
    loaded = log.state.rows()
    assert (loaded.base, loaded.rows, loaded.events) == (log.state.applied, [], []), (
        "the deletion by the upgrade is not reported"
    )
    assert rows(log, (ACME, b"x", ())).versions == (3,), "versions continue after the deletion"
    assert log.state.rows().rows == [(ACME, 3, b"x")]
    log.state.close()
    assert state_files.open_state(tmp_path / "state.db").format == 3


def test_a_directory_of_format_1_is_upgraded_to_format_3_one_step_at_a_time(tmp_path: Path) -> None:
    with tarfile.open(FORMAT_1_ARCHIVE) as kept:
        kept.extractall(tmp_path, filter="data")
    log = CommandLog(state_files.open_state(tmp_path / "state.db"))
    log.apply_command(Upgrade(3))
    assert log.state.format == 1, "no format may be skipped"
    housekeeper, formats = Housekeeper(), {1: 3, 2: 3}
    housekeeper.leadership_gained(4, log.state, 0)
    for number in (2, 3):
        (proposal,) = housekeeper.proposals(log.state.format, formats, 0)
        assert (
            proposal == Upgrade(number)
            and housekeeper.proposals(log.state.format, formats, 1) == []
        )
        assert housekeeper.proposals(log.state.format, formats, UPGRADE_RETRY_NS) == [proposal], (
            "the proposal may have been lost, so it is repeated"
        )
        assert log.apply_command(proposal).versions == (number,)
    assert housekeeper.proposals(log.state.format, formats, 9 * UPGRADE_RETRY_NS) == []
    log.apply_command(OpenSession(7))
    assert log.claim("a", 11) == (1, 0) and rows(log, (ACME, b"x", ())).code == ResultCode.DONE


def test_an_older_member_holds_back_only_upgrades_that_it_does_not_support() -> None:
    housekeeper = Housekeeper()
    housekeeper.leadership_gained(4, new_state(), 0)
    assert housekeeper.proposals(1, {1: 3, 2: 2}, 0) == [Upgrade(2)]
    assert (
        housekeeper.proposals(2, {1: 3, 2: 2}, 0) == [] == housekeeper.proposals(2, {1: 3, 2: 0}, 0)
    )
    assert housekeeper.proposals(2, {1: 3, 2: 3}, 0) == [Upgrade(3)]


@pytest.mark.parametrize("target_format, prefix", [(2, "lease"), (3, "feed")])
def test_an_upgrade_deletes_several_keys(target_format: int, prefix: str) -> None:
    log = upgraded_log(new_state(), target_format - 1)
    plain_write(log, *(Op(f"{prefix}/{name}", b"x") for name in "abc"))
    log.apply_command(Upgrade(target_format))
    assert log.state.format == target_format and log.state.scan(f"{prefix}/") == []


def test_a_failed_batch_of_entries_leaves_no_row_and_no_format_change() -> None:
    state = upgraded_log(new_state(), 2).state
    base_index, write = state.applied, RowsWrite(7, 900, 0, (Op(ACME, b"x"),))
    entries = [
        Entry(1, base_index + 1, EntryKind.COMMAND, commands.pack(Upgrade(3))),
        Entry(1, base_index + 2, EntryKind.COMMAND, commands.pack(write)),
        Entry(1, base_index + 3, EntryKind.MEMBERS, b"\xc1"),
    ]
    with pytest.raises(ValueError):
        state.apply(entries)
    assert (state.format, state.rows_from, state.row_events, state.applied) == (
        2,
        0,
        [],
        base_index,
    )
    assert [r.code for r in state.apply(entries[:2])] == [ResultCode.DONE, ResultCode.DONE]
    assert state.rows_from == base_index + 1 and [e.key for e in state.take_row_events()] == [ACME]


def test_a_node_loads_all_rows_and_recent_changes(
    log: CommandLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(8):
        rows(
            log,
            (ACME, b"%d" % number, ()),
            (ROUTE, b"r", (ACME,)) if number % 2 else (ROUTE, None, ()),
        )
        plain_write(log, Op("config/a", b"x"))
    loaded = log.state.rows()
    assert loaded.base == log.state.rows_from and loaded.revision == log.state.applied
    assert loaded.rows == [(ACME, 8, b"7"), (ROUTE, 7, b"r")], (
        "deleting a missing row has no effect"
    )
    assert loaded.events == log.state.take_row_events() and len(loaded.events) == 15
    monkeypatch.setattr(watch_events, "MAX_EVENTS", 5)
    rows(log, (ACME, b"8", ()))
    trimmed = log.state.rows()
    assert trimmed.base == log.state.forgotten > loaded.base
    assert trimmed.events == [
        e for e in [*loaded.events, *log.state.take_row_events()] if e.revision > trimmed.base
    ]


OPS = st.tuples(
    st.sampled_from(ALL_KEYS),
    st.none() | st.binary(min_size=1, max_size=2),
    st.sets(st.sampled_from(ALL_KEYS), max_size=2).map(lambda keys: tuple(sorted(keys))),
)
WRITES = st.lists(OPS, min_size=1, max_size=3, unique_by=lambda changes: changes[0])


@given(st.lists(WRITES, max_size=20))
def test_no_row_ever_refers_to_a_missing_row(
    changes: list[list[tuple[str, bytes | None, tuple[str, ...]]]],
) -> None:
    """Compares the state with rows that the test tracks itself."""
    log, expected_rows = upgraded_log(new_state()), dict[str, tuple[bytes, tuple[str, ...]]]()
    for write in changes:
        write = [(key, value, refs if value is not None else ()) for key, value, refs in write]
        rows_after = {**expected_rows, **{k: (v, refs) for k, v, refs in write if v is not None}}
        for key, value, _ in write:
            if value is None:
                rows_after.pop(key, None)
        is_valid = all(ref in rows_after for _, refs in rows_after.values() for ref in refs)
        assert rows(log, *write).code == (ResultCode.DONE if is_valid else ResultCode.REFUSED)
        expected_rows = rows_after if is_valid else expected_rows
        assert {k: v for k, _, v in log.state.rows().rows} == {
            k: v for k, (v, _) in expected_rows.items()
        }


def test_plain_and_fenced_writes_stay_readable_by_older_programs() -> None:
    """Their encoding is unchanged since before format 3, as a cluster may include old nodes."""
    fenced = FencedWrite(5, 1, 0, (Op("k", b"v"),), (), "me", "why", 7, (("work", 1),))
    assert commands.pack(fenced).hex() == (
        "9a080501009193a16bc40176ff90a26d65a3776879079192a4776f726b01"
    )
    assert [
        commands.required_format(c) for c in (Write(5, 1, 0, ()), fenced, RowsWrite(5, 1, 0, ()))
    ] == [1, 2, 3]


# ---- over a simulated cluster --------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(1, 31))
def test_rows_match_the_log_on_every_node_under_faults(seed: int) -> None:
    outcome = rowed.play(seed)
    assert not outcome.broken, f"seed {seed}"
    assert outcome.counts["rows written"] > 20 and outcome.counts["rows refused"] > 5


def check_written_rows_only(db: sqlite3.Connection, command: RowsWrite) -> str:
    """Seeded bug: a row may be deleted while another row refers to it."""
    kept = tuple(op for op in command.ops if op.value is not None)
    refs = tuple(
        names for op, names in zip(command.ops, command.refs, strict=True) if op.value is not None
    )
    return ORIGINAL_DANGLING_REFERENCE(db, structs.replace(command, ops=kept, refs=refs))


def keep_old_references(db: sqlite3.Connection, command: RowsWrite) -> None:
    """Seeded bug: references that a write removes stay recorded."""
    db.executemany(
        "INSERT OR IGNORE INTO refs VALUES (?, ?)",
        [
            (op.key, ref)
            for op, refs in commands.operations_with_references(command)
            for ref in refs
        ],
    )


def check_each_operation_alone(db: sqlite3.Connection, command: RowsWrite) -> str:
    """Seeded bug: references are checked without the write's other operations."""
    pairs = zip(command.ops, command.refs, strict=True)
    return next(
        filter(
            None,
            (
                ORIGINAL_DANGLING_REFERENCE(db, structs.replace(command, ops=(op,), refs=(refs,)))
                for op, refs in pairs
            ),
        ),
        "",
    )


def drop_deletion_events(self: State) -> list[WatchEvent]:
    """Seeded bug: deletions of rows are not reported."""
    return [event for event in ORIGINAL_TAKE_ROW_EVENTS(self) if event.value is not None]


def apply_write_again(self: State, command: Write, index: int) -> Result:
    """Seeded bug: a repeated write is applied again."""
    return self._apply_write(command, index)


ORIGINAL_DANGLING_REFERENCE, ORIGINAL_TAKE_ROW_EVENTS = (
    stored_rows.dangling_reference,
    State.take_row_events,
)
SEEDED_BUGS: dict[str, tuple[object, str, object]] = {
    "references of deleted rows": (stored_rows, "dangling_reference", check_written_rows_only),
    "old references kept": (stored_rows, "record_references", keep_old_references),
    "operations checked separately": (
        stored_rows,
        "dangling_reference",
        check_each_operation_alone,
    ),
    "deletions not reported": (State, "take_row_events", drop_deletion_events),
    "repeated write applied": (State, "_apply_write_once", apply_write_again),
}


@pytest.mark.parametrize("name", sorted(SEEDED_BUGS))
def test_a_seeded_bug_of_rows_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*SEEDED_BUGS[name])
    assert any(rowed.play(seed).broken for seed in range(1, 6))
