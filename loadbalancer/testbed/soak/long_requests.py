"""Long requests: how a client writes one, and how its upstream reads it, as its query asks."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final
from urllib.parse import parse_qsl

from loadbalancer.testbed.soak.long_answers import Framing, log_uniform

SIZE_BYTES: Final = (66_000, 12_000_000)  # more than all kernels' buffers on the way hold
READ_RATES: Final = (40_000, 160_000)  # bytes a second, of an upstream that reads slowly
READ_BURST_S: Final = 0.6  # for so long an upstream that reads in bursts reads nothing
SEND_BUFFERS: Final = (16_384, 4_194_304)  # bytes
# A client that writes slowly: its rate, and the longest pause between two of its writes.
WRITE_RATE: Final = 64_000
WRITE_PAUSE_S: Final = (0.001, 1.9)
SLOWLY_WRITTEN_BYTES: Final = (66_000, 260_000)
PIECE_BYTES: Final = 64 * 1024
SLOW_READ_SHARE: Final = 0.7
SLOW_WRITE_SHARE: Final = 0.15
SMALL_RECEIVE_BUFFER: Final = 32 * 1024  # of an upstream that reads slowly


@dataclass(frozen=True, slots=True)
class RequestForm:
    """The body of one request.

    Attributes:
        size: Bytes of the body.
        framing: Its length is given, or it comes in chunks.
        read_rate: Bytes a second that its upstream reads; 0: all at once.
        is_read_in_bursts: Whether the upstream pauses for long between two reads.
        send_buffer: Bytes of the client's send buffer; 0: as the system has it.
        is_slowly_written: Whether the client writes at `WRITE_RATE`, with pauses.
    """

    size: int
    framing: Framing = Framing.LENGTH
    read_rate: int = 0
    is_read_in_bursts: bool = False
    send_buffer: int = 0
    is_slowly_written: bool = False

    @classmethod
    def draw(cls, rng: random.Random) -> RequestForm:
        """Return a random form."""
        framing = rng.choice((Framing.LENGTH, Framing.CHUNKED))
        send_buffer = rng.choice((0, *SEND_BUFFERS))
        if rng.random() < SLOW_WRITE_SHARE:
            size = log_uniform(rng, SLOWLY_WRITTEN_BYTES)
            return cls(size, framing, 0, False, send_buffer, True)
        is_slow = rng.random() < SLOW_READ_SHARE
        rate = log_uniform(rng, READ_RATES) if is_slow else 0
        return cls(log_uniform(rng, SIZE_BYTES), framing, rate, rng.random() < 0.5, send_buffer)

    @property
    def query(self) -> str:
        """The fields that its upstream reads."""
        return f"read_rate={self.read_rate}&read_bursts={int(self.is_read_in_bursts)}"

    @property
    def header(self) -> str:
        """The header line that frames the body."""
        if self.framing is Framing.CHUNKED:
            return "Transfer-Encoding: chunked"
        return f"Content-Length: {self.size}"

    def pieces(self, rng: random.Random) -> Iterator[tuple[float, bytes]]:
        """Yield pauses in seconds, and the framed bytes that are written after each."""
        left = self.size
        pause_s = 0.0
        while left:
            piece_bytes = PIECE_BYTES
            if self.is_slowly_written:
                pause_s = rng.uniform(*WRITE_PAUSE_S)
                piece_bytes = int(WRITE_RATE * pause_s) + 1
            piece = b"x" * min(left, piece_bytes)
            left -= len(piece)
            if self.framing is Framing.CHUNKED:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
                piece += b"" if left else b"0\r\n\r\n"
            yield pause_s, piece


@dataclass(slots=True)
class Reading:
    """How an upstream reads one request.

    Attributes:
        rate: Bytes a second; 0: as they come.
        in_bursts: Whether it pauses for `READ_BURST_S` at least.
        owed_bytes: Bytes that were read and are not paid for by a pause.
    """

    rate: int = 0
    in_bursts: bool = False
    owed_bytes: int = 0

    @classmethod
    def of_target(cls, target: str) -> Reading:
        """Read from the target of a request how its upstream is to read it."""
        fields = dict(parse_qsl(target.partition("?")[2]))
        return cls(int(fields.get("read_rate", 0)), fields.get("read_bursts") == "1")

    def pause_s(self, read_bytes: int) -> float:
        """Return for how long nothing is read after this many bytes."""
        if not self.rate:
            return 0.0
        self.owed_bytes += read_bytes
        pause_s = self.owed_bytes / self.rate
        if self.in_bursts and pause_s < READ_BURST_S:
            return 0.0
        self.owed_bytes = 0
        return pause_s
