"""The journal: synced entries are recovered, a torn tail is truncated, damage is rejected."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest

from loadbalancer.store.durable import journal_frames
from loadbalancer.store.durable.errors import DamagedError, DiskFullError, SyncFailedError
from loadbalancer.store.durable.files import Folder
from loadbalancer.store.durable.journal import Journal
from loadbalancer.store.durable.journal_reader import JournalContents
from loadbalancer.store.raft.messages import Entry, HardState, Members, SnapshotMeta
from loadbalancer.testbed.cluster.disk import Disk, PowerLost

SALT = b"saltsalt"


def journal(disk: Disk, segment: int = 1 << 20) -> Journal:
    """Return a journal with a fixed salt and a segment size in bytes."""
    return Journal(disk, "c", 7, segment, lambda: SALT)


def entries(first: int, count: int, term: int = 1, size: int = 20) -> list[Entry]:
    return [Entry(term, i, 1, bytes([i % 256]) * size) for i in range(first, first + count)]


def written_journal() -> tuple[Disk, list[JournalContents]]:
    """Return a disk with a journal of three batches, and the expected contents after each batch."""
    disk = Disk()
    writer = journal(disk)
    writer.create()
    expected_contents = [JournalContents(HardState(), 0, 0)]
    writer.write(HardState(1, 2), entries(1, 3))
    expected_contents.append(JournalContents(HardState(1, 2), 0, 0, entries(1, 3)))
    writer.write(None, entries(3, 2, 2))
    expected_contents.append(
        JournalContents(HardState(1, 2), 0, 0, entries(1, 2) + entries(3, 2, 2))
    )
    writer.write(HardState(3, 0), [])
    expected_contents.append(JournalContents(HardState(3, 0), 0, 0, expected_contents[-1].entries))
    return disk, expected_contents


def reopened_contents(disk: Disk) -> JournalContents:
    """Open the journal on a disk, which repairs a torn tail, and return its contents."""
    return journal(disk).open()


def has_same_contents(contents: JournalContents, other: JournalContents) -> bool:
    """Compare hard state, base and entries."""
    return (contents.hard_state, contents.base_index, contents.entries) == (
        other.hard_state,
        other.base_index,
        other.entries,
    )


def test_a_reopened_journal_returns_its_entries_and_accepts_more() -> None:
    disk, expected_contents = written_journal()
    writer = journal(disk)
    assert has_same_contents(writer.open(), expected_contents[-1])
    writer.write(HardState(4, 7), entries(5, 1, 4))
    contents = reopened_contents(disk)
    assert (
        contents.hard_state == HardState(4, 7)
        and contents.last_index == 5
        and contents.last_term == 4
    )


def test_a_torn_tail_keeps_the_batches_before_it() -> None:
    disk, expected_contents = written_journal()
    complete_file = disk.read("log-00000001")
    seen: set[int] = set()
    for length in range(len(complete_file)):
        truncated_disk, _ = written_journal()
        truncated_disk.files["log-00000001"].seen = bytearray(complete_file[:length])
        try:
            contents = reopened_contents(truncated_disk)
        except DamagedError as error:
            assert "head does not read" in str(error) and not seen  # the head frame itself is torn
            continue
        position = next(
            i
            for i, expected in enumerate(expected_contents)
            if has_same_contents(contents, expected)
        )
        seen.add(position)
        assert has_same_contents(
            reopened_contents(truncated_disk), expected_contents[position]
        )  # the truncation is permanent
    assert seen == {0, 1, 2}


@pytest.mark.parametrize("with_end_mark", [True, False])
def test_a_flipped_bit_is_detected(with_end_mark: bool) -> None:
    """A flipped bit in a batch that is followed by another batch or an end mark is damage.

    In the last batch, without an end mark, it can't be told from a torn tail.
    """
    disk, expected_contents = written_journal()
    writer = journal(disk)
    writer.open()
    newest = len(disk.read("log-00000001")) - 60
    if with_end_mark:
        writer.has_end_mark = False
        writer.write_end_mark()
    complete_file = disk.read("log-00000001")
    end = len(complete_file) - (journal_frames.FRAME_HEADER.size if with_end_mark else 0)
    torn_tail_count = 0
    for position in range(end):
        for bit in (0, 5):
            corrupt_disk, _ = written_journal()
            blob = corrupt_disk.files["log-00000001"]
            blob.seen = bytearray(complete_file)
            blob.seen[position] ^= 1 << bit
            try:
                contents = reopened_contents(corrupt_disk)
            except DamagedError:
                continue
            torn_tail_count += 1
            assert (
                not with_end_mark
                and position > newest
                and has_same_contents(contents, expected_contents[-2])
            ), position
    assert bool(torn_tail_count) is not with_end_mark


def test_a_flipped_bit_in_a_new_segment_is_detected() -> None:
    """A flipped bit in the segment's salt must be detected too, as it invalidates every frame."""

    def two_segments() -> Disk:
        disk = Disk()
        writer = journal(disk, 400)
        writer.create()
        while len(disk.names()) < 2:
            writer.write(None, entries(writer.last_index + 1, 1))
        writer.write(None, entries(writer.last_index + 1, 1))
        return disk

    name, last_entry_index = (
        sorted(two_segments().names())[-1],
        reopened_contents(two_segments()).last_index,
    )
    complete_file = two_segments().read(name)
    newest = complete_file.rindex(journal_frames.FRAME_MARK)
    for position in range(newest):
        corrupt_disk = two_segments()
        corrupt_disk.files[name].seen[position] ^= 1
        with pytest.raises(DamagedError):
            reopened_contents(corrupt_disk)
    for length in range(newest):  # a torn segment was not synced, so it may be dropped
        torn = two_segments()
        torn.files[name].seen = bytearray(complete_file[:length])
        assert reopened_contents(torn).last_index < last_entry_index


def test_segments_are_contiguous_and_compaction_removes_old_ones() -> None:
    disk = Disk()
    writer = journal(disk, 400)
    writer.create()
    for i in range(30):
        writer.write(HardState(1 + i // 10, 0), entries(1 + i, 1, 1 + i // 10, 100))
    assert len(writer.segments) > 5
    assert reopened_contents(disk).entries[-1].index == 30
    writer.compact(15)
    contents = reopened_contents(disk)
    assert 0 < contents.base_index <= 15 and contents.last_index == 30
    assert contents.hard_state == HardState(3, 0)
    middle_segment = writer.segments[1].name
    disk.remove(middle_segment)
    with pytest.raises(DamagedError, match="missing"):
        reopened_contents(disk)


def test_a_full_disk_loses_nothing_and_writes_resume_when_there_is_space() -> None:
    disk, expected_contents = written_journal()
    writer = journal(disk)
    writer.open()
    disk.full = True
    for _ in range(2):
        with pytest.raises(DiskFullError, match="no space"):
            writer.write(None, entries(5, 4, 3))
    assert has_same_contents(reopened_contents(disk), expected_contents[-1])
    disk.full = False
    writer.write(None, entries(5, 4, 3))
    assert reopened_contents(disk).last_index == 8


def test_no_write_is_accepted_after_a_failed_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    disk, _ = written_journal()
    writer = journal(disk)
    writer.open()

    def fail_sync() -> bool:
        raise OSError(5, "input/output error")

    disk.lying = fail_sync
    with pytest.raises(SyncFailedError, match="input/output"):
        writer.write(None, entries(5, 1, 3))
    disk.lying = lambda: False
    with pytest.raises(SyncFailedError):
        writer.write(None, entries(5, 1, 3))


def test_a_snapshot_replaces_all_before_it() -> None:
    disk, _ = written_journal()
    writer = journal(disk)
    writer.open()
    meta = SnapshotMeta(90, 5, Members((7,)), 10, 1)
    writer.write(None, (), meta)
    writer.write(None, entries(91, 2, 5))
    contents = reopened_contents(disk)
    assert (contents.base_index, contents.base_term, contents.last_index, contents.install) == (
        90,
        5,
        92,
        meta,
    )


def test_a_journal_of_another_node_or_a_newer_format_is_rejected_in_one_line() -> None:
    disk, _ = written_journal()
    with pytest.raises(DamagedError, match="node 7 of cluster c"):
        Journal(disk, "c", 8).open()
    newer = Disk()
    writer = journal(newer)
    journal_frames.FORMAT += 1
    try:
        writer.create()
    finally:
        journal_frames.FORMAT -= 1
    with pytest.raises(DamagedError, match="format 2 is newer than 1"):
        reopened_contents(newer)


def test_a_stored_frame_is_not_read_as_one_of_the_log() -> None:
    """A stored value may contain bytes of another journal."""
    disk, _ = written_journal()
    frames = disk.read("log-00000001")[journal_frames.SEGMENT_HEADER_BYTES :]
    other = Disk()
    writer = Journal(other, "c", 7, 1 << 20, lambda: b"another!")
    writer.create()
    writer.write(HardState(1, 1), [Entry(1, 1, 1, frames)])
    blob = other.files["log-00000001"]
    del blob.seen[-1:]  # torn: the frames in the value must not count as later frames
    assert Journal(other, "c", 7).open().entries == []


@pytest.mark.parametrize("seed", range(60))
def test_power_loss_at_any_operation_keeps_acknowledged_entries(seed: int) -> None:
    rng = random.Random(seed)
    disk = Disk()
    writer = journal(disk, 500)
    writer.create()
    acknowledged: list[Entry] = []
    term = 1
    operations_left = rng.randint(1, 40)

    def trip() -> None:
        nonlocal operations_left
        operations_left -= 1
        if operations_left == 0:
            raise PowerLost

    disk.trip = trip
    attempted: list[Entry] = []
    try:
        while True:
            term += rng.random() < 0.2
            batch = entries(len(acknowledged) + 1, rng.randint(1, 3), term, rng.randint(1, 900))
            attempted = acknowledged + batch
            writer.write(HardState(term, 0), batch)
            acknowledged = attempted
    except PowerLost:
        disk.trip = lambda: None
        disk.lose_power(rng)
    contents = reopened_contents(disk)
    assert contents.entries in (acknowledged, attempted), f"seed {seed}"
    assert has_same_contents(reopened_contents(disk), contents)


def test_the_journal_works_on_a_real_directory(tmp_path: Path) -> None:
    writer = Journal(Folder(tmp_path), "c", 7, 300)
    writer.create()
    for i in range(10):
        writer.write(HardState(1, 0), entries(1 + i, 1, 1, 100))
    writer.close()
    reopened_journal = Journal(Folder(tmp_path), "c", 7)
    contents = reopened_journal.open()
    assert contents.last_index == 10 and not contents.torn_bytes
    reopened_journal.close()
    newest = sorted(tmp_path.glob("log-*"))[-1]
    newest.write_bytes(newest.read_bytes()[:-30])
    assert Journal(Folder(tmp_path), "c", 7).open(repair=False).torn_bytes > 0
    assert msgspec.msgpack.encode(contents.entries)
