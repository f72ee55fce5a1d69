"""The build of the compiled package."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent


@pytest.fixture
def build(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> ModuleType:
    """The build program, with its folders in a temporary directory."""
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy/build.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    (tmp_path / "requirements.txt").write_text("first==1\n")
    (tmp_path / "loadbalancer").mkdir()
    (tmp_path / "loadbalancer/units.py").touch()
    monkeypatch.setattr(module, "ROOT", tmp_path)
    monkeypatch.setattr(module, "PYTHON", tmp_path / ".venv/bin/python")
    monkeypatch.setattr(module, "COMPILED", tmp_path / ".compiled")
    return module


def test_flags_of_the_environment_do_not_override_those_that_fix_the_arithmetic(
    build: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("CFLAGS", "-O1 -ffast-math -ffp-contract=fast")
    flags = build.compiler_environment()["CFLAGS"].split()
    assert flags[:3] == ["-O1", "-ffast-math", "-ffp-contract=fast"]
    assert flags[-2:] == ["-fno-fast-math", "-ffp-contract=off"]
