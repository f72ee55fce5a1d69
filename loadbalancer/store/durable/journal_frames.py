"""The format of the journal: segments of checksummed frames.

A segment file `log-NNNNNNNN` starts with a salt and a head frame, followed by one frame per batch.

    segment = magic(8) salt(8) frame*
    frame   = mark(4) length(4) sequence(8) CRC-32C(4) payload(length)

Little-endian. The checksum covers salt, sequence and payload, so a frame of another segment, or one
that is part of a stored value, is not accepted as a frame of this segment. The last frame may be
followed by an end mark, which is a frame without payload. It records that the previous frame was
synced, and the next frame overwrites it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Final, NamedTuple

import google_crc32c
import msgspec

from loadbalancer.store.raft.messages import ArrayStruct, Entry, HardState, SnapshotMeta

FORMAT = 1
MAGIC: Final = b"LANELOG\x01"
SALT_BYTES: Final = 8
SEGMENT_HEADER_BYTES: Final = len(MAGIC) + SALT_BYTES  # offset of the head frame
FRAME_MARK: Final = b"\xf5Lg\x9a"
FRAME_HEADER: Final = struct.Struct("<4sIQI")
MAX_PAYLOAD_BYTES: Final = 1 << 30
SEGMENT_PREFIX: Final = "log-"
END_MARK: Final = b""  # the payload of an end mark


class SegmentHead(ArrayStruct, frozen=True):
    """The first frame of a segment: its owner, and the log's position before its entries."""

    format: int
    cluster: str
    node: int
    hard_state: HardState
    base_index: int
    base_term: int


class Record(ArrayStruct, frozen=True):
    """One batch of changes to the log."""

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    install: SnapshotMeta | None = None  # the snapshot that replaced all earlier entries


class Frame(NamedTuple):
    """A decoded frame."""

    sequence: int
    payload: bytes


@dataclass(slots=True)
class Segment:
    """A file of the journal."""

    number: int
    base_index: int = 0  # the last entry before the segment

    @property
    def name(self) -> str:
        """The file name."""
        return segment_name(self.number)


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(SegmentHead)
_record_decoder = msgspec.msgpack.Decoder(Record)


def segment_name(number: int) -> str:
    """Return a segment's file name."""
    return f"{SEGMENT_PREFIX}{number:08d}"


def encode_payload(payload: SegmentHead | Record) -> bytes:
    """Encode the payload of a frame."""
    return _encoder.encode(payload)


def decode_format(payload: bytes) -> int:
    """Return the format version of a segment's head, whose other fields may be unsupported."""
    return int(msgspec.msgpack.decode(payload)[0])


def decode_head(payload: bytes) -> SegmentHead:
    """Decode the payload of a segment's first frame."""
    return _head_decoder.decode(payload)


def decode_record(payload: bytes) -> Record:
    """Decode the payload of any other frame."""
    return _record_decoder.decode(payload)


def _checksum(salt: bytes, sequence: int, payload: bytes) -> int:
    prefix = google_crc32c.value(salt + sequence.to_bytes(8, "little"))
    return int(google_crc32c.extend(prefix, payload))


def encode_frame(salt: bytes, sequence: int, payload: bytes) -> bytes:
    """Encode a frame."""
    checksum = _checksum(salt, sequence, payload)
    return FRAME_HEADER.pack(FRAME_MARK, len(payload), sequence, checksum) + payload


def decode_frame(data: bytes, offset: int, salt: bytes) -> Frame | None:
    """Return the frame at an offset, or None if there is no valid frame."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    mark, length, sequence, checksum = FRAME_HEADER.unpack_from(data, offset)
    end = offset + FRAME_HEADER.size + length
    if mark != FRAME_MARK or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + FRAME_HEADER.size : end]
    return Frame(sequence, payload) if _checksum(salt, sequence, payload) == checksum else None


def has_data_after_head(data: bytes) -> bool:
    """Return whether a segment contains data after its head frame.

    If so, the head was synced, even if the head or the salt of its checksum is damaged now.
    """
    if len(data) < SEGMENT_HEADER_BYTES + FRAME_HEADER.size:
        return False
    mark, length, _, _ = FRAME_HEADER.unpack_from(data, SEGMENT_HEADER_BYTES)
    return bool(
        mark == FRAME_MARK and SEGMENT_HEADER_BYTES + FRAME_HEADER.size + length < len(data)
    )


def find_later_frame(data: bytes, offset: int, salt: bytes, sequence: int) -> int | None:
    """Return the offset of the next valid frame whose number is at least `sequence`."""
    candidate = data.find(FRAME_MARK, offset + 1)
    while candidate >= 0:
        frame = decode_frame(data, candidate, salt)
        if frame is not None and frame.sequence >= sequence:
            return candidate
        candidate = data.find(FRAME_MARK, candidate + 1)
    return None
