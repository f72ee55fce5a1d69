"""The program of a balancer: runs it on the event loop until it shuts down."""

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
    """Serve until shutdown, then block signals until the process exits.

    Closing the event loop removes its signal handlers. A signal after that would terminate the
    process by its default action, with the wrong exit status.
    """
    try:
        await work
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def run(read: Callable[[], Config], companion: Callable[[Parts], Companion] | None = None) -> int:
    """Run a balancer in this process until it shuts down.

    Returns:
        The exit status.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(message)s")
    # SIGHUP (reload) is blocked until the event loop runs, since its default action terminates the
    # process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = read()
        listener = listening_socket(config.listen, shared=True)
        admin_socket = None
        if config.mgmt is not None:
            admin_socket = listening_socket(config.mgmt)
            # listen() reports an address in use reliably. Clients that connect before the process
            # accepts wait in the backlog.
            admin_socket.listen()
    except (MalformedError, OSError) as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        work = serve(config, listener, admin_socket, read, companion)
        runner.run(_serve_until_shutdown(work))
    return 0


def main() -> int:
    """Run the balancer with the configuration named by the environment."""
    return run(lambda: read_config(os.environ))
