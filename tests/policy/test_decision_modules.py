"""Limits that the users set for the source text of the policy modules."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
MODULES = sorted((ROOT / "loadbalancer" / "policy").glob("*.py"))
MAX_LINES = 500


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
class TestDecisionModules:
    """Checks of each module of the policy package."""

    def test_length_is_within_the_limits(self, path: Path) -> None:
        lines = path.read_text().splitlines()
        assert sum(bool(line.strip()) for line in lines) <= MAX_LINES
        assert max(map(len, lines)) <= 100

    def test_has_a_module_docstring(self, path: Path) -> None:
        assert path.read_text().startswith('"""')

    def test_uses_no_clock_and_no_unseeded_randomness(self, path: Path) -> None:
        text = path.read_text()
        assert "import time" not in text and "from time" not in text
        assert not [
            line
            for line in text.splitlines()
            if "random." in line and "random.Random" not in line and "rng.random" not in line
        ]

    def test_is_listed_in_the_deploy_file(self, path: Path) -> None:
        policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
        assert str(path.relative_to(ROOT)) in policy


def test_package_docstring_names_the_interface() -> None:
    text = (ROOT / "loadbalancer" / "policy" / "__init__.py").read_text()
    assert "loadbalancer/policy/api.py" in " ".join(text.splitlines()[:3])


def test_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    example = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert example
    exec(example.group(1), {})
    assert "send r1 to" in capsys.readouterr().out
