"""Every decision of loadbalancer, in modules of one job each. Pure: the types that they take and
give are in `loadbalancer/policy/api.py`, what may be done at all is in
`loadbalancer/policy/rules.py`.
"""

from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.token_bucket import Throttle
from loadbalancer.policy.upstream_stats import mixed

__all__ = ["Attempt", "Balancer", "Request", "Throttle", "mixed"]
