"""A request on a connection that the gateway does not keep gets its answer before the connection ends."""

import asyncio
import contextlib
import time

from corkdeal.net.resp import encode_command

from .world import LATE, Overload, run, send_new_names, served

PIPELINE = 5  # requests that a new client sends one after another


async def use_new_connection(world):
    """Send some requests with pauses, then read; return what came, and whether the connection broke."""
    client = await world.client()
    try:
        for _ in range(PIPELINE):
            client.writer.write(world.request(customer=8))
            await client.writer.drain()
            await asyncio.sleep(0.01)
        return [(await client.answer())[:5] for _ in range(PIPELINE)]
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        return [type(error).__name__]
    finally:
        client.writer.transport.abort()


def test_each_request_of_newcomers_is_answered_while_the_gateway_is_overloaded():
    """Twelve clients keep the event loop late; newcomers send a pipeline and read when it is written."""

    async def check():
        outcomes = []

        async def newcomers(world, until):
            while time.monotonic() < until:
                outcomes.append(await use_new_connection(world))

        async with Overload(192) as world:
            until = time.monotonic() + 6
            await asyncio.gather(
                *(send_new_names(world, 6.0) for _ in range(12)),
                *(newcomers(world, until) for _ in range(20)),
            )
        broken = [outcome for outcome in outcomes if len(outcome) < PIPELINE]
        assert not broken, f"{len(broken)} of {len(outcomes)}"

    run(check())


def test_a_request_in_the_pipeline_behind_bad_ones_is_answered():
    """The 16th bad request ends the connection, after all that came with it has an answer."""

    async def check():
        async with Overload(192) as world:
            client = await world.client()
            bad = encode_command(b"API.READ", b"x", b"y", b"z")
            client.writer.write(bad * 16 + world.request(customer=8))
            answers = [await client.answer() for _ in range(17)]
            assert all(answer.startswith(b"-ERR") for answer in answers[:16])
            assert answers[16].startswith((b"$", b"-BUSY"))

    run(check())


def test_requests_of_clients_that_find_the_descriptors_taken_are_answered():
    """The table is full of busy clients; a newcomer that writes at once and reads later gets an answer."""

    async def answer_late(backend, words, writer):
        await asyncio.sleep(1.0)
        writer.write(served(b"v"))

    async def ask_once(world):
        client = await world.client()
        client.writer.write(world.request(customer=8, timeout=3.0))
        await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            return (await client.answer())[:4]

    async def check():
        async with Overload(96, answer_late, descriptors=128) as world:
            busy = [await world.client() for _ in range(100)]
            for client in busy:
                client.writer.write(world.request(timeout=3.0))
            await asyncio.sleep(0.1)
            outcomes = [await ask_once(world) for _ in range(20)]
            began = time.monotonic()
            for client in busy:
                assert (await client.answer())[:1] in b"$-"
            assert time.monotonic() - began < 3.0 + LATE
        assert None not in outcomes, outcomes

    run(check())
