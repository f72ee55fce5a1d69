"""Timers for whoever looks at the clock when they come, and sets the rest anew if nothing is due
yet.

uvloop counts in whole milliseconds and rounds a delay to the nearest: a timer may come half of one
early, and a shorter delay is no timer but a call on the next turn. Set anew with what is left, it
came on turn after turn, hundreds of them with no wait in between, until the clock had moved on by
itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

TICK_S = 0.001  # the loop's clock


def call_after(seconds: float, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
    """Like the loop's `call_later`, rounded up to its ticks, and to one at least: whatever is asked
    for, the loop waits in between.
    """
    ticks = max(1, math.ceil(seconds / TICK_S))
    return asyncio.get_running_loop().call_later(ticks * TICK_S, callback, *args)
