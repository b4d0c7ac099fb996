"""Slow backends, and clients of all kinds at once, do not take a process over its memory limit."""

import asyncio

import pytest

from .world import (
    LIMITS,
    RECEIVE_BUFFER,
    Overload,
    gather_paced,
    reply_of,
    reply_small,
    rng,
    run,
    send_and_stay,
)


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_backends_that_stop_within_their_replies(memory_mb):
    async def stop_within(backend, words, writer):
        if int(words[1], 16) == 7:
            return await reply_small(backend, words, writer)
        item = b"$60000\r\n" + b"x" * 60_000 + b"\r\n"
        writer.write(b"*3\r\n*4\r\n" + item * 4)

    async def check():
        async with Overload(memory_mb, stop_within) as world:
            world.start_quiet_client()
            await gather_paced(
                lambda number: send_and_stay(world, world.request(timeout=3.0) * 1, 3.0), 450, 0.0005
            )
            world.assert_within_limits()

    run(check())


def test_a_mixed_crowd_stays_within_the_least_memory():
    """All of the above at once, drawn by a seed, beside the quiet client."""

    async def check():
        draw = rng(56)
        async with Overload(96, reply_of(20_000)) as world:
            world.start_quiet_client()
            words = (b"*64\r\n$4\r\nECHO\r\n" + (b"$4096\r\n" + b"x" * 4096 + b"\r\n") * 63)[:-2000]

            def act(number):
                match draw.randrange(4):
                    case 0:
                        return send_and_stay(world, words)
                    case 1:
                        return send_and_stay(world, world.write(b"x" * 60_000)[:-2000])
                    case 2:
                        data = b"".join(world.request(timeout=2.0) for _ in range(200))
                        return send_and_stay(world, data, 4.0, RECEIVE_BUFFER)
                    case _:
                        return send_and_stay(world, world.write(b"x" * 2_000_000)[:-2000])

            await gather_paced(act, 300, 0.003)
            world.assert_within_limits()

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_read_long_answers_slowly(memory_mb):
    """Answers of 1 MiB are forwarded in pieces, as fast as their clients read."""

    async def check():
        async with Overload(memory_mb, reply_of(1 << 20)) as world:

            async def read_slowly(number):
                client = await world.client(RECEIVE_BUFFER)
                client.writer.transport.pause_reading()
                client.writer.write(world.request(timeout=3.0))
                await asyncio.sleep(4.0)

            await gather_paced(read_slowly, 450, 0.005)
            world.assert_within_limits()

    run(check())
