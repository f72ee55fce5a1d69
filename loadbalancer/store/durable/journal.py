"""The on-disk log: hard state and entries, in segments of checksummed frames.

A frame is written only after the previous frame is synced. See `journal_frames` for the format and
`journal_reader` for recovery.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Final

from loadbalancer.store.durable import journal_frames
from loadbalancer.store.durable.errors import DiskFullError, SyncFailedError
from loadbalancer.store.durable.files import File, Files
from loadbalancer.store.durable.journal_frames import (
    END_MARK,
    MAGIC,
    SALT_BYTES,
    SEGMENT_HEADER_BYTES,
    Record,
    Segment,
    SegmentHead,
    encode_frame,
    encode_payload,
)
from loadbalancer.store.durable.journal_reader import JournalContents, JournalReader
from loadbalancer.store.raft.messages import Entry, HardState, SnapshotMeta

SEGMENT_BYTES: Final = 8 << 20


def _draw_salt() -> bytes:
    return os.urandom(SALT_BYTES)


def _error_text(error: OSError) -> str:
    return error.strerror or str(error)


class Journal:
    """A journal that is open for writing; not safe for concurrent use by threads."""

    def __init__(
        self,
        files: Files,
        cluster: str,
        node: int,
        segment_bytes: int = SEGMENT_BYTES,
        draw_salt: Callable[[], bytes] = _draw_salt,
    ) -> None:
        self.files = files
        self.cluster = cluster
        self.node = node
        self.draw_salt = draw_salt
        self.segment_bytes = segment_bytes
        self.segments: list[Segment] = []
        self.file: File | None = None
        self.salt = b""
        self.end_offset = 0  # of the next frame
        self.last_frame_offset = 0
        self.next_sequence = 0
        self.hard_state = HardState()
        self.last_index = 0
        self.last_term = 0
        self.has_end_mark = True
        self.is_broken = False
        self.syncs = 0

    # ---- opening ---------------------------------------------------------------------------------

    def create(self, base_index: int = 0, base_term: int = 0) -> None:
        """Create a journal where none exists."""
        self.last_index = base_index
        self.last_term = base_term
        self._begin_segment(1)

    def open(self, repair: bool = True) -> JournalContents:
        """Read the journal, truncate a torn tail, and prepare to append.

        Args:
            repair: If False, only read the journal.

        Raises:
            DamagedError: The journal is damaged, or belongs to another node or a newer program.
        """
        reader = JournalReader(self.files, self.cluster, self.node)
        contents = reader.read()
        if not repair:
            return contents
        if reader.unfinished_segment is not None:
            self.files.remove(reader.unfinished_segment.name)
            self.files.sync_folder()
        self.segments = reader.segments
        self.salt = reader.salt
        self.end_offset = reader.end_offset
        self.next_sequence = reader.next_sequence
        self.has_end_mark = reader.has_end_mark
        self.file = self.files.open(self.segments[-1].name)
        if contents.torn_bytes:
            self.file.truncate(self.end_offset)
            self.file.sync()
        self.hard_state = contents.hard_state
        self.last_index = contents.last_index
        self.last_term = contents.last_term
        return contents

    # ---- writing ---------------------------------------------------------------------------------

    def write(
        self,
        hard_state: HardState | None,
        entries: Sequence[Entry],
        install: SnapshotMeta | None = None,
    ) -> None:
        """Write a batch, which is durable when the call returns.

        Raises:
            DiskFullError: The disk is full; the journal is unchanged and the batch may be retried.
            SyncFailedError: The content of the disk is unknown.
        """
        if self.is_broken:
            raise SyncFailedError("an earlier sync of the log failed")
        if self.file is None or self.end_offset >= self.segment_bytes:
            self._begin_segment(self.segments[-1].number + 1)
        assert self.file is not None
        payload = encode_payload(Record(hard_state, tuple(entries), install))
        frame = encode_frame(self.salt, self.next_sequence, payload)
        self._write_synced(self.file, frame, self.end_offset)
        self.last_frame_offset = self.end_offset
        self.end_offset += len(frame)
        self.next_sequence += 1
        self.has_end_mark = False
        self.hard_state = hard_state or self.hard_state
        if entries:
            self.last_index = entries[-1].index
            self.last_term = entries[-1].term
        if install is not None:
            self.last_index = install.index
            self.last_term = install.term

    def _write_synced(self, file: File, data: bytes, offset: int) -> None:
        try:
            file.write(data, offset)
        except OSError as error:
            self._truncate_to(file, offset, error)
            raise DiskFullError(f"the log can't be written: {_error_text(error)}") from error
        try:
            file.sync()
        except OSError as error:
            # After a failed sync the kernel may mark a lost page as clean, so a successful retry
            # would not prove that the data is durable.
            self.is_broken = True
            raise SyncFailedError(f"the log can't be synced: {_error_text(error)}") from error
        self.syncs += 1

    def _truncate_to(self, file: File, offset: int, cause: OSError) -> None:
        try:
            file.truncate(offset)
        except OSError as error:
            self.is_broken = True
            raise SyncFailedError(
                f"the log can't be written, nor truncated: {_error_text(error)}"
            ) from cause

    def _begin_segment(self, number: int) -> None:
        segment = Segment(number, self.last_index)
        salt = self.draw_salt()
        data = (
            MAGIC
            + salt
            + encode_frame(salt, self.next_sequence, encode_payload(self._segment_head()))
        )
        file = self._create_segment_file(segment.name, data)
        if self.file is not None:
            self.file.close()
        self.file = file
        self.salt = salt
        self.last_frame_offset = SEGMENT_HEADER_BYTES
        self.end_offset = len(data)
        self.next_sequence += 1
        self.segments.append(segment)
        self.has_end_mark = True

    def _segment_head(self) -> SegmentHead:
        return SegmentHead(
            journal_frames.FORMAT,
            self.cluster,
            self.node,
            self.hard_state,
            self.last_index,
            self.last_term,
        )

    def _create_segment_file(self, name: str, data: bytes) -> File:
        try:
            file = self.files.create(name)
        except OSError as error:
            raise DiskFullError(f"the log can't be continued: {_error_text(error)}") from error
        try:
            self._write_synced(file, data, 0)
            self.files.sync_folder()
        except DiskFullError:
            file.close()
            with suppress(OSError):
                self.files.remove(name)
            raise
        except OSError as error:
            self.is_broken = True
            raise SyncFailedError(
                f"the log's folder can't be synced: {_error_text(error)}"
            ) from error
        return file

    def write_end_mark(self) -> None:
        """Write a mark that the last batch was synced, unless another batch follows it.

        The mark tells damage to the last batch from a torn tail. It is not synced itself, and the
        next batch overwrites it.
        """
        if self.file is not None and not self.has_end_mark and not self.is_broken:
            with suppress(OSError):
                mark = encode_frame(self.salt, self.next_sequence, END_MARK)
                self.file.write(mark, self.end_offset)
            self.has_end_mark = True

    def compact(self, index: int) -> None:
        """Remove segments that hold only entries up to an index."""
        is_any_removed = False
        while len(self.segments) > 1 and self.segments[1].base_index <= index:
            self.files.remove(self.segments[0].name)
            del self.segments[0]
            is_any_removed = True
        if is_any_removed:
            self.files.sync_folder()

    def close(self) -> None:
        """Write an end mark and close the journal."""
        if self.file is not None:
            self.write_end_mark()
            self.file.close()
            self.file = None
