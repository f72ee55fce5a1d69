"""Units of time of the policy: whole nanoseconds on the caller's clock."""

from __future__ import annotations

from typing import Final

SECOND: Final = 1_000_000_000
