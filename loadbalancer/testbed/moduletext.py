"""The decisions as another version of the program has them, loaded from its text beside this
one's.
"""

from __future__ import annotations

import importlib.abc
import importlib.util
import subprocess
import sys
from collections.abc import Mapping
from importlib.machinery import ModuleSpec
from types import ModuleType

PACKAGE = "loadbalancer/policy"
NAME = "loadbalancer.policy"
ROOT = "__init__"
SHARED = ("api", "rules")  # event and action types have to be this program's own


class TextLoader(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Finds the modules of one package in a mapping from their names to their texts."""

    def __init__(self, package: str, texts: Mapping[str, str]) -> None:
        self.package = package
        self.texts = {
            package if name == ROOT else f"{package}.{name}": text.replace(NAME, package)
            for name, text in texts.items()
            if name not in SHARED
        }

    def find_spec(
        self, fullname: str, path: object, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if fullname not in self.texts:
            return None
        return importlib.util.spec_from_loader(fullname, self, is_package=self.is_package(fullname))

    def get_source(self, fullname: str) -> str:
        return self.texts[fullname]

    def is_package(self, fullname: str) -> bool:
        return fullname == self.package


def loaded(texts: Mapping[str, str]) -> ModuleType:
    """The package made of these texts, by module name, `__init__` its root, under a name of its
    own.
    """
    package = f"loadbalancer_lab_policy_{abs(hash(tuple(sorted(texts.items()))))}"
    if package not in sys.modules:
        sys.meta_path.append(TextLoader(package, texts))
        for name in SHARED:
            sys.modules[f"{package}.{name}"] = importlib.import_module(f"{NAME}.{name}")
    return importlib.import_module(package)


def at_revision(revision: str) -> dict[str, str]:
    """The texts as a git revision has them, of the package or of the single module before it; empty
    where there is no such revision.
    """
    single = _git("show", f"{revision}:{PACKAGE}.py")
    if single is not None:
        return {ROOT: single}
    listed = _git("ls-tree", "--name-only", revision, f"{PACKAGE}/")
    texts = {}
    for path in (listed or "").splitlines():
        text = _git("show", f"{revision}:{path}")
        if path.endswith(".py") and text is not None:
            texts[path.rpartition("/")[2].removesuffix(".py")] = text
    return texts


def _git(*words: str) -> str | None:
    done = subprocess.run(["git", *words], capture_output=True, text=True, check=False)
    return done.stdout if done.returncode == 0 else None
