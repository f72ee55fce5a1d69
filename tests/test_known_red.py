"""Tests of the known failures plugin, which must excuse only the listed failures."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
TEST_MODULE = """
import pytest
def test_green(): pass
def test_red(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert False
"""
FAILING_ENTRY = "test_it.py::test_red | a fault | 29"
COMMAND = "loadbalancer lab soak --seed 7"
UNREADABLE = "ERROR: KNOWN-RED.txt:1: not `test, or command with --seed | what was seen | issue`"


def run_suite(
    folder: Path, list_text: str | None, *options: str
) -> subprocess.CompletedProcess[str]:
    """Run TEST_MODULE with the given list of known failures."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_it.py").write_text(TEST_MODULE)
    if list_text is not None:
        (folder / "KNOWN-RED.txt").write_text(list_text)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red"]
    return subprocess.run(
        [*command, "-p", "no:cacheprovider", *options],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_ADDOPTS": ""},
    )


@pytest.mark.parametrize(
    ("list_text", "status", "expected"),
    [
        (None, 1, "3 failed, 1 passed"),
        (FAILING_ENTRY, 1, "2 failed, 1 passed, 1 xfailed"),
        (f"{FAILING_ENTRY}\n\ntest_it.py::test_both | another | 30\n", 0, "1 passed, 3 xfailed"),
        (
            f"{FAILING_ENTRY}\ntest_it.py::test_both[2] | another | 30\n",
            1,
            "1 failed, 1 passed, 2 xfailed",
        ),
        (f"{FAILING_ENTRY}\ntest_it.py::test_green | mended | 29\n", 1, "XPASS(strict)"),
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
        (
            f"{FAILING_ENTRY}\ntest_it.py::test_both | another | 30\n{COMMAND} | a breach | 31\n",
            0,
            f"known red: {COMMAND}: a breach (31)",
        ),
        ("test_it.py::test_red | a fault", 4, UNREADABLE),
        ("test_red | a fault | 29", 4, UNREADABLE),
        ("loadbalancer lab soak | a command without its seed | 29", 4, UNREADABLE),
        (f"{FAILING_ENTRY}\n" * 2, 4, "ERROR: KNOWN-RED.txt:2: listed twice: test_it.py::test_red"),
    ],
)
def test_listed_failures_decide_status_and_output(
    tmp_path: Path, list_text: str | None, status: int, expected: str
) -> None:
    process = run_suite(tmp_path, list_text)
    output = process.stdout + process.stderr
    assert (process.returncode, expected in output) == (status, True), output
    if list_text is not None and status != 4:
        assert "known red: test_it.py::test_red: a fault (29)" in output


def test_known_failures_are_printed_with_xdist(tmp_path: Path) -> None:
    process = run_suite(
        tmp_path, f"{FAILING_ENTRY}\ntest_it.py::test_both | another | 30", "-n", "2"
    )
    assert process.returncode == 0
    assert "known red: test_it.py::test_red: a fault (29)" in process.stdout
