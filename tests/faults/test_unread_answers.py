"""Answers that wait for their turn or for their clients do not take a process over its memory limit."""

import asyncio

import pytest

from .world import LIMITS, RECEIVE_BUFFER, Overload, gather_paced, reply_of, run, send_and_stay, served


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_read_nothing_of_many_answers(memory_mb):
    """Each customer is new, so that quotas leave room for all of these answers."""

    async def check():
        async with Overload(memory_mb, reply_of(60_000)) as world:
            world.start_quiet_client()

            def read_nothing(number):
                data = b"".join(world.request(timeout=3.0) for _ in range(240))
                return send_and_stay(world, data, 8.0, RECEIVE_BUFFER)

            await gather_paced(read_nothing, 60, 0.01)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_commands_with_values_behind_one_that_takes_long(memory_mb):
    async def slow_at_first(backend, words, writer):
        if words[3].endswith(b"slow"):
            await asyncio.sleep(2.0)
        writer.write(served(b"v"))

    async def check():
        async with Overload(memory_mb, slow_at_first) as world:
            world.start_quiet_client()

            def send(number):
                first = world.write(b"first", timeout=3.0, more=b",k=slow")
                return send_and_stay(
                    world, first + b"".join(world.write(b"x" * 60_000, timeout=3.0) for _ in range(200)), 4.0
                )

            await gather_paced(send, 40, 0.005)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())
