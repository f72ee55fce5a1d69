"""The replicated state: writes are atomic, applied once, and equal on every node."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.store import commands
from loadbalancer.store.commands import (
    ANY_VERSION,
    AnyCommand,
    CloseSession,
    Op,
    OpenSession,
    Result,
    ResultCode,
    Write,
)
from loadbalancer.store.durable import schema, sessions, state_files, watch_events
from loadbalancer.store.durable.errors import CompactedError, DamagedError
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import Entry, EntryKind, Members, pack

MEMBERS = Members((1,), (), {1: "a"})


def new_state() -> State:
    """Return an empty in-memory state."""
    db = sqlite3.connect(":memory:", isolation_level=None)
    schema.create_tables(db, "c", MEMBERS)
    return State(db)


class Log:
    """Applies commands to a state as consecutive log entries."""

    def __init__(self, state: State) -> None:
        self.state = state

    def apply_commands(self, *submitted: AnyCommand) -> list[Result]:
        first = self.state.applied + 1
        return self.state.apply(
            [
                Entry(1, first + i, EntryKind.COMMAND, commands.pack(c))
                for i, c in enumerate(submitted)
            ]
        )


def write(
    number: int, *ops: Op, session: int = 5, answered: int = 0, **other_arguments: object
) -> Write:
    return Write(session, number, answered, ops, **other_arguments)  # type: ignore[arg-type]


def test_a_write_that_is_sent_twice_is_applied_once() -> None:
    log = Log(new_state())
    log.apply_commands(OpenSession(5))
    first, repeated = log.apply_commands(write(1, Op("a", b"1")), write(1, Op("a", b"1")))
    assert first == repeated and first.versions == (1,)
    item = log.state.get("a")
    assert item is not None and item.version == 1
    late_result = log.apply_commands(write(2, Op("a", b"2"), answered=1), write(1, Op("a", b"1")))[
        1
    ]
    assert late_result.code == ResultCode.EXPIRED and log.state.get("a").version == 2  # type: ignore[union-attr]


def test_a_write_is_atomic() -> None:
    log = Log(new_state())
    log.apply_commands(OpenSession(5), write(1, Op("a", b"1"), Op("b", b"1")))
    result = log.apply_commands(write(2, Op("a", b"2"), Op("b", b"2", 7)))[0]
    assert (result.code, result.versions, result.text) == (ResultCode.CONFLICT, (1,), "b")
    assert [i.value for i in log.state.scan("")] == [b"1", b"1"]
    assert (
        log.apply_commands(write(3, Op("c", b"x", 0), checks=(("a", 1),)))[0].code
        == ResultCode.DONE
    )
    assert (
        log.apply_commands(write(4, Op("d", b"x"), checks=(("a", 2),)))[0].code
        == ResultCode.CONFLICT
    )


def test_versions_continue_after_a_deletion() -> None:
    log = Log(new_state())
    log.apply_commands(OpenSession(5))
    versions = [
        r.versions
        for r in log.apply_commands(
            write(1, Op("config/a", b"1")),
            write(2, Op("config/a", None)),
            write(3, Op("config/a", b"2", 0)),
            write(4, Op("nothing", None)),
        )
    ]
    assert versions == [(1,), (0,), (3,), (0,)]
    assert [(i.version, i.value) for i in log.state.history("config/a")] == [
        (3, b"2"),
        (2, None),
        (1, b"1"),
    ]


def test_a_write_of_an_unknown_or_closed_session_expires() -> None:
    log = Log(new_state())
    results = log.apply_commands(
        write(1, Op("a", b"1")),
        OpenSession(5),
        write(1, Op("a", b"1")),
        CloseSession(5),
        write(2, Op("a", b"1")),
    )
    assert [r.code for r in results] == [
        ResultCode.EXPIRED,
        ResultCode.DONE,
        ResultCode.DONE,
        ResultCode.DONE,
        ResultCode.EXPIRED,
    ]


def test_the_least_recently_used_session_is_closed_when_there_are_too_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sessions, "MAX_SESSIONS", 3)
    log = Log(new_state())
    log.apply_commands(
        *[OpenSession(i) for i in (1, 2, 3)], write(1, Op("a", b"1"), session=1), OpenSession(4)
    )
    codes = [log.apply_commands(write(9, Op("a", b"2"), session=i))[0].code for i in (1, 2, 3, 4)]
    assert codes == [ResultCode.DONE, ResultCode.EXPIRED, ResultCode.DONE, ResultCode.DONE]


def test_a_watcher_gets_all_events_or_an_error_that_they_are_compacted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_events, "MAX_EVENTS", 5)
    log = Log(new_state())
    log.apply_commands(OpenSession(5))
    log.apply_commands(
        *[write(i, Op(f"k/{i % 2}", b"%d" % i), Op("other", b"x")) for i in range(1, 9)]
    )
    events = log.state.events("k/", log.state.forgotten)
    assert [e.value for e in events] == [b"7", b"8"] and log.state.events(
        "k/", events[-1].revision
    ) == []
    assert log.state.events("", 8, 1)[0].revision == 9 == log.state.events("", 8, 1)[-1].revision
    with pytest.raises(CompactedError):
        log.state.events("k/", log.state.forgotten - 1)


@pytest.mark.parametrize(
    "op",
    [
        Op("A", b""),
        Op("a//b", b""),
        Op("a" * 600, b""),
        Op("a", bytes(2 << 20)),
        Op("a/", b""),
        Op("", b""),
    ],
)
def test_a_write_beyond_a_limit_is_rejected(op: Op) -> None:
    log = Log(new_state())
    assert log.apply_commands(OpenSession(5), write(1, op))[1].code == ResultCode.REFUSED
    assert log.apply_commands(write(2, Op("a", b"1"), Op("a", b"2")))[0].code == ResultCode.REFUSED


def test_an_entry_that_does_not_decode_is_rejected_and_later_ones_are_applied() -> None:
    state = new_state()
    result = state.apply(
        [
            Entry(1, 1, EntryKind.COMMAND, b"\xc1 nonsense"),
            Entry(1, 2, EntryKind.NO_OP),
            Entry(1, 3, EntryKind.MEMBERS, pack(Members((1, 2)))),
        ]
    )
    assert (
        result[0].code == ResultCode.REFUSED
        and state.members.voters == (1, 2)
        and state.applied == 3
    )


def test_a_failed_batch_of_entries_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    log = Log(new_state())
    log.apply_commands(OpenSession(5), write(1, Op("a", b"1")))
    before = log.state.digest()
    original_apply_op = State._apply_op

    def fail_on_key_c(self: State, op: Op, *other_arguments: object) -> int:
        if op.key == "c":
            raise sqlite3.OperationalError("disk I/O error")
        return original_apply_op(self, op, *other_arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(State, "_apply_op", fail_on_key_c)
    with pytest.raises(sqlite3.OperationalError):
        log.apply_commands(write(2, Op("b", b"1")), write(3, Op("c", b"1")))
    assert log.state.digest() == before and log.state.applied == 2
    monkeypatch.setattr(State, "_apply_op", original_apply_op)
    assert [
        r.code for r in log.apply_commands(write(2, Op("b", b"1")), write(3, Op("c", b"1")))
    ] == [0, 0]


KEYS = st.sampled_from(["config/a", "b", "c"])
OPS = st.builds(
    Op, KEYS, st.one_of(st.none(), st.binary(max_size=4)), st.sampled_from([ANY_VERSION, 0, 1, 2])
)
COMMANDS = st.one_of(
    st.builds(
        lambda s, n, ops: Write(s, n, 0, tuple({o.key: o for o in ops}.values())),
        st.integers(1, 2),
        st.integers(1, 6),
        st.lists(OPS, min_size=1, max_size=3),
    ),
    st.builds(OpenSession, st.integers(1, 2)),
    st.builds(CloseSession, st.integers(1, 2)),
)


@given(st.lists(COMMANDS, max_size=30), st.randoms())
def test_the_state_does_not_depend_on_how_the_log_is_split_into_batches(
    submitted: list[AnyCommand], rng: object
) -> None:
    log = [Entry(1, i + 1, EntryKind.COMMAND, commands.pack(c)) for i, c in enumerate(submitted)]
    batched_state, single_state = new_state(), new_state()
    batch_results: list[Result] = []
    while len(batch_results) < len(log):
        size = rng.randint(1, 5)  # type: ignore[attr-defined]
        batch_results += batched_state.apply(log[len(batch_results) : len(batch_results) + size])
    assert (
        batch_results == [r for e in log for r in single_state.apply([e])]
        and batched_state.digest() == single_state.digest()
    )


def test_a_snapshot_holds_the_state_after_one_entry_and_has_a_checksum(tmp_path: Path) -> None:
    state = state_files.create_state(tmp_path / "state.db", "c", MEMBERS)
    log = Log(state)
    log.apply_commands(OpenSession(5), *[write(i, Op(f"k{i}", bytes(500))) for i in range(1, 50)])
    meta = state_files.export_snapshot(tmp_path / "state.db", tmp_path / "copy.db")
    log.apply_commands(write(50, Op("later", b"1")))
    assert (meta.index, meta.members) == (50, MEMBERS) and state_files.verify(
        tmp_path / "copy.db"
    ) == ""
    copy = state_files.open_state(tmp_path / "copy.db")
    assert copy.get("k49") is not None and copy.get("later") is None
    copy.close()
    raw = bytearray((tmp_path / "copy.db").read_bytes())
    raw[4096:5200] = bytes(1104)
    (tmp_path / "copy.db").write_bytes(raw)
    assert state_files.verify(tmp_path / "copy.db") != ""
    assert state_files.file_checksum(tmp_path / "copy.db") != meta.checksum


def test_a_state_of_a_newer_format_is_rejected_in_one_line(tmp_path: Path) -> None:
    state = state_files.create_state(tmp_path / "state.db", "c", MEMBERS)
    state.db.execute("UPDATE meta SET value = 9 WHERE name = 'format'")
    state.close()
    with pytest.raises(DamagedError, match="format 9 is newer than 3"):
        state_files.open_state(tmp_path / "state.db")
    (tmp_path / "state.db").write_bytes(b"no database" * 1000)
    with pytest.raises(DamagedError):
        state_files.open_state(tmp_path / "state.db")
