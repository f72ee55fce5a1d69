"""Honours `KNOWN-RED.txt` at the root: what fails for a real fault that could not be mended yet.

A line is `test | what was seen | issue`, the test as pytest names it, or `command with its seed |
what was seen | issue` for what only a run by hand shows. Listed tests run and have to fail; all
entries are named in the summary. A listed test that passes, a name that there is not, an entry that
stands twice or a line that can't be read fails the run. Without the file all is as ever.
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
        subject: A test's name, or a command with its seed.
        seen: What fails.
        issue: The number of the issue that is open for it.
    """

    subject: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether pytest can run it."""
        return "::" in self.subject


def parse(line: str) -> Entry | None:
    """Read one line; None where it has another form."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(Entry._fields) or not all(fields):
        return None
    entry = Entry(*fields)
    return entry if entry.is_test or "--seed" in entry.subject else None


def read(path: Path) -> list[Entry]:
    """Read the file's entries.

    Raises:
        pytest.UsageError: A line can't be read, or an entry stands twice.
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
    """Read the file, also in the process that only hands tests out to others."""
    config.stash[entries_key] = read(config.rootpath / NAME)


@pytest.hookimpl(tryfirst=True)  # ahead of what `-k` leaves out
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    runs_whole_files = not any(
        "::" in argument for argument in config.args
    )  # the files named were collected as a whole
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
