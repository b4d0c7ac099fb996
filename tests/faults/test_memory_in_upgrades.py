"""The two processes of an upgrade have one memory limit together."""

import asyncio
import contextlib

import pytest

from .long_values import WRITE_INTERVAL, LongValues
from .test_ids_in_upgrades import Upgrade
from .world import gather_paced, memory_of, reply_small, run, send_and_stay, send_new_names

MEMORY_MB = 192
CLIENTS = 400
NAME_SENDERS, NAME_TIME = 4, 60.0  # clients that name ever new customers, and s for which they would
TIME_BEFORE, TIME_AFTER = 4.0, 2.0  # s that clients write before the upgrade, and after its end


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


async def start_successor_under_load(world):
    """Have clients write for a while, then start one more process; return the one before it."""
    world.start_writing()
    await asyncio.sleep(TIME_BEFORE)
    old = world.process
    await world.start_successor()
    return old


# Each process took the budget of the whole limit, and kept what it had freed: 122 MiB of 96.
@pytest.mark.parametrize("memory_mb", [64, 96, 192])
def test_long_values_at_both_processes_do_not_take_them_over_the_limit(memory_mb):
    async def check():
        async with LongValues(memory_mb) as world:
            old = await start_successor_under_load(world)
            await world.end(old)
            await asyncio.sleep(TIME_AFTER)
            world.assert_within_limit()
            await world.until_whole_budget(1)

    run(check())


# A process that lowers its budget for another one has to take it back when that one ends.
def test_a_process_has_its_budget_again_after_its_successor_was_killed():
    async def check():
        async with LongValues(96) as world:
            await start_successor_under_load(world)
            await asyncio.sleep(1.0)
            world.kill(world.process)
            await world.until_whole_budget(0)
            world.assert_within_limit()

    run(check())


def test_a_successor_has_the_whole_budget_after_its_predecessor_was_killed():
    async def check():
        async with LongValues(96) as world:
            old = await start_successor_under_load(world)
            world.kill(old)
            await world.until_whole_budget(1)
            world.assert_within_limit()

    run(check())


def test_three_processes_of_an_upgrade_within_an_upgrade_keep_within_the_limit():
    async def check():
        async with LongValues(MEMORY_MB) as world:
            old = await start_successor_under_load(world)
            middle = world.process
            await world.start_successor()
            await asyncio.gather(world.end(old), world.end(middle))
            world.assert_within_limit()
            await world.until_whole_budget(2)

    run(check())


# Customers' records are kept by both processes, besides all else.
@pytest.mark.parametrize("memory_mb", [64, 96, 192])
def test_ever_new_customers_at_both_processes_do_not_take_them_over_the_limit(memory_mb):
    async def check():
        async with LongValues(memory_mb) as world:
            world.start_writing()
            for _ in range(NAME_SENDERS):
                world.tasks.append(asyncio.create_task(keep_sending_new_names(world)))
            await asyncio.sleep(TIME_BEFORE)
            old = world.process
            await world.start_successor()
            await world.end(old)
            await asyncio.sleep(TIME_AFTER)
            world.assert_within_limit()

    run(check())


async def keep_sending_new_names(world):
    """Send requests of new customers, on a new connection whenever the last one ended."""
    while True:
        with contextlib.suppress(OSError):
            await send_new_names(world, NAME_TIME)
        await asyncio.sleep(WRITE_INTERVAL)
