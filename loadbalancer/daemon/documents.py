"""Parsing and validation of the configuration documents in the store."""

from __future__ import annotations

import tomllib

from loadbalancer.daemon import site_config
from loadbalancer.daemon.settings import read_raw
from loadbalancer.failover.fleet_model import SiteCapacity
from loadbalancer.proxy.configuration import Config
from loadbalancer.settings import Json, MalformedError

BALANCER = "balancer"  # this document and each `balancer/NAME` have the settings of balancers


def parse(name: str, text: str) -> Json:
    """Parse a document's TOML.

    Raises:
        MalformedError: The text is not TOML.
    """
    try:
        return tomllib.loads(text)
    except ValueError as error:
        raise MalformedError(f"{name}: {error}") from None


def read_balancer(name: str, text: str) -> Config:
    """Read a document of balancer settings.

    Raises:
        MalformedError: The document is not valid.
    """
    return read_raw(parse(name, text), name)


def read_sites(name: str, text: str) -> dict[str, SiteCapacity]:
    """Read a document that describes the sites.

    Raises:
        MalformedError: The document is not valid.
    """
    raw = parse(name, text)
    try:
        return site_config.read(raw)
    except ValueError as error:
        raise MalformedError(f"{name}: {error}") from None


def find_error(name: str, text: str) -> str:
    """Return the first error of a document in one line, or an empty string if it is valid.

    It is called before a document is proposed to the store.
    """
    try:
        if name == BALANCER or name.startswith(BALANCER + "/"):
            read_balancer(name, text)
        elif name.startswith(site_config.DOCUMENT + "/"):
            read_sites(name, text)
        else:
            parse(name, text)
    except MalformedError as error:
        return str(error).removeprefix(f"{name}: ")
    return ""
