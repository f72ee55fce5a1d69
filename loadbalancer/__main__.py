"""The platform's balancer: `python -m loadbalancer`, configured by the file of BALANCER_CONFIG."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop

from loadbalancer.proxy.configuration import Config, read_config
from loadbalancer.proxy.listener import listening_socket
from loadbalancer.proxy.process import Companion, Parts, serve
from loadbalancer.settings import MalformedError

EXIT_BAD_CONFIGURATION = 2
HANDLED_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


async def _serve_until_shutdown(work: Awaitable[None]) -> None:
    """Serve; then signals wait until the process has ended.

    The loop takes its handlers along when it closes, and a signal that came behind it would end the
    process by itself, with its status.
    """
    try:
        await work
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def run(read: Callable[[], Config], companion: Callable[[Parts], Companion] | None = None) -> int:
    """Run a balancer in this process, from its configuration to its end.

    Returns:
        The exit status.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(message)s")
    # A reload that is requested before the loop runs waits until then: by itself the signal ends
    # the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = read()
        listener = listening_socket(config.listen, shared=True)
        admin_socket = None
        if config.mgmt is not None:
            admin_socket = listening_socket(config.mgmt)
            # Only now does an address that is taken show for certain; callers wait meanwhile.
            admin_socket.listen()
    except (MalformedError, OSError) as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        work = serve(config, listener, admin_socket, read, companion)
        runner.run(_serve_until_shutdown(work))
    return 0


def main() -> int:
    """Run the balancer that the environment describes."""
    return run(lambda: read_config(os.environ))


if __name__ == "__main__":
    sys.exit(main())
