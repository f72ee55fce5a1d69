"""Identity of a balancer in the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerIdentity:
    """A balancer's service and its own name; both are parts of store keys."""

    service: str
    balancer: str
