"""The preloaded library that lets a balancer's system calls fail and steps its wall clock: built
where there is a C compiler, and one file of control for each balancer.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from importlib import resources
from pathlib import Path

CONTROL = struct.Struct("qIIII")
ALWAYS = 65_536


def build(folder: Path) -> Path | None:
    """The library; None where there is no compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    source, made = folder / "shim.c", folder / "shim.so"
    source.write_bytes(resources.files("loadbalancer.testbed.soak").joinpath("shim.c").read_bytes())
    subprocess.run(
        [compiler, "-O2", "-shared", "-fPIC", "-o", str(made), str(source), "-ldl"], check=True
    )
    return made


class Control:
    """What one balancer's shim does from now on."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(CONTROL.size))
        self.path = path
        with open(path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), CONTROL.size)
        self.offset_ns = 0
        self.part = 0.0

    def set(self, offset_ns: int | None = None, part: float | None = None) -> None:
        """`offset_ns`: of the wall clock; `part`: of the calls that fail or are short."""
        self.offset_ns = self.offset_ns if offset_ns is None else offset_ns
        self.part = self.part if part is None else part
        chance = int(ALWAYS * self.part)
        self.memory[:] = CONTROL.pack(self.offset_ns, chance, chance, chance, chance // 4)
