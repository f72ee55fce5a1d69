"""An upstream as discovery lists it: what the policy knows of it, and its address."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.policy import api

NUMBER_BYTES = 8


def upstream_number(name: str) -> int:
    """The number by which the policy knows an upstream's id; the same on every balancer."""
    digest = hashlib.blake2b(name.encode(), digest_size=NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big")


class UpstreamProcess(NamedTuple):
    """Identifies one run of an upstream's process."""

    host: str
    port: int
    started_ms: int


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        entry: What the policy is given, but for the time of its start, which the driver works out
            from `started_ms` by this process's clock.
        started_ms: Unix time in milliseconds; 0: long ago.
    """

    entry: api.Upstream
    host: str
    port: int
    started_ms: int = 0

    @property
    def process(self) -> UpstreamProcess:
        """The process that a connection leads to; its successor's differs."""
        return UpstreamProcess(self.host, self.port, self.started_ms)
