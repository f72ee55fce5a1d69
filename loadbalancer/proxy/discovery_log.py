"""Log lines about the polls of discovery: the first poll and answer, late answers, failures."""

from __future__ import annotations

import logging
import time

from loadbalancer.proxy.discovery_call import PollError
from loadbalancer.proxy.discovery_watch import MS_PER_S, Poll
from loadbalancer.settings import MalformedError

log = logging.getLogger(__name__)


class DiscoveryLog:
    """Logs polls; the times of the first ones count from its creation, at the process's start."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._has_polled = False
        self._has_answer = False

    def poll_begun(self, poll: Poll, version: int) -> None:
        """Log the first poll, with the version of the list that the process has until then."""
        if self._has_polled:
            return
        self._has_polled = True
        log.info(
            "first discovery poll: kind=%s version=%d hold_s=%.3f after_s=%.3f",
            poll.kind.name.lower(),
            version,
            poll.hold_ms / MS_PER_S,
            poll.started_s - self._started_s,
        )

    def answered(self, version: int) -> None:
        """Log the first answer."""
        if self._has_answer:
            return
        self._has_answer = True
        after_s = time.monotonic() - self._started_s
        log.info("first discovery answer: version=%d after_s=%.3f", version, after_s)

    @staticmethod
    def used_shared_list(version: int) -> None:
        """Log the use of a list that another process of this balancer shares."""
        log.info("endpoint list of another process used: version=%d", version)

    @staticmethod
    def answered_late(poll: Poll, version: int) -> None:
        """Log the answer to a poll that had timed out."""
        log.info(
            "late discovery answer: version=%d after_s=%.3f hold_s=%.3f",
            version,
            time.monotonic() - poll.started_s,
            poll.hold_ms / MS_PER_S,
        )

    @staticmethod
    def failed(error: Exception) -> None:
        """Log an expected failure in one line, and any other error with its traceback."""
        is_expected = isinstance(error, PollError | MalformedError)
        log.warning(
            "discovery poll failed: error=%s",
            error or type(error).__name__,
            exc_info=None if is_expected else error,
        )
