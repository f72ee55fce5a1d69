"""Pytest plugin for `KNOWN-RED.txt`, the list of failures whose faults are not fixed yet.

A line is `test | what was seen | issue`, with the pytest node id of the test, or `command with its
seed | what was seen | issue` for a failure that only a manual run reproduces. Listed tests run and
are expected to fail, and the summary lists all entries. The run fails if a listed test passes or
does not exist, if an entry is duplicated, or if a line is malformed. Without the file, the plugin
has no effect.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
LINE_FORMAT = "test, or command with --seed | what was seen | issue"
entries_key = pytest.StashKey["list[Entry]"]()


class Entry(NamedTuple):
    """One known failure.

    Attributes:
        subject: The node id of a test, or a command with its seed.
        seen: Description of the failure.
        issue: Number of the open issue.
    """

    subject: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether the subject is a test that pytest can run."""
        return "::" in self.subject


def parse(line: str) -> Entry | None:
    """Parse a line, and return None if it is malformed."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(Entry._fields) or not all(fields):
        return None
    entry = Entry(*fields)
    return entry if entry.is_test or "--seed" in entry.subject else None


def read(path: Path) -> list[Entry]:
    """Read the entries of the file.

    Raises:
        pytest.UsageError: A line is malformed, or an entry is duplicated.
    """
    entries: list[Entry] = []
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        entry = parse(line)
        if entry is None:
            raise pytest.UsageError(f"{NAME}:{number}: not `{LINE_FORMAT}`: {line.strip()}")
        if entry.subject in {other.subject for other in entries}:
            raise pytest.UsageError(f"{NAME}:{number}: listed twice: {entry.subject}")
        entries.append(entry)
    return entries


def pytest_configure(config: pytest.Config) -> None:
    """Read the file, also in the xdist controller, which only distributes tests."""
    config.stash[entries_key] = read(config.rootpath / NAME)


@pytest.hookimpl(tryfirst=True)  # before `-k` deselects tests
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    runs_whole_files = not any(
        "::" in argument for argument in config.args
    )  # the arguments name files or directories
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in config.stash[entries_key]:
        if not entry.is_test:
            continue
        matching_items = [
            item for item in items if entry.subject in (item.nodeid, item.nodeid.partition("[")[0])
        ]
        for item in matching_items:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{entry.seen} ({entry.issue})"))
        file = entry.subject.partition("::")[0]
        if not matching_items and (
            not (config.rootpath / file).is_file() or runs_whole_files and file in files
        ):
            raise pytest.UsageError(f"{NAME}: there is no test {entry.subject}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for entry in config.stash.get(entries_key, []):
        terminalreporter.write_line(f"known red: {entry.subject}: {entry.seen} ({entry.issue})")
