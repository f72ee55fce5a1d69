"""Fixed endpoint list that replaces discovery."""

from __future__ import annotations

from loadbalancer.policy import api
from loadbalancer.proxy.endpoint_list import read_list
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.settings import Json


class FixedList:
    """Endpoint list from the configuration, used until a reload replaces it."""

    def __init__(self, driver: Driver, servers: Json) -> None:
        self.driver = driver
        self.endpoints = read_list(servers).endpoints

    def start(self) -> None:
        """Apply the list."""
        self.fetch()

    def replace(self, servers: Json) -> None:
        """Apply another list; upstreams that it does not contain are removed immediately."""
        self.endpoints = read_list(servers).endpoints
        self.fetch()

    def subscribe(self, on: bool) -> None:
        """Apply the list again; a fixed list has no changes to watch."""
        if on:
            self.fetch()

    def fetch(self) -> None:
        """Apply the list again."""
        self.driver.learn(api.EndpointListKind.FULL, self.endpoints)

    def close(self) -> None:
        """Do nothing; a fixed list has no connection."""
