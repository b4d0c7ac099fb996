"""Clients that write long values slowly to a gateway that is upgraded, and what its processes hold."""

import asyncio
import contextlib
import pathlib
import re
import signal

from corkdeal.net.budget import budget_for

from .test_ids_in_upgrades import Upgrade
from .world import reply_small

VALUE_SIZE = 4 << 20  # bytes
WRITE_TIME, WRITE_INTERVAL = (
    2.0,
    0.05,
)  # s that a client usually takes to write a value, and between two writes
BEGIN_INTERVAL = 1 / 12  # s between two clients that begin to write
PART_TIMEOUT = 10.0  # s
PART = re.compile(r" limits .*others=(\S+) memory_budget=(\d+) ")


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
