"""A command that waits for memory gets its answer in its client's time."""

import asyncio
import time

from .long_values import LongValues
from .world import LATE, TIMEOUT, run

MEMORY_MB = 96
WAIT_FOR_PRESSURE, ASKING_TIME = 6.0, 10.0  # s
ASK_INTERVAL = 0.1  # s
WRITE_TIME = 8.0  # s that a client takes to write a long value
SHORT_VALUE = 20_000  # bytes; it needs room in the memory budget, and is written at once


# It waited for 2 s, whatever its time was, and was answered 1 s too late.
def test_a_command_that_is_whole_and_waits_for_memory_is_answered_in_its_time():
    async def check():
        async with LongValues(MEMORY_MB, WRITE_TIME) as world:
            world.start_writing()
            await asyncio.sleep(WAIT_FOR_PRESSURE)
            asking = []
            for _ in range(int(ASKING_TIME / ASK_INTERVAL)):
                asking.append(asyncio.create_task(ask(world)))
                await asyncio.sleep(ASK_INTERVAL)
            waits, answers = zip(*await asyncio.gather(*asking), strict=True)
            assert max(waits) < TIMEOUT + LATE, sorted(waits)[-10:]
            assert any(answer.startswith(b"-BUSY") for answer in answers)  # some found no room

    async def ask(world):
        """Write a short value at once; return the time in s until its answer, and that."""
        client = await world.client()
        sent_at = time.monotonic()
        client.writer.write(world.write(b"x" * SHORT_VALUE, customer=7))
        answer = await client.answer()
        return time.monotonic() - sent_at, answer

    run(check())
