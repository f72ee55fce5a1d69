"""Which configuration documents there are, and what is checked of each before it is proposed."""

from __future__ import annotations

import tomllib

from lanelift.daemon.settings import read_text
from lanelift.settings import Malformed

BALANCER = "balancer"  # and `balancer/NAME`: the operators' settings of balancers


def check(name: str, text: str) -> str:
    """The first thing wrong with a document, in one line; empty: nothing."""
    if name == BALANCER or name.startswith(BALANCER + "/"):
        try:
            read_text(text, name)
        except Malformed as error:
            return str(error).removeprefix(f"{name}: ")
        return ""
    try:
        tomllib.loads(text)
    except ValueError as error:
        return str(error)
    return ""
