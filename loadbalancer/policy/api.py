"""The interface of the policy: its settings, its input events and the actions that it returns.

A `Balancer` (see `policy/balancer.py`) is the policy of one proxy. The caller provides the time and
a seed; the policy opens no socket, reads no clock and starts no thread. All times are whole
nanoseconds on the caller's clock. This module contains only types, no decisions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"  # may be repeated and rejected at any time
    # The request has an idempotency key by which the upstreams of a scope drop repeats for a
    # limited time.
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """The upstreams that drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UpstreamState(Enum):
    """The state of an upstream, from discovery."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """The contents of an endpoint list update."""

    DELTA = 0  # only changed entries
    FULL = 1  # the complete list
    CACHED = 2  # the complete list saved before a restart, possibly out of date
    FAILED = 3  # a call or the subscription failed; no entries


class AttemptResult(Enum):
    """The result of an attempt."""

    OK = "ok"
    ERROR = "error"  # error response; may have been executed
    REJECTED = "full"  # rejected before execution; never executed
    TIMEOUT = "timeout"  # may have been executed, or still be executing
    CONNECT_FAILED = "connect_failed"  # never executed
    RESET = "reset"  # the connection failed; may have been executed
    CANCELLED = "cancelled"  # may have been executed
    NOT_SENT = "moot"  # not sent; never executed


NEVER_RAN = frozenset(
    {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same requirements."""

    name: str
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ns: int = 0  # deduplication time, from the first attempt that may have been executed
    latency_objective_ns: int = 1_000_000_000  # a response within this has the full weight
    deadline_ns: int = 3_000_000_000  # maximum time that clients wait, including their retries
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight for a response after the objective
    is_streaming: bool = False
    ordered_by_key: bool = False  # requests of a key run one at a time, in arrival order
    zones: frozenset[str] = frozenset()  # zones of eligible upstreams; empty: any
    kinds: frozenset[str] = frozenset()  # machine kinds of eligible upstreams; empty: any


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the capacity."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # requests a second over all proxies; 0: unknown


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits and permissions of a proxy."""

    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 15_000_000_000  # upstreams close a connection that is idle for this long
    max_open: int = 20_000  # maximum number of open requests of a proxy


@dataclass(frozen=True, slots=True)
class TrafficRules:
    """Requirements of upstreams and discovery that proxies must meet."""

    drain_grace_ns: int = 1_000_000_000  # attempts at a draining upstream must finish within this
    list_expiry_ns: int = 10_000_000_000  # proxies are assumed to know a list change after this
    slow_start_capacity: float = 0.3  # fraction of an upstream's capacity when it starts
    slow_start_ns: int = 0  # time after its start until it has its full capacity; 0: no slow start
    # An upstream fails if its load exceeds this multiple of its capacity for the window.
    overload_multiple: float = 3.0
    overload_window_ns: int = 2_000_000_000
    key_order_gap_ns: int = 0  # gap between requests of a key if an attempt may still be executing


@dataclass(frozen=True, slots=True)
class Prices:
    """The costs of actions, in units of priority weight."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one proxy."""

    instance_index: int = 0  # of this proxy, from 0 to `instance_count` - 1
    instance_count: int = 1
    zone: str = ""
    discovery_push: bool = True  # discovery pushes list changes without a subscription
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: TrafficRules = field(default_factory=TrafficRules)
    prices: Prices = field(default_factory=Prices)
    report_columns: Sequence[str] = ()  # metrics in load reports
    reports_in_answers: bool = False


class Upstream(NamedTuple):
    """An entry of the endpoint list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # time of its last start; 0: long ago
    kind: str = ""  # the kind of machine


# ---- events --------------------------------------------------------------------------------------


class EndpointsUpdated(NamedTuple):
    """The endpoint list, or changes to it."""

    kind: EndpointListKind
    upstreams: Sequence[Upstream] = ()


class EndpointTrustChanged(NamedTuple):
    """The endpoint list has become too old to be trusted, or is up to date again.

    The list is too old if a change may have been missed for longer than allowed. Any upstream may
    be draining then.
    """

    trusted: bool


class RequestArrived(NamedTuple):
    """A client's request, for which the policy must return exactly one final action."""

    request: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    key: str = ""
    is_retry: bool = False
    received_ns: int = 0  # when its last byte was received, if earlier than the event; 0: now
    body_complete: bool = True  # False: the body is streamed, and times count from its end


class BodyCompleted(NamedTuple):
    """The body of a streamed request is complete, so the upstream can start executing it."""

    request: str
    deadline_ns: int
    received_ns: int
    is_replayable: bool  # the complete body is buffered and can be sent in a retry


class AttemptFinished(NamedTuple):
    """The outcome of an attempt; each StartAttempt results in exactly one such event."""

    request: str
    attempt: int
    upstream: int
    result: AttemptResult
    duration_ns: int
    complete: bool = False  # the client has received its final response
    report: Mapping[str, float] | None = None


class ResponseStarted(NamedTuple):
    """A streamed response has started; the deadline of the request no longer applies."""

    request: str
    attempt: int
    upstream: int
    duration_ns: int


class ClientDisconnected(NamedTuple):
    """The client of a request has disconnected."""

    request: str


class HealthCheckFinished(NamedTuple):
    """The outcome of a health check."""

    upstream: int
    result: AttemptResult
    duration_ns: int
    report: Mapping[str, float] | None = None


class GossipReceived(NamedTuple):
    """A message from another proxy."""

    sender: int
    data: bytes


class TimerFired(NamedTuple):
    """A timer set with SetTimer is due."""

    name: str


class UpstreamDisabled(NamedTuple):
    """Operators disabled or enabled an upstream, regardless of its state in discovery."""

    upstream: int
    is_disabled: bool = True


class LearnedState(NamedTuple):
    """State that a proxy learned before a restart (`Balancer.learned_state`).

    The weight of the restored values decreases with their age.
    """

    age_ns: int = 0
    rate: float = 0.0  # admission rate in requests a second; 0: unknown
    demands: Mapping[str, float] = {}  # tenant -> requests a second
    service_times: Mapping[str, float] = {}  # class -> ns
    per_request_ns: float = 0.0  # service time for each request that an upstream holds
    baseline_latency_ratio: float = 0.0  # response time to objective, without overload
    window: float = 0.0  # attempts of this proxy in flight for each upstream
    # Upstream -> service time relative to the mean of all, and the upstream's start time.
    relative_service_times: Mapping[int, tuple[float, int]] = {}


class TrafficPlan(NamedTuple):
    """Traffic handling of all proxies while a site is lost, drained or recovering.

    A plan is in force until the next plan. The empty plan means normal operation.
    """

    # Zone -> fraction of its normal traffic; 0: none; zones that are not listed: all.
    zone_fractions: Mapping[str, float] = {}
    excess_reject_fraction: float = 0.0  # of requests above a tenant's rate
    tenant_rates: Mapping[str, float] = {}  # tenant -> its share in requests a second at this proxy
    retry_reject_fraction: float = 0.0  # of clients' retries
    hedging_allowed: bool = True  # False: no hedged requests, and late attempts are cancelled
    class_reject_fractions: Mapping[str, float] = {}  # class -> fraction, same for all tenants
    # Minimum and maximum retry delay of rejected requests; (0, 0): the default.
    retry_window_ns: tuple[int, int] = (0, 0)
    # Upstream in slow start -> attempts a second that this proxy may send to it.
    slow_start_rates_per_s: Mapping[int, float] = {}


class ProcessCountChanged(NamedTuple):
    """Another process of this proxy runs beside this one, or no longer does."""

    processes: int  # this one included


class ReplacementBegan(NamedTuple):
    """This proxy begins while the process that it replaces still runs."""


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
    | ProcessCountChanged
    | ReplacementBegan
)

# ---- actions -------------------------------------------------------------------------------------


class StartAttempt(NamedTuple):
    """Start an attempt. A request's attempts are numbered from 0 in the order of their starts."""

    request: str
    upstream: int
    timeout_ns: int = 0  # from the last byte of the request; 0: until the client's deadline
    start_by_ns: int = 0  # latest start, from now, for example if connecting is slow; 0: no limit


class RejectRequest(NamedTuple):
    """Final response: rejected; a retry is safe."""

    request: str
    retry_after_ns: int = 0


class FailRequest(NamedTuple):
    """Final response: failed; the request may have been executed."""

    request: str


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: str
    attempt: int


class CheckHealth(NamedTuple):
    """Start a health check, which also returns the upstream's load report."""

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
    """Set a timer, which is reported by a TimerFired with the same name."""

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
