"""Names that clients invent, and malformed commands, leave nothing behind that grows."""

import asyncio
import contextlib

import pytest

from corkdeal.net.resp import encode_command

from .world import LIMITS, Overload, run, send_new_names

MAX_TIMEOUT = 9_999.999  # s; the longest that a request can name


@pytest.mark.parametrize("plan", [b"family", b"school"])
@pytest.mark.parametrize("timeout", [1.0, MAX_TIMEOUT])
def test_records_of_customers_that_come_once_do_not_grow_without_end(plan, timeout):
    """Memory after the second half of the run is what it was after the first, but for a tenth."""

    async def check():
        async with Overload(96) as world:
            world.start_quiet_client()
            await send_new_names(world, 5.0, plan=plan, timeout=timeout)
            after_half = world.memory()
            await send_new_names(world, 5.0, plan=plan, timeout=timeout)
            world.assert_within_limits()
            world.assert_quiet_client_served()
            assert world.memory() < 1.1 * after_half, (world.memory() >> 20, after_half >> 20)

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_malformed_commands_at_full_speed(memory_mb):
    async def send_malformed(world, seconds):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        client = await world.client()
                        client.writer.write(encode_command(b"API.READ", b"x", b"y", b"z") * 100)
                        while await client.reader.read(1 << 16):
                            pass
                    client.writer.transport.abort()

    async def check():
        async with Overload(memory_mb) as world:
            world.start_quiet_client()
            await send_malformed(world, 4.0)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())
