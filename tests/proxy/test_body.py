"""Tests of `Body` by itself: its buffer, its source, and input that is split anywhere."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.input_buffer import PARSE_BYTES
from loadbalancer.proxy.memory_account import BUFFER_BYTES, MemoryAccount, Pressure
from loadbalancer.proxy.parse import MAX_BODY, RequestReader, ResponseReader
from tests.raw_http import (
    framed_body,
    post_head,
)

MAX_BUFFERED = BUFFER_BYTES[Pressure.NONE]

# ---- Body and MemoryAccount ----------------------------------------------------------------------


class FakeSource:
    """Records the calls with which a body controls its source."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def pause(self) -> None:
        self.calls.append("pause")

    def resume(self) -> None:
        self.calls.append("resume")

    def read_on(self) -> None:
        self.calls.append("read_on")

    def abort(self) -> None:
        self.calls.append("abort")


# The line of a message that was cut counted the pieces that are kept for a retry twice.
def test_received_bytes_count_each_piece_once() -> None:
    body = Body(None, MemoryAccount(1 << 20), keep=True)
    body.put(b"abc")
    body.put(b"de")
    assert body.received_bytes == 5
    assert body.take() == b"abc"
    assert (body.buffered, body.received_bytes) == (5, 5)


def test_full_body_pauses_its_source_and_counts_towards_total_memory() -> None:
    """Guards against unbounded buffering, in one body and in all bodies together."""
    body_memory, fake_source = MemoryAccount(1 << 20), FakeSource()
    body = Body(None, body_memory)
    body.attach(fake_source)
    body.put(bytes(MAX_BUFFERED))
    assert fake_source.calls == ["pause"] and body_memory.held_bytes == MAX_BUFFERED
    assert body.take() == bytes(MAX_BUFFERED)
    assert fake_source.calls == ["pause", "resume"] and body_memory.held_bytes == 0
    body.put(b"a")
    body.drop()
    assert fake_source.calls[-1] == "abort" and body_memory.held_bytes == 0
    # Once all bodies together use up the memory, each may still buffer a small amount.
    exhausted_memory = MemoryAccount(0)
    small_body = Body(None, exhausted_memory)
    fake_source = FakeSource()
    small_body.attach(fake_source)
    small_body.put(bytes(MAX_BUFFERED // 4))
    assert fake_source.calls == ["pause"]
    small_body.take()
    assert fake_source.calls == ["pause", "resume"]


def test_kept_body_can_be_rewound_until_it_overflows() -> None:
    """Guards against a retry that sends a body without its start."""
    body = Body(None, MemoryAccount(1 << 20), keep=True)
    body.put(b"ab")
    body.put(b"cd")
    assert [body.take(), body.take(), body.take()] == [b"ab", b"cd", None]
    assert body.is_replayable
    body.rewind()
    assert body.take() == b"ab"
    body.put(bytes(MAX_BUFFERED))
    assert not body.is_replayable


# ---- input split anywhere ------------------------------------------------------------------------

BODIES = st.binary(min_size=0, max_size=400).map(lambda block: block * 300)


def split_at(data: bytes, split_points: list[int]) -> list[bytes]:
    """Split data at these positions, which are taken modulo its length."""
    offsets = sorted({0, len(data), *(c % (len(data) + 1) for c in split_points)})
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


def read_bodies(reader: RequestReader | ResponseReader, pieces: list[bytes]) -> list[bytes]:
    """Feed the pieces to a reader, and return the bodies of the messages that it reads."""
    messages: list[Any] = []
    streamed: dict[int, bytes] = {}
    for part in pieces:
        reader.feed(part)
        assert reader.fault is None, reader.fault
        while reader.ready:
            messages.append(reader.ready.popleft())
        for i, message in enumerate(messages):
            while message.stream is not None and (piece := message.stream.take()) is not None:
                streamed[i] = streamed.get(i, b"") + piece
    assert all(m.stream is None or m.stream.drained for m in messages)
    return [m.body if m.stream is None else streamed.get(i, b"") for i, m in enumerate(messages)]


@seed(1)
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(BODIES, min_size=1, max_size=3),
    st.none() | st.lists(st.integers(1, 90_000), max_size=4),
    st.lists(st.integers(0, 10**6), max_size=8),
)
def test_bodies_are_the_same_wherever_input_is_split(
    bodies: list[bytes], sizes: list[int] | None, split_points: list[int]
) -> None:
    """Guards against parsers that depend on where the received data is split into segments."""
    memory = MemoryAccount(1 << 30)
    request_bytes = b"".join(
        post_head(f"r{i}")[:-2] + framed_body(body, sizes) for i, body in enumerate(bodies)
    )
    assert (
        read_bodies(RequestReader(memory=memory), split_at(request_bytes, split_points)) == bodies
    )
    response_bytes = b"".join(b"HTTP/1.1 200 OK\r\n" + framed_body(body, sizes) for body in bodies)
    reader = ResponseReader()
    reader.expect(MAX_BODY, memory)
    assert read_bodies(reader, split_at(response_bytes, split_points)) == bodies


# ---- Body and its source -------------------------------------------------------------------------


class ReadingSource(FakeSource):
    """A source that checks that it is paused only while it reads, and resumed only while paused."""

    @property
    def is_reading(self) -> bool:
        return self.calls[-1:] != ["pause"]

    def pause(self) -> None:
        assert self.is_reading
        super().pause()

    def resume(self) -> None:
        assert not self.is_reading
        super().resume()


@dataclass(frozen=True, slots=True)
class Put:
    """The arrival of a piece of this size."""

    size: int


class Step(Enum):
    """What may happen to a body beside the arrival of a piece."""

    TAKE = "its reader takes a piece"
    ATTACH = "its source is connected"
    END = "its end arrives"
    FAIL = "it will never be complete"


STEPS = st.lists(
    st.builds(Put, st.integers(1, MAX_BUFFERED + PARSE_BYTES)) | st.sampled_from(Step),
    max_size=30,
)


def apply_step(body: Body, source: ReadingSource, step: Put | Step) -> None:
    """Apply one step; the reader that parses a body sends nothing after its end."""
    match step:
        case Put() if not body.ended:
            body.put(bytes(step.size))
        case Step.TAKE:
            body.take()
        case Step.ATTACH if body.source is None:
            body.attach(source)
        case Step.END:
            body.end()
        case Step.FAIL:
            body.fail()


@seed(1)
@settings(max_examples=500, deadline=None, derandomize=True)
@given(STEPS, st.booleans(), st.sampled_from([0, 1 << 30]))
def test_body_controls_its_source_only_while_it_may_receive_more(
    steps: list[Put | Step], keep: bool, memory_limit: int
) -> None:
    """Guards against a source that is paused or resumed by a body that has ended or failed.

    A body that can be sent again when it ends stays so until its reader discards it.
    """
    body, source = Body(None, MemoryAccount(memory_limit), keep), ReadingSource()
    final_calls: list[str] | None = None
    is_replayable_at_end = False
    for step in steps:
        apply_step(body, source, step)
        if body.ended or body.failed:
            if final_calls is None:
                final_calls = list(source.calls)
                is_replayable_at_end = body.is_replayable
            assert source.is_reading and source.calls == final_calls
            assert body.source is None
            assert body.is_replayable is is_replayable_at_end or not keep
        else:
            assert source.is_reading is not (body.paused and body.source is not None)
            assert not body.paused or body.buffered
