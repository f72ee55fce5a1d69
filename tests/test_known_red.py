"""The list of tests that are known to fail: what it excuses, and what it does not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SUITE = """
import pytest
def test_green(): pass
def test_red(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert False
"""
RED = "test_it.py::test_red | a fault | 29"


@pytest.mark.parametrize(
    ("listed", "status", "says"),
    [
        (None, 1, "3 failed, 1 passed"),
        (RED, 1, "2 failed, 1 passed, 1 xfailed"),
        (f"{RED}\n\ntest_it.py::test_both | another | 30\n", 0, "1 passed, 3 xfailed"),
        (f"{RED}\ntest_it.py::test_both[2] | another | 30\n", 1, "1 failed, 1 passed, 2 xfailed"),
        (f"{RED}\ntest_it.py::test_green | mended | 29\n", 1, "XPASS(strict)"),
        (
            "test_it.py::test_no | a fault | 29",
            4,
            "ERROR: KNOWN-RED.txt: there is no test test_it.py::test_no",
        ),
        (
            "test_no.py::test_red | a fault | 29",
            4,
            "ERROR: KNOWN-RED.txt: there is no test test_no.py::test_red",
        ),
        ("test_it.py::test_red | a fault", 4, "ERROR: KNOWN-RED.txt:1: not `test | cause | issue`"),
        ("test_red | a fault | 29", 4, "ERROR: KNOWN-RED.txt:1: not `test | cause | issue`"),
        (f"{RED}\n" * 4, 4, "ERROR: KNOWN-RED.txt: 4 tests are listed, 3 at most may be"),
    ],
)
def test_what_is_listed_and_what_the_run_says(
    tmp_path: Path, listed: str | None, status: int, says: str
) -> None:
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_it.py").write_text(SUITE)
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "tests.known_red",
        "-p",
        "no:cacheprovider",
    ]
    done = subprocess.run(
        command,
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_ADDOPTS": ""},
    )
    out = done.stdout + done.stderr
    assert (done.returncode, says in out) == (status, True), out
    if listed is not None and status != 4:
        assert "known red: test_it.py::test_red: a fault (29)" in out
