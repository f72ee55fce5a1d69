"""The architecture page names only modules, classes and methods that there are."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "loadbalancer"
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
MODULE = re.compile(r"`((?:\w+/)*\w+\.py)`")
MEMBER = re.compile(r"`([A-Z]\w+)(?:\.(\w+))?`")
NOT_CLASSES = {"SERVICE"}


def members() -> dict[str, set[str]]:
    """The functions and attributes of each class of the package, by the class's name."""
    found: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names = found.setdefault(node.name, set())
                for inner in ast.walk(node):
                    if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef):
                        names.add(inner.name)
                    elif isinstance(inner, ast.Attribute):
                        names.add(inner.attr)
    return found


def test_each_module_that_the_page_names_is_there() -> None:
    named = set(MODULE.findall(PAGE))
    assert len(named) > 30
    assert [path for path in sorted(named) if not (PACKAGE / path).is_file()] == []


def test_each_class_and_method_that_the_page_names_is_there() -> None:
    known = members()
    named = {(cls, member) for cls, member in MEMBER.findall(PAGE) if cls not in NOT_CLASSES}
    assert len(named) > 30
    missing = [
        f"{cls}.{member}" if member else cls
        for cls, member in sorted(named)
        if cls not in known or (member and member not in known[cls])
    ]
    assert missing == []


def test_a_function_named_behind_its_module_is_there() -> None:
    missing = []
    for path, name in re.findall(r"`((?:\w+/)*\w+\.py)` `([a-z]\w+)`", PAGE):
        tree = ast.parse((PACKAGE / path).read_text())
        if name not in {n.name for n in tree.body if isinstance(n, ast.FunctionDef)}:
            missing.append(f"{path} {name}")
    assert missing == []
