"""An id that comes again at the other process of an upgrade."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from .test_left_clients import count_seen, encode, until_seen
from .world import ROOT, START_TIMEOUT, Overload, run, served


class Upgrade(Overload):
    """A gateway whose processes share an inherited listening socket."""

    backlog = 128

    def start_gateway(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=self.backlog)
        self.processes = []
        super().start_gateway()
        self.process.kill()  # the one that the base class starts has no inherited socket
        self.process.wait()
        self.log.write_text("")
        self.start_process()

    def start_process(self):
        self.port = self.listener.getsockname()[1]
        log = pathlib.Path(self.folder.name, f"log-{len(self.processes)}.txt")
        with log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "corkdeal.net"],
                cwd=ROOT,
                env={
                    "RELAY_CONFIG": str(pathlib.Path(self.folder.name, "config.json")),
                    "TMPDIR": self.folder.name,
                    "CORKDEAL_OPTIONS": "deploy/platform.kdl",
                    "RELAY_INHERITED_FD": str(self.listener.fileno()),
                },
                pass_fds=[self.listener.fileno()],
                stdout=file,
                stderr=file,
            )
        os.set_blocking(self.listener.fileno(), False)
        self.processes.append(self.process)
        self.log = log

    async def __aexit__(self, *error):
        for process in self.processes:
            process.kill()
            process.wait()
        self.listener.close()
        await super().__aexit__(*error)

    async def until_refused_by(self, old):
        """Wait until the predecessor accepts no more, so that new connections reach the successor."""
        until = time.monotonic() + START_TIMEOUT
        while old.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)


async def take_long(backend, words, writer):
    await asyncio.sleep(0.3)
    writer.write(served(words[2]))


@pytest.mark.parametrize("comes_first_at_successor", [False, True])
def test_an_id_that_comes_again_at_the_other_process_runs_once(comes_first_at_successor):
    async def check():
        async with Upgrade(96, take_long) as world:
            words = world.words(customer=8, name=b"payment", timeout=2.0)
            request_id = int(words[2], 16)
            at_predecessor = await world.client()
            at_predecessor.writer.write(b"*1\r\n$4\r\nPING\r\n")
            assert await at_predecessor.answer() == b"+PONG\r\n"
            first = await world.client()
            if not comes_first_at_successor:
                first.writer.write(encode(*words))
                assert await until_seen(world, request_id) == 1
                first.writer.transport.abort()
            old = world.process
            world.start_process()
            await world.until_logged("serving ")
            if comes_first_at_successor:
                second = await at_successor(world)
                second.writer.write(encode(*words))
                assert await until_seen(world, request_id) == 1
                second.writer.transport.abort()
                at_predecessor.writer.write(encode(*words))
                assert (await at_predecessor.answer()).startswith(b"-ERR")
            else:
                old.send_signal(signal.SIGTERM)
                await world.until_refused_by(old)
                second = await world.client()
                second.writer.write(encode(*words))
                assert (await second.answer()).startswith(b"-ERR")
            assert count_seen(world, request_id) == 1

    run(check())


# Ids of classes that may run again were not told to the other process: both sent the request on.
@pytest.mark.parametrize("comes_first_at_successor", [False, True])
@pytest.mark.parametrize("name", [b"board-load", b"solve-record"])
def test_an_open_id_is_refused_at_the_other_process_and_free_after_its_answer(comes_first_at_successor, name):
    async def check():
        async with Upgrade(96, take_long) as world:
            rid = next(world.ids)
            if name == b"board-load":
                command = world.request(customer=8, rid=rid, timeout=2.0)
            else:
                command = world.write(b"body", customer=8, rid=rid, timeout=2.0)
            at_predecessor = await world.client()
            at_predecessor.writer.write(b"*1\r\n$4\r\nPING\r\n")
            assert await at_predecessor.answer() == b"+PONG\r\n"
            world.start_process()
            await world.until_logged("serving ")
            clients = [at_predecessor, await at_successor(world)]
            first, second = reversed(clients) if comes_first_at_successor else clients
            first.writer.write(command)
            assert await until_seen(world, rid) == 1
            second.writer.write(command)
            assert (await second.answer()).startswith(b"-ERR")
            assert (await first.answer()).startswith(b"$")
            if name == b"board-load":
                second.writer.write(command)
                assert (await second.answer()).startswith(b"$")

    run(check())


async def at_successor(world):
    """Open connections until one is accepted by the newest process."""
    while True:
        client = await world.client()
        client.writer.write(b"*1\r\n$4\r\nPING\r\n")
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await client.answer()
        if client.writer.get_extra_info("sockname")[1] in ports_of(world.process.pid):
            return client


def ports_of(pid):
    """The ports of the clients whose connections a process holds."""
    inodes = set()
    for descriptor in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(descriptor))
    ports = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if f"socket:[{fields[9]}]" in inodes:
            ports.add(int(fields[2].rpartition(":")[2], 16))
    return ports
