"""Timers for callbacks that check the clock and, if they fire early, rearm for the remaining time.

uvloop rounds a delay to the nearest whole millisecond. A timer may therefore fire half a
millisecond early, and a delay below half a millisecond becomes a call in the next event-loop
iteration. A callback that fires early and rearms for the remaining time would then run in each
event-loop iteration, hundreds of times without a wait in between, until its time is reached.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

TICK_S = 0.001  # resolution of uvloop's timers


def call_after(seconds: float, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
    """Schedule a call like `loop.call_later`, with the delay rounded up to at least one tick.

    The event loop thus waits before the call, however short the delay is.
    """
    ticks = max(1, math.ceil(seconds / TICK_S))
    return asyncio.get_running_loop().call_later(ticks * TICK_S, callback, *args)
