"""An upstream in the endpoint list: the policy's entry and the network address."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.policy import api

NUMBER_BYTES = 8


def upstream_number(name: str) -> int:
    """Return the policy's number for an upstream's id; the same on every balancer."""
    digest = hashlib.blake2b(name.encode(), digest_size=NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big")


class UpstreamProcess(NamedTuple):
    """Identity of one process of an upstream, which changes with each restart."""

    host: str
    port: int
    started_ms: int


class UpstreamChange(NamedTuple):
    """A change of an upstream's state, or its restart.

    Attributes:
        name: The operators' id of the upstream, or its number if the list has no ids.
        started_ms: When the process started, as Unix time in milliseconds; 0: long ago.
    """

    name: str
    state: api.UpstreamState
    started_ms: int


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        entry: The policy's entry. The driver sets its start time, which it converts from
            `started_ms` to this process's monotonic clock.
        started_ms: When the process started, as Unix time in milliseconds; 0: long ago.
        name: The operators' id, for logs; empty where the list has numbers only.
    """

    entry: api.Upstream
    host: str
    port: int
    started_ms: int = 0
    name: str = field(default="", compare=False)

    def change(self, state: api.UpstreamState) -> UpstreamChange:
        """Return the change to this state."""
        return UpstreamChange(self.name or str(self.entry.id), state, self.started_ms)

    @property
    def process(self) -> UpstreamProcess:
        """Identity of the process; differs after a restart or a change of the address."""
        return UpstreamProcess(self.host, self.port, self.started_ms)
