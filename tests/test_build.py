"""What the build takes as current: its sources, the compiler's settings and the kind of machine."""

from __future__ import annotations

import importlib.util
import os
import platform
import subprocess
import venv
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
OTHER_MACHINE = "other-architecture"
MADE_AGAIN = "made again, not of this kind of machine"


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


@pytest.fixture
def made(build: ModuleType, monkeypatch: pytest.MonkeyPatch) -> list[bool]:
    """For each virtual environment that the build creates, whether it clears the folder."""
    cleared: list[bool] = []

    def create(folder: Path, *, with_pip: bool, clear: bool) -> None:
        assert with_pip
        cleared.append(clear)
        (folder / "bin").mkdir(parents=True, exist_ok=True)
        (folder / "bin/python").touch()

    monkeypatch.setattr(venv, "create", create)
    monkeypatch.setattr(subprocess, "run", lambda *_arguments, **_options: None)
    return cleared


def test_checksum_differs_by_machine(build: ModuleType, monkeypatch: pytest.MonkeyPatch) -> None:
    here = build.source_checksum()
    assert build.source_checksum() == here
    monkeypatch.setattr(platform, "machine", lambda: OTHER_MACHINE)
    assert build.source_checksum() != here


@pytest.mark.parametrize("name", ["CC", "CFLAGS", "CPPFLAGS", "LDFLAGS", "LDSHARED"])
def test_checksum_differs_by_compiler_settings(
    build: ModuleType, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    monkeypatch.delenv(name, raising=False)
    unset = build.source_checksum()
    monkeypatch.setenv(name, "-O1")
    assert build.source_checksum() != unset


def test_flags_of_the_environment_do_not_override_those_that_fix_the_arithmetic(
    build: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("CFLAGS", "-O1 -ffast-math -ffp-contract=fast")
    flags = build.compiler_environment()["CFLAGS"].split()
    assert flags[:3] == ["-O1", "-ffast-math", "-ffp-contract=fast"]
    assert flags[-2:] == ["-fno-fast-math", "-ffp-contract=off"]


def test_environment_of_another_machine_is_made_again(
    build: ModuleType,
    made: list[bool],
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    build.create_environment()
    build.create_environment()
    assert len(made) == 1
    assert capsys.readouterr().err == ""
    monkeypatch.setattr(platform, "machine", lambda: OTHER_MACHINE)
    build.create_environment()
    assert made[1:] == [True]  # what is installed for the other machine must not stay
    assert capsys.readouterr().err == f"{MADE_AGAIN}: .venv\n"


def test_changed_requirements_are_installed_into_the_environment(
    build: ModuleType, made: list[bool], capsys: pytest.CaptureFixture[str]
) -> None:
    build.create_environment()
    (build.ROOT / "requirements.txt").write_text("second==2\n")
    build.create_environment()
    assert made[1:] == [False]
    assert capsys.readouterr().err == ""


def test_compiled_copy_of_another_machine_is_made_again(
    build: ModuleType, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(build, "compile_modules", lambda _folder: None)
    monkeypatch.setattr(build, "run_smoke_test", lambda _folder: None)
    build.build_package("checksum")
    marker = build.COMPILED / "marker"
    marker.touch()
    build.build_package("checksum")
    assert marker.exists()
    monkeypatch.setattr(platform, "machine", lambda: OTHER_MACHINE)
    build.build_package("checksum of the other machine")
    assert not marker.exists()
    assert capsys.readouterr().err == f"{MADE_AGAIN}: .compiled\n"


def create_with_script(folder: Path, machine: str) -> subprocess.CompletedProcess[str]:
    """Run the function that `./test` and `./demo` share, with stand-ins for uname and python3."""
    programs = folder / "programs"
    programs.mkdir(exist_ok=True)
    stand_ins = {
        "uname": f"echo {machine}",
        "python3": 'test "$1" = -VV && echo Python && exit; echo "$@" >>calls\n'
        'mkdir -p "$4/bin"; printf "#!/bin/sh\\n" >"$4/bin/pip"; chmod +x "$4/bin/pip"',
    }
    for name, script in stand_ins.items():
        (programs / name).write_text(f"#!/bin/sh\n{script}\n")
        (programs / name).chmod(0o755)
    return subprocess.run(
        ["bash", "-c", f"set -eu; source {ROOT}/deploy/environment.sh; environment .venv dev"],
        cwd=folder,
        env={**os.environ, "PATH": f"{programs}:{os.environ['PATH']}"},
        check=True,
        capture_output=True,
        text=True,
    )


def test_script_makes_the_environment_of_another_machine_again(tmp_path: Path) -> None:
    (tmp_path / "pyproject.toml").touch()
    calls = tmp_path / "calls"
    assert create_with_script(tmp_path, "first").stderr == ""
    assert create_with_script(tmp_path, "first").stderr == ""
    assert calls.read_text().splitlines() == ["-m venv --clear .venv"]
    assert create_with_script(tmp_path, "second").stderr == f"{MADE_AGAIN}: .venv\n"
    assert len(calls.read_text().splitlines()) == 2
    (tmp_path / "pyproject.toml").write_text("changed")
    assert create_with_script(tmp_path, "second").stderr == ""
    assert len(calls.read_text().splitlines()) == 3
    # `review/build.sh` looks at this note.
    assert (tmp_path / ".venv/.made-for").read_text() == "changed"
