"""The log on disk: hard state and entries, in segments of checksummed frames.

A segment `log-NNNNNNNN` begins with a salt and a head frame; then comes one frame for each batch,
and no frame is written before the one ahead of it is synced. So at most the last frame can be torn,
and a frame that does not read is

- a torn tail, which is cut off, where nothing that reads comes after it;
- damage, which is refused loudly, where something does.

    segment = magic(8) salt(8) frame*
    frame   = mark(4) length(4) sequence(8) CRC-32C(4) payload(length)

Little-endian; the checksum covers salt, sequence and payload, so that a frame of another segment,
or one that somebody stored as a value, does not pass for one of this. A mark, an empty frame, may
stand after the last: it says that the one before it was synced, and is written over by the next.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import google_crc32c
import msgspec

from loadbalancer.store.durable.files import File, Files
from loadbalancer.store.raft.messages import ArrayStruct, Entry, HardState, SnapshotMeta

FORMAT = 1
MAGIC = b"LANELOG\x01"
MARK = b"\xf5Lg\x9a"
FRAME = struct.Struct("<4sIQI")
START = len(MAGIC) + 8
SEGMENT_BYTES = 8 << 20
MOST_FRAME = 1 << 30
PREFIX = "log-"


class Damaged(Exception):
    """Something on disk that was written whole no longer reads; in one line."""


class Full(Exception):
    """There is no room to write; nothing was lost."""


class Broken(Exception):
    """A sync failed: what is on disk is not known, so this process must not go on writing."""


class Head(ArrayStruct, frozen=True):
    """A segment's first frame: whose it is, and what stood before its entries."""

    format: int
    cluster: str
    node: int
    hard: HardState
    base: int
    base_term: int


class Record(ArrayStruct, frozen=True):
    """A batch. `install`: a snapshot took the place of all entries before it."""

    hard: HardState | None = None
    entries: tuple[Entry, ...] = ()
    install: SnapshotMeta | None = None


@dataclass(slots=True)
class Segment:
    number: int
    base: int

    @property
    def name(self) -> str:
        return f"{PREFIX}{self.number:08d}"


@dataclass(slots=True)
class Found:
    """What the journal held when it was opened."""

    hard: HardState
    base: int
    base_term: int
    entries: list[Entry] = field(default_factory=list)
    install: SnapshotMeta | None = None  # the last one; it may not be carried out yet
    cut: int = 0  # bytes of a torn tail that were cut off

    @property
    def last(self) -> int:
        return self.entries[-1].index if self.entries else self.base

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term


_encoder = msgspec.msgpack.Encoder()
_heads = msgspec.msgpack.Decoder(Head)
_records = msgspec.msgpack.Decoder(Record)


def _sum(salt: bytes, sequence: int, payload: bytes) -> int:
    return int(
        google_crc32c.extend(google_crc32c.value(salt + sequence.to_bytes(8, "little")), payload)
    )


def _frame(salt: bytes, sequence: int, payload: bytes) -> bytes:
    return FRAME.pack(MARK, len(payload), sequence, _sum(salt, sequence, payload)) + payload


def _frame_at(data: bytes, at: int, salt: bytes) -> tuple[int, bytes] | None:
    """Sequence and payload of the frame that stands there whole, if one does."""
    if len(data) - at < FRAME.size:
        return None
    mark, length, sequence, checksum = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if mark != MARK or length > MOST_FRAME or end > len(data):
        return None
    payload = data[at + FRAME.size : end]
    return (sequence, payload) if _sum(salt, sequence, payload) == checksum else None


def _more(data: bytes) -> bool:
    """Does anything stand behind a segment's head? Then the head was synced, whatever of it, or of
    the salt that all its sums are over, no longer reads.
    """
    if len(data) < START + FRAME.size:
        return False
    mark, length, _, _ = FRAME.unpack_from(data, START)
    return bool(mark == MARK and START + FRAME.size + length < len(data))


def _later(data: bytes, at: int, salt: bytes, sequence: int) -> int:
    """Where after `at` a whole frame stands that is no older than `sequence`; -1: nowhere."""
    at = data.find(MARK, at + 1)
    while at >= 0:
        found = _frame_at(data, at, salt)
        if found is not None and found[0] >= sequence:
            return at
        at = data.find(MARK, at + 1)
    return -1


class Journal:
    """Open for writing. One thread at a time."""

    def __init__(
        self,
        files: Files,
        cluster: str,
        node: int,
        segment_bytes: int = SEGMENT_BYTES,
        salt: Callable[[], bytes] = lambda: os.urandom(8),
    ) -> None:
        self.files = files
        self.cluster = cluster
        self.node = node
        self.new_salt = salt
        self.segment_bytes = segment_bytes
        self.segments: list[Segment] = []
        self.file: File | None = None
        self.salt = b""
        self.at = 0  # where the next frame goes
        self.newest = 0  # where the last one begins
        self.sequence = 0  # of the next frame
        self.hard = HardState()
        self.last, self.last_term = 0, 0
        self.marked = True
        self.broken = False
        self.syncs = 0

    # ---- opening ---------------------------------------------------------------------------------

    def create(self, base: int = 0, base_term: int = 0) -> None:
        """A journal where there is none."""
        self.last, self.last_term = base, base_term
        self._begin_segment(1)

    def open(self, repair: bool = True) -> Found:
        """Raises Damaged, and cuts off a torn tail; without `repair` it is only looked at."""
        numbers = sorted(
            int(name[len(PREFIX) :])
            for name in self.files.names()
            if name.startswith(PREFIX) and name[len(PREFIX) :].isdigit()
        )
        if not numbers:
            raise Damaged("there is no log: this folder holds no member of a cluster")
        if numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise Damaged(
                f"a segment of the log is missing between {PREFIX}{numbers[0]:08d} and "
                f"{PREFIX}{numbers[-1]:08d}"
            )
        found: Found | None = None
        for number in numbers:
            segment = Segment(number, 0)
            data = self.files.read(segment.name)
            salt = data[len(MAGIC) : START]
            first = _frame_at(data, START, salt) if data.startswith(MAGIC) else None
            if first is None:
                begun = (
                    found is not None
                    and not _more(data)
                    and _later(data, 0, salt, self.sequence) < 0
                )
                if number == numbers[-1] and begun and found is not None:
                    found.cut += len(data)
                    if repair:
                        self.files.remove(segment.name)  # it was being begun
                        self.files.sync_folder()
                    break
                raise Damaged(f"{segment.name}: its head does not read")
            found = self._read(segment, data, salt, found, number == numbers[-1])
        assert found is not None
        if not repair:
            return found
        self.file = self.files.open(self.segments[-1].name)
        if found.cut:
            self.file.truncate(self.at)
            self.file.sync()
        self.hard, self.last, self.last_term = found.hard, found.last, found.last_term
        return found

    def _read(
        self, segment: Segment, data: bytes, salt: bytes, found: Found | None, newest: bool
    ) -> Found:
        at, head = START, None
        self.marked = False
        while at < len(data):
            frame = _frame_at(data, at, salt)
            if frame is None or (head is not None and frame[0] != self.sequence):
                after = _later(data, at, salt, self.sequence)
                if not newest or after >= 0:
                    more = f": a frame at byte {after} follows on it" if after >= 0 else ""
                    raise Damaged(
                        f"{segment.name}: what stands at byte {at} was written whole and does not"
                        f" read{more}"
                    )
                assert found is not None
                found.cut += len(data) - at
                break
            sequence, payload = frame
            if head is None:
                head = self._head(segment, payload)
                segment.base = head.base
                if found is None:
                    found = Found(head.hard, head.base, head.base_term)
                elif (sequence, head.hard, head.base) != (self.sequence, found.hard, found.last):
                    raise Damaged(f"{segment.name}: it does not follow on the segment before it")
            elif payload:
                assert found is not None
                self._take(found, segment, payload)
            else:
                self.marked = True  # the end: the next frame takes its place
                break
            self.sequence = sequence + 1
            at += FRAME.size + len(payload)
        self.segments.append(segment)
        self.salt, self.at = salt, at
        assert found is not None
        return found

    def _head(self, segment: Segment, payload: bytes) -> Head:
        version = msgspec.msgpack.decode(payload)[0]
        if version > FORMAT:
            raise Damaged(
                f"{segment.name}: format {version} is newer than {FORMAT}, which this program knows"
            )
        head = _heads.decode(payload)
        if (head.cluster, head.node) != (self.cluster, self.node):
            raise Damaged(
                f"{segment.name}: it belongs to node {head.node:x} of cluster {head.cluster}"
            )
        return head

    def _take(self, found: Found, segment: Segment, payload: bytes) -> None:
        record = _records.decode(payload)
        if record.hard is not None:
            old, new = found.hard, record.hard
            if new.term < old.term or (
                new.term == old.term and old.voted_for not in (0, new.voted_for)
            ):
                raise Damaged(
                    f"{segment.name}: term and vote go back from {old.term}, {old.voted_for:x} to "
                    f"{new.term}, {new.voted_for:x}"
                )
            found.hard = record.hard
        if record.entries:
            first = record.entries[0].index
            if not found.base < first <= found.last + 1:
                raise Damaged(f"{segment.name}: entry {first} does not follow on {found.last}")
            del found.entries[first - found.base - 1 :]
            found.entries.extend(record.entries)
        if record.install is not None:
            found.install = record.install
            found.entries.clear()
            found.base, found.base_term = record.install.index, record.install.term

    # ---- writing ---------------------------------------------------------------------------------

    def write(
        self, hard: HardState | None, entries: Sequence[Entry], install: SnapshotMeta | None = None
    ) -> None:
        """Durable when it returns. Raises Full where there is no room: the journal is as it was,
        and the same may be tried again. Raises Broken where it can't be known.
        """
        if self.broken:
            raise Broken("the log could not be synced before")
        if self.file is None or self.at >= self.segment_bytes:
            self._begin_segment(self.segments[-1].number + 1)
        assert self.file is not None
        frame = _frame(
            self.salt, self.sequence, _encoder.encode(Record(hard, tuple(entries), install))
        )
        self._put(self.file, frame, self.at)
        self.newest = self.at
        self.at += len(frame)
        self.sequence += 1
        self.marked = False
        self.hard = hard or self.hard
        if entries:
            self.last, self.last_term = entries[-1].index, entries[-1].term
        if install is not None:
            self.last, self.last_term = install.index, install.term

    def _put(self, file: File, data: bytes, at: int) -> None:
        try:
            file.write(data, at)
        except OSError as error:
            try:
                file.truncate(at)
            except OSError as again:
                self.broken = True
                raise Broken(
                    f"the log can't be written, nor cut back: {again.strerror or again}"
                ) from error
            raise Full(f"the log can't be written: {error.strerror or error}") from error
        try:
            file.sync()
        except OSError as error:
            # After a failed sync a page may be marked clean and lost: trying again would prove
            # nothing.
            self.broken = True
            raise Broken(f"the log can't be synced: {error.strerror or error}") from error
        self.syncs += 1

    def _begin_segment(self, number: int) -> None:
        segment = Segment(number, self.last)
        salt = self.new_salt()
        head = Head(FORMAT, self.cluster, self.node, self.hard, self.last, self.last_term)
        data = MAGIC + salt + _frame(salt, self.sequence, _encoder.encode(head))
        try:
            file = self.files.create(segment.name)
        except OSError as error:
            raise Full(f"the log can't be continued: {error.strerror or error}") from error
        try:
            self._put(file, data, 0)
            self.files.sync_folder()
        except Full:
            file.close()
            with suppress(OSError):
                self.files.remove(segment.name)
            raise
        except OSError as error:
            self.broken = True
            raise Broken(f"the log's folder can't be synced: {error.strerror or error}") from error
        if self.file is not None:
            self.file.close()
        self.file, self.salt, self.newest, self.at = file, salt, START, len(data)
        self.sequence += 1
        self.segments.append(segment)
        self.marked = True

    def mark(self) -> None:
        """Say on disk, where nothing more came, that the last batch was synced. Not synced itself:
        it tells damage from a torn tail, and the next batch takes its place.
        """
        if self.file is not None and not self.marked and not self.broken:
            with suppress(OSError):
                self.file.write(_frame(self.salt, self.sequence, b""), self.at)
            self.marked = True

    def cut(self, index: int) -> None:
        """Drop the segments that hold nothing after this entry."""
        removed = False
        while len(self.segments) > 1 and self.segments[1].base <= index:
            self.files.remove(self.segments[0].name)
            del self.segments[0]
            removed = True
        if removed:
            self.files.sync_folder()

    def close(self) -> None:
        if self.file is not None:
            self.mark()
            self.file.close()
            self.file = None
