"""The load balancing policy: pure, without I/O or a clock, with a seeded random generator.

Events and actions are defined in `loadbalancer/policy/api.py`; `loadbalancer/policy/rules.py`
defines which attempts, retries and rejections are allowed.
"""

from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.requests import Request
from loadbalancer.policy.token_bucket import TokenBucket
from loadbalancer.policy.upstream_stats import hash_id

__all__ = ["Attempt", "Balancer", "Request", "TokenBucket", "hash_id"]
