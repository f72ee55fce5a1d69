"""The capacity page: its formulas, and that it stands as the recorded slopes give it."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from loadbalancer.testbed.size import capacity, fit
from loadbalancer.testbed.size.capacity import Figure, Sheet
from loadbalancer.testbed.topology import Unusable

DOCS = Path(__file__).parents[2] / "docs"
LINE = fit.fit([(1, 12), (2, 14), (4, 18), (8, 26)], name="thing", unit="us", per="upstreams")


def sheet(formula: str, limit: str = "", mechanism: str = "feed") -> Sheet:
    return Sheet(
        {"upstreams": 100.0},
        {"twice": "upstreams * 2"},
        [Figure("balancer", "usual day", "cost", formula, "us", mechanism, limit)],
    )


@pytest.mark.parametrize(
    "formula, value",
    [
        ("upstreams / 4 + 1", 26.0),
        ("-twice ** 2", -40000.0),
        ("max(upstreams, twice, 3)", 200.0),
        ('slope("thing") * upstreams', 200.0),
        ('base("thing")', 10.0),
        ('at("thing", twice / 100)', 14.0),
        ("ceil(upstreams / 3)", 34.0),
        ("sqrt(upstreams)", 10.0),
    ],
)
def test_a_formula_is_arithmetic_over_names_and_slopes(formula: str, value: float) -> None:
    found = capacity.work_out(sheet(formula), {"thing": LINE})
    assert found[0].value == pytest.approx(value)
    assert not found[0].extrapolated


@pytest.mark.parametrize(
    "formula, says",
    [
        ("unknown * 2", "unknown"),
        ('slope("other")', "'other'"),
        ('at("thing")', "takes 1 more"),
        ('slope("thing", 3)', "takes 0 more"),
        ("1 / 0", "zero"),
        ("upstreams +", "invalid syntax"),
        ("open('x')", "not known"),
        ("().__class__", "not known"),
        ("[1][0]", "not known"),
        ("'text'", "not known"),
    ],
)
def test_what_is_no_arithmetic_is_one_clear_error(formula: str, says: str) -> None:
    with pytest.raises(Unusable, match=says) as raised:
        capacity.work_out(sheet(formula), {"thing": LINE})
    assert "\n" not in str(raised.value)


def test_a_slope_used_beyond_its_sizes_says_so() -> None:
    found = capacity.work_out(sheet('at("thing", upstreams)'), {"thing": LINE})
    assert found[0].extrapolated == ("thing to 100, measured from 1 to 8",)
    assert "extrapolated: thing to 100" in "\n".join(
        capacity.lines(sheet('at("thing", upstreams)'), {"thing": LINE})
    )


def test_factors_are_ranked_and_what_is_within_its_limit_is_not() -> None:
    both = Sheet(
        {},
        {},
        [
            Figure("node", "peak", "small", "3", "MB", "feed", "2"),
            Figure("node", "peak", "large", "30", "MB", "missing", "2"),
            Figure("node", "peak", "fine", "1", "MB", "feed", "2"),
            Figure("node", "peak", "free", "9", "MB", "feed"),
            Figure("node", "peak", "worst", "99", "MB", "not taken", "2", True),
        ],
    )
    out = capacity.lines(both, {})
    ranking = out[out.index("## Over the limit, ranked") : out.index("## Slopes")]
    assert [line.split("|")[3].strip() for line in ranking if line.startswith("| 1")] == [
        "large",
        "small",
    ]
    assert math.isnan(capacity.work_out(both, {})[3].factor)


def test_the_page_is_written_between_its_marks_alone(tmp_path: Path) -> None:
    (tmp_path / "capacity").mkdir()
    page = tmp_path / "CAPACITY.md"
    page.write_text(f"ahead\n{capacity.BEGIN}\nold\n{capacity.END}\nbehind\n")
    (tmp_path / "capacity" / "figures.toml").write_text(
        "[size]\nupstreams = 100\n[derived]\n"
        '[[figure]]\nrole = "balancer"\nsituation = "usual day"\n'
        'what = "cost"\nformula = "at(\\"thing\\", 2)"\nunit = "us"\n'
        'limit = "7"\nmechanism = "missing"\n'
    )
    fit.record(tmp_path / "capacity" / "slopes.json", [LINE])
    assert not capacity.recompute(tmp_path, write=False)
    assert "old" in page.read_text()
    assert not capacity.recompute(tmp_path, write=True)
    text = page.read_text()
    assert text.startswith("ahead\n") and text.endswith("\nbehind\n") and "old" not in text
    assert "| usual day | cost | 14 us | 7 us | 2 |" in text
    assert capacity.recompute(tmp_path, write=False)


def test_a_page_without_its_marks_is_refused() -> None:
    with pytest.raises(Unusable, match="needs one"):
        capacity.rewritten("nothing", sheet("1"), {})


def test_the_page_stands_as_the_recorded_slopes_give_it() -> None:
    assert capacity.recompute(DOCS, write=False), "run `loadbalancer lab size page --write`"
