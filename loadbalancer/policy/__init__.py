"""Every decision of loadbalancer, a concern a module. Pure: no I/O, no clock, a seeded generator.

Its events and actions are in `loadbalancer/policy/api.py`, what may be done at all is in
`loadbalancer/policy/rules.py`.
"""

from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.requests import Request
from loadbalancer.policy.token_bucket import TokenBucket
from loadbalancer.policy.upstream_stats import hash_id

__all__ = ["Attempt", "Balancer", "Request", "TokenBucket", "hash_id"]
