"""Long answers that an upstream writes slowly, in each framing, as a request's query asks."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final
from urllib.parse import parse_qsl

PIECE_BYTES: Final = 2_000  # of an answer that is written slowly
FAST_PIECE_BYTES: Final = 64 * 1024
SHAPES: Final = ("steady", "late-body", "lumps")
SIZES: Final = (30_000, 60_000, 66_000, 120_000, 140_000)  # on both sides of 64 KiB
RATES: Final = (40_000, 80_000, 400_000)  # bytes a second
LATE_BODY_S: Final = 0.6
LUMP_S: Final = 0.4
LONG_ANSWER_BYTES: Final = 64 * 1024  # beyond it, the pages time the first bytes
# Answers in lumps: the size of a lump, how many there are, and the longest pause between two.
LUMP_BYTES: Final = (8_000, 1_000_000)
MAX_LUMPS: Final = 9
PAUSE_MS: Final = (1, 1_900)
MAX_FIRST_MS: Final = 1_900  # between the head and the first lump
FIRST_BYTES: Final = (1, 8_000)  # the first piece of an answer in lumps may be short
MAX_PAUSES_MS: Final = 6_000  # all pauses of one answer together, in the mean
# Answers that stop: after how many bytes, of how many that were announced where a length is.
STOP_BYTES: Final = (1, 4_000)
STOPPED_LENGTH: Final = 60_000
MS_PER_S: Final = 1_000


class Framing(Enum):
    """How the end of a message is known."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def log_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    """Return a number between the bounds; each order of magnitude is equally likely."""
    low, high = bounds
    return min(high, int(low * (high / low) ** rng.random()))


@dataclass(frozen=True, slots=True)
class AnswerForm:
    """What an upstream answers to one request.

    Attributes:
        size: Bytes of the body; 0: the usual short body.
        rate: Bytes a second; 0: all at once.
        shape: `steady`; `late-body`, some time after the head; `lumps`.
        hold_ms: How long the upstream works on the request; None: the usual time.
        lump: Bytes that are written at a time, with a pause between; 0: as `shape` says.
        pause_ms: The pause between two lumps, or the longest if each is drawn anew.
        is_regular: Whether all pauses are alike.
        stop: Bytes of the body behind which nothing more comes; 0: it comes to its end.
        first_ms: The pause between the head and the first piece.
        first: Bytes of the first piece; 0: it is a lump.
        first_pause_ms: The pause behind a first piece that is no lump.
    """

    size: int = 0
    rate: int = 0
    framing: Framing = Framing.LENGTH
    shape: str = "steady"
    hold_ms: int | None = None
    lump: int = 0
    pause_ms: int = 0
    is_regular: bool = True
    stop: int = 0
    first_ms: int = 0
    first: int = 0
    first_pause_ms: int = 0

    @classmethod
    def of_target(cls, target: str) -> AnswerForm:
        """Read the form from the target of a request."""
        fields = dict(parse_qsl(target.partition("?")[2]))
        hold_ms = fields.get("hold_ms")
        return cls(
            int(fields.get("size", 0)),
            int(fields.get("rate", 0)),
            Framing(fields.get("framing", "length")),
            fields.get("shape", "steady"),
            None if hold_ms is None else int(hold_ms),
            int(fields.get("lump", 0)),
            int(fields.get("pause_ms", 0)),
            fields.get("regular", "1") == "1",
            int(fields.get("stop", 0)),
            int(fields.get("first_ms", 0)),
            int(fields.get("first", 0)),
            int(fields.get("first_pause_ms", 0)),
        )

    @classmethod
    def draw(cls, rng: random.Random) -> AnswerForm:
        """Return a random slow answer."""
        return cls(
            rng.choice(SIZES), rng.choice(RATES), rng.choice(list(Framing)), rng.choice(SHAPES)
        )

    @classmethod
    def draw_lumps(cls, rng: random.Random) -> AnswerForm:
        """Return a random answer of over 64 KiB in lumps, with pauses up to `PAUSE_MS`."""
        lump = log_uniform(rng, LUMP_BYTES)
        fewest = LONG_ANSWER_BYTES // lump + 1
        lumps = rng.randint(max(2, fewest), MAX_LUMPS)
        longest_ms = min(PAUSE_MS[1], 2 * MAX_PAUSES_MS // lumps)
        first = rng.choice((0, log_uniform(rng, FIRST_BYTES)))
        return cls(
            lump * lumps,
            framing=rng.choice(list(Framing)),
            lump=lump,
            pause_ms=log_uniform(rng, (PAUSE_MS[0], longest_ms)),
            is_regular=rng.random() < 0.5,
            first_ms=rng.choice((0, rng.randint(1, MAX_FIRST_MS))),
            first=first,
            first_pause_ms=rng.randint(*PAUSE_MS) if first else 0,
        )

    @classmethod
    def draw_stopping(cls, rng: random.Random) -> AnswerForm:
        """Return a random answer that stops after a few bytes, and never ends."""
        stop = rng.randint(*STOP_BYTES)
        return cls(STOPPED_LENGTH, framing=rng.choice(list(Framing)), lump=stop, stop=stop)

    @property
    def query(self) -> str:
        """The fields that `of_target` reads."""
        query = f"size={self.size}&rate={self.rate}&framing={self.framing.value}&shape={self.shape}"
        if self.lump:
            regular = int(self.is_regular)
            query += f"&lump={self.lump}&pause_ms={self.pause_ms}&regular={regular}"
            query += f"&first_ms={self.first_ms}&first={self.first}"
            query += f"&first_pause_ms={self.first_pause_ms}"
        return f"{query}&stop={self.stop}" if self.stop else query

    @property
    def is_long(self) -> bool:
        """Whether a proxy has to take the answer for a long one, whose first byte is timed."""
        is_shown_long = self.size > LONG_ANSWER_BYTES or self.framing is not Framing.LENGTH
        return is_shown_long and not self.stop

    @property
    def stops_undecided(self) -> bool:
        """Whether it stops, and a proxy can't tell it from a long one that pauses."""
        return bool(self.stop) and self.framing is not Framing.LENGTH

    @property
    def longest_s(self) -> float:
        """The most time that the upstream takes to write it."""
        if not self.lump:
            return LATE_BODY_S + LUMP_S + (self.size / self.rate if self.rate else 0.0)
        lumps = self.size / self.lump
        return (self.first_ms + self.first_pause_ms + lumps * self.pause_ms) / MS_PER_S

    def head(self) -> bytes:
        """Return the head of the answer."""
        framing = {
            Framing.LENGTH: b"Content-Length: %d" % self.size,
            Framing.CHUNKED: b"Transfer-Encoding: chunked",
            Framing.CLOSE: b"Connection: close",
        }[self.framing]
        return b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing

    def pieces(self, body: bytes) -> Iterator[tuple[float, bytes]]:
        """Yield pauses in seconds, and what is written after each."""
        body = body.ljust(self.size, b"-")
        yield from self._lumps(body) if self.lump else self._shaped(body)
        if self.framing is Framing.CHUNKED and not self.stop:
            yield 0.0, b"0\r\n\r\n"

    def _lumps(self, body: bytes) -> Iterator[tuple[float, bytes]]:
        rng = random.Random(self.size)
        end = self.stop or len(body)
        before_ms: float = self.first_ms
        if self.first:
            yield before_ms / MS_PER_S, self._framed(body[: self.first])
            before_ms = self.first_pause_ms
        for start in range(self.first, end, self.lump):
            yield before_ms / MS_PER_S, self._framed(body[start:end][: self.lump])
            regular_ms = float(self.pause_ms)
            before_ms = regular_ms if self.is_regular else rng.uniform(PAUSE_MS[0], regular_ms)

    def _shaped(self, body: bytes) -> Iterator[tuple[float, bytes]]:
        pause_s = PIECE_BYTES / self.rate if self.rate else 0.0
        owed_s = LATE_BODY_S if self.shape == "late-body" else 0.0
        piece_bytes = PIECE_BYTES if self.rate else FAST_PIECE_BYTES
        for start in range(0, len(body), piece_bytes):
            piece = body[start : start + piece_bytes]
            is_held = self.shape == "lumps" and owed_s + pause_s < LUMP_S
            owed_s += pause_s
            yield 0.0 if is_held else owed_s, self._framed(piece)
            owed_s = owed_s if is_held else 0.0

    def _framed(self, piece: bytes) -> bytes:
        if self.framing is Framing.CHUNKED:
            return b"%x\r\n%b\r\n" % (len(piece), piece)
        return piece
