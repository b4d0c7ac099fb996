"""A shutdown ends before the kill while clients send requests at full speed on open connections."""

import asyncio
import signal
import time

import pytest

from .world import Overload, run, send_new_names

LONGEST_DEADLINE = 3.0  # s; longer ones count as that
KILL_DELAY = 0.7  # s after it


@pytest.mark.parametrize("flooding_clients", [1, 30])
def test_the_process_ends_before_the_kill_under_pipelines(flooding_clients):
    async def check():
        async with Overload(96) as world:
            floods = [asyncio.create_task(send_new_names(world, 8.0)) for _ in range(flooding_clients)]
            await asyncio.sleep(1.0)
            world.process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            loop = asyncio.get_running_loop()
            code = await loop.run_in_executor(None, world.process.wait, 20)
            assert time.monotonic() - began < LONGEST_DEADLINE + KILL_DELAY
            assert code == 0
            for flood in floods:
                flood.cancel()

    run(check())
