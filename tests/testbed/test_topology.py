"""Topologies: what is wrong with a file is said in one line; what is read can be written and read
again.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.testbed import topology
from loadbalancer.testbed.topology import Unusable
from loadbalancer.units import Duration, duration, format_duration, per_second, size

GOOD = """
name = "small"
length = "5s"
[network]
zones = ["a"]
[fleet]
boxes = 2
[[fleet.machines]]
name = "m"
[[class]]
name = "lookup"
share = 1
work = "20ms"
aim = "200ms"
deadline = "500ms"
"""


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (('length = "5s"', "length = 5"), "a time is a number with a unit"),
        (('length = "5s"', 'length = "5 sec"'), "a time is a number with a unit"),
        (("boxes = 2", "boxs = 2"), "unknown field `boxs` - at `$.fleet`"),
        (("boxes = 2", "boxes = 0"), "fleet.boxes: must be more than nothing"),
        (("boxes = 2", 'boxes = "2"'), "Expected `int`, got `str` - at `$.fleet.boxes`"),
        (('aim = "200ms"', 'aim = "2s"'), "class lookup: aim is longer than deadline"),
        (('work = "20ms"', 'work = ["30ms", "20ms"]'), "a range goes from the smaller"),
        (('work = "20ms"', 'work = ["30ms"]'), "a range has two ends, not 1"),
        (('name = "m"', 'name = "m"\nspeed = true'), "a range of numbers holds numbers"),
        (('zones = ["a"]', "zones = []"), "at least one of each"),
        (('name = "small"', "name = "), "Invalid value (at line 2"),
        (
            ("[[class]]", '[[fault]]\nkind = "slow"\nat = "9s"\nsize = 2\n[[class]]'),
            "behind the end",
        ),
        (("[[class]]", '[[fault]]\nkind = "slow"\nat = "1s"\n[[class]]'), "size must be over 1"),
        (
            ("[[class]]", '[[fault]]\nkind = "slw"\nat = "1s"\n[[class]]'),
            "Invalid enum value 'slw'",
        ),
        (
            ("[[class]]", '[[fault]]\nkind = "kill"\nat = "1s"\nonly = [2]\n[[class]]'),
            "names what is not there",
        ),
        (
            (
                "[[class]]",
                '[[tenant]]\nname = "t"\nshare = 1\n[[tenant]]\nname = "t"\nshare = 1\n[[class]]',
            ),
            "tenant: t stands there twice",
        ),
    ],
)
def test_a_bad_file_is_one_precise_line(tmp_path: Path, change: tuple[str, str], said: str) -> None:
    path = tmp_path / "bad.toml"
    assert change[0] in GOOD
    path.write_text(GOOD.replace(*change, 1))
    with pytest.raises(Unusable) as error:
        topology.load(str(path))
    text = str(error.value)
    assert text.startswith(f"{path}: ") and said in text and "\n" not in text


def test_what_is_written_is_read_back(tmp_path: Path) -> None:
    path = tmp_path / "good.toml"
    path.write_text(GOOD)
    worlds = [topology.load(name) for name in topology.bundled()] + [topology.load(str(path))]
    for t in worlds:
        again = topology.read(topology.source(t), "again")
        assert again == t and topology.source(again) == topology.source(t)


def test_a_change_on_the_command_line_reaches_any_key() -> None:
    t = topology.load("brief", ["fleet.boxes=40", 'clients.rate="1000/s"', "length=25s"])
    assert (t.fleet.boxes, t.clients.rate, t.length) == (40, 1000.0, 25 * 10**9)
    with pytest.raises(Unusable, match="no table"):
        topology.load("brief", ["name.x=1"])
    with pytest.raises(Unusable, match="is not KEY=VALUE"):
        topology.load("brief", ["fleet.boxes"])
    with pytest.raises(Unusable, match="bundled are brief"):
        topology.load("no-such-world")


def test_units() -> None:
    assert [duration(x) for x in ("5ns", "1.5us", "250ms", "2s", "3m", "1h")] == [
        5,
        1500,
        250 * 10**6,
        2 * 10**9,
        180 * 10**9,
        3600 * 10**9,
    ]
    assert (size("64KiB"), size("1MB"), per_second("90/m")) == (65536, 10**6, 1.5)
    for ns in (0, 1, 1500, 2 * 10**6, 90 * 10**9, 3600 * 10**9):
        assert duration(format_duration(ns)) == Duration(ns)
    for bad in ("5", "", "ms", "-5ms", "5 m s", "1e3ms", 5, None):
        with pytest.raises(ValueError, match="with a unit"):
            duration(bad)
