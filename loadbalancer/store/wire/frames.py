"""Encoding and decoding of the frames of a connection.

    frame = length(4) number(4) CRC-32C(4) payload(length)

Little-endian. The checksum covers the connection's nonce, the frame's number and the payload, so
frames that are replayed from another connection, repeated or out of order are rejected. The nonce
is empty until the handshake sets it.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Final

import google_crc32c

from loadbalancer.store.errors import ProtocolError

FRAME_HEADER: Final = struct.Struct("<III")
MAX_GREETING_BYTES: Final = 4 << 10  # limit of the first frame; the peer is not authenticated yet
NONCE_BYTES: Final = 16
NUMBER_MASK: Final = 0xFFFFFFFF


def _checksum(seed: int, number: int, payload: bytes) -> int:
    header = google_crc32c.extend(seed, number.to_bytes(4, "little"))
    return int(google_crc32c.extend(header, payload))


class FrameEncoder:
    """Numbers the payloads of one direction and adds their checksums."""

    def __init__(self) -> None:
        self.number = 0
        self.seed = 0

    def bind(self, nonce: bytes) -> None:
        """Bind all further frames to the connection with this nonce."""
        self.seed = int(google_crc32c.value(nonce))

    def frame(self, payload: bytes) -> bytes:
        """Return the next frame, with this payload."""
        number = self.number & NUMBER_MASK
        self.number += 1
        checksum = _checksum(self.seed, number, payload)
        return FRAME_HEADER.pack(len(payload), number, checksum) + payload


class FrameDecoder:
    """Decodes the frames of one direction from a byte stream.

    Args:
        max_payload_bytes: The limit of a payload; it may be changed between two frames.
    """

    def __init__(self, max_payload_bytes: int = MAX_GREETING_BYTES) -> None:
        self.max_payload_bytes = max_payload_bytes
        self.number = 0
        self.seed = 0
        self.buffer = bytearray()

    def bind(self, nonce: bytes) -> None:
        """Bind all further frames to the connection with this nonce."""
        self.seed = int(google_crc32c.value(nonce))

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.buffer += data

    def payloads(self) -> Iterator[bytes]:
        """Yield the payload of each complete frame; limit and nonce may change between frames.

        Raises:
            ProtocolError: The next frame is not valid on this connection.
        """
        while len(self.buffer) >= FRAME_HEADER.size:
            length, number, checksum = FRAME_HEADER.unpack_from(self.buffer)
            self._check_header(length, number)
            end = FRAME_HEADER.size + length
            if len(self.buffer) < end:
                return
            payload = bytes(self.buffer[FRAME_HEADER.size : end])
            del self.buffer[:end]
            if _checksum(self.seed, number, payload) != checksum:
                raise ProtocolError(
                    f"frame {number} has a wrong checksum, or belongs to another connection"
                )
            self.number += 1
            yield payload

    def _check_header(self, length: int, number: int) -> None:
        if length > self.max_payload_bytes:
            raise ProtocolError(
                f"a frame of {length} bytes, and {self.max_payload_bytes} is the most here"
            )
        expected = self.number & NUMBER_MASK
        if number != expected:
            raise ProtocolError(f"frame {number} where {expected} was due")
