"""A balancer's policy knows how many processes of the balancer run beside it."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loadbalancer.proxy.configuration import Config
from loadbalancer.proxy.listener import listening_socket
from loadbalancer.proxy.process import BalancerProcess
from loadbalancer.proxy.process_handover import ProcessRegistry
from tests.fakes import SETTINGS, FakeDiscovery, run

WAIT_S = 10.0


# Guards against two processes that each send a cold upstream the balancer's whole share.
def test_a_second_process_halves_the_share_and_its_end_restores_it(tmp_path: Path) -> None:
    async def test() -> None:
        discovery = FakeDiscovery([])
        await discovery.start()
        with listening_socket(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            config = Config(
                address, discovery.address, 7, 1024, SETTINGS, None, None, [], None, folder=tmp_path
            )
            process = BalancerProcess(config, listener, has_admin_api=False)
            await process.start(None)
            slow_start = process.driver.balancer.upstream_set.slow_start
            assert slow_start.processes == 1
            other = ProcessRegistry(tmp_path)
            async with asyncio.timeout(WAIT_S):
                while slow_start.processes != 2:
                    await asyncio.sleep(0)
            other.close()
            async with asyncio.timeout(WAIT_S):
                while slow_start.processes != 1:
                    await asyncio.sleep(0)
            await process.close()
        discovery.stop()

    run(test())
