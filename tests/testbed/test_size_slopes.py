"""Slopes: the line, what is refused, what is told of it, and how it is recorded."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from loadbalancer.cli.main import application
from loadbalancer.cli.sizelab import command
from loadbalancer.testbed.size import fit
from loadbalancer.testbed.topology import Unusable

FOUR = [(10.0, 7.0), (100.0, 25.0), (1000.0, 205.0), (10_000.0, 2005.0)]  # 5 + 0.2 x


def slope(name: str = "module.whole", points: list[tuple[float, float]] = FOUR) -> fit.Slope:
    return fit.fit(
        points,
        name=name,
        unit="us",
        per="upstreams",
        command="loadbalancer lab size balancer",
        date="2026-12-02",
    )


def test_the_line_through_points_that_lie_on_one() -> None:
    found = slope(points=FOUR[::-1])  # in any order
    assert found.slope == pytest.approx(0.2, rel=1e-5)
    assert found.intercept == pytest.approx(5.0, rel=1e-5)
    assert found.residue < 1e-5
    assert found.measured_to == 10_000.0
    assert found.points == FOUR


def test_the_residue_is_that_of_the_worst_point() -> None:
    found = slope(points=[*FOUR, (100_000.0, 40_010.0)])
    worst = max(abs(y - found.line(x)) / max(y, found.line(x)) for x, y in found.points)
    assert found.residue == pytest.approx(worst, rel=1e-3)
    assert 0.1 < found.residue < 0.6


def test_figures_of_nothing_have_a_line_too() -> None:
    found = slope(points=[(1, 0), (2, 0), (3, 0), (4, 0)])
    assert (found.slope, found.intercept, found.residue) == (0.0, 0.0, 0.0)


@pytest.mark.parametrize(
    ("points", "why"),
    [
        ([], "0 sizes"),
        (FOUR[:3], "3 sizes"),
        (
            [*FOUR[:3], FOUR[0], FOUR[1]],
            "3 sizes",
        ),  # the same ones measured again are no further sizes
        ([*FOUR[:3], (5.0, float("nan"))], "no finite number"),
    ],
)
def test_too_few_sizes_are_refused_in_one_line(points: list[tuple[float, float]], why: str) -> None:
    with pytest.raises(Unusable) as caught:
        slope(points=points)
    assert why in str(caught.value) and str(caught.value).startswith("module.whole: ")
    assert "\n" not in str(caught.value)


def test_it_says_what_lies_beyond_what_was_measured() -> None:
    found = slope()
    assert found.at(44_000.0).value == pytest.approx(8805.0, rel=1e-4)
    assert found.at(44_000.0).extrapolated and found.at(1.0).extrapolated
    assert not found.at(10.0).extrapolated and not found.at(10_000.0).extrapolated


def test_between_measured_sizes_it_goes_by_them_and_not_by_the_line() -> None:
    found = slope(points=[(10.0, 1.0), (20.0, 4.0), (40.0, 16.0), (80.0, 64.0)])
    assert found.at(40.0) == (16.0, False) and found.at(60.0) == (40.0, False)
    assert found.at(160.0) == (found.line(160.0), True)


def test_slopes_are_recorded_by_name_and_alike(tmp_path: Path) -> None:
    path = tmp_path / "docs" / "slopes.json"
    assert fit.read(path) == []
    fit.record(path, [slope("b"), slope("a")])
    first = path.read_bytes()
    fit.record(path, [slope("a")])
    assert path.read_bytes() == first
    changed = slope("b", [(x, 2 * y) for x, y in FOUR])
    fit.record(path, [changed, slope("c")])
    assert fit.read(path) == [slope("a"), changed, slope("c")]
    assert path.read_bytes() == fit.encoded(fit.read(path))


def test_a_record_that_does_not_read_is_said_so(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    path.write_text('[{"name": "a"}]')
    with pytest.raises(Unusable, match=r"slopes\.json: .*unit"):
        fit.record(path, [slope()])
    assert path.read_text() == '[{"name": "a"}]'


def test_recorded_slopes_are_shown(tmp_path: Path) -> None:
    path, picture = tmp_path / "slopes.json", tmp_path / "slopes.png"
    fit.record(path, [slope()])
    runner = CliRunner()
    found = runner.invoke(
        application(["lab"]), ["lab", "size", "show", str(path), "--plot", str(picture)]
    )
    assert found.exit_code == 0 and "8805 at 44000*" in found.output
    assert picture.read_bytes().startswith(b"\x89PNG")
    none = runner.invoke(application(["lab"]), ["lab", "size", "show", str(tmp_path / "none.json")])
    assert isinstance(none.exception, Unusable)


def test_a_small_run_of_the_usual_parts_gives_slopes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A slope is recorded with the command line; the one of pytest's own workers may be empty.
    monkeypatch.setattr("sys.argv", ["loadbalancer", "lab", "size", "balancer"])
    path, found = tmp_path / "slopes.json", tmp_path / "found.json"
    done = CliRunner().invoke(
        application(["lab"]),
        [
            "lab",
            "size",
            "balancer",
            "--sizes",
            "2,4,6,8",
            "--repeats",
            "1",
            "--seconds",
            "0.2",
            "--record",
            str(path),
            "--json",
            str(found),
        ],
        catch_exceptions=False,
    )
    assert done.exit_code == 0, done.output
    slopes = {s.name: s for s in fit.read(path)}
    assert msgspec.json.decode(found.read_bytes())["slopes"][0]["name"] in slopes
    assert {
        "balancer.list.change.plain",
        "balancer.second.by-tenants.plain",
        "balancer.stored.rows",
        "balancer.event.by-services.plain",
        "balancer.settings.toml.by-classes",
    } <= set(slopes)
    assert all(
        len(s.points) == 4 and s.command.startswith("loadbalancer ") for s in slopes.values()
    )
    assert slopes["balancer.stored.rows"].slope > 50  # bytes of an upstream


@pytest.mark.parametrize(
    ("given", "why"),
    [
        (["--parts", "module,dreams"], "'dreams' is none of"),
        (["--sizes", "1,2,3"], "takes 4"),
        (["--sizes", "1,2,x,4"], "no whole numbers"),
        (["--repeats", "0"], "1 at least"),
        (["--program", "nowhere"], "no program is there"),
    ],
)
def test_what_can_not_be_measured_is_one_line(given: list[str], why: str) -> None:
    done = CliRunner().invoke(
        application(["lab"]), ["lab", "size", "balancer", "--parts", "stored", *given]
    )
    assert isinstance(done.exception, Unusable) and why in str(done.exception)
    assert "\n" not in str(done.exception)


def test_the_record_tells_the_command_and_not_where_results_went() -> None:
    words = [
        "lab",
        "size",
        "balancer",
        "--json",
        "a b",
        "--seconds",
        "2",
        "--plot=c.png",
        "--record",
        "d",
    ]
    assert command(words) == "loadbalancer lab size balancer --seconds 2"
