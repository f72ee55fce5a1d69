"""The state folder refuses for a while: writes fail or are short, reads fail, a process is killed in between.
What was taken on is still owed, and yes is said only of what is saved."""

from __future__ import annotations

import errno
import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from lanelift.net.disabled import FILE
from lanelift.net.management import No
from lanelift.net.siblings import Siblings
from tests.fakes import run
from tests.test_management import owner

ENOSPC = OSError(errno.ENOSPC, "No space left on device")
EIO = OSError(errno.EIO, "Input/output error")


def failing(error: OSError) -> Callable[..., Any]:
    def fail(*args: Any, **more: Any) -> Any:
        raise error

    return fail


def saved(folder: Path) -> list[str]:
    names: list[str] = json.loads((folder / FILE).read_text())["disabled"]
    return names


def until(holds: Callable[[], object], turn: Callable[[], object]) -> None:
    """Have it look again and again, as it does by its timer."""
    by = time.monotonic() + 10.0
    while not holds():
        assert time.monotonic() < by
        turn()


def test_a_disable_that_was_not_saved_is_no_yes_at_the_second_asking(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        disabled, told, note = owner(tmp_path)
        await disabled.disable("s-0")
        with monkeypatch.context() as patch:
            patch.setattr(tempfile, "mkstemp", failing(ENOSPC))
            for _ in range(2):
                with pytest.raises(No):
                    await disabled.disable("s-1")
        assert told.bans == [("s-0", True), ("s-1", True)]  # it holds here all the same
        await disabled.disable("s-1")
        assert saved(tmp_path) == ["s-0", "s-1"]
        note.close()

    run(test())


def test_what_could_not_be_saved_is_saved_once_the_folder_takes_it(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It binds 1 s after the call whatever was answered, and over a replacement of the process."""
    async def test() -> None:
        disabled, _, note = owner(tmp_path)
        await disabled.disable("s-0")
        with monkeypatch.context() as patch:
            patch.setattr(tempfile, "mkstemp", failing(ENOSPC))
            with pytest.raises(No):
                await disabled.disable("s-1")
            other, _, others = owner(tmp_path)
            others.close()
        sibling, _, note_of_sibling = owner(tmp_path)
        note.watch()
        note_of_sibling.watch()
        await sibling.disable("s-2")
        until(lambda: saved(tmp_path) == ["s-0", "s-1", "s-2"], disabled.refresh)
        assert disabled.names == {"s-0", "s-1", "s-2"}
        note.close()
        note_of_sibling.close()

    run(test())


def test_a_process_that_starts_while_the_folder_refuses_is_seen_later(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        first = Siblings(tmp_path)
        with monkeypatch.context() as patch:
            patch.setattr(tempfile, "mkstemp", failing(ENOSPC))
            second = Siblings(tmp_path)
            assert len(second.others) == 1  # it sees who is there all the same
        second.watch()

        def look() -> None:
            first.look()
            second.look()

        until(lambda: len(first.others) == len(second.others) == 1, look)
        second.close()
        first.close()

    run(test())
