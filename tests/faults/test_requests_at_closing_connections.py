"""Clients that go on using their connections get an answer to each request, whatever ends the connection."""

import asyncio
import collections
import contextlib
import signal
import socket
import time

import pytest

from ..ports import reserve_address
from .test_ids_in_upgrades import Upgrade
from .world import Overload, rng, run

CLIENTS = 200
THINKING = (0.02, 0.06)  # s from an answer to the next request
STEADY_TIME = 1.0  # s before the connections are to end
ESTABLISHED = 1  # TCP state of a client's socket that has seen no end of its connection
HOLD_UPS = (0.49, 1.2)  # s after SIGTERM between which the process is held up again and again
HOLD_UP, RUN = 0.015, 0.002  # s
LONGEST_SHUTDOWN = 3.7  # s


def is_established(client):
    handle = client.writer.get_extra_info("socket")
    return handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)[0] == ESTABLISHED


async def use_connection(world, number, outcomes, until):
    """Send a request, read its answer, think, and again, until the connection ends; count the outcomes."""
    draw, client = rng(number), await world.client()
    while time.monotonic() < until:
        was_established = is_established(client)
        client.writer.write(world.request(customer=1000 + number))
        try:
            await client.answer()
        except (ConnectionError, asyncio.IncompleteReadError):
            outcomes["lost" if was_established else "closed before"] += 1
            return
        outcomes["answered"] += 1
        await asyncio.sleep(draw.uniform(*THINKING))
    client.writer.transport.abort()


async def hold_up(process):
    """Let the process run for a moment only, again and again."""
    await asyncio.sleep(HOLD_UPS[0])
    until = time.monotonic() + HOLD_UPS[1] - HOLD_UPS[0]
    while time.monotonic() < until and process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(HOLD_UP)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(RUN)


async def use_connections_while(world, ending):
    """Have all clients use their connections while `ending()` runs; return the outcomes."""
    outcomes = collections.Counter()
    until = time.monotonic() + STEADY_TIME + LONGEST_SHUTDOWN
    clients = [
        asyncio.create_task(use_connection(world, number, outcomes, until)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(STEADY_TIME)
    await ending()
    await asyncio.gather(*clients)
    return outcomes


async def end_process(process):
    process.send_signal(signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(None, process.wait, LONGEST_SHUTDOWN)


@pytest.mark.parametrize("is_held_up", [False, True])
def test_no_request_is_lost_by_a_process_that_ends(is_held_up):
    async def check():
        async with Overload(96) as world:

            async def ending():
                holding = asyncio.create_task(hold_up(world.process)) if is_held_up else None
                await end_process(world.process)
                if holding is not None:
                    await holding

            outcomes = await use_connections_while(world, ending)
            assert not outcomes["lost"], (outcomes, world.log.read_text()[-500:])

    run(check())


def test_no_request_is_lost_by_the_predecessor_in_an_upgrade():
    async def check():
        async with Upgrade(96) as world:
            predecessor = world.process

            async def ending():
                world.start_process()
                await world.until_logged("serving ")
                await end_process(predecessor)

            outcomes = await use_connections_while(world, ending)
            assert not outcomes["lost"], outcomes

    run(check())


class WithOperators(Overload):
    """A gateway with an operators' address."""

    def start_gateway(self):
        self.operators = reserve_address()
        self.more_config = {"ops": self.operators}
        super().start_gateway()

    async def enter_standby(self):
        host, _, port = self.operators.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"PUT /standby HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        status = await reader.readline()
        assert b" 200 " in status, status
        with contextlib.suppress(ConnectionError):
            writer.close()


def test_no_request_is_lost_when_a_gateway_goes_on_standby():
    async def check():
        async with WithOperators(96) as world:
            outcomes = await use_connections_while(world, world.enter_standby)
            assert not outcomes["lost"], outcomes
            assert outcomes["closed before"] == CLIENTS, outcomes

    run(check())
