"""What another process of this machine has used, as the system counts it."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path


def cpu_s(pid: int) -> float:
    """CPU seconds of all its threads, those that ended included, in ns steps: /proc/PID/stat counts
    ticks of 10 ms. Raises OSError where there is no such process.
    """
    return time.clock_gettime((~pid << 3) | 2)  # what clock_getcpuclockid(3) gives on Linux


def resident_kb(pid: int, line: str = "VmRSS") -> int:
    """KB of 1,024 bytes, or the most so far by `VmHWM`; 0 of a process that has ended and stands in
    its table yet. Raises OSError where there is none.
    """
    for said in Path(f"/proc/{pid}/status").read_text().splitlines():
        if said.startswith(f"{line}:"):
            return int(said.split()[1])
    return 0


def memory_mb(pid: int) -> float:
    """Resident, MB of 10**6 bytes."""
    return resident_kb(pid) * 1024 / 1e6


def written_bytes(pid: int) -> int:
    """To disk and network together."""
    for line in Path(f"/proc/{pid}/io").read_text().splitlines():
        if line.startswith("wchar:"):
            return int(line.split()[1])
    return 0


class Meter:
    """CPU time and clock of one process from here on."""

    def __init__(self, pid: int, read: Callable[[int], float] = cpu_s) -> None:
        self.pid, self.read = pid, read
        self.began_s, self.first_s = time.monotonic(), read(pid)

    @property
    def cpu_s(self) -> float:
        return self.read(self.pid) - self.first_s

    @property
    def took_s(self) -> float:
        return time.monotonic() - self.began_s
