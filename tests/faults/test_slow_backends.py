"""Backends that read large requests slowly, or write long answers slowly."""

import asyncio
import signal
import socket
import time

import pytest

from .world import LATE, Overload, read_command, run, served

SIZE = 2 << 20  # bytes


def slow_reading_backend(rate):
    """A backend that reads its commands at that many bytes/s, with a small buffer."""

    async def serve(stream, writer):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        reading = asyncio.create_task(read_command(stream))
        while not reading.done():
            writer.transport.pause_reading()
            await asyncio.sleep(16384 / rate)
            writer.transport.resume_reading()
            await asyncio.sleep(0)
        writer.write(served(b"v"))

    return serve


@pytest.mark.parametrize("is_shut_down", [False, True])
@pytest.mark.parametrize("timeout", [0.3, 1.0, 2.5])
def test_a_request_that_its_backend_reads_slowly_is_answered_in_its_time(timeout, is_shut_down):
    async def check():
        async with Overload(96) as world:
            for backend in world.backends:
                backend.listener.close()
                backend.listener = await asyncio.start_server(
                    slow_reading_backend(200_000), "127.0.0.1", backend.port, limit=8192
                )

            async def ask(number):
                client = await world.client()
                client.writer.write(world.write(b"x" * SIZE, timeout=timeout))
                await client.writer.drain()
                sent_at = time.monotonic()
                answer = await client.answer()
                return answer, time.monotonic() - sent_at

            asking = [asyncio.create_task(ask(number)) for number in range(10)]
            if is_shut_down:
                await asyncio.sleep(0.2)
                world.process.send_signal(signal.SIGTERM)
            outcomes = await asyncio.gather(*asking)
            late = [wait for _, wait in outcomes if wait > timeout + LATE]
            assert not late, late

    run(check())


def slow_writing_reply(size, seconds):
    """A reply of that size that takes that long, written evenly."""

    async def reply(backend, words, writer):
        data = served(b"x" * size)
        pieces = 50
        step = len(data) // pieces + 1
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await writer.drain()
            await asyncio.sleep(seconds / pieces)

    return reply


@pytest.mark.parametrize("is_shut_down", [False, True])
@pytest.mark.parametrize("seconds", [1.2, 2.4])
@pytest.mark.parametrize("timeout", [0.5, 3.0])
def test_a_long_answer_that_its_backend_writes_slowly_comes_whole_or_is_refused_at_once(
    timeout, seconds, is_shut_down
):
    """With a time of 0.5 s the answer begins in time; from then on its client waits for the rest."""

    async def check():
        async with Overload(96, slow_writing_reply(1 << 20, seconds)) as world:

            async def ask(number):
                client = await world.client()
                client.writer.write(world.request(timeout=timeout))
                return await client.answer()

            asking = [asyncio.create_task(ask(number)) for number in range(10)]
            if is_shut_down:
                await asyncio.sleep(0.3)
                world.process.send_signal(signal.SIGTERM)
            answers = await asyncio.gather(*asking)
            whole = [answer for answer in answers if len(answer) == 1 + (1 << 20)]
            assert whole
            assert all(answer.startswith(b"-BUSY") for answer in answers if answer not in whole)

    run(check())
