"""Notifies watches of changed keys."""

from __future__ import annotations

from collections.abc import Callable, Collection


class ChangeNotifier:
    """Callbacks by prefix of the keys that they are interested in."""

    def __init__(self) -> None:
        self._callbacks: dict[object, tuple[str, Callable[[], None]]] = {}

    def add(self, watch: object, prefix: str, callback: Callable[[], None]) -> None:
        """Registers a watch's callback."""
        self._callbacks[watch] = (prefix, callback)

    def remove(self, watch: object) -> None:
        """Removes a watch's callback, if it is registered."""
        self._callbacks.pop(watch, None)

    def notify(self, keys: Collection[str]) -> None:
        """Calls whoever watches one of the keys."""
        if not keys:  # the renewal of a lease changes none
            return
        for prefix, callback in list(self._callbacks.values()):
            if any(key.startswith(prefix) for key in keys):
                callback()

    def notify_all(self) -> None:
        """Calls all: any key may have changed."""
        for _, callback in list(self._callbacks.values()):
            callback()
