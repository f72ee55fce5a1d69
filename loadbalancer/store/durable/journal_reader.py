"""Reads the journal, detects a torn tail and reports damage.

A frame is written only after the previous frame is synced, so at most the last frame can be torn.
An invalid frame is

- a torn tail, which may be truncated, if no valid frame follows it;
- damage, if a valid frame follows it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.store.durable.errors import DamagedError
from loadbalancer.store.durable.files import Files
from loadbalancer.store.durable.journal_frames import (
    FORMAT,
    FRAME_HEADER,
    MAGIC,
    SEGMENT_HEADER_BYTES,
    SEGMENT_PREFIX,
    Segment,
    SegmentHead,
    decode_format,
    decode_frame,
    decode_head,
    decode_record,
    find_later_frame,
    has_data_after_head,
    segment_name,
)
from loadbalancer.store.raft.messages import NO_NODE, Entry, HardState, SnapshotMeta


@dataclass(slots=True)
class JournalContents:
    """The content of the journal when it was opened."""

    hard_state: HardState
    base_index: int
    base_term: int
    entries: list[Entry] = field(default_factory=list)
    install: SnapshotMeta | None = None  # the last snapshot; its installation may be incomplete
    torn_bytes: int = 0  # size of the torn tail

    @property
    def last_index(self) -> int:
        """The index of the last entry, or the base index if there are no entries."""
        return self.entries[-1].index if self.entries else self.base_index

    @property
    def last_term(self) -> int:
        """The term of the last entry, or the base term if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term


class JournalReader:
    """Reads all segments and determines the position of the next frame."""

    def __init__(self, files: Files, cluster: str, node: int) -> None:
        self.files = files
        self.cluster = cluster
        self.node = node
        self.contents: JournalContents | None = None
        self.segments: list[Segment] = []
        self.unfinished_segment: Segment | None = None  # without a complete head
        self.salt = b""
        self.end_offset = 0
        self.next_sequence = 0
        self.has_end_mark = True

    def read(self) -> JournalContents:
        """Read the complete journal without changing it.

        Raises:
            DamagedError: The journal is damaged, or belongs to another node or a newer program.
        """
        numbers = self._segment_numbers()
        for number in numbers:
            self._read_segment(Segment(number), is_last=number == numbers[-1])
        assert self.contents is not None
        return self.contents

    def _segment_numbers(self) -> list[int]:
        suffixes = [
            name.removeprefix(SEGMENT_PREFIX)
            for name in self.files.names()
            if name.startswith(SEGMENT_PREFIX)
        ]
        numbers = sorted(int(suffix) for suffix in suffixes if suffix.isdigit())
        if not numbers:
            raise DamagedError("there is no log: this folder holds no member of a cluster")
        if numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise DamagedError(
                f"a segment of the log is missing between {segment_name(numbers[0])} and "
                f"{segment_name(numbers[-1])}"
            )
        return numbers

    def _read_segment(self, segment: Segment, is_last: bool) -> None:
        data = self.files.read(segment.name)
        salt = data[len(MAGIC) : SEGMENT_HEADER_BYTES]
        has_magic = data.startswith(MAGIC)
        if not has_magic or decode_frame(data, SEGMENT_HEADER_BYTES, salt) is None:
            if not is_last or not self._was_being_created(data, salt):
                raise DamagedError(f"{segment.name}: its head does not read")
            assert self.contents is not None
            self.contents.torn_bytes += len(data)
            self.unfinished_segment = segment
            return
        self._read_frames(segment, data, salt, is_last)

    def _was_being_created(self, data: bytes, salt: bytes) -> bool:
        return (
            self.contents is not None
            and not has_data_after_head(data)
            and find_later_frame(data, 0, salt, self.next_sequence) is None
        )

    def _read_frames(self, segment: Segment, data: bytes, salt: bytes, is_last: bool) -> None:
        offset = SEGMENT_HEADER_BYTES
        is_head = True
        self.has_end_mark = False
        while offset < len(data):
            frame = decode_frame(data, offset, salt)
            if frame is None or (not is_head and frame.sequence != self.next_sequence):
                self._require_torn_tail(segment, data, salt, offset, is_last)
                break
            if is_head:
                self._apply_head(segment, frame.sequence, frame.payload)
                is_head = False
            elif frame.payload:
                self._apply_record(segment, frame.payload)
            else:
                self.has_end_mark = True  # the next frame overwrites the mark
                break
            self.next_sequence = frame.sequence + 1
            offset += FRAME_HEADER.size + len(frame.payload)
        self.segments.append(segment)
        self.salt = salt
        self.end_offset = offset

    def _require_torn_tail(
        self, segment: Segment, data: bytes, salt: bytes, offset: int, is_last: bool
    ) -> None:
        later_frame_offset = find_later_frame(data, offset, salt, self.next_sequence)
        if not is_last or later_frame_offset is not None:
            detail = (
                f": a valid frame at byte {later_frame_offset} follows"
                if later_frame_offset is not None
                else ""
            )
            raise DamagedError(
                f"{segment.name}: the frame at byte {offset} was completely written but is"
                f" damaged{detail}"
            )
        assert self.contents is not None
        self.contents.torn_bytes += len(data) - offset

    def _apply_head(self, segment: Segment, sequence: int, payload: bytes) -> None:
        head = self._decode_head(segment, payload)
        segment.base_index = head.base_index
        contents = self.contents
        if contents is None:
            self.contents = JournalContents(head.hard_state, head.base_index, head.base_term)
            return
        expected = (self.next_sequence, contents.hard_state, contents.last_index)
        if (sequence, head.hard_state, head.base_index) != expected:
            raise DamagedError(f"{segment.name}: it does not continue the previous segment")

    def _decode_head(self, segment: Segment, payload: bytes) -> SegmentHead:
        version = decode_format(payload)
        if version > FORMAT:
            raise DamagedError(
                f"{segment.name}: format {version} is newer than {FORMAT}, which this program knows"
            )
        head = decode_head(payload)
        if (head.cluster, head.node) != (self.cluster, self.node):
            raise DamagedError(
                f"{segment.name}: it belongs to node {head.node:x} of cluster {head.cluster}"
            )
        return head

    def _apply_record(self, segment: Segment, payload: bytes) -> None:
        contents = self.contents
        assert contents is not None
        record = decode_record(payload)
        if record.hard_state is not None:
            self._require_no_regression(segment, contents.hard_state, record.hard_state)
            contents.hard_state = record.hard_state
        if record.entries:
            first_index = record.entries[0].index
            if not contents.base_index < first_index <= contents.last_index + 1:
                raise DamagedError(
                    f"{segment.name}: entry {first_index} does not continue the log after entry"
                    f" {contents.last_index}"
                )
            del contents.entries[first_index - contents.base_index - 1 :]
            contents.entries.extend(record.entries)
        if record.install is not None:
            contents.install = record.install
            contents.entries.clear()
            contents.base_index = record.install.index
            contents.base_term = record.install.term

    @staticmethod
    def _require_no_regression(segment: Segment, old: HardState, new: HardState) -> None:
        if new.term < old.term or (
            new.term == old.term and old.voted_for not in (NO_NODE, new.voted_for)
        ):
            raise DamagedError(
                f"{segment.name}: term and vote regress from {old.term}, {old.voted_for:x} to "
                f"{new.term}, {new.voted_for:x}"
            )
