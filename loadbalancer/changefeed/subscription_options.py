"""Options and states of a subscription."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from loadbalancer.changefeed.limits import SubscriptionLimits
from loadbalancer.changefeed.scope_table import RowCheck


class SubscriptionState(Enum):
    """State of a subscription's connection."""

    BACKING_OFF = "resting"  # waiting for the next dial
    DIALLING = "dialling"
    SUBSCRIBING = "subscribing"  # Subscribe sent, no answer received yet
    PARKED = "parked"  # the node is behind the cursors
    FOLLOWING = "following"


@dataclass(frozen=True, slots=True)
class SubscriptionOptions:
    """Options of a subscription.

    Attributes:
        check_row: Returns why a row is refused, or an empty string if it is accepted.
        limits: Limits and timing.
        rng: Random generator for reconnect delays.
    """

    check_row: RowCheck
    limits: SubscriptionLimits
    rng: Random
