"""What `build` does: a virtual environment, and a copy of the package in `.compiled` whose hot
modules are compiled with mypyc. Where that can't be done (no compiler, say) the copy is left as
plain Python, and says so.

It does again only what is needed: the copy bears the checksum of all it was made from.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = ROOT / ".venv/bin/python"
COMPILED = ROOT / ".compiled"
HOT = (
    "loadbalancer/policy/*.py",
    "loadbalancer/proxy/messages.py",
    "loadbalancer/proxy/parse.py",
)
# What the platform's `run` and `sim` need; the operators' larger program is installed by pip.
PACKAGE = ("loadbalancer/*.py", "loadbalancer/policy/*.py", "loadbalancer/proxy/*.py")
LONGEST_S = 600
# What compiled modules have to do before they are taken: one request through the decisions.
TRIAL = """
from loadbalancer.policy import Balancer, api
balancer = Balancer(api.Settings(classes={"read": api.RequestClass("read")}), seed=1, now=0)
balancer.handle(0, [api.EndpointsUpdated(api.EndpointListKind.FULL, [api.Upstream(7)])])
sent = balancer.handle(1, [api.RequestArrived("r1", "read", "", deadline_ns=1_000_000_000)])
assert any(isinstance(action, api.StartAttempt) for action in sent)
"""


def environment() -> None:
    wanted = (ROOT / "requirements.txt").read_text()
    stamp = ROOT / ".venv/requirements.txt"
    if PYTHON.exists() and stamp.exists() and stamp.read_text() == wanted:
        return
    venv.create(ROOT / ".venv", with_pip=True)
    subprocess.run(
        [PYTHON, "-m", "pip", "-q", "install", "-r", ROOT / "requirements.txt"], check=True
    )
    stamp.write_text(wanted)


def sources() -> list[Path]:
    return sorted(path for pattern in PACKAGE for path in ROOT.glob(pattern))


def hot(folder: Path) -> list[str]:
    """What is compiled, by its path in the folder: not a package's own file, which only imports."""
    found = [path.relative_to(folder) for pattern in HOT for path in sorted(folder.glob(pattern))]
    return [str(path) for path in found if path.name != "__init__.py"]


def checksum() -> str:
    total = hashlib.sha256(sys.version.encode() + Path(__file__).read_bytes())
    for path in sources():
        total.update(str(path.relative_to(ROOT)).encode() + path.read_bytes())
    return total.hexdigest()


def tried(folder: Path) -> list[str]:
    """Why the compiled modules do not run, in one line; empty: they do."""
    environ = {**os.environ, "PYTHONPATH": str(folder)}
    done = subprocess.run(
        [PYTHON, "-P", "-c", TRIAL],
        cwd=folder,
        env=environ,
        timeout=LONGEST_S,
        capture_output=True,
        text=True,
    )
    if not done.returncode:
        return []
    return (
        done.stderr.strip().splitlines() or [f"the compiled modules end with {done.returncode}"]
    )[-1:]


def package(wanted: str) -> None:
    stamp = COMPILED / "checksum"
    if stamp.exists() and stamp.read_text() == wanted:
        return
    fresh = ROOT / ".compiled.new"
    shutil.rmtree(fresh, ignore_errors=True)
    for path in sources():
        copy = fresh / path.relative_to(ROOT)
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, copy)
    try:
        done = subprocess.run(
            [PYTHON, "-m", "mypyc", "--follow-imports=silent", *hot(fresh)],
            cwd=fresh,
            timeout=LONGEST_S,
            env={**os.environ, "MYPYC_OPT_LEVEL": "3"},
            capture_output=True,
            text=True,
        )
        failed = (done.stderr or done.stdout).strip().splitlines()[-1:] if done.returncode else []
        failed = failed or tried(fresh)
    except (OSError, subprocess.SubprocessError) as error:
        failed = [str(error)]
    if failed:
        print(f"not compiled, plain Python runs: {failed[0]}", file=sys.stderr)
        for left in fresh.rglob("*.so"):
            left.unlink()
    shutil.rmtree(fresh / "build", ignore_errors=True)
    shutil.rmtree(fresh / ".mypy_cache", ignore_errors=True)
    (fresh / "checksum").write_text(wanted)
    shutil.rmtree(COMPILED, ignore_errors=True)
    fresh.rename(COMPILED)


if __name__ == "__main__":
    environment()
    package(checksum())
