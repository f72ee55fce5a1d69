"""A fixed endpoint list in the place of discovery."""

from __future__ import annotations

from loadbalancer.policy import api
from loadbalancer.proxy.endpoint_list import read_list
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.settings import Json


class FixedList:
    """A list that the operators wrote down; it stands until they replace it."""

    def __init__(self, driver: Driver, servers: Json) -> None:
        self.driver = driver
        self.endpoints = read_list(servers).endpoints

    def start(self, known: Json | None) -> None:  # noqa: ARG002 (as Discovery.start)
        """Put the list in force; a cached list does not count."""
        self.fetch()

    def replace(self, servers: Json) -> None:
        """Put another list in force. What is not in it is removed at once."""
        self.endpoints = read_list(servers).endpoints
        self.fetch()

    def subscribe(self, on: bool) -> None:
        """Put the list in force again; there are no changes to watch."""
        if on:
            self.fetch()

    def fetch(self) -> None:
        """Put the list in force again."""
        self.driver.learn(api.EndpointListKind.FULL, self.endpoints)

    def close(self) -> None:
        """Do nothing: there is no connection."""
