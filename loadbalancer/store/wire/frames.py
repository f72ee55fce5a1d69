"""Frames on a connection, in both directions: length, running number, checksum, payload.

    frame = length(4) number(4) CRC-32C(4) payload(length)

Little-endian. The checksum covers the connection's nonce, the number and the payload, so a frame
that was recorded elsewhere, or comes twice, or out of turn, is refused. The nonce is empty until
the greeting has told it.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import google_crc32c

HEAD = struct.Struct("<III")
GREETING_MOST = 4 << 10  # bytes of the first frame: nobody is known yet
NONCE = 16


class Refused(Exception):
    """What came is no frame of this connection, in one line."""


def _sum(seed: int, number: int, payload: bytes) -> int:
    return int(
        google_crc32c.extend(google_crc32c.extend(seed, number.to_bytes(4, "little")), payload)
    )


class Sender:
    """Numbers and seals frames."""

    def __init__(self) -> None:
        self.number = 0
        self.seed = 0

    def bind(self, nonce: bytes) -> None:
        self.seed = int(google_crc32c.value(nonce))

    def frame(self, payload: bytes) -> bytes:
        number = self.number & 0xFFFFFFFF
        self.number += 1
        return HEAD.pack(len(payload), number, _sum(self.seed, number, payload)) + payload


class Receiver:
    """Cuts frames out of what comes, however it is split."""

    def __init__(self, most: int = GREETING_MOST) -> None:
        self.most = most
        self.number = 0
        self.seed = 0
        self.buffer = bytearray()

    def bind(self, nonce: bytes) -> None:
        self.seed = int(google_crc32c.value(nonce))

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def payloads(self) -> Iterator[bytes]:
        """Whole ones, as they come; limits and nonce may change between two. Raises Refused."""
        while len(self.buffer) >= HEAD.size:
            length, number, checksum = HEAD.unpack_from(self.buffer)
            if length > self.most:
                raise Refused(f"a frame of {length} bytes, and {self.most} is the most here")
            if number != self.number & 0xFFFFFFFF:
                raise Refused(f"frame {number} where {self.number & 0xFFFFFFFF} was due")
            if len(self.buffer) < HEAD.size + length:
                return
            payload = bytes(self.buffer[HEAD.size : HEAD.size + length])
            del self.buffer[: HEAD.size + length]
            if _sum(self.seed, number, payload) != checksum:
                raise Refused(
                    f"frame {number} has a wrong checksum, or belongs to another connection"
                )
            self.number += 1
            yield payload
