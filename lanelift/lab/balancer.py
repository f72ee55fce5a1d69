"""How the lab starts a real balancer: the platform's way, by a file and the environment."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def prepare(config: Path, **told: Any) -> None:
    """Write the configuration that a balancer is started with: the platform's keys, and the usual limits."""
    config.write_text(json.dumps({"limits": LIMITS, **told}))


def environment(config: Path, scratch: Path) -> dict[str, str]:
    """What it finds in its environment; nothing of a balancer that may run around the lab."""
    given = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
    return {**given, "BALANCER_CONFIG": str(config), "TMPDIR": str(scratch)}
