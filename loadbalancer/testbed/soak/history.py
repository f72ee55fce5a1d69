"""What happened in a soak, as the other ends of the balancers' sockets saw it. Times: ns,
monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from loadbalancer.testbed.soak.long_answers import AnswerForm
from loadbalancer.testbed.soak.long_requests import RequestForm

NS_PER_MS: Final = 1_000_000


class Kind(Enum):
    """The classes of requests: what repeating one may do."""

    READ = "read"
    PAY = "pay"
    KEYED = "keyed"


class End(Enum):
    """How a request ended for its client."""

    SERVED = "200, whole"
    REFUSED = "429 or 503"
    FAILED = "another status, or an answer that broke off"
    LEFT = "its client closed"
    CLOSED = "closed with no answer"
    UNANSWERED = "nothing came in its time"
    NOT_TAKEN = "the connection was refused or reset before the request was written"


@dataclass(slots=True)
class Asked:
    """A request as its client saw it. `sent_ns`: its last byte was written; `reused`: the
    connection had carried a request before.
    """

    id: str
    kind: Kind
    balancer: int
    wait_ms: int
    body: bytes
    sent_ns: int = 0
    ended_ns: int = 0
    end: End = End.NOT_TAKEN
    reused: bool = False
    status: int = 0
    proper: bool = True  # the answer was an upstream's to this request
    query: str = ""  # asks for a form of answer
    first_ns: int = 0  # the first byte of the answer came
    form: RequestForm | None = None  # of a long body, which `body` does not hold

    @property
    def due_ns(self) -> int:
        """When its client no longer waits."""
        return self.sent_ns + self.wait_ms * NS_PER_MS

    @property
    def answer_form(self) -> AnswerForm:
        """The form of answer that its query asks for."""
        return AnswerForm.of_target(f"?{self.query}")

    @property
    def is_long_answer(self) -> bool:
        """Whether a proxy has to take its answer for a long one, whose first byte is timed."""
        return self.answer_form.is_long

    @property
    def body_bytes(self) -> int:
        """Bytes of its body."""
        return self.form.size if self.form is not None else len(self.body)


@dataclass(slots=True)
class Attempt:
    """A request as an upstream saw it. `whole_ns`: its last byte came, 0: never; `ran`: it was not
    turned away.
    """

    id: str
    upstream: str
    process: int  # of the upstream: it counts its starts
    first_ns: int
    told_ms: int
    whole_ns: int = 0
    ran: bool = False
    cut_ns: int = 0  # its connection was closed while the upstream still wrote the answer
    given_up_ns: int = 0  # its connection was closed before the upstream began to answer


@dataclass(slots=True)
class Change:
    """Discovery learned that an upstream may not be sent anything new, and from when on it may
    again.
    """

    upstream: str
    version: int
    made_ns: int
    until_ns: int = 0  # 0: for good


@dataclass(slots=True)
class ColdStart:
    """An upstream came back cold.

    Attributes:
        process: Of the upstream: it counts its starts.
        warm_per_s: Requests a second that it serves once warm.
        change: The list named it again.
    """

    process: int
    started_ns: int
    warm_per_s: float
    change: Change


@dataclass(slots=True)
class Call:
    """A call to discovery by a process of a balancer. `silent_ns`: it fell silent then; `told`: the
    version that its answer brought up to; `reset_ns`: discovery went down and reset it.
    """

    balancer: int
    begun_ns: int
    hold_ms: int
    known: int
    silent_ns: int = 0
    answered_ns: int = 0
    told: int = -1
    reset_ns: int = 0


@dataclass(slots=True)
class Process:
    """One balancer process."""

    number: int
    balancer: int
    started_ns: int
    ready_ns: int = 0
    term_ns: int = 0  # told to end then
    killed_ns: int = 0  # killed by the soak
    ended_ns: int = 0
    status: int | None = None
    log: str = ""
    memory_mb: float = 0.0  # the most it needed
    memory_limit_mb: float = 0.0
    descriptors: int = 0  # the most that were seen open


@dataclass(slots=True)
class Disabled:
    """Operators took an upstream out at one balancer: `from_ns`, the yes; `until_ns`, they put it
    back.
    """

    balancer: int
    upstream: str
    from_ns: int
    until_ns: int = 0


@dataclass
class History:
    """All of it."""

    asked: list[Asked] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    disabled: list[Disabled] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    outages: list[tuple[int, int]] = field(default_factory=list)  # of discovery, but silences
    stops: list[tuple[int, int, int]] = field(default_factory=list)  # balancer, held up from, to
    lags: list[tuple[int, int]] = field(
        default_factory=list
    )  # when the soak itself was late, by how much
