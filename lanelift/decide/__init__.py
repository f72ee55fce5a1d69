"""Every decision of lanelift, in modules of one job each. Pure: the types that they take and give
are in `lanelift/interface.py`, what may be done at all is in `lanelift/rules.py`.
"""

from lanelift.decide.balancer import Balancer
from lanelift.decide.requests import Attempt, Request
from lanelift.decide.throttle import Throttle
from lanelift.decide.upstream import mixed

__all__ = ["Attempt", "Balancer", "Request", "Throttle", "mixed"]
