"""Units of time of the policy: whole nanoseconds on the caller's clock."""

from __future__ import annotations

from typing import Final

SECOND: Final = 1_000_000_000
MILLISECOND: Final = SECOND // 1000
NS_PER_S: Final = 1e9  # of the event loop's clock, whose times are floats
