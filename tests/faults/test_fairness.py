"""One connection's work does not hold up the others."""

import asyncio
import contextlib
import time

import pytest

from corkdeal.net.resp import encode_command

from .world import LATE, TIMEOUT, Overload, run, send_new_names

DURATION = 6.0  # s
SHORT_TIMEOUT = 0.1  # s; requests with little time left have to be answered in time as well


async def ask_on_new_connections(world, until, outcomes):
    """Open a connection for each request; record what it got, and how long that took."""
    while time.monotonic() < until:
        began = time.monotonic()
        try:
            client = await world.client()
            client.writer.write(world.request(customer=8))
            answer = (await client.answer())[:5]
            client.writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = type(error).__name__.encode()
        outcomes.append((answer, time.monotonic() - began))
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("flooding_clients", [1, 12])
def test_newcomers_are_served_while_others_pipeline_requests(flooding_clients):
    async def check():
        outcomes = []
        async with Overload(96) as world:
            world.start_quiet_client()
            until = time.monotonic() + DURATION
            await asyncio.gather(
                *(send_new_names(world, DURATION) for _ in range(flooding_clients)),
                *(ask_on_new_connections(world, until, outcomes) for _ in range(20)),
            )
            world.assert_within_limits()
            world.assert_quiet_client_served()
        assert max(wait for _, wait in outcomes) < TIMEOUT + LATE
        wrong = [answer for answer, _ in outcomes if not answer.startswith((b"$", b"-BUSY"))]
        assert not wrong, f"{len(wrong)} of {len(outcomes)}: {set(wrong)}"

    run(check())


@pytest.mark.parametrize("command", [b"ECHO", b"PING", b"HELLO"])
def test_commands_without_requests_do_not_hold_up_others(command):
    """A client pipelines short commands that need no backend; another has requests with little time left."""

    async def flood(world):
        client = await world.client()
        data = encode_command(command, b"x") * 2000

        async def send():
            while True:
                client.writer.write(data)
                await client.writer.drain()
                await asyncio.sleep(0)

        async def read():
            while await client.reader.read(1 << 16):
                pass

        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(DURATION / 2):
                await asyncio.gather(send(), read())

    async def ask(world, until, waits):
        client = await world.client()
        while time.monotonic() < until:
            began = time.monotonic()
            client.writer.write(world.request(customer=8, timeout=SHORT_TIMEOUT))
            await client.answer()
            waits.append(time.monotonic() - began)
            await asyncio.sleep(0.02)

    async def check():
        waits = []
        async with Overload(96) as world:
            until = time.monotonic() + DURATION / 2
            await asyncio.gather(*(flood(world) for _ in range(4)), ask(world, until, waits))
        assert max(waits) < SHORT_TIMEOUT + LATE

    run(check())
