"""Decides when a long message in transit ends although its end has not been seen.

A connection reports what it sees of a message: a piece after it was counted, a pause of its own, an
acknowledgement. From that alone, the state of the message and `RESPONSE_RULES` or `REQUEST_RULES`
follow which clock may end it, by what, and when. `docs/design/message-ends.md` has the table with
its reasons.

All times are nanoseconds of the monotonic clock, which the caller passes in.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Final

from loadbalancer.policy.clock import MILLISECOND, SECOND

LONG_BYTES: Final = 64 * 1024  # beyond it, the first bytes of an answer are timed, not its last
# Until half a second behind its client's time an answer is only late; a process may be held up for
# 0.15 s of it. So long, too, is the silence of a short answer that goes on behind that time.
LATE_NS: Final = 350 * MILLISECOND
# The longest silence within a response that may turn out to be long: peers pause for up to 2 s, and
# this process may be held up.
UNDECIDED_SILENCE_NS: Final = 2_500 * MILLISECOND
SILENCE_NS: Final = 10 * SECOND  # the same of one that is known to be long
# A response without a length is held for a retry, in case it breaks off, for at most this time and
# this fraction of the time that is left; then it is forwarded as it comes.
MAX_HOLD_NS: Final = 100 * MILLISECOND
HOLD_FRACTION: Final = 0.5
# An attempt whose response has begun and goes on after a pause of at most this is giving its
# answer.
RESPONSE_PAUSE_NS: Final = 500 * MILLISECOND

# The most that a client's kernel holds of what the client has written: it takes twice the 4 MB that
# a send buffer is set to.
CLIENT_BUFFER_BYTES: Final = 8 * 1024 * 1024
# A client has nothing buffered once nothing of it is left to read although its connection could be
# read, and so its kernel could send, for this long.
DRAIN_NS: Final = 250 * MILLISECOND
# By how much a client's time is counted from later than it is known to have been sending, if its
# last write was not seen: half of what an answer may be late.
UNSEEN_END_NS: Final = 250 * MILLISECOND
SAMPLE_NS: Final = 50 * MILLISECOND  # between two samples of what has arrived
MAX_SAMPLES: Final = 256
# The time for each part of a body: more than the pauses of a client that writes slowly, and less
# than the 3 s within which one that stops is owed its end.
UPLOAD_PAUSE_NS: Final = 2_600 * MILLISECOND
UPLOAD_CHECK_NS: Final = 50 * MILLISECOND  # between two looks at one that is not read as it comes
MIN_CHECK_NS: Final = MILLISECOND  # before a limit is looked at again


class ResponseState(Enum):
    """State of a response, as far as it has come."""

    AWAITED = "awaited"
    ARRIVING = "arriving, not forwarded"
    SHORT = "forwarded, known to be short"
    UNDECIDED = "forwarded, may be long"
    LONG = "forwarded, long"
    HELD = "not read, as its client reads slowly"
    COMPLETE = "complete"


class RequestState(Enum):
    """State of a request's body, as far as it has come."""

    ARRIVING = "its client sends it"
    BACKLOGGED = "read more slowly than it comes, its client may have sent all"
    BLOCKED = "not read, its client has more to send"
    UNREAD = "not read, its client may have sent all"
    COMPLETE = "complete"


class Clock(Enum):
    """What runs out when a message ends without its end."""

    OBJECTIVE = "objective"
    CLIENT_TIME = "client time"
    LATE_TIME = "client time, or the latest piece behind it, and lateness"
    UNDECIDED_SILENCE = "silence of a message that may be long"
    SILENCE = "silence"
    CLIENT_PAUSE = "pause of the client"
    UPSTREAM_PAUSE = "pause of the upstream"


class Ending(Enum):
    """How a message ends when its clocks have run out."""

    ATTEMPT = "its attempt is given up, and the request retried or answered"
    ANSWER = "its client is answered, and the attempt given up"
    RESET = "both connections are reset"
    NOTHING = "nothing ends it"


@dataclass(frozen=True, slots=True)
class Limit:
    """When a message ends unless more of it is seen, and by which clock."""

    at_ns: int
    clock: Clock


@dataclass(frozen=True, slots=True)
class Rule:
    """What may end a message in one state.

    Attributes:
        clocks: The clocks that end it.
        ending: What ends it.
        needs_all: Whether all clocks have to run out; else the first one ends it.
    """

    clocks: tuple[Clock, ...]
    ending: Ending
    needs_all: bool = True

    def limit(self, limits: list[Limit]) -> Limit | None:
        """Return the one of its clocks' limits that ends a message; None: there are none."""
        decisive = max if self.needs_all else min
        return decisive(limits, key=lambda limit: limit.at_ns, default=None)


RESPONSE_RULES: Final[dict[ResponseState, Rule]] = {
    # `rules.may_give_up` says when the objective may end an attempt.
    ResponseState.AWAITED: Rule((Clock.OBJECTIVE, Clock.CLIENT_TIME), Ending.ATTEMPT, False),
    ResponseState.ARRIVING: Rule((Clock.OBJECTIVE, Clock.CLIENT_TIME), Ending.ATTEMPT, False),
    ResponseState.SHORT: Rule((Clock.LATE_TIME,), Ending.RESET),
    ResponseState.UNDECIDED: Rule((Clock.LATE_TIME, Clock.UNDECIDED_SILENCE), Ending.RESET),
    ResponseState.LONG: Rule((Clock.SILENCE,), Ending.RESET),
    ResponseState.HELD: Rule((), Ending.NOTHING),
    ResponseState.COMPLETE: Rule((), Ending.NOTHING),
}
REQUEST_RULES: Final[dict[RequestState, Rule]] = {
    RequestState.ARRIVING: Rule((Clock.CLIENT_PAUSE,), Ending.ANSWER),
    RequestState.BACKLOGGED: Rule((Clock.CLIENT_TIME,), Ending.ANSWER),
    RequestState.BLOCKED: Rule((Clock.UPSTREAM_PAUSE,), Ending.ANSWER),
    RequestState.UNREAD: Rule((Clock.CLIENT_TIME, Clock.UPSTREAM_PAUSE), Ending.ANSWER, False),
    RequestState.COMPLETE: Rule((Clock.CLIENT_TIME,), Ending.ANSWER),
}


def hold_ns(attempt_left_ns: int | None) -> int:
    """Return for how long a response without a length is held back.

    Args:
        attempt_left_ns: Time until its attempt is late; None: it has no limit.
    """
    if attempt_left_ns is None:
        return MAX_HOLD_NS
    return max(0, min(MAX_HOLD_NS, int(HOLD_FRACTION * attempt_left_ns)))


def is_arriving(since_piece_ns: int | None) -> bool:
    """Return whether a response that is not forwarded yet is on its way.

    Args:
        since_piece_ns: Time since a part of it arrived; None: none has.
    """
    return since_piece_ns is not None and since_piece_ns < RESPONSE_PAUSE_NS


class ResponseTransit:
    """A response that is forwarded while it arrives.

    Args:
        length: The length that was announced; None: its end is a last chunk or the close.
        deadline_ns: Its client's deadline; None: not known.
        now_ns: The time.

    Attributes:
        received_bytes: Bytes of the body that have arrived.
        piece_ns: When the latest piece arrived, or when it was read on after a pause of ours.
        is_held: Whether it is not read because its client reads slowly.
    """

    def __init__(self, length: int | None, deadline_ns: int | None, now_ns: int) -> None:
        self.length = length
        self.deadline_ns = deadline_ns
        self.received_bytes = 0
        self.piece_ns = now_ns
        self.is_held = False

    def piece_received(self, received_bytes: int, now_ns: int) -> bool:
        """Note a piece; return whether the state has changed.

        Args:
            received_bytes: Bytes of the body that have arrived, this piece included.
            now_ns: The time.
        """
        state = self.state
        self.received_bytes = received_bytes
        self.piece_ns = now_ns
        return self.state is not state

    def hold(self) -> None:
        """Note that it is not read further, because its client reads slowly."""
        self.is_held = True

    def read_on(self, now_ns: int) -> None:
        """Note that it is read again."""
        self.is_held = False
        self.piece_ns = now_ns

    @property
    def state(self) -> ResponseState:
        """The state that follows from what was seen so far."""
        if self.is_held:
            return ResponseState.HELD
        if (self.length or 0) > LONG_BYTES or self.received_bytes > LONG_BYTES:
            return ResponseState.LONG
        return ResponseState.UNDECIDED if self.length is None else ResponseState.SHORT

    @property
    def limit(self) -> Limit | None:
        """When it ends unless more of it is seen; None: nothing ends it."""
        rule = RESPONSE_RULES[self.state]
        return rule.limit([self._limit(clock) for clock in rule.clocks])

    def _limit(self, clock: Clock) -> Limit:
        if clock is Clock.LATE_TIME and self.deadline_ns is not None:
            return Limit(max(self.deadline_ns, self.piece_ns) + LATE_NS, clock)
        if clock is Clock.UNDECIDED_SILENCE and self.deadline_ns is not None:
            return Limit(self.piece_ns + UNDECIDED_SILENCE_NS, clock)
        return Limit(self.piece_ns + SILENCE_NS, Clock.SILENCE)


@dataclass(frozen=True, slots=True)
class UploadView:
    """What is seen of a body whose end was not seen.

    Attributes:
        read_bytes: Bytes of the body that were read and parsed.
        unread_bytes: Bytes that have arrived and were not parsed, in this process and the kernel.
        taken_bytes: Bytes that its upstream has acknowledged.
        arrived_ns: When the latest bytes arrived in the kernel.
    """

    read_bytes: int
    unread_bytes: int
    taken_bytes: int
    arrived_ns: int


class RequestTransit:
    """The body of a request while it arrives, and since when its client's time may be running.

    The time counts from the return of the client's last write. What the client has written may lie
    in its own kernel, so that the end of the body is not seen yet. The client is known to have been
    sending at a moment if nothing of it was buffered then, or if its kernel can't have held
    everything that has come since, or is still to come.

    Args:
        length: The length that was announced; None: it comes in chunks.
        wait_ns: How long its client waits from its last byte.
        received_ns: When the latest bytes arrived in the kernel.
        now_ns: The time.

    Attributes:
        sending_ns: The latest moment at which its client is known to have been sending.
        is_paused: Whether it is not read, because its upstream does not take more.
        state: Its state when it was last looked at.
    """

    def __init__(self, length: int | None, wait_ns: int, received_ns: int, now_ns: int) -> None:
        self.length = length
        self.wait_ns = wait_ns
        self.sending_ns = received_ns
        self.is_paused = False
        self._was_paused = False
        self.state = RequestState.ARRIVING
        self._open_ns = now_ns  # since then its kernel could send, as far as is known
        self._is_drained = True  # whether the latest read left nothing
        self._drained_ns = received_ns  # until then, whatever came was read as it came
        self._has_all = False  # whether all that its length announces has arrived
        self._arrived_ns = received_ns
        self._taken_bytes = 0
        self._taken_ns = now_ns
        self._samples: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)

    def piece_read(self, arrived_bytes: int, is_drained: bool, received_ns: int) -> None:
        """Note that more was read.

        Args:
            arrived_bytes: Bytes that have arrived so far.
            is_drained: Whether nothing is left to read.
            received_ns: When the latest of them arrived in the kernel.
        """
        if self._is_drained:
            self._drained_ns = received_ns
            if received_ns - self._open_ns >= DRAIN_NS:
                self._note_sending(received_ns)
        self._is_drained = is_drained
        self._note_arrived(arrived_bytes, received_ns)

    def pause(self, now_ns: int) -> None:
        """Note that it is not read further."""
        self.is_paused = True
        self.state = RequestState.UNREAD
        self._was_paused = True
        self._taken_ns = now_ns

    def resume(self, is_drained: bool, now_ns: int) -> None:
        """Note that it is read again.

        Args:
            is_drained: Whether nothing is left to read.
            now_ns: The time.
        """
        self.is_paused = False
        self.state = RequestState.ARRIVING
        self.reading_resumed(is_drained, now_ns)

    def reading_resumed(self, is_drained: bool, now_ns: int) -> None:
        """Note that its connection is read again, whatever had paused it.

        Args:
            is_drained: Whether nothing is left to read.
            now_ns: The time.
        """
        if not is_drained:
            self._open_ns = now_ns  # until now, the kernel may have had no room for more

    def view(self, view: UploadView, now_ns: int) -> RequestState:
        """Note what is seen of a body whose end was not seen, and return its state."""
        if view.taken_bytes != self._taken_bytes:
            self._taken_bytes = view.taken_bytes
            self._taken_ns = now_ns
        arrived_bytes = view.read_bytes + view.unread_bytes
        self._note_arrived(arrived_bytes, now_ns)
        self._arrived_ns = view.arrived_ns
        self._has_all = self.length is not None and arrived_bytes >= self.length
        is_far_from_end = (
            self.length is not None and arrived_bytes + CLIENT_BUFFER_BYTES < self.length
        )
        is_drained = not view.unread_bytes and now_ns - self._open_ns >= DRAIN_NS
        is_sending = is_far_from_end or is_drained
        if is_sending:
            self.sending_ns = now_ns
        if self.is_paused:
            self.state = RequestState.BLOCKED if is_sending else RequestState.UNREAD
        else:
            is_backlogged = view.unread_bytes and not is_sending
            self.state = RequestState.BACKLOGGED if is_backlogged else RequestState.ARRIVING
        return self.state

    def _note_sending(self, now_ns: int) -> None:
        """Note that the client had nothing buffered until now, and was sending."""
        self.sending_ns = now_ns
        self._was_paused = False
        self._samples.clear()

    def _note_arrived(self, arrived_bytes: int, now_ns: int) -> None:
        samples = self._samples
        while samples and samples[0][1] + CLIENT_BUFFER_BYTES <= arrived_bytes:
            self.sending_ns = max(self.sending_ns, samples.popleft()[0])
        if not samples or now_ns - samples[-1][0] >= SAMPLE_NS:
            samples.append((now_ns, arrived_bytes))

    @property
    def limit(self) -> Limit | None:
        """When its client is answered unless more is seen; None: the caller's limit on pauses."""
        if self.state is RequestState.ARRIVING:
            return None
        rule = REQUEST_RULES[self.state]
        return rule.limit([self._limit(clock) for clock in rule.clocks])

    def _limit(self, clock: Clock) -> Limit:
        from_ns = self._taken_ns if clock is Clock.UPSTREAM_PAUSE else self._client_time_from_ns
        return Limit(from_ns + self.wait_ns, clock)

    @property
    def _client_time_from_ns(self) -> int:
        """From when its client's time counts, as far as is known."""
        if self._has_all:
            return self.sent_ns(self._arrived_ns)
        return self._sending_until_ns

    def sent_ns(self, received_ns: int) -> int:
        """Return from when its client's time counts, now that its end was seen.

        Args:
            received_ns: When its last byte arrived; the client's last write was earlier if this
                process had not read it as it came.
        """
        return min(received_ns, self._sending_until_ns + UNSEEN_END_NS)

    @property
    def _sending_until_ns(self) -> int:
        """Until when its client was sending, as far as is known."""
        return self.sending_ns if self._was_paused else max(self.sending_ns, self._drained_ns)
