"""Notifies watches when keys with their prefix change."""

from __future__ import annotations

from collections.abc import Callable, Collection


class ChangeNotifier:
    """Callbacks of watches, each registered for a key prefix."""

    def __init__(self) -> None:
        self._callbacks: dict[object, tuple[str, Callable[[], None]]] = {}

    def add(self, watch: object, prefix: str, callback: Callable[[], None]) -> None:
        """Register a watch's callback."""
        self._callbacks[watch] = (prefix, callback)

    def remove(self, watch: object) -> None:
        """Remove a watch's callback, if it is registered."""
        self._callbacks.pop(watch, None)

    def notify(self, keys: Collection[str]) -> None:
        """Call each watch whose prefix matches one of the keys."""
        if not keys:  # for example, a lease renewal changes no key
            return
        for prefix, callback in list(self._callbacks.values()):
            if any(key.startswith(prefix) for key in keys):
                callback()

    def notify_all(self) -> None:
        """Call all watches, because any key may have changed."""
        for _, callback in list(self._callbacks.values()):
            callback()
