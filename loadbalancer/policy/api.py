"""The interface of the policy: its settings, the events it takes, the actions it returns.

One `Balancer` (see `policy/balancer.py`) is one proxy. It is given the time and a seed; it opens no
socket, reads no clock and starts no thread. All times are whole nanoseconds on the caller's clock.
Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What a repeated execution of a request may do."""

    IDEMPOTENT = "safe"  # may be repeated and rejected freely
    # It carries a key by which the upstreams of a scope drop its repeats for a while.
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """Which upstreams drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UpstreamState(Enum):
    """The state of an upstream, from discovery."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """What an update of the endpoint list holds."""

    DELTA = 0  # only changed entries
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as last known before a restart, maybe old
    FAILED = 3  # a call or the subscription failed; no entries


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "full"  # rejected before it was started; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "moot"  # not sent at all; never ran


NEVER_RAN = frozenset(
    {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests that are alike in what they may do and need."""

    name: str
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ns: int = 0  # how long repeats are dropped, from the first attempt that may have run
    latency_objective_ns: int = 1_000_000_000  # an answer within this has the full weight
    deadline_ns: int = 3_000_000_000  # the longest that its clients wait, over all their retries
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight for an answer after the latency objective
    is_streaming: bool = False
    ordered_by_key: bool = False  # requests with one key run singly, in the order of arrival
    zones: frozenset[str] = frozenset()  # the only zones it may go to; empty: any
    kinds: frozenset[str] = frozenset()  # the only kinds of machine it may go to; empty: any


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the capacity."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # over all proxies; 0: unknown


@dataclass(frozen=True, slots=True)
class Limits:
    """What a proxy may do."""

    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 15_000_000_000  # an upstream closes a connection that is idle so long
    max_open: int = 20_000  # requests that a proxy may have open


@dataclass(frozen=True, slots=True)
class TrafficRules:
    """What upstreams require of proxies."""

    drain_grace_ns: int = 1_000_000_000  # attempts at a draining upstream must end by then
    list_expiry_ns: int = 10_000_000_000  # a change is taken as known after this
    slow_start_capacity: float = 0.3  # fraction of its capacity at its start
    slow_start_ns: int = 0  # full capacity after this
    overload_multiple: float = 3.0  # more load than so many times its capacity
    overload_window_ns: int = 2_000_000_000  # for so long makes it fail
    key_order_gap_ns: int = 0  # gap within a key after an attempt that may still run


@dataclass(frozen=True, slots=True)
class Prices:
    """What actions cost, in priority weight."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one proxy."""

    instance_index: int = 0  # among `instance_count` proxies
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
    """An entry of the endpoint list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # clock time of its last start; 0: long ago
    kind: str = ""  # the kind of machine


# ---- events --------------------------------------------------------------------------------------


class EndpointsUpdated(NamedTuple):
    """The endpoint list, or what changed in it."""

    kind: EndpointListKind
    upstreams: Sequence[Upstream] = ()


class EndpointTrustChanged(NamedTuple):
    """Whether the endpoint list is recent enough to go by.

    It is not where it is older than a change may go unknown: any upstream may be draining then.
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
    is_retry: bool = False
    received_ns: int = 0  # when its last byte came, where that was earlier; 0: now
    body_complete: bool = True  # False: its time runs from the end of its body, still to come


class BodyCompleted(NamedTuple):
    """The last byte of a request that had arrived has come: an upstream can start only now."""

    request: str
    deadline_ns: int
    received_ns: int
    is_replayable: bool  # its body is held completely, for a further attempt


class AttemptFinished(NamedTuple):
    """How one attempt ended; every StartAttempt gets exactly one."""

    request: str
    attempt: int
    upstream: int
    result: AttemptResult
    duration_ns: int
    complete: bool = False  # the request has its final answer
    report: Mapping[str, float] | None = None


class ResponseStarted(NamedTuple):
    """A streamed answer has started; the request's deadline no longer runs."""

    request: str
    attempt: int
    upstream: int
    duration_ns: int


class ClientDisconnected(NamedTuple):
    """The client of a request has gone."""

    request: str


class HealthCheckFinished(NamedTuple):
    """The outcome of a health check."""

    upstream: int
    result: AttemptResult
    duration_ns: int
    report: Mapping[str, float] | None = None


class GossipReceived(NamedTuple):
    """A message of another proxy."""

    sender: int
    data: bytes


class TimerFired(NamedTuple):
    """A timer set with SetTimer is due."""

    name: str


class UpstreamDisabled(NamedTuple):
    """Operators disabled an upstream, or enabled it again, whatever discovery lists."""

    upstream: int
    is_disabled: bool = True


class LearnedState(NamedTuple):
    """What a proxy had learned (`Balancer.learned_state`), for itself or its successor.

    The older it is, the less of it is believed.
    """

    age_ns: int = 0
    rate: float = 0.0  # requests a second that it admitted at most; 0: unknown
    demands: Mapping[str, float] = {}  # tenant -> requests a second
    service_times: Mapping[str, float] = {}  # class -> ns
    per_request_ns: float = 0.0  # for each request that an upstream holds
    baseline_latency_ratio: float = 0.0  # of answers to their latency objective, without overload
    window: float = 0.0  # own attempts in flight for each upstream
    # Upstream -> its service time against the mean of all, and the start at which that was learned.
    relative_service_times: Mapping[int, tuple[float, int]] = {}


class TrafficPlan(NamedTuple):
    """How all proxies handle traffic while a site is lost, drained or recovering.

    It stands until the next one. The empty one is that of normal operation.
    """

    # Fraction of the traffic that its upstreams would get; 0: none; not named: all.
    zone_fractions: Mapping[str, float] = {}
    excess_reject_fraction: float = 0.0  # of requests beyond a tenant's rate
    tenant_rates: Mapping[str, float] = {}  # tenant -> requests a second within its share, here
    retry_reject_fraction: float = 0.0  # of clients' retries
    hedging_allowed: bool = True  # hedged requests, and waiting for late attempts
    class_reject_fractions: Mapping[str, float] = {}  # class -> fraction, evenly over tenants
    # From when to when the rejected shall retry; (0, 0): as usual.
    retry_window_ns: tuple[int, int] = (0, 0)
    # Upstream in slow start -> requests a second that this proxy may send it.
    slow_start_rates_per_s: Mapping[int, float] = {}


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
    """Start an attempt. A request's attempts are numbered from 0 in the order of their starts."""

    request: str
    upstream: int
    timeout_ns: int = 0  # from the request's last byte; 0: until the client gives up
    start_by_ns: int = 0  # latest start, as where a connection comes up late; 0: any time


class RejectRequest(NamedTuple):
    """Final answer: rejected; a retry is harmless."""

    request: str
    retry_after_ns: int = 0


class FailRequest(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    request: str


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: str
    attempt: int


class CheckHealth(NamedTuple):
    """Start a health check, which also reports the upstream's load."""

    upstream: int


class SendGossip(NamedTuple):
    """Send a message to other proxies."""

    data: bytes
    peer: int = -1  # -1: all peers


class SubscribeEndpoints(NamedTuple):
    """Subscribe to the endpoint list, or unsubscribe."""

    enabled: bool = True


class FetchEndpoints(NamedTuple):
    """Fetch the endpoint list once."""


class SetTimer(NamedTuple):
    """Set a timer; TimerFired brings its name back."""

    delay_ns: int
    name: str


class LogMessage(NamedTuple):
    """Write a log line."""

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
