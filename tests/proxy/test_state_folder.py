"""The state folder refuses for a while: writes fail or are short, reads fail, a process is killed
in between. What was taken on is still owed, and yes is said only of what is saved.
"""

from __future__ import annotations

import builtins
import errno
import fcntl
import json
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.daemon import settings_sync
from loadbalancer.proxy.admin_api import CallDeclinedError
from loadbalancer.proxy.disabled_upstreams import FILE
from loadbalancer.proxy.process_handover import ProcessRegistry
from tests.fakes import run
from tests.proxy.test_admin_api import owner

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
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        disabled, told, note = owner(tmp_path)
        await disabled.disable("s-0")
        with monkeypatch.context() as patch:
            patch.setattr(tempfile, "mkstemp", failing(ENOSPC))
            for _ in range(2):
                with pytest.raises(CallDeclinedError):
                    await disabled.disable("s-1")
        assert told.bans == [("s-0", True), ("s-1", True)]  # it holds here all the same
        await disabled.disable("s-1")
        assert saved(tmp_path) == ["s-0", "s-1"]
        note.close()

    run(test())


def test_what_could_not_be_saved_is_saved_once_the_folder_takes_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It binds 1 s after the call whatever was answered, and over a replacement of the process."""

    async def test() -> None:
        disabled, _, note = owner(tmp_path)
        await disabled.disable("s-0")
        with monkeypatch.context() as patch:
            patch.setattr(tempfile, "mkstemp", failing(ENOSPC))
            with pytest.raises(CallDeclinedError):
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
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        first = ProcessRegistry(tmp_path)
        with monkeypatch.context() as patch:
            patch.setattr(tempfile, "mkstemp", failing(ENOSPC))
            second = ProcessRegistry(tmp_path)
            assert len(second.others) == 1  # it sees who is there all the same
        second.watch()

        def look() -> None:
            first.check()
            second.check()

        until(lambda: len(first.others) == len(second.others) == 1, look)
        second.close()
        first.close()

    run(test())


def test_a_set_that_could_not_be_read_is_read_again_and_not_written_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        old, _, old_note = owner(tmp_path)
        new, _, new_note = owner(tmp_path)
        new_note.watch()
        await old.disable("s-0")
        new_note.close()
        await old.disable("s-1")
        plain = builtins.open

        def broken(path: Any, *args: Any, **more: Any) -> Any:
            if str(path) == str(tmp_path / FILE):
                raise EIO
            return plain(path, *args, **more)

        with monkeypatch.context() as patch:
            patch.setattr(builtins, "open", broken)
            new.refresh()
        assert saved(tmp_path) == ["s-0", "s-1"]
        until(lambda: new.names == {"s-0", "s-1"}, new.refresh)
        old_note.close()

    run(test())


# Each call that a change makes on the folder, and how it may fail: an error, or less than was asked
# for.
CALLS = {
    "mkstemp": (tempfile, "mkstemp"),
    "pwrite": (os, "pwrite"),
    "replace": (os, "replace"),
    "lock": (fcntl, "flock"),
    "open": (builtins, "open"),
}


@pytest.mark.parametrize("error", [ENOSPC, EIO], ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("call", CALLS)
def test_whichever_call_fails_no_is_said_and_it_is_saved_later(
    call: str, error: OSError, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        disabled, told, note = owner(tmp_path)
        await disabled.disable("s-0")
        with monkeypatch.context() as patch:
            patch.setattr(*CALLS[call], failing(error))
            with pytest.raises(CallDeclinedError):
                await disabled.disable("s-1")
            with pytest.raises(CallDeclinedError):  # an enable that can't be saved is none
                await disabled.enable("s-0")
        assert saved(tmp_path) == ["s-0"] and told.bans[:2] == [("s-0", True), ("s-1", True)]
        await disabled.disable("s-1")
        until(lambda: saved(tmp_path) == ["s-0", "s-1"], disabled.refresh)
        await disabled.enable("s-0")
        assert saved(tmp_path) == ["s-1"] == sorted(disabled.names)
        note.close()

    run(test())


def test_short_writes_are_gone_on_with(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    plain = os.pwrite

    def short(number: int, data: Any, at: int) -> int:
        return plain(number, bytes(data)[:3], at)

    async def test() -> None:
        monkeypatch.setattr(os, "pwrite", short)
        disabled, _, note = owner(tmp_path)
        await disabled.disable("s-0")
        assert saved(tmp_path) == ["s-0"]
        note.check()
        other = ProcessRegistry(tmp_path)
        assert other.others == [note.note]
        other.close()
        note.close()

    run(test())


class Killed(BaseException):
    """The process ends here."""


@pytest.mark.parametrize("call", ["pwrite", "replace"])
def test_a_kill_in_the_middle_of_a_write_leaves_the_set_as_it_was(
    call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plain = os.pwrite

    def kill(*args: Any) -> int:
        if call == "pwrite":
            plain(args[0], bytes(args[1])[:5], args[2])
        raise Killed

    async def test() -> None:
        disabled, _, note = owner(tmp_path)
        await disabled.disable("s-0")
        with monkeypatch.context() as patch:
            patch.setattr(os, call, kill)
            with pytest.raises(Killed):
                await disabled.disable("s-1")
        note.close()
        assert len(list(tmp_path.glob(f"{FILE}.*"))) == 1
        again, told, notes = owner(tmp_path)
        assert told.bans == [("s-0", True)] and again.names == {"s-0"}
        assert not list(tmp_path.glob(f"{FILE}.*"))
        notes.close()

    run(test())


def test_a_process_out_of_descriptors_does_not_take_the_other_for_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(builtins, "open", failing(OSError(errno.EMFILE, "Too many open files")))
        second.check()
        assert not second.is_alone
    first.close()
    second.check()
    assert second.is_alone
    second.close()


@pytest.mark.parametrize("call", ["mkstemp", "pwrite", "replace"])
def test_the_copy_of_the_settings_is_written_until_it_is(
    call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reload behind it reads this file."""
    monkeypatch.setattr(settings_sync, "WRITE_RETRY_S", 0.01)
    module, name = CALLS[call]
    plain, left = getattr(module, name), [2]

    def fail_twice(*args: Any, **more: Any) -> Any:
        if left[0]:
            left[0] -= 1
            raise ENOSPC
        return plain(*args, **more)

    async def test() -> None:
        path = tmp_path / "settings.toml"
        path.write_bytes(b"old")
        monkeypatch.setattr(module, name, fail_twice)
        await settings_sync.write_copy(path, b"new")
        assert path.read_bytes() == b"new" and left == [0]
        assert [entry.name for entry in tmp_path.iterdir()] == [path.name]

    run(test())
