"""The architecture page names only modules, classes, methods and functions that exist."""

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
    """Return the names of the functions and attributes of each class of the package."""
    members_by_class: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names = members_by_class.setdefault(node.name, set())
                for descendant in ast.walk(node):
                    if isinstance(descendant, ast.FunctionDef | ast.AsyncFunctionDef):
                        names.add(descendant.name)
                    elif isinstance(descendant, ast.Attribute):
                        names.add(descendant.attr)
    return members_by_class


def test_named_modules_exist() -> None:
    named = set(MODULE.findall(PAGE))
    assert len(named) > 30
    assert [path for path in sorted(named) if not (PACKAGE / path).is_file()] == []


def test_named_classes_and_members_exist() -> None:
    existing_members = members()
    named = {(cls, member) for cls, member in MEMBER.findall(PAGE) if cls not in NOT_CLASSES}
    assert len(named) > 30
    missing = [
        f"{cls}.{member}" if member else cls
        for cls, member in sorted(named)
        if cls not in existing_members or (member and member not in existing_members[cls])
    ]
    assert missing == []


def test_functions_named_after_a_module_exist() -> None:
    missing = []
    for path, name in re.findall(r"`((?:\w+/)*\w+\.py)` `([a-z]\w+)`", PAGE):
        tree = ast.parse((PACKAGE / path).read_text())
        if name not in {n.name for n in tree.body if isinstance(n, ast.FunctionDef)}:
            missing.append(f"{path} {name}")
    assert missing == []
