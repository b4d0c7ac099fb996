"""Requests of clients that have left, and ids that come again."""

import asyncio
import contextlib
import time

import pytest

from .world import Overload, run, send_new_names, served

MAX_ATTEMPT_AGE = 0.1  # s after a client has left in which attempts for it may begin
PIPELINE = 3000  # requests
EARLY = 0.3  # s after which clients leave


def begun_after(world, left_at, customer):
    """The seconds from the leave of a customer's client to each later arrival at a backend."""
    arrivals = [
        (at, words)
        for backend in world.backends
        for at, words in backend.seen
        if int(words[1], 16) == customer and at > left_at + MAX_ATTEMPT_AGE
    ]
    return [round(at - left_at, 3) for at, _ in arrivals]


async def pipeline_and_leave(world, customer, is_reset):
    """Pipeline many requests and leave; return when that was."""
    client = await world.client()
    client.writer.transport.pause_reading()
    client.writer.write(b"".join(world.request(customer=customer, timeout=3.0) for _ in range(PIPELINE)))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(EARLY):
            await client.writer.drain()
            await asyncio.sleep(EARLY)
    if is_reset:
        client.reset()
    else:
        client.writer.get_extra_info("socket").shutdown(2)
        client.writer.transport.abort()
    return time.monotonic()


@pytest.mark.parametrize("is_flooded", [False, True])
@pytest.mark.parametrize("delay", [0.0, 0.02])
def test_no_attempt_begins_after_a_client_with_unread_requests_has_left(delay, is_flooded):
    async def reply(backend, words, writer):
        await asyncio.sleep(delay)
        writer.write(served(words[2]))

    async def check():
        async with Overload(96, reply) as world:
            for backend in world.backends:
                backend.seen = []
            floods = [asyncio.create_task(send_new_names(world, 3.0)) for _ in range(4 * is_flooded)]
            customers = range(100, 106)
            left = await asyncio.gather(
                *(pipeline_and_leave(world, customer, customer % 2 == 0) for customer in customers)
            )
            await asyncio.sleep(1.5)
            for task in floods:
                task.cancel()
            late = {c: begun_after(world, at, c) for c, at in zip(customers, left, strict=True)}
            assert not any(late.values()), late

    run(check())


async def until_seen(world, request_id, seconds=2.0):
    """Wait until a backend has a request; return how often backends have it."""
    until = time.monotonic() + seconds
    while not (count := count_seen(world, request_id)) and time.monotonic() < until:
        await asyncio.sleep(0.005)
    return count


def count_seen(world, request_id):
    return sum(
        int(words[2], 16) == request_id
        for backend in world.backends
        for _, words in getattr(backend, "seen", ())
    )


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("pause", [0.0, 0.2, 1.0])
def test_an_id_that_comes_again_after_its_client_left_runs_once(pause, is_reset):
    """The backend takes 0.5 s: at the second coming the first attempt is out, or has ended unanswered."""

    async def take_long(backend, words, writer):
        await asyncio.sleep(0.5)
        writer.write(served(words[2]))

    async def check():
        async with Overload(192, take_long) as world:
            words = world.words(customer=8, name=b"payment", timeout=3.0)
            request_id = int(words[2], 16)
            command = encode(*words)
            first = await world.client()
            first.writer.write(command)
            assert await until_seen(world, request_id) == 1
            first.reset() if is_reset else first.writer.transport.abort()
            await asyncio.sleep(pause)
            second = await world.client()
            second.writer.write(command)
            assert (await second.answer()).startswith(b"-")
            assert count_seen(world, request_id) == 1

    run(check())


def encode(*words):
    parts = [*words, b"body"]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)
