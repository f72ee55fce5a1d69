"""The log on disk: what was synced comes back, a torn tail goes, damage is refused."""

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
    return Journal(disk, "c", 7, segment, lambda: SALT)


def entries(first: int, count: int, term: int = 1, size: int = 20) -> list[Entry]:
    return [Entry(term, i, 1, bytes([i % 256]) * size) for i in range(first, first + count)]


def written() -> tuple[Disk, list[JournalContents]]:
    """A journal of three batches, and what stands after each."""
    disk = Disk()
    j = journal(disk)
    j.create()
    stands = [JournalContents(HardState(), 0, 0)]
    j.write(HardState(1, 2), entries(1, 3))
    stands.append(JournalContents(HardState(1, 2), 0, 0, entries(1, 3)))
    j.write(None, entries(3, 2, 2))
    stands.append(JournalContents(HardState(1, 2), 0, 0, entries(1, 2) + entries(3, 2, 2)))
    j.write(HardState(3, 0), [])
    stands.append(JournalContents(HardState(3, 0), 0, 0, stands[-1].entries))
    return disk, stands


def opened(disk: Disk) -> JournalContents:
    return journal(disk).open()


def same(found: JournalContents, other: JournalContents) -> bool:
    return (found.hard_state, found.base_index, found.entries) == (
        other.hard_state,
        other.base_index,
        other.entries,
    )


def test_what_was_written_comes_back_and_goes_on() -> None:
    disk, stands = written()
    j = journal(disk)
    assert same(j.open(), stands[-1])
    j.write(HardState(4, 7), entries(5, 1, 4))
    found = opened(disk)
    assert found.hard_state == HardState(4, 7) and found.last_index == 5 and found.last_term == 4


def test_a_tail_torn_anywhere_leaves_the_batches_before_it() -> None:
    disk, stands = written()
    whole = disk.read("log-00000001")
    seen: set[int] = set()
    for length in range(len(whole)):
        short, _ = written()
        short.files["log-00000001"].seen = bytearray(whole[:length])
        try:
            found = opened(short)
        except DamagedError as error:
            assert "head does not read" in str(error) and not seen  # not even the head is there
            continue
        at = next(i for i, stand in enumerate(stands) if same(found, stand))
        seen.add(at)
        assert same(opened(short), stands[at])  # what was cut is gone for good
    assert seen == {0, 1, 2}


@pytest.mark.parametrize("marked", [True, False])
def test_no_flipped_bit_passes(marked: bool) -> None:
    """In a batch that another follows, or a mark, it is damage; in the last without one, a torn
    tail.
    """
    disk, stands = written()
    j = journal(disk)
    j.open()
    newest = len(disk.read("log-00000001")) - 60
    if marked:
        j.has_end_mark = False
        j.write_end_mark()
    whole = disk.read("log-00000001")
    end = len(whole) - (journal_frames.FRAME_HEADER.size if marked else 0)
    cut = 0
    for at in range(end):
        for bit in (0, 5):
            flipped, _ = written()
            blob = flipped.files["log-00000001"]
            blob.seen = bytearray(whole)
            blob.seen[at] ^= 1 << bit
            try:
                found = opened(flipped)
            except DamagedError:
                continue
            cut += 1
            assert not marked and at > newest and same(found, stands[-2]), at
    assert bool(cut) is not marked


def test_no_flipped_bit_passes_for_a_segment_that_was_being_begun() -> None:
    """Of its salt neither: no frame of it reads then."""

    def two() -> Disk:
        disk = Disk()
        j = journal(disk, 400)
        j.create()
        while len(disk.names()) < 2:
            j.write(None, entries(j.last_index + 1, 1))
        j.write(None, entries(j.last_index + 1, 1))
        return disk

    name, last = sorted(two().names())[-1], opened(two()).last_index
    whole = two().read(name)
    newest = whole.rindex(journal_frames.FRAME_MARK)
    for at in range(newest):
        flipped = two()
        flipped.files[name].seen[at] ^= 1
        with pytest.raises(DamagedError):
            opened(flipped)
    for length in range(newest):  # torn it is another matter: what was not synced is no promise
        torn = two()
        torn.files[name].seen = bytearray(whole[:length])
        assert opened(torn).last_index < last


def test_segments_follow_on_each_other_and_compaction_removes_old_ones() -> None:
    disk = Disk()
    j = journal(disk, 400)
    j.create()
    for i in range(30):
        j.write(HardState(1 + i // 10, 0), entries(1 + i, 1, 1 + i // 10, 100))
    assert len(j.segments) > 5
    assert opened(disk).entries[-1].index == 30
    j.compact(15)
    found = opened(disk)
    assert 0 < found.base_index <= 15 and found.last_index == 30
    assert found.hard_state == HardState(3, 0)
    middle = j.segments[1].name
    disk.remove(middle)
    with pytest.raises(DamagedError, match="missing"):
        opened(disk)


def test_a_full_disk_loses_nothing_and_goes_on_when_there_is_room() -> None:
    disk, stands = written()
    j = journal(disk)
    j.open()
    disk.full = True
    for _ in range(2):
        with pytest.raises(DiskFullError, match="no space"):
            j.write(None, entries(5, 4, 3))
    assert same(opened(disk), stands[-1])
    disk.full = False
    j.write(None, entries(5, 4, 3))
    assert opened(disk).last_index == 8


def test_after_a_failed_sync_nothing_more_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    disk, _ = written()
    j = journal(disk)
    j.open()

    def fails() -> bool:
        raise OSError(5, "input/output error")

    disk.lying = fails
    with pytest.raises(SyncFailedError, match="input/output"):
        j.write(None, entries(5, 1, 3))
    disk.lying = lambda: False
    with pytest.raises(SyncFailedError):
        j.write(None, entries(5, 1, 3))


def test_a_snapshot_replaces_all_before_it() -> None:
    disk, _ = written()
    j = journal(disk)
    j.open()
    meta = SnapshotMeta(90, 5, Members((7,)), 10, 1)
    j.write(None, (), meta)
    j.write(None, entries(91, 2, 5))
    found = opened(disk)
    assert (found.base_index, found.base_term, found.last_index, found.install) == (90, 5, 92, meta)


def test_a_journal_of_another_node_or_a_newer_format_is_rejected_in_one_line() -> None:
    disk, _ = written()
    with pytest.raises(DamagedError, match="node 7 of cluster c"):
        Journal(disk, "c", 8).open()
    newer = Disk()
    j = journal(newer)
    journal_frames.FORMAT += 1
    try:
        j.create()
    finally:
        journal_frames.FORMAT -= 1
    with pytest.raises(DamagedError, match="format 2 is newer than 1"):
        opened(newer)


def test_a_stored_frame_is_not_read_as_one_of_the_log() -> None:
    """A value may hold bytes of another journal."""
    disk, _ = written()
    frames = disk.read("log-00000001")[journal_frames.SEGMENT_HEADER_BYTES :]
    other = Disk()
    j = Journal(other, "c", 7, 1 << 20, lambda: b"another!")
    j.create()
    j.write(HardState(1, 1), [Entry(1, 1, 1, frames)])
    blob = other.files["log-00000001"]
    del blob.seen[-1:]  # torn: what it holds must not look like something that follows
    assert Journal(other, "c", 7).open().entries == []


@pytest.mark.parametrize("seed", range(60))
def test_power_lost_at_any_boundary_loses_nothing_that_was_acknowledged(seed: int) -> None:
    rng = random.Random(seed)
    disk = Disk()
    j = journal(disk, 500)
    j.create()
    done: list[Entry] = []
    term = 1
    fuse = rng.randint(1, 40)

    def trip() -> None:
        nonlocal fuse
        fuse -= 1
        if fuse == 0:
            raise PowerLost

    disk.trip = trip
    wanted: list[Entry] = []
    try:
        while True:
            term += rng.random() < 0.2
            batch = entries(len(done) + 1, rng.randint(1, 3), term, rng.randint(1, 900))
            wanted = done + batch
            j.write(HardState(term, 0), batch)
            done = wanted
    except PowerLost:
        disk.trip = lambda: None
        disk.lose_power(rng)
    found = opened(disk)
    assert found.entries in (done, wanted), f"seed {seed}"
    assert same(opened(disk), found)


def test_a_folder_on_disk_behaves_alike(tmp_path: Path) -> None:
    j = Journal(Folder(tmp_path), "c", 7, 300)
    j.create()
    for i in range(10):
        j.write(HardState(1, 0), entries(1 + i, 1, 1, 100))
    j.close()
    again = Journal(Folder(tmp_path), "c", 7)
    found = again.open()
    assert found.last_index == 10 and not found.torn_bytes
    again.close()
    newest = sorted(tmp_path.glob("log-*"))[-1]
    newest.write_bytes(newest.read_bytes()[:-30])
    assert Journal(Folder(tmp_path), "c", 7).open(repair=False).torn_bytes > 0
    assert msgspec.msgpack.encode(found.entries)
