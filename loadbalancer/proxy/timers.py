"""Timers for callers that check the clock when they fire, and set the rest anew.

uvloop counts in whole milliseconds and rounds a delay to the nearest: a timer may fire half a
millisecond early, and a shorter delay is no timer but a call on the next turn. Set anew with what
is left, it would fire turn after turn, hundreds of times with no wait in between, until the clock
had moved on by itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

TICK_S = 0.001  # the loop's clock


def call_after(seconds: float, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
    """Call later, as the loop's `call_later`, but rounded up to its ticks, and to one at least.

    So the loop waits in between, however short the delay is.
    """
    ticks = max(1, math.ceil(seconds / TICK_S))
    return asyncio.get_running_loop().call_later(ticks * TICK_S, callback, *args)
