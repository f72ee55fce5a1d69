"""The platform's `build`: a virtual environment, and a copy of the package with compiled modules.

The copy stands in `.compiled`; its hot modules are compiled with mypyc. Where that can't be done
(without a compiler, say) the copy is left as plain Python, and a message says so.

Only what is needed is done again: the copy holds the checksum of all its sources, of the compiler's
settings and of the kind of machine. What was made on another kind of machine is made again.
"""

from __future__ import annotations

import compileall
import hashlib
import os
import platform
import shutil
import subprocess
import sys
import venv
from pathlib import Path
from py_compile import PycInvalidationMode

ROOT = Path(__file__).resolve().parent.parent
PYTHON = ROOT / ".venv/bin/python"
COMPILED = ROOT / ".compiled"
HOT_MODULES = (
    "loadbalancer/policy/*.py",
    "loadbalancer/proxy/messages.py",
    "loadbalancer/proxy/parse.py",
)
# What the platform's `run` and `sim` need; the operators' larger program is installed by pip.
PACKAGE_MODULES = ("loadbalancer/*.py", "loadbalancer/policy/*.py", "loadbalancer/proxy/*.py")
TIMEOUT_S = 600
# Without these, a compiler may fuse a multiplication and an addition, which rounds once instead of
# twice: the policy would decide differently from the uncompiled one, and by architecture.
FLOATING_POINT_FLAGS = "-fno-fast-math -ffp-contract=off"
# Environment variables that change what the compiler produces.
COMPILER_VARIABLES = ("CC", "CFLAGS", "CPPFLAGS", "LDFLAGS", "LDSHARED")
# What compiled modules have to run before they are used: one request through the policy.
SMOKE_TEST = """
from loadbalancer.policy import Balancer, api
balancer = Balancer(api.Settings(classes={"read": api.RequestClass("read")}), seed=1, now=0)
balancer.handle(0, [api.EndpointsUpdated(api.EndpointListKind.FULL, [api.Upstream(7)])])
sent = balancer.handle(1, [api.RequestArrived("r1", "read", "", deadline_ns=1_000_000_000)])
assert any(isinstance(action, api.StartAttempt) for action in sent)
"""


def machine_kind() -> str:
    """Return the architecture and the interpreter, which binary packages depend on."""
    return f"{platform.machine()} {sys.version}"


def create_environment() -> None:
    """Create the virtual environment, unless it has the required packages for this machine."""
    folder = ROOT / ".venv"
    required = (ROOT / "requirements.txt").read_text()
    packages_stamp = folder / "requirements.txt"
    machine_stamp = folder / "machine"
    is_for_this_machine = _content(machine_stamp) == machine_kind()
    if PYTHON.exists() and is_for_this_machine and _content(packages_stamp) == required:
        return
    if folder.exists() and not is_for_this_machine:
        print(f"made again, not of this kind of machine: {folder.name}", file=sys.stderr)
    venv.create(folder, with_pip=True, clear=not is_for_this_machine)
    subprocess.run(
        [PYTHON, "-m", "pip", "-q", "install", "-r", ROOT / "requirements.txt"], check=True
    )
    packages_stamp.write_text(required)
    machine_stamp.write_text(machine_kind())


def _content(path: Path) -> str | None:
    """Return the content of a file, or None if it does not exist."""
    return path.read_text() if path.exists() else None


def sources() -> list[Path]:
    """Return the files of the package that are copied."""
    return sorted(path for pattern in PACKAGE_MODULES for path in ROOT.glob(pattern))


def hot_modules(folder: Path) -> list[str]:
    """Return the paths in the folder of what is compiled.

    A package's `__init__.py`, which only imports, is not.
    """
    found = [
        path.relative_to(folder) for pattern in HOT_MODULES for path in sorted(folder.glob(pattern))
    ]
    return [str(path) for path in found if path.name != "__init__.py"]


def source_checksum() -> str:
    """Return a checksum of the machine, the compiler's settings, this program and all sources."""
    settings = [f"{name}={os.environ.get(name)}" for name in COMPILER_VARIABLES]
    total = hashlib.sha256("\0".join([machine_kind(), *settings]).encode())
    total.update(Path(__file__).read_bytes())
    for path in sources():
        total.update(str(path.relative_to(ROOT)).encode() + path.read_bytes())
    return total.hexdigest()


def copy_sources(folder: Path) -> None:
    """Copy the sources into a new folder."""
    shutil.rmtree(folder, ignore_errors=True)
    for path in sources():
        copy = folder / path.relative_to(ROOT)
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, copy)


def compiler_environment() -> dict[str, str]:
    """Return the environment of the compiler: this process's, with flags that fix its arithmetic.

    The last of contradictory flags counts, so they are appended.
    """
    flags = f"{os.environ.get('CFLAGS', '')} {FLOATING_POINT_FLAGS}".strip()
    return {**os.environ, "CFLAGS": flags, "MYPYC_OPT_LEVEL": "3"}


def compile_modules(folder: Path) -> str | None:
    """Compile the hot modules in place.

    Returns:
        Why that failed, in one line; None if it did not.
    """
    done = subprocess.run(
        [PYTHON, "-m", "mypyc", "--follow-imports=silent", *hot_modules(folder)],
        cwd=folder,
        timeout=TIMEOUT_S,
        env=compiler_environment(),
        capture_output=True,
        text=True,
        check=False,
    )
    if not done.returncode:
        return None
    lines = (done.stderr or done.stdout).strip().splitlines()
    return lines[-1] if lines else None


def run_smoke_test(folder: Path) -> str | None:
    """Run the smoke test on the compiled modules.

    Returns:
        Why it failed, in one line; None if it did not.
    """
    done = subprocess.run(
        [PYTHON, "-P", "-c", SMOKE_TEST],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        timeout=TIMEOUT_S,
        capture_output=True,
        text=True,
        check=False,
    )
    if not done.returncode:
        return None
    lines = done.stderr.strip().splitlines()
    return lines[-1] if lines else f"the compiled modules end with {done.returncode}"


def compile_bytecode(folder: Path) -> None:
    """Write the bytecode of all modules.

    `run` may be unable to write it, and would compile them at each start, which takes memory that
    the process keeps.
    """
    compileall.compile_dir(folder, quiet=1, invalidation_mode=PycInvalidationMode.UNCHECKED_HASH)


def build_package(checksum: str) -> None:
    """Build the copy of the package, unless it has this checksum."""
    stamp = COMPILED / "checksum"
    if _content(stamp) == checksum:
        return
    if _content(COMPILED / "machine") not in {None, machine_kind()}:
        print(f"made again, not of this kind of machine: {COMPILED.name}", file=sys.stderr)
    fresh = ROOT / ".compiled.new"
    copy_sources(fresh)
    try:
        failure = compile_modules(fresh) or run_smoke_test(fresh)
    except (OSError, subprocess.SubprocessError) as error:
        failure = str(error)
    if failure:
        print(f"not compiled, plain Python runs: {failure}", file=sys.stderr)
        for library in fresh.rglob("*.so"):
            library.unlink()
    shutil.rmtree(fresh / "build", ignore_errors=True)
    shutil.rmtree(fresh / ".mypy_cache", ignore_errors=True)
    compile_bytecode(fresh)
    (fresh / "checksum").write_text(checksum)
    (fresh / "machine").write_text(machine_kind())
    shutil.rmtree(COMPILED, ignore_errors=True)
    fresh.rename(COMPILED)


if __name__ == "__main__":
    create_environment()
    build_package(source_checksum())
