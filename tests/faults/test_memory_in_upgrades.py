"""The two processes of an upgrade have one memory limit together."""

import asyncio

from .test_ids_in_upgrades import Upgrade
from .world import gather_paced, memory_of, reply_small, run, send_and_stay

MEMORY_MB = 192
CLIENTS = 400


class UpgradeMemory(Upgrade):
    """Adds up the memory of all processes."""

    def memory(self):
        return sum(memory_of(process.pid) for process in self.processes)


def test_slow_writers_at_both_processes_do_not_take_them_over_the_limit():
    async def check():
        async with UpgradeMemory(MEMORY_MB, reply_small) as world:
            data = world.write(b"x" * 2_000_000)[:-2000]
            writing = asyncio.create_task(
                gather_paced(lambda number: send_and_stay(world, data, 8.0), CLIENTS, 0.01)
            )
            await asyncio.sleep(0.5)
            world.start_process()
            await world.until_logged("serving ")
            await writing
            assert all(process.poll() is None for process in world.processes)
            assert world.peak < MEMORY_MB << 20, f"{world.peak >> 20} MiB of {MEMORY_MB}"

    run(check())
