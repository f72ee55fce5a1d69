"""Which configuration documents there are, and what is checked of each before it is proposed."""

from __future__ import annotations

import tomllib

from loadbalancer.__main__ import Config
from loadbalancer.daemon import site_config
from loadbalancer.daemon.settings import read_raw
from loadbalancer.failover.plan import Place
from loadbalancer.settings import Json, Malformed

BALANCER = "balancer"  # and `balancer/NAME`: the operators' settings of balancers


def parsed(name: str, text: str) -> Json:
    """Raises Malformed."""
    try:
        return tomllib.loads(text)
    except ValueError as error:
        raise Malformed(f"{name}: {error}") from None


def read(name: str, text: str) -> Config:
    """A document of a balancer's settings. Raises Malformed."""
    return read_raw(parsed(name, text), name)


def sites(name: str, text: str) -> dict[str, Place]:
    """A document of what operators say of their sites. Raises Malformed."""
    raw = parsed(name, text)
    try:
        return site_config.read(raw)
    except ValueError as error:
        raise Malformed(f"{name}: {error}") from None


def check(name: str, text: str) -> str:
    """The first thing wrong with a document, in one line; empty: nothing."""
    try:
        if name == BALANCER or name.startswith(BALANCER + "/"):
            read(name, text)
        elif name.startswith(site_config.DOCUMENT + "/"):
            sites(name, text)
        else:
            parsed(name, text)
    except Malformed as error:
        return str(error).removeprefix(f"{name}: ")
    return ""
