"""The format of the journal: segments of checksummed frames.

A segment `log-NNNNNNNN` begins with a salt and a head frame; then comes one frame for each batch.

    segment = magic(8) salt(8) frame*
    frame   = mark(4) length(4) sequence(8) CRC-32C(4) payload(length)

Little-endian; the checksum covers salt, sequence and payload, so that a frame of another segment,
or one that was stored as a value, does not pass for one of this. An end mark, a frame without
payload, may stand after the last frame: it says that the one before it was synced, and the next
frame is written over it.
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
SEGMENT_HEADER_BYTES: Final = len(MAGIC) + SALT_BYTES  # where the head frame begins
FRAME_MARK: Final = b"\xf5Lg\x9a"
FRAME_HEADER: Final = struct.Struct("<4sIQI")
MAX_PAYLOAD_BYTES: Final = 1 << 30
SEGMENT_PREFIX: Final = "log-"
END_MARK: Final = b""  # the payload of an end mark


class SegmentHead(ArrayStruct, frozen=True):
    """A segment's first frame: whose it is, and what stood before its entries."""

    format: int
    cluster: str
    node: int
    hard_state: HardState
    base_index: int
    base_term: int


class Record(ArrayStruct, frozen=True):
    """A batch."""

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    install: SnapshotMeta | None = None  # this snapshot replaced all entries before it


class Frame(NamedTuple):
    """A complete frame."""

    sequence: int
    payload: bytes


@dataclass(slots=True)
class Segment:
    """A file of the journal."""

    number: int
    base_index: int = 0  # the last entry before it

    @property
    def name(self) -> str:
        """Its file name."""
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
    """Return the format version of a segment's head, whatever else it holds."""
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
    """Return a frame's bytes."""
    checksum = _checksum(salt, sequence, payload)
    return FRAME_HEADER.pack(FRAME_MARK, len(payload), sequence, checksum) + payload


def decode_frame(data: bytes, offset: int, salt: bytes) -> Frame | None:
    """Return the frame at an offset. None: there is no complete one."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    mark, length, sequence, checksum = FRAME_HEADER.unpack_from(data, offset)
    end = offset + FRAME_HEADER.size + length
    if mark != FRAME_MARK or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + FRAME_HEADER.size : end]
    return Frame(sequence, payload) if _checksum(salt, sequence, payload) == checksum else None


def has_data_after_head(data: bytes) -> bool:
    """Return whether anything stands behind a segment's head frame.

    Then the head was synced, though it, or the salt of its checksum, may no longer read.
    """
    if len(data) < SEGMENT_HEADER_BYTES + FRAME_HEADER.size:
        return False
    mark, length, _, _ = FRAME_HEADER.unpack_from(data, SEGMENT_HEADER_BYTES)
    return bool(
        mark == FRAME_MARK and SEGMENT_HEADER_BYTES + FRAME_HEADER.size + length < len(data)
    )


def find_later_frame(data: bytes, offset: int, salt: bytes, sequence: int) -> int | None:
    """Return where, after an offset, a complete frame begins that is no older than `sequence`."""
    candidate = data.find(FRAME_MARK, offset + 1)
    while candidate >= 0:
        frame = decode_frame(data, candidate, salt)
        if frame is not None and frame.sequence >= sequence:
            return candidate
        candidate = data.find(FRAME_MARK, candidate + 1)
    return None
