"""A new process at the address of a backend that has gone."""

import asyncio
import time

import pytest

from .world import Overload, reply_small, run


async def warm_up(world, count=30):
    """Have all backends serve, so that idle connections to each are open."""
    client = await world.client()
    client.writer.write(b"".join(world.request(customer=9, timeout=3.0) for _ in range(count)))
    for _ in range(count):
        await client.answer()
    return client


async def hang(backend, words, writer):
    await asyncio.sleep(60)


@pytest.mark.parametrize("is_renamed", [False, True])
def test_nothing_goes_to_the_old_process_once_a_new_one_is_listed_at_its_address(is_renamed):
    """The old process keeps its connections open and answers nothing, as one on a lost machine does."""

    async def check():
        async with Overload(96) as world:
            await warm_up(world)
            old = world.backends[0]
            assert old.seen
            old.listener.close()
            old.reply, seen_before = hang, len(old.seen)
            new = type(old)(old.model, old.draw_work, old.on_arrival)
            if is_renamed:
                new.model = type(old.model)("s-new", "north-hall")
            new.reply, new.seen, new.up_since = reply_small, [], time.time()
            await new.start(old.port)
            world.backends[:] = [new]
            await world.discovery.publish()
            await asyncio.sleep(0.25)
            client = await world.client()
            for _ in range(60):
                client.writer.write(world.request(customer=9, timeout=1.0))
                await client.answer()
                await asyncio.sleep(0.01)
            assert new.seen
            assert len(old.seen) == seen_before

    run(check())


def test_a_connection_whose_answer_comes_after_the_replacement_is_not_used_further():
    """The old process answers what it has, and would answer more."""

    async def answer_late(backend, words, writer):
        await asyncio.sleep(0.5)
        await reply_small(backend, words, writer)

    async def check():
        async with Overload(96, answer_late) as world:
            client = await world.client()
            old = world.backends[0]
            world.backends[:] = [old]
            await world.discovery.publish()
            await asyncio.sleep(0.1)
            client.writer.write(b"".join(world.request(customer=9, timeout=3.0) for _ in range(4)))
            await asyncio.sleep(0.2)
            old.listener.close()
            new = type(old)(old.model, old.draw_work, old.on_arrival)
            new.reply, new.seen, new.up_since = reply_small, [], time.time()
            await new.start(old.port)
            world.backends[:] = [new]
            await world.discovery.publish()
            for _ in range(4):
                assert (await client.answer()).startswith(b"$")
            seen_before = len(old.seen)
            for _ in range(20):
                client.writer.write(world.request(customer=9, timeout=1.0))
                await client.answer()
                await asyncio.sleep(0.02)
            assert new.seen
            assert len(old.seen) == seen_before

    run(check())


def test_an_attempt_out_at_the_old_process_is_not_taken_for_one_at_the_new():
    """The old process ends with a request that may run once; the new one must not get it again."""

    async def check():
        async with Overload(96) as world:
            for backend in world.backends:
                backend.reply, backend.seen = hang, []
            client = await world.client()
            words = world.words(customer=9, name=b"payment", timeout=1.0)
            client.writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in [*words, b"b"]))
            while not any(backend.seen for backend in world.backends):
                await asyncio.sleep(0.01)
            old = next(backend for backend in world.backends if backend.seen)
            old.listener.close()
            new = type(old)(old.model, old.draw_work, old.on_arrival)
            new.reply, new.seen, new.up_since = reply_small, [], time.time()
            await new.start(old.port)
            world.backends[world.backends.index(old)] = new
            await world.discovery.publish()
            assert (await client.answer()).startswith(b"-ERR")
            assert sum(len(backend.seen) for backend in [old, *world.backends]) == 1

    run(check())


def test_served_values_name_their_requests():
    """Values come from the process that got the request, also when addresses change hands."""

    async def check():
        async with Overload(96) as world:
            first, second = world.backends[:2]
            await warm_up(world)
            first.listener.close()
            second.listener.close()
            ports = second.port, first.port
            for backend, port in zip((first, second), ports, strict=True):
                await backend.start(port)
            await world.discovery.publish()
            client = await world.client()
            for _ in range(40):
                words = world.words(customer=9, timeout=1.0)
                client.writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
                answer = await client.answer()
                assert answer == b"$" + words[2] or answer.startswith(b"-"), (answer, words[2])

    run(check())
