"""The two processes of an upgrade have one memory limit together."""

import asyncio
import contextlib
import pathlib
import re
import signal

import pytest

from corkdeal.net.budget import budget_for

from .test_ids_in_upgrades import Upgrade
from .world import gather_paced, memory_of, reply_small, run, send_and_stay, send_new_names

MEMORY_MB = 192
CLIENTS = 400
VALUE_SIZE = 4 << 20  # bytes
WRITE_TIME, WRITE_INTERVAL = (
    2.0,
    0.05,
)  # s that a client usually takes to write a value, and between two writes
BEGIN_INTERVAL = 1 / 12  # s between two clients that begin to write
TIME_BEFORE, TIME_AFTER = 4.0, 2.0  # s that clients write before the upgrade, and after its end
PART_TIMEOUT = 10.0  # s
NAME_SENDERS, NAME_TIME = 4, 60.0  # clients that name ever new customers, and s for which they would
PART = re.compile(r" limits .*others=(\S+) memory_budget=(\d+) ")


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


class LongValues(Upgrade):
    """Clients write long values slowly, one after another, to a gateway that is upgraded."""

    def __init__(self, memory_mb, write_time=WRITE_TIME):
        super().__init__(memory_mb, reply_small)
        self.write_time = write_time  # s that a client takes to write a value
        self.answers = []

    def memory(self):
        """The anonymous memory of all processes: without their programs and libraries."""
        return sum(anonymous_memory_of(process.pid) for process in self.processes)

    def start_writing(self):
        self.tasks.append(asyncio.create_task(self.begin_clients()))

    async def begin_clients(self):
        while True:
            self.tasks.append(asyncio.create_task(self.write_slowly()))
            await asyncio.sleep(BEGIN_INTERVAL)

    async def write_slowly(self):
        data = self.write(b"x" * VALUE_SIZE, timeout=5.0)
        step = int(len(data) * WRITE_INTERVAL / self.write_time)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await self.client()
            answer = asyncio.create_task(client.answer())
            try:
                for start in range(0, len(data), step):
                    client.writer.write(data[start : start + step])
                    await client.writer.drain()
                    await asyncio.sleep(WRITE_INTERVAL)
                self.answers.append(await answer)
            finally:
                answer.cancel()
                client.writer.transport.abort()
                self.writers.remove(client.writer)

    async def start_successor(self):
        """Start one more process; return when it serves."""
        self.start_process()
        await self.until_logged("serving ")

    async def end(self, process):
        """End a process with SIGTERM."""
        process.send_signal(signal.SIGTERM)
        await asyncio.get_running_loop().run_in_executor(None, process.wait)

    def kill(self, process):
        process.kill()
        process.wait()

    async def until_whole_budget(self, number):
        """Wait until a process that runs alone has the budget of the whole limit again."""
        log = pathlib.Path(self.folder.name, f"log-{number}.txt")
        whole = ("''", str(budget_for(self.memory_mb << 20)))
        async with asyncio.timeout(PART_TIMEOUT):
            while not (parts := PART.findall(log.read_text())) or parts[-1] != whole:
                await asyncio.sleep(0.05)

    def assert_within_limit(self):
        assert self.peak <= self.memory_mb << 20, f"{self.peak >> 20} MiB of {self.memory_mb}"


def anonymous_memory_of(pid):
    """The anonymous memory of a process in bytes; 0 after its end."""
    with contextlib.suppress(OSError):
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int((status.partition("RssAnon:")[2].split() or [0])[0]) << 10
    return 0


# Each process took the budget of the whole limit, and kept what it had freed: 122 MiB of 96.
@pytest.mark.parametrize("memory_mb", [64, 96, 192])
def test_long_values_at_both_processes_do_not_take_them_over_the_limit(memory_mb):
    async def check():
        async with LongValues(memory_mb) as world:
            world.start_writing()
            await asyncio.sleep(TIME_BEFORE)
            old = world.process
            await world.start_successor()
            await world.end(old)
            await asyncio.sleep(TIME_AFTER)
            world.assert_within_limit()
            await world.until_whole_budget(1)

    run(check())


# A process that lowers its budget for another one has to take it back when that one ends.
def test_a_process_has_its_budget_again_after_its_successor_was_killed():
    async def check():
        async with LongValues(96) as world:
            world.start_writing()
            await asyncio.sleep(TIME_BEFORE)
            await world.start_successor()
            await asyncio.sleep(1.0)
            world.kill(world.process)
            await world.until_whole_budget(0)
            world.assert_within_limit()

    run(check())


def test_a_successor_has_the_whole_budget_after_its_predecessor_was_killed():
    async def check():
        async with LongValues(96) as world:
            world.start_writing()
            await asyncio.sleep(TIME_BEFORE)
            old = world.process
            await world.start_successor()
            world.kill(old)
            await world.until_whole_budget(1)
            world.assert_within_limit()

    run(check())


def test_three_processes_of_an_upgrade_within_an_upgrade_keep_within_the_limit():
    async def check():
        async with LongValues(MEMORY_MB) as world:
            world.start_writing()
            await asyncio.sleep(TIME_BEFORE)
            old = world.process
            await world.start_successor()
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
