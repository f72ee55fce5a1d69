"""The interface of the decision module: its settings, the events it takes, the actions it gives.

One `Balancer` (see `policy/balancer.py`) is one proxy. It is handed the clock and a seed; it opens
no socket, reads no clock and keeps no thread. All times are whole nanoseconds on the caller's
clock. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What repeating a request of a class may do."""

    IDEMPOTENT = "safe"  # may be repeated and refused freely
    IDEMPOTENT_WITH_KEY = (
        "keyed"  # carries a key: one group of upstreams drops its repeats for a while
    )
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """Which upstreams drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UpstreamState(Enum):
    """What discovery says of an upstream."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """What a list event carries."""

    DELTA = 0  # only changed entries
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last known before a restart, maybe old
    FAILED = 3  # a call failed or the subscription broke; no entries


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "full"  # rejected before it was started; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    NOT_SENT = "moot"  # not sent at all; never ran


NEVER_RAN = frozenset(
    {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ns: int = 0  # keyed: how long repeats are dropped, from the first send that may have run
    latency_objective_ns: int = 1_000_000_000  # an answer within this earns the full worth
    deadline_ns: int = 3_000_000_000  # the longest that its clients wait, over all their tries
    worth: float = 1.0
    late_weight: float = 0.0  # share of the worth for an answer after the aim
    stream: bool = False
    ordered_by_key: bool = False  # requests with one key run singly, in the order taken
    zones: frozenset[str] = frozenset()  # the only zones it may go to; empty: any
    kinds: frozenset[str] = frozenset()  # the only kinds of machine it may go to; empty: any


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # over all proxies; 0: not told


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = (
        15_000_000_000  # an upstream closes a connection that has stood idle for this long
    )
    max_open: int = 20_000  # requests that a proxy may have open


@dataclass(frozen=True, slots=True)
class TrafficRules:
    drain_grace_ns: int = 1_000_000_000  # sends to a draining upstream must end within this
    list_expiry_ns: int = 10_000_000_000  # without news for this long, a proxy counts as told
    slow_start_capacity: float = 0.3  # a started upstream begins at this share of its capacity
    slow_start_ns: int = 0  # and is warm after this
    overload_multiple: float = 3.0  # sent more than this many times what it can do
    overload_window_ns: int = 2_000_000_000  # for this long, it falls over
    key_order_gap_ns: int = 0  # a key in order rests this long after an attempt that may still run


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    me: int = 0
    instance_count: int = 1
    zone: str = ""
    discovery_push: bool = True  # list changes come by themselves
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: TrafficRules = field(default_factory=TrafficRules)
    prices: Prices = field(default_factory=Prices)
    report_columns: Sequence[str] = ()  # what load reports hold
    reports_in_answers: bool = False


class Upstream(NamedTuple):
    """An entry of the upstream list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # clock time of its last start; 0: long ago
    kind: str = ""  # the kind of machine


# ---- events --------------------------------------------------------------------------------------


class EndpointsUpdated(NamedTuple):
    kind: EndpointListKind
    upstreams: Sequence[Upstream] = ()


class EndpointTrustChanged(NamedTuple):
    """May the list be gone by? Not where it is older than a change may go unknown: any upstream may
    drain.
    """

    trusted: bool


class RequestArrived(NamedTuple):
    """A client's request; the proxy now owes it one final answer."""

    request: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    key: str = ""
    retry: bool = False
    received_ns: int = 0  # when its last byte came, where that was earlier; 0: now
    whole: bool = True  # False: the end of its body is still to come, and its time runs from there


class BodyCompleted(NamedTuple):
    """The last byte of a request that was taken before has come: an upstream starts to work only
    now.
    """

    request: str
    deadline_ns: int
    received_ns: int
    again: bool  # it could be sent once more: its body is still held whole


class AttemptFinished(NamedTuple):
    """How one attempt ended; every Send gets exactly one."""

    request: str
    attempt: int
    upstream: int
    result: AttemptResult
    duration_ns: int
    complete: bool = False  # the request is over
    report: Mapping[str, float] | None = None


class ResponseStarted(NamedTuple):
    """A streamed answer has begun; the request's deadline no longer runs."""

    request: str
    attempt: int
    upstream: int
    duration_ns: int


class ClientDisconnected(NamedTuple):
    request: str


class HealthCheckFinished(NamedTuple):
    upstream: int
    result: AttemptResult
    duration_ns: int
    report: Mapping[str, float] | None = None


class GossipReceived(NamedTuple):
    sender: int
    data: bytes


class TimerFired(NamedTuple):
    """A timer set with SetTimer is due."""

    name: str


class UpstreamDisabled(NamedTuple):
    """Operators took an upstream out, or put it back. What discovery says of it is another
    matter.
    """

    upstream: int
    on: bool = True


class LearnedState(NamedTuple):
    """What a proxy had learnt when it was asked (`Balancer.learnt`), told to it, or to its
    successor, after a restart. The older it is, the less of it is believed.
    """

    age_ns: int = 0
    rate: float = 0.0  # requests a second that it let through at most; 0: not told
    demands: Mapping[str, float] = {}  # tenant -> requests a second
    taken: Mapping[str, float] = {}  # class -> ns that a request takes
    per_request_ns: float = 0.0  # for each request that an upstream holds
    calm: float = 0.0  # part of its aim that an answer takes in good times
    window: float = 0.0  # own requests in flight for each upstream
    # Upstream -> its time for a request against the fleet's, and the start of which that was
    # learnt.
    paces: Mapping[int, tuple[float, int]] = {}


class TrafficPlan(NamedTuple):
    """What the fleet does while a site is lost, emptied or coming back; it stands until the next
    one. The empty one is that of a fleet that is well.
    """

    # part of what its upstreams would be given; 0: none; not named: all of it
    zones: Mapping[str, float] = {}
    excess: float = 0.0  # part refused of what is beyond a tenant's share
    shares: Mapping[str, float] = {}  # tenant -> requests a second within its share at this proxy
    repeats: float = 0.0  # part refused of clients' repeats
    copies: bool = True  # second copies and late looks
    classes: Mapping[str, float] = {}  # class -> part refused of it, evenly over tenants
    retry_window_ns: tuple[int, int] = (
        0,
        0,
    )  # from when to when the refused shall try again; (0, 0): as usual
    cold: Mapping[int, float] = {}  # cold upstream -> requests a second that this proxy may send it


Event = (
    EndpointsUpdated
    | EndpointTrustChanged
    | RequestArrived
    | BodyCompleted
    | AttemptFinished
    | ResponseStarted
    | ClientDisconnected
    | HealthCheckFinished
    | GossipReceived
    | TimerFired
    | UpstreamDisabled
    | LearnedState
    | TrafficPlan
)

# ---- actions -------------------------------------------------------------------------------------


class StartAttempt(NamedTuple):
    """Start an attempt. A request's attempts are numbered from 0 in the order of their sends."""

    request: str
    upstream: int
    timeout_ns: int = 0  # 0: until the client gives up. It runs from the request's last byte
    start_by_ns: int = (
        0  # it may not begin later than this, as where a connection comes up late; 0: any time
    )


class RejectRequest(NamedTuple):
    """Final answer: turned away; trying again is harmless."""

    request: str
    retry_after_ns: int = 0


class FailRequest(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    request: str


class CancelAttempt(NamedTuple):
    request: str
    attempt: int


class CheckHealth(NamedTuple):
    upstream: int


class SendGossip(NamedTuple):
    data: bytes
    peer: int = -1  # -1: all peers


class SubscribeEndpoints(NamedTuple):
    on: bool = True


class FetchEndpoints(NamedTuple):
    pass


class SetTimer(NamedTuple):
    delay_ns: int
    name: str


class LogMessage(NamedTuple):
    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | CheckHealth
    | SendGossip
    | SubscribeEndpoints
    | FetchEndpoints
    | SetTimer
    | LogMessage
)
