"""How the lab starts a real balancer: the platform's way, by a file and the environment; and
where.
"""

from __future__ import annotations

import json
import os
import socket
from pathlib import Path
from typing import Any

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def free_port() -> int:
    """Of loopback, drawn by the kernel and let go of again."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        port: int = taken.getsockname()[1]
        return port


def prepare(config: Path, **told: Any) -> None:
    """Write the configuration that a balancer is started with: the platform's keys, and the usual
    limits.
    """
    config.write_text(json.dumps({"limits": LIMITS, **told}))


def environment(config: Path, scratch: Path) -> dict[str, str]:
    """What it finds in its environment; nothing of a balancer that may run around the lab."""
    given = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
    return {**given, "BALANCER_CONFIG": str(config), "TMPDIR": str(scratch)}
