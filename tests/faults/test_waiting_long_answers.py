"""Long answers that find no room for their collection hold next to nothing while they wait."""

import asyncio
import contextlib

from .world import Overload, rng, run, served

MEMORY_MB = 64
READERS, PIPELINE, WRITERS = 160, 6, 60
ANSWER_SIZES = (65_000, 256_000, 1 << 20)  # bytes
VALUE_SIZES = (100_000, 1 << 20)  # bytes
PIECE, PIECE_INTERVAL = 20_000, 0.05  # bytes and s; of clients that read or write slowly
READER_TIME = 6.0  # s after which a reader leaves and another one comes
TIMEOUT = 4.0  # s, of each request
WATCH_TIME = 12.0  # s


class ManyBackends(Overload):
    backend_count = 10


def reply_late(draw):
    async def reply(backend, words, writer):
        await asyncio.sleep(draw.uniform(0.16, 0.27))
        size = draw.choice(ANSWER_SIZES) if words[0] == b"API.READ" else 16
        writer.write(served(words[2].ljust(size, b".")))
        await writer.drain()

    return reply


async def read_answers(world, number):
    """Send several requests at once and read the answers, every second client slowly; then again."""
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(READER_TIME):
                client = await world.client()
                client.writer.write(b"".join(world.request(timeout=TIMEOUT) for _ in range(PIPELINE)))
                while await client.reader.read(PIECE):
                    await asyncio.sleep(PIECE_INTERVAL if number % 2 else 0)
        client.writer.transport.abort()


async def write_slowly(world, draw):
    """Write a long value in pieces; then another one, on a new connection."""
    while True:
        with contextlib.suppress(OSError):
            client = await world.client()
            data = world.write(b"x" * draw.choice(VALUE_SIZES), timeout=TIMEOUT)
            for start in range(0, len(data), PIECE):
                client.writer.write(data[start : start + PIECE])
                await client.writer.drain()
                await asyncio.sleep(PIECE_INTERVAL)
            await client.reader.read(100)
        client.writer.transport.abort()


# Waiting answers were not counted, and each had read 64 KiB: 30 MB beside a budget of 13.8 MB.
def test_answers_that_wait_for_room_do_not_take_a_process_over_the_limit():
    async def check():
        draw = rng(1)
        async with ManyBackends(MEMORY_MB, reply_late(draw)) as world:
            world.start_quiet_client()
            tasks = [read_answers(world, number) for number in range(READERS)]
            tasks += [write_slowly(world, draw) for _ in range(WRITERS)]
            world.tasks += [asyncio.create_task(task) for task in tasks]
            await asyncio.sleep(WATCH_TIME)
            world.assert_within_limits()
            assert b"ended" not in world.quiet_answers

    run(check())
