"""The processes of an upgrade have one limit on descriptors together."""

import asyncio
import contextlib
import os
import signal

import pytest

from .test_ids_in_upgrades import Upgrade
from .world import reply_of, run

ANSWER_DELAY = 0.5  # s that a backend takes; so clients are never idle for long
REQUEST_TIMEOUT = 2.0  # s
RECONNECT_PAUSE = 0.05  # s
TIME_BEFORE, TIME_AFTER = 2.5, 2.0  # s that the clients ask before the upgrade, and after its end
SAMPLE_INTERVAL = 0.02  # s
MEMORY_MB = 192


class BusyClients(Upgrade):
    """Twice as many clients as descriptors keep a connection each and ask again and again."""

    def __init__(self, descriptors):
        super().__init__(MEMORY_MB, reply_of(20, delay=ANSWER_DELAY), descriptors=descriptors)
        self.most, self.lost, self.served_count = 0, 0, 0

    async def watch_descriptors(self):
        while True:
            self.most = max(self.most, sum(map(descriptors_of, self.processes)))
            await asyncio.sleep(SAMPLE_INTERVAL)

    async def ask_again_and_again(self):
        while True:
            client, asked_count = None, 0
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await self.client()
                while True:
                    client.writer.write(self.request(timeout=REQUEST_TIMEOUT))
                    asked_count += 1
                    answer = await client.answer()
                    self.served_count += answer.startswith(b"$")
            if client is not None:
                client.writer.transport.abort()
                self.writers.remove(client.writer)
            await asyncio.sleep(RECONNECT_PAUSE)

    async def begin(self):
        self.tasks.append(asyncio.create_task(self.watch_descriptors()))
        for _ in range(2 * self.descriptors):
            self.tasks.append(asyncio.create_task(self.ask_again_and_again()))
        await asyncio.sleep(TIME_BEFORE)

    async def until_ended(self, process):
        while process.poll() is None:
            await asyncio.sleep(SAMPLE_INTERVAL)

    def assert_within_limit(self):
        assert self.most <= self.descriptors, f"{self.most} descriptors of {self.descriptors}"


def descriptors_of(process):
    """The number of descriptors that a process has open, whatever they are; 0 after its end."""
    with contextlib.suppress(OSError):
        return len(os.listdir(f"/proc/{process.pid}/fd"))
    return 0


# Each process took the whole limit: 458 sockets of 256 were open in both.
@pytest.mark.parametrize("descriptors", [256, 1024])
def test_both_processes_keep_within_the_limit_while_clients_are_never_idle(descriptors):
    async def check():
        async with BusyClients(descriptors) as world:
            await world.begin()
            old = world.process
            world.start_process()
            await world.until_logged("serving ")
            old.send_signal(signal.SIGTERM)
            await world.until_ended(old)
            await asyncio.sleep(TIME_AFTER)
            world.assert_within_limit()
            alone = descriptors_of(world.process)
            assert alone > descriptors / 2, f"{alone} of {descriptors} after the upgrade"

    run(check())


# A process that lowers its limit for another one has to take it back when that one ends.
def test_a_process_has_all_descriptors_again_after_its_successor_was_killed():
    async def check():
        async with BusyClients(256) as world:
            await world.begin()
            old = world.process
            world.start_process()
            await world.until_logged("serving ")
            await asyncio.sleep(1.0)
            world.process.kill()
            world.process.wait()
            await asyncio.sleep(TIME_AFTER)
            world.assert_within_limit()
            assert old.poll() is None
            assert descriptors_of(old) > 256 / 2

    run(check())
