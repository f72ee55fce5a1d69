"""Options and states of a subscription."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from loadbalancer.changefeed.limits import SubscriptionLimits
from loadbalancer.changefeed.scope_table import RowCheck


class SubscriptionState(Enum):
    """State of a subscription's connection."""

    BACKING_OFF = "resting"  # until the next dial
    DIALLING = "dialling"
    SUBSCRIBING = "subscribing"  # requested, and nothing received yet
    PARKED = "parked"  # the node is behind the cursors
    FOLLOWING = "following"


@dataclass(frozen=True, slots=True)
class SubscriptionOptions:
    """How a subscription behaves.

    Attributes:
        check_row: Returns why a row is refused, or an empty string.
        limits: Limits and timing.
        rng: Draws the reconnect delays.
    """

    check_row: RowCheck
    limits: SubscriptionLimits
    rng: Random
