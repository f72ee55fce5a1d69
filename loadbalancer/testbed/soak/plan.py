"""What a soak plays: its size, its seed, and the settings of its balancers."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from loadbalancer.settings import Json
from loadbalancer.testbed.soak.capacity import Capacity
from loadbalancer.testbed.soak.crowd import Behavior
from loadbalancer.testbed.soak.flood import Flood

MS: Final = 1_000_000
SECOND: Final = 1_000 * MS
DRAIN_GRACE_NS: Final = 500 * MS
REPEAT_WINDOW_NS: Final = 2 * SECOND
LONGEST_DEADLINE_NS: Final = 2_500 * MS
# The platform's: a SIGKILL comes no earlier behind SIGTERM than the longest deadline, taken as 3 s
# if it is longer, and this.
KILL_MARGIN_NS: Final = 700 * MS
EARLIEST_KILL_NS: Final = min(LONGEST_DEADLINE_NS, 3 * SECOND) + KILL_MARGIN_NS
COLD_NS: Final = 4 * SECOND
COLD_SHARE: Final = 0.3
FALL_MULTIPLE: Final = 3.0
FALL_WINDOW_NS: Final = 1_500 * MS
MEMORY_MB: Final = 192
DESCRIPTORS: Final = 512
CROWD_CONNECTIONS: Final = 150  # of one balancer, at once
# Where upstreams come back cold: each serves 16.7 requests a second, and is warm after this time.
COLD_RETURN_NS: Final = 8 * SECOND
CORES: Final = 2
MEAN_WORK_S: Final = 0.12
QUEUE: Final = 2
COLD_RETURN_LOAD: Final = 0.7  # of what all upstreams serve, before the burst
OBJECTIVE_NS: Final = SECOND
COLD_RETURN_OBJECTIVE_NS: Final = 400 * MS


@dataclass(frozen=True, slots=True)
class Plan:
    """One run.

    Attributes:
        program: The folder that holds the package, plain or compiled.
        rate: Requests a second of each balancer.
        push: Lists are pushed; else asked for.
        overlap: How many troubles go on at once in the mean.
        only: Troubles by name; empty: all.
        repeated: The share of all upstreams' responses behind which a second one follows.
        crowd: What the clients of a crowd do; empty: there is no crowd.
        crowd_connections: How many they are at each balancer.
        memory_mb: The memory limit of a balancer; None: the usual one, halved in a crowd.
        descriptors: The limit on a balancer's descriptors; None as above.
        flood: What one client sends to each balancer at full speed; None: nothing.
        long_answers: The share of the requests that ask for a long answer, written slowly.
        long_messages: The share of the requests with a long answer in lumps, an answer that stops,
            or a long body that its client writes or its upstream reads slowly.
        discovery_delay_s: How late all answers of discovery are.
        first_call_s: What the first call on a connection to discovery takes.
        replacements: All balancers are replaced together, in series, while upstreams drain.
        cold_returns: Upstreams of limited capacity are lost and come back cold under a burst.
    """

    seed: int
    seconds: float
    balancers: int
    upstreams: int
    rate: float
    program: Path
    push: bool = True
    overlap: float = 2.5
    only: frozenset[str] = frozenset()
    repeated: float = 0.0
    crowd: tuple[Behavior, ...] = ()
    cold_returns: bool = False
    crowd_connections: int = CROWD_CONNECTIONS
    memory_mb: int | None = None
    descriptors: int | None = None
    long_answers: float = 0.0
    flood: Flood | None = None
    long_messages: float = 0.0
    discovery_delay_s: float = 0.0
    first_call_s: float = 0.0
    replacements: bool = False

    @property
    def cold_ns(self) -> int:
        """The time in which an upstream warms up."""
        return COLD_RETURN_NS if self.cold_returns else COLD_NS

    @property
    def capacity(self) -> Capacity | None:
        """What an upstream can serve; None: without limits."""
        if not self.cold_returns:
            return None
        return Capacity(CORES, MEAN_WORK_S, QUEUE, COLD_SHARE, self.cold_ns / SECOND)

    @property
    def client_rate(self) -> float:
        """Requests a second of each balancer, before any burst."""
        if self.capacity is None:
            return self.rate
        return COLD_RETURN_LOAD * self.capacity.warm_per_s * self.upstreams / self.balancers

    @property
    def memory_limit_mb(self) -> int:
        """The memory limit of a balancer."""
        return self.memory_mb or (MEMORY_MB // 2 if self.crowd else MEMORY_MB)

    @property
    def descriptor_limit(self) -> int:
        """The limit on a balancer's descriptors."""
        return self.descriptors or (DESCRIPTORS // 2 if self.crowd else DESCRIPTORS)


def settings(plan: Plan, number: int) -> Json:
    """Return a balancer's settings, in the platform's form. None of them is a deployment's."""

    def row(name: str, repeat: str) -> Json:
        return {
            "name": name,
            "repeat": repeat,
            "aim_ns": COLD_RETURN_OBJECTIVE_NS if plan.cold_returns else OBJECTIVE_NS,
            "hard_limit_ns": LONGEST_DEADLINE_NS,
            "worth": 1.0,
            "window_ns": REPEAT_WINDOW_NS,
            "dedup_scope": "all",
        }

    profiles = [
        row("read", "read_like"),
        row("pay", "non_idempotent"),
        row("keyed", "idempotency_key"),
    ]
    return {
        "profiles": profiles,
        "realms": [
            {"name": "ash", "share": 0.5, "quota_per_s": 1000.0},
            {"name": "elm", "share": 0.5, "quota_per_s": 1000.0},
        ],
        "limits": {
            "max_open": 2000,
            "send_cap": 3,
            "may_cancel": True,
            "second_copies": True,
            "connect_timeout_ns": 700 * MS,
            "conn_idle_ns": 8 * SECOND,
            "retry_after": True,
            "max_retry_after_ns": SECOND,
            "probes": False,
            "peers": False,
        },
        "rules": {
            "stop_sending_within_ns": DRAIN_GRACE_NS,
            "ask_within_ns": 10 * SECOND,
            "cold_from": COLD_SHARE,
            "cold_ns": plan.cold_ns,
            "fall_multiple": FALL_MULTIPLE,
            "overload_for_ns": FALL_WINDOW_NS,
        },
        "registry_mode": "push" if plan.push else "ask",
        "me": number,
        "replicas_of_me": plan.balancers,
        "locality": "east",
        "zones": ["east"],
        "kinds": ["m"],
    }
